//! States of a non-idempotent request key, as stored in the table.
//!
//! A key is claimed before the request runs and carries its outcome afterwards.
//! The tag of an entry changes with each transition, so a conditional write on
//! the tag is a compare-and-swap on the whole entry.

mod entry;

pub use entry::{ClaimId, EntryState, LedgerEntry, RESPONSE_BYTES_MAX, StoredResponse};

use compact_str::CompactString;

use crate::poison::Fingerprint;

/// What an attempt does that found no entry of its own making.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExistingKeyOutcome {
    /// The entry was released: claim the key anew on condition of this tag.
    Reclaim {
        /// Tag that the stored entry must still have.
        tag: CompactString,
    },
    /// The key belongs to another request.
    KeyReused,
    /// Another attempt holds the claim and its holder lives.
    InProgress,
    /// The holder is gone and no outcome was stored.
    OutcomeUnknown,
    /// The request ran and its response was stored.
    Replay(StoredResponse),
    /// The request ran and its response was too large to store.
    ResponseNotStored,
}

/// Decides what an attempt with `fingerprint` gets that met `stored`.
///
/// `holder_alive` tells whether the VM of a claim still takes part in the fleet.
#[must_use]
pub fn resolve_existing_key(
    stored: &LedgerEntry,
    fingerprint: Fingerprint,
    holder_alive: bool,
) -> ExistingKeyOutcome {
    match &stored.state {
        // A released entry has run nothing, so its fingerprint binds nobody.
        EntryState::Released => ExistingKeyOutcome::Reclaim { tag: stored.tag() },
        _ if stored.fingerprint != fingerprint => ExistingKeyOutcome::KeyReused,
        EntryState::Claimed if holder_alive => ExistingKeyOutcome::InProgress,
        EntryState::Claimed => ExistingKeyOutcome::OutcomeUnknown,
        EntryState::Done(None) => ExistingKeyOutcome::ResponseNotStored,
        EntryState::Done(Some(response)) => ExistingKeyOutcome::Replay(response.clone()),
    }
}

/// What the claiming agent does after the response to its claim was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadBackOutcome {
    /// The claim took effect: run the request.
    Run,
    /// The claim may still take effect: do not run, and release it when seen.
    DoNotRun,
    /// Another attempt holds the key.
    HeldByOther,
}

/// Decides after reading the entry back; `None` is an absent entry.
#[must_use]
pub fn resolve_read_back(stored: Option<&LedgerEntry>, own: &ClaimId) -> ReadBackOutcome {
    match stored {
        Some(entry) if entry.claim != *own => ReadBackOutcome::HeldByOther,
        Some(entry) if entry.state == EntryState::Claimed => ReadBackOutcome::Run,
        // Absent, or given up already.
        None | Some(_) => ReadBackOutcome::DoNotRun,
    }
}

/// Next write of an agent that gave up a claim whose outcome it does not know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReleaseStep {
    /// Write the released entry on condition that none exists; a claim that
    /// arrives later then fails its own condition.
    PutIfAbsent,
    /// Replace the entry on condition of this tag.
    PutIfTag(CompactString),
    /// Nothing is left to release.
    Settled,
}

/// Decides the next write that releases `own`.
///
/// A claim under way waits for an absent entry or for the tag of a released one.
/// Neither comes back once another entry stands there, so replacing a released
/// entry is enough to keep the own claim from taking effect.
#[must_use]
pub fn release_step(stored: Option<&LedgerEntry>, own: &ClaimId) -> ReleaseStep {
    let Some(entry) = stored else {
        return ReleaseStep::PutIfAbsent;
    };
    match entry.state {
        EntryState::Claimed if entry.claim == *own => ReleaseStep::PutIfTag(entry.tag()),
        EntryState::Released => ReleaseStep::PutIfTag(entry.tag()),
        EntryState::Claimed | EntryState::Done(_) => ReleaseStep::Settled,
    }
}

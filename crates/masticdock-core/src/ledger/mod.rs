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
pub enum SecondAttempt {
    /// The entry was released: claim the key anew on condition of this tag.
    ClaimAnew {
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
    Answer(StoredResponse),
    /// The request ran and its response was too large to store.
    AnswerNotStored,
}

/// Decides what an attempt with `fingerprint` gets that met `stored`.
///
/// `holder_alive` tells whether the VM of a claim still takes part in the fleet.
#[must_use]
pub fn second_attempt(
    stored: &LedgerEntry,
    fingerprint: Fingerprint,
    holder_alive: bool,
) -> SecondAttempt {
    match &stored.state {
        // A released entry has run nothing, so its fingerprint binds nobody.
        EntryState::Released => SecondAttempt::ClaimAnew { tag: stored.tag() },
        _ if stored.fingerprint != fingerprint => SecondAttempt::KeyReused,
        EntryState::Claimed if holder_alive => SecondAttempt::InProgress,
        EntryState::Claimed => SecondAttempt::OutcomeUnknown,
        EntryState::Done(None) => SecondAttempt::AnswerNotStored,
        EntryState::Done(Some(response)) => SecondAttempt::Answer(response.clone()),
    }
}

/// What the claiming agent does after the response to its claim was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadBack {
    /// The claim took effect: run the request.
    Run,
    /// The claim may still take effect: do not run, and release it when seen.
    NeverRun,
    /// Another attempt holds the key.
    Other,
}

/// Decides after reading the entry back; `None` is an absent entry.
#[must_use]
pub fn read_back(stored: Option<&LedgerEntry>, own: &ClaimId) -> ReadBack {
    match stored {
        Some(entry) if entry.claim != *own => ReadBack::Other,
        Some(entry) if entry.state == EntryState::Claimed => ReadBack::Run,
        // Absent, or given up already.
        None | Some(_) => ReadBack::NeverRun,
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

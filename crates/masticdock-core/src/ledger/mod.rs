//! Entries for the keys of non-idempotent requests, as stored in the table.
//!
//! An agent claims a key before it runs the request, and stores the outcome under
//! it afterwards. The tag of an entry changes with each transition, so a write
//! that is conditional on the tag is a compare-and-swap of the whole entry.

mod entry;

pub use entry::{ClaimId, EntryState, LedgerEntry, RESPONSE_BYTES_MAX, StoredResponse};

use compact_str::CompactString;

use crate::poison::Fingerprint;

/// Outcome of an attempt whose request key already has an entry of another claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExistingKeyOutcome {
    /// The entry was released: claim the key with a write conditional on this tag.
    Reclaim {
        /// Tag that the stored entry must still have.
        tag: CompactString,
    },
    /// The key was used for a different request.
    KeyReused,
    /// Another attempt holds the claim, and the VM of its agent is alive.
    InProgress,
    /// The VM that holds the claim is gone, and no outcome was stored.
    OutcomeUnknown,
    /// The request ran, and this stored response answers the attempt.
    Replay(StoredResponse),
    /// The request ran, but its response was too large to store.
    ResponseNotStored,
}

/// Returns the outcome of an attempt with `fingerprint` that found the entry
/// `stored`.
///
/// `holder_alive` states whether the VM that holds the claim is still a live
/// member of the fleet.
#[must_use]
pub fn resolve_existing_key(
    stored: &LedgerEntry,
    fingerprint: Fingerprint,
    holder_alive: bool,
) -> ExistingKeyOutcome {
    match &stored.state {
        // The request of a released entry never ran, so the key may be used for
        // any request.
        EntryState::Released => ExistingKeyOutcome::Reclaim { tag: stored.tag() },
        _ if stored.fingerprint != fingerprint => ExistingKeyOutcome::KeyReused,
        EntryState::Claimed if holder_alive => ExistingKeyOutcome::InProgress,
        EntryState::Claimed => ExistingKeyOutcome::OutcomeUnknown,
        EntryState::Done(None) => ExistingKeyOutcome::ResponseNotStored,
        EntryState::Done(Some(response)) => ExistingKeyOutcome::Replay(response.clone()),
    }
}

/// Action of the claiming agent after it lost the response to its claim and read
/// the entry back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadBackOutcome {
    /// The claim took effect: run the request.
    Run,
    /// The claim may still take effect: do not run the request, and release the
    /// claim.
    DoNotRun,
    /// Another attempt holds the key.
    HeldByOther,
}

/// Returns the action after the entry was read back; `stored` is `None` if there is
/// no entry.
#[must_use]
pub fn resolve_read_back(stored: Option<&LedgerEntry>, own: &ClaimId) -> ReadBackOutcome {
    match stored {
        Some(entry) if entry.claim != *own => ReadBackOutcome::HeldByOther,
        Some(entry) if entry.state == EntryState::Claimed => ReadBackOutcome::Run,
        // The entry is absent or already released.
        None | Some(_) => ReadBackOutcome::DoNotRun,
    }
}

/// Next write of an agent that releases a claim without knowing whether the claim
/// took effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReleaseStep {
    /// Write the released entry if no entry exists. A claim that arrives later then
    /// fails its own condition.
    PutIfAbsent,
    /// Replace the entry if it has this tag.
    PutIfTag(CompactString),
    /// No write is needed.
    Settled,
}

/// Returns the next write that releases the claim `own`.
///
/// A claim in flight is conditional on an absent entry or on the tag of a released
/// one. Neither state recurs once another entry has been written, so replacing a
/// released entry is enough to prevent the claim from taking effect.
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

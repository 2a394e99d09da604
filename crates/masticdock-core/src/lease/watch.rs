//! Detection of expired leases by an observer of a slot.

use super::SlotRow;
use crate::units::MonoMs;

/// State of a slot, as far as an observer can tell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SlotObservation {
    /// No VM holds the slot.
    Free,
    /// A VM holds the slot, or the row has not been observed long enough to tell
    /// that its lease has expired.
    Held,
    /// The row has not changed for the lease duration, so the slot may be taken over.
    Expired,
}

/// Tracks one slot on the monotonic clock of the observer.
#[derive(Debug, Clone)]
pub struct SlotWatch {
    lease_ms: u64,
    first_seen: Option<(SlotRow, MonoMs)>,
}

impl SlotWatch {
    /// Creates a watch without observations.
    #[must_use]
    pub const fn new(lease_ms: u64) -> Self {
        Self {
            lease_ms,
            first_seen: None,
        }
    }

    /// Records the result of one consistent read and returns the state of the slot.
    ///
    /// A row counts as first seen at the end of a read, and as unchanged until the
    /// start of a later read. Slow reads can therefore delay a takeover but never
    /// cause an early one.
    pub fn observe(
        &mut self,
        row: Option<&SlotRow>,
        read_started: MonoMs,
        read_ended: MonoMs,
    ) -> SlotObservation {
        let Some(row) = row else {
            self.first_seen = None;
            return SlotObservation::Free;
        };
        match &self.first_seen {
            Some((observed_row, seen_at)) if observed_row == row => {
                if read_started.since_ms(*seen_at) >= self.lease_ms {
                    SlotObservation::Expired
                } else {
                    SlotObservation::Held
                }
            }
            _ => {
                self.first_seen = Some((row.clone(), read_ended));
                SlotObservation::Held
            }
        }
    }
}

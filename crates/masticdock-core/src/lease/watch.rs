//! An observer's view of a slot.

use super::SlotRow;
use crate::units::MonoMs;

/// What an observer may conclude about a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SlotObservation {
    /// Nobody holds the slot.
    Free,
    /// The slot is held, or not yet observed long enough.
    Held,
    /// The row did not change for the lease time; it may be taken over.
    Expired,
}

/// Watches one slot on the observer's monotonic clock.
#[derive(Debug, Clone)]
pub struct SlotWatch {
    lease_ms: u64,
    first_seen: Option<(SlotRow, MonoMs)>,
}

impl SlotWatch {
    /// Makes a watch that has seen nothing.
    #[must_use]
    pub const fn new(lease_ms: u64) -> Self {
        Self {
            lease_ms,
            first_seen: None,
        }
    }

    /// Takes the result of one consistent read.
    ///
    /// The row is first seen when a read ended and is still unchanged when a
    /// later read started, so slow reads delay a take-over and never hasten it.
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
            Some((seen, at)) if seen == row => {
                if read_started.since_ms(*at) >= self.lease_ms {
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

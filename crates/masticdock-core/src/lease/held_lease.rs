//! Lease of a slot as its holder tracks it.

use super::SlotRow;
use crate::units::MonoMs;

/// Percentage of the lease duration for which the holder treats the lease as
/// valid. The rest is a margin for clocks that run at different rates.
const VALID_PERCENT: u64 = 90;

/// Percentage of the lease duration after which the holder renews the lease.
const RENEW_AFTER_PERCENT: u64 = 30;

/// Lease of a slot, as tracked by its holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldLease {
    row: SlotRow,
    write_started: MonoMs,
    lease_ms: u64,
}

impl HeldLease {
    /// Creates a lease from a claim or renewal that was sent at `write_started`.
    ///
    /// `write_started` must be read from the clock before the write is sent, never
    /// after its response arrives.
    #[must_use]
    pub const fn new(row: SlotRow, write_started: MonoMs, lease_ms: u64) -> Self {
        Self {
            row,
            write_started,
            lease_ms,
        }
    }

    /// Returns the row as last written.
    #[must_use]
    pub const fn row(&self) -> &SlotRow {
        &self.row
    }

    /// Returns the time from which the lease is no longer valid.
    #[must_use]
    pub const fn deadline(&self) -> MonoMs {
        self.write_started
            .plus_ms(self.lease_ms * VALID_PERCENT / 100)
    }

    /// Returns true while the lease is valid.
    #[must_use]
    pub fn is_valid(&self, now: MonoMs) -> bool {
        now < self.deadline()
    }

    /// Returns true once the lease should be renewed.
    #[must_use]
    pub const fn renewal_due(&self, now: MonoMs) -> bool {
        now.since_ms(self.write_started) >= self.lease_ms * RENEW_AFTER_PERCENT / 100
    }

    /// Records a renewal that was sent at `write_started`, and returns whether the
    /// lease is valid at `now`.
    ///
    /// A renewal is conditional on the row that this holder wrote last. If it
    /// succeeds, no other VM has taken the slot over, even if the response arrived
    /// after the previous deadline.
    pub fn record_renewal(&mut self, row: SlotRow, write_started: MonoMs, now: MonoMs) -> bool {
        self.row = row;
        self.write_started = write_started;
        self.is_valid(now)
    }
}

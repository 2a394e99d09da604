//! The holder's view of its lease.

use super::SlotRow;
use crate::units::MonoMs;

/// Share of the lease time, in percent, that a holder relies on; the rest covers
/// clocks that run at different rates.
const RELIED_ON_PERCENT: u64 = 90;

/// Share of the lease time, in percent, after which a holder renews.
const RENEWAL_PERCENT: u64 = 30;

/// Lease as its holder knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldLease {
    row: SlotRow,
    write_started: MonoMs,
    lease_ms: u64,
}

impl HeldLease {
    /// Starts a lease whose claim or renewal was sent at `write_started`.
    ///
    /// `write_started` is read before the write is sent, never after its answer.
    #[must_use]
    pub const fn new(row: SlotRow, write_started: MonoMs, lease_ms: u64) -> Self {
        Self {
            row,
            write_started,
            lease_ms,
        }
    }

    /// Returns the row as written.
    #[must_use]
    pub const fn row(&self) -> &SlotRow {
        &self.row
    }

    /// Returns the first moment at which the lease may no longer be relied on.
    #[must_use]
    pub const fn deadline(&self) -> MonoMs {
        self.write_started
            .plus_ms(self.lease_ms * RELIED_ON_PERCENT / 100)
    }

    /// Returns true while the lease may be relied on.
    #[must_use]
    pub fn is_valid(&self, now: MonoMs) -> bool {
        now < self.deadline()
    }

    /// Returns true once the lease should be renewed.
    #[must_use]
    pub const fn renewal_due(&self, now: MonoMs) -> bool {
        now.since_ms(self.write_started) >= self.lease_ms * RENEWAL_PERCENT / 100
    }

    /// Takes the result of a renewal that was sent at `write_started`; returns
    /// whether the lease may be relied on at `now`.
    ///
    /// The renewal was conditional on the own row, so nobody took the slot over
    /// even when the answer came after the former deadline.
    pub fn record_renewal(&mut self, row: SlotRow, write_started: MonoMs, now: MonoMs) -> bool {
        self.row = row;
        self.write_started = write_started;
        self.is_valid(now)
    }
}

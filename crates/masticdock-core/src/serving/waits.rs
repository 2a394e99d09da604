//! Longest recent value of a measurement.

use crate::units::MonoMs;

/// Length of a bucket, in milliseconds.
const BUCKET_MS: u64 = 2_500;

/// Maximum of the values of the last 2.5 to 5 s, kept in two buckets.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RecentMaximum {
    /// Number of the current bucket since the start of the clock.
    index: u64,
    current: u64,
    previous: u64,
}

impl RecentMaximum {
    /// Records a value.
    pub(super) fn record(&mut self, value: u64, now: MonoMs) {
        let index = now.0 / BUCKET_MS;
        if index > self.index {
            self.previous = if index == self.index + 1 {
                self.current
            } else {
                0
            };
            self.current = 0;
            self.index = index;
        }
        self.current = self.current.max(value);
    }

    /// Returns the maximum, or 0 without a recent value.
    pub(super) fn get(&self, now: MonoMs) -> u64 {
        match (now.0 / BUCKET_MS).saturating_sub(self.index) {
            0 => self.current.max(self.previous),
            1 => self.current,
            _ => 0,
        }
    }
}

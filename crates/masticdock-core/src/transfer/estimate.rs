//! Deadlines derived from measured times.

/// Share of a new measurement in the estimate, as a divisor.
const SMOOTHING: u64 = 5;

/// Multiple of the usual time after which a reply counts as stalled.
const HEDGE_FACTOR: u64 = 3;

/// Multiple of the usual time after which the next rank reads from the origin.
const TAKEOVER_FACTOR: u64 = 2;

/// Smoothed measurement of a time, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatencyEstimate {
    value_ms: u64,
}

impl LatencyEstimate {
    /// Makes an estimate that starts at `initial_ms`.
    #[must_use]
    pub const fn new(initial_ms: u64) -> Self {
        Self {
            value_ms: initial_ms,
        }
    }

    /// Takes in a measurement.
    pub const fn record(&mut self, measured_ms: u64) {
        self.value_ms = (self.value_ms * (SMOOTHING - 1) + measured_ms) / SMOOTHING;
    }

    /// Takes in the time that a chunk took to arrive in the region.
    ///
    /// A chunk that came after its takeover counts as half the deadline: its
    /// time is that of the deadline itself, and deadlines derived from it would
    /// grow without limit while first readers are gone.
    pub fn record_arrival(&mut self, measured_ms: u64, stall_timeout_ms: u64) {
        let deadline_ms = takeover_after_ms(*self, stall_timeout_ms);
        if measured_ms < deadline_ms {
            self.record(measured_ms);
        } else {
            self.record(deadline_ms / 2);
        }
    }

    /// Returns the smoothed time.
    #[must_use]
    pub const fn value_ms(&self) -> u64 {
        self.value_ms
    }
}

/// Returns the time after which a second sender is asked for a chunk.
///
/// On a slow link even a healthy sender takes longer than the stall time-out.
#[must_use]
pub fn hedge_after_ms(reply: LatencyEstimate, stall_timeout_ms: u64) -> u64 {
    stall_timeout_ms.max(reply.value_ms * HEDGE_FACTOR)
}

/// Returns the time that each rank has to bring a chunk from the origin into
/// the region before the next rank reads it too.
#[must_use]
pub const fn takeover_after_ms(arrival: LatencyEstimate, stall_timeout_ms: u64) -> u64 {
    stall_timeout_ms + arrival.value_ms * TAKEOVER_FACTOR
}

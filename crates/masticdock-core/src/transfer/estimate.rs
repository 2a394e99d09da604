//! Timeouts derived from measured latencies.

/// Inverse of the weight that a new measurement has in the moving average.
const SMOOTHING_DIVISOR: u64 = 5;

/// Multiple of the average reply time after which a reply counts as stalled.
const HEDGE_FACTOR: u64 = 3;

/// Multiple of the average arrival time after which the VM of the next rank
/// reads a chunk from the origin.
const TAKEOVER_FACTOR: u64 = 2;

/// Exponentially weighted moving average of a latency, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LatencyEstimate {
    value_ms: u64,
}

impl LatencyEstimate {
    /// Creates an estimate that starts at `initial_ms`.
    #[must_use]
    pub const fn new(initial_ms: u64) -> Self {
        Self {
            value_ms: initial_ms,
        }
    }

    /// Records a measurement.
    pub const fn record(&mut self, measured_ms: u64) {
        self.value_ms = (self.value_ms * (SMOOTHING_DIVISOR - 1) + measured_ms) / SMOOTHING_DIVISOR;
    }

    /// Records the time that a chunk took to arrive in the region.
    ///
    /// A chunk that arrived after its takeover deadline is recorded as half the
    /// deadline. Its time is set by the deadline itself, so deadlines derived
    /// from it would grow without limit while first-ranked readers are gone.
    pub fn record_arrival(&mut self, measured_ms: u64, stall_timeout_ms: u64) {
        let deadline_ms = takeover_after_ms(*self, stall_timeout_ms);
        if measured_ms < deadline_ms {
            self.record(measured_ms);
        } else {
            self.record(deadline_ms / 2);
        }
    }

    /// Returns the average in milliseconds.
    #[must_use]
    pub const fn value_ms(&self) -> u64 {
        self.value_ms
    }
}

/// Returns the time in milliseconds after which a chunk is requested from a
/// second sender.
///
/// On a slow link even a healthy sender takes longer than the stall timeout, so
/// the time grows with the average reply time.
#[must_use]
pub fn hedge_after_ms(reply: LatencyEstimate, stall_timeout_ms: u64) -> u64 {
    stall_timeout_ms.max(reply.value_ms * HEDGE_FACTOR)
}

/// Returns the time in milliseconds that the VM of each rank has to bring a
/// chunk from the origin into the region before the VM of the next rank reads
/// it as well.
#[must_use]
pub const fn takeover_after_ms(arrival: LatencyEstimate, stall_timeout_ms: u64) -> u64 {
    stall_timeout_ms + arrival.value_ms * TAKEOVER_FACTOR
}

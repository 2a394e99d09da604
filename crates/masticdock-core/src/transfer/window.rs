//! Limit on the number of chunks that a VM reads at the same time.
//!
//! Chunks and requests of callers arrive over the same link. Each chunk in flight
//! delays the requests behind it, so the limit follows the transfer time of chunk
//! bodies: it grows while bodies arrive quickly and shrinks as soon as they queue.

use crate::units::MonoMs;

/// Settings of a [`ReadWindow`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReadWindowSettings {
    /// Transfer time of a body above which the link counts as congested, in
    /// milliseconds.
    pub congested_body_ms: f64,
    /// Number of concurrent reads before the first measurement.
    pub initial_reads: f64,
    /// Maximum number of concurrent reads.
    pub reads_max: f64,
}

impl Default for ReadWindowSettings {
    /// Two chunks of 48 KB take 85 ms on a link of 9.4 Mbit/s, which is a fifth
    /// of the shortest latency objective. With reads from eight senders, no single
    /// sender limits the throughput of the link.
    fn default() -> Self {
        Self {
            congested_body_ms: 90.0,
            initial_reads: 2.0,
            reads_max: 8.0,
        }
    }
}

/// Factor by which the limit is multiplied when the link is congested.
const DECREASE_FACTOR: f64 = 0.75;
/// Weight of a new measurement in the moving average of the delay.
const DELAY_WEIGHT: f64 = 0.5;
/// Half-life of the delay estimate while no bodies arrive. A queue of four chunks
/// drains in this time.
const DELAY_HALF_LIFE_MS: f64 = 200.0;

/// Limit on concurrent reads, and an estimate of the delay that the reads cause.
#[derive(Debug, Clone, Copy)]
pub struct ReadWindow {
    settings: ReadWindowSettings,
    limit: f64,
    delay_ms: f64,
    recorded_at: MonoMs,
}

impl ReadWindow {
    /// Creates a window for a link without any measurement.
    #[must_use]
    pub const fn new(settings: ReadWindowSettings) -> Self {
        Self {
            settings,
            limit: settings.initial_reads,
            delay_ms: 0.0,
            recorded_at: MonoMs(0),
        }
    }

    /// Records the transfer time of a chunk body and adjusts the limit.
    pub fn record(&mut self, body_ms: f64, now: MonoMs) {
        let delay_ms = self.delay_ms(now);
        self.delay_ms = delay_ms + DELAY_WEIGHT * (body_ms - delay_ms);
        self.recorded_at = now;
        self.limit = if body_ms > self.settings.congested_body_ms {
            (self.limit * DECREASE_FACTOR).max(1.0)
        } else {
            (self.limit + 1.0 / self.limit).min(self.settings.reads_max)
        };
    }

    /// Returns the current limit on concurrent reads.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub const fn concurrent_reads(&self) -> usize {
        self.limit as usize
    }

    /// Returns the delay that chunks in flight cause to other traffic behind them
    /// on the link, in milliseconds.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn delay_ms(&self, now: MonoMs) -> f64 {
        let half_lives = now.since_ms(self.recorded_at) as f64 / DELAY_HALF_LIFE_MS;
        self.delay_ms * 0.5_f64.powf(half_lives)
    }
}

impl Default for ReadWindow {
    fn default() -> Self {
        Self::new(ReadWindowSettings::default())
    }
}

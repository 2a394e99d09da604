//! Retry delay for rejected callers, sent in the `Retry-After` header.
//!
//! Callers that return at the same time find the same full queue. In a short burst a
//! slot frees soon, so the delay is short enough for their objective. While
//! rejections continue, the delays are spread over a time in which load can fall.

use crate::units::MonoMs;

/// Settings of the retry delay.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryAfterSettings {
    /// Delay while few requests are rejected, and the minimum, in milliseconds.
    pub delay_min_ms: u64,
    /// Maximum delay, in milliseconds.
    pub delay_max_ms: u64,
    /// Time constant of the smoothed share of rejected requests, in milliseconds.
    pub time_constant_ms: u64,
}

impl Default for RetryAfterSettings {
    /// Returns delays for a full batch that frees a slot about every 100 ms, and for
    /// callers that wait at most a third of their remaining time: 2 s for generations.
    fn default() -> Self {
        Self {
            delay_min_ms: 150,
            delay_max_ms: 1_900,
            time_constant_ms: 1_000,
        }
    }
}

/// Share of recently rejected requests, and the retry delay that follows from it.
#[derive(Debug, Clone)]
pub struct RetryAfter {
    settings: RetryAfterSettings,
    rejected_share: f64,
    updated_at: MonoMs,
}

impl RetryAfter {
    /// Creates a tracker without rejections.
    #[must_use]
    pub const fn new(settings: RetryAfterSettings) -> Self {
        Self {
            settings,
            rejected_share: 0.0,
            updated_at: MonoMs(0),
        }
    }

    /// Counts a request and whether it was rejected.
    #[allow(clippy::cast_precision_loss)]
    pub fn record(&mut self, rejected: bool, now: MonoMs) {
        let elapsed_ms = now.since_ms(self.updated_at) as f64;
        self.updated_at = now;
        let decay = (-elapsed_ms / self.settings.time_constant_ms as f64)
            .exp()
            .min(0.97);
        let sample = if rejected { 1.0 } else { 0.0 };
        self.rejected_share = decay * self.rejected_share + (1.0 - decay) * sample;
    }

    /// Returns the smoothed share of rejected requests.
    #[must_use]
    pub const fn rejected_share(&self) -> f64 {
        self.rejected_share
    }

    /// Returns the delay for one rejected caller, in milliseconds; `draw` is uniformly
    /// distributed in 0..1.
    #[must_use]
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    pub fn delay_ms(&self, draw: f64) -> u64 {
        let delay_min_ms = self.settings.delay_min_ms as f64;
        let span_ms = self.settings.delay_max_ms as f64 - delay_min_ms;
        let spread = (self.rejected_share * 2.0).min(1.0);
        (delay_min_ms + span_ms * spread * draw) as u64
    }
}

//! Estimate of the prompts that an engine has not read yet, from its number of requests.
//!
//! Load pattern: an engine comes back empty after a switch of its weights and gets several
//! prompts at once. Reading them takes longer than the interval between two reports. If only
//! the prompts that arrived since the previous report counted as unread, the engine would
//! get as many again with each report, and all of them would be late.

use crate::units::MonoMs;

use super::slowness::Slowness;

/// Share of the time in which an engine reads prompts while others wait for their next
/// token.
const READING_SHARE: f64 = 0.8;

/// Prompts that an engine has probably not read yet.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PrefillBacklog {
    requests: u32,
    /// Prefill time of the unread prompts at the usual speed, in milliseconds.
    unread_ms: f64,
    polled_at: MonoMs,
}

impl PrefillBacklog {
    /// Records the number of requests that run or wait at the engine; a prompt takes
    /// `mean_prefill_ms` at the usual speed.
    #[allow(clippy::cast_precision_loss)]
    pub fn record(
        &mut self,
        requests: u32,
        mean_prefill_ms: u64,
        slowness: Option<Slowness>,
        now: MonoMs,
    ) {
        let factor = slowness.map_or(1.0, Slowness::factor).max(1.0);
        let read_ms = now.since_ms(self.polled_at) as f64 * READING_SHARE / factor;
        let arrived = requests.saturating_sub(self.requests);
        let arrived_ms = f64::from(arrived) * mean_prefill_ms as f64;
        let unread_max_ms = f64::from(requests) * mean_prefill_ms as f64;
        self.unread_ms = ((self.unread_ms - read_ms).max(0.0) + arrived_ms).min(unread_max_ms);
        self.requests = requests;
        self.polled_at = now;
    }

    /// Returns the number of unread prompts of mean length.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    pub fn prompts(&self, mean_prefill_ms: u64) -> u32 {
        (self.unread_ms / mean_prefill_ms.max(1) as f64).ceil() as u32
    }
}

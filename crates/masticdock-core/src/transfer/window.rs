//! How many chunks a VM reads at the same time.
//!
//! Chunks and requests of callers arrive over the same link. Each chunk that is
//! on its way delays the requests behind it, so the number of reads follows the
//! time that the body of a chunk takes: it grows while bodies arrive quickly and
//! shrinks as soon as they queue.

use crate::units::MonoMs;

/// Settings of a [`ReadWindow`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReadWindowSettings {
    /// Time of a body above which the link counts as queueing, in milliseconds.
    pub body_ms: f64,
    /// Reads at the same time before anything is known of the link.
    pub initial_reads: f64,
    /// Most reads at the same time.
    pub reads_max: f64,
}

impl Default for ReadWindowSettings {
    /// Two chunks of 48 KB take 85 ms on a link of 9.4 Mbit/s, a fifth of the
    /// shortest latency objective; with eight senders none of them limits the link.
    fn default() -> Self {
        Self {
            body_ms: 90.0,
            initial_reads: 2.0,
            reads_max: 8.0,
        }
    }
}

/// Part of the window that is kept when bodies queue.
const SHRINK: f64 = 0.75;
/// Weight of a new body in the delay of the link.
const DELAY_WEIGHT: f64 = 0.5;
/// Time in which the delay fades to half without bodies, in milliseconds: a
/// queue of four chunks drains in it.
const DELAY_HALF_MS: f64 = 200.0;

/// Number of reads at the same time, and the delay that they cause.
#[derive(Debug, Clone, Copy)]
pub struct ReadWindow {
    settings: ReadWindowSettings,
    reads: f64,
    delay_ms: f64,
    noted_at: MonoMs,
}

impl ReadWindow {
    /// Makes a window of a link that nothing is known of.
    #[must_use]
    pub const fn new(settings: ReadWindowSettings) -> Self {
        Self {
            settings,
            reads: settings.initial_reads,
            delay_ms: 0.0,
            noted_at: MonoMs(0),
        }
    }

    /// Notes the time that the body of a chunk took.
    pub fn record(&mut self, body_ms: f64, now: MonoMs) {
        let delay_ms = self.delay_ms(now);
        self.delay_ms = delay_ms + DELAY_WEIGHT * (body_ms - delay_ms);
        self.noted_at = now;
        self.reads = if body_ms > self.settings.body_ms {
            (self.reads * SHRINK).max(1.0)
        } else {
            (self.reads + 1.0 / self.reads).min(self.settings.reads_max)
        };
    }

    /// Returns how many chunks may be read at the same time.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub const fn concurrent_reads(&self) -> usize {
        self.reads as usize
    }

    /// Returns the delay that chunks on the link cause to what arrives behind
    /// them, in milliseconds.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn delay_ms(&self, now: MonoMs) -> f64 {
        let fade = now.since_ms(self.noted_at) as f64 / DELAY_HALF_MS;
        self.delay_ms * 0.5_f64.powf(fade)
    }
}

impl Default for ReadWindow {
    fn default() -> Self {
        Self::new(ReadWindowSettings::default())
    }
}

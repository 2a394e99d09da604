//! Progress of a stream: tells an upstream that is silent from one that writes without ever
//! completing an event.

use crate::units::MonoMs;

/// Settings of a [`StreamProgress`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamProgressSettings {
    /// Interval at which a stream without bytes is checked, in milliseconds.
    pub check_interval_ms: u64,
    /// Time without a byte from which the upstream counts as silent, in milliseconds;
    /// several times the longest pause of a full batch.
    pub silence_min_ms: u64,
    /// Time in which an upstream may write without completing an event, in milliseconds.
    pub incomplete_max_ms: u64,
    /// Longest pause between bytes that counts as writing, in milliseconds; the rest is
    /// silence.
    pub writing_pause_max_ms: u64,
}

impl Default for StreamProgressSettings {
    fn default() -> Self {
        Self {
            check_interval_ms: 250,
            silence_min_ms: 1_200,
            incomplete_max_ms: 1_200,
            writing_pause_max_ms: 400,
        }
    }
}

/// Progress of the stream of one upstream.
#[derive(Debug, Clone)]
pub struct StreamProgress {
    settings: StreamProgressSettings,
    checked_at: MonoMs,
    /// Time without a byte, in milliseconds, without pauses of this process.
    silent_ms: u64,
    /// Time in which the upstream wrote without completing an event, in milliseconds.
    incomplete_ms: u64,
}

impl StreamProgress {
    /// Creates the progress of a stream that has just delivered an event.
    #[must_use]
    pub const fn new(settings: StreamProgressSettings, now: MonoMs) -> Self {
        Self {
            settings,
            checked_at: now,
            silent_ms: 0,
            incomplete_ms: 0,
        }
    }

    /// Records that no byte arrived since the previous call; returns the time without a byte,
    /// in milliseconds, once the upstream counts as silent.
    pub fn check(&mut self, now: MonoMs) -> Option<u64> {
        self.advance(now);
        (self.silent_ms >= self.settings.silence_min_ms).then_some(self.silent_ms)
    }

    /// Records bytes; returns false if the upstream has written for too long without
    /// completing an event.
    pub fn record_bytes(&mut self, completes_event: bool, now: MonoMs) -> bool {
        self.advance(now);
        let pause_ms = std::mem::take(&mut self.silent_ms);
        if completes_event {
            self.incomplete_ms = 0;
            return true;
        }
        self.incomplete_ms += pause_ms.min(self.settings.writing_pause_max_ms);
        self.incomplete_ms < self.settings.incomplete_max_ms
    }

    /// Excludes the time since the last bytes, in which the stream was not read.
    pub const fn restart(&mut self, now: MonoMs) {
        self.checked_at = now;
    }

    /// A check that comes late shows that this process was paused; bytes may have arrived
    /// that it has not read.
    fn advance(&mut self, now: MonoMs) {
        let elapsed_ms = now.since_ms(self.checked_at);
        self.silent_ms += elapsed_ms.min(2 * self.settings.check_interval_ms);
        self.checked_at = now;
    }
}

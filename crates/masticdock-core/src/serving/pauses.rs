//! Detection of pauses in which a process did not run, for example because its VM was
//! suspended or the process was stopped.

use std::collections::VecDeque;

use crate::units::MonoMs;

/// Settings of a [`PauseDetector`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PauseSettings {
    /// Interval at which a running process ticks, in milliseconds.
    pub tick_interval_ms: u64,
    /// Time without a tick from which the process counts as paused, in milliseconds.
    pub pause_min_ms: u64,
}

impl Default for PauseSettings {
    fn default() -> Self {
        Self {
            tick_interval_ms: 250,
            pause_min_ms: 400,
        }
    }
}

/// Time in which a process did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pause {
    /// Last time at which the process is known to have run before.
    pub began_at: MonoMs,
    /// When the process ran again.
    pub ended_at: MonoMs,
}

impl Pause {
    /// Returns the duration in milliseconds.
    #[must_use]
    pub const fn duration_ms(&self) -> u64 {
        self.ended_at.since_ms(self.began_at)
    }
}

/// Number of pauses that are remembered.
const PAUSES_MAX: usize = 8;

/// Detects pauses from the times at which a periodic task of the process runs.
#[derive(Debug, Clone)]
pub struct PauseDetector {
    settings: PauseSettings,
    ticked_at: MonoMs,
    recent: VecDeque<Pause>,
}

impl PauseDetector {
    /// Creates a detector for a process that runs now.
    #[must_use]
    pub const fn new(settings: PauseSettings, now: MonoMs) -> Self {
        Self {
            settings,
            ticked_at: now,
            recent: VecDeque::new(),
        }
    }

    /// Records that the process runs; returns the pause that has just ended, if any.
    pub fn tick(&mut self, now: MonoMs) -> Option<Pause> {
        let ended = self.ending_pause(now);
        if let Some(pause) = ended {
            if self.recent.len() >= PAUSES_MAX {
                self.recent.pop_front();
            }
            self.recent.push_back(pause);
        }
        self.ticked_at = now;
        ended
    }

    /// Returns the time from the beginning of the first to the end of the last pause that
    /// ended after `since`, including one that no tick has followed yet.
    #[must_use]
    pub fn pause_after(&self, since: MonoMs, now: MonoMs) -> Option<Pause> {
        let mut all: Option<Pause> = None;
        for pause in self.recent.iter().copied().chain(self.ending_pause(now)) {
            if pause.ended_at <= since {
                continue;
            }
            let began_at = all.map_or(pause.began_at, |first| first.began_at);
            all = Some(Pause { began_at, ..pause });
        }
        all
    }

    /// Returns the longest pause that ended after `since`, including one that no tick has
    /// followed yet.
    #[must_use]
    pub fn longest_after(&self, since: MonoMs, now: MonoMs) -> Option<Pause> {
        let pauses = self.recent.iter().copied().chain(self.ending_pause(now));
        pauses
            .filter(|pause| pause.ended_at > since)
            .max_by_key(Pause::duration_ms)
    }

    fn ending_pause(&self, now: MonoMs) -> Option<Pause> {
        let is_pause = now.since_ms(self.ticked_at) >= self.settings.pause_min_ms;
        is_pause.then_some(Pause {
            began_at: self.ticked_at,
            ended_at: now,
        })
    }
}

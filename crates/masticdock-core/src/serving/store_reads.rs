//! When an agent reads the platform's store itself.
//!
//! Load pattern: after a loss of power, all agents start at the same moment. If each of
//! them read the tables, the links between regions would carry one copy of the
//! configuration per agent, and requests of callers would wait behind them for seconds.
//! Entries follow the tables anyway and tell agents what they need, so an agent reads
//! the store only while no entry with a working connection to the store informs it.

use crate::units::MonoMs;

/// Settings of a [`StoreReadSchedule`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreReadSettings {
    /// Age of an entry's last successful poll from which its information is stale, in
    /// milliseconds; longer than a long poll of an entry.
    pub informed_ms: u64,
    /// Time after the start in which an agent only waits for entries, in milliseconds.
    pub start_wait_ms: u64,
    /// Time over which the first reads of many agents are spread, in milliseconds.
    pub spread_ms: u64,
    /// Interval between reads while no entry can be heard, in milliseconds.
    pub interval_ms: u64,
    /// Interval between reads while entries can be heard that do not reach the store, in
    /// milliseconds: the store is probably down.
    pub stale_interval_ms: u64,
}

impl Default for StoreReadSettings {
    fn default() -> Self {
        Self {
            informed_ms: 4_000,
            start_wait_ms: 1_500,
            spread_ms: 1_500,
            interval_ms: 1_200,
            stale_interval_ms: 3_000,
        }
    }
}

/// Time without a hello from which no entry can be heard, in milliseconds; entries send
/// one each second.
const SILENT_MS: u64 = 2_500;

/// Times of the reads of one agent.
#[derive(Debug, Clone, Copy)]
pub struct StoreReadSchedule {
    settings: StoreReadSettings,
    started_at: MonoMs,
    /// Latest time at which an entry that informs this agent reached the store.
    informed_at: Option<MonoMs>,
    heard_at: Option<MonoMs>,
    read_at: Option<MonoMs>,
}

impl StoreReadSchedule {
    /// Creates the schedule of an agent that starts now.
    #[must_use]
    pub const fn new(settings: StoreReadSettings, now: MonoMs) -> Self {
        Self {
            settings,
            started_at: now,
            informed_at: None,
            heard_at: None,
            read_at: None,
        }
    }

    /// Records a hello of an entry whose last successful poll of the store was
    /// `poll_age_ms` ago.
    pub fn record_hello(&mut self, poll_age_ms: u64, now: MonoMs) {
        let polled_at = MonoMs(now.0.saturating_sub(poll_age_ms));
        self.informed_at = self.informed_at.max(Some(polled_at));
        self.heard_at = Some(now);
    }

    /// Records a read of the store, whether it succeeded or not.
    pub const fn record_read(&mut self, now: MonoMs) {
        self.read_at = Some(now);
    }

    /// Returns when the next read is due; `draw` is uniformly distributed in 0..1.
    #[must_use]
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    pub fn due_at(&self, draw: f64, now: MonoMs) -> MonoMs {
        let waits_until = self.started_at.plus_ms(self.settings.start_wait_ms);
        let mut informed_until = self
            .informed_at
            .map_or(waits_until, |at| at.plus_ms(self.settings.informed_ms));
        let silent_since = self.heard_at.map(|heard_at| heard_at.plus_ms(SILENT_MS));
        let mut interval_ms = self.settings.stale_interval_ms;
        if silent_since.is_none_or(|since| now >= since) {
            interval_ms = self.settings.interval_ms;
            informed_until = informed_until.min(silent_since.unwrap_or(waits_until));
        }
        let spread_ms = (self.settings.spread_ms as f64 * draw) as u64;
        let uninformed_at = waits_until.max(informed_until).plus_ms(spread_ms);
        let rested_at = self.read_at.map_or(MonoMs(0), |at| at.plus_ms(interval_ms));
        uninformed_at.max(rested_at)
    }
}

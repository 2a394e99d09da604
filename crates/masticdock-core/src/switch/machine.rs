//! Interpreter of the state chart.

use super::chart::Chart;
use super::names::{SwitchAction, SwitchEvent, SwitchTimeout};
use crate::membership::Phase;
use crate::units::MonoMs;

/// Durations of the time-outs that the chart names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Longest time in which requests in progress end, in milliseconds.
    pub drain_ms: u64,
    /// Longest time in which an engine loads, in milliseconds.
    pub load_ms: u64,
}

impl Timeouts {
    const fn get_ms(&self, timeout: SwitchTimeout) -> u64 {
        match timeout {
            SwitchTimeout::Drain => self.drain_ms,
            SwitchTimeout::Load => self.load_ms,
        }
    }
}

/// Position of one VM in the chart.
#[derive(Debug, Clone)]
pub struct StateMachine {
    chart: Chart,
    timeouts: Timeouts,
    phase: Phase,
    entered_at: MonoMs,
}

impl StateMachine {
    /// Starts in the initial state.
    #[must_use]
    pub fn new(chart: Chart, timeouts: Timeouts, now: MonoMs) -> Self {
        Self {
            phase: chart.initial(),
            chart,
            timeouts,
            entered_at: now,
        }
    }

    /// Returns the state.
    #[must_use]
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Follows the edge of `event` and returns its actions; none when it is ignored.
    pub fn handle(&mut self, event: SwitchEvent, now: MonoMs) -> Vec<SwitchAction> {
        let Some(edge) = self.chart.transition(self.phase, event) else {
            return Vec::new();
        };
        self.phase = edge.to;
        self.entered_at = now;
        edge.actions.clone()
    }

    /// Returns true when the time-out of the state has passed.
    #[must_use]
    pub fn is_timed_out(&self, now: MonoMs) -> bool {
        let Some(timeout) = self.chart.timeout(self.phase) else {
            return false;
        };
        now.since_ms(self.entered_at) >= self.timeouts.get_ms(timeout)
    }
}

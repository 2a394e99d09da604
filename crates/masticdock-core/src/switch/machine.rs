//! State machine that interprets the state chart.

use super::chart::Chart;
use super::names::{SwitchAction, SwitchEvent, SwitchTimeout};
use crate::membership::Phase;
use crate::units::MonoMs;

/// Durations of the timeouts that the chart refers to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeouts {
    /// Maximum time for requests in progress to end, in milliseconds.
    pub drain_ms: u64,
    /// Maximum time for an engine to load a version, in milliseconds.
    pub load_ms: u64,
}

impl Timeouts {
    const fn duration_ms(&self, timeout: SwitchTimeout) -> u64 {
        match timeout {
            SwitchTimeout::Drain => self.drain_ms,
            SwitchTimeout::Load => self.load_ms,
        }
    }
}

/// State machine of one VM.
#[derive(Debug, Clone)]
pub struct StateMachine {
    chart: Chart,
    timeouts: Timeouts,
    phase: Phase,
    entered_at: MonoMs,
}

impl StateMachine {
    /// Creates a state machine in the initial state of the chart.
    #[must_use]
    pub fn new(chart: Chart, timeouts: Timeouts, now: MonoMs) -> Self {
        Self {
            phase: chart.initial(),
            chart,
            timeouts,
            entered_at: now,
        }
    }

    /// Returns the current state.
    #[must_use]
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Makes the transition for `event` and returns its actions. Returns no actions
    /// if the current state ignores the event.
    pub fn handle(&mut self, event: SwitchEvent, now: MonoMs) -> Vec<SwitchAction> {
        let Some(transition) = self.chart.transition(self.phase, event) else {
            return Vec::new();
        };
        self.phase = transition.to;
        self.entered_at = now;
        transition.actions.clone()
    }

    /// Returns true if the timeout of the current state has expired.
    #[must_use]
    pub fn is_timed_out(&self, now: MonoMs) -> bool {
        let Some(timeout) = self.chart.timeout(self.phase) else {
            return false;
        };
        now.since_ms(self.entered_at) >= self.timeouts.duration_ms(timeout)
    }
}

//! Reading and checking of the state chart.

use std::collections::BTreeMap;

use serde::Deserialize;

use super::error::{ChartError, ChartErrorKind};
use super::names::{PHASES, SwitchAction, SwitchEvent, SwitchTimeout, find_phase, phase_name};
use crate::membership::Phase;

const BUILT_IN: &str = include_str!("switch.chart.yaml");

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawChart {
    initial: String,
    states: BTreeMap<String, RawState>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawState {
    timeout: Option<String>,
    on: BTreeMap<String, RawTransition>,
    #[serde(default)]
    ignore: Vec<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawTransition {
    to: String,
    #[serde(rename = "do")]
    actions: Vec<String>,
}

/// One edge of the chart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transition {
    /// State that the edge leads to.
    pub to: Phase,
    /// What the agent does, in order.
    pub actions: Vec<SwitchAction>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct State {
    timeout: Option<SwitchTimeout>,
    edges: BTreeMap<SwitchEvent, Transition>,
}

/// Checked state chart of one VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chart {
    initial: Phase,
    states: Vec<State>,
}

const fn index(phase: Phase) -> usize {
    phase as usize
}

impl Chart {
    /// Reads the chart that is compiled into the program.
    ///
    /// # Errors
    ///
    /// Names the state that is wrong.
    pub fn built_in() -> Result<Self, ChartError> {
        Self::parse(BUILT_IN)
    }

    /// Reads and checks a chart.
    ///
    /// # Errors
    ///
    /// Names the state that is wrong.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let raw: RawChart = serde_yaml_ng::from_str(text).map_err(|error| {
            ChartError::new(ChartErrorKind::Malformed, "file", error.to_string())
        })?;
        let initial = phase(&raw.initial, "initial")?;
        for name in raw.states.keys() {
            phase(name, "states")?;
        }
        let mut states = Vec::with_capacity(PHASES.len());
        for expected in PHASES {
            let name = phase_name(expected);
            let Some(raw_state) = raw.states.get(name) else {
                return Err(ChartError::new(
                    ChartErrorKind::UnknownState,
                    name,
                    "the state is missing",
                ));
            };
            states.push(read_state(name, raw_state)?);
        }
        let chart = Self { initial, states };
        chart.check_reachable()?;
        Ok(chart)
    }

    /// Returns the state in which a VM starts.
    #[must_use]
    pub const fn initial(&self) -> Phase {
        self.initial
    }

    /// Returns the edge of an event; `None` when the state ignores it.
    #[must_use]
    pub fn transition(&self, from: Phase, event: SwitchEvent) -> Option<&Transition> {
        self.states[index(from)].edges.get(&event)
    }

    /// Returns the time-out of a state.
    #[must_use]
    pub fn timeout(&self, of: Phase) -> Option<SwitchTimeout> {
        self.states[index(of)].timeout
    }

    fn check_reachable(&self) -> Result<(), ChartError> {
        let mut reached = [false; PHASES.len()];
        let mut open = vec![self.initial];
        while let Some(phase) = open.pop() {
            if std::mem::replace(&mut reached[index(phase)], true) {
                continue;
            }
            open.extend(self.states[index(phase)].edges.values().map(|edge| edge.to));
        }
        for phase in PHASES {
            if !reached[index(phase)] {
                return Err(ChartError::new(
                    ChartErrorKind::Unreachable,
                    phase_name(phase),
                    "no sequence of events leads to this state",
                ));
            }
        }
        Ok(())
    }
}

fn phase(name: &str, place: &str) -> Result<Phase, ChartError> {
    find_phase(name).ok_or_else(|| {
        let message = format!("there is no state `{name}`");
        ChartError::new(ChartErrorKind::UnknownState, place, message)
    })
}

fn event(name: &str, place: &str) -> Result<SwitchEvent, ChartError> {
    SwitchEvent::find(name).ok_or_else(|| {
        let message = format!("there is no event `{name}`");
        ChartError::new(ChartErrorKind::UnknownEvent, place, message)
    })
}

fn read_state(place: &str, raw: &RawState) -> Result<State, ChartError> {
    let mut state = State::default();
    for (name, raw_edge) in &raw.on {
        let edge = read_edge(place, raw_edge)?;
        state.edges.insert(event(name, place)?, edge);
    }
    let mut ignored = Vec::with_capacity(raw.ignore.len());
    for name in &raw.ignore {
        ignored.push(event(name, place)?);
    }
    check_events(place, &state, &ignored)?;
    state.timeout = read_timeout(place, raw)?;
    let has_edge = state.edges.contains_key(&SwitchEvent::TimedOut);
    if has_edge != state.timeout.is_some() {
        return Err(ChartError::new(
            ChartErrorKind::InvalidTimeout,
            place,
            "`timeout` and an edge for `timed_out` come together",
        ));
    }
    Ok(state)
}

fn read_edge(place: &str, raw: &RawTransition) -> Result<Transition, ChartError> {
    let mut actions = Vec::with_capacity(raw.actions.len());
    for name in &raw.actions {
        let Some(action) = SwitchAction::find(name) else {
            let message = format!("there is no action `{name}`");
            return Err(ChartError::new(
                ChartErrorKind::UnknownAction,
                place,
                message,
            ));
        };
        actions.push(action);
    }
    Ok(Transition {
        to: phase(&raw.to, place)?,
        actions,
    })
}

fn read_timeout(place: &str, raw: &RawState) -> Result<Option<SwitchTimeout>, ChartError> {
    let Some(name) = &raw.timeout else {
        return Ok(None);
    };
    let timeout = SwitchTimeout::find(name).ok_or_else(|| {
        let message = format!("there is no time-out `{name}`");
        ChartError::new(ChartErrorKind::InvalidTimeout, place, message)
    })?;
    Ok(Some(timeout))
}

fn check_events(place: &str, state: &State, ignored: &[SwitchEvent]) -> Result<(), ChartError> {
    for event in SwitchEvent::ALL {
        let name = event.as_str();
        match (state.edges.contains_key(event), ignored.contains(event)) {
            (true, true) => {
                let message = format!("event `{name}` is both handled and ignored");
                return Err(ChartError::new(
                    ChartErrorKind::ConflictingEvent,
                    place,
                    message,
                ));
            }
            (false, false) => {
                let message = format!("event `{name}` is neither handled nor ignored");
                return Err(ChartError::new(
                    ChartErrorKind::UnhandledEvent,
                    place,
                    message,
                ));
            }
            _ => {}
        }
    }
    Ok(())
}

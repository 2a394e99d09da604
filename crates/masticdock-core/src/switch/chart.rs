//! Parsing and validation of the state chart.

use std::collections::BTreeMap;

use serde::Deserialize;

use super::error::{ChartError, ChartErrorKind};
use super::names::{PHASES, SwitchAction, SwitchEvent, SwitchTimeout, phase_from_name, phase_name};
use crate::membership::Phase;

const BUILT_IN_CHART: &str = include_str!("switch.chart.yaml");

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

/// Transition to a state of the chart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transition {
    /// State after the transition.
    pub to: Phase,
    /// Actions of the agent, in order.
    pub actions: Vec<SwitchAction>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct State {
    timeout: Option<SwitchTimeout>,
    transitions: BTreeMap<SwitchEvent, Transition>,
}

/// Validated state chart of one VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chart {
    initial: Phase,
    states: Vec<State>,
}

const fn index(phase: Phase) -> usize {
    phase as usize
}

impl Chart {
    /// Parses the chart that is compiled into the program.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid part of the chart.
    pub fn built_in() -> Result<Self, ChartError> {
        Self::parse(BUILT_IN_CHART)
    }

    /// Parses and validates a chart.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid part of the chart.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let raw: RawChart = serde_yaml_ng::from_str(text).map_err(|error| {
            ChartError::new(ChartErrorKind::Malformed, "file", error.to_string())
        })?;
        let initial = parse_phase(&raw.initial, "initial")?;
        for name in raw.states.keys() {
            parse_phase(name, "states")?;
        }
        let mut states = Vec::with_capacity(PHASES.len());
        for expected in PHASES {
            let name = phase_name(expected);
            let Some(raw_state) = raw.states.get(name) else {
                return Err(ChartError::new(
                    ChartErrorKind::UnknownState,
                    name,
                    "the state is not defined",
                ));
            };
            states.push(parse_state(name, raw_state)?);
        }
        let chart = Self { initial, states };
        chart.check_reachable()?;
        Ok(chart)
    }

    /// Returns the initial state.
    #[must_use]
    pub const fn initial(&self) -> Phase {
        self.initial
    }

    /// Returns the transition for an event, or `None` if the state ignores it.
    #[must_use]
    pub fn transition(&self, from: Phase, event: SwitchEvent) -> Option<&Transition> {
        self.states[index(from)].transitions.get(&event)
    }

    /// Returns the timeout of a state, if it has one.
    #[must_use]
    pub fn timeout(&self, of: Phase) -> Option<SwitchTimeout> {
        self.states[index(of)].timeout
    }

    fn check_reachable(&self) -> Result<(), ChartError> {
        let mut reached = [false; PHASES.len()];
        let mut pending = vec![self.initial];
        while let Some(phase) = pending.pop() {
            if std::mem::replace(&mut reached[index(phase)], true) {
                continue;
            }
            pending.extend(
                self.states[index(phase)]
                    .transitions
                    .values()
                    .map(|transition| transition.to),
            );
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

fn parse_phase(name: &str, location: &str) -> Result<Phase, ChartError> {
    phase_from_name(name).ok_or_else(|| {
        let message = format!("unknown state `{name}`");
        ChartError::new(ChartErrorKind::UnknownState, location, message)
    })
}

fn parse_event(name: &str, location: &str) -> Result<SwitchEvent, ChartError> {
    SwitchEvent::from_name(name).ok_or_else(|| {
        let message = format!("unknown event `{name}`");
        ChartError::new(ChartErrorKind::UnknownEvent, location, message)
    })
}

fn parse_state(location: &str, raw: &RawState) -> Result<State, ChartError> {
    let mut state = State::default();
    for (name, raw_transition) in &raw.on {
        let transition = parse_transition(location, raw_transition)?;
        state
            .transitions
            .insert(parse_event(name, location)?, transition);
    }
    let mut ignored = Vec::with_capacity(raw.ignore.len());
    for name in &raw.ignore {
        ignored.push(parse_event(name, location)?);
    }
    check_events(location, &state, &ignored)?;
    state.timeout = parse_timeout(location, raw)?;
    let handles_timeout = state.transitions.contains_key(&SwitchEvent::TimedOut);
    if handles_timeout != state.timeout.is_some() {
        return Err(ChartError::new(
            ChartErrorKind::InvalidTimeout,
            location,
            "`timeout` and a transition for `timed_out` must be defined together",
        ));
    }
    Ok(state)
}

fn parse_transition(location: &str, raw: &RawTransition) -> Result<Transition, ChartError> {
    let mut actions = Vec::with_capacity(raw.actions.len());
    for name in &raw.actions {
        let Some(action) = SwitchAction::from_name(name) else {
            let message = format!("unknown action `{name}`");
            return Err(ChartError::new(
                ChartErrorKind::UnknownAction,
                location,
                message,
            ));
        };
        actions.push(action);
    }
    Ok(Transition {
        to: parse_phase(&raw.to, location)?,
        actions,
    })
}

fn parse_timeout(location: &str, raw: &RawState) -> Result<Option<SwitchTimeout>, ChartError> {
    let Some(name) = &raw.timeout else {
        return Ok(None);
    };
    let timeout = SwitchTimeout::from_name(name).ok_or_else(|| {
        let message = format!("unknown timeout `{name}`");
        ChartError::new(ChartErrorKind::InvalidTimeout, location, message)
    })?;
    Ok(Some(timeout))
}

fn check_events(location: &str, state: &State, ignored: &[SwitchEvent]) -> Result<(), ChartError> {
    for event in SwitchEvent::ALL {
        let name = event.as_str();
        match (
            state.transitions.contains_key(event),
            ignored.contains(event),
        ) {
            (true, true) => {
                let message = format!("event `{name}` is both handled and ignored");
                return Err(ChartError::new(
                    ChartErrorKind::ConflictingEvent,
                    location,
                    message,
                ));
            }
            (false, false) => {
                let message = format!("event `{name}` is neither handled nor ignored");
                return Err(ChartError::new(
                    ChartErrorKind::UnhandledEvent,
                    location,
                    message,
                ));
            }
            _ => {}
        }
    }
    Ok(())
}

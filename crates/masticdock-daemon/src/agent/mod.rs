//! The agent beside one upstream.

mod gate;
mod run;

pub(crate) use gate::{GateState, InProgress, Refusal, ServingGate};

pub(crate) use run::run;

//! The agent beside one upstream.

mod gate;
mod run;
pub(crate) mod transfer;
pub(crate) mod proxy;

pub(crate) use gate::{GateState, InProgress, Refusal, ServingGate};

pub(crate) use run::run;

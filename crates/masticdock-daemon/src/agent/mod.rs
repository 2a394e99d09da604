//! Agent that runs next to one upstream.

mod gate;
pub(crate) mod proxy;
mod run;
pub(crate) mod switching;
pub(crate) mod transfer;
pub(crate) mod weights;

pub(crate) use gate::{GateState, Rejection, RequestGuard, ServingGate};

pub(crate) use run::run;

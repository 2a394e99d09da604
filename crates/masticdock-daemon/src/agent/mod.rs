//! The agent beside one upstream.

mod gate;
pub(crate) mod transfer;

pub(crate) use gate::{GateState, InProgress, Refusal, ServingGate};

use crate::settings::AgentSettings;

/// Runs an agent until it is told to stop.
///
/// # Errors
///
/// Fails when a listener cannot be opened or a secret cannot be read.
pub(crate) fn run(_settings: AgentSettings) -> anyhow::Result<()> {
    anyhow::bail!("the agent is not implemented yet")
}

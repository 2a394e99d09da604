//! Settings of the daemon, read from YAML and validated before any listener or thread starts.

mod agent;
mod check;
mod common;
mod entry;
mod error;
mod fields;
mod load;
mod locate;
#[cfg(test)]
mod tests;

pub(crate) use agent::{AgentSettings, LinkSettings, TransferSettings, UpstreamSettings};
pub(crate) use common::{GossipSettings, NodeSettings, PlatformSettings, SecuritySettings};
pub(crate) use entry::{EntrySettings, HttpLimits, RequestSettings};
pub(crate) use error::{SettingsError, SettingsErrorKind};
pub(crate) use load::load;

use serde::Deserialize;

/// Settings of either role, distinguished by the `role` field.
#[derive(Debug, Clone, Deserialize)]
#[serde(tag = "role", rename_all = "kebab-case")]
pub(crate) enum Settings {
    /// Settings of an entry.
    Entry(Box<EntrySettings>),
    /// Settings of an agent.
    Agent(Box<AgentSettings>),
}

impl Settings {
    pub(crate) const fn role(&self) -> &'static str {
        match self {
            Self::Entry(_) => "entry",
            Self::Agent(_) => "agent",
        }
    }
}

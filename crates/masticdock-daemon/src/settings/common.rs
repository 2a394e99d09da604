//! Settings that both roles share.

use std::net::SocketAddr;
use std::path::PathBuf;

use compact_str::CompactString;
use masticdock_core::ids::{RegionId, VmId, ZoneId};
use masticdock_core::membership::SwimConfig;
use serde::{Deserialize, Serialize};

use super::SettingsErrorKind;
use super::check::{Violation, check_url};

/// Identity and location of this process.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct NodeSettings {
    /// VM ID of an agent, or entry ID of an entry.
    pub(crate) id: CompactString,
    /// Region of the process.
    pub(crate) region: RegionId,
    /// Availability zone of the process.
    pub(crate) zone: ZoneId,
    /// Address for gossip (UDP) and Cap'n Proto RPC (TCP), as an IP address.
    pub(crate) peer_addr: SocketAddr,
    /// Listener address for `/healthz`, `/readyz` and `/metrics`.
    pub(crate) status_addr: SocketAddr,
    /// Peer addresses of members to contact when the fleet view is unavailable.
    #[serde(default)]
    pub(crate) seed_addrs: Vec<SocketAddr>,
}

impl NodeSettings {
    pub(super) fn check(&self) -> Result<(), Violation> {
        if let Err(error) = self.id.parse::<VmId>() {
            return Err(Violation {
                kind: SettingsErrorKind::OutOfRange,
                field: "node.id",
                message: error.reason.to_owned(),
                tip: error.tip,
            });
        }
        if self.peer_addr.ip().is_unspecified() || self.peer_addr.port() == 0 {
            return Err(Violation {
                kind: SettingsErrorKind::OutOfRange,
                field: "node.peer_addr",
                message: format!("others cannot reach {}", self.peer_addr),
                tip: "use the address of the VM and a fixed port, for example 10.0.3.17:7401",
            });
        }
        Ok(())
    }
}

/// URLs, timeout and polling intervals of the platform's services.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PlatformSettings {
    /// Base URL of the table service.
    pub(crate) table_url: String,
    /// Name of the table.
    #[serde(default = "default_table_name")]
    pub(crate) table_name: String,
    /// Base URL of the object store.
    pub(crate) object_store_url: String,
    /// Base URL of the weight origin.
    pub(crate) origin_url: String,
    /// URL of the fleet view.
    pub(crate) fleet_view_url: String,
    /// Timeout of one call, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub(crate) timeout_ms: u64,
    /// Interval at which a reader polls the table's head, in milliseconds.
    #[serde(default = "default_head_poll_interval_ms")]
    pub(crate) head_poll_interval_ms: u64,
    /// Interval at which a reader polls the fleet view, in milliseconds.
    #[serde(default = "default_fleet_poll_interval_ms")]
    pub(crate) fleet_poll_interval_ms: u64,
}

fn default_table_name() -> String {
    "masticdock".to_owned()
}

const fn default_timeout_ms() -> u64 {
    2_000
}

const fn default_head_poll_interval_ms() -> u64 {
    500
}

const fn default_fleet_poll_interval_ms() -> u64 {
    2_000
}

impl PlatformSettings {
    pub(super) fn check(&self) -> Result<(), Violation> {
        check_url("platform.table_url", &self.table_url)?;
        check_url("platform.object_store_url", &self.object_store_url)?;
        check_url("platform.origin_url", &self.origin_url)?;
        check_url("platform.fleet_view_url", &self.fleet_view_url)
    }
}

/// Files that hold secrets; their contents are never printed.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SecuritySettings {
    /// File with the key that all masticdock processes share.
    pub(crate) peer_key_file: PathBuf,
}

/// Timing of gossip and probes.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct GossipSettings {
    /// Interval between pushes of new updates, in milliseconds.
    pub(crate) push_interval_ms: u64,
    /// Number of members that receive each push.
    pub(crate) push_fanout: u64,
    /// Interval between probes, in milliseconds.
    pub(crate) probe_interval_ms: u64,
    /// Timeout for the answer to a probe, in milliseconds.
    pub(crate) probe_timeout_ms: u64,
    /// Number of members asked to probe on this member's behalf.
    pub(crate) indirect_probes: u64,
    /// Time within which a suspected member can refute the suspicion, in milliseconds.
    pub(crate) suspicion_ms: u64,
}

impl Default for GossipSettings {
    fn default() -> Self {
        let swim = SwimConfig::default();
        let count = |value: usize| u64::try_from(value).unwrap_or(u64::MAX);
        Self {
            push_interval_ms: swim.push_interval_ms,
            push_fanout: count(swim.push_fanout),
            probe_interval_ms: swim.probe_interval_ms,
            probe_timeout_ms: swim.probe_timeout_ms,
            indirect_probes: count(swim.indirect_probes),
            suspicion_ms: swim.suspicion_ms,
        }
    }
}

impl GossipSettings {
    pub(super) fn check(&self) -> Result<(), Violation> {
        if self.probe_timeout_ms >= self.probe_interval_ms {
            return Err(Violation {
                kind: SettingsErrorKind::Contradiction,
                field: "gossip.probe_timeout_ms",
                message: "it is not below `gossip.probe_interval_ms`".to_owned(),
                tip: "use about 400 for an interval of 1000",
            });
        }
        if self.suspicion_ms < self.probe_interval_ms {
            return Err(Violation {
                kind: SettingsErrorKind::Contradiction,
                field: "gossip.suspicion_ms",
                message: "it is below `gossip.probe_interval_ms`, so a suspect could not refute"
                    .to_owned(),
                tip: "use about three probe intervals",
            });
        }
        Ok(())
    }
}

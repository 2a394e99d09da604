//! Settings of an agent.

use std::net::SocketAddr;

use masticdock_core::ids::ServiceId;
use masticdock_core::units::{BytesPerSecond, Share};
use serde::{Deserialize, Serialize};

use super::check::{Violation, check_distinct, check_url};
use super::{
    GossipSettings, HttpLimits, NodeSettings, PlatformSettings, SecuritySettings, SettingsErrorKind,
};

/// Settings of `masticdockd agent`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct AgentSettings {
    /// Always `agent`; the loader selects the type of the settings by it.
    #[serde(rename = "role")]
    pub(crate) _role: String,
    /// Identity and location of this process.
    pub(crate) node: NodeSettings,
    /// Address to which entries send requests.
    pub(crate) traffic_addr: SocketAddr,
    /// Loopback address from which the engine reads weights.
    pub(crate) weights_addr: SocketAddr,
    /// The upstream that runs next to this agent.
    pub(crate) upstream: UpstreamSettings,
    /// URLs, timeout and polling intervals of the platform's services.
    pub(crate) platform: PlatformSettings,
    /// Files with secrets.
    pub(crate) security: SecuritySettings,
    /// Rates of the links of this VM, and the shares that weights may use.
    #[serde(default)]
    pub(crate) links: LinkSettings,
    /// Transfer of weights between agents.
    #[serde(default)]
    pub(crate) transfer: TransferSettings,
    /// Timing of gossip and probes.
    #[serde(default)]
    pub(crate) gossip: GossipSettings,
    /// Time after which a switch slot expires unless renewed, in milliseconds.
    #[serde(default = "default_slot_lease_ms")]
    pub(crate) slot_lease_ms: u64,
    /// Timeout for an engine to load a version, in milliseconds.
    #[serde(default = "default_load_timeout_ms")]
    pub(crate) load_timeout_ms: u64,
    /// Limits of the listeners.
    #[serde(default)]
    pub(crate) http: HttpLimits,
}

const fn default_slot_lease_ms() -> u64 {
    15_000
}

const fn default_load_timeout_ms() -> u64 {
    300_000
}

impl AgentSettings {
    pub(super) fn check(&self) -> Result<(), Violation> {
        self.node.check()?;
        self.platform.check()?;
        self.gossip.check()?;
        self.upstream.check()?;
        if !self.weights_addr.ip().is_loopback() {
            return Err(Violation {
                kind: SettingsErrorKind::OutOfRange,
                field: "weights_addr",
                message: "it is not a loopback address, so others could read the weights"
                    .to_owned(),
                tip: "use an address such as 127.0.0.1:7403",
            });
        }
        check_distinct(&[
            ("node.peer_addr", self.node.peer_addr),
            ("node.status_addr", self.node.status_addr),
            ("traffic_addr", self.traffic_addr),
            ("weights_addr", self.weights_addr),
        ])
    }
}

/// Whether the upstream's engine checks fencing numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Fencing {
    /// The engine rejects an order with an outdated fencing number.
    Checked,
    /// The engine ignores the fencing number.
    Ignored,
}

/// The upstream that runs next to an agent.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct UpstreamSettings {
    /// True for a model engine, false for a plain service.
    pub(crate) engine: bool,
    /// Base URL of the upstream.
    pub(crate) url: String,
    /// Whether the engine checks fencing numbers.
    #[serde(default = "default_fencing")]
    pub(crate) fencing: Fencing,
    /// Services that this upstream serves.
    pub(crate) services: Vec<ServiceId>,
}

const fn default_fencing() -> Fencing {
    Fencing::Ignored
}

impl UpstreamSettings {
    fn check(&self) -> Result<(), Violation> {
        check_url("upstream.url", &self.url)?;
        if self.services.is_empty() {
            return Err(Violation {
                kind: SettingsErrorKind::OutOfRange,
                field: "upstream.services",
                message: "it names no service, so no request would reach the upstream".to_owned(),
                tip: "name the services as operators write them, for example [assistant]",
            });
        }
        if !self.engine && self.fencing == Fencing::Checked {
            return Err(Violation {
                kind: SettingsErrorKind::Contradiction,
                field: "upstream.fencing",
                message: "`upstream.engine` is false, and a plain service takes no orders"
                    .to_owned(),
                tip: "remove `fencing` or set `engine: true`",
            });
        }
        Ok(())
    }
}

/// Rates of the links of a VM, and the shares that weights may use; a rate of 0 means no limit.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct LinkSettings {
    /// Rate of the VM's own link in each direction.
    pub(crate) vm_rate_bytes_per_s: BytesPerSecond,
    /// Share of the VM's link that weights may use.
    pub(crate) weights_share: Share,
    /// Rate of the link between two regions.
    pub(crate) inter_region_rate_bytes_per_s: BytesPerSecond,
    /// Share of the link between regions that weights may use.
    pub(crate) inter_region_share: Share,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            vm_rate_bytes_per_s: BytesPerSecond(0),
            weights_share: Share::from_milli(800),
            inter_region_rate_bytes_per_s: BytesPerSecond(25_000_000 / 8),
            inter_region_share: Share::from_milli(200),
        }
    }
}

/// Transfer of weights between agents.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct TransferSettings {
    /// Number of neighbours from which an agent receives have-bitmaps.
    pub(crate) neighbours: u64,
    /// Maximum number of chunks sent concurrently.
    pub(crate) upload_slots: u64,
    /// Maximum number of chunk requests in flight.
    pub(crate) download_slots: u64,
    /// Interval between announcements, in milliseconds.
    pub(crate) announce_interval_ms: u64,
    /// Time without a complete chunk after which a second sender is asked, in milliseconds.
    pub(crate) stall_timeout_ms: u64,
    /// Time for which a complete copy is still offered to other agents, in milliseconds.
    pub(crate) seeding_ms: u64,
}

impl Default for TransferSettings {
    fn default() -> Self {
        Self {
            neighbours: 10,
            upload_slots: 4,
            download_slots: 4,
            announce_interval_ms: 1_000,
            stall_timeout_ms: 3_000,
            seeding_ms: 600_000,
        }
    }
}

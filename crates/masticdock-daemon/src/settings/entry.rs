//! Settings of an entry.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use super::SettingsErrorKind;
use super::check::{Finding, check_distinct};
use super::{GossipSettings, NodeSettings, PlatformSettings, SecuritySettings};

/// Settings of `masticdockd entry`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct EntrySettings {
    /// Always `entry`; read by the loader.
    #[serde(rename = "role")]
    pub(crate) _role: String,
    /// Who and where this process is.
    pub(crate) node: NodeSettings,
    /// Address for callers, behind the platform's balancer.
    pub(crate) callers_addr: SocketAddr,
    /// Address for operators.
    pub(crate) operators_addr: SocketAddr,
    /// File with one `operator:token` pair a line.
    pub(crate) operator_tokens_file: PathBuf,
    /// Where the platform's services are.
    pub(crate) platform: PlatformSettings,
    /// Files with secrets.
    pub(crate) security: SecuritySettings,
    /// Timing of gossip and probes.
    #[serde(default)]
    pub(crate) gossip: GossipSettings,
    /// Handling of requests.
    #[serde(default)]
    pub(crate) requests: RequestSettings,
    /// Limits of the listeners.
    #[serde(default)]
    pub(crate) http: HttpLimits,
}

impl EntrySettings {
    pub(super) fn check(&self) -> Result<(), Finding> {
        self.node.check()?;
        self.platform.check()?;
        self.gossip.check()?;
        if self.operator_tokens_file == self.security.peer_key_file {
            return Err(Finding {
                kind: SettingsErrorKind::Contradiction,
                field: "operator_tokens_file",
                message: "it is the same file as `security.peer_key_file`".to_owned(),
                tip: "keep the key and the tokens in two files",
            });
        }
        check_distinct(&[
            ("node.peer_addr", self.node.peer_addr),
            ("node.status_addr", self.node.status_addr),
            ("callers_addr", self.callers_addr),
            ("operators_addr", self.operators_addr),
        ])
    }
}

/// Handling of requests by an entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RequestSettings {
    /// Upstreams that one entry sends to, per service.
    pub(crate) subset_size: u64,
    /// Retries allowed for each 100 requests.
    pub(crate) retry_budget_percent: u64,
    /// Attempts for one request, the first one included.
    pub(crate) attempts_max: u64,
    /// Load of an upstream over the mean above which affinity gives way, in percent.
    pub(crate) load_bound_percent: u64,
    /// Requests in progress that one upstream takes from this entry.
    pub(crate) per_upstream_in_progress_max: u64,
    /// Deaths of upstreams after which a request is refused.
    pub(crate) crash_limit: u64,
    /// Time for which such a request is refused, in milliseconds.
    pub(crate) crash_memory_ms: u64,
    /// Time without a byte after which an attempt counts as stalled, in milliseconds.
    pub(crate) stall_timeout_ms: u64,
}

impl Default for RequestSettings {
    fn default() -> Self {
        Self {
            subset_size: 24,
            retry_budget_percent: 20,
            attempts_max: 4,
            load_bound_percent: 125,
            per_upstream_in_progress_max: 64,
            crash_limit: 3,
            crash_memory_ms: 3_600_000,
            stall_timeout_ms: 2_000,
        }
    }
}

/// Limits of an HTTP listener.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct HttpLimits {
    /// Largest request body, in bytes.
    pub(crate) body_bytes_max: u64,
    /// Largest total of the request headers, in bytes.
    pub(crate) header_bytes_max: u64,
    /// Requests handled at once, each on its own thread.
    pub(crate) connections_max: u64,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            body_bytes_max: 1 << 20,
            header_bytes_max: 16 << 10,
            connections_max: 512,
        }
    }
}

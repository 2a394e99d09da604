//! Settings of an entry.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use super::SettingsErrorKind;
use super::check::{Violation, check_distinct};
use super::{GossipSettings, NodeSettings, PlatformSettings, SecuritySettings};

/// Settings of `masticdockd entry`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct EntrySettings {
    /// Always `entry`; the loader selects the type of the settings by it.
    #[serde(rename = "role")]
    pub(crate) _role: String,
    /// Identity and location of this process.
    pub(crate) node: NodeSettings,
    /// Listener address for callers, behind the platform's load balancer.
    pub(crate) callers_addr: SocketAddr,
    /// Listener address for operators.
    pub(crate) operators_addr: SocketAddr,
    /// File with one `operator:token` pair per line.
    pub(crate) operator_tokens_file: PathBuf,
    /// URLs, timeout and polling intervals of the platform's services.
    pub(crate) platform: PlatformSettings,
    /// Files with secrets.
    pub(crate) security: SecuritySettings,
    /// Timing of gossip and probes.
    #[serde(default)]
    pub(crate) gossip: GossipSettings,
    /// Routing and retry limits of requests.
    #[serde(default)]
    pub(crate) requests: RequestSettings,
    /// Limits of the listeners.
    #[serde(default)]
    pub(crate) http: HttpLimits,
}

impl EntrySettings {
    pub(super) fn check(&self) -> Result<(), Violation> {
        self.node.check()?;
        self.platform.check()?;
        self.gossip.check()?;
        if self.operator_tokens_file == self.security.peer_key_file {
            return Err(Violation {
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

/// Routing and retry limits of an entry's requests.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RequestSettings {
    /// Number of upstreams per service to which one entry sends requests.
    pub(crate) subset_size: u64,
    /// Maximum number of retries per 100 requests.
    pub(crate) retry_budget_percent: u64,
    /// Maximum number of attempts for one request, including the first.
    pub(crate) attempts_max: u64,
    /// Load of an upstream, in percent of the mean, above which affinity no longer applies.
    pub(crate) load_bound_percent: u64,
    /// Maximum number of requests in progress from this entry to one upstream.
    pub(crate) per_upstream_in_progress_max: u64,
    /// Number of upstream crashes attributed to a request after which it is rejected.
    pub(crate) crash_limit: u64,
    /// Time for which a request that reached `crash_limit` is rejected, in milliseconds.
    pub(crate) crash_memory_ms: u64,
    /// Time without a byte of an agent, which sends heartbeats, after which an attempt is given up
    /// for a retry, in milliseconds.
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
    /// Maximum size of a request body, in bytes.
    pub(crate) body_bytes_max: u64,
    /// Maximum total size of the request headers, in bytes.
    pub(crate) header_bytes_max: u64,
    /// Maximum number of requests handled concurrently, each on its own thread.
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

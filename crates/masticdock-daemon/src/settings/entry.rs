//! Settings of an entry.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

use super::load::{Finding, in_range};
use super::{GossipSettings, NodeSettings, PlatformSettings, SecuritySettings};

/// Settings of `masticdockd entry`.
#[derive(Debug, Clone, Deserialize)]
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
        self.platform.check()?;
        self.gossip.check()?;
        self.requests.check()?;
        self.http.check()
    }
}

/// Handling of requests by an entry.
#[derive(Debug, Clone, Deserialize)]
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

impl RequestSettings {
    fn check(&self) -> Result<(), Finding> {
        in_range("requests.subset_size", self.subset_size, 2..=200)?;
        in_range(
            "requests.retry_budget_percent",
            self.retry_budget_percent,
            0..=100,
        )?;
        in_range("requests.attempts_max", self.attempts_max, 1..=10)?;
        in_range(
            "requests.load_bound_percent",
            self.load_bound_percent,
            101..=1_000,
        )?;
        in_range(
            "requests.per_upstream_in_progress_max",
            self.per_upstream_in_progress_max,
            1..=10_000,
        )?;
        in_range("requests.crash_limit", self.crash_limit, 1..=10)?;
        in_range(
            "requests.crash_memory_ms",
            self.crash_memory_ms,
            1_000..=86_400_000,
        )?;
        in_range(
            "requests.stall_timeout_ms",
            self.stall_timeout_ms,
            50..=600_000,
        )
    }
}

/// Limits of an HTTP listener.
#[derive(Debug, Clone, Deserialize)]
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

impl HttpLimits {
    pub(super) fn check(&self) -> Result<(), Finding> {
        in_range(
            "http.body_bytes_max",
            self.body_bytes_max,
            1_024..=(64 << 20),
        )?;
        in_range(
            "http.header_bytes_max",
            self.header_bytes_max,
            1_024..=(1 << 20),
        )?;
        in_range("http.connections_max", self.connections_max, 1..=4_096)
    }
}

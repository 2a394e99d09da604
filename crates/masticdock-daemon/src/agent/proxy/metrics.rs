//! Metrics of the proxy.

use prometheus::{Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry};

/// Upper bounds of the histogram buckets of the claim time, in seconds.
const CLAIM_BUCKETS_S: [f64; 8] = [0.001, 0.002, 0.005, 0.01, 0.05, 0.2, 1.0, 5.0];

/// Metrics of the proxy.
pub(super) struct ProxyMetrics {
    /// Number of ended requests by outcome and problem type.
    pub(super) requests: IntCounterVec,
    /// Number of requests in progress.
    pub(super) in_progress: IntGauge,
    /// Time to claim a request key in the table.
    pub(super) claim_seconds: Histogram,
}

impl ProxyMetrics {
    pub(super) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let metrics = Self {
            requests: IntCounterVec::new(
                Opts::new(
                    "masticdock_agent_requests_total",
                    "Requests that ended at this agent",
                ),
                &["outcome", "type"],
            )?,
            in_progress: IntGauge::new(
                "masticdock_agent_requests_in_progress",
                "Requests in progress on the upstream",
            )?,
            claim_seconds: Histogram::with_opts(
                HistogramOpts::new(
                    "masticdock_agent_claim_seconds",
                    "Time to claim a request key in the table",
                )
                .buckets(CLAIM_BUCKETS_S.to_vec()),
            )?,
        };
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.in_progress.clone()))?;
        registry.register(Box::new(metrics.claim_seconds.clone()))?;
        Ok(metrics)
    }
}

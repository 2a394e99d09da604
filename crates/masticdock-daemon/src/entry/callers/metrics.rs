//! Metrics of the callers' listener.

use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

/// Upper bounds of the latency histogram buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0, 30.0,
];

/// Metrics of the callers' listener.
pub(super) struct CallerMetrics {
    /// Finished requests by service, outcome and problem type.
    pub(super) requests: IntCounterVec,
    /// Time to the first byte by service.
    pub(super) first_byte_seconds: HistogramVec,
    /// Requests in flight.
    pub(super) in_progress: IntGauge,
    /// Attempts after the first one.
    pub(super) retries: IntCounter,
    /// Streams resumed on another upstream.
    pub(super) resumed: IntCounter,
}

impl CallerMetrics {
    pub(super) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let metrics = Self {
            requests: IntCounterVec::new(
                Opts::new(
                    "masticdock_entry_requests_total",
                    "Requests of callers that ended",
                ),
                &["service", "outcome", "type"],
            )?,
            first_byte_seconds: HistogramVec::new(
                HistogramOpts::new(
                    "masticdock_entry_first_byte_seconds",
                    "Time from the arrival of a request to its first byte",
                )
                .buckets(LATENCY_BUCKETS_S.to_vec()),
                &["service"],
            )?,
            in_progress: IntGauge::new(
                "masticdock_entry_requests_in_progress",
                "Requests of callers in progress",
            )?,
            retries: IntCounter::new(
                "masticdock_entry_retries_total",
                "Attempts after the first one of a request",
            )?,
            resumed: IntCounter::new(
                "masticdock_entry_resumed_streams_total",
                "Broken streams that were resumed on another upstream",
            )?,
        };
        registry.register(Box::new(metrics.requests.clone()))?;
        registry.register(Box::new(metrics.first_byte_seconds.clone()))?;
        registry.register(Box::new(metrics.in_progress.clone()))?;
        registry.register(Box::new(metrics.retries.clone()))?;
        registry.register(Box::new(metrics.resumed.clone()))?;
        Ok(metrics)
    }
}

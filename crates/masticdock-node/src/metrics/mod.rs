//! Counters and histograms in the Prometheus text format.

use std::net::{IpAddr, SocketAddr};
use std::sync::LazyLock;

use bytes::Bytes;
use http::StatusCode;
use prometheus::{
    Counter, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder, core::Collector,
};

use crate::http_server::{respond, serve};

/// Port of the metrics endpoint; must equal that in `deploy/system.toml`.
const PORT: u16 = 9_464;

/// Metrics of the process.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Number of requests by outcome.
    pub(crate) requests: IntCounterVec,
    /// Number of requests by urgency and decision, for services whose routes have
    /// different priorities.
    pub(crate) admissions: IntCounterVec,
    /// Number of failed attempts at upstreams by outcome.
    pub(crate) attempts: IntCounterVec,
    /// Number of confirmed crashes of upstreams.
    pub(crate) crashes: IntCounter,
    /// Number of times that a feature of requests was blocked.
    pub(crate) blocked_features: IntCounter,
    /// Time to the first event or complete response by outcome, in seconds.
    pub(crate) first_event_seconds: HistogramVec,
    /// Time to the end of the response by outcome, in seconds.
    pub(crate) request_seconds: HistogramVec,
    /// Time in which the process did not run, in seconds.
    pub(crate) paused_seconds: Counter,
    /// Number of entries of the configuration in force that cannot be read.
    pub(crate) unreadable_entries: IntGauge,
    /// Number of times that a row that cannot be read arrived, by table.
    pub(crate) unreadable_rows: IntCounterVec,
    /// Evacuated zones: 1 while evacuated, 0 afterwards.
    pub(crate) evacuated_zones: IntGaugeVec,
    /// Number of upstreams that count as cold.
    pub(crate) cold_upstreams: IntGauge,
    /// Number of times that a cold upstream was no candidate for a request.
    pub(crate) cold_start_skips: IntCounter,
    /// Number of connections from callers that were closed to save memory or descriptors.
    pub(crate) connections_closed: IntCounterVec,
    /// Number of panics of tasks.
    pub(crate) panics: IntCounter,
}

/// Histogram bucket bounds, in seconds: finest around objectives of 0.3 to 0.5 s, and
/// up to timeouts of 0.8 to 6 s.
const BUCKETS_S: [f64; 10] = [0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 1.0, 2.0, 6.0];

static METRICS: LazyLock<Metrics> = LazyLock::new(|| {
    // All names and labels are valid constants.
    Metrics::new().expect("metric names are valid")
});

/// Returns the metrics of the process.
pub(crate) fn metrics() -> &'static Metrics {
    &METRICS
}

impl Metrics {
    fn new() -> prometheus::Result<Self> {
        let requests = IntCounterVec::new(
            Opts::new(
                "masticdock_requests_total",
                "Requests of callers by outcome.",
            ),
            &["outcome"],
        )?;
        let admissions = IntCounterVec::new(
            Opts::new(
                "masticdock_admissions_total",
                "Requests that competed with others of another priority, by decision.",
            ),
            &["priority", "route_priority", "decision"],
        )?;
        let attempts = IntCounterVec::new(
            Opts::new("masticdock_attempts_total", "Attempts at upstreams by end."),
            &["end"],
        )?;
        let crashes = IntCounter::new(
            "masticdock_crashes_total",
            "Confirmed crashes of upstreams.",
        )?;
        let blocked_features = IntCounter::new(
            "masticdock_blocked_features_total",
            "Features of requests that were blocked because they crash upstreams.",
        )?;
        let histogram = |name, help| {
            let options = HistogramOpts::new(name, help).buckets(BUCKETS_S.to_vec());
            HistogramVec::new(options, &["outcome"])
        };
        let first_event_seconds = histogram(
            "masticdock_first_event_seconds",
            "Time from the request to its first event or whole response.",
        )?;
        let request_seconds = histogram(
            "masticdock_request_seconds",
            "Time from the request to the end of its response.",
        )?;
        let paused_seconds = Counter::new(
            "masticdock_paused_seconds_total",
            "Time in which the process did not run.",
        )?;
        let unreadable_entries = IntGauge::new(
            "masticdock_configuration_unreadable_entries",
            "Entries of the configuration in force that cannot be read.",
        )?;
        let unreadable_rows = IntCounterVec::new(
            Opts::new(
                "masticdock_unreadable_rows_total",
                "Rows that cannot be read, by table; the row before stays in effect for operators' rows.",
            ),
            &["table"],
        )?;
        let cold_upstreams = IntGauge::new(
            "masticdock_cold_upstreams",
            "Upstreams that count as cold and get few requests.",
        )?;
        let cold_start_skips = IntCounter::new(
            "masticdock_cold_start_skips_total",
            "Times that a cold upstream was no candidate for a request.",
        )?;
        let panics = IntCounter::new(
            "masticdock_panics_total",
            "Panics of tasks, which are faults of the program.",
        )?;
        let evacuated_zones = IntGaugeVec::new(
            Opts::new(
                "masticdock_evacuated_zones",
                "1 for zones that are evacuated, 0 for those that were.",
            ),
            &["zone"],
        )?;
        let connections_closed = IntCounterVec::new(
            Opts::new(
                "masticdock_connections_closed_total",
                "Connections closed to save memory or descriptors.",
            ),
            &["reason"],
        )?;
        let metrics = Self {
            registry: Registry::new(),
            requests,
            admissions,
            attempts,
            crashes,
            blocked_features,
            first_event_seconds,
            request_seconds,
            paused_seconds,
            unreadable_entries,
            unreadable_rows,
            evacuated_zones,
            cold_upstreams,
            cold_start_skips,
            connections_closed,
            panics,
        };
        metrics.register_all()?;
        Ok(metrics)
    }

    fn register_all(&self) -> prometheus::Result<()> {
        let collectors: [Box<dyn Collector>; 15] = [
            Box::new(self.requests.clone()),
            Box::new(self.connections_closed.clone()),
            Box::new(self.admissions.clone()),
            Box::new(self.attempts.clone()),
            Box::new(self.crashes.clone()),
            Box::new(self.blocked_features.clone()),
            Box::new(self.first_event_seconds.clone()),
            Box::new(self.request_seconds.clone()),
            Box::new(self.paused_seconds.clone()),
            Box::new(self.cold_upstreams.clone()),
            Box::new(self.cold_start_skips.clone()),
            Box::new(self.panics.clone()),
            Box::new(self.unreadable_entries.clone()),
            Box::new(self.unreadable_rows.clone()),
            Box::new(self.evacuated_zones.clone()),
        ];
        for collector in collectors {
            self.registry.register(collector)?;
        }
        Ok(())
    }
}

/// Serves the metrics indefinitely.
pub(crate) async fn serve_metrics(ip: IpAddr) {
    let address = SocketAddr::new(ip, PORT);
    let result = serve(address, |_request| async {
        let families = metrics().registry.gather();
        match TextEncoder::new().encode_to_string(&families) {
            Ok(text) => respond(StatusCode::OK, text),
            Err(error) => {
                log::warn!(event = "metrics.failed", error:% = error; "cannot encode metrics");
                respond(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
            }
        }
    })
    .await;
    if let Err(error) = result {
        log::warn!(event = "listener.failed", address:% = address, error:% = error; "cannot serve metrics");
    }
}

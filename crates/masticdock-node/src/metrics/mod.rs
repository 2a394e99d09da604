//! Counters and histograms in the Prometheus text format.

use std::net::{IpAddr, SocketAddr};
use std::sync::LazyLock;

use bytes::Bytes;
use http::StatusCode;
use prometheus::{HistogramOpts, HistogramVec, IntCounterVec, Opts, Registry, TextEncoder};

use crate::http_server::{respond, serve};

/// Port of the metrics; `deploy/system.toml` names the same one.
const PORT: u16 = 9_464;

/// Metrics of the process.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests by outcome.
    pub(crate) requests: IntCounterVec,
    /// Attempts at upstreams by end.
    pub(crate) attempts: IntCounterVec,
    /// Time to the first event or whole response, by outcome.
    pub(crate) first_seconds: HistogramVec,
    /// Time to the end of the response, by outcome.
    pub(crate) total_seconds: HistogramVec,
}

/// Bounds of the buckets, in seconds: around objectives of 0.3 to 0.5 s and
/// timeouts of 0.8 to 6 s.
const BUCKETS_S: [f64; 10] = [0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 1.0, 2.0, 6.0];

static METRICS: LazyLock<Metrics> = LazyLock::new(|| {
    // Names and labels are constants that the library accepts.
    Metrics::new().expect("metric names are valid")
});

/// Returns the metrics of the process.
pub(crate) fn metrics() -> &'static Metrics {
    &METRICS
}

impl Metrics {
    fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let requests = IntCounterVec::new(
            Opts::new(
                "masticdock_requests_total",
                "Requests of callers by outcome.",
            ),
            &["outcome"],
        )?;
        let attempts = IntCounterVec::new(
            Opts::new("masticdock_attempts_total", "Attempts at upstreams by end."),
            &["end"],
        )?;
        let histogram = |name, help| {
            let options = HistogramOpts::new(name, help).buckets(BUCKETS_S.to_vec());
            HistogramVec::new(options, &["outcome"])
        };
        let first_seconds = histogram(
            "masticdock_first_event_seconds",
            "Time from the request to its first event or whole response.",
        )?;
        let total_seconds = histogram(
            "masticdock_request_seconds",
            "Time from the request to the end of its response.",
        )?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(attempts.clone()))?;
        registry.register(Box::new(first_seconds.clone()))?;
        registry.register(Box::new(total_seconds.clone()))?;
        Ok(Self {
            registry,
            requests,
            attempts,
            first_seconds,
            total_seconds,
        })
    }
}

/// Serves the metrics for ever.
pub(crate) async fn serve_metrics(ip: IpAddr) {
    let address = SocketAddr::new(ip, PORT);
    let result = serve(address, |_request| async {
        let families = metrics().registry.gather();
        match TextEncoder::new().encode_to_string(&families) {
            Ok(text) => respond(StatusCode::OK, text),
            Err(error) => {
                log::warn!(event = "metrics.failed", error:% = error; "metrics cannot be encoded");
                respond(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
            }
        }
    })
    .await;
    if let Err(error) = result {
        log::warn!(event = "listener.failed", address:% = address, error:% = error; "metrics are not served");
    }
}

//! The entry's side of the request path: accepts requests from callers and forwards them to
//! agents.

mod admit;
mod attempt;
mod candidates;
mod limits;
mod metrics;
mod poison;
mod response;
mod retries;
mod serve;
mod upstreams;

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use masticdock_core::retry::RetryBudget;
use masticdock_core::units::MonoMs;

use crate::control::ControlHandle;
use crate::event_log::Throttle;
use crate::metrics::Metrics;
use crate::request_http::{HandlerLimits, Listener, RequestAuthKey};
use crate::settings::EntrySettings;

use limits::AdmissionLimits;
use metrics::CallerMetrics;
use poison::CrashHistory;
use upstreams::Upstreams;

/// Dependencies of the callers' listener.
pub(crate) struct Context {
    /// Entry settings.
    pub(crate) settings: Arc<EntrySettings>,
    /// Key that authenticates requests to agents.
    pub(crate) auth_key: RequestAuthKey,
    /// Handle of the control thread.
    pub(crate) control: ControlHandle,
    /// Metrics registry.
    pub(crate) metrics: Metrics,
}

/// State that all request handlers share.
struct Shared {
    settings: Arc<EntrySettings>,
    auth_key: RequestAuthKey,
    control: ControlHandle,
    handler_limits: HandlerLimits,
    clock: Clock,
    upstreams: Arc<Upstreams>,
    limits: Arc<AdmissionLimits>,
    crashes: CrashHistory,
    retry_budget: Mutex<RetryBudget>,
    shed_log_throttle: Throttle,
    metrics: CallerMetrics,
}

impl Shared {
    fn retry_budget(&self) -> std::sync::MutexGuard<'_, RetryBudget> {
        self.retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Monotonic clock that starts at the creation of the listener.
#[derive(Debug, Clone, Copy)]
struct Clock(Instant);

impl Clock {
    fn now(&self) -> MonoMs {
        MonoMs(millis(self.0.elapsed()))
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn now_unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, millis)
}

/// Handle of the running callers' listener.
pub(crate) struct Handle {
    listener: Listener,
}

impl Handle {
    #[cfg(test)]
    /// Returns the bound address.
    pub(crate) const fn addr(&self) -> std::net::SocketAddr {
        self.listener.addr()
    }

    /// Returns the number of requests in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.listener.in_flight()
    }

    /// Rejects new requests from now on as `not_run`.
    pub(crate) fn begin_drain(&self) {
        self.listener.begin_drain();
    }

    #[cfg(test)]
    /// Waits until no request is in flight; returns false when `timeout` expires first.
    pub(crate) fn wait_idle(&self, timeout: Duration) -> bool {
        self.listener.wait_idle(timeout)
    }
}

/// Starts the callers' listener.
///
/// # Errors
///
/// Returns an error when the address cannot be bound, a thread cannot be started or a metric
/// cannot be registered.
pub(crate) fn spawn(context: Context) -> anyhow::Result<Handle> {
    let settings = context.settings;
    let clock = Clock(Instant::now());
    let shared = Arc::new(Shared {
        handler_limits: HandlerLimits::from(&settings.http),
        upstreams: Upstreams::spawn(&settings, &context.control, clock)?,
        limits: AdmissionLimits::spawn(&settings, &context.control, clock)?,
        crashes: CrashHistory::new(&settings.requests),
        retry_budget: Mutex::new(RetryBudget::new(settings.requests.retry_budget_percent)),
        shed_log_throttle: Throttle::default(),
        metrics: CallerMetrics::register(context.metrics.registry())?,
        auth_key: context.auth_key,
        control: context.control,
        clock,
        settings,
    });
    let addr = shared.settings.callers_addr;
    let limits = shared.handler_limits;
    let listener = Listener::spawn("callers", addr, limits, move |request| {
        serve::handle(&shared, request);
    })?;
    Ok(Handle { listener })
}

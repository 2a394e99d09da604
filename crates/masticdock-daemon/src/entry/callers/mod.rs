//! The entry's side of the request path: takes requests from callers and sends
//! them to agents.

mod admit;
mod attempt;
mod limits;
mod metrics;
mod poison;
mod response;
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

use limits::Limits;
use metrics::CallerMetrics;
use poison::Crashes;
use upstreams::Upstreams;

/// What the listener shares with the rest of the entry.
pub(crate) struct Context {
    /// Settings of the entry.
    pub(crate) settings: Arc<EntrySettings>,
    /// Key that requests to agents are signed with.
    pub(crate) peer_key: RequestAuthKey,
    /// Control thread.
    pub(crate) control: ControlHandle,
    /// Registry of metrics.
    pub(crate) metrics: Metrics,
}

struct Shared {
    settings: Arc<EntrySettings>,
    peer_key: RequestAuthKey,
    control: ControlHandle,
    handler_limits: HandlerLimits,
    clock: Clock,
    upstreams: Arc<Upstreams>,
    limits: Arc<Limits>,
    crashes: Crashes,
    budget: Mutex<RetryBudget>,
    shed: Throttle,
    metrics: CallerMetrics,
}

impl Shared {
    fn budget(&self) -> std::sync::MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Monotonic clock of this process.
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

/// The running listener.
pub(crate) struct Handle {
    listener: Listener,
}

impl Handle {
    #[cfg(test)]
    /// Returns the bound address.
    pub(crate) const fn addr(&self) -> std::net::SocketAddr {
        self.listener.addr()
    }

    /// Returns the number of requests in progress.
    pub(crate) fn in_flight(&self) -> usize {
        self.listener.in_flight()
    }

    /// Refuses new requests from now on with `not_run`.
    pub(crate) fn begin_drain(&self) {
        self.listener.begin_drain();
    }

    #[cfg(test)]
    /// Waits until no request is in progress; returns false when `timeout` passed first.
    pub(crate) fn wait_idle(&self, timeout: Duration) -> bool {
        self.listener.wait_idle(timeout)
    }
}

/// Opens the listener and serves callers.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub(crate) fn spawn(context: Context) -> anyhow::Result<Handle> {
    let settings = context.settings;
    let clock = Clock(Instant::now());
    let shared = Arc::new(Shared {
        handler_limits: HandlerLimits::from(&settings.http),
        upstreams: Upstreams::spawn(&settings, &context.control, clock)?,
        limits: Limits::spawn(&settings, &context.control, clock)?,
        crashes: Crashes::new(&settings.requests),
        budget: Mutex::new(RetryBudget::new(settings.requests.retry_budget_percent)),
        shed: Throttle::default(),
        metrics: CallerMetrics::register(context.metrics.registry())?,
        peer_key: context.peer_key,
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

//! Agent side of the request path: receives requests from entries and runs them
//! on the upstream.

mod body;
mod claims;
mod engine;
mod metrics;
mod plain;
mod run;
mod run_request;
mod running;

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use masticdock_core::ids::VmId;
use tiny_http::{Method, Request};

use super::ServingGate;
use crate::control::ControlHandle;
use crate::event_log::Throttle;
use crate::metrics::Metrics;
use crate::request_http::{HandlerLimits, Heartbeats, Listener, RequestAuthKey, respond};
use crate::settings::AgentSettings;

pub(crate) use running::LoadReport;

use claims::Claims;
use metrics::ProxyMetrics;
use running::RunningRequests;

/// Parts of the agent that the proxy uses.
pub(crate) struct Context {
    pub(crate) settings: Arc<AgentSettings>,
    /// Key with which entries authenticate their requests.
    pub(crate) peer_key: RequestAuthKey,
    /// Admits requests according to the version that the upstream serves.
    pub(crate) gate: Arc<ServingGate>,
    /// Handle to the control thread.
    pub(crate) control: ControlHandle,
    pub(crate) metrics: Metrics,
}

struct Shared {
    settings: Arc<AgentSettings>,
    peer_key: RequestAuthKey,
    gate: Arc<ServingGate>,
    control: ControlHandle,
    limits: HandlerLimits,
    claims: Claims,
    keys_unavailable_throttle: Throttle,
    running: Arc<RunningRequests>,
    heartbeats: Arc<Heartbeats>,
    metrics: ProxyMetrics,
}

/// Handle to the running proxy.
pub(crate) struct Handle {
    listener: Listener,
    shared: Arc<Shared>,
}

impl Handle {
    #[cfg(test)]
    /// Returns the address that the listener is bound to.
    pub(crate) const fn addr(&self) -> std::net::SocketAddr {
        self.listener.addr()
    }

    /// Returns the number of requests in progress, including those whose response is
    /// being sent, plus the number of claims whose outcome is not recorded yet.
    pub(crate) fn in_progress(&self) -> usize {
        self.listener.in_flight() + self.shared.claims.unsettled()
    }
}

/// Starts the listener and the background threads of the proxy.
///
/// # Errors
///
/// Fails if the address cannot be bound, the VM id is malformed, a metric cannot be
/// registered or a thread cannot be started.
pub(crate) fn spawn(context: Context) -> anyhow::Result<Handle> {
    let vm: VmId = context.settings.node.id.parse()?;
    let running = RunningRequests::spawn(&context.settings.upstream, vm.clone(), &context.control)?;
    let shared = Arc::new(Shared {
        keys_unavailable_throttle: Throttle::default(),
        claims: Claims::spawn(&context.settings.platform, vm)?,
        limits: HandlerLimits::from(&context.settings.http),
        metrics: ProxyMetrics::register(context.metrics.registry())?,
        running,
        heartbeats: Heartbeats::spawn()?,
        settings: context.settings,
        peer_key: context.peer_key,
        gate: context.gate,
        control: context.control,
    });
    let listener_shared = Arc::clone(&shared);
    let listener = Listener::spawn(
        "traffic",
        shared.settings.traffic_addr,
        shared.limits,
        move |request| handle_request(&listener_shared, request),
    )?;
    Ok(Handle { listener, shared })
}

fn handle_request(shared: &Arc<Shared>, request: Request) {
    if *request.method() == Method::Get && request.url() == "/v1/load" {
        let body = shared.running.load(&shared.gate).to_json();
        respond(request, 200, "application/json", &[], body.into_bytes());
        return;
    }
    run::handle_request(shared, request);
}

fn now_unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}

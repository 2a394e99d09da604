//! The agent's side of the request path: takes requests from entries and runs
//! them on the upstream.

mod admit;
mod claims;
mod engine;
mod metrics;
mod plain;
mod run;
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
use running::Running;

/// What the proxy shares with the rest of the agent.
pub(crate) struct Context {
    /// Settings of the agent.
    pub(crate) settings: Arc<AgentSettings>,
    /// Key that entries sign requests with.
    pub(crate) peer_key: RequestAuthKey,
    /// Gate that admits requests.
    pub(crate) gate: Arc<ServingGate>,
    /// Control thread.
    pub(crate) control: ControlHandle,
    /// Registry of metrics.
    pub(crate) metrics: Metrics,
}

struct Shared {
    settings: Arc<AgentSettings>,
    peer_key: RequestAuthKey,
    gate: Arc<ServingGate>,
    control: ControlHandle,
    limits: HandlerLimits,
    claims: Claims,
    keys_unavailable: Throttle,
    running: Arc<Running>,
    heartbeats: Arc<Heartbeats>,
    metrics: ProxyMetrics,
}

/// The running proxy.
pub(crate) struct Handle {
    listener: Listener,
    shared: Arc<Shared>,
}

impl Handle {
    #[cfg(test)]
    /// Returns the bound address.
    pub(crate) const fn addr(&self) -> std::net::SocketAddr {
        self.listener.addr()
    }

    /// Returns the number of requests in progress, those being answered included.
    pub(crate) fn in_progress(&self) -> usize {
        self.listener.in_flight() + self.shared.claims.unsettled()
    }
}

/// Opens the listener and serves requests.
///
/// # Errors
///
/// Fails when the address cannot be bound or the VM id is malformed.
pub(crate) fn spawn(context: Context) -> anyhow::Result<Handle> {
    let vm: VmId = context.settings.node.id.parse()?;
    let running = Running::spawn(&context.settings.upstream, vm.clone(), &context.control)?;
    let shared = Arc::new(Shared {
        keys_unavailable: Throttle::default(),
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
    let serving = Arc::clone(&shared);
    let listener = Listener::spawn(
        "traffic",
        shared.settings.traffic_addr,
        shared.limits,
        move |request| handle(&serving, request),
    )?;
    Ok(Handle { listener, shared })
}

fn handle(shared: &Arc<Shared>, request: Request) {
    if *request.method() == Method::Get && request.url() == "/v1/load" {
        let body = shared.running.load(&shared.gate).to_json();
        respond(request, 200, "application/json", &[], body.into_bytes());
        return;
    }
    run::handle(shared, request);
}

fn now_unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}

//! Start and stop of an agent.

use std::sync::Arc;

use masticdock_core::event;
use masticdock_core::ids::{BootEpoch, Incarnation};
use masticdock_core::membership::{Liveness, Member, MemberStatus, Role};

use super::{GateState, ServingGate, proxy};
use crate::control::{self, ControlHandle, ControlParts, TickHook};
use crate::drain::{self, StopSignal};
use crate::event_log::log_event;
use crate::metrics::Metrics;
use crate::net::rpc::{self, PeerHandler, RpcHandle};
use crate::request_http::PeerKey;
use crate::secrets;
use crate::settings::AgentSettings;
use crate::status;

/// Runs an agent until it is told to stop.
///
/// # Errors
///
/// Fails when a listener cannot be opened or a secret cannot be read.
pub(crate) fn run(settings: &AgentSettings) -> anyhow::Result<()> {
    let stop = StopSignal::register()?;
    let metrics = Metrics::new();
    let peer_key = secrets::read_peer_key(&settings.security.peer_key_file)?;
    let gate = ServingGate::new();
    let (handle, receiver) = ControlHandle::channel();
    log_event!(event::PROCESS_STARTED, "agent {}", settings.node.id);

    // Place for `transfer::TransferHandle::spawn` (branch `transfer`): its
    // handler for chunk and announce calls is tried after `answer_peer`.
    let rpc = spawn_rpc(settings, peer_key, &handle)?;
    rpc.counters().register(metrics.registry())?;

    // Place for `switching` (branch `switching`): its tick hook returns the
    // own status and opens the gate.
    let hooks: Vec<TickHook> = Vec::new();

    let control = control::spawn(
        ControlParts {
            node: settings.node.clone(),
            platform: settings.platform.clone(),
            gossip: settings.gossip.clone(),
            peer_key,
            own: own_member(settings),
            rpc,
            metrics: metrics.clone(),
            hooks,
        },
        handle,
        receiver,
    )?;

    if !settings.upstream.engine {
        // A plain service has no version to switch, so it serves from the start.
        gate.set_state(GateState::Serving(None));
    }
    let proxy = proxy::spawn(proxy::Context {
        settings: Arc::new(settings.clone()),
        peer_key: PeerKey::derive(&peer_key),
        gate: Arc::clone(&gate),
        control: control.clone(),
        metrics: metrics.clone(),
    })?;

    let snapshots = Arc::clone(&control.snapshots);
    let ready = move || control::readiness(&snapshots.load());
    status::spawn(settings.node.status_addr, metrics.clone(), Arc::new(ready))?;

    stop.wait();
    gate.set_leaving(true);
    drain::leave_when_idle(&control, || proxy.in_progress());
    Ok(())
}

fn spawn_rpc(
    settings: &AgentSettings,
    peer_key: [u8; 32],
    control: &ControlHandle,
) -> anyhow::Result<RpcHandle> {
    let control = control.clone();
    let handler: PeerHandler = Arc::new(move |_from, request, respond| {
        if let Some(reply) = control::answer_peer(&control.snapshot(), &request) {
            respond(reply);
        }
    });
    let node = &settings.node;
    rpc::spawn(node.peer_addr, node.id.clone(), peer_key, handler)
}

fn own_member(settings: &AgentSettings) -> Member {
    Member {
        id: settings.node.id.clone(),
        role: Role::Agent,
        liveness: Liveness::Alive,
        incarnation: Incarnation(0),
        boot_epoch: BootEpoch(control::unix_now().0),
        region: settings.node.region.clone(),
        zone: settings.node.zone.clone(),
        peer_addr: settings.node.peer_addr,
        traffic_addr: Some(settings.traffic_addr),
        status: MemberStatus {
            services: settings.upstream.services.clone(),
            ..MemberStatus::default()
        },
    }
}

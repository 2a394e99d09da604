//! Startup and shutdown of an agent.

use std::sync::{Arc, OnceLock};

use masticdock_core::event;
use masticdock_core::ids::{BootEpoch, Incarnation};
use masticdock_core::membership::{Liveness, Member, MemberStatus, Role};
use masticdock_platform::{HttpSettings, OriginClient};

use super::switching::{self, SwitchingParts, TransferPort};
use super::transfer::{self, TransferConfig, TransferHandle, TransferPeer};
use super::weights::{self, CopySource};
use super::{ServingGate, proxy};
use crate::control::{self, ControlHandle, ControlParts, TickHook};
use crate::drain::{self, StopSignal};
use crate::event_log::log_event;
use crate::metrics::Metrics;
use crate::net::rpc::{self, PeerHandler, PeerReply, RpcHandle};
use crate::request_http::RequestAuthKey;
use crate::secrets;
use crate::settings::AgentSettings;
use crate::status;

/// Runs an agent until it receives a stop signal or is marked as stopping.
///
/// # Errors
///
/// Fails if a listener cannot be opened or a secret cannot be read.
pub(crate) fn run(settings: &AgentSettings) -> anyhow::Result<()> {
    let stop = StopSignal::register()?;
    let metrics = Metrics::new();
    let peer_key = secrets::read_peer_key(&settings.security.peer_key_file)?;
    let gate = ServingGate::new();
    let (handle, receiver) = ControlHandle::channel();
    log_event!(event::PROCESS_STARTED, "agent {}", settings.node.id);

    let transfer_cell = Arc::new(OnceLock::new());
    let rpc = spawn_rpc(settings, peer_key, &handle, &transfer_cell)?;
    rpc.counters().register(metrics.registry())?;
    let transfer = spawn_transfer(settings, &rpc)?;
    // Peer requests that arrived earlier were answered with `ChunkAbsent`, as by
    // an agent without chunks.
    transfer_cell.get_or_init(|| transfer.clone());
    let weights_url = spawn_weights(settings, &transfer)?;
    let hooks: Vec<TickHook> = vec![switching::spawn(SwitchingParts {
        settings,
        gate: Arc::clone(&gate),
        transfer: TransferPort::new(transfer),
        weights_url,
        registry: metrics.registry(),
    })?];

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

    let proxy = proxy::spawn(proxy::Context {
        settings: Arc::new(settings.clone()),
        peer_key: RequestAuthKey::derive(&peer_key),
        gate: Arc::clone(&gate),
        control: control.clone(),
        metrics: metrics.clone(),
    })?;

    let snapshots = Arc::clone(&control.snapshots);
    let ready = move || control::readiness(&snapshots.load());
    status::spawn(settings.node.status_addr, metrics.clone(), Arc::new(ready))?;

    stop.wait_or(|| drain::is_marked_stopping(&control, &settings.node.id));
    gate.stop();
    drain::leave_when_idle(&control, || proxy.in_progress());
    Ok(())
}

fn spawn_rpc(
    settings: &AgentSettings,
    peer_key: [u8; 32],
    control: &ControlHandle,
    transfer: &Arc<OnceLock<TransferHandle>>,
) -> anyhow::Result<RpcHandle> {
    let control = control.clone();
    let transfer = Arc::clone(transfer);
    let handler: PeerHandler = Arc::new(move |from, request, respond| {
        if let Some(reply) = control::answer_peer(&control.snapshot(), &request) {
            return respond(reply);
        }
        match transfer.get() {
            Some(transfer) => transfer.handle_call(from, request, respond),
            None => respond(PeerReply::ChunkAbsent),
        }
    });
    let node = &settings.node;
    rpc::spawn(node.peer_addr, node.id.clone(), peer_key, handler)
}

fn spawn_transfer(settings: &AgentSettings, rpc: &RpcHandle) -> anyhow::Result<TransferHandle> {
    let node = &settings.node;
    let config = TransferConfig {
        own: TransferPeer {
            id: node.id.clone(),
            region: node.region.clone(),
            zone: node.zone.clone(),
            peer_addr: node.peer_addr,
        },
        links: settings.links.clone(),
        settings: settings.transfer.clone(),
    };
    let http = HttpSettings {
        timeout_ms: settings.platform.timeout_ms,
    };
    let origin = OriginClient::new(settings.platform.origin_url.clone(), http);
    transfer::spawn(config, origin, rpc.clone())
}

fn spawn_weights(settings: &AgentSettings, transfer: &TransferHandle) -> anyhow::Result<String> {
    let transfer = transfer.clone();
    let copies: CopySource = Arc::new(move |digest| transfer.verified_copy(digest));
    weights::spawn(settings.weights_addr, &copies)
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

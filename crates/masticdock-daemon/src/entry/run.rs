//! Startup and shutdown of an entry.

use std::sync::Arc;
use std::time::{Duration, Instant};

use masticdock_core::event;
use masticdock_core::ids::{BootEpoch, Incarnation};
use masticdock_core::membership::{Liveness, Member, MemberStatus, Role};

use super::{callers, operators};
use crate::control::{self, ControlHandle, ControlParts, Snapshot, TickHook};
use crate::drain::{self, StopSignal};
use crate::event_log::log_event;
use crate::metrics::Metrics;
use crate::net::rpc::{self, PeerHandler, RpcHandle};
use crate::request_http::RequestAuthKey;
use crate::secrets;
use crate::settings::EntrySettings;
use crate::status;

/// Time after which an entry reports ready without the status of any agent, because the fleet may
/// have none.
const FIRST_STATUS_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs an entry until it receives a stop signal.
///
/// # Errors
///
/// Returns an error when a listener cannot be opened or a secret cannot be read.
pub(crate) fn run(settings: &EntrySettings) -> anyhow::Result<()> {
    let stop = StopSignal::register()?;
    let metrics = Metrics::new();
    let peer_key = secrets::read_peer_key(&settings.security.peer_key_file)?;
    let (handle, receiver) = ControlHandle::channel();
    log_event!(event::PROCESS_STARTED, "entry {}", settings.node.id);

    let rpc = spawn_rpc(settings, peer_key, &handle)?;
    rpc.counters().register(metrics.registry())?;
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
    let operators = operators::spawn(settings, &control, &metrics)?;

    let callers = callers::spawn(callers::Context {
        settings: Arc::new(settings.clone()),
        auth_key: RequestAuthKey::derive(&peer_key),
        control: control.clone(),
        metrics: metrics.clone(),
    })?;

    let snapshots = Arc::clone(&control.snapshots);
    let started = Instant::now();
    let ready = move || readiness(&snapshots.load(), started.elapsed());
    status::spawn(settings.node.status_addr, metrics.clone(), Arc::new(ready))?;

    stop.wait();
    callers.begin_drain();
    drain::leave_when_idle(&control, || callers.in_flight() + operators.in_flight());
    Ok(())
}

/// Checks whether this entry is ready to serve requests.
///
/// After a restart it is not ready before the first agent status arrives: requests that came
/// earlier found no upstream.
///
/// # Errors
///
/// Returns the reason why the entry is not ready.
fn readiness(snapshot: &Snapshot, uptime: Duration) -> Result<(), String> {
    control::readiness(snapshot)?;
    let has_status = |member: &Member| member.role == Role::Agent && member.boot_epoch.0 != 0;
    if uptime < FIRST_STATUS_TIMEOUT && !snapshot.members.iter().any(has_status) {
        return Err("the status of no agent is known yet".to_owned());
    }
    Ok(())
}

fn spawn_rpc(
    settings: &EntrySettings,
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

fn own_member(settings: &EntrySettings) -> Member {
    Member {
        id: settings.node.id.clone(),
        role: Role::Entry,
        liveness: Liveness::Alive,
        incarnation: Incarnation(0),
        boot_epoch: BootEpoch(control::unix_now().0),
        region: settings.node.region.clone(),
        zone: settings.node.zone.clone(),
        peer_addr: settings.node.peer_addr,
        traffic_addr: None,
        status: MemberStatus::default(),
    }
}

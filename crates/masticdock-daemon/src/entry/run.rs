//! Start and stop of an entry.

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

/// Time after which an entry is ready although no agent told its status; there may be none.
const FIRST_STATUS_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs an entry until it is told to stop.
///
/// # Errors
///
/// Fails when a listener cannot be opened or a secret cannot be read.
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
        peer_key: RequestAuthKey::derive(&peer_key),
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

/// Returns why this entry takes no requests yet or any more.
///
/// After a restart it waits for the status of a first agent: a request that came
/// before it found no upstream in a process test.
fn readiness(snapshot: &Snapshot, uptime: Duration) -> Result<(), String> {
    control::readiness(snapshot)?;
    let heard = |member: &Member| member.role == Role::Agent && member.boot_epoch.0 != 0;
    if uptime < FIRST_STATUS_TIMEOUT && !snapshot.members.iter().any(heard) {
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

//! Tests of the control thread's state and of configuration pulls, with a fake RPC handle.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use masticdock_core::config_log::{AcceptedChange, ConfigState};
use masticdock_core::ids::{BootEpoch, Incarnation, Revision};
use masticdock_core::membership::{Liveness, Member, MemberStatus, Role, Swim, SwimConfig};
use masticdock_core::resource::{Mark, Resource, ResourceChange, VmMark};
use masticdock_core::units::{MonoMs, UnixMs};
use masticdock_platform::{FleetList, FleetVm, FleetVmState};

use super::config_pull::ConfigPull;
use super::peer_adoption::adopt_from_peers;
use super::state::ControlState;
use super::{ControlHandle, ControlMsg, Snapshot};
use crate::net::rpc::{PeerReply, PeerRequest, RpcError, RpcErrorKind, RpcHandle};

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn member(id: &str, zone: &str, port: u16) -> Member {
    Member {
        id: id.into(),
        role: Role::Agent,
        liveness: Liveness::Alive,
        incarnation: Incarnation(0),
        boot_epoch: BootEpoch(1),
        region: "r".parse().unwrap(),
        zone: zone.parse().unwrap(),
        peer_addr: addr(port),
        traffic_addr: None,
        status: MemberStatus::default(),
    }
}

fn state() -> ControlState {
    ControlState::new(Swim::new(SwimConfig::default(), member("own", "a", 1), 1))
}

pub(super) fn config(revision: u64) -> ConfigState {
    ConfigState::from_resources(Revision(revision), Vec::new())
}

fn change(revision: u64, changes: Vec<ResourceChange>) -> AcceptedChange {
    AcceptedChange {
        revision: Revision(revision),
        change_id: format!("c-{revision}").parse().unwrap(),
        operator: "ana".parse().unwrap(),
        accepted_at_unix_ms: UnixMs(0),
        changes,
    }
}

fn mark() -> Resource {
    Resource::VmMark(VmMark {
        name: "own".parse().unwrap(),
        mark: Mark::Leaving,
    })
}

/// Guards against a stale read or a late answer that restores an older configuration.
#[test]
fn adoption_and_changes_never_lower_the_revision() {
    let mut state = state();
    state.adopt(config(5));
    state.adopt(config(3));
    assert_eq!(state.revision(), Revision(5));
    assert!(state.apply(vec![
        change(4, vec![]),
        change(5, vec![]),
        change(6, vec![])
    ]));
    assert_eq!(state.revision(), Revision(6));
    assert!(!state.apply(vec![change(8, vec![])]), "a gap is reported");
    assert_eq!(state.revision(), Revision(6));
}

/// Guards against applying changes in a process that has adopted no configuration yet.
#[test]
fn changes_before_adoption_are_ignored() {
    let mut state = state();
    assert!(state.apply(vec![change(1, vec![])]));
    assert_eq!((state.revision(), state.is_adopted()), (Revision(0), false));
}

fn leaving(state: &mut ControlState) -> bool {
    state
        .take_snapshot(MonoMs(u64::MAX))
        .is_none_or(|snapshot| snapshot.leaving)
}

/// Guards against an operator's mark that has no effect or that cannot be removed.
#[test]
fn operator_mark_makes_the_process_leave_until_it_is_deleted() {
    let mut state = state();
    state.adopt(config(1));
    assert!(!leaving(&mut state));
    state.apply(vec![change(2, vec![ResourceChange::Put(mark())])]);
    assert!(leaving(&mut state));
    assert!(state.swim.own_member().status.leaving);
    state.apply(vec![change(3, vec![ResourceChange::Delete(mark().key())])]);
    assert!(!leaving(&mut state));
    assert!(!state.swim.own_member().status.leaving);
}

/// Guards against a VM that still takes requests while the platform is removing it.
#[test]
fn leaving_state_in_the_fleet_view_makes_the_process_leave() {
    let mut state = state();
    let vm = FleetVm {
        id: "own".into(),
        role: Role::Agent,
        state: FleetVmState::Leaving,
        region: "r".parse().unwrap(),
        zone: "a".parse().unwrap(),
        peer_addr: addr(1),
        traffic_addr: None,
        labels: std::collections::BTreeMap::new(),
    };
    state.set_fleet(FleetList { vms: vec![vm] });
    assert!(leaving(&mut state));
}

type Replies = Arc<Mutex<VecDeque<Result<PeerReply, RpcError>>>>;
type Calls = Arc<Mutex<Vec<(SocketAddr, PeerRequest)>>>;

/// Returns a fake RPC handle that gives the replies in order, and the calls that it recorded.
pub(super) fn rpc(replies: Vec<Result<PeerReply, RpcError>>) -> (RpcHandle, Calls) {
    let replies: Replies = Arc::new(Mutex::new(replies.into()));
    let calls = Calls::default();
    let recorded = Arc::clone(&calls);
    let handle = RpcHandle::new(move |to, request, _timeout, on_reply| {
        recorded.lock().unwrap().push((to, request));
        let reply = replies.lock().unwrap().pop_front();
        on_reply(reply.unwrap_or_else(|| Err(unreachable(to))));
    });
    (handle, calls)
}

fn unreachable(peer: SocketAddr) -> RpcError {
    RpcError {
        kind: RpcErrorKind::Unreachable,
        peer,
        message: "refused".to_owned(),
    }
}

fn changes(head: u64, complete: bool) -> PeerReply {
    PeerReply::Changes {
        head: Revision(head),
        changes: Vec::new(),
        complete,
    }
}

/// Guards against a process that cannot catch up because its peer no longer holds
/// the old changes.
#[test]
fn pull_falls_back_to_the_whole_configuration() {
    let whole = PeerReply::Configuration {
        head: Revision(900),
        resources: Vec::new(),
    };
    let (rpc, calls) = rpc(vec![Ok(changes(900, false)), Ok(whole)]);
    let (control, messages) = ControlHandle::channel();
    let mut pull = ConfigPull::new(rpc, control, Arc::default());
    pull.observe(addr(2), Revision(900));
    pull.tick(Revision(1), true, MonoMs(0));
    let messages: Vec<ControlMsg> = messages.try_iter().collect();
    let adopted = messages.iter().any(
        |message| matches!(message, ControlMsg::Adopted(state) if state.revision() == Revision(900)),
    );
    assert!(adopted, "{messages:?}");
    assert_eq!(calls.lock().unwrap().len(), 2);
}

/// Guards against a process that waits forever for a dead peer that held the newest revision.
#[test]
fn failed_pulls_ask_the_next_peer_and_then_the_table() {
    let (rpc, calls) = rpc(Vec::new());
    let (control, _messages) = ControlHandle::channel();
    let table_read_due = Arc::new(AtomicBool::new(false));
    let mut pull = ConfigPull::new(rpc, control, Arc::clone(&table_read_due));
    for (port, now) in [(2, 0), (3, 800), (4, 1_600)] {
        pull.observe(addr(port), Revision(7));
        pull.tick(Revision(1), true, MonoMs(now));
        pull.note_call_ended(true);
    }
    let asked: Vec<SocketAddr> = calls.lock().unwrap().iter().map(|call| call.0).collect();
    assert_eq!(asked, [addr(2), addr(3), addr(4)]);
    assert!(table_read_due.load(Ordering::Relaxed));
    pull.observe(addr(4), Revision(7));
    pull.tick(Revision(7), true, MonoMs(1_700));
    assert!(!table_read_due.load(Ordering::Relaxed));
}

/// Guards against a starting process that adopts the revision of the first peer it hears from,
/// which may be stale.
#[test]
fn process_without_configuration_does_not_pull() {
    let (rpc, calls) = rpc(Vec::new());
    let (control, _messages) = ControlHandle::channel();
    let mut pull = ConfigPull::new(rpc, control, Arc::default());
    pull.observe(addr(2), Revision(7));
    pull.tick(Revision(0), false, MonoMs(0));
    assert!(calls.lock().unwrap().is_empty());
}

/// Returns a fake RPC handle with one peer at each port, which holds the given revision.
fn rpc_with_peers(revisions: &'static [(u16, u64)]) -> RpcHandle {
    RpcHandle::new(move |to, request, _timeout, on_reply| {
        let found = revisions.iter().find(|(port, _)| *port == to.port());
        let Some((_, revision)) = found else {
            return on_reply(Err(unreachable(to)));
        };
        on_reply(Ok(match request {
            PeerRequest::Configuration => PeerReply::Configuration {
                head: Revision(*revision),
                resources: Vec::new(),
            },
            _ => changes(*revision, true),
        }));
    })
}

/// Guards against a process that restarts during a table outage and adopts an old revision from a
/// lagging availability zone, and against adopting from one zone alone.
#[test]
fn adoption_in_an_outage_takes_the_highest_revision_of_several_zones() {
    let members = vec![
        member("own", "a", 1),
        member("x", "a", 2),
        member("y", "b", 3),
        member("z", "c", 4),
    ];
    let snapshot = Snapshot {
        members: Arc::new(members),
        ..Snapshot::default()
    };
    let adopted = adopt_from_peers(&rpc_with_peers(&[(2, 4), (3, 9), (4, 7)]), &snapshot, "own");
    assert_eq!(adopted.unwrap().revision(), Revision(9));
    let one_zone = adopt_from_peers(&rpc_with_peers(&[(2, 4)]), &snapshot, "own");
    assert_eq!(one_zone, None);
    let nothing = adopt_from_peers(&rpc_with_peers(&[(2, 0), (3, 0), (4, 0)]), &snapshot, "own");
    assert_eq!(nothing, None);
}

//! Tests of the control thread's state and of pulls, with a fake of RPC.

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

fn config(revision: u64) -> ConfigState {
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

// Guards against a lagging read or a late answer that brings back an older configuration.
#[test]
fn neither_adoption_nor_changes_lead_back() {
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

// Guards against changes in force on a process that has no configuration to change.
#[test]
fn changes_before_the_adoption_are_ignored() {
    let mut state = state();
    assert!(state.apply(vec![change(1, vec![])]));
    assert_eq!((state.revision(), state.is_adopted()), (Revision(0), false));
}

fn leaving(state: &mut ControlState) -> bool {
    state
        .take_snapshot(MonoMs(u64::MAX))
        .is_none_or(|snapshot| snapshot.leaving)
}

// Guards against a mark that has no effect, or that cannot be taken back.
#[test]
fn the_mark_of_an_operator_makes_the_process_leave_until_it_is_deleted() {
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

// Guards against a VM that the platform takes away and that goes on taking requests.
#[test]
fn the_fleet_view_makes_the_process_leave() {
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

/// Makes a fake of RPC that answers calls in order and notes them.
fn rpc(replies: Vec<Result<PeerReply, RpcError>>) -> (RpcHandle, Calls) {
    let replies: Replies = Arc::new(Mutex::new(replies.into()));
    let calls = Calls::default();
    let noted = Arc::clone(&calls);
    let handle = RpcHandle::new(move |to, request, _timeout, on_reply| {
        noted.lock().unwrap().push((to, request));
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

// Guards against a process that stays behind because its peer dropped old changes.
#[test]
fn a_pull_falls_back_to_the_whole_configuration() {
    let whole = PeerReply::Configuration {
        head: Revision(900),
        resources: Vec::new(),
    };
    let (rpc, calls) = rpc(vec![Ok(changes(900, false)), Ok(whole)]);
    let (control, messages) = ControlHandle::channel();
    let mut pull = ConfigPull::new(rpc, control, Arc::default());
    pull.offer(addr(2), Revision(900));
    pull.tick(Revision(1), true, MonoMs(0));
    let messages: Vec<ControlMsg> = messages.try_iter().collect();
    let adopted = messages.iter().any(
        |message| matches!(message, ControlMsg::Adopted(state) if state.revision() == Revision(900)),
    );
    assert!(adopted, "{messages:?}");
    assert_eq!(calls.lock().unwrap().len(), 2);
}

// Guards against a process that waits for ever for a peer that died with the newest revision.
#[test]
fn a_failed_pull_asks_the_next_peer_and_at_last_the_table() {
    let (rpc, calls) = rpc(Vec::new());
    let (control, _messages) = ControlHandle::channel();
    let behind = Arc::new(AtomicBool::new(false));
    let mut pull = ConfigPull::new(rpc, control, Arc::clone(&behind));
    for (port, now) in [(2, 0), (3, 800), (4, 1_600)] {
        pull.offer(addr(port), Revision(7));
        pull.tick(Revision(1), true, MonoMs(now));
        pull.ended(true);
    }
    let asked: Vec<SocketAddr> = calls.lock().unwrap().iter().map(|call| call.0).collect();
    assert_eq!(asked, [addr(2), addr(3), addr(4)]);
    assert!(behind.load(Ordering::Relaxed));
    pull.offer(addr(4), Revision(7));
    pull.tick(Revision(7), true, MonoMs(1_700));
    assert!(!behind.load(Ordering::Relaxed));
}

// Guards against a starting process that takes the word of the first peer it hears.
#[test]
fn a_process_without_configuration_does_not_pull() {
    let (rpc, calls) = rpc(Vec::new());
    let (control, _messages) = ControlHandle::channel();
    let mut pull = ConfigPull::new(rpc, control, Arc::default());
    pull.offer(addr(2), Revision(7));
    pull.tick(Revision(0), false, MonoMs(0));
    assert!(calls.lock().unwrap().is_empty());
}

/// Makes a fake of RPC with one process of a fixed revision at each port.
fn peers(revisions: &'static [(u16, u64)]) -> RpcHandle {
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

// Guards against a restart in an outage that leads back to a revision which a
// lagging zone still holds, and against adopting from one zone alone.
#[test]
fn adoption_in_an_outage_takes_the_highest_of_several_zones() {
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
    let adopted = adopt_from_peers(&peers(&[(2, 4), (3, 9), (4, 7)]), &snapshot, "own");
    assert_eq!(adopted.unwrap().revision(), Revision(9));
    let one_zone = adopt_from_peers(&peers(&[(2, 4)]), &snapshot, "own");
    assert_eq!(one_zone, None);
    let nothing = adopt_from_peers(&peers(&[(2, 0), (3, 0), (4, 0)]), &snapshot, "own");
    assert_eq!(nothing, None);
}

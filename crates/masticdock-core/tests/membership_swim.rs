//! Membership of several processes on a simulated lossless network with injected faults.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use compact_str::{CompactString, format_compact};
use masticdock_core::ids::{BootEpoch, Incarnation, Revision};
use masticdock_core::membership::{
    FleetMember, GossipKind, GossipMessage, Liveness, Member, MemberStatus, MembershipEvent,
    OutgoingDatagram, Phase, Role, StatusUpdate, Swim, SwimConfig,
};
use masticdock_core::units::MonoMs;

/// Time between two ticks of the simulated network.
const STEP_MS: u64 = 100;

fn addr(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 10_000 + index))
}

fn fleet_member(index: u16, regions: u16) -> FleetMember {
    FleetMember {
        id: format_compact!("vm-{index}"),
        role: Role::Agent,
        leaving: false,
        region: format!("r{}", index % regions).parse().unwrap(),
        zone: format!("z{}", index % regions).parse().unwrap(),
        peer_addr: addr(index),
        traffic_addr: None,
    }
}

fn member_of(fleet_member: &FleetMember, epoch: u64) -> Member {
    Member {
        boot_epoch: BootEpoch(epoch),
        ..fleet_member.to_member()
    }
}

struct Network {
    now: u64,
    fleet_members: Vec<FleetMember>,
    members: BTreeMap<SocketAddr, Swim>,
    stopped: BTreeSet<SocketAddr>,
    partitioned_region: Option<masticdock_core::ids::RegionId>,
    regions: BTreeMap<SocketAddr, masticdock_core::ids::RegionId>,
    events: Vec<(CompactString, MembershipEvent)>,
}

impl Network {
    fn new(count: u16, regions: u16, config: SwimConfig) -> Self {
        let fleet_members: Vec<FleetMember> =
            (0..count).map(|i| fleet_member(i, regions)).collect();
        let mut members = BTreeMap::new();
        for (index, fleet_member) in fleet_members.iter().enumerate() {
            let mut swim = Swim::new(config, member_of(fleet_member, 1), index as u64);
            swim.set_fleet(&fleet_members);
            members.insert(fleet_member.peer_addr, swim);
        }
        Self {
            now: 0,
            regions: fleet_members
                .iter()
                .map(|e| (e.peer_addr, e.region.clone()))
                .collect(),
            fleet_members,
            members,
            stopped: BTreeSet::new(),
            partitioned_region: None,
            events: Vec::new(),
        }
    }

    fn is_reachable(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let Some(partitioned) = &self.partitioned_region else {
            return !self.stopped.contains(&to);
        };
        let same_side =
            (self.regions[&from] == *partitioned) == (self.regions[&to] == *partitioned);
        same_side && !self.stopped.contains(&to)
    }

    fn deliver(&mut self, from: SocketAddr, outgoing: Vec<OutgoingDatagram>) {
        let mut queue: Vec<(SocketAddr, OutgoingDatagram)> =
            outgoing.into_iter().map(|o| (from, o)).collect();
        while let Some((from, out)) = queue.pop() {
            if !self.is_reachable(from, out.to) {
                continue;
            }
            let swim = self.members.get_mut(&out.to).unwrap();
            for answer in swim.receive(from, out.message, MonoMs(self.now)) {
                queue.push((out.to, answer));
            }
        }
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 1_000 / STEP_MS {
            self.now += STEP_MS;
            for address in self.members.keys().copied().collect::<Vec<_>>() {
                if self.stopped.contains(&address) {
                    continue;
                }
                let swim = self.members.get_mut(&address).unwrap();
                let outgoing = swim.tick(MonoMs(self.now));
                let id = swim.own_member().id.clone();
                for event in swim.take_events() {
                    self.events.push((id.clone(), event));
                }
                self.deliver(address, outgoing);
            }
        }
    }

    fn liveness_views(&self, id: &str) -> Vec<Option<Liveness>> {
        let running = self
            .members
            .iter()
            .filter(|(a, _)| !self.stopped.contains(a));
        running
            .map(|(_, swim)| swim.member(id).map(|member| member.liveness))
            .collect()
    }

    fn declared_dead_count(&self) -> usize {
        let all_events = self.events.iter();
        all_events
            .filter(|(_, n)| matches!(n, MembershipEvent::Dead(_)))
            .count()
    }

    fn all_alive(&self) -> bool {
        let mut swims = self.members.values();
        swims.all(|swim| {
            swim.members().count() == self.fleet_members.len()
                && swim.members().all(|m| m.liveness == Liveness::Alive)
        })
    }
}

/// Guards against a dead member that some process still considers alive.
#[test]
fn a_stopped_member_is_declared_dead_everywhere() {
    let mut network = Network::new(12, 3, SwimConfig::default());
    network.run(5);
    assert!(network.all_alive());
    network.stopped.insert(addr(4));
    network.run(20);
    assert_eq!(
        network.liveness_views("vm-4"),
        vec![Some(Liveness::Dead); 11]
    );
}

fn partition_for_an_hour(config: SwimConfig) -> Network {
    let mut network = Network::new(12, 3, config);
    network.run(10);
    network.partitioned_region = Some("r0".parse().unwrap());
    network.run(3_600);
    network
}

/// Guards against declaring all members of a region dead when a network partition
/// separates the region for an hour.
#[test]
fn a_region_partitioned_for_an_hour_is_not_declared_dead_and_reconverges() {
    let mut network = partition_for_an_hour(SwimConfig::default());
    assert_eq!(network.declared_dead_count(), 0);
    for swim in network.members.values() {
        assert!(
            !swim.partitioned_regions().is_empty(),
            "{} did not detect the partition",
            swim.own_member().id
        );
    }
    network.partitioned_region = None;
    network.run(60);
    assert!(network.all_alive());
    assert_eq!(network.declared_dead_count(), 0);
    assert!(
        network
            .members
            .values()
            .all(|swim| swim.partitioned_regions().is_empty())
    );
}

/// Shows that without partition detection the members are declared dead, and guards
/// against two sides that never find each other again in that case.
#[test]
fn without_detection_a_partitioned_region_is_declared_dead() {
    let config = SwimConfig {
        region_partition_percent: 100,
        ..SwimConfig::default()
    };
    let mut network = partition_for_an_hour(config);
    assert!(network.declared_dead_count() > 0);
    network.partitioned_region = None;
    network.run(300);
    assert!(network.all_alive());
}

/// Guards against mistaking the failure of some members of a region for a partition,
/// which would keep them suspect.
#[test]
fn failure_of_a_minority_of_a_region_is_not_a_partition() {
    let mut network = Network::new(16, 2, SwimConfig::default());
    network.run(5);
    for index in [0, 2, 4] {
        network.stopped.insert(addr(index));
    }
    network.run(30);
    for id in ["vm-0", "vm-2", "vm-4"] {
        assert_eq!(network.liveness_views(id), vec![Some(Liveness::Dead); 13]);
    }
}

/// Guards against a process that declares others dead when it resumes after a pause.
#[test]
fn a_paused_process_declares_nobody_dead() {
    let mut network = Network::new(9, 3, SwimConfig::default());
    network.run(5);
    // The process holds a suspect when its pause begins, so the suspicion timeout
    // expires during the pause.
    let mut suspect_update = network.members[&addr(5)].own_member().clone();
    suspect_update.liveness = Liveness::Suspect;
    let now = MonoMs(network.now);
    let paused = network.members.get_mut(&addr(3)).unwrap();
    paused.merge_update(&suspect_update, now);
    network.stopped.insert(addr(3));
    network.run(60);
    network.events.clear();
    network.stopped.clear();
    network.run(60);
    assert_eq!(network.declared_dead_count(), 0);
    assert!(network.all_alive());
}

/// Guards against a restarted process that others still consider dead because its
/// previous boot was declared dead.
#[test]
fn a_restarted_process_replaces_its_previous_boot() {
    let mut network = Network::new(9, 3, SwimConfig::default());
    network.run(5);
    network.stopped.insert(addr(2));
    network.run(20);
    let fleet_member = network.fleet_members[2].clone();
    let mut swim = Swim::new(SwimConfig::default(), member_of(&fleet_member, 2), 77);
    swim.set_fleet(&network.fleet_members);
    network.members.insert(addr(2), swim);
    network.stopped.clear();
    network.run(10);
    assert!(network.all_alive());
    let epochs = network
        .members
        .values()
        .map(|s| s.member("vm-2").unwrap().boot_epoch);
    assert!(epochs.into_iter().all(|epoch| epoch == BootEpoch(2)));
}

/// Guards against a VM that learns that it is leaving only from its own next poll of
/// the fleet view.
#[test]
fn leaving_seen_by_one_reader_of_the_fleet_view_reaches_all_members() {
    let mut network = Network::new(12, 3, SwimConfig::default());
    network.run(5);
    let mut fleet_members = network.fleet_members.clone();
    fleet_members[7].leaving = true;
    network
        .members
        .get_mut(&addr(1))
        .unwrap()
        .set_fleet(&fleet_members);
    network.run(3);
    let others = network
        .members
        .values()
        .filter(|swim| swim.own_member().id != "vm-7");
    for swim in others {
        assert!(swim.member("vm-7").unwrap().status.leaving);
    }
    let observed = &network.events;
    assert!(
        observed
            .iter()
            .any(|(id, n)| id == "vm-7" && *n == MembershipEvent::OwnLeaving)
    );
}

/// Guards against a status update that clears the services of its member or does not
/// reach every process.
#[test]
fn a_status_update_reaches_every_process_and_keeps_the_services() {
    let mut network = Network::new(30, 3, SwimConfig::default());
    network.run(5);
    let before = network.members[&addr(0)]
        .member("vm-3")
        .unwrap()
        .status
        .services
        .clone();
    let own = network.members.get_mut(&addr(3)).unwrap();
    let serving_version = Some("v2".parse().unwrap());
    own.set_own_status(MemberStatus {
        phase: Phase::Serving,
        serving_version: serving_version.clone(),
        ..own.own_member().status.clone()
    });
    network.run(4);
    for swim in network.members.values() {
        let status = &swim.member("vm-3").unwrap().status;
        assert_eq!(status.serving_version, serving_version);
        assert_eq!(status.services, before);
    }
}

/// Guards against gossiping a phase change that no other process acts on, and against
/// losing the phase change that follows it.
#[test]
fn loading_after_draining_is_not_gossiped_but_serving_is() {
    let mut network = Network::new(12, 3, SwimConfig::default());
    network.run(5);
    for (phase, gossiped) in [
        (Phase::Draining, true),
        (Phase::Loading, false),
        (Phase::Serving, true),
    ] {
        let swim = network.members.get_mut(&addr(4)).unwrap();
        assert!(swim.push_queue_is_empty(), "before {phase:?}");
        let status = MemberStatus {
            phase,
            ..swim.own_member().status.clone()
        };
        swim.set_own_status(status);
        assert_eq!(swim.push_queue_is_empty(), !gossiped, "{phase:?}");
        network.run(5);
    }
    for swim in network.members.values() {
        assert_eq!(swim.member("vm-4").unwrap().status.phase, Phase::Serving);
    }
}

/// Guards against a status of another boot that overwrites that of the current boot.
#[test]
fn a_status_update_of_another_boot_is_ignored() {
    let mut network = Network::new(3, 1, SwimConfig::default());
    network.run(3);
    let swim = network.members.get_mut(&addr(0)).unwrap();
    let held = swim.member("vm-1").unwrap().clone();
    let update = StatusUpdate {
        id: held.id.clone(),
        boot_epoch: BootEpoch(held.boot_epoch.0 + 1),
        status: MemberStatus {
            seq: held.status.seq + 5,
            leaving: true,
            ..held.status.clone()
        },
    };
    let message = GossipMessage {
        from: CompactString::const_new("vm-2"),
        seq: 1,
        kind: GossipKind::Push,
        revision: Revision(0),
        updates: Vec::new(),
        statuses: vec![update],
        crashes: Vec::new(),
        demands: Vec::new(),
    };
    swim.receive(addr(2), message, MonoMs(60_000));
    assert_eq!(swim.member("vm-1"), Some(&held));
}

/// Guards against a configuration revision that does not reach every process.
#[test]
fn a_higher_revision_reaches_every_process() {
    let mut network = Network::new(30, 3, SwimConfig::default());
    network.run(5);
    network
        .members
        .get_mut(&addr(0))
        .unwrap()
        .set_revision(Revision(9));
    let mut informed = BTreeSet::from([CompactString::const_new("vm-0")]);
    for _ in 0..30 {
        network.run(1);
        for (id, event) in std::mem::take(&mut network.events) {
            if matches!(event, MembershipEvent::HigherRevision { .. }) {
                let index: u16 = id[3..].parse().unwrap();
                network
                    .members
                    .get_mut(&addr(index))
                    .unwrap()
                    .set_revision(Revision(9));
                informed.insert(id);
            }
        }
        if informed.len() == 30 {
            break;
        }
    }
    assert_eq!(informed.len(), 30);
    assert!(
        network.now <= 5_000 + 4_000,
        "took until {} ms",
        network.now
    );
}

/// Guards against a suspicion that persists although the member refutes it.
#[test]
fn a_member_refutes_a_suspicion() {
    let mut network = Network::new(6, 1, SwimConfig::default());
    network.run(3);
    let mut suspect_update = network.members[&addr(5)].own_member().clone();
    suspect_update.liveness = Liveness::Suspect;
    suspect_update.status = MemberStatus::default();
    let now = MonoMs(network.now);
    network
        .members
        .get_mut(&addr(0))
        .unwrap()
        .merge_update(&suspect_update, now);
    network.run(3);
    assert_eq!(
        network.liveness_views("vm-5"),
        vec![Some(Liveness::Alive); 6]
    );
    assert!(network.members[&addr(5)].own_member().incarnation > Incarnation(0));
}

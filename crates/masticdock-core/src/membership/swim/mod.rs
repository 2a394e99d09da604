//! SWIM state machine of one process.

mod receive;
mod records;
mod send;
mod tick;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use compact_str::CompactString;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::gossip_queue::GossipQueue;
use super::probe::Probes;
use super::region::PartitionDetector;
use super::{FleetMember, Liveness, Member, MemberStatus};
use crate::ids::{RegionId, Revision};
use crate::units::MonoMs;
use records::Records;

/// Parameters of probing and gossip.
#[derive(Debug, Clone, Copy)]
pub struct SwimConfig {
    /// Time between two pushes of queued records.
    pub push_interval_ms: u64,
    /// Number of members that receive each push.
    pub push_fanout: usize,
    /// Time between two probes; also the time after which an unacknowledged probe fails.
    pub probe_interval_ms: u64,
    /// Time without an ack after which other members are asked to ping the target.
    pub probe_timeout_ms: u64,
    /// Number of members asked to ping the target of a timed-out probe.
    pub indirect_probes: usize,
    /// Time that a suspect has to refute the suspicion before it is declared dead.
    pub suspicion_ms: u64,
    /// Percentage of a region's members above which suspects make the region count
    /// as partitioned; 100 turns the detection off.
    pub region_partition_percent: u32,
}

impl Default for SwimConfig {
    fn default() -> Self {
        Self {
            push_interval_ms: 200,
            push_fanout: 3,
            probe_interval_ms: 1_000,
            probe_timeout_ms: 400,
            indirect_probes: 3,
            suspicion_ms: 3_000,
            region_partition_percent: 50,
        }
    }
}

/// Event that the owner of a [`Swim`] has to handle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// This process declared a member dead.
    Dead(CompactString),
    /// A region became unreachable and counts as partitioned.
    RegionPartitioned(RegionId),
    /// A datagram arrived from a region that was partitioned.
    RegionReconnected(RegionId),
    /// A member has a higher configuration revision than this process.
    HigherRevision {
        /// RPC address of the member.
        peer: SocketAddr,
        /// Revision that the member has.
        revision: Revision,
    },
    /// The fleet view lists this process as leaving.
    OwnLeaving,
}

/// Identifies a record in the gossip queue.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum GossipKey {
    Revision,
    Member(CompactString),
    Status(CompactString),
    Crash(crate::poison::CrashRecord),
}

/// Membership of the fleet as known to one process.
#[derive(Debug)]
pub struct Swim {
    config: SwimConfig,
    own_id: CompactString,
    members: BTreeMap<CompactString, Member>,
    /// Ids of the VMs that the fleet view lists.
    listed_ids: BTreeSet<CompactString>,
    /// Start of the suspect, dead or left state, by member.
    down_since: HashMap<CompactString, MonoMs>,
    partitions: PartitionDetector,
    /// Time at which other members of a region were last pinged after a failed probe.
    region_checked_at: BTreeMap<RegionId, MonoMs>,
    probes: Probes,
    queue: GossipQueue<GossipKey>,
    /// Demands by entry and workspace.
    demand_queue: GossipQueue<(CompactString, CompactString)>,
    records: Records,
    events: Vec<MembershipEvent>,
    revision: Revision,
    next_seq: u64,
    next_probe: MonoMs,
    next_push: MonoMs,
    next_dead_probe: MonoMs,
    last_tick: Option<MonoMs>,
    rng: ChaCha8Rng,
    changes: u64,
}

impl Swim {
    /// Creates a membership that knows only `own`.
    #[must_use]
    pub fn new(config: SwimConfig, own: Member, seed: u64) -> Self {
        let own_id = own.id.clone();
        let mut queue = GossipQueue::default();
        queue.enqueue(GossipKey::Member(own_id.clone()));
        Self {
            config,
            members: BTreeMap::from([(own_id.clone(), own)]),
            own_id,
            listed_ids: BTreeSet::new(),
            down_since: HashMap::new(),
            partitions: PartitionDetector::default(),
            region_checked_at: BTreeMap::new(),
            probes: Probes::default(),
            queue,
            demand_queue: GossipQueue::default(),
            records: Records::default(),
            events: Vec::new(),
            revision: Revision(0),
            next_seq: 1,
            next_probe: MonoMs(0),
            next_push: MonoMs(0),
            next_dead_probe: MonoMs(0),
            last_tick: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
            changes: 1,
        }
    }

    /// Returns the member of this process.
    ///
    /// # Panics
    ///
    /// Never: the member is inserted at creation and is never removed.
    #[must_use]
    pub fn own_member(&self) -> &Member {
        &self.members[&self.own_id]
    }

    /// Returns the member with this id.
    #[must_use]
    pub fn member(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    /// Iterates over all members in the order of their ids, whatever their liveness,
    /// and including this process.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the regions that are partitioned.
    #[must_use]
    pub const fn partitioned_regions(&self) -> &BTreeSet<RegionId> {
        self.partitions.partitioned()
    }

    /// Returns a counter that rises with each change of a member or a record.
    #[must_use]
    pub const fn change_count(&self) -> u64 {
        self.changes
    }

    /// Returns true when no record is queued for a push.
    #[must_use]
    pub fn push_queue_is_empty(&self) -> bool {
        self.queue.is_empty() && self.demand_queue.is_empty()
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.events)
    }

    /// Sets the configuration revision in force at this process and queues it for
    /// gossip; a revision that is not higher is ignored.
    pub fn set_revision(&mut self, revision: Revision) {
        if revision > self.revision {
            self.revision = revision;
            self.queue.enqueue(GossipKey::Revision);
        }
    }

    /// Replaces the status of this process and queues it for gossip; the `seq` of
    /// `status` is ignored, because this method raises it.
    pub fn set_own_status(&mut self, status: MemberStatus) {
        let Some(own) = self.members.get_mut(&self.own_id) else {
            return;
        };
        let seq = own.status.seq;
        let status = MemberStatus { seq, ..status };
        if status == own.status {
            return;
        }
        // Other processes treat draining and loading alike. Gossiping the step from
        // one to the other would add a quarter to the gossip of a rollout.
        let both_switching = own.status.phase.is_switching()
            && status.phase.is_switching()
            && MemberStatus {
                phase: own.status.phase,
                ..status.clone()
            } == own.status;
        own.status = MemberStatus {
            seq: seq + 1,
            ..status
        };
        if both_switching {
            self.changes += 1;
            return;
        }
        self.enqueue_status(self.own_id.clone());
    }

    /// Marks this process as left and returns the datagrams that announce it.
    pub fn leave(&mut self) -> Vec<super::OutgoingDatagram> {
        if let Some(own) = self.members.get_mut(&self.own_id) {
            own.liveness = Liveness::Left;
        }
        self.enqueue_member(self.own_id.clone());
        self.push()
    }

    /// Applies the complete list of VMs in the fleet view.
    pub fn set_fleet(&mut self, fleet_members: &[FleetMember]) {
        let listed: BTreeSet<CompactString> = fleet_members.iter().map(|e| e.id.clone()).collect();
        for gone in self
            .listed_ids
            .difference(&listed)
            .cloned()
            .collect::<Vec<_>>()
        {
            self.remove_if_down(&gone);
        }
        self.listed_ids = listed;
        for fleet_member in fleet_members {
            self.apply_fleet_member(fleet_member);
        }
    }

    fn apply_fleet_member(&mut self, fleet_member: &FleetMember) {
        let Some(held) = self.members.get_mut(&fleet_member.id) else {
            self.members
                .insert(fleet_member.id.clone(), fleet_member.to_member());
            self.changes += 1;
            return;
        };
        if held.boot_epoch.0 == 0 && held.peer_addr != fleet_member.peer_addr {
            *held = fleet_member.to_member();
            self.changes += 1;
        }
        if !fleet_member.leaving || held.status.leaving {
            return;
        }
        if fleet_member.id == self.own_id {
            self.events.push(MembershipEvent::OwnLeaving);
            return;
        }
        held.status.leaving = true;
        self.enqueue_member(fleet_member.id.clone());
    }

    /// Removes a member that the fleet view no longer lists, unless it is alive.
    fn remove_if_down(&mut self, id: &CompactString) {
        if *id == self.own_id {
            return;
        }
        let down = self.members.get(id);
        if down.is_some_and(|member| member.liveness != Liveness::Alive) {
            self.members.remove(id);
            self.down_since.remove(id);
            self.changes += 1;
        }
    }

    /// Queues the status alone, unless the whole member is queued already.
    fn enqueue_status(&mut self, id: CompactString) {
        let whole = GossipKey::Member(id.clone());
        if self.queue.contains(&whole) {
            self.enqueue_member(id);
            return;
        }
        self.changes += 1;
        self.queue.enqueue(GossipKey::Status(id));
    }

    fn enqueue_member(&mut self, id: CompactString) {
        self.changes += 1;
        self.queue.enqueue(GossipKey::Member(id));
    }
}

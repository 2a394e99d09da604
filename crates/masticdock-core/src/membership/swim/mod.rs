//! The state of one process's membership and its gossip.

mod receive;
mod records;
mod send;
mod tick;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use compact_str::CompactString;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::fresh::FreshQueue;
use super::probe::Probes;
use super::region::RegionContacts;
use super::{FleetMember, Liveness, Member, MemberStatus};
use crate::ids::{RegionId, Revision};
use crate::units::MonoMs;
use records::Records;

/// Timing of probes and gossip.
#[derive(Debug, Clone, Copy)]
pub struct SwimConfig {
    /// Time between two pushes of fresh records.
    pub push_interval_ms: u64,
    /// Members that receive each push.
    pub push_fanout: usize,
    /// Time between two probes; a probe without an ack fails after it.
    pub probe_interval_ms: u64,
    /// Time after which others are asked to probe.
    pub probe_timeout_ms: u64,
    /// Members asked to probe.
    pub indirect_probes: usize,
    /// Time that a suspect has to refute.
    pub suspicion_ms: u64,
    /// Share of a region's members that must be suspect at once for the region
    /// to count as cut; 100 turns the detection off.
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

/// What the owner of a [`Swim`] should know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A member was declared dead here.
    Dead(CompactString),
    /// Most of a region became unreachable at once.
    RegionPartitioned(RegionId),
    /// A region that was cut answers again.
    RegionReconnected(RegionId),
    /// A member holds a higher configuration revision.
    HigherRevision {
        /// Address of the member for RPC.
        peer: SocketAddr,
        /// Its revision.
        revision: Revision,
    },
    /// The fleet view marks this process as leaving.
    OwnLeaving,
}

/// What is spread by gossip.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum FreshKey {
    Revision,
    Member(CompactString),
    Status(CompactString),
    Crash(crate::poison::CrashRecord),
}

/// Membership of one process.
#[derive(Debug)]
pub struct Swim {
    config: SwimConfig,
    own_id: CompactString,
    members: BTreeMap<CompactString, Member>,
    fleet: BTreeSet<CompactString>,
    /// Time since which a member is suspect or dead.
    down_since: HashMap<CompactString, MonoMs>,
    regions: RegionContacts,
    region_checked: BTreeMap<RegionId, MonoMs>,
    probes: Probes,
    fresh: FreshQueue<FreshKey>,
    fresh_demands: FreshQueue<(CompactString, CompactString)>,
    records: Records,
    notices: Vec<MembershipEvent>,
    revision: Revision,
    next_seq: u64,
    next_probe: MonoMs,
    next_push: MonoMs,
    next_down_probe: MonoMs,
    last_tick: Option<MonoMs>,
    rng: ChaCha8Rng,
    changes: u64,
}

impl Swim {
    /// Makes a membership that knows only `own`.
    #[must_use]
    pub fn new(config: SwimConfig, own: Member, seed: u64) -> Self {
        let own_id = own.id.clone();
        let mut fresh = FreshQueue::default();
        fresh.refresh(FreshKey::Member(own_id.clone()));
        Self {
            config,
            members: BTreeMap::from([(own_id.clone(), own)]),
            own_id,
            fleet: BTreeSet::new(),
            down_since: HashMap::new(),
            regions: RegionContacts::default(),
            region_checked: BTreeMap::new(),
            probes: Probes::default(),
            fresh,
            fresh_demands: FreshQueue::default(),
            records: Records::default(),
            notices: Vec::new(),
            revision: Revision(0),
            next_seq: 1,
            next_probe: MonoMs(0),
            next_push: MonoMs(0),
            next_down_probe: MonoMs(0),
            last_tick: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
            changes: 1,
        }
    }

    /// Returns the own member.
    ///
    /// # Panics
    ///
    /// Never: the own member is present from the start and is never removed.
    #[must_use]
    pub fn own_member(&self) -> &Member {
        &self.members[&self.own_id]
    }

    /// Returns one member.
    #[must_use]
    pub fn member(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    /// Iterates over members of every liveness, by id, the own one included.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the regions marked as cut.
    #[must_use]
    pub const fn partitioned_regions(&self) -> &BTreeSet<RegionId> {
        self.regions.cut()
    }

    /// Returns a number that rises with each change of a member.
    #[must_use]
    pub const fn change_count(&self) -> u64 {
        self.changes
    }

    /// Returns true when no fresh record waits to be spread.
    #[must_use]
    pub fn push_queue_is_empty(&self) -> bool {
        self.fresh.is_empty() && self.fresh_demands.is_empty()
    }

    /// Takes the notices since the last call.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.notices)
    }

    /// Sets the configuration revision in force here; a higher one is spread.
    pub fn set_revision(&mut self, revision: Revision) {
        if revision > self.revision {
            self.revision = revision;
            self.fresh.refresh(FreshKey::Revision);
        }
    }

    /// Replaces the own status and spreads it; `seq` is kept here.
    pub fn set_own_status(&mut self, status: MemberStatus) {
        let Some(own) = self.members.get_mut(&self.own_id) else {
            return;
        };
        let seq = own.status.seq;
        let status = MemberStatus { seq, ..status };
        if status == own.status {
            return;
        }
        // Others treat draining and loading alike; a push of its own for the step
        // between them would cost a quarter of the gossip of a rollout.
        let alike = own.status.phase.is_switching()
            && status.phase.is_switching()
            && MemberStatus {
                phase: own.status.phase,
                ..status.clone()
            } == own.status;
        own.status = MemberStatus {
            seq: seq + 1,
            ..status
        };
        if alike {
            self.changes += 1;
            return;
        }
        self.spread_status(self.own_id.clone());
    }

    /// Declares that this process leaves for good and returns the datagrams that say so.
    pub fn leave(&mut self) -> Vec<super::OutgoingDatagram> {
        if let Some(own) = self.members.get_mut(&self.own_id) {
            own.liveness = Liveness::Left;
        }
        self.spread_member(self.own_id.clone());
        self.push()
    }

    /// Takes the whole list of the fleet view.
    pub fn set_fleet(&mut self, entries: &[FleetMember]) {
        let listed: BTreeSet<CompactString> = entries.iter().map(|e| e.id.clone()).collect();
        for gone in self.fleet.difference(&listed).cloned().collect::<Vec<_>>() {
            self.forget_if_down(&gone);
        }
        self.fleet = listed;
        for entry in entries {
            self.take_fleet_entry(entry);
        }
    }

    fn take_fleet_entry(&mut self, entry: &FleetMember) {
        let Some(held) = self.members.get_mut(&entry.id) else {
            self.members.insert(entry.id.clone(), entry.to_member());
            self.changes += 1;
            return;
        };
        if held.boot_epoch.0 == 0 && held.peer_addr != entry.peer_addr {
            *held = entry.to_member();
            self.changes += 1;
        }
        if !entry.leaving || held.status.leaving {
            return;
        }
        if entry.id == self.own_id {
            self.notices.push(MembershipEvent::OwnLeaving);
            return;
        }
        held.status.leaving = true;
        self.spread_member(entry.id.clone());
    }

    /// Forgets a member that the platform no longer lists and that does not answer.
    fn forget_if_down(&mut self, id: &CompactString) {
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

    /// Spreads the status alone, unless the whole member is on its way anyhow.
    fn spread_status(&mut self, id: CompactString) {
        let whole = FreshKey::Member(id.clone());
        if self.fresh.contains(&whole) {
            self.spread_member(id);
            return;
        }
        self.changes += 1;
        self.fresh.refresh(FreshKey::Status(id));
    }

    fn spread_member(&mut self, id: CompactString) {
        self.changes += 1;
        self.fresh.refresh(FreshKey::Member(id));
    }
}

//! Building of datagrams and choice of their receivers.

use std::net::SocketAddr;

use compact_str::CompactString;
use rand::seq::IteratorRandom;

use super::super::gossip_queue::send_limit;
use super::super::{
    GossipKind, GossipMessage, Liveness, Member, MemberStatus, OutgoingDatagram, Role, StatusUpdate,
};
use super::{GossipKey, Swim};

/// Bytes of one datagram that records may fill; the datagram has at most 1,200.
const RECORD_BYTES_MAX: usize = 1_000;
/// Encoded size of a crash record.
const CRASH_BYTES: usize = 40;
/// Encoded size of a demand record without its strings.
const DEMAND_BASE_BYTES: usize = 32;
/// Encoded size of a member without its strings.
const MEMBER_BASE_BYTES: usize = 88;
/// Encoded size of a status without its strings.
const STATUS_BASE_BYTES: usize = 40;
/// Encoded size of a string beyond its characters.
const TEXT_OVERHEAD_BYTES: usize = 4;

/// Estimates the encoded size of a member; the encoder enforces the actual limit.
fn member_size(member: &Member) -> usize {
    let mut size = MEMBER_BASE_BYTES + member.id.len();
    size += member.region.as_str().len() + member.zone.as_str().len();
    if let Some(version) = &member.status.serving_version {
        size += version.as_str().len() + TEXT_OVERHEAD_BYTES;
    }
    for service in &member.status.services {
        size += service.as_str().len() + TEXT_OVERHEAD_BYTES;
    }
    if let Some((rollout, version)) = &member.status.failed {
        size += rollout.as_str().len() + version.as_str().len() + 2 * TEXT_OVERHEAD_BYTES;
    }
    size
}

/// Estimates the encoded size of a status.
fn status_size(member: &Member) -> usize {
    let mut size = STATUS_BASE_BYTES + member.id.len();
    if let Some(version) = &member.status.serving_version {
        size += version.as_str().len() + TEXT_OVERHEAD_BYTES;
    }
    if let Some((rollout, version)) = &member.status.failed {
        size += rollout.as_str().len() + version.as_str().len() + 2 * TEXT_OVERHEAD_BYTES;
    }
    size
}

fn status_of(member: &Member) -> StatusUpdate {
    StatusUpdate {
        id: member.id.clone(),
        boot_epoch: member.boot_epoch,
        status: MemberStatus {
            services: Vec::new(),
            ..member.status.clone()
        },
    }
}

impl Swim {
    pub(super) fn allocate_seq(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq
    }

    fn live_count(&self) -> usize {
        self.members
            .values()
            .filter(|member| member.liveness == Liveness::Alive)
            .count()
    }

    /// Builds a datagram with queued records; `required_id` names a member to include
    /// whether it is queued or not.
    pub(super) fn build_message(
        &mut self,
        kind: GossipKind,
        seq: u64,
        required_id: Option<&str>,
    ) -> GossipMessage {
        let limit = send_limit(self.live_count());
        let mut updates = Vec::new();
        let mut bytes_left = RECORD_BYTES_MAX;
        if let Some(member) = required_id.and_then(|id| self.members.get(id)) {
            bytes_left = bytes_left.saturating_sub(member_size(member));
            updates.push(member.clone());
        }
        let members = &self.members;
        let size = |key: &GossipKey| match key {
            GossipKey::Revision => 0,
            GossipKey::Crash(_) => CRASH_BYTES,
            GossipKey::Member(id) => members.get(id).map_or(0, member_size),
            GossipKey::Status(id) => members.get(id).map_or(0, status_size),
        };
        let mut crashes = Vec::new();
        let mut statuses = Vec::new();
        for key in self.queue.take(bytes_left, limit, size) {
            match key {
                GossipKey::Revision => {}
                GossipKey::Crash(crash) => crashes.push(crash),
                GossipKey::Status(id) => statuses.extend(self.members.get(&id).map(status_of)),
                GossipKey::Member(id) => {
                    if required_id == Some(id.as_str()) {
                        continue;
                    }
                    updates.extend(self.members.get(&id).cloned());
                }
            }
        }
        GossipMessage {
            from: self.own_id.clone(),
            seq,
            kind,
            revision: self.revision,
            updates,
            statuses,
            crashes,
            demands: Vec::new(),
        }
    }

    fn random_live_addrs(&mut self, count: usize, entries_only: bool) -> Vec<SocketAddr> {
        let own = &self.own_id;
        let live = self.members.values().filter(|member| {
            member.liveness == Liveness::Alive
                && member.id != *own
                && (!entries_only || member.role == Role::Entry)
        });
        live.map(|member| member.peer_addr)
            .choose_multiple(&mut self.rng, count)
    }

    /// Returns the addresses of up to `count` random live members other than
    /// `excluded_id`.
    pub(super) fn random_probe_helpers(
        &mut self,
        count: usize,
        excluded_id: &str,
    ) -> Vec<SocketAddr> {
        let own = &self.own_id;
        let live = self.members.values().filter(|member| {
            member.liveness == Liveness::Alive && member.id != *own && member.id != excluded_id
        });
        live.map(|member| member.peer_addr)
            .choose_multiple(&mut self.rng, count)
    }

    /// Returns datagrams that push queued records to random members.
    pub(super) fn push(&mut self) -> Vec<OutgoingDatagram> {
        let mut outgoing = Vec::new();
        if !self.queue.is_empty() {
            for to in self.random_live_addrs(self.config.push_fanout, false) {
                if self.queue.is_empty() {
                    break;
                }
                let seq = self.allocate_seq();
                let message = self.build_message(GossipKind::Push, seq, None);
                outgoing.push(OutgoingDatagram { to, message });
            }
        }
        if !self.demand_queue.is_empty() {
            outgoing.extend(self.push_demands());
        }
        outgoing
    }

    fn push_demands(&mut self) -> Vec<OutgoingDatagram> {
        let mut outgoing = Vec::new();
        let targets = self.random_live_addrs(self.config.push_fanout, true);
        let entries = self.members.values().filter(|m| m.role == Role::Entry);
        let limit = send_limit(entries.count());
        for to in targets {
            let size = |key: &(CompactString, CompactString)| {
                DEMAND_BASE_BYTES + key.0.len() + key.1.len()
            };
            let keys = self.demand_queue.take(RECORD_BYTES_MAX, limit, size);
            if keys.is_empty() {
                break;
            }
            let mut demands = Vec::with_capacity(keys.len());
            for key in keys {
                demands.extend(self.records.demands.get(&key).cloned());
            }
            let message = GossipMessage {
                from: self.own_id.clone(),
                seq: self.allocate_seq(),
                kind: GossipKind::Push,
                revision: self.revision,
                updates: Vec::new(),
                statuses: Vec::new(),
                crashes: Vec::new(),
                demands,
            };
            outgoing.push(OutgoingDatagram { to, message });
        }
        outgoing
    }
}

//! Building of datagrams.

use std::net::SocketAddr;

use compact_str::CompactString;
use rand::seq::IteratorRandom;

use super::super::fresh::send_limit;
use super::super::{
    GossipKind, GossipMessage, Liveness, Member, MemberStatus, OutgoingDatagram, Role, StatusUpdate,
};
use super::{FreshKey, Swim};

/// Bytes of one datagram left for records; the whole is at most 1,200.
const RECORD_BYTES_MAX: usize = 1_000;
/// Bytes of a crash record.
const CRASH_BYTES: usize = 40;
/// Bytes of a demand record without its texts.
const DEMAND_BYTES: usize = 32;
/// Bytes of a member without its texts.
const MEMBER_BYTES: usize = 88;
/// Bytes of a status without its texts.
const STATUS_BYTES: usize = 40;
/// Bytes of one text beyond its characters.
const TEXT_BYTES: usize = 4;

/// Estimates the encoded size of a member; the encoder has the last word.
fn member_size(member: &Member) -> usize {
    let mut size = MEMBER_BYTES + member.id.len();
    size += member.region.as_str().len() + member.zone.as_str().len();
    if let Some(version) = &member.status.serving_version {
        size += version.as_str().len() + TEXT_BYTES;
    }
    for service in &member.status.services {
        size += service.as_str().len() + TEXT_BYTES;
    }
    if let Some((rollout, version)) = &member.status.failed {
        size += rollout.as_str().len() + version.as_str().len() + 2 * TEXT_BYTES;
    }
    size
}

/// Estimates the encoded size of a status.
fn status_size(member: &Member) -> usize {
    let mut size = STATUS_BYTES + member.id.len();
    if let Some(version) = &member.status.serving_version {
        size += version.as_str().len() + TEXT_BYTES;
    }
    if let Some((rollout, version)) = &member.status.failed {
        size += rollout.as_str().len() + version.as_str().len() + 2 * TEXT_BYTES;
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
    pub(super) fn take_seq(&mut self) -> u64 {
        self.next_seq += 1;
        self.next_seq
    }

    fn live_count(&self) -> usize {
        self.members
            .values()
            .filter(|member| member.liveness == Liveness::Alive)
            .count()
    }

    /// Builds a datagram with fresh records; `forced` names a member to include in any case.
    pub(super) fn message(
        &mut self,
        kind: GossipKind,
        seq: u64,
        forced: Option<&str>,
    ) -> GossipMessage {
        let limit = send_limit(self.live_count());
        let mut updates = Vec::new();
        let mut room = RECORD_BYTES_MAX;
        if let Some(member) = forced.and_then(|id| self.members.get(id)) {
            room = room.saturating_sub(member_size(member));
            updates.push(member.clone());
        }
        let members = &self.members;
        let size = |key: &FreshKey| match key {
            FreshKey::Revision => 0,
            FreshKey::Crash(_) => CRASH_BYTES,
            FreshKey::Member(id) => members.get(id).map_or(0, member_size),
            FreshKey::Status(id) => members.get(id).map_or(0, status_size),
        };
        let mut crashes = Vec::new();
        let mut statuses = Vec::new();
        for key in self.fresh.take(room, limit, size) {
            match key {
                FreshKey::Revision => {}
                FreshKey::Crash(crash) => crashes.push(crash),
                FreshKey::Status(id) => statuses.extend(self.members.get(&id).map(status_of)),
                FreshKey::Member(id) => {
                    if forced == Some(id.as_str()) {
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

    fn random_live(&mut self, count: usize, entries_only: bool) -> Vec<SocketAddr> {
        let own = &self.own_id;
        let live = self.members.values().filter(|member| {
            member.liveness == Liveness::Alive
                && member.id != *own
                && (!entries_only || member.role == Role::Entry)
        });
        live.map(|member| member.peer_addr)
            .choose_multiple(&mut self.rng, count)
    }

    /// Returns up to `count` random live members other than `except`.
    pub(super) fn random_helpers(&mut self, count: usize, except: &str) -> Vec<SocketAddr> {
        let own = &self.own_id;
        let live = self.members.values().filter(|member| {
            member.liveness == Liveness::Alive && member.id != *own && member.id != except
        });
        live.map(|member| member.peer_addr)
            .choose_multiple(&mut self.rng, count)
    }

    /// Pushes fresh records to random members.
    pub(super) fn push(&mut self) -> Vec<OutgoingDatagram> {
        let mut outgoing = Vec::new();
        if !self.fresh.is_empty() {
            for to in self.random_live(self.config.push_fanout, false) {
                if self.fresh.is_empty() {
                    break;
                }
                let seq = self.take_seq();
                let message = self.message(GossipKind::Push, seq, None);
                outgoing.push(OutgoingDatagram { to, message });
            }
        }
        if !self.fresh_demands.is_empty() {
            outgoing.extend(self.push_demands());
        }
        outgoing
    }

    fn push_demands(&mut self) -> Vec<OutgoingDatagram> {
        let mut outgoing = Vec::new();
        let targets = self.random_live(self.config.push_fanout, true);
        let entries = self.members.values().filter(|m| m.role == Role::Entry);
        let limit = send_limit(entries.count());
        for to in targets {
            let size =
                |key: &(CompactString, CompactString)| DEMAND_BYTES + key.0.len() + key.1.len();
            let keys = self.fresh_demands.take(RECORD_BYTES_MAX, limit, size);
            if keys.is_empty() {
                break;
            }
            let mut demands = Vec::with_capacity(keys.len());
            for key in keys {
                demands.extend(self.records.demands.get(&key).cloned());
            }
            let message = GossipMessage {
                from: self.own_id.clone(),
                seq: self.take_seq(),
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

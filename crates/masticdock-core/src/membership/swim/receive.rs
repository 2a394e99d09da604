//! Handling of received datagrams and of updates from other sources.

use std::net::SocketAddr;

use compact_str::CompactString;

use super::super::merge::{merge, merge_status_update};
use super::super::probe::Relay;
use super::super::{GossipKind, GossipMessage, Liveness, Member, OutgoingDatagram, StatusUpdate};
use super::{MembershipEvent, Swim};
use crate::ids::Incarnation;
use crate::units::MonoMs;

impl Swim {
    /// Handles one datagram and returns the datagrams to send in response.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        message: GossipMessage,
        now: MonoMs,
    ) -> Vec<OutgoingDatagram> {
        if message.from == self.own_id {
            return Vec::new();
        }
        for update in &message.updates {
            self.merge_update(update, now);
        }
        for status in &message.statuses {
            self.merge_status_update(status);
        }
        for crash in message.crashes {
            self.add_crash(crash);
        }
        for demand in message.demands {
            self.add_demand(demand);
        }
        self.handle_contact(&message.from, now);
        if message.revision > self.revision {
            let peer = self.members.get(&message.from);
            self.events.push(MembershipEvent::HigherRevision {
                peer: peer.map_or(from, |member| member.peer_addr),
                revision: message.revision,
            });
        }
        self.respond(from, &message.from, message.seq, message.kind, now)
    }

    fn respond(
        &mut self,
        from: SocketAddr,
        sender: &CompactString,
        seq: u64,
        kind: GossipKind,
        now: MonoMs,
    ) -> Vec<OutgoingDatagram> {
        let not_alive = self.members.get(sender);
        let not_alive = not_alive.is_some_and(|member| member.liveness != Liveness::Alive);
        // A sender that is suspect, dead or left here is sent that record, so that it
        // can refute it at once.
        let required_id = not_alive.then_some(sender.as_str());
        let reply = match kind {
            GossipKind::Ping => Some((from, GossipKind::Ack(seq), seq)),
            GossipKind::PingReq(target) => {
                let own_seq = self.allocate_seq();
                let relay = Relay {
                    requester: from,
                    requester_seq: seq,
                    sent_at: now,
                };
                self.probes.relays.insert(own_seq, relay);
                Some((target, GossipKind::Ping, own_seq))
            }
            GossipKind::Ack(acked_seq) => self.handle_ack(acked_seq),
            GossipKind::Push => not_alive.then_some((from, GossipKind::Push, seq)),
        };
        let Some((to, kind, seq)) = reply else {
            return Vec::new();
        };
        let message = self.build_message(kind, seq, required_id);
        vec![OutgoingDatagram { to, message }]
    }

    fn handle_ack(&mut self, seq: u64) -> Option<(SocketAddr, GossipKind, u64)> {
        if self.probes.pending.remove(&seq).is_some() {
            return None;
        }
        let relay = self.probes.relays.remove(&seq)?;
        let kind = GossipKind::Ack(relay.requester_seq);
        Some((relay.requester, kind, relay.requester_seq))
    }

    fn handle_contact(&mut self, sender: &str, now: MonoMs) {
        let Some(member) = self.members.get(sender) else {
            return;
        };
        let region = member.region.clone();
        if !self.partitions.record_contact(&region, now) {
            return;
        }
        self.changes += 1;
        // All members of the region have to refute at the same time, so the suspicion
        // timeout starts over and is extended.
        let grace_ms = self.config.suspicion_ms * 9;
        for (id, since) in &mut self.down_since {
            let down = self.members.get(id);
            let is_suspect =
                down.is_some_and(|m| m.region == region && m.liveness == Liveness::Suspect);
            if is_suspect {
                *since = now.plus_ms(grace_ms);
            }
        }
        self.events.push(MembershipEvent::RegionReconnected(region));
    }

    /// Merges an update about a member that another process sent.
    pub fn merge_update(&mut self, update: &Member, now: MonoMs) {
        if update.id == self.own_id {
            self.merge_own_update(update);
            return;
        }
        let Some(held) = self.members.get_mut(&update.id) else {
            self.insert_unknown(update, now);
            return;
        };
        let previous = held.liveness;
        let held_before = (held.boot_epoch, held.incarnation, previous);
        let changed = if update.liveness == Liveness::Dead
            && self.partitions.is_partitioned(&update.region)
        {
            // The sender has not detected the partition; a member that it declared
            // dead is only held as suspect here.
            let downgraded = Member {
                liveness: Liveness::Suspect,
                ..update.clone()
            };
            merge(held, &downgraded)
        } else {
            merge(held, update)
        };
        if !changed {
            return;
        }
        let current = held.liveness;
        if held_before == (held.boot_epoch, held.incarnation, current) {
            self.enqueue_status(update.id.clone());
        } else {
            self.enqueue_member(update.id.clone());
        }
        self.track_liveness(&update.id, previous, current, now);
    }

    /// Merges a status update.
    ///
    /// An update for an unknown member or for another boot is ignored: the whole
    /// member, which is gossiped after each start, will bring the status.
    fn merge_status_update(&mut self, update: &StatusUpdate) {
        let Some(held) = self.members.get_mut(&update.id) else {
            return;
        };
        if update.id == self.own_id {
            let same_boot = update.boot_epoch == held.boot_epoch;
            if same_boot && update.status.leaving && !held.status.leaving {
                self.events.push(MembershipEvent::OwnLeaving);
            }
            return;
        }
        if merge_status_update(held, update) {
            self.enqueue_status(update.id.clone());
        }
    }

    fn insert_unknown(&mut self, update: &Member, now: MonoMs) {
        // No process needs the record of a dead member that it never knew.
        if matches!(update.liveness, Liveness::Dead | Liveness::Left) {
            return;
        }
        self.members.insert(update.id.clone(), update.clone());
        self.enqueue_member(update.id.clone());
        self.track_liveness(&update.id, Liveness::Alive, update.liveness, now);
    }

    fn merge_own_update(&mut self, update: &Member) {
        let Some(own) = self.members.get_mut(&self.own_id) else {
            return;
        };
        if update.boot_epoch > own.boot_epoch || own.liveness == Liveness::Left {
            return;
        }
        // Other processes use boot epoch 0 until they hear from this process, so only
        // updates with the current boot epoch are about this boot.
        let same_boot = update.boot_epoch == own.boot_epoch;
        if update.status.leaving && !own.status.leaving && same_boot {
            self.events.push(MembershipEvent::OwnLeaving);
        }
        let not_alive = update.liveness != Liveness::Alive;
        if same_boot && not_alive && update.incarnation >= own.incarnation {
            own.incarnation = Incarnation(update.incarnation.0 + 1);
            self.enqueue_member(self.own_id.clone());
        } else if not_alive {
            // The update is about an earlier boot or was refuted already, but its
            // sender may not know, so this process gossips its own record again.
            self.enqueue_member(self.own_id.clone());
        }
    }

    pub(super) fn track_liveness(
        &mut self,
        id: &CompactString,
        previous: Liveness,
        current: Liveness,
        now: MonoMs,
    ) {
        if previous == current {
            return;
        }
        if current == Liveness::Alive {
            self.down_since.remove(id);
        } else {
            self.down_since.insert(id.clone(), now);
        }
    }
}

//! Handling of datagrams and of updates from other sources.

use std::net::SocketAddr;

use compact_str::CompactString;

use super::super::merge::{merge, merge_status_update};
use super::super::probe::Relay;
use super::super::{GossipKind, GossipMessage, Liveness, Member, OutgoingDatagram, StatusUpdate};
use super::{MembershipEvent, Swim};
use crate::ids::Incarnation;
use crate::units::MonoMs;

impl Swim {
    /// Takes one datagram and returns the answers.
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
        self.note_contact(&message.from, now);
        if message.revision > self.revision {
            let peer = self.members.get(&message.from);
            self.notices.push(MembershipEvent::HigherRevision {
                peer: peer.map_or(from, |member| member.peer_addr),
                revision: message.revision,
            });
        }
        self.answer(from, &message.from, message.seq, message.kind, now)
    }

    fn answer(
        &mut self,
        from: SocketAddr,
        sender: &CompactString,
        seq: u64,
        kind: GossipKind,
        now: MonoMs,
    ) -> Vec<OutgoingDatagram> {
        let doubted = self.members.get(sender);
        let doubted = doubted.is_some_and(|member| member.liveness != Liveness::Alive);
        // A doubted sender is told so at once, so that it can refute.
        let forced = doubted.then_some(sender.as_str());
        let reply = match kind {
            GossipKind::Ping => Some((from, GossipKind::Ack(seq), seq)),
            GossipKind::PingReq(target) => {
                let own_seq = self.take_seq();
                let relay = Relay {
                    requester: from,
                    requester_seq: seq,
                    sent: now,
                };
                self.probes.relays.insert(own_seq, relay);
                Some((target, GossipKind::Ping, own_seq))
            }
            GossipKind::Ack(acked) => self.on_ack(acked),
            GossipKind::Push => doubted.then_some((from, GossipKind::Push, seq)),
        };
        let Some((to, kind, seq)) = reply else {
            return Vec::new();
        };
        let message = self.message(kind, seq, forced);
        vec![OutgoingDatagram { to, message }]
    }

    fn on_ack(&mut self, seq: u64) -> Option<(SocketAddr, GossipKind, u64)> {
        if self.probes.pending.remove(&seq).is_some() {
            return None;
        }
        let relay = self.probes.relays.remove(&seq)?;
        let kind = GossipKind::Ack(relay.requester_seq);
        Some((relay.requester, kind, relay.requester_seq))
    }

    fn note_contact(&mut self, sender: &str, now: MonoMs) {
        let Some(member) = self.members.get(sender) else {
            return;
        };
        let region = member.region.clone();
        if !self.regions.contact(&region, now) {
            return;
        }
        self.changes += 1;
        // The members get the whole suspicion time again, and more, because all
        // of the region's members have to refute at once.
        let grace = self.config.suspicion_ms * 9;
        for (id, since) in &mut self.down_since {
            let down = self.members.get(id);
            let waiting =
                down.is_some_and(|m| m.region == region && m.liveness == Liveness::Suspect);
            if waiting {
                *since = now.plus_ms(grace);
            }
        }
        self.notices
            .push(MembershipEvent::RegionReconnected(region));
    }

    /// Merges what another process states about a member.
    pub fn merge_update(&mut self, update: &Member, now: MonoMs) {
        if update.id == self.own_id {
            self.merge_about_own(update);
            return;
        }
        let Some(held) = self.members.get_mut(&update.id) else {
            self.insert_unknown(update, now);
            return;
        };
        let was = held.liveness;
        let statement = (held.boot_epoch, held.incarnation, was);
        let changed = if update.liveness == Liveness::Dead && self.regions.is_cut(&update.region) {
            // The other process did not notice the cut; its verdict is kept as a suspicion.
            let softened = Member {
                liveness: Liveness::Suspect,
                ..update.clone()
            };
            merge(held, &softened)
        } else {
            merge(held, update)
        };
        if !changed {
            return;
        }
        let is = held.liveness;
        if statement == (held.boot_epoch, held.incarnation, is) {
            self.spread_status(update.id.clone());
        } else {
            self.spread_member(update.id.clone());
        }
        self.note_liveness(&update.id, was, is, now);
    }

    /// Takes a status; one of an unknown member or another boot is left to the
    /// whole member, which is spread at each start.
    fn merge_status_update(&mut self, update: &StatusUpdate) {
        let Some(held) = self.members.get_mut(&update.id) else {
            return;
        };
        if update.id == self.own_id {
            let same_boot = update.boot_epoch == held.boot_epoch;
            if same_boot && update.status.leaving && !held.status.leaving {
                self.notices.push(MembershipEvent::OwnLeaving);
            }
            return;
        }
        if merge_status_update(held, update) {
            self.spread_status(update.id.clone());
        }
    }

    fn insert_unknown(&mut self, update: &Member, now: MonoMs) {
        // A member that is gone is of no interest to a process that never knew it.
        if matches!(update.liveness, Liveness::Dead | Liveness::Left) {
            return;
        }
        self.members.insert(update.id.clone(), update.clone());
        self.spread_member(update.id.clone());
        self.note_liveness(&update.id, Liveness::Alive, update.liveness, now);
    }

    fn merge_about_own(&mut self, update: &Member) {
        let Some(own) = self.members.get_mut(&self.own_id) else {
            return;
        };
        if update.boot_epoch > own.boot_epoch || own.liveness == Liveness::Left {
            return;
        }
        // Boot epoch 0 is what others assume before they heard from this process.
        let same_boot = update.boot_epoch == own.boot_epoch;
        if update.status.leaving && !own.status.leaving && same_boot {
            self.notices.push(MembershipEvent::OwnLeaving);
        }
        let doubted = update.liveness != Liveness::Alive;
        if same_boot && doubted && update.incarnation >= own.incarnation {
            own.incarnation = Incarnation(update.incarnation.0 + 1);
            self.spread_member(self.own_id.clone());
        } else if doubted {
            // The doubt is older than this boot or already refuted; others may not know.
            self.spread_member(self.own_id.clone());
        }
    }

    pub(super) fn note_liveness(
        &mut self,
        id: &CompactString,
        was: Liveness,
        is: Liveness,
        now: MonoMs,
    ) {
        if was == is {
            return;
        }
        if is == Liveness::Alive {
            self.down_since.remove(id);
        } else {
            self.down_since.insert(id.clone(), now);
        }
    }
}

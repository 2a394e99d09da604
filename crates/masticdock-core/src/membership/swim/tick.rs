//! What happens with the passing of time.

use std::collections::BTreeMap;

use compact_str::CompactString;
use rand::seq::IteratorRandom;

use super::super::probe::Probe;
use super::super::region::count_region;
use super::super::{GossipKind, Liveness, OutgoingDatagram};
use super::{MembershipEvent, Swim};
use crate::ids::RegionId;
use crate::units::MonoMs;

/// Gap between two ticks from which this process counts as having been paused.
const PAUSE_MS: u64 = 1_000;
/// Members of a region that are pinged when one of them fails.
const REGION_CHECK_PINGS: usize = 3;
/// Time between two probes of members that are held for dead.
const DOWN_PROBE_INTERVAL_MS: u64 = 10_000;
/// Time after which a dead member that the fleet view does not list is forgotten.
const FORGET_MS: u64 = 600_000;

impl Swim {
    /// Lets time pass and returns the datagrams that are due.
    pub fn tick(&mut self, now: MonoMs) -> Vec<OutgoingDatagram> {
        self.allow_for_pause(now);
        let mut outgoing = Vec::new();
        self.check_probes(now, &mut outgoing);
        self.expire_suspects(now);
        if now >= self.next_probe {
            self.next_probe = now.plus_ms(self.config.probe_interval_ms);
            self.probe_next(now, &mut outgoing);
        }
        if now >= self.next_down_probe {
            self.next_down_probe = now.plus_ms(DOWN_PROBE_INTERVAL_MS);
            self.probe_down(now, &mut outgoing);
            self.forget(now);
        }
        if now >= self.next_push {
            self.next_push = now.plus_ms(self.config.push_interval_ms);
            outgoing.extend(self.push());
        }
        outgoing
    }

    /// Counts no time during which this process itself stood still, so that a
    /// process that resumes does not declare others dead.
    fn allow_for_pause(&mut self, now: MonoMs) {
        let last = self.last_tick.replace(now).unwrap_or(now);
        let gap_ms = now.since_ms(last);
        if gap_ms < PAUSE_MS {
            return;
        }
        self.probes.shift(gap_ms);
        for since in self.down_since.values_mut() {
            *since = since.plus_ms(gap_ms);
        }
    }

    fn ping(&mut self, target: &CompactString, now: MonoMs, outgoing: &mut Vec<OutgoingDatagram>) {
        let Some(member) = self.members.get(target) else {
            return;
        };
        let to = member.peer_addr;
        let doubted = member.liveness != Liveness::Alive;
        let seq = self.take_seq();
        let probe = Probe {
            target: target.clone(),
            sent: now,
            indirect: false,
        };
        self.probes.pending.insert(seq, probe);
        let forced = doubted.then_some(target.as_str());
        let message = self.message(GossipKind::Ping, seq, forced);
        outgoing.push(OutgoingDatagram { to, message });
    }

    fn probe_next(&mut self, now: MonoMs, outgoing: &mut Vec<OutgoingDatagram>) {
        let members = &self.members;
        let own = &self.own_id;
        let wanted = |id: &str| {
            members.get(id).is_some_and(|member| {
                member.id != *own && matches!(member.liveness, Liveness::Alive | Liveness::Suspect)
            })
        };
        let candidates = || members.keys().filter(|id| wanted(id)).cloned().collect();
        let target = self.probes.next_target(candidates, wanted, &mut self.rng);
        if let Some(target) = target {
            self.ping(&target, now, outgoing);
        }
    }

    /// Pings a member held for dead, so that two sides that lost each other meet again.
    fn probe_down(&mut self, now: MonoMs, outgoing: &mut Vec<OutgoingDatagram>) {
        let down = self.members.values();
        let down = down.filter(|member| member.liveness == Liveness::Dead);
        let target = down.map(|member| member.id.clone()).choose(&mut self.rng);
        if let Some(target) = target {
            self.ping(&target, now, outgoing);
        }
    }

    fn check_probes(&mut self, now: MonoMs, outgoing: &mut Vec<OutgoingDatagram>) {
        let mut failed = Vec::new();
        let mut late = Vec::new();
        for (seq, probe) in &self.probes.pending {
            let waited_ms = now.since_ms(probe.sent);
            if waited_ms >= self.config.probe_interval_ms {
                failed.push(*seq);
            } else if waited_ms >= self.config.probe_timeout_ms && !probe.indirect {
                late.push(*seq);
            }
        }
        failed.sort_unstable();
        late.sort_unstable();
        for seq in late {
            self.ask_others(seq, outgoing);
        }
        for seq in failed {
            if let Some(probe) = self.probes.pending.remove(&seq) {
                self.on_probe_failed(&probe.target, now, outgoing);
            }
        }
        let relay_ms = self.config.probe_interval_ms;
        self.probes
            .relays
            .retain(|_, relay| now.since_ms(relay.sent) < relay_ms);
    }

    fn ask_others(&mut self, seq: u64, outgoing: &mut Vec<OutgoingDatagram>) {
        let Some(probe) = self.probes.pending.get_mut(&seq) else {
            return;
        };
        probe.indirect = true;
        let target = probe.target.clone();
        let Some(member) = self.members.get(&target) else {
            return;
        };
        let address = member.peer_addr;
        for to in self.random_helpers(self.config.indirect_probes, &target) {
            let message = self.message(GossipKind::PingReq(address), seq, None);
            outgoing.push(OutgoingDatagram { to, message });
        }
    }

    fn on_probe_failed(
        &mut self,
        target: &CompactString,
        now: MonoMs,
        outgoing: &mut Vec<OutgoingDatagram>,
    ) {
        let Some(member) = self.members.get_mut(target) else {
            return;
        };
        let region = member.region.clone();
        if member.liveness == Liveness::Alive {
            member.liveness = Liveness::Suspect;
            self.down_since.insert(target.clone(), now);
            self.spread_member(target.clone());
        }
        if !self.regions.is_cut(&region) {
            self.check_region(&region, now, outgoing);
        }
    }

    /// Pings other members of a region, to tell a failed member from a cut region.
    fn check_region(
        &mut self,
        region: &RegionId,
        now: MonoMs,
        outgoing: &mut Vec<OutgoingDatagram>,
    ) {
        let checked = self.region_checked.get(region);
        if checked.is_some_and(|at| now.since_ms(*at) < self.config.probe_interval_ms) {
            return;
        }
        self.region_checked.insert(region.clone(), now);
        let others = self.members.values().filter(|member| {
            member.region == *region
                && member.id != self.own_id
                && member.liveness == Liveness::Alive
                && !self.probes.is_probing(&member.id)
        });
        let targets = others
            .map(|member| member.id.clone())
            .choose_multiple(&mut self.rng, REGION_CHECK_PINGS);
        for target in targets {
            self.ping(&target, now, outgoing);
        }
    }

    fn expire_suspects(&mut self, now: MonoMs) {
        let mut expired: Vec<CompactString> = Vec::new();
        for (id, since) in &self.down_since {
            if now.since_ms(*since) < self.config.suspicion_ms {
                continue;
            }
            let member = self.members.get(id);
            if member.is_some_and(|m| m.liveness == Liveness::Suspect) {
                expired.push(id.clone());
            }
        }
        expired.sort_unstable();
        let mut kept: BTreeMap<RegionId, bool> = BTreeMap::new();
        for id in expired {
            let Some(member) = self.members.get(&id) else {
                continue;
            };
            let region = member.region.clone();
            // A region is judged once a tick: counting its members for each
            // suspect took 2.9 ms a tick at 400 members.
            let keep = match kept.get(&region) {
                Some(keep) => *keep,
                None => self.judge_region(&region, now),
            };
            kept.insert(region, keep);
            if !keep {
                self.declare_dead(&id, now);
            }
        }
    }

    /// Returns true when the suspects of a region are kept because it is cut.
    fn judge_region(&mut self, region: &RegionId, now: MonoMs) -> bool {
        if self.regions.is_cut(region) {
            return true;
        }
        let count = count_region(self.members.values(), region, &self.own_id);
        let silence_ms = self.config.suspicion_ms;
        let percent = self.config.region_partition_percent;
        let cut = self
            .regions
            .is_cut_at_expiry(region, count, percent, silence_ms, now);
        if cut {
            self.changes += 1;
            self.notices
                .push(MembershipEvent::RegionPartitioned(region.clone()));
        }
        cut
    }

    fn declare_dead(&mut self, id: &CompactString, now: MonoMs) {
        if let Some(member) = self.members.get_mut(id) {
            member.liveness = Liveness::Dead;
        }
        self.down_since.insert(id.clone(), now);
        self.notices.push(MembershipEvent::Dead(id.clone()));
        self.spread_member(id.clone());
    }

    /// Forgets dead members that the fleet view does not list.
    fn forget(&mut self, now: MonoMs) {
        let mut old = Vec::new();
        for (id, since) in &self.down_since {
            let member = self.members.get(id);
            let gone =
                member.is_some_and(|m| matches!(m.liveness, Liveness::Dead | Liveness::Left));
            if gone && !self.fleet.contains(id) && now.since_ms(*since) >= FORGET_MS {
                old.push(id.clone());
            }
        }
        for id in old {
            self.members.remove(&id);
            self.down_since.remove(&id);
            self.changes += 1;
        }
    }
}

//! What the configuration wants on the own VM.

use std::sync::Arc;

use compact_str::CompactString;
use masticdock_core::event;
use masticdock_core::ids::RolloutId;
use masticdock_core::membership::Member;
use masticdock_core::rendezvous;
use masticdock_core::resource::Rollout;
use masticdock_core::rollout::{self, Fleet, RolloutSet};
use masticdock_core::units::MonoMs;

use super::target::{Target, UnusableError, resolve};
use crate::agent::transfer::TransferPeer;
use crate::control::Snapshot;
use crate::event_log::log_event;

/// Time between two evaluations of a rollout's whole group.
///
/// One pass costs about a microsecond for each VM, and members change at nearly
/// each tick while a rollout runs.
const GROUP_INTERVAL_MS: u64 = 500;

/// A version that a rollout brings to this VM.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Wanted {
    /// The rollout.
    pub(super) rollout: Rollout,
    /// What the engine is to hold.
    pub(super) target: Target,
}

/// What the configuration wants.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Want {
    /// No rollout selects this VM.
    Nothing,
    /// The rollout that selects this VM halted.
    Halted(Wanted, String),
    /// The wanted version cannot be used.
    Unusable(UnusableError),
    /// This version.
    Version(Wanted),
}

/// VMs of the own rollout as last evaluated.
#[derive(Debug, Clone, Default)]
pub(super) struct Group {
    /// All VMs that the rollout selects, in every region.
    pub(super) peers: Arc<Vec<TransferPeer>>,
    /// Number of VMs that may be out of service at once in the own zone.
    pub(super) slots: usize,
    /// Slot that this VM uses.
    pub(super) slot_index: u32,
    /// Other VMs of the zone that are out of service without having failed.
    pub(super) out_of_service: usize,
}

/// Evaluates snapshots for one VM.
#[derive(Debug)]
pub(super) struct Evaluator {
    own: CompactString,
    config_at: Option<usize>,
    rollouts: RolloutSet,
    overlap: Vec<RolloutId>,
    group: Group,
    group_of: Option<(RolloutId, u64)>,
    group_at: MonoMs,
}

fn fleet_of(snapshot: &Snapshot) -> Fleet<'_> {
    Fleet {
        config: &snapshot.config,
        members: &snapshot.members,
        labels: &snapshot.labels,
        marked_leaving: &snapshot.marked_leaving,
    }
}

impl Evaluator {
    pub(super) fn new(own: CompactString) -> Self {
        Self {
            own,
            config_at: None,
            rollouts: RolloutSet::default(),
            overlap: Vec::new(),
            group: Group::default(),
            group_of: None,
            group_at: MonoMs(0),
        }
    }

    /// Returns what the configuration wants on the own VM.
    pub(super) fn want(&mut self, snapshot: &Snapshot) -> Want {
        let config_at = Arc::as_ptr(&snapshot.config) as usize;
        if self.config_at.replace(config_at) != Some(config_at) {
            self.rollouts = RolloutSet::new(&snapshot.config);
        }
        let fleet = fleet_of(snapshot);
        let Some(own) = fleet.member(&self.own) else {
            return Want::Nothing;
        };
        if snapshot.leaving {
            return Want::Nothing;
        }
        let claims = self.rollouts.matching(&fleet, own);
        let names: Vec<RolloutId> = claims.iter().map(|it| it.rollout.name.clone()).collect();
        let rollout = claims.first().map(|claim| claim.rollout.clone());
        self.log_overlap(names);
        let Some(rollout) = rollout else {
            return Want::Nothing;
        };
        let target = match resolve(&snapshot.config, &rollout.version, &rollout.adapters) {
            Ok(target) => target,
            Err(error) => return Want::Unusable(error),
        };
        let halted = rollout::halt_reason(&fleet, &rollout);
        let wanted = Wanted { rollout, target };
        match halted {
            Some(reason) => Want::Halted(wanted, reason),
            None => Want::Version(wanted),
        }
    }

    fn log_overlap(&mut self, names: Vec<RolloutId>) {
        if names.len() > 1 && names != self.overlap {
            let names: Vec<&str> = names.iter().map(RolloutId::as_str).collect();
            log_event!(
                event::ROLLOUTS_OVERLAP,
                "rollouts {} match this VM; `{}` has the lowest revision and gets it",
                names.join(", "),
                names[0]
            );
        }
        self.overlap = names;
    }

    /// Returns a rollout by name.
    pub(super) fn rollout(&self, name: &RolloutId) -> Option<&Rollout> {
        self.rollouts.get(name).map(|claim| &claim.rollout)
    }

    /// Returns the own VM alone, for weights that no rollout brings any more.
    pub(super) fn own_peer(&self, snapshot: &Snapshot) -> Vec<TransferPeer> {
        let own = fleet_of(snapshot).member(&self.own).map(peer_of);
        own.into_iter().collect()
    }

    /// Returns the VMs of a rollout.
    pub(super) fn group(&mut self, snapshot: &Snapshot, rollout: &Rollout, now: MonoMs) -> &Group {
        let key = (rollout.name.clone(), snapshot.config.revision().0);
        let old = self.group_of.as_ref() != Some(&key);
        if old || now.since_ms(self.group_at) >= GROUP_INTERVAL_MS {
            self.group_of = Some(key);
            return self.newest_group(snapshot, rollout, now);
        }
        &self.group
    }

    /// Returns the VMs of a rollout as of this snapshot.
    pub(super) fn newest_group(
        &mut self,
        snapshot: &Snapshot,
        rollout: &Rollout,
        now: MonoMs,
    ) -> &Group {
        let mut group = self.evaluate_group(snapshot, rollout);
        if group.peers == self.group.peers {
            // The same list stays, so the transfer sees no change.
            group.peers = Arc::clone(&self.group.peers);
        }
        self.group = group;
        self.group_at = now;
        &self.group
    }

    fn evaluate_group(&self, snapshot: &Snapshot, rollout: &Rollout) -> Group {
        let fleet = fleet_of(snapshot);
        let targets = self.rollouts.targets(&fleet, &rollout.name);
        let peers: Vec<TransferPeer> = targets.iter().map(|member| peer_of(member)).collect();
        let Some(own) = fleet.member(&self.own) else {
            return Group::default();
        };
        let zone: Vec<&Member> = targets
            .into_iter()
            .filter(|member| member.zone == own.zone)
            .collect();
        let slots = rollout::slot_count(rollout.min_serving_share, zone.len());
        let key = format!("{}/{}", rollout.name, own.zone);
        let position = rendezvous::position(key.as_bytes(), &zone, |member| &member.id, &self.own);
        let slot_index = position.unwrap_or(0) % slots;
        let is_out = |member: &&&Member| {
            let failed = member.status.failed.is_some();
            member.id != self.own && member.status.serving_version.is_none() && !failed
        };
        Group {
            peers: Arc::new(peers),
            slots,
            slot_index: u32::try_from(slot_index).unwrap_or(0),
            out_of_service: zone.iter().filter(is_out).count(),
        }
    }
}

fn peer_of(member: &Member) -> TransferPeer {
    TransferPeer {
        id: member.id.clone(),
        region: member.region.clone(),
        zone: member.zone.clone(),
        peer_addr: member.peer_addr,
    }
}

//! Version that the configuration assigns to this VM.

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

/// Time between two evaluations of the group of a rollout.
///
/// An evaluation costs about a microsecond for each VM, and the members change
/// at nearly each tick while a rollout runs.
const GROUP_INTERVAL_MS: u64 = 500;

/// Version that a rollout assigns to this VM.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct AssignedVersion {
    pub(super) rollout: Rollout,
    /// Version and adapters that the engine is to load.
    pub(super) target: Target,
}

/// What the configuration assigns to this VM.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Assignment {
    /// No rollout selects this VM, or the VM is leaving.
    Unassigned,
    /// The rollout that selects this VM is halted, for the given reason.
    Halted(AssignedVersion, String),
    /// The assigned version cannot be used.
    Unusable(UnusableError),
    /// The rollout assigns this version.
    Version(AssignedVersion),
}

/// VMs of this VM's rollout, as of the last evaluation.
#[derive(Debug, Clone, Default)]
pub(super) struct Group {
    /// All VMs that the rollout selects, in every region.
    pub(super) peers: Arc<Vec<TransferPeer>>,
    /// Number of VMs of this VM's zone that may be out of service at once.
    pub(super) slots: usize,
    /// Index of the slot that this VM claims.
    pub(super) slot_index: u32,
    /// Number of other VMs of the zone that are out of service and have not failed.
    pub(super) out_of_service: usize,
}

/// Evaluates the assignment and the group of one VM.
#[derive(Debug)]
pub(super) struct Evaluator {
    own: CompactString,
    config_addr: Option<usize>,
    rollouts: RolloutSet,
    logged_overlap: Vec<RolloutId>,
    group: Group,
    group_key: Option<(RolloutId, u64)>,
    group_evaluated_at: MonoMs,
}

fn to_fleet(snapshot: &Snapshot) -> Fleet<'_> {
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
            config_addr: None,
            rollouts: RolloutSet::default(),
            logged_overlap: Vec::new(),
            group: Group::default(),
            group_key: None,
            group_evaluated_at: MonoMs(0),
        }
    }

    /// Returns what the configuration assigns to this VM.
    pub(super) fn assignment(&mut self, snapshot: &Snapshot) -> Assignment {
        let config_addr = Arc::as_ptr(&snapshot.config) as usize;
        if self.config_addr.replace(config_addr) != Some(config_addr) {
            self.rollouts = RolloutSet::new(&snapshot.config);
        }
        let fleet = to_fleet(snapshot);
        let Some(own) = fleet.member(&self.own) else {
            return Assignment::Unassigned;
        };
        if snapshot.leaving {
            return Assignment::Unassigned;
        }
        let candidates = self.rollouts.matching(&fleet, own);
        let names: Vec<RolloutId> = candidates
            .iter()
            .map(|it| it.rollout.name.clone())
            .collect();
        let rollout = candidates
            .first()
            .map(|candidate| candidate.rollout.clone());
        self.log_overlap(names);
        let Some(rollout) = rollout else {
            return Assignment::Unassigned;
        };
        let target = match resolve(&snapshot.config, &rollout.version, &rollout.adapters) {
            Ok(target) => target,
            Err(error) => return Assignment::Unusable(error),
        };
        let halted = rollout::halt_reason(&fleet, &rollout);
        let assigned = AssignedVersion { rollout, target };
        match halted {
            Some(reason) => Assignment::Halted(assigned, reason),
            None => Assignment::Version(assigned),
        }
    }

    fn log_overlap(&mut self, names: Vec<RolloutId>) {
        if names.len() > 1 && names != self.logged_overlap {
            let names: Vec<&str> = names.iter().map(RolloutId::as_str).collect();
            log_event!(
                event::ROLLOUTS_OVERLAP,
                "rollouts {} match this VM; `{}` has the lowest revision and applies",
                names.join(", "),
                names[0]
            );
        }
        self.logged_overlap = names;
    }

    /// Returns the rollout with the given name.
    pub(super) fn rollout(&self, name: &RolloutId) -> Option<&Rollout> {
        self.rollouts.get(name).map(|candidate| &candidate.rollout)
    }

    /// Returns this VM as the only peer, for weights that no rollout assigns any more.
    pub(super) fn own_peer(&self, snapshot: &Snapshot) -> Vec<TransferPeer> {
        let own = to_fleet(snapshot).member(&self.own).map(to_peer);
        own.into_iter().collect()
    }

    /// Returns the VMs of a rollout, re-evaluated at most every `GROUP_INTERVAL_MS`
    /// unless the configuration changed.
    pub(super) fn group(&mut self, snapshot: &Snapshot, rollout: &Rollout, now: MonoMs) -> &Group {
        let key = (rollout.name.clone(), snapshot.config.revision().0);
        let outdated = self.group_key.as_ref() != Some(&key);
        if outdated || now.since_ms(self.group_evaluated_at) >= GROUP_INTERVAL_MS {
            self.group_key = Some(key);
            return self.refresh_group(snapshot, rollout, now);
        }
        &self.group
    }

    /// Evaluates the VMs of a rollout as of this snapshot.
    pub(super) fn refresh_group(
        &mut self,
        snapshot: &Snapshot,
        rollout: &Rollout,
        now: MonoMs,
    ) -> &Group {
        let mut group = self.evaluate_group(snapshot, rollout);
        if group.peers == self.group.peers {
            // Reusing the list lets the transfer see that nothing changed.
            group.peers = Arc::clone(&self.group.peers);
        }
        self.group = group;
        self.group_evaluated_at = now;
        &self.group
    }

    fn evaluate_group(&self, snapshot: &Snapshot, rollout: &Rollout) -> Group {
        let fleet = to_fleet(snapshot);
        let targets = self.rollouts.targets(&fleet, &rollout.name);
        let peers: Vec<TransferPeer> = targets.iter().map(|member| to_peer(member)).collect();
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
        let is_out_of_service = |member: &&&Member| {
            let failed = member.status.failed.is_some();
            member.id != self.own && member.status.serving_version.is_none() && !failed
        };
        Group {
            peers: Arc::new(peers),
            slots,
            slot_index: u32::try_from(slot_index).unwrap_or(0),
            out_of_service: zone.iter().filter(is_out_of_service).count(),
        }
    }
}

fn to_peer(member: &Member) -> TransferPeer {
    TransferPeer {
        id: member.id.clone(),
        region: member.region.clone(),
        zone: member.zone.clone(),
        peer_addr: member.peer_addr,
    }
}

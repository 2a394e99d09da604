//! Progress of a rollout.

use super::halt::{failed_vms, halt_reason};
use super::targets::{Fleet, RolloutSet};
use crate::ids::RolloutId;
use crate::membership::Phase;
use crate::operator_api::{RolloutState, RolloutStatus};

/// Returns the progress of a rollout, or `None` if the rollout does not exist.
#[must_use]
pub fn status(fleet: &Fleet<'_>, rollouts: &RolloutSet, name: &RolloutId) -> Option<RolloutStatus> {
    let rollout = &rollouts.get(name)?.rollout;
    let targets = rollouts.targets(fleet, name);
    let mut status = RolloutStatus {
        rollout: name.clone(),
        version: rollout.version.clone(),
        state: RolloutState::Progressing,
        selected: 0,
        serving: 0,
        fetching: 0,
        verified: 0,
        switching: 0,
        failed: failed_vms(fleet, rollout),
    };
    for member in targets {
        status.selected += 1;
        let has_rollout_version = member.status.serving_version.as_ref() == Some(&rollout.version);
        match member.status.phase {
            Phase::Serving if has_rollout_version => status.serving += 1,
            Phase::Fetching => status.fetching += 1,
            Phase::Verified => status.verified += 1,
            Phase::Draining | Phase::Loading => status.switching += 1,
            Phase::Idle | Phase::Serving | Phase::Failed => {}
        }
    }
    status.state = if let Some(reason) = halt_reason(fleet, rollout) {
        RolloutState::Halted { reason }
    } else if rollout.paused {
        RolloutState::Paused
    } else if status.selected > 0 && status.serving == status.selected {
        RolloutState::Complete
    } else {
        // This includes a rollout that selects no VM: reporting it as complete
        // would hide a selector that matches nothing.
        RolloutState::Progressing
    };
    Some(status)
}

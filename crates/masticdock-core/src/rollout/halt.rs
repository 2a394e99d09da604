//! Automatic halt of a rollout.

use super::targets::Fleet;
use crate::ids::VmId;
use crate::membership::{Member, Role};
use crate::resource::Rollout;

/// Maximum number of VMs that a halt reason names; further ones are only counted.
const NAMED_VMS_MAX: usize = 5;

/// Returns true if the VM failed to load the version of the rollout or crashed
/// while serving it.
pub(super) fn has_failed(member: &Member, rollout: &Rollout) -> bool {
    let Some((failed_rollout, failed_version)) = &member.status.failed else {
        return false;
    };
    *failed_rollout == rollout.name && *failed_version == rollout.version
}

/// Returns the VMs that failed on the version of the rollout, sorted by id.
///
/// Includes dead and leaving VMs, because removing a failed VM must not end a
/// halt.
#[must_use]
pub fn failed_vms(fleet: &Fleet<'_>, rollout: &Rollout) -> Vec<VmId> {
    let mut failed = Vec::new();
    for member in fleet.members {
        if member.role != Role::Agent || !has_failed(member, rollout) {
            continue;
        }
        failed.extend(member.id.parse::<VmId>());
    }
    failed.sort();
    failed
}

/// Returns the reason why the rollout is halted, or `None` if it may continue.
#[must_use]
pub fn halt_reason(fleet: &Fleet<'_>, rollout: &Rollout) -> Option<String> {
    let failed = failed_vms(fleet, rollout);
    if failed.len() < rollout.max_load_failures as usize {
        return None;
    }
    let shown: Vec<&str> = failed
        .iter()
        .take(NAMED_VMS_MAX)
        .map(VmId::as_str)
        .collect();
    let mut names = shown.join(", ");
    if failed.len() > NAMED_VMS_MAX {
        names = format!("{names} and {} more", failed.len() - NAMED_VMS_MAX);
    }
    let count = failed.len();
    let vms = if count == 1 { "VM" } else { "VMs" };
    let next_step = match &rollout.previous_version {
        Some(previous) => format!(
            "return to version `{previous}` with `masticdock rollout undo {}`",
            rollout.name
        ),
        None => "apply the rollout with a version that loads".to_owned(),
    };
    Some(format!(
        "{count} {vms} ({names}) failed to load version `{}` or crashed on it, and the rollout \
         allows fewer than {}; VMs that have not switched keep the version they serve; look for \
         event 5200 in the agent log of these VMs to see why, then {next_step}",
        rollout.version, rollout.max_load_failures
    ))
}

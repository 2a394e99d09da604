//! Merging of updates about one member.
//!
//! Liveness and status are merged separately, each by a total order. Merging is
//! therefore commutative and idempotent: processes reach the same result whatever
//! the order of the updates and however often each arrives.

use super::{Liveness, Member, MemberStatus, StatusUpdate};

const fn liveness_rank(liveness: Liveness) -> u8 {
    match liveness {
        Liveness::Alive => 0,
        Liveness::Suspect => 1,
        Liveness::Dead => 2,
        Liveness::Left => 3,
    }
}

/// Returns the precedence of an update's liveness within one boot; the highest wins.
///
/// `Left` always wins, because a process that left does not return with the same
/// boot epoch.
const fn liveness_precedence(member: &Member) -> (bool, u64, u8) {
    (
        matches!(member.liveness, Liveness::Left),
        member.incarnation.0,
        liveness_rank(member.liveness),
    )
}

fn merge_status(held: &MemberStatus, update: &MemberStatus) -> Option<MemberStatus> {
    if update.seq > held.seq {
        return Some(update.clone());
    }
    // A process that reads the fleet view sets `leaving` without raising `seq`,
    // which only the member itself does.
    if update.seq == held.seq && update.leaving && !held.leaving {
        return Some(MemberStatus {
            leaving: true,
            ..held.clone()
        });
    }
    None
}

/// Merges the status in `update` into `held`, except `services`; returns true when
/// `held` changed.
pub(super) fn merge_status_update(held: &mut Member, update: &StatusUpdate) -> bool {
    if update.boot_epoch != held.boot_epoch {
        return false;
    }
    let Some(status) = merge_status(&held.status, &update.status) else {
        return false;
    };
    let services = std::mem::take(&mut held.status.services);
    held.status = MemberStatus { services, ..status };
    true
}

/// Merges `update` into `held`; returns true when `held` changed.
pub fn merge(held: &mut Member, update: &Member) -> bool {
    if update.boot_epoch < held.boot_epoch {
        return false;
    }
    if update.boot_epoch > held.boot_epoch {
        *held = update.clone();
        return true;
    }
    let mut changed = false;
    if liveness_precedence(update) > liveness_precedence(held) {
        held.liveness = update.liveness;
        held.incarnation = update.incarnation;
        changed = true;
    }
    if let Some(status) = merge_status(&held.status, &update.status) {
        held.status = status;
        changed = true;
    }
    changed
}

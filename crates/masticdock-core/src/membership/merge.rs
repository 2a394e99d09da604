//! Merging of two statements about one member.
//!
//! Liveness and status are joined separately, each by a total order, so merging
//! gives the same result in whatever order updates arrive and however often.

use super::{Liveness, Member, MemberStatus, StatusUpdate};

const fn severity(liveness: Liveness) -> u8 {
    match liveness {
        Liveness::Alive => 0,
        Liveness::Suspect => 1,
        Liveness::Dead => 2,
        Liveness::Left => 3,
    }
}

/// Order of statements about liveness within one boot.
///
/// `Left` is final: a process that left does not return under the same boot epoch.
const fn liveness_order(member: &Member) -> (bool, u64, u8) {
    (
        matches!(member.liveness, Liveness::Left),
        member.incarnation.0,
        severity(member.liveness),
    )
}

fn merge_status(held: &MemberStatus, update: &MemberStatus) -> Option<MemberStatus> {
    if update.seq > held.seq {
        return Some(update.clone());
    }
    // A reader of the fleet view marks a member as leaving without its sequence number.
    if update.seq == held.seq && update.leaving && !held.leaving {
        return Some(MemberStatus {
            leaving: true,
            ..held.clone()
        });
    }
    None
}

/// Merges the status that `update` carries into `held`; returns true when `held` changed.
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
    if liveness_order(update) > liveness_order(held) {
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

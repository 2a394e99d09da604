//! Rollouts: target selection, validation, progress, automatic halt and undo.

mod accept;
mod halt;
mod progress;
mod targets;
mod undo;

pub use accept::{Acceptance, check_change};
pub use halt::{failed_vms, halt_reason};
pub use progress::status;
pub use targets::{BuiltinLabels, Fleet, MemberLabels, ParsedRollout, RolloutSet};
pub use undo::{undo, with_previous_version};

use crate::units::Share;

/// Returns how many VMs of a group may be out of service at the same time.
///
/// # Examples
///
/// ```
/// use masticdock_core::rollout::slot_count;
/// use masticdock_core::units::Share;
///
/// assert_eq!(slot_count(Share::from_milli(750), 9), 2);
/// assert_eq!(slot_count(Share::WHOLE, 9), 1);
/// ```
#[must_use]
pub fn slot_count(min_serving_share: Share, group_len: usize) -> usize {
    let spare_milli = usize::from(Share::WHOLE.as_milli() - min_serving_share.as_milli());
    // At least one VM may always switch; otherwise a small group could never change
    // its version.
    (group_len * spare_milli / usize::from(Share::WHOLE.as_milli())).max(1)
}

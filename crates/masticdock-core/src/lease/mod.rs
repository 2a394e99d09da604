//! Slots and leases with fencing numbers.
//!
//! No wall clock takes part. A holder counts its lease from the moment *before*
//! it sent the write, an observer from the moment *after* it first saw the row,
//! each on its own monotonic clock. The holder's lease therefore ends before any
//! observer may take the slot over, however long the write or the read took.
//!
//! # Table writes
//!
//! | row | attributes | claim | renewal | release |
//! |---|---|---|---|---|
//! | `slot/<rollout>/<group>`, slot index | `holder`, `fence`, `renewal`, `stamp` | put if absent, or if `stamp` is as observed | put if `stamp` is the own one | delete if `stamp` is the own one |
//! | `fence/<vm>`, `engine` | `fence` | put if absent, or if `fence` is as read | | |
//!
//! `stamp` joins the other three attributes, because a condition compares one
//! attribute. A claim raises the fence of the slot and of the VM's engine in one
//! transaction. Fences of a VM only rise, so no stamp occurs twice.

mod held_lease;
mod row;
mod watch;

pub use held_lease::HeldLease;
pub use row::{
    Claim, FENCE, HOLDER, PK_FENCE_PREFIX, RENEWAL, SK_ENGINE, STAMP, SlotKey, SlotRow,
    claim_writes, fence_pk, release_write, renewal_write,
};
pub use watch::{SlotObservation, SlotWatch};

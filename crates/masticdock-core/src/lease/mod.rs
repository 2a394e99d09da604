//! Leases on rollout slots, with fencing numbers.
//!
//! Lease times do not depend on wall clocks. A holder measures its lease from
//! *before* it sends the write, and an observer from *after* it first reads the
//! row, each on its own monotonic clock. The holder's lease therefore expires
//! before any observer may take the slot over, however long the write or the read
//! takes.
//!
//! # Table writes
//!
//! | row | attributes | claim | renewal | release |
//! |---|---|---|---|---|
//! | `slot/<rollout>/<group>`, slot index | `holder`, `fence`, `renewal`, `stamp` | put if absent, or if `stamp` is as observed | put if `stamp` is as last written | delete if `stamp` is as last written |
//! | `fence/<vm>`, `engine` | `fence` | put if absent, or if `fence` is as read | | |
//!
//! `stamp` concatenates the other three attributes, because a condition compares a
//! single attribute. A claim raises the fence of the slot and the fence of the
//! VM's engine in one transaction. The fence of a VM never decreases, so each
//! stamp is unique.

mod held_lease;
mod row;
mod watch;

pub use held_lease::HeldLease;
pub use row::{
    Claim, FENCE, HOLDER, PK_FENCE_PREFIX, RENEWAL, SK_ENGINE, STAMP, SlotKey, SlotRow,
    claim_writes, fence_pk, release_write, renewal_write,
};
pub use watch::{SlotObservation, SlotWatch};

//! The control thread and the snapshots that it publishes.

mod handle;
mod snapshot;

pub(crate) use handle::{ControlHandle, ControlMsg, TickContext, TickHook};
pub(crate) use snapshot::{Snapshot, SnapshotCell};

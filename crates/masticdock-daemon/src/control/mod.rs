//! The control thread and the snapshots that it publishes.

mod snapshot;

pub(crate) use snapshot::{Snapshot, SnapshotCell};

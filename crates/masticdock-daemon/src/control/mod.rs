//! The control thread and the snapshots that it publishes.

mod clock;
mod config_table;
mod fleet_reader;
mod handle;
mod peer_calls;
mod snapshot;
mod state;
mod table_reader;
mod thread;

pub(crate) use clock::{mono_now, unix_now};
pub(crate) use config_table::{ConfigReadError, ConfigTable, is_outage};
pub(crate) use handle::{ControlHandle, ControlMsg, TickContext, TickHook};
pub(crate) use peer_calls::answer_peer;
pub(crate) use snapshot::{Snapshot, SnapshotCell, readiness};
pub(crate) use thread::{ControlParts, spawn};

//! The control thread, which owns configuration and membership, and the snapshots that it
//! publishes for the other threads.

mod clock;
mod config_pull;
mod config_table;
mod fleet_reader;
mod gauges;
mod handle;
mod member_sync;
mod peer_adoption;
mod peer_calls;
mod snapshot;
mod state;
mod table_reader;
#[cfg(test)]
mod table_tests;
#[cfg(test)]
mod tests;
mod thread;
mod views;

pub(crate) use clock::{mono_now, unix_now};
pub(crate) use config_table::{ConfigReadError, ConfigTable};
pub(crate) use handle::{ControlHandle, ControlMsg, TickContext, TickHook};
pub(crate) use peer_calls::answer_peer;
pub(crate) use snapshot::{Snapshot, SnapshotCell, readiness};
pub(crate) use thread::{ControlParts, config_table, spawn};

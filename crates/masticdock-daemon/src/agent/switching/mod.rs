//! Switching of this VM to the version that the configuration assigns.
//!
//! The [`driver`] runs as a hook on the control thread and makes the decisions.
//! Worker threads run the operations that may block: manifest reads, slot writes
//! and orders to the engine.

mod actions;
mod assignment;
mod driver;
mod engine;
mod engine_view;
mod manifest_cache;
mod message;
mod metrics;
mod orders;
mod permits;
mod reconcile;
mod slot_worker;
mod spawn;
mod target;
#[cfg(test)]
mod tests;

use std::sync::Arc;

use masticdock_core::ids::{Digest, VmId, ZoneId};

use super::transfer::{CopyProgress, TransferHandle, WantedCopy};

pub(crate) use spawn::{SwitchingParts, spawn};

/// Identity and timeouts of this VM.
#[derive(Debug, Clone)]
pub(crate) struct SwitchingConfig {
    /// Identifier of this VM.
    pub(crate) vm: VmId,
    /// Availability zone of this VM.
    pub(crate) zone: ZoneId,
    /// Duration of a slot lease without renewal, in milliseconds.
    pub(crate) slot_lease_ms: u64,
    /// Maximum time for the engine to load a version, in milliseconds.
    pub(crate) load_timeout_ms: u64,
    /// Base URL of the listener from which the engine reads weights.
    pub(crate) weights_url: String,
}

type Progress = dyn Fn(&Digest) -> Option<CopyProgress> + Send + Sync;

/// Interface to the transfer of weights.
#[derive(Clone)]
pub(crate) struct TransferPort {
    /// Replaces the set of wanted copies.
    pub(crate) set_wanted: Arc<dyn Fn(Vec<WantedCopy>) + Send + Sync>,
    /// Returns the progress of a wanted copy.
    pub(crate) progress: Arc<Progress>,
    /// Informs the transfer that the engine has loaded the copy.
    pub(crate) release: Arc<dyn Fn(&Digest) + Send + Sync>,
}

impl TransferPort {
    /// Creates a port that calls `transfer`.
    pub(crate) fn new(transfer: TransferHandle) -> Self {
        let (setter, reader) = (transfer.clone(), transfer.clone());
        Self {
            set_wanted: Arc::new(move |wanted| setter.set_wanted(wanted)),
            progress: Arc::new(move |digest| reader.progress(digest)),
            release: Arc::new(move |digest| transfer.release(digest)),
        }
    }
}

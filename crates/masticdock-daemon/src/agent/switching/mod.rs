//! Switching of this VM to the version that the configuration wants.
//!
//! The [`driver`] runs as a hook on the control thread and decides; worker
//! threads carry out what may block: reads of manifests, writes of slots,
//! orders to the engine.

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

/// Who this VM is and how long things may take.
#[derive(Debug, Clone)]
pub(crate) struct SwitchingConfig {
    /// This VM.
    pub(crate) vm: VmId,
    /// Its availability zone.
    pub(crate) zone: ZoneId,
    /// Time a switch slot is held without renewal, in milliseconds.
    pub(crate) slot_lease_ms: u64,
    /// Time an engine has to load a version, in milliseconds.
    pub(crate) load_timeout_ms: u64,
    /// Base URL of the listener from which the engine reads weights.
    pub(crate) weights_url: String,
}

type Progress = dyn Fn(&Digest) -> Option<CopyProgress> + Send + Sync;

/// Calls to the transfer of weights.
#[derive(Clone)]
pub(crate) struct TransferPort {
    /// Replaces the set of wanted copies.
    pub(crate) set_wanted: Arc<dyn Fn(Vec<WantedCopy>) + Send + Sync>,
    /// Returns how far a wanted copy is.
    pub(crate) progress: Arc<Progress>,
    /// Tells that the engine holds the copy.
    pub(crate) release: Arc<dyn Fn(&Digest) + Send + Sync>,
}

impl TransferPort {
    /// Calls `transfer`.
    pub(crate) fn new(transfer: TransferHandle) -> Self {
        let (setter, reader) = (transfer.clone(), transfer.clone());
        Self {
            set_wanted: Arc::new(move |wanted| setter.set_wanted(wanted)),
            progress: Arc::new(move |digest| reader.progress(digest)),
            release: Arc::new(move |digest| transfer.release(digest)),
        }
    }
}

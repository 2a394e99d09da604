//! State of an engine.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use masticdock_core::ids::{AdapterId, Digest, Fence, VersionId};
use serde::Serialize;

use super::EngineOptions;
use super::batch::Batch;
use crate::ledger::Ledger;

/// Number of engine boots in this process; makes the boot ids unique.
static BOOTS: AtomicU64 = AtomicU64::new(0);

/// Boot, version and load state of the engine, as reported by its status.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct EngineState {
    pub(super) boot: String,
    pub(super) state: &'static str,
    pub(super) version: Option<VersionId>,
    pub(super) root: Option<Digest>,
    pub(super) adapters: Vec<(AdapterId, Digest)>,
    pub(super) fence: Fence,
    pub(super) reason: String,
    /// Incremented by each load order and crash; work of an older epoch is cancelled.
    #[serde(skip)]
    pub(super) epoch: u64,
}

#[derive(Serialize)]
pub(super) struct Status {
    #[serde(flatten)]
    held: EngineState,
    in_progress: u32,
    queued: u32,
}

pub(super) struct Engine {
    options: Mutex<EngineOptions>,
    held: Mutex<EngineState>,
    down: AtomicBool,
    pub(super) batch: Batch,
    pub(super) ledger: Ledger,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn empty(epoch: u64) -> EngineState {
    let boot = BOOTS.fetch_add(1, Ordering::Relaxed);
    EngineState {
        boot: format!("{}-{boot}", std::process::id()),
        state: "empty",
        epoch,
        ..EngineState::default()
    }
}

impl Engine {
    pub(super) fn new(options: EngineOptions) -> Self {
        Self {
            options: Mutex::new(options),
            held: Mutex::new(empty(0)),
            down: AtomicBool::new(false),
            batch: Batch::default(),
            ledger: Ledger::default(),
        }
    }

    pub(super) fn options(&self) -> EngineOptions {
        lock(&self.options).clone()
    }

    pub(super) fn set_options(&self, options: EngineOptions) {
        *lock(&self.options) = options;
    }

    /// Locks the engine state.
    pub(super) fn held(&self) -> MutexGuard<'_, EngineState> {
        lock(&self.held)
    }

    pub(super) fn is_down(&self) -> bool {
        self.down.load(Ordering::Acquire)
    }

    /// Crashes the engine: the listener closes and requests in progress are cut off.
    pub(super) fn crash(&self) {
        let mut held = self.held();
        self.down.store(true, Ordering::Release);
        *held = empty(held.epoch + 1);
    }

    pub(super) fn restart(&self) {
        self.down.store(false, Ordering::Release);
    }

    pub(super) fn status(&self) -> Status {
        let lag = Duration::from_millis(self.options().report_lag_ms);
        let (in_progress, queued) = self.batch.samples(lag);
        Status {
            held: self.held().clone(),
            in_progress,
            queued,
        }
    }
}

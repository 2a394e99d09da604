//! Gate that every request to the upstream passes.
//!
//! The gate is where a VM's truth is: it knows the version in service, whether
//! new work is taken, and how many requests are in progress. Entering and
//! closing are atomic, so once a close returned no request can start.

use std::sync::{Arc, Mutex, PoisonError};

use masticdock_core::ids::VersionId;

/// Why the gate refuses a request; in each case the request was not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// No configuration was adopted yet or the engine holds no version.
    NotServing,
    /// The VM drains before it switches versions.
    Draining,
    /// The VM is leaving or stopping.
    Leaving,
    /// The VM serves another version than the request wants.
    WrongVersion {
        /// Version in service.
        serving: Option<VersionId>,
    },
}

/// What the gate lets through.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum GateState {
    /// Nothing: no version is in service.
    NotServing,
    /// Nothing new: requests in progress end before a switch.
    Draining,
    /// Requests, answered by this version; `None` for plain services.
    Serving(Option<VersionId>),
}

#[derive(Debug)]
struct Inner {
    state: GateState,
    leaving: bool,
    stopped: bool,
    in_progress: u32,
}

/// Admits requests and counts those in progress.
#[derive(Debug)]
pub(crate) struct ServingGate {
    inner: Mutex<Inner>,
}

impl ServingGate {
    /// Makes a gate that is closed.
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            inner: Mutex::new(Inner {
                state: GateState::NotServing,
                leaving: false,
                stopped: false,
                in_progress: 0,
            }),
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a request that wants `requested`, or any version when `None`.
    ///
    /// # Errors
    ///
    /// Returns why the request was not admitted.
    pub(crate) fn enter(
        self: &Arc<Self>,
        requested: Option<&VersionId>,
    ) -> Result<RequestGuard, Rejection> {
        let mut inner = self.lock();
        if inner.leaving || inner.stopped {
            return Err(Rejection::Leaving);
        }
        let serving = match &inner.state {
            GateState::NotServing => return Err(Rejection::NotServing),
            GateState::Draining => return Err(Rejection::Draining),
            GateState::Serving(version) => version.clone(),
        };
        if requested.is_some() && requested != serving.as_ref() {
            return Err(Rejection::WrongVersion { serving });
        }
        inner.in_progress += 1;
        Ok(RequestGuard {
            gate: Arc::clone(self),
            version: serving,
        })
    }

    /// Replaces what the gate lets through; requests in progress go on.
    pub(crate) fn set_state(&self, state: GateState) {
        self.lock().state = state;
    }

    /// Returns what the gate lets through.
    pub(crate) fn state(&self) -> GateState {
        self.lock().state.clone()
    }

    /// Sets whether the VM is leaving; a leaving VM admits nothing.
    pub(crate) fn set_leaving(&self, leaving: bool) {
        self.lock().leaving = leaving;
    }

    /// Refuses new work for good, before the process ends.
    ///
    /// Kept apart from `leaving`, which the control thread may still clear from
    /// a snapshot that is older than the signal to stop.
    pub(crate) fn stop(&self) {
        self.lock().stopped = true;
    }

    /// Returns the number of requests in progress.
    pub(crate) fn in_progress(&self) -> u32 {
        self.lock().in_progress
    }
}

/// One admitted request; ends when dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    gate: Arc<ServingGate>,
    version: Option<VersionId>,
}

impl RequestGuard {
    /// Returns the version that answers this request.
    pub(crate) const fn version(&self) -> Option<&VersionId> {
        self.version.as_ref()
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut inner = self.gate.lock();
        inner.in_progress -= 1;
    }
}

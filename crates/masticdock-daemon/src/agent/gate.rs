//! Gate that admits every request to the upstream.
//!
//! The gate is authoritative for the version in service, for whether the VM
//! accepts requests and for the number of requests in progress. Admission and
//! closing are atomic, so no request can start once a close has returned.

use std::sync::{Arc, Mutex, PoisonError};

use masticdock_core::ids::VersionId;

/// Reason why the gate rejects a request; a rejected request was not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// No configuration has been adopted or the engine holds no version.
    NotServing,
    /// The VM is draining before a switch to another version.
    Draining,
    /// The VM is leaving or stopping.
    Leaving,
    /// The VM serves a version other than the requested one.
    WrongVersion {
        /// Version in service.
        serving: Option<VersionId>,
    },
}

/// Requests that the gate admits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum GateState {
    /// None: no version is in service.
    NotServing,
    /// No new ones: requests in progress complete before a switch.
    Draining,
    /// Requests for this version; `None` for plain services.
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
    /// Creates a closed gate.
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

    /// Admits a request for the version `requested`, or for any version if `None`.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is not admitted.
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

    /// Sets which requests the gate admits; requests in progress continue.
    pub(crate) fn set_state(&self, state: GateState) {
        self.lock().state = state;
    }

    /// Returns which requests the gate admits.
    pub(crate) fn state(&self) -> GateState {
        self.lock().state.clone()
    }

    /// Sets whether the VM is leaving; a leaving VM admits no requests.
    pub(crate) fn set_leaving(&self, leaving: bool) {
        self.lock().leaving = leaving;
    }

    /// Rejects all further requests, before the process ends.
    ///
    /// This is separate from `leaving`, which the control thread may still clear
    /// based on a snapshot that is older than the stop signal.
    pub(crate) fn stop(&self) {
        self.lock().stopped = true;
    }

    /// Returns the number of requests in progress.
    pub(crate) fn in_progress(&self) -> u32 {
        self.lock().in_progress
    }
}

/// Guard of an admitted request, which counts as in progress until the guard is dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    gate: Arc<ServingGate>,
    version: Option<VersionId>,
}

impl RequestGuard {
    /// Returns the version that serves this request.
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

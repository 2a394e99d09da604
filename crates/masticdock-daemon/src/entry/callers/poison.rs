//! Detection of requests that crash upstreams.

use std::sync::{Mutex, MutexGuard, PoisonError};

use masticdock_core::poison::{
    CrashRecord, CrashTracker, Fingerprint, PoisonPolicy, PoisonVerdict,
};
use masticdock_core::units::UnixMs;

use super::now_unix_ms;
use crate::control::Snapshot;
use crate::settings::RequestSettings;

#[derive(Default)]
struct State {
    tracker: CrashTracker,
    snapshot_seq: u64,
}

/// Crash records received by gossip and, before gossip delivers them, in the responses of agents.
pub(super) struct CrashHistory {
    policy: PoisonPolicy,
    state: Mutex<State>,
}

impl CrashHistory {
    pub(super) fn new(settings: &RequestSettings) -> Self {
        Self {
            policy: PoisonPolicy {
                crash_limit: u32::try_from(settings.crash_limit).unwrap_or(u32::MAX),
                retention_ms: settings.crash_memory_ms,
            },
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a crash that an agent reported in its response.
    pub(super) fn record(&self, record: &CrashRecord) {
        self.lock().tracker.record(record);
    }

    /// Returns whether a request is allowed, suspect or rejected because of earlier crashes.
    pub(super) fn check(&self, fingerprint: Fingerprint, snapshot: &Snapshot) -> PoisonVerdict {
        let mut state = self.lock();
        let now = UnixMs(now_unix_ms());
        if state.snapshot_seq != snapshot.seq {
            state.snapshot_seq = snapshot.seq;
            state.tracker.expire(self.policy, now);
            for record in snapshot.crashes.iter() {
                state.tracker.record(record);
            }
        }
        state.tracker.verdict(fingerprint, self.policy, now)
    }
}

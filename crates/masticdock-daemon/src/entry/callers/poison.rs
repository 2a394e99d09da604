//! Crashing requests as this entry knows them.

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

/// Deaths learnt by gossip and, earlier, from the answers of agents.
pub(super) struct Crashes {
    rules: PoisonPolicy,
    state: Mutex<State>,
}

impl Crashes {
    pub(super) fn new(settings: &RequestSettings) -> Self {
        Self {
            rules: PoisonPolicy {
                crash_limit: u32::try_from(settings.crash_limit).unwrap_or(u32::MAX),
                retention_ms: settings.crash_memory_ms,
            },
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a death reported by an agent in its answer.
    pub(super) fn record(&self, record: &CrashRecord) {
        self.lock().tracker.record(record);
    }

    /// Returns how a request is treated.
    pub(super) fn suspicion(&self, fingerprint: Fingerprint, snapshot: &Snapshot) -> PoisonVerdict {
        let mut state = self.lock();
        let now = UnixMs(now_unix_ms());
        if state.snapshot_seq != snapshot.seq {
            state.snapshot_seq = snapshot.seq;
            state.tracker.expire(self.rules, now);
            for record in snapshot.crashes.iter() {
                state.tracker.record(record);
            }
        }
        state.tracker.verdict(fingerprint, self.rules, now)
    }
}

//! Immutable snapshots of the control state for the other threads.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use compact_str::CompactString;
use masticdock_core::config_log::{ChangeWindow, ConfigState};
use masticdock_core::ids::RegionId;
use masticdock_core::limiter::DemandRecord;
use masticdock_core::membership::Member;
use masticdock_core::poison::CrashRecord;
use masticdock_core::resource::Labels;

/// Control state at one point in time.
#[derive(Debug, Clone, Default)]
pub(crate) struct Snapshot {
    /// Sequence number, incremented with each published snapshot.
    pub(crate) seq: u64,
    /// Configuration in force; revision 0 until one was adopted.
    pub(crate) config: Arc<ConfigState>,
    /// True once a configuration was adopted, which may be the empty one of a new fleet.
    pub(crate) adopted: bool,
    /// Recent changes, for peers whose revision is slightly lower.
    pub(crate) recent: Arc<ChangeWindow>,
    /// Members of every liveness, this process included.
    pub(crate) members: Arc<Vec<Member>>,
    /// Crashes of the last hour, as received by gossip.
    pub(crate) crashes: Arc<Vec<CrashRecord>>,
    /// Newest demand of each entry and workspace, as received by gossip.
    pub(crate) demands: Arc<Vec<DemandRecord>>,
    /// Labels of each VM: those of the fleet view, overridden by those that operators set.
    pub(crate) labels: Arc<BTreeMap<CompactString, Labels>>,
    /// VMs that the fleet view or an operator marks as leaving or stopping.
    pub(crate) marked_leaving: Arc<BTreeSet<CompactString>>,
    /// Partitioned regions: most of their members became unreachable at once. Their members get no
    /// requests.
    pub(crate) partitioned_region_ids: Arc<BTreeSet<RegionId>>,
    /// True when this process takes no new work.
    pub(crate) leaving: bool,
}

/// Holds the newest snapshot for one writer and many readers.
#[derive(Debug, Default)]
pub(crate) struct SnapshotCell {
    current: Mutex<Arc<Snapshot>>,
    changed: Condvar,
}

impl SnapshotCell {
    /// Returns the newest snapshot.
    pub(crate) fn load(&self) -> Arc<Snapshot> {
        let current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&current)
    }

    /// Publishes a snapshot and wakes waiting readers; only the control thread calls this.
    pub(crate) fn publish(&self, mut snapshot: Snapshot) {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        snapshot.seq = current.seq + 1;
        *current = Arc::new(snapshot);
        self.changed.notify_all();
    }

    /// Waits until a snapshot newer than `seq` exists or `timeout` passes, and returns the newest.
    pub(crate) fn wait_newer(&self, seq: u64, timeout: Duration) -> Arc<Snapshot> {
        let current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        let (current, _) = self
            .changed
            .wait_timeout_while(current, timeout, |current| current.seq <= seq)
            .unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&current)
    }
}

/// Checks whether the process takes work: a configuration was adopted and it is not leaving.
///
/// # Errors
///
/// Returns the reason as text for `/readyz`.
pub(crate) fn readiness(snapshot: &Snapshot) -> Result<(), String> {
    if snapshot.leaving {
        return Err("leaving".to_owned());
    }
    if !snapshot.adopted {
        return Err("no configuration was adopted yet".to_owned());
    }
    Ok(())
}

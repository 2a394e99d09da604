//! Crash and demand records that are sent by gossip.

use std::collections::{BTreeMap, HashSet};

use compact_str::{CompactString, ToCompactString};

use super::{GossipKey, Swim};
use crate::limiter::DemandRecord;
use crate::poison::CrashRecord;
use crate::units::UnixMs;

/// Time for which a crash record is kept, in milliseconds.
const CRASH_RETENTION_MS: u64 = 3_600_000;

type DemandKey = (CompactString, CompactString);

/// Gossiped records: distinct crashes, and the newest demand for each key.
#[derive(Debug, Default)]
pub(super) struct Records {
    pub(super) crashes: HashSet<CrashRecord>,
    pub(super) demands: BTreeMap<DemandKey, DemandRecord>,
}

fn demand_key(demand: &DemandRecord) -> DemandKey {
    (demand.entry.clone(), demand.workspace.to_compact_string())
}

impl Swim {
    /// Adds a crash from this process or from gossip, and queues it unless it is
    /// already known.
    pub fn add_crash(&mut self, crash: CrashRecord) {
        if self.records.crashes.insert(crash.clone()) {
            self.changes += 1;
            self.queue.enqueue(GossipKey::Crash(crash));
        }
    }

    /// Adds a demand from this process or from gossip; one that is not newer than the
    /// held one is ignored.
    ///
    /// Only entries use demands, so only entries queue them, for other entries.
    pub fn add_demand(&mut self, demand: DemandRecord) {
        let key = demand_key(&demand);
        let held = self.records.demands.get(&key);
        if held.is_some_and(|held| held.seq >= demand.seq) {
            return;
        }
        self.records.demands.insert(key.clone(), demand);
        self.changes += 1;
        if self.own_member().role == super::super::Role::Entry {
            self.demand_queue.enqueue(key);
        }
    }

    /// Removes crashes that are more than an hour old.
    pub fn prune_crashes(&mut self, now: UnixMs) {
        let oldest = now.0.saturating_sub(CRASH_RETENTION_MS);
        let before = self.records.crashes.len();
        self.records
            .crashes
            .retain(|crash| crash.at_unix_ms.0 >= oldest);
        if self.records.crashes.len() != before {
            self.changes += 1;
        }
    }

    /// Iterates over the crashes that are kept.
    pub fn crashes(&self) -> impl Iterator<Item = &CrashRecord> {
        self.records.crashes.iter()
    }

    /// Iterates over the newest demand for each entry and workspace.
    pub fn demands(&self) -> impl Iterator<Item = &DemandRecord> {
        self.records.demands.values()
    }
}

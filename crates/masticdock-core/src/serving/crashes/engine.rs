//! Crashes of the engine on one VM, as its agent confirms them.

use std::collections::VecDeque;
use std::net::IpAddr;

use crate::units::MonoMs;

use super::{
    CrashRecord, CrashRecords, CrashRecordsSettings, RequestFeature, Suspect, UpstreamProcess,
};

/// Settings of [`EngineCrashes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineCrashesSettings {
    /// Time between a report of suspects and the loss of the engine's process within
    /// which they belong together, in milliseconds.
    pub match_ms: u64,
    /// Maximum number of reports that wait for a crash.
    pub pending_max: usize,
    /// Limits on what is kept of crashes.
    pub records: CrashRecordsSettings,
}

impl Default for EngineCrashesSettings {
    fn default() -> Self {
        Self {
            match_ms: 1_500,
            pending_max: 512,
            records: CrashRecordsSettings::default(),
        }
    }
}

/// Suspects that wait for a crash.
#[derive(Debug, Clone)]
struct PendingReport {
    received_at: MonoMs,
    started_at_ms: Option<u64>,
    suspects: Vec<Suspect>,
}

/// Crashes of the engine on one VM.
///
/// Entries also report suspects when a connection breaks while the engine lives on; such
/// reports expire without a crash.
#[derive(Debug, Clone)]
pub struct EngineCrashes {
    vm: IpAddr,
    settings: EngineCrashesSettings,
    /// Start time of the process that answered last; `None` while none answers.
    running: Option<u64>,
    /// Start time of the process that was lost last, and when that was noticed.
    lost: Option<(u64, MonoMs)>,
    pending: VecDeque<PendingReport>,
    records: CrashRecords,
}

impl EngineCrashes {
    /// Creates a history without crashes for the engine on `vm`.
    #[must_use]
    pub fn new(vm: IpAddr, settings: EngineCrashesSettings) -> Self {
        Self {
            vm,
            settings,
            running: None,
            lost: None,
            pending: VecDeque::new(),
            records: CrashRecords::new(settings.records),
        }
    }

    /// Records which process of the engine answers, by its start time; `None` if none
    /// does. Returns true if this confirms a crash.
    pub fn record_engine(&mut self, running: Option<u64>, now: MonoMs) -> bool {
        self.expire(now);
        let before = std::mem::replace(&mut self.running, running);
        let Some(lost) = before.filter(|_| before != running) else {
            return false;
        };
        self.lost = Some((lost, now));
        let mut changed = false;
        for report in std::mem::take(&mut self.pending) {
            if report
                .started_at_ms
                .is_none_or(|started_at_ms| started_at_ms == lost)
            {
                changed |= self.add_suspects(lost, &report.suspects, report.received_at);
            }
        }
        changed
    }

    /// Records the suspects that an entry reports for the process that started at
    /// `started_at_ms`, if the entry knows it. Returns true if a crash changed.
    pub fn record_suspects(
        &mut self,
        started_at_ms: Option<u64>,
        suspects: &[Suspect],
        now: MonoMs,
    ) -> bool {
        self.expire(now);
        let is_of = |process: u64| started_at_ms.is_none_or(|started| started == process);
        if let Some((lost, lost_at)) = self.lost
            && now.since_ms(lost_at) < self.settings.match_ms
            && is_of(lost)
        {
            return self.add_suspects(lost, suspects, now);
        }
        if self.running.is_some_and(is_of) && self.pending.len() < self.settings.pending_max {
            self.pending.push_back(PendingReport {
                received_at: now,
                started_at_ms,
                suspects: suspects.to_vec(),
            });
        }
        false
    }

    /// Removes suspects that an entry has refuted from a crash; returns true if this
    /// changed it.
    pub fn record_refuted(&mut self, id: UpstreamProcess, features: &[RequestFeature]) -> bool {
        self.records.record_refuted(id, features)
    }

    /// Iterates over the crashes, the oldest first.
    pub fn records(&self) -> impl Iterator<Item = &CrashRecord> {
        self.records.iter()
    }

    fn add_suspects(&mut self, started_at_ms: u64, suspects: &[Suspect], at: MonoMs) -> bool {
        let record = CrashRecord {
            id: UpstreamProcess {
                vm: self.vm,
                started_at_ms,
            },
            at,
            suspects: suspects.to_vec(),
            reviewed: false,
        };
        self.records.record(&record, at)
    }

    fn expire(&mut self, now: MonoMs) {
        let match_ms = self.settings.match_ms;
        self.pending
            .retain(|report| now.since_ms(report.received_at) < match_ms);
        self.records.expire(now);
    }
}

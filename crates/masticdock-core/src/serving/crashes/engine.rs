//! Crashes of the engine on one VM, as its agent confirms them.

use std::collections::VecDeque;
use std::net::IpAddr;

use crate::units::MonoMs;

use super::{CrashId, CrashRecord, RequestFeature, Suspect};

/// Settings of [`EngineCrashes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineCrashesSettings {
    /// Time between a report of suspects and the loss of the engine's process within
    /// which they belong together, in milliseconds.
    pub match_ms: u64,
    /// Time for which a crash is kept, in milliseconds.
    pub retention_ms: u64,
    /// Maximum number of crashes.
    pub records_max: usize,
    /// Maximum number of suspects of a crash, and of reports that wait for one.
    pub suspects_max: usize,
}

impl Default for EngineCrashesSettings {
    fn default() -> Self {
        Self {
            match_ms: 1_500,
            retention_ms: 600_000,
            records_max: 16,
            suspects_max: 512,
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
    records: VecDeque<CrashRecord>,
    /// Suspects that were refuted, so that a late report does not add them again.
    refuted: VecDeque<(u64, RequestFeature)>,
}

impl EngineCrashes {
    /// Creates a history without crashes for the engine on `vm`.
    #[must_use]
    pub const fn new(vm: IpAddr, settings: EngineCrashesSettings) -> Self {
        Self {
            vm,
            settings,
            running: None,
            lost: None,
            pending: VecDeque::new(),
            records: VecDeque::new(),
            refuted: VecDeque::new(),
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
        if self.running.is_some_and(is_of) && self.pending.len() < self.settings.suspects_max {
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
    pub fn record_refuted(&mut self, started_at_ms: u64, features: &[RequestFeature]) -> bool {
        let Some(record) = self
            .records
            .iter_mut()
            .find(|record| record.id.started_at_ms == started_at_ms)
        else {
            return false;
        };
        let mut changed = false;
        for feature in features {
            let count = record.suspects.len();
            record
                .suspects
                .retain(|suspect| suspect.feature != *feature);
            if record.suspects.len() < count {
                self.refuted.push_back((started_at_ms, *feature));
                changed = true;
            }
        }
        record.reviewed |= changed;
        while self.refuted.len() > self.settings.suspects_max {
            self.refuted.pop_front();
        }
        changed
    }

    /// Iterates over the crashes, the oldest first.
    pub fn records(&self) -> impl Iterator<Item = &CrashRecord> {
        self.records.iter()
    }

    fn add_suspects(&mut self, started_at_ms: u64, suspects: &[Suspect], at: MonoMs) -> bool {
        let refuted = &self.refuted;
        let suspects: Vec<Suspect> = suspects
            .iter()
            .filter(|suspect| !refuted.contains(&(started_at_ms, suspect.feature)))
            .copied()
            .collect();
        let id = CrashId {
            vm: self.vm,
            started_at_ms,
        };
        let suspects_max = self.settings.suspects_max;
        if let Some(record) = self.records.iter_mut().find(|record| record.id == id) {
            return record.add_suspects(&suspects, suspects_max);
        }
        let mut record = CrashRecord {
            id,
            at,
            suspects: Vec::new(),
            reviewed: false,
        };
        record.add_suspects(&suspects, suspects_max);
        if self.records.len() >= self.settings.records_max {
            self.records.pop_front();
        }
        self.records.push_back(record);
        true
    }

    fn expire(&mut self, now: MonoMs) {
        let EngineCrashesSettings {
            match_ms,
            retention_ms,
            ..
        } = self.settings;
        self.pending
            .retain(|report| now.since_ms(report.received_at) < match_ms);
        self.records
            .retain(|record| now.since_ms(record.at) < retention_ms);
    }
}

//! Crashes that an agent keeps for the entries.

use std::collections::VecDeque;

use crate::units::MonoMs;

use super::{CrashRecord, RequestFeature, UpstreamProcess};

/// Settings of [`CrashRecords`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashRecordsSettings {
    /// Time for which a crash is kept, in milliseconds.
    pub retention_ms: u64,
    /// Maximum number of crashes; the oldest one makes room.
    pub records_max: usize,
    /// Maximum number of suspects of a crash, and of refuted suspects in all.
    pub suspects_max: usize,
}

impl Default for CrashRecordsSettings {
    fn default() -> Self {
        Self {
            retention_ms: 600_000,
            records_max: 16,
            suspects_max: 512,
        }
    }
}

/// Crashes with their suspects, merged from what several entries report.
#[derive(Debug, Clone, Default)]
pub struct CrashRecords {
    settings: CrashRecordsSettings,
    records: VecDeque<CrashRecord>,
    /// Suspects that were refuted, so that a late report does not add them again.
    refuted: VecDeque<(UpstreamProcess, RequestFeature)>,
}

impl CrashRecords {
    /// Creates an empty collection.
    #[must_use]
    pub fn new(settings: CrashRecordsSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Adds a crash, or its suspects to those that are known; returns true if this changed
    /// what is known.
    pub fn record(&mut self, reported: &CrashRecord, now: MonoMs) -> bool {
        self.expire(now);
        let refuted = &self.refuted;
        let mut suspects = reported.suspects.clone();
        suspects.retain(|suspect| !refuted.contains(&(reported.id, suspect.feature)));
        let suspects_max = self.settings.suspects_max;
        if let Some(record) = self.find_mut(reported.id) {
            return record.add_suspects(&suspects, suspects_max);
        }
        if self.records.len() >= self.settings.records_max {
            self.records.pop_front();
        }
        let mut record = CrashRecord {
            suspects: Vec::new(),
            ..*reported
        };
        record.add_suspects(&suspects, suspects_max);
        self.records.push_back(record);
        true
    }

    /// Removes suspects that an entry has refuted from a crash; returns true if this
    /// changed it.
    pub fn record_refuted(&mut self, id: UpstreamProcess, features: &[RequestFeature]) -> bool {
        let Some(record) = self.find_mut(id) else {
            return false;
        };
        let removed = record
            .suspects
            .extract_if(.., |suspect| features.contains(&suspect.feature));
        let removed: Vec<_> = removed.map(|suspect| (id, suspect.feature)).collect();
        record.reviewed |= !removed.is_empty();
        let changed = !removed.is_empty();
        self.refuted.extend(removed);
        while self.refuted.len() > self.settings.suspects_max {
            self.refuted.pop_front();
        }
        changed
    }

    /// Iterates over the crashes, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &CrashRecord> {
        self.records.iter()
    }

    /// Removes crashes that are older than the retention time.
    pub(super) fn expire(&mut self, now: MonoMs) {
        let retention_ms = self.settings.retention_ms;
        self.records
            .retain(|record| now.since_ms(record.at) < retention_ms);
    }

    fn find_mut(&mut self, id: UpstreamProcess) -> Option<&mut CrashRecord> {
        self.records.iter_mut().find(|record| record.id == id)
    }
}

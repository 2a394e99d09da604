//! Crash counts by request.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;

use super::{CrashRecord, Fingerprint};
use crate::units::UnixMs;

/// Limits from which a request counts as poison.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoisonPolicy {
    /// Number of crashes at which a request is rejected.
    pub crash_limit: u32,
    /// Time for which a crash counts, in milliseconds.
    pub retention_ms: u64,
}

/// How a request is treated because of the crashes recorded for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoisonVerdict {
    /// No crash is recorded for the request; it runs normally.
    Clear,
    /// The request runs only where no other suspect request is running.
    Suspect,
    /// The request is rejected.
    Rejected,
}

/// Counts crashes by fingerprint.
///
/// A crash is identified by VM and time, so a record that arrives more than once
/// counts once.
#[derive(Debug, Clone, Default)]
pub struct CrashTracker {
    crashes: BTreeMap<Fingerprint, BTreeSet<(UnixMs, CompactString)>>,
}

impl CrashTracker {
    /// Counts a crash, unless it was counted already.
    pub fn record(&mut self, record: &CrashRecord) {
        self.crashes
            .entry(record.fingerprint)
            .or_default()
            .insert((record.at_unix_ms, record.vm.clone()));
    }

    /// Returns how a request is treated at `now`, without removing expired crashes.
    #[must_use]
    pub fn verdict(
        &self,
        fingerprint: Fingerprint,
        policy: PoisonPolicy,
        now: UnixMs,
    ) -> PoisonVerdict {
        let Some(crashes) = self.crashes.get(&fingerprint) else {
            return PoisonVerdict::Clear;
        };
        let mut count: u32 = 0;
        for (at, _) in crashes {
            if now.0.saturating_sub(at.0) < policy.retention_ms {
                count += 1;
            }
        }
        match count {
            0 => PoisonVerdict::Clear,
            count if count >= policy.crash_limit => PoisonVerdict::Rejected,
            _ => PoisonVerdict::Suspect,
        }
    }

    /// Removes crashes that no longer count at `now`.
    pub fn expire(&mut self, policy: PoisonPolicy, now: UnixMs) {
        self.crashes.retain(|_, crashes| {
            crashes.retain(|(at, _)| now.0.saturating_sub(at.0) < policy.retention_ms);
            !crashes.is_empty()
        });
    }
}

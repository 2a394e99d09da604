//! Deaths of upstreams by request.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;

use super::{CrashRecord, Fingerprint};
use crate::units::UnixMs;

/// Limits of crashing requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoisonPolicy {
    /// Deaths after which a request is refused.
    pub crash_limit: u32,
    /// Time for which a death counts, in milliseconds.
    pub retention_ms: u64,
}

/// How a request is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PoisonVerdict {
    /// No death counts against it.
    Clear,
    /// It runs only where no other suspect runs.
    Suspect,
    /// It is refused.
    Rejected,
}

/// Counts deaths by fingerprint; one death of one VM counts once.
#[derive(Debug, Clone, Default)]
pub struct CrashTracker {
    deaths: BTreeMap<Fingerprint, BTreeSet<(UnixMs, CompactString)>>,
}

impl CrashTracker {
    /// Counts a death, unless it was counted already.
    pub fn record(&mut self, record: &CrashRecord) {
        self.deaths
            .entry(record.fingerprint)
            .or_default()
            .insert((record.at_unix_ms, record.vm.clone()));
    }

    /// Returns how a request is treated at `now`.
    #[must_use]
    pub fn verdict(
        &self,
        fingerprint: Fingerprint,
        rules: PoisonPolicy,
        now: UnixMs,
    ) -> PoisonVerdict {
        let Some(deaths) = self.deaths.get(&fingerprint) else {
            return PoisonVerdict::Clear;
        };
        let mut count: u32 = 0;
        for (at, _) in deaths {
            if now.0.saturating_sub(at.0) < rules.retention_ms {
                count += 1;
            }
        }
        match count {
            0 => PoisonVerdict::Clear,
            count if count >= rules.crash_limit => PoisonVerdict::Rejected,
            _ => PoisonVerdict::Suspect,
        }
    }

    /// Forgets deaths that no longer count.
    pub fn expire(&mut self, rules: PoisonPolicy, now: UnixMs) {
        self.deaths.retain(|_, deaths| {
            deaths.retain(|(at, _)| now.0.saturating_sub(at.0) < rules.retention_ms);
            !deaths.is_empty()
        });
    }
}

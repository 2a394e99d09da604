//! Pauses for senders that failed.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::units::MonoMs;

/// What a sender did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Had no upload slot; not a failure.
    Busy,
    /// Could not be reached or broke the connection.
    Unreachable,
    /// Sent nothing in time.
    Stalled,
    /// Sent bytes that do not match the digest.
    Corrupt,
}

impl Fault {
    const fn pause_ms(self) -> u64 {
        match self {
            Self::Busy => 150,
            Self::Unreachable => 500,
            Self::Stalled => 2_000,
            Self::Corrupt => 10_000,
        }
    }
}

/// Longest pause, in milliseconds: a sender that recovered is found again.
const PAUSE_MAX_MS: u64 = 60_000;

#[derive(Debug, Clone, Copy)]
struct Record {
    until: MonoMs,
    failures: u32,
}

/// Senders that are not asked for a while.
#[derive(Debug, Clone, Default)]
pub struct SenderBackoff {
    records: BTreeMap<CompactString, Record>,
}

impl SenderBackoff {
    /// Pauses a sender; the pause doubles with each failure in a row.
    pub fn record_fault(&mut self, sender: &str, fault: Fault, now: MonoMs) {
        let record = self
            .records
            .entry(CompactString::new(sender))
            .or_insert(Record {
                until: now,
                failures: 0,
            });
        let factor = 1_u64 << record.failures.min(16);
        let pause_ms = match fault {
            Fault::Busy => fault.pause_ms(),
            _ => (fault.pause_ms() * factor).min(PAUSE_MAX_MS),
        };
        if fault != Fault::Busy {
            record.failures += 1;
        }
        record.until = record.until.max(now.plus_ms(pause_ms));
    }

    /// Ends the count of failures in a row after a good chunk; a pause goes on.
    pub fn record_success(&mut self, sender: &str, now: MonoMs) {
        let Some(record) = self.records.get_mut(sender) else {
            return;
        };
        record.failures = 0;
        if record.until <= now {
            self.records.remove(sender);
        }
    }

    /// Returns true when the sender may be asked.
    #[must_use]
    pub fn is_available(&self, sender: &str, now: MonoMs) -> bool {
        self.records
            .get(sender)
            .is_none_or(|record| record.until <= now)
    }

    /// Returns true while a sender is paused for a failure, so that chunks which
    /// it alone holds are looked for elsewhere.
    #[must_use]
    pub fn is_failing(&self, sender: &str, now: MonoMs) -> bool {
        self.records
            .get(sender)
            .is_some_and(|record| record.failures > 0 && record.until > now)
    }

    /// Forgets senders that `keep` refuses.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.records.retain(|sender, _| keep(sender));
    }
}

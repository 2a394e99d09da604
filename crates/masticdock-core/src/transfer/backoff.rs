//! Backoff for senders whose requests failed.

use std::collections::BTreeMap;

use compact_str::CompactString;

use crate::units::MonoMs;

/// Reason why a request to a sender did not give a usable chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The sender had no free upload slot. Does not count as a failure.
    Busy,
    /// The sender could not be reached or closed the connection.
    Unreachable,
    /// The sender sent no reply within the timeout.
    Stalled,
    /// The sender sent bytes that do not match the digest.
    Corrupt,
}

impl Fault {
    const fn backoff_ms(self) -> u64 {
        match self {
            Self::Busy => 150,
            Self::Unreachable => 500,
            Self::Stalled => 2_000,
            Self::Corrupt => 10_000,
        }
    }
}

/// Maximum backoff, so that a sender that has recovered is used again.
const BACKOFF_MAX_MS: u64 = 60_000;

#[derive(Debug, Clone, Copy)]
struct Record {
    retry_at: MonoMs,
    failures: u32,
}

/// Senders that are backed off and get no requests for the time being.
#[derive(Debug, Clone, Default)]
pub struct SenderBackoff {
    records: BTreeMap<CompactString, Record>,
}

impl SenderBackoff {
    /// Backs off a sender. The backoff doubles with each consecutive failure.
    pub fn record_fault(&mut self, sender: &str, fault: Fault, now: MonoMs) {
        let record = self
            .records
            .entry(CompactString::new(sender))
            .or_insert(Record {
                retry_at: now,
                failures: 0,
            });
        let factor = 1_u64 << record.failures.min(16);
        let backoff_ms = match fault {
            Fault::Busy => fault.backoff_ms(),
            _ => (fault.backoff_ms() * factor).min(BACKOFF_MAX_MS),
        };
        if fault != Fault::Busy {
            record.failures += 1;
        }
        record.retry_at = record.retry_at.max(now.plus_ms(backoff_ms));
    }

    /// Resets the count of consecutive failures after a verified chunk. A backoff
    /// that is still running is not shortened.
    pub fn record_success(&mut self, sender: &str, now: MonoMs) {
        let Some(record) = self.records.get_mut(sender) else {
            return;
        };
        record.failures = 0;
        if record.retry_at <= now {
            self.records.remove(sender);
        }
    }

    /// Returns true if requests may be sent to the sender.
    #[must_use]
    pub fn is_available(&self, sender: &str, now: MonoMs) -> bool {
        self.records
            .get(sender)
            .is_none_or(|record| record.retry_at <= now)
    }

    /// Returns true while a sender is backed off because of a failure, in which
    /// case chunks that only this sender holds have to be read elsewhere.
    #[must_use]
    pub fn is_failing(&self, sender: &str, now: MonoMs) -> bool {
        self.records
            .get(sender)
            .is_some_and(|record| record.failures > 0 && record.retry_at > now)
    }

    /// Removes the senders for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.records.retain(|sender, _| keep(sender));
    }
}

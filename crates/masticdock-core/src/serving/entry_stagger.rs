//! Staggered start of the entries at an upstream that returns without load.
//!
//! Prevents a thundering herd: all entries learn at the same time of an idle
//! upstream while every other one is full. If they all sent at once, the upstream
//! would prefill the prompts one after another, too late for most of them. The
//! agent therefore assigns each entry its own start time, one prefill apart. Before
//! the last entries start, the next report shows them what the first ones sent.

use compact_str::CompactString;

use crate::rendezvous;
use crate::units::MonoMs;

/// Order and times in which entries start to send to one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryStagger {
    usable_since: MonoMs,
    interval_ms: u64,
    /// Entries in the order in which they start.
    entries: Vec<CompactString>,
}

impl EntryStagger {
    /// Creates an order of `entries` specific to `usable_since`, so that it differs each
    /// time; `interval_ms` is the prefill time of one prompt at the upstream.
    #[must_use]
    pub fn new(entries: &[CompactString], interval_ms: u64, usable_since: MonoMs) -> Self {
        let key = usable_since.0.to_le_bytes();
        let ranked = rendezvous::rank(&key, entries, CompactString::as_str);
        Self {
            usable_since,
            interval_ms,
            entries: ranked.into_iter().cloned().collect(),
        }
    }

    /// Returns the time until `entry` may start to send, in milliseconds; 0 from then
    /// on, and for an entry that is not in the order because it joined later.
    #[must_use]
    pub fn start_delay_ms(&self, entry: &str, now: MonoMs) -> u64 {
        let position = self.entries.iter().position(|listed| listed == entry);
        let offset_ms = self.interval_ms * position.unwrap_or(0) as u64;
        offset_ms.saturating_sub(now.since_ms(self.usable_since))
    }
}

//! In which order entries begin to send to an upstream that comes back empty.
//!
//! Answers the load pattern in which all entries hear at the same moment of an
//! idle upstream while every other one is full: each of them sends at once what
//! it has, and the prompts of all are read one after another, too late for most.
//! The agent therefore gives each entry its own moment to begin, one prompt
//! apart; by the time of the last ones its next report tells what the first sent.

use compact_str::CompactString;

use crate::rendezvous;
use crate::units::MonoMs;

/// Order of the entries at one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryStagger {
    usable_since: MonoMs,
    step_ms: u64,
    /// Entries in their order.
    entries: Vec<CompactString>,
}

impl EntryStagger {
    /// Orders `entries` anew; `step_ms` is the time in which the upstream reads a prompt.
    #[must_use]
    pub fn new(entries: &[CompactString], step_ms: u64, usable_since: MonoMs) -> Self {
        let key = usable_since.0.to_le_bytes();
        let ranked = rendezvous::rank(&key, entries, CompactString::as_str);
        Self {
            usable_since,
            step_ms,
            entries: ranked.into_iter().cloned().collect(),
        }
    }

    /// Returns the time until `entry` begins, in milliseconds; 0 from then on and
    /// for an entry that came later.
    #[must_use]
    pub fn start_delay_ms(&self, entry: &str, now: MonoMs) -> u64 {
        let position = self.entries.iter().position(|listed| listed == entry);
        let turn = self.step_ms * position.unwrap_or(0) as u64;
        turn.saturating_sub(now.since_ms(self.usable_since))
    }
}

//! Number of entries, as agents report it.

use std::cell::Cell;

use masticdock_core::units::MonoMs;

/// Number of entries that is assumed before an agent reports it; it exceeds that of most
/// deployments.
const ENTRIES_ASSUMED: u32 = 10;
/// Time for which a higher number precedes lower ones, in milliseconds. An agent that
/// restarted does not know all entries yet.
const PRECEDENCE_MS: u64 = 2_500;

/// Number of entries that send requests, this one included.
#[derive(Debug, Default)]
pub(crate) struct EntryCount {
    reported: Cell<Option<(u32, MonoMs)>>,
}

impl EntryCount {
    /// Records the number of entries that an agent reports to.
    pub(crate) fn record(&self, entries: u32, now: MonoMs) {
        let has_precedence = self
            .reported
            .get()
            .is_some_and(|(highest, at)| entries < highest && now.since_ms(at) < PRECEDENCE_MS);
        if !has_precedence {
            self.reported.set(Some((entries, now)));
        }
    }

    /// Returns whether an agent has reported the number.
    pub(crate) fn is_reported(&self) -> bool {
        self.reported.get().is_some()
    }

    /// Returns the number of entries.
    pub(crate) fn get(&self) -> u32 {
        let entries = self.reported.get().map(|(entries, _)| entries);
        entries.unwrap_or(ENTRIES_ASSUMED).max(1)
    }
}

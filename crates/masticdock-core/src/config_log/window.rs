//! Recent changes, kept for peers that lag a little.

use std::collections::VecDeque;
use std::sync::Arc;

use super::AcceptedChange;
use crate::ids::Revision;

/// Consecutive changes up to the held revision, the oldest dropped first.
#[derive(Debug, Clone)]
pub struct ChangeWindow {
    head: Revision,
    changes: VecDeque<Arc<AcceptedChange>>,
    capacity: usize,
}

impl Default for ChangeWindow {
    fn default() -> Self {
        Self::new(Revision(0), 0)
    }
}

impl ChangeWindow {
    /// Makes an empty window at `head` that keeps up to `capacity` changes.
    #[must_use]
    pub const fn new(head: Revision, capacity: usize) -> Self {
        Self {
            head,
            changes: VecDeque::new(),
            capacity,
        }
    }

    /// Returns the revision of the newest change.
    #[must_use]
    pub const fn head(&self) -> Revision {
        self.head
    }

    /// Empties the window after a whole configuration at `head` was adopted.
    pub fn reset(&mut self, head: Revision) {
        self.head = head;
        self.changes.clear();
    }

    /// Adds a change; one that does not follow the newest empties the window first.
    pub fn push(&mut self, change: AcceptedChange) {
        if change.revision <= self.head {
            return;
        }
        if change.revision != self.head.next() {
            self.changes.clear();
        }
        self.head = change.revision;
        self.changes.push_back(Arc::new(change));
        while self.changes.len() > self.capacity {
            self.changes.pop_front();
        }
    }

    /// Returns the changes above `revision`; `None` when some of them are no longer held.
    #[must_use]
    pub fn since(&self, revision: Revision) -> Option<Vec<AcceptedChange>> {
        if revision >= self.head {
            return Some(Vec::new());
        }
        let first = self.changes.front()?.revision;
        if first > revision.next() {
            return None;
        }
        let newer = self.changes.iter().filter(|c| c.revision > revision);
        Some(newer.map(|change| (**change).clone()).collect())
    }
}

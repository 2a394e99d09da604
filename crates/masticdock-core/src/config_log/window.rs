//! Recent changes, kept in memory to bring slightly lagging peers up to date.

use std::collections::VecDeque;
use std::sync::Arc;

use super::AcceptedChange;
use crate::ids::Revision;

/// Bounded sequence of consecutive changes up to the head revision; evicts the oldest first.
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
    /// Creates an empty window at `head` that keeps up to `capacity` changes.
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

    /// Clears the window after a complete configuration at `head` was adopted.
    pub fn reset(&mut self, head: Revision) {
        self.head = head;
        self.changes.clear();
    }

    /// Appends a change.
    ///
    /// Ignores a change at or below the head revision. A change that does not
    /// directly follow the head clears the window first, so that the window has
    /// no gaps.
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

    /// Returns the changes above `revision`, or `None` if some of them were evicted.
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

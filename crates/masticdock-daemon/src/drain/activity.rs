//! Count of the requests that a process has in progress.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts requests in progress; clones share the count.
#[derive(Debug, Clone, Default)]
pub(crate) struct Activity(Arc<AtomicUsize>);

impl Activity {
    /// Counts one request until the guard is dropped.
    pub(crate) fn begin(&self) -> ActivityGuard {
        self.0.fetch_add(1, Ordering::SeqCst);
        ActivityGuard(Arc::clone(&self.0))
    }

    /// Returns the number of requests in progress.
    pub(crate) fn in_progress(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

/// One request in progress.
#[derive(Debug)]
pub(crate) struct ActivityGuard(Arc<AtomicUsize>);

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

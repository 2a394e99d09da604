//! Places in the batch, given to higher priorities first.

use std::cmp::Reverse;
use std::collections::{BTreeSet, VecDeque};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time between two looks at whether a waiting request is still wanted.
const WAIT_POLL: Duration = Duration::from_millis(20);
/// Load figures kept; older ones are dropped when nobody reads them.
const FIGURES_MAX: usize = 4_096;

#[derive(Debug, Default)]
struct Inner {
    running: u32,
    arrivals: u64,
    /// Waiting requests by priority, then by arrival.
    waiting: BTreeSet<(Reverse<i32>, u64)>,
    /// Numbers of running and of waiting requests after each change.
    figures: VecDeque<(Instant, (u32, u32))>,
}

impl Inner {
    fn record(&mut self) {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        if self.figures.len() == FIGURES_MAX {
            self.figures.pop_front();
        }
        self.figures
            .push_back((Instant::now(), (self.running, waiting)));
    }
}

#[derive(Debug, Default)]
pub(super) struct Batch {
    inner: Mutex<Inner>,
    freed: Condvar,
}

/// A place in the batch; given back when dropped.
pub(super) struct Place<'a>(&'a Batch);

impl Batch {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the numbers of running and of waiting requests as they were `lag` ago.
    pub(super) fn figures(&self, lag: Duration) -> (u32, u32) {
        let mut inner = self.lock();
        let figures = &mut inner.figures;
        while figures.len() > 1 && figures[1].0.elapsed() >= lag {
            figures.pop_front();
        }
        let reported = figures.front().filter(|(at, _)| at.elapsed() >= lag);
        reported.map_or((0, 0), |(_, figures)| *figures)
    }

    /// Waits for one of `size` places; `None` once `wanted` returns false.
    pub(super) fn enter(
        &self,
        size: u32,
        priority: i32,
        wanted: &dyn Fn() -> bool,
    ) -> Option<Place<'_>> {
        let mut inner = self.lock();
        inner.arrivals += 1;
        let ticket = (Reverse(priority), inner.arrivals);
        inner.waiting.insert(ticket);
        inner.record();
        loop {
            if inner.running < size && inner.waiting.first() == Some(&ticket) {
                inner.waiting.remove(&ticket);
                inner.running += 1;
                inner.record();
                self.freed.notify_all();
                return Some(Place(self));
            }
            let result = self.freed.wait_timeout(inner, WAIT_POLL);
            inner = result.unwrap_or_else(PoisonError::into_inner).0;
            if !wanted() {
                inner.waiting.remove(&ticket);
                inner.record();
                self.freed.notify_all();
                return None;
            }
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut inner = self.0.lock();
        inner.running -= 1;
        inner.record();
        drop(inner);
        self.0.freed.notify_all();
    }
}

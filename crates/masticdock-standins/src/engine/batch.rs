//! Batch slots, granted to requests with higher priority first.

use std::cmp::Reverse;
use std::collections::{BTreeSet, VecDeque};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Interval at which a waiting request checks whether to keep waiting.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of load samples kept; without a reader the oldest are dropped.
const SAMPLES_MAX: usize = 4_096;

#[derive(Debug, Default)]
struct Inner {
    running: u32,
    arrivals: u64,
    /// Waiting requests ordered by descending priority, then by arrival.
    waiting: BTreeSet<(Reverse<i32>, u64)>,
    /// Numbers of running and waiting requests, sampled after each change.
    samples: VecDeque<(Instant, (u32, u32))>,
}

impl Inner {
    fn record(&mut self) {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        if self.samples.len() == SAMPLES_MAX {
            self.samples.pop_front();
        }
        self.samples
            .push_back((Instant::now(), (self.running, waiting)));
    }
}

#[derive(Debug, Default)]
pub(super) struct Batch {
    inner: Mutex<Inner>,
    changed: Condvar,
}

/// A slot in the batch; released on drop.
pub(super) struct Slot<'a>(&'a Batch);

impl Batch {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the numbers of running and waiting requests as of `lag` ago, or zeros
    /// if there is no sample of that age.
    pub(super) fn samples(&self, lag: Duration) -> (u32, u32) {
        let mut inner = self.lock();
        let samples = &mut inner.samples;
        while samples.len() > 1 && samples[1].0.elapsed() >= lag {
            samples.pop_front();
        }
        let reported = samples.front().filter(|(at, _)| at.elapsed() >= lag);
        reported.map_or((0, 0), |(_, samples)| *samples)
    }

    /// Waits for one of `size` slots; returns `None` once `keep_waiting` returns false.
    pub(super) fn acquire(
        &self,
        size: u32,
        priority: i32,
        keep_waiting: &dyn Fn() -> bool,
    ) -> Option<Slot<'_>> {
        let mut inner = self.lock();
        inner.arrivals += 1;
        let queue_key = (Reverse(priority), inner.arrivals);
        inner.waiting.insert(queue_key);
        inner.record();
        loop {
            if inner.running < size && inner.waiting.first() == Some(&queue_key) {
                inner.waiting.remove(&queue_key);
                inner.running += 1;
                inner.record();
                self.changed.notify_all();
                return Some(Slot(self));
            }
            let result = self.changed.wait_timeout(inner, WAIT_POLL_INTERVAL);
            inner = result.unwrap_or_else(PoisonError::into_inner).0;
            if !keep_waiting() {
                inner.waiting.remove(&queue_key);
                inner.record();
                self.changed.notify_all();
                return None;
            }
        }
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let mut inner = self.0.lock();
        inner.running -= 1;
        inner.record();
        drop(inner);
        self.0.changed.notify_all();
    }
}

//! Pacing of bytes to a total rate.

use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Time that an idle link may catch up at once.
const BURST: Duration = Duration::from_millis(5);

/// Paces all threads that share it to one rate.
#[derive(Debug)]
pub(crate) struct Pacer {
    rate_bytes_per_s: u64,
    next_free: Mutex<Instant>,
}

impl Pacer {
    /// Makes a pacer; a rate of 0 means no limit.
    pub(crate) fn new(rate_bytes_per_s: u64) -> Self {
        Self {
            rate_bytes_per_s,
            next_free: Mutex::new(Instant::now()),
        }
    }

    /// Blocks until `bytes` may be sent.
    pub(crate) fn pace(&self, bytes: usize) {
        if self.rate_bytes_per_s == 0 {
            return;
        }
        let nanos = bytes as u64 * 1_000_000_000 / self.rate_bytes_per_s;
        let now = Instant::now();
        let free = {
            let mut next_free = self
                .next_free
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let earliest = now.checked_sub(BURST).unwrap_or(now);
            *next_free = (*next_free).max(earliest) + Duration::from_nanos(nanos);
            *next_free
        };
        thread::sleep(free.saturating_duration_since(now));
    }
}

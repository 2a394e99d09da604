//! Limits the rate of bytes sent by several threads.

use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum unused time that a sender may catch up on in a burst.
const BURST_MAX: Duration = Duration::from_millis(5);

/// Rate limit on the total of all threads that share it.
#[derive(Debug)]
pub(crate) struct Pacer {
    rate_bytes_per_s: u64,
    next_free: Mutex<Instant>,
}

impl Pacer {
    /// Returns a pacer; a rate of 0 means no limit.
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
        let send_at = {
            let mut next_free = self
                .next_free
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let earliest = now.checked_sub(BURST_MAX).unwrap_or(now);
            *next_free = (*next_free).max(earliest) + Duration::from_nanos(nanos);
            *next_free
        };
        thread::sleep(send_at.saturating_duration_since(now));
    }
}

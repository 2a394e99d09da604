//! The process's monotonic clock.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use masticdock_core::units::MonoMs;

static EPOCH: OnceLock<Instant> = OnceLock::new();

/// Reading of the clock at start, in milliseconds; leaves room for points in
/// time before the start.
const EPOCH_OFFSET_MS: u64 = 60_000;

/// Returns the monotonic time.
pub(crate) fn now() -> MonoMs {
    let epoch = *EPOCH.get_or_init(Instant::now);
    let elapsed_ms = u64::try_from(epoch.elapsed().as_millis()).unwrap_or(u64::MAX);
    MonoMs(elapsed_ms.saturating_add(EPOCH_OFFSET_MS))
}

/// Returns the time of day in milliseconds; for logs only, since it jumps.
pub(crate) fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}

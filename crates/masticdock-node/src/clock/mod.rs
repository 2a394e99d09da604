//! Clocks: monotonic time of the process, and Unix time for logs.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use masticdock_core::units::MonoMs;

static EPOCH: OnceLock<Instant> = OnceLock::new();

/// Reading of the monotonic clock at process start, in milliseconds. It is not 0, so
/// that times before the start can be represented.
const EPOCH_OFFSET_MS: u64 = 60_000;

/// Returns the current monotonic time.
pub(crate) fn now() -> MonoMs {
    let epoch = *EPOCH.get_or_init(Instant::now);
    let elapsed_ms = u64::try_from(epoch.elapsed().as_millis()).unwrap_or(u64::MAX);
    MonoMs(elapsed_ms.saturating_add(EPOCH_OFFSET_MS))
}

/// Returns the Unix time in milliseconds. For logs only, since the system clock can be
/// adjusted.
pub(crate) fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}

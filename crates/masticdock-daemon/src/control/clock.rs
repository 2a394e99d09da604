//! Monotonic and wall-clock time of the process.

use std::sync::OnceLock;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use masticdock_core::units::{MonoMs, UnixMs};

static FIRST_CALL: OnceLock<Instant> = OnceLock::new();

/// Returns the monotonic time since the first call in this process.
pub(crate) fn mono_now() -> MonoMs {
    let elapsed = FIRST_CALL.get_or_init(Instant::now).elapsed();
    MonoMs(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}

/// Returns the wall-clock time, which is used in records only, never to measure intervals.
pub(crate) fn unix_now() -> UnixMs {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let ms = since_epoch.map_or(0, |elapsed| elapsed.as_millis());
    UnixMs(u64::try_from(ms).unwrap_or(u64::MAX))
}

//! Clocks: monotonic time of the process, and Unix time for logs.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use masticdock_core::units::MonoMs;
use nix::time::ClockId;

static EPOCH: OnceLock<Duration> = OnceLock::new();

/// Reading of the monotonic clock at process start, in milliseconds. It is not 0, so
/// that times before the start can be represented.
const EPOCH_OFFSET_MS: u64 = 60_000;

/// Returns the current monotonic time, which includes the time in which the VM was
/// suspended, unlike [`std::time::Instant`].
pub(crate) fn now() -> MonoMs {
    let since_boot = since_boot();
    let elapsed = since_boot.saturating_sub(*EPOCH.get_or_init(|| since_boot));
    let elapsed_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
    MonoMs(elapsed_ms.saturating_add(EPOCH_OFFSET_MS))
}

/// Returns the time at which the process started.
pub(crate) const fn started_at() -> MonoMs {
    MonoMs(EPOCH_OFFSET_MS)
}

/// Returns the time since the process started, in milliseconds.
pub(crate) fn uptime_ms() -> u64 {
    now().since_ms(started_at())
}

fn since_boot() -> Duration {
    let time = ClockId::CLOCK_BOOTTIME.now();
    time.map_or(Duration::ZERO, Duration::from)
}

/// Returns the Unix time in milliseconds. For logs only, since the system clock can be
/// adjusted.
pub(crate) fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}

//! Watches for pauses in which this process did not run.

use std::cell::Cell;
use std::time::Duration;

use masticdock_core::serving::{Pause, PauseDetector, PauseSettings};
use masticdock_core::units::MonoMs;
use tokio::time::sleep;

use crate::clock;
use crate::metrics::metrics;

thread_local! {
    static DETECTOR: Cell<PauseDetector> =
        Cell::new(PauseDetector::new(PauseSettings::default(), clock::now()));
}

/// Ticks the detector of the event loop's thread and logs each pause; never returns.
pub(crate) async fn watch() {
    let interval = Duration::from_millis(PauseSettings::default().tick_interval_ms);
    loop {
        let mut detector = DETECTOR.get();
        let ended = detector.tick(clock::now());
        DETECTOR.set(detector);
        if let Some(pause) = ended {
            let paused_ms = pause.duration_ms();
            log::warn!(
                event = "process.paused",
                paused_ms = paused_ms;
                "the process did not run for a while; what it learnt meanwhile may be old"
            );
            let paused = Duration::from_millis(paused_ms);
            metrics().paused_seconds.inc_by(paused.as_secs_f64());
        }
        sleep(interval).await;
    }
}

/// Returns the last pause of the process that ended after `since`.
pub(crate) fn last_after(since: MonoMs) -> Option<Pause> {
    DETECTOR.get().pause_after(since, clock::now())
}

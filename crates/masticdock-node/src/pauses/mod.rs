//! Watches for pauses in which this process did not run.

use std::cell::RefCell;
use std::time::Duration;

use masticdock_core::serving::{Pause, PauseDetector, PauseSettings};
use masticdock_core::units::MonoMs;
use tokio::time::sleep;

use crate::clock;
use crate::metrics::metrics;

/// Shortest pause that is logged, in milliseconds; shorter ones are common under load.
const LOGGED_PAUSE_MS: u64 = 750;

thread_local! {
    static DETECTOR: RefCell<PauseDetector> =
        RefCell::new(PauseDetector::new(PauseSettings::default(), clock::now()));
}

/// Ticks the detector of the event loop's thread and logs pauses; never returns.
pub(crate) async fn watch() {
    let interval = Duration::from_millis(PauseSettings::default().tick_interval_ms);
    loop {
        let ended = DETECTOR.with_borrow_mut(|detector| detector.tick(clock::now()));
        if let Some(pause) = ended.filter(|pause| pause.duration_ms() >= LOGGED_PAUSE_MS) {
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

/// Returns the pause of the process that ended after `since`; of several ones, from the
/// beginning of the first.
pub(crate) fn after(since: MonoMs) -> Option<Pause> {
    DETECTOR.with_borrow(|detector| detector.pause_after(since, clock::now()))
}

/// Returns the longest pause of the process that ended after `since`.
pub(crate) fn longest_after(since: MonoMs) -> Option<Pause> {
    DETECTOR.with_borrow(|detector| detector.longest_after(since, clock::now()))
}

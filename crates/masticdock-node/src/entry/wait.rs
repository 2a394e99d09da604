//! Waits of an attempt for its upstream.

use std::time::Duration;

use masticdock_adapter::UpstreamTarget;
use masticdock_core::serving::BeginWindow;
use masticdock_core::units::MonoMs;
use tokio::time::{Instant, sleep_until};

use super::request::Call;
use super::state::Entry;
use crate::clock;

/// Time without any byte from an upstream after which it counts as silent: the
/// duration of four passes of a full batch with long prompts.
const UPSTREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a response after which a connection counts as silent, even if the
/// upstream sends data on other connections.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Interval between checks for a silent upstream.
const ACTIVITY_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Limits on the time that an attempt waits for its response.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitLimits {
    pub(super) started_at: Instant,
    pub(super) started_mono: MonoMs,
    /// Limits on the start of the request if the upstream's version expires.
    pub(super) begin_window: Option<BeginWindow>,
    /// Predicted time to the first event, in milliseconds.
    pub(super) predicted_ms: f64,
    /// Part of the predicted time that the request spends at the engine, in milliseconds.
    pub(super) engine_ms: f64,
}

impl WaitLimits {
    /// Returns the time since the attempt was sent, in milliseconds.
    pub(super) fn waited_ms(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1_000.0
    }
}

/// Awaits a future of an upstream until the deadline. The wait also ends when the
/// upstream's version expires or, for a retryable request, the upstream is silent.
///
/// # Errors
///
/// Returns the time since the start of the attempt if the wait ended first.
pub(super) async fn await_upstream<T>(
    entry: &Entry,
    call: &Call,
    target: &UpstreamTarget,
    limits: &WaitLimits,
    future: impl Future<Output = T>,
) -> Result<T, Duration> {
    let mut future = std::pin::pin!(future);
    let retryable = call.route.kind.is_safe_to_retry();
    loop {
        let mut check_at = call.deadline;
        if retryable {
            check_at = check_at.min(Instant::now() + ACTIVITY_CHECK_INTERVAL);
        }
        if let Some(window) = limits.begin_window {
            check_at = check_at.min(Instant::now() + window.cancel_at.since(clock::now()));
        }
        tokio::select! {
            done = &mut future => return Ok(done),
            () = sleep_until(check_at) => {}
        }
        let waited = limits.started_at.elapsed();
        let now = clock::now();
        let version_ended = limits
            .begin_window
            .is_some_and(|window| now >= window.cancel_at);
        if Instant::now() >= call.deadline || version_ended {
            return Err(waited);
        }
        let active_at = entry.with_load(&target.id, |load| load.last_activity_at());
        let idle = now.since(active_at.max(limits.started_mono));
        if retryable && (idle >= UPSTREAM_IDLE_TIMEOUT || waited >= RESPONSE_TIMEOUT) {
            return Err(waited);
        }
    }
}

/// Records how long an upstream kept the attempt waiting for its first byte or event, or
/// how long it did so until the attempt gave up.
pub(super) fn record_wait(entry: &Entry, target: &UpstreamTarget, limits: &WaitLimits) {
    let waited_ms = limits.waited_ms();
    entry.with_load(&target.id, |load| {
        load.record_wait(waited_ms, limits.engine_ms, clock::now());
    });
}

//! Waits of an attempt for its upstream.

use std::cell::Cell;
use std::time::Duration;

use masticdock_adapter::UpstreamTarget;
use masticdock_core::ids::UpstreamId;
use masticdock_core::serving::BeginWindow;
use masticdock_core::units::MonoMs;
use tokio::time::{Instant, sleep_until};

use super::attempt_race::RaceMember;
use super::request::Call;
use super::retry::prepare_retry;
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
#[derive(Debug)]
pub(super) struct WaitLimits<'a> {
    pub(super) started_at: Instant,
    pub(super) started_mono: MonoMs,
    /// Limits on the start of the request if the upstream's version expires.
    pub(super) begin_window: Option<BeginWindow>,
    /// Predicted time to the first event, in milliseconds.
    pub(super) predicted_ms: f64,
    /// Part of the predicted time that the request spends at the engine, in milliseconds.
    pub(super) engine_ms: f64,
    pub(super) retry: RetryWhileSilent<'a>,
}

/// Retry of a request whose present attempt is silent.
#[derive(Debug)]
pub(super) struct RetryWhileSilent<'a> {
    /// The present attempt among those of the request.
    member: &'a RaceMember,
    /// Last logged reason why no retry can be sent.
    logged_reason: Cell<Option<&'static str>>,
}

impl<'a> RetryWhileSilent<'a> {
    /// Creates the state for an attempt.
    pub(super) fn new(member: &'a RaceMember) -> Self {
        Self {
            member,
            logged_reason: Cell::default(),
        }
    }
}

impl WaitLimits<'_> {
    /// Records a response in the retry budget if the attempt is a retry of attempts that have
    /// arrived.
    pub(super) fn record_response(&self, entry: &Entry, call: &Call) {
        let history = &self.retry.member.history;
        if history.sent > 0 && !history.may_arrive_late {
            entry.with_retry_budget(&call.service, |budget| {
                budget.record_response(clock::now());
            });
        }
    }

    /// Returns the time since the attempt was sent, in milliseconds.
    pub(super) fn waited_ms(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1_000.0
    }

    /// Returns when the wait ends: at the deadline, or when the upstream's version expires.
    fn ends_at(&self, call: &Call) -> Instant {
        let Some(window) = self.begin_window else {
            return call.deadline;
        };
        let cancel_at = Instant::now() + window.cancel_at.since(clock::now());
        call.deadline.min(cancel_at)
    }

    /// Records that an upstream has not responded so far.
    pub(super) fn record_silence(&self, entry: &Entry, upstream: &UpstreamId) {
        let now = clock::now();
        let waited_ms = now.since_ms(self.started_mono);
        entry.with_load(upstream, |load| load.record_silence(waited_ms, now));
    }
}

/// Awaits a future of an upstream until the deadline. The wait also ends when the
/// upstream's version expires. While the upstream is silent, the request is sent to another one
/// as well if that is possible.
///
/// # Errors
///
/// Returns the time since the start of the attempt if the wait ended first.
pub(super) async fn await_upstream<T>(
    entry: &Entry,
    call: &Call,
    target: &UpstreamTarget,
    limits: &WaitLimits<'_>,
    future: impl Future<Output = T>,
) -> Result<T, Duration> {
    let mut future = std::pin::pin!(future);
    let retryable = call.route.kind.is_safe_to_retry();
    loop {
        let ends_at = limits.ends_at(call);
        let mut check_at = ends_at;
        if retryable {
            check_at = check_at.min(Instant::now() + ACTIVITY_CHECK_INTERVAL);
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
        if !retryable || (idle < UPSTREAM_IDLE_TIMEOUT && waited < RESPONSE_TIMEOUT) {
            continue;
        }
        limits.record_silence(entry, &target.id);
        let member = limits.retry.member;
        if !member.may_prepare() {
            continue;
        }
        let failures = member.failures_with_own();
        // The response may arrive while the retry connects.
        let prepared = tokio::select! {
            biased;
            done = &mut future => return Ok(done),
            () = sleep_until(ends_at) => continue,
            prepared = prepare_retry(entry, call, &failures) => prepared,
        };
        match prepared {
            Ok(prepared) => {
                record_wait(entry, target, limits);
                log_added_attempt(call, target, limits, &prepared.chosen.upstream.id);
                member.hand_over(prepared);
            }
            Err(reason) => log_kept_attempt(call, target, limits, reason),
        }
    }
}

/// Logs that a request is sent to another upstream while the present one is silent.
fn log_added_attempt(
    call: &Call,
    target: &UpstreamTarget,
    limits: &WaitLimits<'_>,
    added: &UpstreamId,
) {
    log::warn!(
        event = "attempt.added",
        request_id = call.head.request_id.as_str(),
        upstream = target.id.as_str(),
        added = added.as_str(),
        silent_ms = clock::now().since_ms(limits.started_mono),
        left_ms = call.time_left_ms();
        "an upstream is silent; the request is sent to another one as well"
    );
}

/// Logs why a silent attempt is kept, unless the reason is that of the previous check.
fn log_kept_attempt(
    call: &Call,
    target: &UpstreamTarget,
    limits: &WaitLimits<'_>,
    reason: &'static str,
) {
    if limits.retry.logged_reason.replace(Some(reason)) == Some(reason) {
        return;
    }
    log::warn!(
        event = "attempt.kept",
        request_id = call.head.request_id.as_str(),
        upstream = target.id.as_str(),
        silent_ms = clock::now().since_ms(limits.started_mono),
        reason = reason;
        "an upstream is silent, but the request cannot be sent to another one"
    );
}

/// Records how long an upstream kept the attempt waiting for its first byte or event, or
/// how long it did so until the attempt gave up.
pub(super) fn record_wait(entry: &Entry, target: &UpstreamTarget, limits: &WaitLimits<'_>) {
    let waited_ms = limits.waited_ms();
    entry.with_load(&target.id, |load| {
        load.record_wait(waited_ms, limits.engine_ms, clock::now());
    });
}

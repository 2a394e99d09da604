//! Retries of a caller's request: which failed attempts are followed by another one, and when.

use std::time::Duration;

use compact_str::{CompactString, format_compact};
use masticdock_core::problem::{Problem, ProblemKind};
use masticdock_core::retry::{self, NoRetryReason, RequestProgress, RetryPolicy};

use super::Shared;
use super::admit::Call;
use super::response::CallerResponse;
use crate::event_log::log_event;

/// Number of rejections by agents after which a request fails or, once its response has begun, is
/// retried at intervals.
const REJECTIONS_MAX: u32 = 16;

/// Minimum time left before the deadline for another attempt to start, in milliseconds.
const ATTEMPT_TIME_MS_MIN: u64 = 2;

/// Time before the next attempt when none is possible at the moment.
const RETRY_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum number of times a request that delivered nothing waits for an upstream.
const NO_UPSTREAM_RETRIES_MAX: u32 = 10;

/// Time between the first two polls of an idempotency key that an earlier attempt of the request
/// claimed; doubles with each further one up to [`KEY_POLL_INTERVAL_MAX`].
const KEY_POLL_INTERVAL_MIN: Duration = Duration::from_millis(200);

/// Maximum time between two such polls.
const KEY_POLL_INTERVAL_MAX: Duration = Duration::from_secs(1);

/// State that a request carries from one attempt to the next.
pub(super) struct AttemptState {
    progress: RequestProgress,
    pub(super) tried: Vec<CompactString>,
    no_upstream_retries: u32,
    key_poll_interval: Duration,
}

impl AttemptState {
    /// Returns the state before the first attempt.
    pub(super) const fn new(call: &Call) -> Self {
        Self {
            progress: RequestProgress::new(call.deadline),
            tried: Vec::new(),
            no_upstream_retries: 0,
            key_poll_interval: KEY_POLL_INTERVAL_MIN,
        }
    }
}

/// Returns the problem for a request that no upstream can take; `versioned` tells whether it
/// requires a certain version.
pub(super) fn no_upstream(versioned: bool) -> Problem {
    let problem = if versioned {
        Problem::not_run(
            ProblemKind::VersionUnavailable,
            "no upstream that serves this version can take the request now",
        )
    } else {
        Problem::not_run(
            ProblemKind::NoUpstream,
            "no upstream of this service can take the request now",
        )
    };
    problem.with_retry_after_s(1)
}

fn policy(shared: &Shared) -> RetryPolicy {
    RetryPolicy {
        attempts_max: u32::try_from(shared.settings.requests.attempts_max).unwrap_or(u32::MAX),
        rejections_max: REJECTIONS_MAX,
        remaining_ms_min: ATTEMPT_TIME_MS_MIN,
    }
}

/// Returns the time without a byte after which the next attempt is given up.
pub(super) fn stall_timeout_ms(shared: &Shared, state: &AttemptState) -> u64 {
    if retry::is_retry_left(&state.progress, policy(shared), &shared.retry_budget()) {
        return shared.settings.requests.stall_timeout_ms;
    }
    u64::MAX
}

/// Prepares the next attempt.
///
/// # Errors
///
/// Returns the problem to respond with when no further attempt is possible, or `None` when the caller
/// disconnected.
pub(super) fn prepare_retry(
    shared: &Shared,
    call: &Call,
    response: &mut CallerResponse,
    state: &mut AttemptState,
    problem: Problem,
) -> Result<(), Option<Problem>> {
    if let Some(crash) = &problem.crash {
        shared.crashes.record(crash);
    }
    if response.has_begun() {
        state.progress.delivered_tokens = response.tokens();
    }
    if state.progress.asks_again(problem.kind) {
        state.tried.clear();
        sleep_until_retry(shared, call, state.key_poll_interval);
        state.key_poll_interval = KEY_POLL_INTERVAL_MAX.min(state.key_poll_interval * 2);
        return Ok(());
    }
    if problem.kind == ProblemKind::RequestInProgress {
        return Err(Some(problem));
    }
    let lacks_upstream = matches!(
        problem.kind,
        ProblemKind::NoUpstream | ProblemKind::VersionUnavailable
    );
    if lacks_upstream {
        let version = call.required_version.as_ref().or(response.version());
        let waits = state.progress.waits_for_upstream(
            state.no_upstream_retries < NO_UPSTREAM_RETRIES_MAX,
            shared.upstreams.may_return(&call.service, version),
        );
        if waits {
            state.no_upstream_retries += 1;
            return wait_for_retry(shared, call, response);
        }
    }
    state.progress.record_failure(problem.run_state);
    if lacks_upstream {
        return Err(Some(final_problem(response, state, problem)));
    }
    let mut budget_logged = false;
    // The lock on the budget must not be held while the request waits.
    let check = |progress| {
        retry::check_retry(
            progress,
            problem.run_state,
            problem.kind,
            policy(shared),
            &mut shared.retry_budget(),
            shared.clock.now(),
        )
    };
    while let Err(reason) = check(&state.progress) {
        if reason == NoRetryReason::BudgetExhausted && !budget_logged {
            budget_logged = true;
            log_event!(
                masticdock_core::event::RETRY_BUDGET_EXHAUSTED,
                "request {} is not retried now",
                call.request_id
            );
        }
        if !state.progress.outlasts(reason) {
            return Err(Some(final_problem(response, state, problem)));
        }
        wait_for_retry(shared, call, response)?;
    }
    if state.progress.rejections >= REJECTIONS_MAX {
        wait_for_retry(shared, call, response)?;
    }
    shared.metrics.retries.inc();
    if response.has_begun() {
        shared.metrics.resumed.inc();
        log_event!(
            masticdock_core::event::STREAM_RESUMED,
            "request {} resumes at token {}",
            call.request_id,
            response.tokens()
        );
    } else {
        response.reset();
    }
    Ok(())
}

/// Returns the problem to respond with, given the outcomes of all attempts.
fn final_problem(response: &CallerResponse, state: &AttemptState, mut problem: Problem) -> Problem {
    problem.run_state = state.progress.run_state(problem.run_state);
    problem.crash = None;
    if response.has_begun() && problem.kind != ProblemKind::DeadlineExceeded {
        let detail = format_compact!(
            "the stream broke after {} tokens and could not be resumed: {}",
            response.tokens(),
            problem.detail
        );
        return Problem::unknown(ProblemKind::StreamBroken, detail);
    }
    problem
}

/// Waits before a retry that is not possible yet.
///
/// # Errors
///
/// Returns `None` when the caller disconnected, which a failed heartbeat shows.
fn wait_for_retry(
    shared: &Shared,
    call: &Call,
    response: &mut CallerResponse,
) -> Result<(), Option<Problem>> {
    sleep_until_retry(shared, call, RETRY_BACKOFF);
    response.forward_heartbeat().map_err(|_| None)
}

/// Sleeps for `wait`, but not beyond the deadline of the request.
fn sleep_until_retry(shared: &Shared, call: &Call, wait: Duration) {
    let left_ms = call.deadline.since_ms(shared.clock.now());
    std::thread::sleep(wait.min(Duration::from_millis(left_ms)));
}

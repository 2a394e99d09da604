//! Handling of one caller's request from its arrival to its outcome.

use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use masticdock_core::poison::PoisonVerdict;
use masticdock_core::problem::{Problem, ProblemKind, RunState};
use masticdock_core::retry::{self, NoRetryReason, RequestProgress, RetryPolicy};
use tiny_http::Request;

use super::Shared;
use super::admit::{self, Call};
use super::attempt::{self, AttemptOutcome, AttemptParams, CallerDisconnected};
use super::response::CallerResponse;
use super::upstreams::SubsetLoad;
use crate::event_log::log_event;
use crate::request_http::{ReadError, read_body, respond_problem};

/// Maximum number of rejections by agents before a request fails.
const REJECTIONS_MAX: u32 = 16;

/// Minimum time left before the deadline for another attempt to start, in milliseconds.
const ATTEMPT_TIME_MS_MIN: u64 = 2;

/// Time before the next attempt when no upstream can take the request.
const NO_UPSTREAM_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum number of times a request waits for an upstream before it is rejected.
const NO_UPSTREAM_RETRIES_MAX: u32 = 10;

/// Time between two polls of an idempotency key that an earlier attempt of the request claimed.
const IN_PROGRESS_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of polls of a key that an earlier attempt of the request claimed.
const IN_PROGRESS_POLLS_MAX: u32 = 50;

/// Handles one request of a caller.
pub(super) fn handle(shared: &Arc<Shared>, mut request: Request) {
    let arrived = Instant::now();
    let body = match read_body(&mut request, shared.handler_limits) {
        Ok(body) => body,
        Err(ReadError::TooLarge(problem)) => return reject(shared, request, &problem),
        Err(ReadError::Disconnected(error)) => {
            log::debug!("caller disconnected before its request was complete: {error}");
            return;
        }
    };
    let snapshot = shared.control.snapshot();
    let call = match admit::parse(&snapshot.config, &request, body, shared.clock.now()) {
        Ok(call) => call,
        Err(problem) => return reject(shared, request, &problem),
    };
    let load = shared.upstreams.subset_load(&call.service);
    let guard = match shared.limits.try_admit(&call, load) {
        Ok(guard) => guard,
        Err(problem) => {
            let service = call.service.name.as_str();
            let is_shed = matches!(
                problem.kind,
                ProblemKind::Overloaded | ProblemKind::DeadlineUnreachable
            );
            if is_shed && shared.shed_log_throttle.allows(shared.clock.now().0) {
                log_event!(
                    masticdock_core::event::REQUESTS_SHED,
                    "{service}: shed a request of workspace {}: {}",
                    call.workspace.name,
                    problem.detail
                );
            }
            count_outcome(shared, service, Some(&problem));
            respond_problem(request, &problem, &[]);
            return;
        }
    };
    shared.metrics.in_progress.inc();
    let response = CallerResponse::new(request, call.stream, &call.request_id, arrived);
    serve_admitted(shared, &call, response, load, arrived);
    shared.metrics.in_progress.dec();
    drop(guard);
}

fn reject(shared: &Shared, request: Request, problem: &Problem) {
    count_outcome(shared, "", Some(problem));
    respond_problem(request, problem, &[]);
}

/// Counts a finished request by its outcome; `None` stands for a complete response.
fn count_outcome(shared: &Shared, service: &str, problem: Option<&Problem>) {
    let (outcome, kind) = match problem {
        None => ("complete", ""),
        Some(problem) => (problem.run_state.as_str(), problem.kind.slug()),
    };
    shared
        .metrics
        .requests
        .with_label_values(&[service, outcome, kind])
        .inc();
}

/// Runs an admitted request, sends the response and records the outcome.
fn serve_admitted(
    shared: &Arc<Shared>,
    call: &Call,
    mut response: CallerResponse,
    load: SubsetLoad,
    arrived: Instant,
) {
    let service = call.service.name.as_str();
    match run_attempts(shared, call, &mut response) {
        Ok(()) => {
            let first_byte = response.first_byte().unwrap_or_default();
            if load.queued == 0 {
                shared
                    .limits
                    .record_latency(service, first_byte, arrived.elapsed());
            }
            shared
                .metrics
                .first_byte_seconds
                .with_label_values(&[service])
                .observe(first_byte.as_secs_f64());
            shared.retry_budget().record_success();
            count_outcome(shared, service, None);
            response.complete();
        }
        Err(Some(problem)) => {
            if problem.run_state == RunState::Unknown {
                log_event!(
                    masticdock_core::event::REQUEST_OUTCOME_UNKNOWN,
                    "request {} of workspace {} to {service} has an unknown outcome: {}",
                    call.request_id,
                    call.workspace.name,
                    problem.detail
                );
            }
            count_outcome(shared, service, Some(&problem));
            response.fail(&problem);
        }
        Err(None) => {
            shared
                .metrics
                .requests
                .with_label_values(&[service, "caller_gone", ""])
                .inc();
        }
    }
}

/// State that a request carries from one attempt to the next.
struct AttemptState {
    progress: RequestProgress,
    tried: Vec<CompactString>,
    no_upstream_retries: u32,
    in_progress_polls: u32,
}

/// Runs attempts until the response is complete or no further attempt is possible.
///
/// # Errors
///
/// Returns the problem to respond with, or `None` when the caller disconnected.
fn run_attempts(
    shared: &Arc<Shared>,
    call: &Call,
    response: &mut CallerResponse,
) -> Result<(), Option<Problem>> {
    let mut state = AttemptState {
        progress: RequestProgress::new(call.deadline),
        tried: Vec::new(),
        no_upstream_retries: 0,
        in_progress_polls: 0,
    };
    loop {
        let problem = match run_attempt(shared, call, response, &mut state) {
            AttemptOutcome::Complete => return Ok(()),
            AttemptOutcome::CallerDisconnected => return Err(None),
            AttemptOutcome::Failed(problem) => problem,
        };
        prepare_retry(shared, call, response, &mut state, problem).map_err(Some)?;
    }
}

/// Picks an upstream and runs one attempt on it.
fn run_attempt(
    shared: &Arc<Shared>,
    call: &Call,
    response: &mut CallerResponse,
    state: &mut AttemptState,
) -> AttemptOutcome {
    let snapshot = shared.control.snapshot();
    let verdict = shared.crashes.check(call.fingerprint, &snapshot);
    if verdict == PoisonVerdict::Rejected {
        log_event!(
            masticdock_core::event::CRASHING_REQUEST_REJECTED,
            "rejected request with fingerprint {} of workspace {}",
            call.fingerprint,
            call.workspace.name
        );
        return AttemptOutcome::Failed(Problem::not_run(
            ProblemKind::CrashingRequest,
            "this request crashed upstreams and is refused for an hour; do not send it again",
        ));
    }
    let remaining_ms = call.deadline.since_ms(shared.clock.now());
    if remaining_ms == 0 {
        let detail = "the deadline passed before an upstream took the request";
        return AttemptOutcome::Failed(Problem::not_run(ProblemKind::DeadlineExceeded, detail));
    }
    // A response that has begun can be resumed only on the same version.
    let pinned = response.version().filter(|_| response.has_begun()).cloned();
    let required_version = pinned.or_else(|| call.required_version.clone());
    let picked = shared.upstreams.pick(
        &call.service,
        required_version.as_ref(),
        call.prefix.as_deref(),
        &call.request_id,
        &state.tried,
    );
    let Some(guard) = picked else {
        // The next attempt may use upstreams that failed before.
        state.tried.clear();
        return AttemptOutcome::Failed(no_upstream(required_version.is_some()));
    };
    state.tried.push(guard.target.id.clone());
    let params = AttemptParams {
        call,
        required_version: required_version.as_ref(),
        resume_from: response.tokens(),
        suspect: verdict == PoisonVerdict::Suspect,
        remaining_ms,
    };
    let mut stream_problem = None;
    let end = attempt::run(shared, &guard.target, &params, |event, version| {
        if let Err(problem) = response.check_continues(&event) {
            stream_problem = Some(problem);
            return Err(CallerDisconnected);
        }
        response.handle_event(event, version)
    });
    match stream_problem {
        Some(problem) => AttemptOutcome::Failed(problem),
        None => end,
    }
}

/// Returns the problem for a request that no upstream can take; `versioned` tells whether it
/// requires a certain version.
fn no_upstream(versioned: bool) -> Problem {
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

/// Prepares the next attempt.
///
/// # Errors
///
/// Returns the problem to respond with when no further attempt is possible.
fn prepare_retry(
    shared: &Shared,
    call: &Call,
    response: &mut CallerResponse,
    state: &mut AttemptState,
    problem: Problem,
) -> Result<(), Problem> {
    if let Some(crash) = &problem.crash {
        shared.crashes.record(crash);
    }
    let may_have_run = state.progress.may_have_run;
    let own_attempt_running = problem.kind == ProblemKind::RequestInProgress && may_have_run;
    if own_attempt_running && state.in_progress_polls < IN_PROGRESS_POLLS_MAX {
        state.in_progress_polls += 1;
        state.tried.clear();
        sleep_until_retry(shared, call, IN_PROGRESS_POLL_INTERVAL);
        return Ok(());
    }
    if problem.kind == ProblemKind::RequestInProgress {
        return Err(problem);
    }
    let lacks_upstream = matches!(
        problem.kind,
        ProblemKind::NoUpstream | ProblemKind::VersionUnavailable
    );
    if lacks_upstream && state.no_upstream_retries < NO_UPSTREAM_RETRIES_MAX {
        state.no_upstream_retries += 1;
        sleep_until_retry(shared, call, NO_UPSTREAM_BACKOFF);
        return Ok(());
    }
    state.progress.record_failure(problem.run_state);
    if lacks_upstream {
        return Err(final_problem(response, state, problem));
    }
    let policy = RetryPolicy {
        attempts_max: u32::try_from(shared.settings.requests.attempts_max).unwrap_or(u32::MAX),
        rejections_max: REJECTIONS_MAX,
        remaining_ms_min: ATTEMPT_TIME_MS_MIN,
    };
    let decision = retry::check_retry(
        &state.progress,
        problem.run_state,
        problem.kind,
        policy,
        &mut shared.retry_budget(),
        shared.clock.now(),
    );
    if let Err(reason) = decision {
        if reason == NoRetryReason::BudgetExhausted {
            log_event!(
                masticdock_core::event::RETRY_BUDGET_EXHAUSTED,
                "request {} is not retried",
                call.request_id
            );
        }
        return Err(final_problem(response, state, problem));
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

/// Sleeps for `wait`, but not beyond the deadline of the request.
fn sleep_until_retry(shared: &Shared, call: &Call, wait: Duration) {
    let left_ms = call.deadline.since_ms(shared.clock.now());
    std::thread::sleep(wait.min(Duration::from_millis(left_ms)));
}

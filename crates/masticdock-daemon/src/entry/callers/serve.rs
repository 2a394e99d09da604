//! Handling of one caller's request, from its arrival to its one end.

use std::sync::Arc;
use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use masticdock_core::poison::PoisonVerdict;
use masticdock_core::problem::{Problem, ProblemKind, RunState};
use masticdock_core::retry::{self, NoRetryReason, RequestProgress, RetryPolicy};
use tiny_http::Request;

use super::Shared;
use super::admit::{self, Call};
use super::attempt::{self, Ask, AttemptEnd, CallerGone};
use super::response::Output;
use super::upstreams::SubsetLoad;
use crate::event_log::log_event;
use crate::request_http::{ReadError, StreamEvent, read_body, respond_problem};

/// Refusals after which a request is given up.
const REFUSALS_MAX: u32 = 16;

/// Time before the deadline in which no attempt starts any more, in milliseconds.
const ATTEMPT_MS_MIN: u64 = 2;

/// Time to wait for an upstream when none can take the request.
const NO_UPSTREAM_WAIT: Duration = Duration::from_millis(100);

/// Waits for an upstream before the request is refused.
const NO_UPSTREAM_WAITS_MAX: u32 = 10;

/// Time between two looks at a key that an own earlier attempt claimed.
const IN_PROGRESS_WAIT: Duration = Duration::from_millis(200);

/// Looks at a key that an own earlier attempt claimed.
const IN_PROGRESS_LOOKS_MAX: u32 = 50;

/// Handles a request.
pub(super) fn handle(shared: &Arc<Shared>, mut request: Request) {
    let arrived = Instant::now();
    let body = match read_body(&mut request, shared.handler_limits) {
        Ok(body) => body,
        Err(ReadError::TooLarge(problem)) => return refuse(shared, request, &problem),
        Err(ReadError::Disconnected(error)) => {
            log::debug!("a caller went away before its request was whole: {error}");
            return;
        }
    };
    let snapshot = shared.control.snapshot();
    let call = match admit::parse(&snapshot.config, &request, body, shared.clock.now()) {
        Ok(call) => call,
        Err(problem) => return refuse(shared, request, &problem),
    };
    let load = shared.upstreams.subset_load(&call.service);
    let guard = match shared.limits.enter(&call, load) {
        Ok(guard) => guard,
        Err(problem) => {
            let service = call.service.name.as_str();
            let shed = matches!(
                problem.kind,
                ProblemKind::Overloaded | ProblemKind::DeadlineUnreachable
            );
            if shed && shared.shed.allows(shared.clock.now().0) {
                log_event!(
                    masticdock_core::event::REQUESTS_SHED,
                    "{service}: a request of {}: {}",
                    call.workspace.name,
                    problem.detail
                );
            }
            count(shared, service, Some(&problem));
            respond_problem(request, &problem, &[]);
            return;
        }
    };
    shared.metrics.in_progress.inc();
    let output = Output::new(request, call.stream, &call.request_id, arrived);
    run(shared, &call, output, load, arrived);
    shared.metrics.in_progress.dec();
    drop(guard);
}

fn refuse(shared: &Shared, request: Request, problem: &Problem) {
    count(shared, "", Some(problem));
    respond_problem(request, problem, &[]);
}

fn count(shared: &Shared, service: &str, problem: Option<&Problem>) {
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

fn run(shared: &Arc<Shared>, call: &Call, mut output: Output, load: SubsetLoad, arrived: Instant) {
    let service = call.service.name.as_str();
    match attempts(shared, call, &mut output) {
        Ok(()) => {
            let first_byte = output.first_byte().unwrap_or_default();
            if load.queued == 0 {
                shared.limits.learn(service, first_byte, arrived.elapsed());
            }
            shared
                .metrics
                .first_byte_seconds
                .with_label_values(&[service])
                .observe(first_byte.as_secs_f64());
            shared.budget().record_success();
            count(shared, service, None);
            output.complete();
        }
        Err(Some(problem)) => {
            if problem.run_state == RunState::Unknown {
                log_event!(
                    masticdock_core::event::REQUEST_OUTCOME_UNKNOWN,
                    "request {} of {} to {service}: {}",
                    call.request_id,
                    call.workspace.name,
                    problem.detail
                );
            }
            count(shared, service, Some(&problem));
            output.fail(&problem);
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

/// State of a request between its attempts.
struct Attempts {
    progress: RequestProgress,
    tried: Vec<CompactString>,
    waits: u32,
    looks: u32,
}

/// Tries until the answer is complete, nothing more can be tried, or the caller
/// is gone (`Err(None)`).
fn attempts(shared: &Arc<Shared>, call: &Call, output: &mut Output) -> Result<(), Option<Problem>> {
    let mut state = Attempts {
        progress: RequestProgress::new(call.deadline),
        tried: Vec::new(),
        waits: 0,
        looks: 0,
    };
    loop {
        let problem = match one_attempt(shared, call, output, &mut state) {
            AttemptEnd::Complete => return Ok(()),
            AttemptEnd::CallerGone => return Err(None),
            AttemptEnd::Failed(problem) => problem,
        };
        next_step(shared, call, output, &mut state, problem).map_err(Some)?;
    }
}

fn one_attempt(
    shared: &Arc<Shared>,
    call: &Call,
    output: &mut Output,
    state: &mut Attempts,
) -> AttemptEnd {
    let snapshot = shared.control.snapshot();
    let suspicion = shared.crashes.suspicion(call.fingerprint, &snapshot);
    if suspicion == PoisonVerdict::Rejected {
        log_event!(
            masticdock_core::event::CRASHING_REQUEST_REJECTED,
            "fingerprint {} of {} is refused",
            call.fingerprint,
            call.workspace.name
        );
        return AttemptEnd::Failed(Problem::not_run(
            ProblemKind::CrashingRequest,
            "this request crashed upstreams and is refused for an hour; do not send it again",
        ));
    }
    let remaining_ms = call.deadline.since_ms(shared.clock.now());
    if remaining_ms == 0 {
        let detail = "the deadline passed before an upstream took the request";
        return AttemptEnd::Failed(Problem::not_run(ProblemKind::DeadlineExceeded, detail));
    }
    // A begun answer continues on its version alone.
    let pinned = output.version().filter(|_| output.has_begun()).cloned();
    let wanted = pinned.or_else(|| call.wanted.clone());
    let picked = shared.upstreams.pick(
        &call.service,
        wanted.as_ref(),
        call.prefix.as_deref(),
        &call.request_id,
        &state.tried,
    );
    let Some(guard) = picked else {
        // The next round may use upstreams that failed before.
        state.tried.clear();
        return AttemptEnd::Failed(no_upstream(wanted.is_some()));
    };
    state.tried.push(guard.target.id.clone());
    let ask = Ask {
        call,
        wanted: wanted.as_ref(),
        resume_from: output.tokens(),
        suspect: suspicion == PoisonVerdict::Suspect,
        remaining_ms,
    };
    let mut mixed = None;
    let end = attempt::run(shared, &guard.target, &ask, |event, version| {
        if let StreamEvent::Token(token) = &event
            && let Err(problem) = output.continues(token)
        {
            mixed = Some(problem);
            return Err(CallerGone);
        }
        output.take(event, version)
    });
    match mixed {
        Some(problem) => AttemptEnd::Failed(problem),
        None => end,
    }
}

fn no_upstream(wanted: bool) -> Problem {
    let problem = if wanted {
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

/// Prepares the next attempt, or returns the problem that ends the request.
fn next_step(
    shared: &Shared,
    call: &Call,
    output: &mut Output,
    state: &mut Attempts,
    problem: Problem,
) -> Result<(), Problem> {
    if let Some(crash) = &problem.crash {
        shared.crashes.record(crash);
    }
    let may_have_run = state.progress.may_have_run;
    let waits_for_own = problem.kind == ProblemKind::RequestInProgress && may_have_run;
    if waits_for_own && state.looks < IN_PROGRESS_LOOKS_MAX {
        state.looks += 1;
        state.tried.clear();
        pause(shared, call, IN_PROGRESS_WAIT);
        return Ok(());
    }
    if problem.kind == ProblemKind::RequestInProgress {
        return Err(problem);
    }
    let none_left = matches!(
        problem.kind,
        ProblemKind::NoUpstream | ProblemKind::VersionUnavailable
    );
    if none_left && state.waits < NO_UPSTREAM_WAITS_MAX {
        state.waits += 1;
        pause(shared, call, NO_UPSTREAM_WAIT);
        return Ok(());
    }
    state.progress.record_failure(problem.run_state);
    if none_left {
        return Err(ended(output, state, problem));
    }
    let rules = RetryPolicy {
        attempts_max: u32::try_from(shared.settings.requests.attempts_max).unwrap_or(u32::MAX),
        rejections_max: REFUSALS_MAX,
        remaining_ms_min: ATTEMPT_MS_MIN,
    };
    let decision = retry::check_retry(
        &state.progress,
        problem.run_state,
        problem.kind,
        rules,
        &mut shared.budget(),
        shared.clock.now(),
    );
    if let Err(reason) = decision {
        if reason == NoRetryReason::BudgetExhausted {
            log_event!(
                masticdock_core::event::RETRY_BUDGET_EXHAUSTED,
                "request {} is not tried again",
                call.request_id
            );
        }
        return Err(ended(output, state, problem));
    }
    shared.metrics.retries.inc();
    if output.has_begun() {
        shared.metrics.resumed.inc();
        log_event!(
            masticdock_core::event::STREAM_RESUMED,
            "request {} at token {}",
            call.request_id,
            output.tokens()
        );
    } else {
        output.restart();
    }
    Ok(())
}

/// Returns the problem that the caller gets in the end.
fn ended(output: &Output, state: &Attempts, mut problem: Problem) -> Problem {
    problem.run_state = state.progress.run_state(problem.run_state);
    problem.crash = None;
    if output.has_begun() && problem.kind != ProblemKind::DeadlineExceeded {
        let detail = format_compact!(
            "the stream broke after {} tokens and could not be resumed: {}",
            output.tokens(),
            problem.detail
        );
        return Problem::unknown(ProblemKind::StreamBroken, detail);
    }
    problem
}

fn pause(shared: &Shared, call: &Call, wait: Duration) {
    let left_ms = call.deadline.since_ms(shared.clock.now());
    std::thread::sleep(wait.min(Duration::from_millis(left_ms)));
}

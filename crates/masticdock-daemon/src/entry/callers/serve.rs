//! Handling of one caller's request from its arrival to its outcome.

use std::sync::Arc;
use std::time::Instant;

use masticdock_core::poison::PoisonVerdict;
use masticdock_core::problem::{Problem, ProblemKind, RunState};
use tiny_http::Request;

use super::Shared;
use super::admit::{self, Call};
use super::attempt::{self, AttemptOutcome, AttemptParams, CallerDisconnected};
use super::response::CallerResponse;
use super::retries::{self, AttemptState};
use super::upstreams::SubsetLoad;
use crate::event_log::log_event;
use crate::request_http::{ReadError, read_body, respond_problem};

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
    let mut state = AttemptState::new(call);
    loop {
        let problem = match run_attempt(shared, call, response, &mut state) {
            AttemptOutcome::Complete => return Ok(()),
            AttemptOutcome::CallerDisconnected => return Err(None),
            AttemptOutcome::Failed(problem) => problem,
        };
        retries::prepare_retry(shared, call, response, &mut state, problem)?;
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
        return AttemptOutcome::Failed(retries::no_upstream(required_version.is_some()));
    };
    state.tried.push(guard.target.id.clone());
    let params = AttemptParams {
        call,
        required_version: required_version.as_ref(),
        resume_from: response.tokens(),
        suspect: verdict == PoisonVerdict::Suspect,
        remaining_ms,
        stall_timeout_ms: retries::stall_timeout_ms(shared, state).min(remaining_ms),
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

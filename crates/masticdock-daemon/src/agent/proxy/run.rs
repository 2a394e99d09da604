//! Handling of one request from an entry.

use compact_str::{CompactString, format_compact};
use masticdock_core::ids::VmId;
use masticdock_core::ledger::StoredResponse;
use masticdock_core::membership::{Liveness, Role};
use masticdock_core::problem::{PROBLEM_MEDIA_TYPE, Problem, ProblemKind, RunState};
use tiny_http::Request;

use super::Shared;
use super::claims::{Claim, ClaimOutcome};
use super::engine::{self, CallOutcome, EventSink};
use super::now_unix_ms;
use super::plain;
use super::run_request::{self, RunRequest};
use super::running::RunningGuard;
use crate::agent::RequestGuard;
use crate::event_log::log_event;
use crate::request_http::{
    EventWriter, HeartbeatStream, PlainResponse, ReadError, StreamEvent, header_name, read_body,
    respond_problem,
};

/// Reads a request, runs it and sends its response.
pub(super) fn handle_request(shared: &Shared, mut request: Request) {
    let body = match read_body(&mut request, shared.limits) {
        Ok(body) => body,
        Err(ReadError::TooLarge(problem)) => return reject(shared, request, &problem),
        Err(ReadError::Disconnected(error)) => {
            log::debug!("entry disconnected before it had sent the whole request: {error}");
            return;
        }
    };
    let parsed = match run_request::parse(shared, &request, body) {
        Ok(parsed) => parsed,
        Err(problem) => return reject(shared, request, &problem),
    };
    let admitted = match admit(shared, parsed) {
        Ok(admitted) => admitted,
        Err(problem) => return reject(shared, request, &problem),
    };
    stream_response(shared, request, &admitted);
}

/// Responds with a problem and the load of the upstream.
fn reject(shared: &Shared, request: Request, problem: &Problem) {
    count_request(shared, Some(problem));
    let load = shared.running.load(&shared.gate).to_json();
    respond_problem(request, problem, &[(header_name::LOAD, load)]);
}

/// Counts an ended request; `problem` is `None` if it completed.
fn count_request(shared: &Shared, problem: Option<&Problem>) {
    let (outcome, kind) = match problem {
        None => ("complete", ""),
        Some(problem) => (problem.run_state.as_str(), problem.kind.slug()),
    };
    shared
        .metrics
        .requests
        .with_label_values(&[outcome, kind])
        .inc();
}

/// Request that the gate has admitted; its guards count it as in progress.
struct AdmittedRequest {
    request: RunRequest,
    in_progress: RequestGuard,
    running: RunningGuard,
}

/// Checks the deadline, the gate and the limit on suspects.
fn admit(shared: &Shared, request: RunRequest) -> Result<AdmittedRequest, Problem> {
    if request.remaining().is_zero() {
        return Err(Problem::not_run(
            ProblemKind::DeadlineExceeded,
            "the deadline passed before the request reached the upstream",
        ));
    }
    let in_progress = shared
        .gate
        .enter(request.requested_version.as_ref())
        .map_err(|rejection| run_request::rejection_problem(&rejection))?;
    let Some(running) = shared.running.track(request.fingerprint, request.suspect) else {
        return Err(Problem::not_run(
            ProblemKind::SuspectRunning,
            "another request that may crash the upstream runs here",
        ));
    };
    Ok(AdmittedRequest {
        request,
        in_progress,
        running,
    })
}

/// Runs an admitted request and sends its events.
///
/// Heartbeats are written while the request waits; a failed write shows that the
/// entry has disconnected.
fn stream_response(shared: &Shared, request: Request, admitted: &AdmittedRequest) {
    let mut headers = vec![(
        header_name::LOAD,
        shared.running.load(&shared.gate).to_json(),
    )];
    if let Some(version) = admitted.in_progress.version() {
        headers.push((header_name::VERSION, version.to_string()));
    }
    let Ok(writer) = EventWriter::begin(request, &headers) else {
        return;
    };
    let stream = shared.heartbeats.register(writer);
    shared.metrics.in_progress.inc();
    let problem = match &admitted.request.key {
        None => run_idempotent(shared, admitted, &stream).err(),
        Some(key) => run_claimed(shared, admitted, key.as_str(), &stream),
    };
    count_request(shared, problem.as_ref());
    stream.finish(&match problem {
        None => StreamEvent::Done,
        Some(problem) => StreamEvent::Problem(Box::new(problem)),
    });
    shared.metrics.in_progress.dec();
}

/// Claims the key of a non-idempotent request and runs the request if the claim is
/// held. Returns the problem to send, if any.
fn run_claimed(
    shared: &Shared,
    admitted: &AdmittedRequest,
    key: &str,
    stream: &HeartbeatStream,
) -> Option<Problem> {
    let is_vm_alive = |vm: &VmId| is_agent_alive(shared, vm);
    let timer = shared.metrics.claim_seconds.start_timer();
    let outcome = shared.claims.claim(&admitted.request, key, is_vm_alive);
    timer.observe_duration();
    let claim = match outcome {
        ClaimOutcome::Held(claim) => claim,
        ClaimOutcome::Rejected(problem) => {
            let unavailable = problem.kind == ProblemKind::TableUnavailable;
            if unavailable && shared.keys_unavailable_throttle.allows(now_unix_ms()) {
                log_event!(
                    masticdock_core::event::REQUEST_KEYS_UNAVAILABLE,
                    "{}",
                    problem.detail
                );
            }
            return Some(problem);
        }
        ClaimOutcome::Recorded(response) => return replay(response, stream),
    };
    if stream.is_disconnected() || admitted.request.remaining().is_zero() {
        shared.claims.release(claim);
        return Some(Problem::not_run(
            ProblemKind::DeadlineExceeded,
            "the deadline passed or the entry went away before the request ran",
        ));
    }
    // From here on the request runs to completion, even if the entry disconnects.
    let result = run_buffered(shared, admitted);
    settle_claim(shared, claim, result, stream)
}

/// Sends a stored response; if it is a stored problem, returns the problem instead.
fn replay(response: StoredResponse, stream: &HeartbeatStream) -> Option<Problem> {
    if response.content_type == PROBLEM_MEDIA_TYPE
        && let Ok(problem) = serde_json::from_str::<Problem>(&response.body)
    {
        return Some(problem);
    }
    stream.write(&StreamEvent::Response(PlainResponse {
        status: response.status,
        content_type: response.content_type.to_string(),
        body: response.body,
    }));
    None
}

/// Records the outcome of a request and sends its response, or releases the claim of a
/// request that was not run. Returns the problem to send, if any.
fn settle_claim(
    shared: &Shared,
    claim: Claim,
    result: Result<StoredResponse, Problem>,
    stream: &HeartbeatStream,
) -> Option<Problem> {
    match result {
        Ok(response) => {
            // Recorded before it is sent, so that a caller that retries gets the response.
            shared.claims.record_outcome(claim, response.clone());
            replay(response, stream)
        }
        Err(problem) if problem.run_state == RunState::NotRun => {
            shared.claims.release(claim);
            Some(problem)
        }
        Err(problem) => {
            let stored = StoredResponse {
                status: problem.kind.status(),
                content_type: CompactString::const_new(PROBLEM_MEDIA_TYPE),
                version: None,
                body: problem.to_json(),
            };
            shared.claims.record_outcome(claim, stored);
            Some(problem)
        }
    }
}

/// Returns true if the agent of `vm` is alive or suspect in the member list.
fn is_agent_alive(shared: &Shared, vm: &VmId) -> bool {
    shared.control.snapshot().members.iter().any(|member| {
        member.role == Role::Agent
            && member.id == vm.as_str()
            && matches!(member.liveness, Liveness::Alive | Liveness::Suspect)
    })
}

/// Runs an idempotent request and sends its events as they arrive.
fn run_idempotent(
    shared: &Shared,
    admitted: &AdmittedRequest,
    stream: &HeartbeatStream,
) -> Result<(), Problem> {
    run_once(shared, admitted, &mut |event| {
        stream.write(&event);
        !stream.is_disconnected()
    })
}

/// Runs a request on the upstream and passes its events to `sink`.
fn run_once(
    shared: &Shared,
    admitted: &AdmittedRequest,
    sink: &mut EventSink<'_>,
) -> Result<(), Problem> {
    let upstream = &shared.settings.upstream;
    let request = &admitted.request;
    let call_outcome = if upstream.engine {
        let version = admitted.in_progress.version();
        engine::call(&upstream.url, request, version, sink)
    } else {
        match plain::call(&upstream.url, request) {
            Ok(answer) => {
                sink(StreamEvent::Response(answer));
                CallOutcome::Complete
            }
            Err(call_outcome) => call_outcome,
        }
    };
    call_result(shared, admitted, call_outcome)
}

/// Runs a non-idempotent request to completion and returns the whole response.
fn run_buffered(shared: &Shared, admitted: &AdmittedRequest) -> Result<StoredResponse, Problem> {
    let mut events = Vec::new();
    run_once(shared, admitted, &mut |event| {
        events.push(event);
        true
    })?;
    let version = admitted.in_progress.version();
    let mut text = String::new();
    let mut tokens: u64 = 0;
    for event in events {
        match event {
            StreamEvent::Response(answer) => {
                return Ok(StoredResponse {
                    status: answer.status,
                    content_type: CompactString::from(answer.content_type),
                    version: version.map(|version| CompactString::new(version.as_str())),
                    body: answer.body,
                });
            }
            StreamEvent::Token(token) => {
                text.push_str(&token.text);
                tokens += 1;
            }
            StreamEvent::Problem(_) | StreamEvent::Heartbeat | StreamEvent::Done => {}
        }
    }
    let body = serde_json::json!({ "text": text, "version": version, "tokens": tokens });
    Ok(StoredResponse {
        status: 200,
        content_type: CompactString::const_new("application/json"),
        version: version.map(|version| CompactString::new(version.as_str())),
        body: body.to_string(),
    })
}

/// Returns the problem of a call that did not complete, and reports a crash of the
/// upstream.
fn call_result(
    shared: &Shared,
    admitted: &AdmittedRequest,
    call_outcome: CallOutcome,
) -> Result<(), Problem> {
    match call_outcome {
        CallOutcome::Complete => Ok(()),
        CallOutcome::Failed(problem) => Err(problem),
        CallOutcome::Cancelled => Err(Problem::unknown(
            ProblemKind::StreamBroken,
            "the entry went away",
        )),
        CallOutcome::Broken(reason) => {
            let request = &admitted.request;
            if let Some(crash) = shared.running.report_if_crashed(&admitted.running) {
                return Err(Problem::unknown(
                    ProblemKind::UpstreamCrashed,
                    "the upstream died while it ran the request",
                )
                .with_crash(crash));
            }
            if request.remaining().is_zero() {
                return Err(Problem::unknown(
                    ProblemKind::DeadlineExceeded,
                    "the deadline passed while the upstream ran",
                ));
            }
            Err(Problem::unknown(
                ProblemKind::UpstreamError,
                format_compact!("the connection to the upstream broke: {reason}"),
            ))
        }
    }
}

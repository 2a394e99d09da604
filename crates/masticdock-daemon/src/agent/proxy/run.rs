//! Handling of one request from an entry.

use compact_str::{CompactString, format_compact};
use masticdock_core::ids::VmId;
use masticdock_core::ledger::StoredResponse;
use masticdock_core::membership::{Liveness, Role};
use masticdock_core::problem::{PROBLEM_MEDIA_TYPE, Problem, ProblemKind, RunState};
use tiny_http::Request;

use super::Shared;
use super::admit::{self, RunRequest};
use super::claims::{Claim, ClaimOutcome};
use super::engine::{self, CallEnd, Sink};
use super::now_unix_ms;
use super::plain;
use super::running::RunningGuard;
use crate::agent::RequestGuard;
use crate::event_log::log_event;
use crate::request_http::{
    EventWriter, HeartbeatStream, PlainResponse, ReadError, StreamEvent, header_name, read_body,
    respond_problem,
};

/// Handles a request from its arrival to its last byte.
pub(super) fn handle(shared: &Shared, mut request: Request) {
    let body = match read_body(&mut request, shared.limits) {
        Ok(body) => body,
        Err(ReadError::TooLarge(problem)) => return refuse(shared, request, &problem),
        Err(ReadError::Disconnected(error)) => {
            log::debug!("an entry went away before its request was whole: {error}");
            return;
        }
    };
    let run_request = match admit::parse(shared, &request, body) {
        Ok(run_request) => run_request,
        Err(problem) => return refuse(shared, request, &problem),
    };
    let admitted = match admit(shared, run_request) {
        Ok(admitted) => admitted,
        Err(problem) => return refuse(shared, request, &problem),
    };
    stream(shared, request, &admitted);
}

fn refuse(shared: &Shared, request: Request, problem: &Problem) {
    count(shared, Some(problem));
    let load = shared.running.load(&shared.gate).to_json();
    respond_problem(request, problem, &[(header_name::LOAD, load)]);
}

fn count(shared: &Shared, problem: Option<&Problem>) {
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

struct Admitted {
    request: RunRequest,
    in_progress: RequestGuard,
    running: RunningGuard,
}

fn admit(shared: &Shared, request: RunRequest) -> Result<Admitted, Problem> {
    if request.remaining().is_zero() {
        return Err(Problem::not_run(
            ProblemKind::DeadlineExceeded,
            "the deadline passed before the request reached the upstream",
        ));
    }
    let in_progress = shared
        .gate
        .enter(request.wanted.as_ref())
        .map_err(|refusal| admit::refusal_problem(&refusal))?;
    let Some(running) = shared.running.enter(request.fingerprint, request.suspect) else {
        return Err(Problem::not_run(
            ProblemKind::SuspectRunning,
            "another request that may crash the upstream runs here",
        ));
    };
    Ok(Admitted {
        request,
        in_progress,
        running,
    })
}

/// Runs an admitted request; signs of life are written while it waits, and a
/// failed write is how a departed entry is noticed.
fn stream(shared: &Shared, request: Request, admitted: &Admitted) {
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
    count(shared, problem.as_ref());
    stream.finish(&match problem {
        None => StreamEvent::Done,
        Some(problem) => StreamEvent::Problem(Box::new(problem)),
    });
    shared.metrics.in_progress.dec();
}

fn run_claimed(
    shared: &Shared,
    admitted: &Admitted,
    key: &str,
    stream: &HeartbeatStream,
) -> Option<Problem> {
    let alive = |vm: &VmId| is_alive(shared, vm);
    let timer = shared.metrics.claim_seconds.start_timer();
    let outcome = shared.claims.claim(&admitted.request, key, alive);
    timer.observe_duration();
    let claim = match outcome {
        ClaimOutcome::Held(claim) => claim,
        ClaimOutcome::Refused(problem) => {
            let unavailable = problem.kind == ProblemKind::TableUnavailable;
            if unavailable && shared.keys_unavailable.allows(now_unix_ms()) {
                log_event!(
                    masticdock_core::event::REQUEST_KEYS_UNAVAILABLE,
                    "{}",
                    problem.detail
                );
            }
            return Some(problem);
        }
        ClaimOutcome::Answer(response) => return replay(response, stream),
    };
    if stream.is_disconnected() || admitted.request.remaining().is_zero() {
        shared.claims.release(claim);
        return Some(Problem::not_run(
            ProblemKind::DeadlineExceeded,
            "the deadline passed or the entry went away before the request ran",
        ));
    }
    // From here on the request runs to its end, whoever still listens.
    let run = run_buffered(shared, admitted);
    settle(shared, claim, run, stream)
}

/// Sends the answer of an earlier attempt; a stored failure is a problem again.
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

fn settle(
    shared: &Shared,
    claim: Claim,
    run: Result<StoredResponse, Problem>,
    stream: &HeartbeatStream,
) -> Option<Problem> {
    match run {
        Ok(response) => {
            // Recorded before it is sent: a caller that resends finds the answer.
            shared.claims.done(claim, response.clone());
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
            shared.claims.done(claim, stored);
            Some(problem)
        }
    }
}

fn is_alive(shared: &Shared, vm: &VmId) -> bool {
    shared.control.snapshot().members.iter().any(|member| {
        member.role == Role::Agent
            && member.id == vm.as_str()
            && matches!(member.liveness, Liveness::Alive | Liveness::Suspect)
    })
}

/// Runs an idempotent request and passes its events on as they come.
fn run_idempotent(
    shared: &Shared,
    admitted: &Admitted,
    stream: &HeartbeatStream,
) -> Result<(), Problem> {
    run_once(shared, admitted, &mut |event| {
        stream.write(&event);
        !stream.is_disconnected()
    })
}

fn run_once(shared: &Shared, admitted: &Admitted, sink: &mut Sink<'_>) -> Result<(), Problem> {
    let upstream = &shared.settings.upstream;
    let request = &admitted.request;
    let end = if upstream.engine {
        let version = admitted.in_progress.version();
        engine::call(&upstream.url, request, version, sink)
    } else {
        match plain::call(&upstream.url, request) {
            Ok(answer) => {
                sink(StreamEvent::Response(answer));
                CallEnd::Complete
            }
            Err(end) => end,
        }
    };
    conclude(shared, admitted, end)
}

/// Runs a non-idempotent request to its end and returns the whole answer.
fn run_buffered(shared: &Shared, admitted: &Admitted) -> Result<StoredResponse, Problem> {
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

fn conclude(shared: &Shared, admitted: &Admitted, end: CallEnd) -> Result<(), Problem> {
    match end {
        CallEnd::Complete => Ok(()),
        CallEnd::Failed(problem) => Err(problem),
        CallEnd::Cancelled => Err(Problem::unknown(
            ProblemKind::StreamBroken,
            "the entry went away",
        )),
        CallEnd::Broken(reason) => {
            let request = &admitted.request;
            if let Some(crash) = shared.running.report_if_crashed(&admitted.running) {
                return Err(Problem::unknown(
                    ProblemKind::UpstreamCrashed,
                    "the engine died while it ran the request",
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

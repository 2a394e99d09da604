//! One attempt to run a request on one agent.

use std::io::{ErrorKind, Read as _};
use std::time::Duration;

use attohttpc::ProxySettings;
use compact_str::format_compact;
use masticdock_core::ids::VersionId;
use masticdock_core::problem::{Problem, ProblemKind};

use super::admit::Call;
use super::upstreams::Target;
use super::{Shared, now_unix_ms};
use crate::agent::proxy::LoadReport;
use crate::request_http::{AGENT_EVENT_BYTES_MAX, EventReader, MacInput, StreamEvent, header_name};

/// Timeout for connecting to an agent; a live one accepts within a round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of the problem with which an agent rejects a request.
const PROBLEM_BYTES_MAX: u64 = 64 << 10;

/// Parameters of one attempt.
pub(super) struct AttemptParams<'a> {
    pub(super) call: &'a Call,
    pub(super) required_version: Option<&'a VersionId>,
    pub(super) resume_from: u64,
    pub(super) suspect: bool,
    pub(super) remaining_ms: u64,
    /// Time without a byte after which the attempt counts as stalled.
    pub(super) stall_timeout_ms: u64,
}

/// Outcome of an attempt.
pub(super) enum AttemptOutcome {
    /// The response is complete.
    Complete,
    /// The attempt failed; the problem says whether the request may have run.
    Failed(Problem),
    /// The caller disconnected.
    CallerDisconnected,
}

/// Error of an event handler whose caller disconnected.
pub(super) struct CallerDisconnected;

fn headers(params: &AttemptParams<'_>) -> Vec<(&'static str, String)> {
    let call = params.call;
    let mut headers = vec![
        (header_name::REQUEST_ID, call.request_id.to_string()),
        (header_name::WORKSPACE, call.workspace.name.to_string()),
        (header_name::DEADLINE_MS, params.remaining_ms.to_string()),
        (header_name::PRIORITY, call.priority.as_str().to_owned()),
        (header_name::IDEMPOTENT, call.key.is_none().to_string()),
        (header_name::RESUME_FROM, params.resume_from.to_string()),
        (header_name::SUSPECT, params.suspect.to_string()),
        (header_name::SENT_AT, now_unix_ms().to_string()),
    ];
    if let Some(key) = &call.key {
        headers.push((header_name::IDEMPOTENCY_KEY, key.to_string()));
    }
    if let Some(version) = params.required_version {
        headers.push((header_name::VERSION, version.to_string()));
    }
    headers
}

/// Sends the request to `target` and calls `on_event` for each event of the response.
pub(super) fn run(
    shared: &Shared,
    target: &Target,
    params: &AttemptParams<'_>,
    mut on_event: impl FnMut(StreamEvent, Option<&VersionId>) -> Result<(), CallerDisconnected>,
) -> AttemptOutcome {
    let path = format!("/v1/run/{}", params.call.service_path);
    let headers = headers(params);
    let mac = MacInput::from_sent("POST", &path, &headers, &params.call.body).mac(&shared.auth_key);
    let stall_timeout = Duration::from_millis(params.stall_timeout_ms.max(1));
    let mut builder = attohttpc::post(format!("http://{}{path}", target.addr))
        .connect_timeout(CONNECT_TIMEOUT.min(stall_timeout))
        .read_timeout(stall_timeout)
        .follow_redirects(false)
        .proxy_settings(ProxySettings::builder().build())
        .header(header_name::AUTH, mac.to_hex().as_str());
    for (name, value) in &headers {
        builder = builder.header(*name, value.as_str());
    }
    let response = match builder.bytes(&params.call.body).send() {
        Ok(response) => response,
        Err(error) => return AttemptOutcome::Failed(send_error_problem(shared, target, &error)),
    };
    let (status, response_headers, body) = response.split();
    let header = |name: &str| response_headers.get(name)?.to_str().ok();
    if let Some(load) = header(header_name::LOAD).and_then(|text| serde_json::from_str(text).ok()) {
        let load: LoadReport = load;
        shared.upstreams.apply_report(&target.id, &load);
    }
    if status.as_u16() != 200 {
        return AttemptOutcome::Failed(read_rejection(status.as_u16(), body));
    }
    let version = header(header_name::VERSION).and_then(|text| text.parse().ok());
    let reader = EventReader::new(body, AGENT_EVENT_BYTES_MAX);
    forward_events(shared, target, reader, |event| {
        on_event(event, version.as_ref())
    })
}

/// Passes events on until the response ends, the stream breaks or the caller disconnects.
fn forward_events<R: std::io::Read>(
    shared: &Shared,
    target: &Target,
    mut reader: EventReader<R>,
    mut on_event: impl FnMut(StreamEvent) -> Result<(), CallerDisconnected>,
) -> AttemptOutcome {
    loop {
        match reader.next_event() {
            Ok(StreamEvent::Done) => return AttemptOutcome::Complete,
            Ok(StreamEvent::Problem(problem)) => return AttemptOutcome::Failed(*problem),
            Ok(event) => {
                if on_event(event).is_err() {
                    return AttemptOutcome::CallerDisconnected;
                }
            }
            Err(error) => {
                shared.upstreams.avoid(&target.id);
                return AttemptOutcome::Failed(connection_problem(&error));
            }
        }
    }
}

/// Returns the problem for a broken connection, after which the request may have run.
fn connection_problem(error: &std::io::Error) -> Problem {
    match error.kind() {
        ErrorKind::TimedOut | ErrorKind::WouldBlock => Problem::unknown(
            ProblemKind::UpstreamStalled,
            "the agent sent nothing for too long",
        ),
        _ => Problem::unknown(
            ProblemKind::UpstreamError,
            format_compact!("the connection to the agent broke: {error}"),
        ),
    }
}

/// Classifies a failure to send the request. The request is known not to have run only when no
/// connection was established.
fn send_error_problem(shared: &Shared, target: &Target, error: &attohttpc::Error) -> Problem {
    shared.upstreams.avoid(&target.id);
    let attohttpc::ErrorKind::Io(io) = error.kind() else {
        return Problem::unknown(
            ProblemKind::UpstreamError,
            format_compact!("the agent's answer cannot be understood: {error}"),
        );
    };
    match io.kind() {
        ErrorKind::ConnectionRefused
        | ErrorKind::HostUnreachable
        | ErrorKind::NetworkUnreachable
        | ErrorKind::AddrNotAvailable => Problem::not_run(
            ProblemKind::UpstreamUnreachable,
            format_compact!("no connection to the agent: {error}"),
        ),
        _ => connection_problem(io),
    }
}

/// Reads the problem from the response of an agent that rejected the request.
fn read_rejection(status: u16, body: attohttpc::ResponseReader) -> Problem {
    let no_problem = || {
        Problem::unknown(
            ProblemKind::UpstreamError,
            format_compact!("the agent answered status {status} without a problem"),
        )
    };
    let body = body.take(PROBLEM_BYTES_MAX);
    serde_json::from_reader(body).unwrap_or_else(|_| no_problem())
}

//! One attempt at one agent.

use std::io::ErrorKind;
use std::time::Duration;

use attohttpc::ProxySettings;
use compact_str::format_compact;
use masticdock_core::ids::VersionId;
use masticdock_core::problem::{Problem, ProblemKind};

use super::admit::Call;
use super::upstreams::Target;
use super::{Shared, now_unix_ms};
use crate::agent::proxy::LoadReport;
use crate::request_http::{EventReader, MacInput, StreamEvent, header_name};

/// Time to connect to an agent; a live one accepts within a round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What one attempt is asked for.
pub(super) struct Ask<'a> {
    pub(super) call: &'a Call,
    pub(super) wanted: Option<&'a VersionId>,
    pub(super) resume_from: u64,
    pub(super) suspect: bool,
    pub(super) remaining_ms: u64,
}

/// How an attempt ended.
pub(super) enum AttemptEnd {
    /// The answer is complete.
    Complete,
    /// It failed; the problem says whether this attempt can have run anything.
    Failed(Problem),
    /// The caller went away.
    CallerGone,
}

/// Tells that the caller went away.
pub(super) struct CallerGone;

fn headers(ask: &Ask<'_>) -> Vec<(&'static str, String)> {
    let call = ask.call;
    let mut headers = vec![
        (header_name::REQUEST_ID, call.request_id.to_string()),
        (header_name::WORKSPACE, call.workspace.name.to_string()),
        (header_name::DEADLINE_MS, ask.remaining_ms.to_string()),
        (header_name::PRIORITY, call.priority.as_str().to_owned()),
        (header_name::IDEMPOTENT, call.key.is_none().to_string()),
        (header_name::RESUME_FROM, ask.resume_from.to_string()),
        (header_name::SUSPECT, ask.suspect.to_string()),
        (header_name::SENT_AT, now_unix_ms().to_string()),
    ];
    if let Some(key) = &call.key {
        headers.push((header_name::IDEMPOTENCY_KEY, key.to_string()));
    }
    if let Some(version) = ask.wanted {
        headers.push((header_name::VERSION, version.to_string()));
    }
    headers
}

/// Sends the request to `target` and passes each event on.
pub(super) fn run(
    shared: &Shared,
    target: &Target,
    ask: &Ask<'_>,
    mut on_event: impl FnMut(StreamEvent, Option<&VersionId>) -> Result<(), CallerGone>,
) -> AttemptEnd {
    let path = format!("/v1/run/{}", ask.call.service_path);
    let headers = headers(ask);
    let mac = MacInput::from_sent("POST", &path, &headers, &ask.call.body).mac(&shared.peer_key);
    let stall_ms = shared.settings.requests.stall_timeout_ms;
    let silence = Duration::from_millis(stall_ms.min(ask.remaining_ms).max(1));
    let mut builder = attohttpc::post(format!("http://{}{path}", target.addr))
        .connect_timeout(CONNECT_TIMEOUT.min(silence))
        .read_timeout(silence)
        .follow_redirects(false)
        .proxy_settings(ProxySettings::builder().build())
        .header(header_name::AUTH, mac.to_hex().as_str());
    for (name, value) in &headers {
        builder = builder.header(*name, value.as_str());
    }
    let response = match builder.bytes(&ask.call.body).send() {
        Ok(response) => response,
        Err(error) => return AttemptEnd::Failed(send_problem(shared, target, &error)),
    };
    let (status, response_headers, body) = response.split();
    let header = |name: &str| response_headers.get(name)?.to_str().ok();
    if let Some(load) = header(header_name::LOAD).and_then(|text| serde_json::from_str(text).ok()) {
        let load: LoadReport = load;
        shared.upstreams.report(&target.id, &load);
    }
    if status.as_u16() != 200 {
        return AttemptEnd::Failed(refusal(status.as_u16(), body));
    }
    let version = header(header_name::VERSION).and_then(|text| text.parse().ok());
    pass_on(shared, target, EventReader::new(body), |event| {
        on_event(event, version.as_ref())
    })
}

fn pass_on<R: std::io::Read>(
    shared: &Shared,
    target: &Target,
    mut reader: EventReader<R>,
    mut on_event: impl FnMut(StreamEvent) -> Result<(), CallerGone>,
) -> AttemptEnd {
    loop {
        match reader.next_event() {
            Ok(StreamEvent::Done) => return AttemptEnd::Complete,
            Ok(StreamEvent::Problem(problem)) => return AttemptEnd::Failed(*problem),
            Ok(event) => {
                if on_event(event).is_err() {
                    return AttemptEnd::CallerGone;
                }
            }
            Err(error) => {
                shared.upstreams.avoid(&target.id);
                return AttemptEnd::Failed(broken(&error));
            }
        }
    }
}

fn broken(error: &std::io::Error) -> Problem {
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

/// Only a connection that was never made is known to have carried no byte.
fn send_problem(shared: &Shared, target: &Target, error: &attohttpc::Error) -> Problem {
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
        _ => broken(io),
    }
}

/// Reads the problem of an agent that refused.
fn refusal(status: u16, body: attohttpc::ResponseReader) -> Problem {
    let unreadable = || {
        Problem::unknown(
            ProblemKind::UpstreamError,
            format_compact!("the agent answered status {status} without a problem"),
        )
    };
    let Ok(text) = body.text_utf8() else {
        return unreadable();
    };
    serde_json::from_str(&text).unwrap_or_else(|_| unreadable())
}

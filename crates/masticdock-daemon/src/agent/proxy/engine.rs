//! Calls to a model engine.

use std::time::Duration;

use attohttpc::ProxySettings;
use compact_str::format_compact;
use masticdock_core::ids::VersionId;
use masticdock_core::limiter::Priority;
use masticdock_core::problem::{Problem, ProblemKind};
use serde_json::{Value, json};

use super::admit::RunRequest;
use crate::request_http::{EventReader, PlainResponse, StreamEvent, header_name};

/// Time to connect to the upstream, which runs on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest error text kept from an upstream.
const ERROR_TEXT_LEN: usize = 300;

/// Takes the events of a call; returns false once the entry went away.
pub(super) type Sink<'a> = dyn FnMut(StreamEvent) -> bool + 'a;

/// How a call to the upstream ended.
pub(super) enum CallEnd {
    /// The answer is complete.
    Complete,
    /// The request failed; the problem says whether it ran.
    Failed(Problem),
    /// The connection broke; the upstream may have died.
    Broken(String),
    /// The entry went away.
    Cancelled,
}

/// Builds a call without redirects and proxies.
pub(super) fn prepare(url: &str, request: &RunRequest) -> attohttpc::RequestBuilder {
    let mut builder = attohttpc::post(url)
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(request.remaining().max(Duration::from_millis(1)))
        .follow_redirects(false)
        .proxy_settings(ProxySettings::builder().build())
        .header(header_name::REQUEST_ID, request.request_id.as_str())
        .header(header_name::WORKSPACE, request.workspace.as_str())
        .header(header_name::PRIORITY, request.priority.as_str())
        .header(
            header_name::DEADLINE_MS,
            request.remaining().as_millis().to_string(),
        );
    if let Some(key) = &request.key {
        builder = builder.header(header_name::IDEMPOTENCY_KEY, key.as_str());
    }
    builder
}

/// Returns how a call failed to get a response; only a refused connection is
/// known to have sent nothing.
pub(super) fn send_failure(error: &attohttpc::Error) -> CallEnd {
    if let attohttpc::ErrorKind::Io(io) = error.kind()
        && io.kind() == std::io::ErrorKind::ConnectionRefused
    {
        return CallEnd::Failed(Problem::not_run(
            ProblemKind::UpstreamUnreachable,
            "the upstream refused the connection",
        ));
    }
    CallEnd::Broken(error.to_string())
}

/// Returns the number by which engines order their queue.
const fn rank(priority: Priority) -> i32 {
    match priority {
        Priority::Low => -1,
        Priority::Normal => 0,
        Priority::High => 1,
    }
}

fn completion_body(request: &RunRequest) -> Result<Vec<u8>, Problem> {
    let parsed: Result<Value, _> = serde_json::from_slice(&request.body);
    let Ok(Value::Object(mut fields)) = parsed else {
        return Err(Problem::not_run(
            ProblemKind::BadRequest,
            "send a JSON object with `prompt` and `max_tokens`",
        ));
    };
    fields.insert("stream".to_owned(), json!(true));
    fields.insert("priority".to_owned(), json!(rank(request.priority)));
    fields.insert("resume_from".to_owned(), json!(request.resume_from));
    Ok(Value::Object(fields).to_string().into_bytes())
}

/// Runs a completion and passes its tokens on.
pub(super) fn call(
    base_url: &str,
    request: &RunRequest,
    version: Option<&VersionId>,
    sink: &mut Sink<'_>,
) -> CallEnd {
    let body = match completion_body(request) {
        Ok(body) => body,
        Err(problem) => return CallEnd::Failed(problem),
    };
    let sent = prepare(&format!("{base_url}/v1/completions"), request)
        .header("Content-Type", "application/json")
        .header("Accept", "text/event-stream")
        .bytes(body)
        .send();
    let response = match sent {
        Ok(response) => response,
        Err(error) => return send_failure(&error),
    };
    let status = response.status().as_u16();
    if status != 200 {
        return refused(status, response.text_utf8().unwrap_or_default(), sink);
    }
    let (_, _, body) = response.split();
    pass_on(EventReader::new(body), request, version, sink)
}

/// Handles an engine's answer other than a stream.
fn refused(status: u16, text: String, sink: &mut Sink<'_>) -> CallEnd {
    let start: String = text.chars().take(ERROR_TEXT_LEN).collect();
    let detail = format_compact!("the engine answered {status}: {start}");
    match status {
        // An engine refuses before it runs anything.
        429 | 503 => CallEnd::Failed(Problem::not_run(ProblemKind::Overloaded, detail)),
        400..=499 => {
            let answer = StreamEvent::Response(PlainResponse {
                status,
                content_type: "application/json".to_owned(),
                body: text,
            });
            sink(answer);
            CallEnd::Complete
        }
        _ => CallEnd::Failed(Problem::unknown(ProblemKind::UpstreamError, detail)),
    }
}

fn pass_on<R: std::io::Read>(
    mut reader: EventReader<R>,
    request: &RunRequest,
    version: Option<&VersionId>,
    sink: &mut Sink<'_>,
) -> CallEnd {
    let mut expected = request.resume_from;
    loop {
        if request.remaining().is_zero() {
            return CallEnd::Failed(Problem::unknown(
                ProblemKind::DeadlineExceeded,
                "the deadline passed while the engine ran",
            ));
        }
        let event = match reader.next_event() {
            Ok(event) => event,
            Err(error) if error.kind() == std::io::ErrorKind::InvalidData => {
                return CallEnd::Failed(Problem::unknown(
                    ProblemKind::UpstreamError,
                    format_compact!("{error}"),
                ));
            }
            Err(error) => return CallEnd::Broken(error.to_string()),
        };
        match event {
            StreamEvent::Token(token) => {
                if version.is_some_and(|version| *version != token.version)
                    || token.index != expected
                {
                    return CallEnd::Failed(Problem::unknown(
                        ProblemKind::UpstreamError,
                        "the engine sent a token of another version or out of order",
                    ));
                }
                expected += 1;
                // Returning drops the connection, which cancels the work in the engine.
                if !sink(StreamEvent::Token(token)) {
                    return CallEnd::Cancelled;
                }
            }
            StreamEvent::Done => return CallEnd::Complete,
            StreamEvent::Heartbeat => {}
            StreamEvent::Response(_) | StreamEvent::Problem(_) => {
                return CallEnd::Failed(Problem::unknown(
                    ProblemKind::UpstreamError,
                    "the engine ended its stream with an error",
                ));
            }
        }
    }
}

//! Calls to a model engine.

use std::time::Duration;

use attohttpc::{ProxySettings, Response};
use compact_str::format_compact;
use masticdock_core::ids::VersionId;
use masticdock_core::limiter::Priority;
use masticdock_core::problem::{Problem, ProblemKind};
use serde_json::{Value, json};

use super::body::{read_error_text, read_response};
use super::run_request::RunRequest;
use crate::request_http::{
    ENGINE_EVENT_BYTES_MAX, EventReader, PlainResponse, StreamEvent, header_name,
};

/// Timeout for connecting to the upstream, which runs on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum length of the excerpt of an engine's error text in a problem.
const ERROR_EXCERPT_CHARS_MAX: usize = 300;

/// Receives the events of a call; returns false once the entry has disconnected.
pub(super) type EventSink<'a> = dyn FnMut(StreamEvent) -> bool + 'a;

/// Outcome of a call to the upstream.
pub(super) enum CallOutcome {
    /// The response is complete.
    Complete,
    /// The request failed; the problem states whether it ran.
    Failed(Problem),
    /// The connection to the upstream failed; the upstream may have crashed.
    Broken(String),
    /// The entry disconnected.
    Cancelled,
}

/// Returns a call to the upstream that follows no redirects and uses no proxy.
pub(super) fn request_builder(url: &str, request: &RunRequest) -> attohttpc::RequestBuilder {
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

/// Classifies the error of a call that got no response.
///
/// Only if the connection was refused is it certain that nothing was sent.
pub(super) fn classify_send_error(error: &attohttpc::Error) -> CallOutcome {
    if let attohttpc::ErrorKind::Io(io) = error.kind()
        && io.kind() == std::io::ErrorKind::ConnectionRefused
    {
        return CallOutcome::Failed(Problem::not_run(
            ProblemKind::UpstreamUnreachable,
            "the upstream refused the connection",
        ));
    }
    CallOutcome::Broken(error.to_string())
}

/// Returns the number by which engines sort their queue.
const fn engine_priority(priority: Priority) -> i32 {
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
    fields.insert(
        "priority".to_owned(),
        json!(engine_priority(request.priority)),
    );
    fields.insert("resume_from".to_owned(), json!(request.resume_from));
    Ok(Value::Object(fields).to_string().into_bytes())
}

/// Runs a completion and forwards its tokens to `sink`.
pub(super) fn call(
    base_url: &str,
    request: &RunRequest,
    version: Option<&VersionId>,
    sink: &mut EventSink<'_>,
) -> CallOutcome {
    let body = match completion_body(request) {
        Ok(body) => body,
        Err(problem) => return CallOutcome::Failed(problem),
    };
    let result = request_builder(&format!("{base_url}/v1/completions"), request)
        .header("Content-Type", "application/json")
        .header("Accept", "text/event-stream")
        .bytes(body)
        .send();
    let response = match result {
        Ok(response) => response,
        Err(error) => return classify_send_error(&error),
    };
    let status = response.status().as_u16();
    if status != 200 {
        return handle_error_status(status, response, sink);
    }
    let (_, _, body) = response.split();
    let reader = EventReader::new(body, ENGINE_EVENT_BYTES_MAX);
    forward_events(reader, request, version, sink)
}

/// Handles an engine's response with a status other than 200.
fn handle_error_status(status: u16, response: Response, sink: &mut EventSink<'_>) -> CallOutcome {
    let is_answer = matches!(status, 400..=499) && status != 429;
    if is_answer {
        return match read_response(response) {
            Ok(answer) => {
                sink(StreamEvent::Response(PlainResponse {
                    content_type: "application/json".to_owned(),
                    ..answer
                }));
                CallOutcome::Complete
            }
            Err(outcome) => outcome,
        };
    }
    let text = read_error_text(response);
    let excerpt: String = text.chars().take(ERROR_EXCERPT_CHARS_MAX).collect();
    let detail = format_compact!("the engine answered {status}: {excerpt}");
    // An engine rejects a request with these statuses before it runs any of it.
    CallOutcome::Failed(if matches!(status, 429 | 503) {
        Problem::not_run(ProblemKind::Overloaded, detail)
    } else {
        Problem::unknown(ProblemKind::UpstreamError, detail)
    })
}

/// Forwards the tokens of a stream, and checks their version and order.
fn forward_events<R: std::io::Read>(
    mut reader: EventReader<R>,
    request: &RunRequest,
    version: Option<&VersionId>,
    sink: &mut EventSink<'_>,
) -> CallOutcome {
    let mut expected_index = request.resume_from;
    loop {
        if request.remaining().is_zero() {
            return CallOutcome::Failed(Problem::unknown(
                ProblemKind::DeadlineExceeded,
                "the deadline passed while the engine ran",
            ));
        }
        let event = match reader.next_event() {
            Ok(event) => event,
            Err(error) if error.kind() == std::io::ErrorKind::InvalidData => {
                return CallOutcome::Failed(Problem::unknown(
                    ProblemKind::UpstreamError,
                    format_compact!("{error}"),
                ));
            }
            Err(error) => return CallOutcome::Broken(error.to_string()),
        };
        match event {
            StreamEvent::Token(token) => {
                if version.is_some_and(|version| *version != token.version)
                    || token.index != expected_index
                {
                    return CallOutcome::Failed(Problem::unknown(
                        ProblemKind::UpstreamError,
                        "the engine sent a token of another version or out of order",
                    ));
                }
                expected_index += 1;
                // Returning closes the connection, which cancels the request in the engine.
                if !sink(StreamEvent::Token(token)) {
                    return CallOutcome::Cancelled;
                }
            }
            StreamEvent::Done => return CallOutcome::Complete,
            StreamEvent::Heartbeat => {}
            StreamEvent::Response(_) | StreamEvent::Problem(_) => {
                return CallOutcome::Failed(Problem::unknown(
                    ProblemKind::UpstreamError,
                    "the engine ended its stream with an error",
                ));
            }
        }
    }
}

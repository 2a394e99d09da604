//! Parsing and validation of callers' requests.

use compact_str::{CompactString, format_compact};
use masticdock_core::config_log::ConfigState;
use masticdock_core::ids::{Digest, RequestKey, VersionId};
use masticdock_core::limiter::Priority;
use masticdock_core::poison::Fingerprint;
use masticdock_core::problem::{Problem, ProblemKind};
use masticdock_core::resource::{Service, ServiceKind, Workspace};
use masticdock_core::units::MonoMs;
use serde_json::Value;
use tiny_http::{Header, Method, Request};

use crate::request_http::{header_name, header_value, parse_header};

/// Number of leading prompt bytes that determine prefix affinity.
const PREFIX_BYTES_MAX: usize = 256;

/// A validated request of a caller.
pub(super) struct Call {
    pub(super) request_id: CompactString,
    pub(super) workspace: Workspace,
    pub(super) service: Service,
    /// Name of the service followed by the rest of the path.
    pub(super) service_path: String,
    pub(super) deadline: MonoMs,
    pub(super) priority: Priority,
    /// Idempotency key; set for non-idempotent requests only.
    pub(super) key: Option<RequestKey>,
    pub(super) required_version: Option<VersionId>,
    /// True when the caller asked for server-sent events.
    pub(super) stream: bool,
    /// Workspace and prompt prefix that determine prefix affinity; `None` for plain services.
    pub(super) prefix: Option<Vec<u8>>,
    pub(super) fingerprint: Fingerprint,
    pub(super) body: Vec<u8>,
}

fn bad_request(detail: impl Into<CompactString>) -> Problem {
    Problem::not_run(ProblemKind::BadRequest, detail)
}

fn optional_header<T: std::str::FromStr>(
    headers: &[Header],
    name: &'static str,
) -> Result<Option<T>, Problem> {
    parse_header(headers, name)
        .map_err(|name| bad_request(format_compact!("the header {name} is malformed")))
}

/// Returns the caller's request id when it is valid, or else a random one.
fn request_id(headers: &[Header]) -> CompactString {
    let received = header_value(headers, header_name::REQUEST_ID)
        .and_then(|text| text.parse::<RequestKey>().ok());
    match received {
        Some(id) => id.into(),
        None => format_compact!("{:032x}", rand::random::<u128>()),
    }
}

/// Returns the workspace that the bearer token belongs to.
///
/// # Errors
///
/// Returns a problem when the token is missing or belongs to no workspace.
pub(super) fn authenticate<'a>(
    config: &'a ConfigState,
    headers: &[Header],
) -> Result<&'a Workspace, Problem> {
    let unauthorized = |detail: &str| Problem::not_run(ProblemKind::Unauthorized, detail);
    let token = header_value(headers, header_name::AUTHORIZATION)
        .and_then(|text| text.strip_prefix("Bearer "))
        .ok_or_else(|| unauthorized("send `Authorization: Bearer <workspace token>`"))?;
    let digest = Digest::of(token.trim().as_bytes());
    config
        .workspaces()
        .find(|workspace| workspace.token_digest == digest)
        .ok_or_else(|| unauthorized("the token belongs to no workspace"))
}

/// Parses a request and validates it against the configuration.
///
/// # Errors
///
/// Returns the problem to respond with; the request was not run.
pub(super) fn parse(
    config: &ConfigState,
    request: &Request,
    body: Vec<u8>,
    now: MonoMs,
) -> Result<Call, Problem> {
    if config.revision().0 == 0 {
        return Err(
            Problem::not_run(ProblemKind::NotReady, "no configuration was adopted yet")
                .with_retry_after_s(1),
        );
    }
    let headers = request.headers();
    let workspace = authenticate(config, headers)?;
    if *request.method() != Method::Post {
        return Err(Problem::not_run(
            ProblemKind::MethodNotAllowed,
            "use POST /v1/<service>",
        ));
    }
    let path = request.url().split('?').next().unwrap_or("");
    let service_path = path.strip_prefix("/v1/").unwrap_or("");
    let service_name = service_path.split('/').next().unwrap_or("");
    let service = service_name
        .parse()
        .ok()
        .and_then(|id| config.service(&id))
        .ok_or_else(|| {
            Problem::not_run(
                ProblemKind::UnknownService,
                "post to /v1/<service> with the name of a configured service",
            )
        })?;
    let deadline_ms: Option<u64> = optional_header(headers, header_name::DEADLINE_MS)?;
    let deadline_ms = deadline_ms.map_or(service.timeout_ms, |ms| ms.min(service.timeout_ms));
    let declared: Option<bool> = optional_header(headers, header_name::IDEMPOTENT)?;
    // A caller may mark a request as non-idempotent, but cannot declare a request of a
    // non-idempotent service idempotent.
    let idempotent = service.idempotent && declared.unwrap_or(true);
    let key: Option<RequestKey> = optional_header(headers, header_name::IDEMPOTENCY_KEY)?;
    if !idempotent && key.is_none() {
        return Err(Problem::not_run(
            ProblemKind::KeyRequired,
            "send an Idempotency-Key that is unique for the request and the same in each resend",
        ));
    }
    let engine = service.upstream == ServiceKind::Engine;
    let (stream, prefix) = if engine {
        read_completion(workspace, &body)?
    } else {
        (false, None)
    };
    Ok(Call {
        request_id: request_id(headers),
        fingerprint: Fingerprint::of(workspace.name.as_str(), service_path, &body),
        workspace: workspace.clone(),
        service: service.clone(),
        service_path: service_path.to_owned(),
        deadline: now.plus_ms(deadline_ms),
        priority: optional_header(headers, header_name::PRIORITY)?.unwrap_or_default(),
        key: key.filter(|_| !idempotent),
        required_version: optional_header(headers, header_name::VERSION)?,
        stream: stream && idempotent,
        prefix,
        body,
    })
}

type Prefix = Option<Vec<u8>>;

/// Returns whether the caller asked for a stream, and the prefix-affinity key.
fn read_completion(workspace: &Workspace, body: &[u8]) -> Result<(bool, Prefix), Problem> {
    let Ok(Value::Object(fields)) = serde_json::from_slice(body) else {
        return Err(bad_request(
            "send a JSON object with `prompt` and `max_tokens`",
        ));
    };
    let Some(prompt) = fields.get("prompt").and_then(Value::as_str) else {
        return Err(bad_request("the field `prompt` is missing or no text"));
    };
    let stream = fields.get("stream").and_then(Value::as_bool);
    let mut prefix = workspace.name.as_str().as_bytes().to_vec();
    prefix.push(0);
    prefix.extend(prompt.as_bytes().iter().take(PREFIX_BYTES_MAX));
    Ok((stream.unwrap_or(false), Some(prefix)))
}

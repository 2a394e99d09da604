//! Reading and checking of callers' requests.

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

/// Bytes of the prompt that decide about prefix affinity.
const PREFIX_LEN: usize = 256;

/// A checked request of a caller.
pub(super) struct Call {
    pub(super) request_id: CompactString,
    pub(super) workspace: Workspace,
    pub(super) service: Service,
    /// Service and the rest of the path.
    pub(super) service_path: String,
    pub(super) deadline: MonoMs,
    pub(super) priority: Priority,
    /// Set for non-idempotent requests.
    pub(super) key: Option<RequestKey>,
    pub(super) wanted: Option<VersionId>,
    /// True when the caller wants server-sent events.
    pub(super) stream: bool,
    /// What decides about prefix affinity; `None` for plain services.
    pub(super) prefix: Option<Vec<u8>>,
    pub(super) fingerprint: Fingerprint,
    pub(super) body: Vec<u8>,
}

fn bad(detail: impl Into<CompactString>) -> Problem {
    Problem::not_run(ProblemKind::BadRequest, detail)
}

fn optional<T: std::str::FromStr>(
    headers: &[Header],
    name: &'static str,
) -> Result<Option<T>, Problem> {
    parse_header(headers, name)
        .map_err(|name| bad(format_compact!("the header {name} is malformed")))
}

/// Returns the caller's id of the request when it is a valid name, else a fresh one.
fn request_id(headers: &[Header]) -> CompactString {
    let given = header_value(headers, header_name::REQUEST_ID)
        .and_then(|text| text.parse::<RequestKey>().ok());
    match given {
        Some(id) => id.into(),
        None => format_compact!("{:032x}", rand::random::<u128>()),
    }
}

/// Finds the workspace of the bearer token.
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

/// Checks a request against the configuration.
///
/// # Errors
///
/// Returns the problem that answers the request; it was not run.
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
    let deadline_ms: Option<u64> = optional(headers, header_name::DEADLINE_MS)?;
    let deadline_ms = deadline_ms.map_or(service.timeout_ms, |ms| ms.min(service.timeout_ms));
    let marked: Option<bool> = optional(headers, header_name::IDEMPOTENT)?;
    // A caller may ask for more care than the service, never for less.
    let idempotent = service.idempotent && marked.unwrap_or(true);
    let key: Option<RequestKey> = optional(headers, header_name::IDEMPOTENCY_KEY)?;
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
        priority: optional(headers, header_name::PRIORITY)?.unwrap_or_default(),
        key: key.filter(|_| !idempotent),
        wanted: optional(headers, header_name::VERSION)?,
        stream: stream && idempotent,
        prefix,
        body,
    })
}

type Prefix = Option<Vec<u8>>;

fn read_completion(workspace: &Workspace, body: &[u8]) -> Result<(bool, Prefix), Problem> {
    let Ok(Value::Object(fields)) = serde_json::from_slice(body) else {
        return Err(bad("send a JSON object with `prompt` and `max_tokens`"));
    };
    let Some(prompt) = fields.get("prompt").and_then(Value::as_str) else {
        return Err(bad("the field `prompt` is missing or no text"));
    };
    let stream = fields.get("stream").and_then(Value::as_bool);
    let mut prefix = workspace.name.as_str().as_bytes().to_vec();
    prefix.push(0);
    prefix.extend(prompt.as_bytes().iter().take(PREFIX_LEN));
    Ok((stream.unwrap_or(false), Some(prefix)))
}

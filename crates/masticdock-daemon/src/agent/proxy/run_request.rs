//! Authentication and parsing of requests from entries.

use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use masticdock_core::ids::{RequestKey, ServiceId, VersionId, WorkspaceId};
use masticdock_core::limiter::Priority;
use masticdock_core::poison::Fingerprint;
use masticdock_core::problem::{Problem, ProblemKind};
use tiny_http::{Header, Request};

use super::{Shared, now_unix_ms};
use crate::agent::Rejection;
use crate::request_http::{MacInput, header_name, header_value, parse_header};

/// Prefix of the path to which entries send requests.
const RUN_PATH_PREFIX: &str = "/v1/run/";

/// Deadline of a request without a deadline header.
const DEADLINE_DEFAULT_MS: u64 = 120_000;

/// Authenticated request from an entry.
pub(super) struct RunRequest {
    pub(super) request_id: CompactString,
    pub(super) workspace: WorkspaceId,
    pub(super) service: ServiceId,
    /// Name of the service and the rest of the path.
    pub(super) service_path: String,
    pub(super) deadline: Instant,
    pub(super) priority: Priority,
    /// Idempotency key; set for non-idempotent requests only.
    pub(super) key: Option<RequestKey>,
    /// Version that has to serve the request, if the entry requires one.
    pub(super) requested_version: Option<VersionId>,
    /// Index of the first token to send.
    pub(super) resume_from: u64,
    /// True if the request is suspected of crashing upstreams.
    pub(super) suspect: bool,
    pub(super) fingerprint: Fingerprint,
    pub(super) body: Vec<u8>,
}

impl RunRequest {
    /// Returns the time left until the deadline.
    pub(super) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }
}

fn bad_request(detail: impl Into<CompactString>) -> Problem {
    Problem::not_run(ProblemKind::BadRequest, detail)
}

fn bad_header(name: &'static str) -> Problem {
    bad_request(format_compact!("the header {name} is missing or malformed"))
}

fn required_header<T: std::str::FromStr>(
    headers: &[Header],
    name: &'static str,
) -> Result<T, Problem> {
    parse_header(headers, name)
        .ok()
        .flatten()
        .ok_or_else(|| bad_header(name))
}

fn optional_header<T: std::str::FromStr>(
    headers: &[Header],
    name: &'static str,
) -> Result<Option<T>, Problem> {
    parse_header(headers, name).map_err(bad_header)
}

/// Authenticates and parses a request.
///
/// # Errors
///
/// Returns the problem to send as the response; the request was not run.
pub(super) fn parse(
    shared: &Shared,
    request: &Request,
    body: Vec<u8>,
) -> Result<RunRequest, Problem> {
    let headers = request.headers();
    let path = request.url();
    let mac = MacInput::from_received(request.method().as_str(), path, headers, &body);
    if !mac.verify(
        &shared.peer_key,
        header_value(headers, header_name::AUTH),
        now_unix_ms(),
    ) {
        return Err(Problem::not_run(
            ProblemKind::Unauthorized,
            "check that peer_key_file and the clock are the same on entry and agent",
        ));
    }
    let Some(service_path) = path.strip_prefix(RUN_PATH_PREFIX) else {
        return Err(bad_request("send requests to /v1/run/<service>"));
    };
    let service_name = service_path.split('/').next().unwrap_or("");
    let Ok(service) = service_name.parse::<ServiceId>() else {
        return Err(bad_request("the path names no service"));
    };
    if !shared.settings.upstream.services.contains(&service) {
        return Err(Problem::not_run(
            ProblemKind::UnknownService,
            format_compact!("this upstream does not answer for {service}"),
        ));
    }
    let workspace: WorkspaceId = required_header(headers, header_name::WORKSPACE)?;
    let deadline_ms =
        optional_header(headers, header_name::DEADLINE_MS)?.unwrap_or(DEADLINE_DEFAULT_MS);
    let idempotent = optional_header(headers, header_name::IDEMPOTENT)?.unwrap_or(true);
    let mut key = None;
    if !idempotent {
        key = Some(required_header(headers, header_name::IDEMPOTENCY_KEY)?);
    }
    Ok(RunRequest {
        request_id: required_header(headers, header_name::REQUEST_ID)?,
        fingerprint: Fingerprint::of(workspace.as_str(), service_path, &body),
        workspace,
        service,
        service_path: service_path.to_owned(),
        deadline: Instant::now() + Duration::from_millis(deadline_ms),
        priority: optional_header(headers, header_name::PRIORITY)?.unwrap_or_default(),
        key,
        requested_version: optional_header(headers, header_name::VERSION)?,
        resume_from: optional_header(headers, header_name::RESUME_FROM)?.unwrap_or(0),
        suspect: optional_header(headers, header_name::SUSPECT)?.unwrap_or(false),
        body,
    })
}

/// Returns the problem to send for a request that the gate did not admit.
pub(super) fn rejection_problem(rejection: &Rejection) -> Problem {
    match rejection {
        Rejection::NotServing => Problem::not_run(
            ProblemKind::NotServing,
            "the upstream holds no version; another one is tried",
        ),
        Rejection::Draining => Problem::not_run(
            ProblemKind::Draining,
            "the upstream ends its requests before it switches versions",
        ),
        Rejection::Leaving => Problem::not_run(
            ProblemKind::Leaving,
            "the upstream takes no new work because it is leaving",
        ),
        Rejection::WrongVersion { serving } => {
            let serving = serving.as_ref().map_or("none", VersionId::as_str);
            Problem::not_run(
                ProblemKind::WrongVersion,
                format_compact!("the version in service is {serving}"),
            )
        }
    }
}

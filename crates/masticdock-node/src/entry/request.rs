//! The way of one request: route, admit, send, repeat, answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HOST};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use masticdock_adapter::{CallerHead, parse_caller_head};
use masticdock_core::ids::{ServiceId, UpstreamId, WorkspaceId};
use masticdock_core::serving::{
    AttemptHistory, AttemptOutcome, Configuration, NextStep, Route, RouteMatch, next_step,
};
use tokio::time::{Instant, timeout_at};

use super::answer::AnswerBody;
use super::attempt::{Outcome, attempt};
use super::candidates::{Chosen, NoPlace, Wanted, choose};
use super::connections::InUse;
use super::outcome::{finish, no_room, pass_on, reject};
use super::relay;
use super::state::Entry;
use crate::clock;
use crate::metrics::metrics;

/// Time after SIGTERM from which new requests are rejected, in milliseconds:
/// what begins later may not end within the grace period.
const STOPPING_ACCEPTS_MS: u64 = 3_000;
/// Advice to callers of an entry that cannot serve, in milliseconds.
const NOT_READY_RETRY_MS: u64 = 500;
/// Time that a caller without a deadline waits, in milliseconds.
const DEADLINE_DEFAULT_MS: u64 = 30_000;

/// A request with its route.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) head: CallerHead,
    pub(crate) method: Method,
    pub(crate) path: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Route,
    pub(crate) service: ServiceId,
    pub(crate) workspace: Option<WorkspaceId>,
    pub(crate) priority: u8,
    pub(crate) arrived: Instant,
    /// When a final answer is due: the caller's deadline or the route's timeout.
    pub(crate) deadline: Instant,
    pub(crate) returning: bool,
    pub(crate) configuration: Rc<Configuration>,
}

impl Call {
    /// Returns the time left, in milliseconds.
    pub(crate) fn left_ms(&self) -> u64 {
        let left = self.deadline.saturating_duration_since(Instant::now());
        u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the time since the request arrived, in milliseconds.
    pub(crate) fn age_ms(&self) -> u64 {
        u64::try_from(self.arrived.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Answers one request of a caller.
pub(crate) async fn handle(
    entry: Rc<Entry>,
    request: Request<Incoming>,
    in_use: InUse,
) -> Response<AnswerBody> {
    let arrived = Instant::now();
    let (parts, body) = request.into_parts();
    let head = parse_caller_head(&parts.headers);
    let request_id = head.request_id.clone();
    let Some(configuration) = entry.configuration().filter(|_| entry.serves()) else {
        return reject(
            &request_id,
            StatusCode::SERVICE_UNAVAILABLE,
            "not_ready",
            Some(NOT_READY_RETRY_MS),
            in_use,
        );
    };
    let host = match parts.uri.authority() {
        Some(authority) => Some(authority.as_str()),
        None => parts.headers.get(HOST).and_then(|host| host.to_str().ok()),
    };
    let matched = configuration.find(
        host.unwrap_or_default(),
        parts.uri.path(),
        head.api_key.as_deref(),
    );
    let (route, workspace) = match matched {
        RouteMatch::Route { route, workspace } => (route.clone(), workspace.cloned()),
        RouteMatch::NoRoute => {
            return reject(&request_id, StatusCode::NOT_FOUND, "no_route", None, in_use);
        }
        RouteMatch::UnknownKey => {
            return reject(
                &request_id,
                StatusCode::UNAUTHORIZED,
                "unknown_key",
                None,
                in_use,
            );
        }
    };
    let deadline_ms = head.deadline_ms.unwrap_or(DEADLINE_DEFAULT_MS);
    let deadline = arrived + Duration::from_millis(deadline_ms.min(route.timeout_ms));
    let body_bytes_max = configuration.limits.body_bytes_max;
    let body = match read_body(&parts.headers, body, body_bytes_max, deadline).await {
        Ok(body) => body,
        Err((status, reason)) => return reject(&request_id, status, reason, None, in_use),
    };
    let service = route.choose_service(rand::random()).clone();
    let returning = entry.is_returning(&route.name, deadline_ms);
    let priority = workspace
        .as_ref()
        .and_then(|workspace| workspace.priority)
        .unwrap_or(route.priority);
    let call = Call {
        head,
        method: parts.method,
        path: path_of(&parts.uri),
        headers: parts.headers,
        body,
        service,
        workspace: workspace.map(|workspace| workspace.id),
        priority,
        arrived,
        deadline,
        returning,
        route,
        configuration: Rc::clone(&configuration),
    };
    serve(entry, call, in_use).await
}

/// Returns the path and query as the caller sent them.
fn path_of(uri: &Uri) -> Uri {
    uri.path_and_query()
        .and_then(|path| Uri::builder().path_and_query(path.clone()).build().ok())
        .unwrap_or_else(|| uri.clone())
}

async fn read_body(
    headers: &HeaderMap,
    body: Incoming,
    bytes_max: usize,
    deadline: Instant,
) -> Result<Bytes, (StatusCode, &'static str)> {
    let declared: Option<usize> = headers
        .get(CONTENT_LENGTH)
        .and_then(|length| length.to_str().ok()?.parse().ok());
    if declared.is_some_and(|length| length > bytes_max) {
        return Err((StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"));
    }
    let collected = timeout_at(deadline, Limited::new(body, bytes_max).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err((StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"))
        }
        Ok(Err(_)) => Err((StatusCode::BAD_REQUEST, "body_unreadable")),
        Err(_) => Err((StatusCode::REQUEST_TIMEOUT, "body_too_slow")),
    }
}

/// Attempts of one request that failed.
#[derive(Debug, Default)]
pub(crate) struct Failures {
    /// What they mean for the next one.
    pub(crate) made: AttemptHistory,
    /// Their upstreams.
    pub(crate) upstreams: Vec<UpstreamId>,
}

impl Failures {
    /// Notes and counts an attempt that failed.
    pub(crate) fn record(&mut self, upstream: &UpstreamId, end: AttemptOutcome) {
        self.made.record(end);
        self.upstreams.push(upstream.clone());
        metrics().attempts.with_label_values(&[end.as_str()]).inc();
    }
}

/// Sends a request until it has an answer.
async fn serve(entry: Rc<Entry>, call: Call, in_use: InUse) -> Response<AnswerBody> {
    entry.with_budget(&call.service, |budget| budget.record_request(clock::now()));
    let mut failures = Failures::default();
    let mut last_error = None;
    loop {
        let chosen = match place(&entry, &call, &failures.upstreams) {
            Ok(chosen) => chosen,
            Err(no_place) => {
                let made = &failures.made;
                return no_room(&entry, &call, made, no_place, last_error, in_use);
            }
        };
        if failures.made == AttemptHistory::default() {
            entry.record_admission(&call.service, false);
        }
        let (end, error) = match attempt(&entry, &call, &chosen, None).await {
            Outcome::Whole(head, body) => {
                let made = &failures.made;
                return pass_on(&call, "answered", Some(&chosen), head, body, made, in_use);
            }
            Outcome::Stream(stream) => {
                return relay::start(entry, call, chosen, *stream, failures, in_use);
            }
            Outcome::Failed(end, error) => (end, error),
        };
        failures.record(&chosen.upstream.id, end);
        last_error = error.or(last_error);
        match step(&entry, &call, &failures.made, end) {
            NextStep::Retry => {}
            NextStep::End(answer) => {
                let made = &failures.made;
                return finish(&entry, &call, made, &chosen, answer, last_error, in_use);
            }
        }
    }
}

/// Chooses an upstream for the request as it stands now.
pub(crate) fn place(entry: &Entry, call: &Call, tried: &[UpstreamId]) -> Result<Chosen, NoPlace> {
    let service = call.configuration.services.get(&call.service);
    #[allow(clippy::cast_precision_loss)]
    let objective_left_ms = if call.returning || !tried.is_empty() {
        call.route.objective_ms as f64
    } else {
        call.route.objective_ms.saturating_sub(call.age_ms()) as f64
    };
    choose(
        entry,
        &Wanted {
            service: &call.service,
            engine: service.and_then(|service| service.engine.as_ref()),
            size: call.head.size,
            objective_left_ms,
            // A request that was sent before has waited like one that returns.
            returning: call.returning || !tried.is_empty(),
            tried,
        },
    )
}

/// Decides what follows a failed attempt.
pub(crate) fn step(
    entry: &Entry,
    call: &Call,
    made: &AttemptHistory,
    end: AttemptOutcome,
) -> NextStep {
    next_step(
        call.route.kind,
        call.route.attempts_max,
        made,
        end,
        call.left_ms(),
        || entry.with_budget(&call.service, |budget| budget.try_spend(clock::now())),
    )
}

impl Entry {
    /// Returns true while new requests are served.
    fn serves(&self) -> bool {
        let catalog_known = self.catalog.borrow().upstreams_loaded;
        let stopping_ms = self
            .stopping_since()
            .map_or(0, |since| clock::now().since_ms(since));
        catalog_known && stopping_ms < STOPPING_ACCEPTS_MS
    }
}

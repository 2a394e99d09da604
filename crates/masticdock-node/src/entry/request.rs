//! The way of one request: route, admit, send, repeat, answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HOST};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use masticdock_adapter::{CallerHead, caller_head};
use masticdock_core::ids::{ServiceId, UpstreamId, WorkspaceId};
use masticdock_core::serving::{
    Attempt, AttemptEnd, Configuration, FinalAnswer, NextStep, Route, RouteMatch, next_step,
};
use tokio::time::{Instant, timeout_at};

use super::answer::{AnswerBody, own, whole};
use super::attempt::{Outcome, attempt};
use super::candidates::{Chosen, NoPlace, Wanted, choose};
use super::connections::InUse;
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
/// Shortest and longest advice to callers while a service has no usable upstream,
/// in milliseconds; a process that crashed is back after some seconds.
const NO_UPSTREAM_RETRY_MS: (u64, u64) = (900, 1_900);

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
    let head = caller_head(&parts.headers);
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

/// Sends a request until it has an answer.
async fn serve(entry: Rc<Entry>, call: Call, in_use: InUse) -> Response<AnswerBody> {
    entry.with_budget(&call.service, |budget| budget.record_request(clock::now()));
    let mut made = Attempt::default();
    let mut tried = Vec::new();
    let mut last_error = None;
    loop {
        let chosen = match place(&entry, &call, &tried) {
            Ok(chosen) => chosen,
            Err(no_place) => return no_room(&entry, &call, &made, no_place, last_error, in_use),
        };
        if made == Attempt::default() {
            entry.record_admission(&call.service, false);
        }
        let outcome = attempt(&entry, &call, &chosen, None).await;
        let (end, error) = match outcome {
            Outcome::Whole(head, body) => {
                ended(
                    &call,
                    "answered",
                    Some(&chosen),
                    head.status(),
                    &made,
                    Times::at_once(&call),
                );
                return whole(head, body, in_use);
            }
            Outcome::Stream(stream) => {
                return relay::start(entry, call, chosen, *stream, made, tried, in_use);
            }
            Outcome::Failed(end, error) => (end, error),
        };
        made.record(end);
        tried.push(chosen.upstream.id.clone());
        metrics().attempts.with_label_values(&[end.as_str()]).inc();
        last_error = error.or(last_error);
        match step(&entry, &call, &made, end) {
            NextStep::Again => {}
            NextStep::End(answer) => {
                return finish(&entry, &call, &made, &chosen, answer, last_error, in_use);
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
pub(crate) fn step(entry: &Entry, call: &Call, made: &Attempt, end: AttemptEnd) -> NextStep {
    next_step(
        call.route.kind,
        call.route.attempts_max,
        made,
        end,
        call.left_ms(),
        || entry.with_budget(&call.service, |budget| budget.try_spend(clock::now())),
    )
}

/// Answers a request for which no upstream has room.
fn no_room(
    entry: &Entry,
    call: &Call,
    made: &Attempt,
    no_place: NoPlace,
    last_error: Option<(Response<()>, Bytes)>,
    in_use: InUse,
) -> Response<AnswerBody> {
    if made.may_have_run {
        if let Some((head, body)) = last_error {
            ended(
                call,
                "error_passed_on",
                None,
                head.status(),
                made,
                Times::at_once(call),
            );
            return whole(head, body, in_use);
        }
        ended(
            call,
            "failed",
            None,
            StatusCode::BAD_GATEWAY,
            made,
            Times::at_once(call),
        );
        return own(StatusCode::BAD_GATEWAY, None, in_use);
    }
    entry.record_admission(&call.service, true);
    let (delay_ms, rejected_share) = if no_place.best_ms.is_some() {
        entry.retry_after(&call.service)
    } else {
        let (shortest_ms, longest_ms) = NO_UPSTREAM_RETRY_MS;
        (rand::random_range(shortest_ms..=longest_ms), 1.0)
    };
    log::info!(
        event = "request.rejected",
        request_id = call.head.request_id.as_str(),
        route = call.route.name.as_str(),
        service = call.service.as_str(),
        reason = if no_place.best_ms.is_some() { "full" } else { "no_upstream" },
        candidates = no_place.candidates,
        best_ms = no_place.best_ms.filter(|best_ms| best_ms.is_finite()).unwrap_or(-1.0),
        returning = call.returning,
        sent = made.sent,
        rejected_share = rejected_share * 100.0,
        retry_after_ms = delay_ms,
        configuration = call.configuration.version;
        "no upstream has room for a request"
    );
    metrics().requests.with_label_values(&["rejected"]).inc();
    own(StatusCode::SERVICE_UNAVAILABLE, Some(delay_ms), in_use)
}

/// Ends a request after its last attempt.
fn finish(
    entry: &Entry,
    call: &Call,
    made: &Attempt,
    chosen: &Chosen,
    answer: FinalAnswer,
    last_error: Option<(Response<()>, Bytes)>,
    in_use: InUse,
) -> Response<AnswerBody> {
    match (answer, last_error) {
        (FinalAnswer::PassOn, Some((head, body))) => {
            ended(
                call,
                "error_passed_on",
                Some(chosen),
                head.status(),
                made,
                Times::at_once(call),
            );
            whole(head, body, in_use)
        }
        (FinalAnswer::NotRun, _) => {
            let (delay_ms, _) = entry.retry_after(&call.service);
            let status = StatusCode::SERVICE_UNAVAILABLE;
            ended(
                call,
                "not_run",
                Some(chosen),
                status,
                made,
                Times::at_once(call),
            );
            own(status, Some(delay_ms), in_use)
        }
        _ => {
            let status = if call.left_ms() == 0 {
                StatusCode::GATEWAY_TIMEOUT
            } else {
                StatusCode::BAD_GATEWAY
            };
            ended(
                call,
                "failed",
                Some(chosen),
                status,
                made,
                Times::at_once(call),
            );
            own(status, None, in_use)
        }
    }
}

fn reject(
    request_id: &str,
    status: StatusCode,
    reason: &'static str,
    retry_after_ms: Option<u64>,
    in_use: InUse,
) -> Response<AnswerBody> {
    log::info!(
        event = "request.rejected",
        request_id = request_id,
        reason = reason,
        status = status.as_u16();
        "a request cannot be served"
    );
    metrics().requests.with_label_values(&[reason]).inc();
    own(status, retry_after_ms, in_use)
}

/// Times of a response, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Times {
    /// From the request to the first event or the whole response.
    pub(crate) first_ms: u64,
    /// Longest pause between two arrivals of events.
    pub(crate) pause_ms: u64,
}

impl Times {
    fn at_once(call: &Call) -> Self {
        Self {
            first_ms: call.age_ms(),
            pause_ms: 0,
        }
    }
}

/// Logs and counts the end of a request that was sent to some upstream.
pub(crate) fn ended(
    call: &Call,
    outcome: &'static str,
    chosen: Option<&Chosen>,
    status: StatusCode,
    made: &Attempt,
    times: Times,
) {
    let total_ms = call.age_ms();
    log::info!(
        event = "request.ended",
        request_id = call.head.request_id.as_str(),
        route = call.route.name.as_str(),
        service = call.service.as_str(),
        outcome = outcome,
        status = status.as_u16(),
        upstream = chosen.map_or("", |chosen| chosen.upstream.id.as_str()),
        candidates = chosen.map_or(0, |chosen| chosen.candidates),
        total_at_upstream = chosen.map_or(0, |chosen| chosen.total),
        predicted_ms = chosen.map_or(-1.0, |chosen| chosen.predicted_ms),
        weights = chosen.and_then(|chosen| chosen.version).map_or(0, |version| version.0),
        prompt_tokens = call.head.size.prompt_tokens,
        answer_tokens = call.head.size.answer_tokens,
        first_ms = times.first_ms,
        pause_ms = times.pause_ms,
        total_ms = total_ms,
        failed_attempts = made.sent + made.unsent,
        returning = call.returning,
        deadline_ms = call.head.deadline_ms.unwrap_or(0),
        configuration = call.configuration.version;
        "a request ended"
    );
    let metrics = metrics();
    metrics.requests.with_label_values(&[outcome]).inc();
    #[allow(clippy::cast_precision_loss)]
    let seconds = |ms: u64| ms as f64 / 1_000.0;
    metrics
        .first_seconds
        .with_label_values(&[outcome])
        .observe(seconds(times.first_ms));
    metrics
        .total_seconds
        .with_label_values(&[outcome])
        .observe(seconds(total_ms));
}

impl Entry {
    /// Returns true while new requests are served.
    fn serves(&self) -> bool {
        let catalog_known = self.catalog.borrow().upstreams_known;
        let stopping_ms = self
            .stopping_since()
            .map_or(0, |since| clock::now().since_ms(since));
        catalog_known && stopping_ms < STOPPING_ACCEPTS_MS
    }
}

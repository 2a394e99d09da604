//! Final outcome of requests: response, log line and metrics.

use bytes::Bytes;
use http::{Response, StatusCode};
use masticdock_adapter::promises_not_run;
use masticdock_core::serving::{AttemptHistory, FinalResponse, RequestFeature};

use super::answer::{CallerResponseBody, buffered, empty};
use super::candidates::{ChosenUpstream, NoUpstream};
use super::connections::InUseGuard;
use super::request::Call;
use super::state::Entry;
use crate::clock;
use crate::metrics::metrics;

/// Range of the `Retry-After` delay while a service has no usable upstream, in
/// milliseconds; a crashed process is back after a few seconds.
const NO_UPSTREAM_RETRY_AFTER_MS: (u64, u64) = (900, 1_900);

/// Range of the `Retry-After` delay of requests that cannot be served until operators change
/// something, in milliseconds: they exclude all upstreams of a service by regions or by an
/// evacuation, or an entry of the configuration cannot be read.
pub(super) const EXCLUDED_RETRY_AFTER_MS: (u64, u64) = (2_000, 5_000);

/// `Retry-After` delay of requests that crash engines, in milliseconds; they are not sent
/// in the foreseeable future.
const BLOCKED_RETRY_AFTER_MS: u64 = 30_000;

/// Rejects a request before an upstream is chosen.
pub(crate) fn reject(
    request_id: &str,
    status: StatusCode,
    reason: &'static str,
    retry_after_ms: Option<u64>,
    in_use: InUseGuard,
) -> Response<CallerResponseBody> {
    log::info!(
        event = "request.rejected",
        request_id = request_id,
        reason = reason,
        status = status.as_u16();
        "a request is rejected"
    );
    metrics().requests.with_label_values(&[reason]).inc();
    empty(status, retry_after_ms, in_use)
}

/// Rejects a request that has a feature of requests that crash engines.
pub(crate) fn reject_blocked(
    call: &Call,
    feature: RequestFeature,
    in_use: InUseGuard,
) -> Response<CallerResponseBody> {
    let reason = "crashes_upstreams";
    log::info!(
        event = "request.rejected",
        request_id = call.head.request_id.as_str(),
        route = call.route.name.as_str(),
        service = call.service.as_str(),
        reason = reason,
        feature:% = format_args!("{:016x}", feature.0),
        retry_after_ms = BLOCKED_RETRY_AFTER_MS,
        configuration = call.configuration.version;
        "requests like this one crash engines"
    );
    metrics().requests.with_label_values(&[reason]).inc();
    let status = StatusCode::SERVICE_UNAVAILABLE;
    empty(status, Some(BLOCKED_RETRY_AFTER_MS), in_use)
}

/// Responds to a request for which no upstream has capacity. If an earlier attempt may
/// have run the request, responds with an error and without a retry delay.
pub(crate) fn reject_without_upstream(
    entry: &Entry,
    call: &Call,
    history: &AttemptHistory,
    no_upstream: NoUpstream,
    last_error: Option<(Response<()>, Bytes)>,
    in_use: InUseGuard,
) -> Response<CallerResponseBody> {
    if history.may_have_run {
        if let Some((head, body)) = last_error {
            return forward_response(call, "error_passed_on", None, head, body, history, in_use);
        }
        let status = StatusCode::BAD_GATEWAY;
        return respond_with_error(call, "failed", None, status, None, history, in_use);
    }
    // Requests elsewhere are not affected by those that no region can take.
    let excluded = no_upstream
        .ineligible
        .filter(|reason| reason.is_by_operators());
    if no_upstream.best_ms.is_some() || excluded.is_none() {
        entry.record_admission(call, true);
    }
    let (reason, (delay_ms, rejected_share)) = match no_upstream {
        NoUpstream {
            best_ms: Some(_), ..
        } => ("full", entry.retry_after(call)),
        NoUpstream {
            limited_until: Some(until),
            ..
        } => {
            let (delay_ms, rejected_share) = entry.retry_after(call);
            let delay_ms = delay_ms.max(until.since_ms(clock::now()));
            ("rate_limited", (delay_ms, rejected_share))
        }
        NoUpstream {
            ineligible: Some(ineligible),
            ..
        } if ineligible.is_by_operators() => {
            let (min_ms, max_ms) = EXCLUDED_RETRY_AFTER_MS;
            let delay_ms = rand::random_range(min_ms..=max_ms);
            (ineligible.as_str(), (delay_ms, 1.0))
        }
        _ => {
            let (min_ms, max_ms) = NO_UPSTREAM_RETRY_AFTER_MS;
            ("no_upstream", (rand::random_range(min_ms..=max_ms), 1.0))
        }
    };
    log::info!(
        event = "request.rejected",
        request_id = call.head.request_id.as_str(),
        route = call.route.name.as_str(),
        service = call.service.as_str(),
        reason = reason,
        candidates = no_upstream.candidates,
        best_ms = no_upstream.best_ms.filter(|best_ms| best_ms.is_finite()).unwrap_or(-1.0),
        priority = call.priority,
        route_priority = call.route.priority,
        returning = call.returning,
        sent = history.sent,
        waited_ms = call.age_ms(),
        rejected_share = rejected_share * 100.0,
        retry_after_ms = delay_ms,
        configuration = call.configuration.version;
        "no upstream has capacity for a request"
    );
    metrics().requests.with_label_values(&["rejected"]).inc();
    empty(StatusCode::SERVICE_UNAVAILABLE, Some(delay_ms), in_use)
}

/// Responds to a request whose last attempt failed.
pub(crate) fn respond_after_failure(
    entry: &Entry,
    call: &Call,
    history: &AttemptHistory,
    chosen: &ChosenUpstream,
    final_response: FinalResponse,
    last_error: Option<(Response<()>, Bytes)>,
    in_use: InUseGuard,
) -> Response<CallerResponseBody> {
    let chosen = Some(chosen);
    match (final_response, last_error) {
        (FinalResponse::Forwarded, Some((head, body))) => {
            forward_response(call, "error_passed_on", chosen, head, body, history, in_use)
        }
        (FinalResponse::NotRun, _) => {
            let (delay_ms, _) = entry.retry_after(call);
            let status = StatusCode::SERVICE_UNAVAILABLE;
            respond_with_error(
                call,
                "not_run",
                chosen,
                status,
                Some(delay_ms),
                history,
                in_use,
            )
        }
        _ => {
            let status = unknown_outcome_status(call);
            respond_with_error(call, "failed", chosen, status, None, history, in_use)
        }
    }
}

/// Returns the status of a failed request that may have run.
fn unknown_outcome_status(call: &Call) -> StatusCode {
    if call.time_left_ms() == 0 {
        StatusCode::GATEWAY_TIMEOUT
    } else {
        StatusCode::BAD_GATEWAY
    }
}

/// Forwards a complete response of an upstream. If its status would tell the caller that a
/// request that may run once did not run, which the upstream has not stated, the caller gets an
/// error that leaves the outcome open.
pub(crate) fn forward_response(
    call: &Call,
    outcome: &'static str,
    chosen: Option<&ChosenUpstream>,
    head: Response<()>,
    body: Bytes,
    history: &AttemptHistory,
    in_use: InUseGuard,
) -> Response<CallerResponseBody> {
    if promises_not_run(head.status()) && !call.route.kind.is_safe_to_retry() {
        log::warn!(
            event = "response.withheld",
            request_id = call.head.request_id.as_str(),
            upstream = chosen.map_or("", |chosen| chosen.upstream.id.as_str()),
            status = head.status().as_u16();
            "an upstream rejected a request without stating that it was not run"
        );
        let (outcome, status) = ("rejection_withheld", unknown_outcome_status(call));
        return respond_with_error(call, outcome, chosen, status, None, history, in_use);
    }
    record_end(
        call,
        outcome,
        chosen,
        head.status(),
        history,
        ResponseTimes::buffered_response(call),
    );
    buffered(head, body, in_use)
}

/// Responds with an error of the entry itself.
fn respond_with_error(
    call: &Call,
    outcome: &'static str,
    chosen: Option<&ChosenUpstream>,
    status: StatusCode,
    retry_after_ms: Option<u64>,
    history: &AttemptHistory,
    in_use: InUseGuard,
) -> Response<CallerResponseBody> {
    record_end(
        call,
        outcome,
        chosen,
        status,
        history,
        ResponseTimes::buffered_response(call),
    );
    empty(status, retry_after_ms, in_use)
}

/// Timing of a response.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ResponseTimes {
    /// Time from the request to the first event or the complete response, in
    /// milliseconds.
    pub(crate) first_event_ms: u64,
    /// Longest pause between arrivals of events, in milliseconds.
    pub(crate) max_pause_ms: u64,
}

impl ResponseTimes {
    fn buffered_response(call: &Call) -> Self {
        Self {
            first_event_ms: call.age_ms(),
            max_pause_ms: 0,
        }
    }
}

/// Logs the end of a request and updates the metrics.
pub(crate) fn record_end(
    call: &Call,
    outcome: &'static str,
    chosen: Option<&ChosenUpstream>,
    status: StatusCode,
    history: &AttemptHistory,
    times: ResponseTimes,
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
        total_at_upstream = chosen.map_or(0, |chosen| chosen.requests_at_upstream),
        predicted_ms = chosen.map_or(-1.0, |chosen| chosen.predicted_ms),
        weights = chosen.and_then(|chosen| chosen.version).map_or(0, |version| version.0),
        prompt_tokens = call.head.size.prompt_tokens,
        answer_tokens = call.head.size.answer_tokens,
        first_ms = times.first_event_ms,
        pause_ms = times.max_pause_ms,
        total_ms = total_ms,
        failed_attempts = history.sent + history.not_sent,
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
        .first_event_seconds
        .with_label_values(&[outcome])
        .observe(seconds(times.first_event_ms));
    metrics
        .request_seconds
        .with_label_values(&[outcome])
        .observe(seconds(total_ms));
}

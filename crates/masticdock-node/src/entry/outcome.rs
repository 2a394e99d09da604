//! How requests end: their answers, log lines and metrics.

use bytes::Bytes;
use http::{Response, StatusCode};
use masticdock_core::serving::{AttemptHistory, FinalResponse};

use super::answer::{AnswerBody, own, whole};
use super::candidates::{Chosen, NoPlace};
use super::connections::InUse;
use super::request::Call;
use super::state::Entry;
use crate::metrics::metrics;

/// Shortest and longest advice to callers while a service has no usable upstream,
/// in milliseconds; a process that crashed is back after some seconds.
const NO_UPSTREAM_RETRY_MS: (u64, u64) = (900, 1_900);

/// Answers a request that is not sent to any upstream.
pub(crate) fn reject(
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

/// Answers a request for which no upstream has room.
pub(crate) fn no_room(
    entry: &Entry,
    call: &Call,
    made: &AttemptHistory,
    no_place: NoPlace,
    last_error: Option<(Response<()>, Bytes)>,
    in_use: InUse,
) -> Response<AnswerBody> {
    if made.may_have_run {
        if let Some((head, body)) = last_error {
            return pass_on(call, "error_passed_on", None, head, body, made, in_use);
        }
        let status = StatusCode::BAD_GATEWAY;
        return give_up(call, "failed", None, status, None, made, in_use);
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
pub(crate) fn finish(
    entry: &Entry,
    call: &Call,
    made: &AttemptHistory,
    chosen: &Chosen,
    answer: FinalResponse,
    last_error: Option<(Response<()>, Bytes)>,
    in_use: InUse,
) -> Response<AnswerBody> {
    let chosen = Some(chosen);
    match (answer, last_error) {
        (FinalResponse::Forwarded, Some((head, body))) => {
            pass_on(call, "error_passed_on", chosen, head, body, made, in_use)
        }
        (FinalResponse::NotRun, _) => {
            let (delay_ms, _) = entry.retry_after(&call.service);
            let status = StatusCode::SERVICE_UNAVAILABLE;
            give_up(
                call,
                "not_run",
                chosen,
                status,
                Some(delay_ms),
                made,
                in_use,
            )
        }
        _ => {
            let status = if call.left_ms() == 0 {
                StatusCode::GATEWAY_TIMEOUT
            } else {
                StatusCode::BAD_GATEWAY
            };
            give_up(call, "failed", chosen, status, None, made, in_use)
        }
    }
}

/// Answers with a whole response of an upstream.
pub(crate) fn pass_on(
    call: &Call,
    outcome: &'static str,
    chosen: Option<&Chosen>,
    head: Response<()>,
    body: Bytes,
    made: &AttemptHistory,
    in_use: InUse,
) -> Response<AnswerBody> {
    ended(
        call,
        outcome,
        chosen,
        head.status(),
        made,
        Times::at_once(call),
    );
    whole(head, body, in_use)
}

/// Answers without a response of an upstream.
fn give_up(
    call: &Call,
    outcome: &'static str,
    chosen: Option<&Chosen>,
    status: StatusCode,
    retry_after_ms: Option<u64>,
    made: &AttemptHistory,
    in_use: InUse,
) -> Response<AnswerBody> {
    ended(call, outcome, chosen, status, made, Times::at_once(call));
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
    made: &AttemptHistory,
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
        failed_attempts = made.sent + made.not_sent,
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

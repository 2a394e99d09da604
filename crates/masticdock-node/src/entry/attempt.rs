//! One attempt to send a request to an upstream, up to the complete response or
//! the first events of a stream.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, Version};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use masticdock_adapter::{
    BodyEnd, BodyKind, Connection, UpstreamTarget, parse_upstream_head,
    rewrite_headers_for_upstream,
};
use masticdock_core::ids::UpstreamId;
use masticdock_core::serving::{
    AttemptOutcome, EventSequence, EventSplitter, StreamEvent, Upstream,
};
use masticdock_core::units::MonoMs;
use tokio::time::Instant;

use super::attempt_race::RaceMember;
use super::body::{collect_body, reuse_after_body};
use super::candidates::ChosenUpstream;
use super::cold_start;
use super::crashes;
use super::eligibility;
use super::load_guard::LoadGuard;
use super::pool::{AttemptConnection, acquire_connection};
use super::rate_limits;
use super::request::Call;
use super::response_end::outlives_response;
use super::response_head::{check_head, forwarded_head, record_head};
use super::state::Entry;
use super::wait::{RetryWhileSilent, WaitLimits, await_upstream, record_wait};
use crate::clock;

/// Result of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// A complete response to forward.
    Buffered(Response<()>, Bytes),
    /// A stream whose first events have arrived.
    Stream(Box<OpenStream>),
    /// A failure, with the upstream's error response if there is one; it is forwarded
    /// if no later attempt succeeds.
    Failed(AttemptOutcome, Option<(Response<()>, Bytes)>),
}

/// A stream of an upstream whose first events have been read.
#[derive(Debug)]
pub(crate) struct OpenStream {
    pub(crate) head: Response<()>,
    pub(crate) upstream: UpstreamId,
    pub(crate) body: Incoming,
    pub(crate) splitter: EventSplitter,
    pub(crate) first_events: Vec<StreamEvent>,
    /// True when the body ended while the first events were read.
    pub(crate) ended: bool,
    pub(crate) connection: Connection,
    pub(crate) idle_timeout_ms: Option<u64>,
    pub(crate) body_end: BodyEnd,
    /// Time at which the request was sent to the upstream.
    pub(crate) sent_at: MonoMs,
    pub(crate) load: LoadGuard,
}

/// Sends a request to the chosen upstream, on `connection` or a new one.
pub(crate) async fn run_attempt(
    entry: &Rc<Entry>,
    call: &Call,
    chosen: &ChosenUpstream,
    connection: Option<AttemptConnection>,
    member: &RaceMember,
    last_event_id: Option<u64>,
) -> AttemptResult {
    let id = &chosen.upstream.id;
    let load = LoadGuard::begin(entry, id, call.head.size.prompt_tokens);
    let claimed_at = clock::now();
    if !cold_start::try_claim(entry, &chosen.upstream) {
        return unclaimed_attempt(call, id);
    }
    let connection = match connection {
        Some(connection) => Some(connection),
        None => acquire_connection(entry, call, chosen, &member.history).await,
    };
    let Some(connection) = connection else {
        return AttemptResult::Failed(AttemptOutcome::NotSent, None);
    };
    // Connecting takes time, and the process may have been paused.
    if chosen
        .begin_window
        .is_some_and(|window| !window.may_send(clock::now()))
    {
        return late_attempt(call, id);
    }
    if !eligibility::may_send(entry, call, &chosen.upstream) {
        return AttemptResult::Failed(AttemptOutcome::NotSent, None);
    }
    if !cold_start::may_send(entry, &chosen.upstream, claimed_at) {
        return unclaimed_attempt(call, id);
    }
    let remaining_ms = call.time_left_ms();
    let target = UpstreamTarget {
        id: id.clone(),
        remaining_ms,
        workspace: call.workspace.clone(),
        priority: Some(call.priority),
        version: chosen.version,
        last_event_id: last_event_id.or(call.head.last_event_id),
    };
    let limits = WaitLimits {
        started_at: Instant::now(),
        started_mono: clock::now(),
        begin_window: chosen.begin_window,
        predicted_ms: chosen.nominal_ms,
        engine_ms: chosen.engine_ms,
        retry: RetryWhileSilent::new(member),
    };
    let result = exchange(
        entry,
        call,
        &chosen.upstream,
        &target,
        connection,
        load,
        &limits,
    )
    .await;
    if let AttemptResult::Failed(failure, _) = &result {
        if *failure == AttemptOutcome::Broken {
            crashes::report_suspects(entry, call, &chosen.upstream);
        }
        entry.with_load(id, |load| match failure {
            AttemptOutcome::NotExecuted => load.record_rejection(clock::now()),
            AttemptOutcome::Broken => load.record_error(clock::now()),
            AttemptOutcome::NotSent
            | AttemptOutcome::Silent
            | AttemptOutcome::ServerError
            | AttemptOutcome::Discarded => {}
        });
    }
    if matches!(result, AttemptResult::Failed(AttemptOutcome::Silent, _)) {
        limits.record_silence(entry, id);
    }
    result
}

fn build_request(call: &Call, target: &UpstreamTarget) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.path.clone();
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = call.headers.clone();
    rewrite_headers_for_upstream(request.headers_mut(), target);
    request
}

async fn exchange(
    entry: &Rc<Entry>,
    call: &Call,
    upstream: &Upstream,
    target: &UpstreamTarget,
    acquired: AttemptConnection,
    load: LoadGuard,
    limits: &WaitLimits<'_>,
) -> AttemptResult {
    let AttemptConnection {
        mut connection,
        is_reused,
    } = acquired;
    let sent = connection.send_request(build_request(call, target));
    let response = await_upstream(entry, call, target, limits, sent).await;
    record_wait(entry, target, limits);
    let response = match response {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return broken_attempt(call, target, &error.to_string()),
        Err(waited) => return silent_attempt(call, target, waited),
    };
    let (parts, body) = response.into_parts();
    let head = parse_upstream_head(parts.status, &parts.headers);
    if let Err(reason) = check_head(call, parts.status, &head, is_reused) {
        return broken_attempt(call, target, &reason);
    }
    limits.record_response(entry, call);
    record_head(entry, target, &head);
    cold_start::record_response(entry, upstream);
    rate_limits::record_answer(entry, upstream, &head, limits.started_mono);
    eligibility::record_answer(entry, upstream, head.withdrawal);
    if head.not_executed {
        log::warn!(
            event = "attempt.not_executed",
            request_id = call.head.request_id.as_str(),
            upstream = target.id.as_str(),
            status = parts.status.as_u16(),
            expected_version = target.version.map_or(0, |version| version.0);
            "an upstream did not execute a request"
        );
        if parts.status == StatusCode::MISDIRECTED_REQUEST {
            // Another process uses the address, or the weights differ: a row or report is stale.
            entry.with_load(&target.id, |load| load.record_error(clock::now()));
        }
        let reuse = reuse_after_body(Rc::clone(entry), target.id.clone(), connection, body, head);
        tokio::task::spawn_local(reuse);
        return AttemptResult::Failed(AttemptOutcome::NotExecuted, None);
    }
    if parts.status.is_success() && (!head.sealed || head.encoded) {
        return broken_attempt(
            call,
            target,
            "a successful response has no seal or is encoded",
        );
    }
    let forwarded = forwarded_head(parts.status, &parts.headers);
    if call.route.kind.is_stream() && head.body_kind == BodyKind::EventStream {
        let stream = OpenStream {
            head: forwarded,
            upstream: target.id.clone(),
            body,
            splitter: EventSplitter::default(),
            first_events: Vec::new(),
            ended: false,
            connection,
            idle_timeout_ms: head.idle_timeout_ms,
            body_end: head.body_end,
            sent_at: limits.started_mono,
            load,
        };
        return read_first_events(entry, call, upstream, target, limits, stream).await;
    }
    // A body that the protocol rules out ends with its head.
    let ends_with_connection = head.body_end == BodyEnd::WithConnection && !body.is_end_stream();
    let collected = collect_body(entry, body);
    let body = match await_upstream(entry, call, target, limits, collected).await {
        Ok(Ok(body)) => body,
        Ok(Err(reason)) => return broken_attempt(call, target, &reason),
        Err(waited) => return silent_attempt(call, target, waited),
    };
    let ended_at = clock::now();
    if ends_with_connection && !outlives_response(entry, upstream, limits.started_mono).await {
        return broken_attempt(call, target, "the upstream ended with its response");
    }
    entry
        .pools
        .put_back(&target.id, connection, head.idle_timeout_ms);
    entry.with_load(&target.id, |load| {
        load.record_activity(ended_at);
        load.record_service_time(ended_at.since_ms(limits.started_mono), ended_at);
    });
    if parts.status.is_server_error() {
        return AttemptResult::Failed(AttemptOutcome::ServerError, Some((forwarded, body)));
    }
    if head.body_end == BodyEnd::Marked && parts.status.is_success() {
        crashes::record_success(entry, call, limits.started_mono);
    }
    AttemptResult::Buffered(forwarded, body)
}

async fn read_first_events(
    entry: &Entry,
    call: &Call,
    upstream: &Upstream,
    target: &UpstreamTarget,
    limits: &WaitLimits<'_>,
    mut stream: OpenStream,
) -> AttemptResult {
    while stream.first_events.is_empty() {
        let frame = match await_upstream(entry, call, target, limits, stream.body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return broken_attempt(call, target, &error.to_string()),
            Ok(None) if stream.splitter.has_partial_event() => {
                return broken_attempt(call, target, "the stream ended within its first event");
            }
            Ok(None) if target.last_event_id.is_none() => {
                return broken_attempt(call, target, "the stream ended without an event");
            }
            // A stream that is resumed after its last event has no further one.
            Ok(None) => {
                stream.ended = true;
                break;
            }
            Err(waited) => {
                record_wait(entry, target, limits);
                return silent_attempt(call, target, waited);
            }
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        match stream.splitter.push(&bytes) {
            Some(events) => stream.first_events = events,
            None => return broken_attempt(call, target, "an event exceeds the size limit"),
        }
    }
    if let Some(event) = stream.first_events.first()
        && let Err(error) = EventSequence::after(target.last_event_id).append(event)
    {
        return broken_attempt(call, target, &error.to_string());
    }
    record_wait(entry, target, limits);
    entry.with_load(&target.id, |load| {
        let now = clock::now();
        load.record_activity(now);
        load.record_latency(limits.waited_ms(), limits.predicted_ms, now);
    });
    cold_start::record_latency(entry, upstream, limits.waited_ms(), limits.predicted_ms);
    stream.load.mark_first_event();
    AttemptResult::Stream(Box::new(stream))
}

/// Ends an attempt before it is sent, since the upstream's version expires too soon.
fn late_attempt(call: &Call, upstream: &UpstreamId) -> AttemptResult {
    log::info!(
        event = "attempt.late",
        request_id = call.head.request_id.as_str(),
        upstream = upstream.as_str();
        "a request is too late for an upstream's version"
    );
    AttemptResult::Failed(AttemptOutcome::NotSent, None)
}

/// Ends an attempt before it is sent, since its connection took so long that others used the
/// share of this entry in the requests to a cold upstream.
fn unclaimed_attempt(call: &Call, upstream: &UpstreamId) -> AttemptResult {
    log::info!(
        event = "attempt.cold",
        request_id = call.head.request_id.as_str(),
        upstream = upstream.as_str();
        "a request waited too long for a connection to a cold upstream"
    );
    AttemptResult::Failed(AttemptOutcome::NotSent, None)
}

fn broken_attempt(call: &Call, target: &UpstreamTarget, reason: &str) -> AttemptResult {
    log::warn!(
        event = "attempt.broken",
        request_id = call.head.request_id.as_str(),
        feature:% = format_args!("{:016x}", call.features.whole().0),
        upstream = target.id.as_str(),
        reason = reason;
        "a response was incomplete or invalid"
    );
    AttemptResult::Failed(AttemptOutcome::Broken, None)
}

fn silent_attempt(call: &Call, target: &UpstreamTarget, waited: Duration) -> AttemptResult {
    log::warn!(
        event = "attempt.silent",
        request_id = call.head.request_id.as_str(),
        upstream = target.id.as_str(),
        waited_ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX),
        left_ms = call.time_left_ms();
        "an upstream did not respond in time"
    );
    AttemptResult::Failed(AttemptOutcome::Silent, None)
}

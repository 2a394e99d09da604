//! One attempt at an upstream, up to its whole response or its first event.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, Version};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use masticdock_adapter::{
    Connection, UpstreamHead, UpstreamTarget, is_hop_by_hop, is_private_to_upstreams,
    mark_for_upstream, upstream_head,
};
use masticdock_core::ids::UpstreamId;
use masticdock_core::serving::{
    AttemptOutcome, EventSplitter, RequestKind, StreamEvent, UpstreamLoad,
};
use masticdock_core::units::MonoMs;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::candidates::Chosen;
use super::request::Call;
use super::state::Entry;
use crate::clock;

/// Time without any byte of an upstream after which it counts as silent: four
/// passes of a full batch with long prompts.
const UPSTREAM_SILENCE: Duration = Duration::from_secs(1);
/// Time for the first byte of a response after which its connection counts as
/// silent, whatever the upstream sends on others.
const CONNECTION_SILENCE: Duration = Duration::from_millis(1_800);
/// Time between two looks at a silent upstream.
const SILENCE_LOOK: Duration = Duration::from_millis(250);
/// Longest response that is not a stream, in bytes.
const RESPONSE_BYTES_MAX: usize = 16 << 20;

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// A whole response of the upstream to pass on.
    Whole(Response<()>, Bytes),
    /// A stream whose first events have arrived.
    Stream(Box<OpenStream>),
    /// No response to pass on, unless nothing better follows.
    Failed(AttemptOutcome, Option<(Response<()>, Bytes)>),
}

/// A stream of an upstream after its first events.
#[derive(Debug)]
pub(crate) struct OpenStream {
    pub(crate) head: Response<()>,
    pub(crate) upstream: UpstreamId,
    pub(crate) body: Incoming,
    pub(crate) splitter: EventSplitter,
    pub(crate) first: Vec<StreamEvent>,
    /// True when the body ended together with its first events.
    pub(crate) ended: bool,
    pub(crate) connection: Connection,
    pub(crate) idle_timeout_ms: Option<u64>,
    pub(crate) load: LoadGuard,
}

/// Counts a request at an upstream until it is dropped.
#[derive(Debug)]
pub(crate) struct LoadGuard {
    entry: Rc<Entry>,
    upstream: UpstreamId,
    /// Prompt tokens while no event has come.
    unread_tokens: Option<u64>,
}

impl LoadGuard {
    fn begin(entry: &Rc<Entry>, upstream: &UpstreamId, prompt_tokens: u64) -> Self {
        entry.with_load(upstream, |load| load.begin_request(prompt_tokens));
        Self {
            entry: Rc::clone(entry),
            upstream: upstream.clone(),
            unread_tokens: Some(prompt_tokens),
        }
    }

    fn first_event(&mut self) {
        if let Some(tokens) = self.unread_tokens.take() {
            self.entry
                .with_load(&self.upstream, |load| load.record_first_event(tokens));
        }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.first_event();
        self.entry
            .with_load(&self.upstream, UpstreamLoad::end_request);
    }
}

/// Sends a request to the upstream chosen.
pub(crate) async fn attempt(
    entry: &Rc<Entry>,
    call: &Call,
    chosen: &Chosen,
    last_event_id: Option<u64>,
) -> Outcome {
    let id = &chosen.upstream.id;
    let load = LoadGuard::begin(entry, id, call.head.size.prompt_tokens);
    let connection = match connection(entry, call, chosen).await {
        Ok(connection) => connection,
        Err(error) => {
            entry.with_load(id, |load| load.record_error(clock::now()));
            log::warn!(
                event = "upstream.unreachable",
                request_id = call.head.request_id.as_str(),
                upstream = id.as_str(),
                error = error.as_str();
                "no connection to an upstream"
            );
            return Outcome::Failed(AttemptOutcome::NotSent, None);
        }
    };
    let left_ms = call.left_ms();
    let target = UpstreamTarget {
        id: id.clone(),
        left_ms,
        workspace: call.workspace.clone(),
        priority: Some(call.priority),
        version: chosen.version,
        last_event_id: last_event_id.or(call.head.last_event_id),
    };
    let patience = Patience {
        started: Instant::now(),
        since: clock::now(),
        begin_until: chosen.begin_until,
        predicted_ms: chosen.base_ms,
    };
    let outcome = exchange(entry, call, &target, connection, load, &patience).await;
    if let Outcome::Failed(end, _) = &outcome {
        entry.with_load(id, |load| match end {
            AttemptOutcome::NotExecuted => load.record_rejection(clock::now()),
            AttemptOutcome::Broken | AttemptOutcome::Silent => load.record_error(clock::now()),
            AttemptOutcome::NotSent | AttemptOutcome::ServerError => {}
        });
    }
    outcome
}

async fn connection(entry: &Entry, call: &Call, chosen: &Chosen) -> Result<Connection, String> {
    // On a kept connection an upstream may close while the request is on its
    // way, which a request that runs at most once cannot be sent again after.
    if call.route.kind != RequestKind::NonIdempotent
        && let Some(connection) = entry.pools.take(&chosen.upstream.id)
    {
        return Ok(connection);
    }
    let opened = entry.pools.open(chosen.upstream.address);
    match timeout_at(call.deadline, opened).await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err("the deadline passed".to_owned()),
    }
}

fn build(call: &Call, target: &UpstreamTarget) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.path.clone();
    *request.version_mut() = Version::HTTP_11;
    *request.headers_mut() = call.headers.clone();
    mark_for_upstream(request.headers_mut(), target);
    request
}

async fn exchange(
    entry: &Rc<Entry>,
    call: &Call,
    target: &UpstreamTarget,
    mut connection: Connection,
    load: LoadGuard,
    patience: &Patience,
) -> Outcome {
    let sent = connection.send_request(build(call, target));
    let response = match within(entry, call, target, patience, sent).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => return broken(call, target, &error.to_string()),
        Err(waited) => return silent(call, target, waited),
    };
    let (parts, body) = response.into_parts();
    let head = upstream_head(parts.status, &parts.headers);
    note_head(entry, target, &head);
    if head
        .request_id
        .as_deref()
        .is_some_and(|id| id != call.head.request_id)
    {
        return broken(call, target, "a response to another request arrived");
    }
    if head.not_executed {
        log::warn!(
            event = "attempt.not_executed",
            request_id = call.head.request_id.as_str(),
            upstream = target.id.as_str(),
            status = parts.status.as_u16(),
            expected_version = target.version.map_or(0, |version| version.0);
            "an upstream did not run a request"
        );
        if parts.status == StatusCode::MISDIRECTED_REQUEST {
            // Another process has the address, or other weights: a row or report is old.
            entry.with_load(&target.id, |load| load.record_error(clock::now()));
        }
        // The connection can be used again once the short body was read.
        let body = Limited::new(body, RESPONSE_BYTES_MAX).collect();
        if timeout_at(call.deadline, body)
            .await
            .is_ok_and(|body| body.is_ok())
        {
            entry
                .pools
                .keep(&target.id, connection, head.idle_timeout_ms);
        }
        return Outcome::Failed(AttemptOutcome::NotExecuted, None);
    }
    if parts.status.is_success() && (!head.sealed || head.encoded) {
        return broken(call, target, "a success without the upstream's signature");
    }
    let passed_on = pass_on(parts.status, &parts.headers);
    if call.route.kind.is_stream() && parts.status.is_success() {
        let stream = OpenStream {
            head: passed_on,
            upstream: target.id.clone(),
            body,
            splitter: EventSplitter::default(),
            first: Vec::new(),
            ended: false,
            connection,
            idle_timeout_ms: head.idle_timeout_ms,
            load,
        };
        return first_events(entry, call, target, patience, stream).await;
    }
    let collected = Limited::new(body, RESPONSE_BYTES_MAX).collect();
    let body = match within(entry, call, target, patience, collected).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => return broken(call, target, &error.to_string()),
        Err(waited) => return silent(call, target, waited),
    };
    entry
        .pools
        .keep(&target.id, connection, head.idle_timeout_ms);
    entry.with_load(&target.id, |load| {
        load.record_activity(clock::now());
        load.record_service_time(
            u64::try_from(patience.started.elapsed().as_millis()).unwrap_or(u64::MAX),
        );
    });
    if parts.status.is_server_error() {
        return Outcome::Failed(AttemptOutcome::ServerError, Some((passed_on, body)));
    }
    Outcome::Whole(passed_on, body)
}

async fn first_events(
    entry: &Entry,
    call: &Call,
    target: &UpstreamTarget,
    patience: &Patience,
    mut stream: OpenStream,
) -> Outcome {
    while stream.first.is_empty() {
        let frame = match within(entry, call, target, patience, stream.body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return broken(call, target, &error.to_string()),
            Ok(None) if stream.splitter.has_partial_event() => {
                return broken(call, target, "the stream ended within its first event");
            }
            Ok(None) => {
                stream.ended = true;
                break;
            }
            Err(waited) => return silent(call, target, waited),
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        match stream.splitter.push(&bytes) {
            Some(events) => stream.first = events,
            None => return broken(call, target, "an event is too long"),
        }
    }
    let first_ms = patience.started.elapsed().as_secs_f64() * 1_000.0;
    entry.with_load(&target.id, |load| {
        let now = clock::now();
        load.record_activity(now);
        load.record_latency(first_ms, patience.predicted_ms, now);
    });
    stream.load.first_event();
    Outcome::Stream(Box::new(stream))
}

/// How long an attempt waits for its response to begin.
#[derive(Debug, Clone, Copy)]
struct Patience {
    started: Instant,
    since: MonoMs,
    /// When the version of the upstream's weights ends; a request that has not
    /// begun by then must not begin there.
    begin_until: Option<MonoMs>,
    /// Predicted time to the first event, in milliseconds.
    predicted_ms: f64,
}

/// Awaits something of an upstream until the deadline; a request that may run
/// again also ends when the upstream falls silent. Returns the time waited.
async fn within<T>(
    entry: &Entry,
    call: &Call,
    target: &UpstreamTarget,
    patience: &Patience,
    awaited: impl Future<Output = T>,
) -> Result<T, Duration> {
    let mut awaited = std::pin::pin!(awaited);
    let repeatable = call.route.kind.is_safe_to_retry();
    loop {
        let mut look_at = call.deadline;
        if repeatable || patience.begin_until.is_some() {
            look_at = look_at.min(Instant::now() + SILENCE_LOOK);
        }
        tokio::select! {
            done = &mut awaited => return Ok(done),
            () = sleep_until(look_at) => {}
        }
        let waited = patience.started.elapsed();
        let now = clock::now();
        let version_ended = patience.begin_until.is_some_and(|until| now >= until);
        if Instant::now() >= call.deadline || version_ended {
            return Err(waited);
        }
        let heard_at = entry.with_load(&target.id, |load| load.last_activity_at());
        let quiet = now.since(heard_at.max(patience.since));
        if repeatable && (quiet >= UPSTREAM_SILENCE || waited >= CONNECTION_SILENCE) {
            return Err(waited);
        }
    }
}

fn note_head(entry: &Entry, target: &UpstreamTarget, head: &UpstreamHead) {
    let now = clock::now();
    entry.with_load(&target.id, |load| {
        load.record_activity(now);
        if let Some((running, waiting)) = head.load {
            load.record_report(running + waiting, waiting, now);
        }
    });
}

/// Copies what a caller gets of a response's head.
fn pass_on(status: StatusCode, headers: &HeaderMap) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = status;
    for (name, value) in headers {
        if !is_hop_by_hop(name) && !is_private_to_upstreams(name) {
            head.headers_mut().append(name, value.clone());
        }
    }
    head
}

fn broken(call: &Call, target: &UpstreamTarget, reason: &str) -> Outcome {
    log::warn!(
        event = "attempt.broken",
        request_id = call.head.request_id.as_str(),
        upstream = target.id.as_str(),
        reason = reason;
        "a response broke off or is not one"
    );
    Outcome::Failed(AttemptOutcome::Broken, None)
}

fn silent(call: &Call, target: &UpstreamTarget, waited: Duration) -> Outcome {
    log::warn!(
        event = "attempt.silent",
        request_id = call.head.request_id.as_str(),
        upstream = target.id.as_str(),
        waited_ms = u64::try_from(waited.as_millis()).unwrap_or(u64::MAX),
        left_ms = call.left_ms();
        "an upstream did not answer in time"
    );
    Outcome::Failed(AttemptOutcome::Silent, None)
}

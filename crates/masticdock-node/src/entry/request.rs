//! Lifecycle of a request: routing, admission, sending, retries and response.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, Method, Request, Response, Uri};
use hyper::body::Incoming;
use masticdock_adapter::{CallerHead, parse_caller_head};
use masticdock_core::ids::{ServiceId, UpstreamId, WorkspaceId};
use masticdock_core::serving::{
    AllowedRegions, AttemptHistory, AttemptOutcome, Configuration, NextStep, RequestFeatures,
    Route, Urgency, next_step,
};
use masticdock_core::units::MonoMs;
use tokio::time::Instant;

use super::admission::admit;
use super::answer::CallerResponseBody;
use super::attempt::AttemptResult;
use super::attempt_race::{EndedAttempt, SharedFailures, run_attempts};
use super::candidates::{ChosenUpstream, NoUpstream, PlacementQuery, choose_upstream};
use super::connections::InUseGuard;
use super::crashes::request_features;
use super::eligibility;
use super::outcome::{
    forward_response, reject, reject_blocked, reject_without_upstream, respond_after_failure,
};
use super::relay;
use super::request_body::{BodyRejection, discard_body, read_body};
use super::route::{HeadRejection, RoutedRequest, route_request};
use super::state::Entry;
use crate::clock;
use crate::metrics::metrics;

/// Deadline of requests that state none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// A caller's request with its body, route and service.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) head: CallerHead,
    pub(crate) method: Method,
    /// Host that the caller named, as the route was matched with it.
    pub(crate) host: CompactString,
    pub(crate) path: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Route,
    pub(crate) service: ServiceId,
    pub(crate) workspace: Option<WorkspaceId>,
    /// Regions in which the request may be served by the configuration at its arrival.
    pub(crate) allowed_regions: AllowedRegions,
    pub(crate) priority: u8,
    pub(crate) arrived_at: MonoMs,
    /// When the response is due: the earlier of the caller's deadline and the route's
    /// timeout.
    pub(crate) due_at: MonoMs,
    /// The same time, for timers; later than `due_at` if the VM was suspended meanwhile.
    pub(crate) deadline: Instant,
    /// True when the deadline suggests that the caller was rejected before.
    pub(crate) returning: bool,
    /// Features by which crashes of upstreams are compared.
    pub(crate) features: RequestFeatures,
    pub(crate) configuration: Rc<Configuration>,
}

impl Call {
    /// Returns the time left until the deadline, in milliseconds.
    pub(crate) fn time_left_ms(&self) -> u64 {
        self.due_at.since_ms(clock::now())
    }

    /// Returns whether the upstreams of the service are engines, which have agents.
    pub(crate) fn runs_on_engine(&self) -> bool {
        let service = self.configuration.services.get(&self.service);
        service.is_some_and(|service| service.engine.is_some())
    }

    /// Returns how urgent the request is among those for its service.
    pub(crate) fn urgency(&self) -> Urgency {
        Urgency {
            priority: self.priority,
            route_priority: self.route.priority,
        }
    }

    /// Returns the time since the request arrived, in milliseconds.
    pub(crate) fn age_ms(&self) -> u64 {
        clock::now().since_ms(self.arrived_at)
    }
}

/// Routes a caller's request and returns its response.
pub(crate) async fn handle_request(
    entry: Rc<Entry>,
    request: Request<Incoming>,
    in_use: InUseGuard,
) -> Response<CallerResponseBody> {
    let arrived_at = clock::now();
    let arrived = Instant::now();
    let (parts, body) = request.into_parts();
    let head = parse_caller_head(&parts.headers);
    let request_id = head.request_id.clone();
    let routed = match route_request(&entry, &parts, &head) {
        Ok(routed) => routed,
        Err(rejection) => {
            discard_body(&entry, &parts.headers, body, &in_use).await;
            let HeadRejection {
                status,
                reason,
                retry_after_ms,
            } = rejection;
            return reject(&request_id, status, reason, retry_after_ms, in_use);
        }
    };
    let RoutedRequest {
        configuration,
        host,
        route,
        workspace,
    } = routed;
    let deadline_ms = head.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let time_ms = deadline_ms.min(route.timeout_ms);
    let deadline = arrived + Duration::from_millis(time_ms);
    let body_bytes_max = configuration.limits.body_bytes_max;
    let body = match read_body(&entry, &parts.headers, body, body_bytes_max, deadline).await {
        Ok(body) => {
            in_use.end_body();
            body
        }
        Err(rejection) => {
            let BodyRejection {
                status,
                reason,
                retry_after_ms,
            } = rejection;
            return reject(&request_id, status, reason, retry_after_ms, in_use);
        }
    };
    // The shutdown may have begun while the body arrived.
    if !entry.accepts_requests() {
        let HeadRejection {
            status,
            reason,
            retry_after_ms,
        } = HeadRejection::not_ready();
        return reject(&request_id, status, reason, retry_after_ms, in_use);
    }
    let service = route.choose_service(rand::random()).clone();
    let returning = entry.is_returning(&route.name, deadline_ms);
    let priority = workspace
        .as_ref()
        .and_then(|workspace| workspace.priority)
        .unwrap_or(route.priority);
    let of_workspace = workspace
        .as_ref()
        .map(|workspace| &workspace.allowed_regions);
    let allowed_regions = of_workspace.map_or_else(
        || route.allowed_regions.clone(),
        |of_workspace| route.allowed_regions.intersection(of_workspace),
    );
    let workspace = workspace.map(|workspace| workspace.id);
    let path = relative_uri(&parts.uri);
    let features = request_features(
        &head,
        &service,
        parts.method.as_str(),
        &path.to_string(),
        workspace.as_ref(),
        &body,
    );
    let call = Call {
        head,
        method: parts.method,
        host,
        path,
        headers: parts.headers,
        body,
        service,
        workspace,
        allowed_regions,
        priority,
        arrived_at,
        due_at: arrived_at.plus_ms(time_ms),
        deadline,
        returning,
        route,
        features,
        configuration: Rc::clone(&configuration),
    };
    send_with_retries(entry, call, in_use).await
}

/// Returns the path and query of a URI, without scheme and authority.
fn relative_uri(uri: &Uri) -> Uri {
    uri.path_and_query()
        .and_then(|path| Uri::builder().path_and_query(path.clone()).build().ok())
        .unwrap_or_else(|| uri.clone())
}

/// Failed attempts of one request.
#[derive(Debug, Clone, Default)]
pub(crate) struct FailedAttempts {
    /// Summary that decides whether a retry is allowed.
    pub(crate) history: AttemptHistory,
    /// Upstreams of the failed attempts.
    pub(crate) upstreams: Vec<UpstreamId>,
    /// Upstreams that rejected the rest of a stream.
    pub(crate) rejecting: Vec<UpstreamId>,
}

impl FailedAttempts {
    /// Records a failed attempt and counts it in the metrics.
    pub(crate) fn record(&mut self, upstream: &UpstreamId, failure: AttemptOutcome) {
        self.history.record(failure);
        // An upstream that rejects the rest of a stream may take it a moment later.
        if self.history.response_started && failure == AttemptOutcome::NotExecuted {
            self.rejecting.push(upstream.clone());
        } else {
            self.upstreams.push(upstream.clone());
        }
        metrics()
            .attempts
            .with_label_values(&[failure.as_str()])
            .inc();
    }

    /// Returns the attempts with one at `upstream`, which is silent, among the failed ones.
    pub(crate) fn with_silent(&self, upstream: &UpstreamId) -> Self {
        let mut failures = self.clone();
        failures.history.record(AttemptOutcome::Silent);
        failures.upstreams.push(upstream.clone());
        failures
    }
}

/// Sends a request to upstreams until it has a response or no retry is allowed.
async fn send_with_retries(
    entry: Rc<Entry>,
    call: Call,
    in_use: InUseGuard,
) -> Response<CallerResponseBody> {
    entry.with_retry_budget(&call.service, |budget| budget.record_request(clock::now()));
    if let Some(feature) = entry.crashes.blocked_feature(&call) {
        return reject_blocked(&call, feature, in_use);
    }
    let failures = SharedFailures::default();
    let mut last_error = None;
    loop {
        let next = if failures.borrow().upstreams.is_empty() {
            admit(&entry, &call).await
        } else {
            choose_for_call(&entry, &call, &failures.borrow().upstreams)
        };
        let history = failures.borrow().history;
        let chosen = match next {
            Ok(chosen) => chosen,
            Err(no_upstream) => {
                return reject_without_upstream(
                    &entry,
                    &call,
                    &history,
                    no_upstream,
                    last_error,
                    in_use,
                );
            }
        };
        if history == AttemptHistory::default() {
            entry.record_admission(&call, false);
        }
        let EndedAttempt {
            chosen,
            result,
            record,
        } = run_attempts(&entry, &call, chosen, &failures, None).await;
        let (failure, error) = match result {
            AttemptResult::Buffered(head, body) => {
                record.accept();
                return forward_response(
                    &call,
                    "answered",
                    Some(&chosen),
                    head,
                    body,
                    &failures.borrow().history,
                    in_use,
                );
            }
            AttemptResult::Stream(stream) => {
                let is_recorded = record.accept();
                return relay::start(entry, call, chosen, *stream, is_recorded, failures, in_use);
            }
            AttemptResult::Failed(failure, error) => (failure, error),
        };
        last_error = error.or(last_error);
        let history = failures.borrow().history;
        match decide_next_step(&entry, &call, &history, failure) {
            NextStep::Retry => {}
            NextStep::End(final_response) => {
                return respond_after_failure(
                    &entry,
                    &call,
                    &history,
                    &chosen,
                    final_response,
                    last_error,
                    in_use,
                );
            }
        }
    }
}

/// Chooses an upstream for the next attempt of a request.
///
/// # Errors
///
/// Returns [`NoUpstream`] if no upstream can take the request.
pub(crate) fn choose_for_call(
    entry: &Entry,
    call: &Call,
    excluded: &[UpstreamId],
) -> Result<ChosenUpstream, NoUpstream> {
    let service = call.configuration.services.get(&call.service);
    #[allow(clippy::cast_precision_loss)]
    let objective_left_ms = if call.returning || !excluded.is_empty() {
        call.route.objective_ms as f64
    } else {
        call.route.objective_ms.saturating_sub(call.age_ms()) as f64
    };
    let allowed_regions = eligibility::allowed_regions(entry, call);
    #[allow(clippy::cast_precision_loss)]
    let pause_objective_ms =
        (call.configuration.pause_objective_ms(&call.service)).map(|pause_ms| pause_ms as f64);
    choose_upstream(
        entry,
        &PlacementQuery {
            pause_objective_ms,
            service: &call.service,
            engine: service.and_then(|service| service.engine.as_ref()),
            size: call.head.size,
            objective_left_ms,
            // A retry has waited already, like a request that returns after a rejection.
            returning: call.returning || !excluded.is_empty(),
            allowed_regions: &allowed_regions,
            excluded,
        },
    )
}

/// Decides whether a failed attempt is retried; a retry spends the service's budget. A
/// request that crashes upstreams is not retried.
pub(crate) fn decide_next_step(
    entry: &Entry,
    call: &Call,
    history: &AttemptHistory,
    failure: AttemptOutcome,
) -> NextStep {
    next_step(
        call.route.kind,
        attempts_max(entry, call),
        history,
        failure,
        call.time_left_ms(),
        || entry.with_retry_budget(&call.service, |budget| budget.try_spend(clock::now())),
    )
}

/// Returns the number of upstreams that a request may be sent to.
pub(super) fn attempts_max(entry: &Entry, call: &Call) -> u32 {
    if entry.crashes.allows_retry(call) {
        call.route.attempts_max
    } else {
        0
    }
}

//! HTTP API for operators.

mod changes;
mod problems;
mod queries;
mod response;
#[cfg(test)]
mod tests;

use std::sync::Arc;

use masticdock_core::event;
use masticdock_core::ids::OperatorId;
use prometheus::{IntCounter, IntCounterVec, Opts, Registry};
use tiny_http::{Method, Request};
use url::Url;

use crate::control::{ConfigTable, ControlHandle, config_table};
use crate::event_log::log_event;
use crate::metrics::Metrics;
use crate::request_http::{HandlerLimits, Listener, header_name, header_value};
use crate::secrets::OperatorTokens;
use crate::settings::EntrySettings;
use response::{ApiResult, send};

/// State that all request handlers share.
struct Shared {
    control: ControlHandle,
    table: ConfigTable,
    tokens: OperatorTokens,
    limits: HandlerLimits,
    requests: IntCounterVec,
    rejected: IntCounter,
}

/// Handle of the running operators' listener.
pub(crate) struct Handle {
    listener: Listener,
}

impl Handle {
    #[cfg(test)]
    /// Returns the bound address.
    pub(crate) const fn addr(&self) -> std::net::SocketAddr {
        self.listener.addr()
    }

    /// Returns the number of requests in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.listener.in_flight()
    }
}

/// Starts the operators' listener.
///
/// # Errors
///
/// Returns an error when the address cannot be bound, the token file cannot be read or a metric
/// cannot be registered.
pub(crate) fn spawn(
    settings: &EntrySettings,
    control: &ControlHandle,
    metrics: &Metrics,
) -> anyhow::Result<Handle> {
    let tokens = OperatorTokens::read(&settings.operator_tokens_file)?;
    let (requests, rejected) = register(metrics.registry())?;
    let shared = Arc::new(Shared {
        control: control.clone(),
        table: config_table(&settings.platform),
        tokens,
        limits: HandlerLimits::from(&settings.http),
        requests,
        rejected,
    });
    let limits = shared.limits;
    let listener = Listener::spawn(
        "operators",
        settings.operators_addr,
        limits,
        move |request| handle(&shared, request),
    )?;
    Ok(Handle { listener })
}

fn register(registry: &Registry) -> prometheus::Result<(IntCounterVec, IntCounter)> {
    let requests = IntCounterVec::new(
        Opts::new(
            "masticdock_operator_requests_total",
            "Requests of operators by HTTP status.",
        ),
        &["status"],
    )?;
    let rejected = IntCounter::new(
        "masticdock_operator_refused_total",
        "Requests without a valid operator token.",
    )?;
    registry.register(Box::new(requests.clone()))?;
    registry.register(Box::new(rejected.clone()))?;
    Ok((requests, rejected))
}

fn handle(shared: &Shared, mut request: Request) {
    let result = authenticate(shared, &request).map_or_else(
        || Err(problems::unauthorized()),
        |operator| route(shared, &operator, &mut request),
    );
    let status = result.as_ref().map_or_else(|p| p.status, |_| 200);
    let status = status.to_string();
    shared.requests.with_label_values(&[&status]).inc();
    send(request, result);
}

/// Returns the operator of the bearer token; counts and logs a missing or wrong token.
fn authenticate(shared: &Shared, request: &Request) -> Option<OperatorId> {
    let header = header_value(request.headers(), header_name::AUTHORIZATION);
    let token = header.and_then(|text| text.strip_prefix("Bearer "));
    let operator = token.and_then(|token| shared.tokens.operator_of(token.trim()));
    if operator.is_none() {
        shared.rejected.inc();
        let from = request
            .remote_addr()
            .map_or_else(String::new, ToString::to_string);
        let reason = if header.is_some() { "wrong" } else { "missing" };
        log_event!(
            event::OPERATOR_UNAUTHORIZED,
            "{reason} token from {from} for {} {}",
            request.method(),
            request.url()
        );
    }
    operator
}

fn route(shared: &Shared, operator: &OperatorId, request: &mut Request) -> ApiResult {
    // The base turns the path of the request line into an absolute URL; its host is not used.
    let base = Url::parse("http://entry/").map_err(|_| problems::not_found("no such path"))?;
    let url = base
        .join(request.url())
        .map_err(|_| problems::not_found("the path cannot be read"))?;
    let post = *request.method() == Method::Post;
    match (post, url.path()) {
        (true, "/v1/changes") => changes::handle(shared, operator, request),
        (false, "/v1/resources") => queries::resources(shared, &url),
        (false, "/v1/vms") => queries::vms(shared),
        (false, "/v1/audit") => queries::audit(shared, &url),
        (false, path) => {
            let name = path.strip_prefix("/v1/rollouts/");
            let name = name.and_then(|rest| rest.strip_suffix("/status"));
            let name = name.ok_or_else(|| problems::not_found("no such path"))?;
            queries::rollout_status(shared, name)
        }
        (true, _) => Err(problems::not_found("no such path")),
    }
}

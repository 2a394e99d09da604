//! HTTP listener for operators.

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
use response::{Answer, send};

/// What the handlers of requests share.
struct Shared {
    control: ControlHandle,
    table: ConfigTable,
    tokens: OperatorTokens,
    limits: HandlerLimits,
    requests: IntCounterVec,
    refused: IntCounter,
}

/// The running listener.
pub(crate) struct Handle {
    listener: Listener,
}

impl Handle {
    #[cfg(test)]
    /// Returns the bound address.
    pub(crate) const fn addr(&self) -> std::net::SocketAddr {
        self.listener.addr()
    }

    /// Returns the number of requests in progress.
    pub(crate) fn in_flight(&self) -> usize {
        self.listener.in_flight()
    }
}

/// Opens the listener.
///
/// # Errors
///
/// Fails when the address cannot be bound or the token file cannot be read.
pub(crate) fn spawn(
    settings: &EntrySettings,
    control: &ControlHandle,
    metrics: &Metrics,
) -> anyhow::Result<Handle> {
    let tokens = OperatorTokens::read(&settings.operator_tokens_file)?;
    let (requests, refused) = register(metrics.registry())?;
    let shared = Arc::new(Shared {
        control: control.clone(),
        table: config_table(&settings.platform),
        tokens,
        limits: HandlerLimits::from(&settings.http),
        requests,
        refused,
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
    let refused = IntCounter::new(
        "masticdock_operator_refused_total",
        "Requests without a valid operator token.",
    )?;
    registry.register(Box::new(requests.clone()))?;
    registry.register(Box::new(refused.clone()))?;
    Ok((requests, refused))
}

fn handle(shared: &Shared, mut request: Request) {
    let answer = authenticate(shared, &request).map_or_else(
        || Err(problems::unauthorized()),
        |operator| route(shared, &operator, &mut request),
    );
    let status = answer.as_ref().map_or_else(|p| p.status, |_| 200);
    let status = status.to_string();
    shared.requests.with_label_values(&[&status]).inc();
    send(request, answer);
}

fn authenticate(shared: &Shared, request: &Request) -> Option<OperatorId> {
    let header = header_value(request.headers(), header_name::AUTHORIZATION);
    let token = header.and_then(|text| text.strip_prefix("Bearer "));
    let operator = token.and_then(|token| shared.tokens.operator_of(token.trim()));
    if operator.is_none() {
        shared.refused.inc();
        let from = request
            .remote_addr()
            .map_or_else(String::new, ToString::to_string);
        let what = if header.is_some() { "wrong" } else { "missing" };
        log_event!(
            event::OPERATOR_UNAUTHORIZED,
            "{what} token from {from} for {} {}",
            request.method(),
            request.url()
        );
    }
    operator
}

fn route(shared: &Shared, operator: &OperatorId, request: &mut Request) -> Answer {
    // The base only completes the relative URL of the request line.
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

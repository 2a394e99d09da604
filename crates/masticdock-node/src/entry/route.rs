//! Routing of a caller's request by its head.

use std::rc::Rc;

use compact_str::CompactString;
use http::StatusCode;
use http::header::HOST;
use http::request::Parts;
use masticdock_adapter::CallerHead;
use masticdock_core::serving::{Configuration, Route, RouteMatch, Workspace};

use super::outcome::EXCLUDED_RETRY_AFTER_MS;
use super::state::Entry;
use crate::clock;

/// Time after SIGTERM from which new requests are rejected, in milliseconds: a
/// request that begins later may not end within the grace period.
const ACCEPT_WHILE_STOPPING_MS: u64 = 3_000;
/// `Retry-After` delay while the entry is not ready, in milliseconds.
const NOT_READY_RETRY_AFTER_MS: u64 = 500;

/// Route of a request and workspace of its caller, in the configuration in force.
pub(super) struct RoutedRequest {
    pub(super) configuration: Rc<Configuration>,
    pub(super) host: CompactString,
    pub(super) route: Route,
    pub(super) workspace: Option<Workspace>,
}

/// Rejection of a request by its head alone.
pub(super) struct HeadRejection {
    pub(super) status: StatusCode,
    pub(super) reason: &'static str,
    pub(super) retry_after_ms: Option<u64>,
}

impl HeadRejection {
    /// Returns the rejection of a request that the configuration allows, but does not tell how
    /// to serve.
    fn unreadable(reason: &'static str) -> Self {
        let (min_ms, max_ms) = EXCLUDED_RETRY_AFTER_MS;
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            retry_after_ms: Some(rand::random_range(min_ms..=max_ms)),
        }
    }

    /// Returns the rejection of an entry that takes no requests.
    pub(super) const fn not_ready() -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason: "not_ready",
            retry_after_ms: Some(NOT_READY_RETRY_AFTER_MS),
        }
    }
}

/// Finds the route of a request.
///
/// # Errors
///
/// Returns a rejection if the entry takes no requests, no route matches, the API key is
/// unknown, or the configuration does not tell how to serve the request.
pub(super) fn route_request(
    entry: &Entry,
    parts: &Parts,
    head: &CallerHead,
) -> Result<RoutedRequest, HeadRejection> {
    let reject = |status, reason| HeadRejection {
        status,
        reason,
        retry_after_ms: None,
    };
    let Some(configuration) = entry.configuration().filter(|_| entry.accepts_requests()) else {
        return Err(HeadRejection::not_ready());
    };
    let host = match parts.uri.authority() {
        Some(authority) => Some(authority.as_str()),
        None => parts.headers.get(HOST).and_then(|host| host.to_str().ok()),
    };
    let host = CompactString::new(host.unwrap_or_default());
    let matched = configuration.find(&host, parts.uri.path(), head.api_key.as_deref());
    let (route, workspace) = match matched {
        RouteMatch::Route { route, workspace } => (route.clone(), workspace.cloned()),
        RouteMatch::NoRoute => return Err(reject(StatusCode::NOT_FOUND, "no_route")),
        RouteMatch::UnknownKey => {
            return Err(reject(StatusCode::UNAUTHORIZED, "unknown_key"));
        }
        RouteMatch::UnreadableRoute => return Err(HeadRejection::unreadable("route_unreadable")),
        RouteMatch::UnreadableWorkspace => {
            return Err(HeadRejection::unreadable("workspace_unreadable"));
        }
    };
    Ok(RoutedRequest {
        configuration,
        host,
        route,
        workspace,
    })
}

impl Entry {
    /// Returns true while new requests are accepted.
    pub(super) fn accepts_requests(&self) -> bool {
        let upstreams_loaded = self.catalog.borrow().upstreams_loaded;
        let stopping_ms = self
            .stopping_since()
            .map_or(0, |since| clock::now().since_ms(since));
        upstreams_loaded && stopping_ms < ACCEPT_WHILE_STOPPING_MS
    }
}

//! Serves the list of upstreams to agents, which then need not read it from the store.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use masticdock_core::ids::ServiceId;

use super::state::Entry;
use crate::http_server::{respond, serve};
use crate::tables::current_age_max_ms;
use crate::{clock, upstream_list};

/// Serves the list; returns only if the address cannot be bound.
pub(crate) async fn run(entry: Rc<Entry>) {
    let address = SocketAddr::new(entry.settings.ip, entry.settings.peer_port);
    let result = serve(address, move |request| {
        let response = match upstream_list::parse_path(request.uri().path()) {
            Some(service) => list(&entry, &service),
            None => respond(StatusCode::NOT_FOUND, Bytes::new()),
        };
        async move { response }
    })
    .await;
    if let Err(error) = result {
        log::error!(
            event = "listener.failed",
            address:% = address,
            error:% = error;
            "cannot serve the list of upstreams; agents read it from the store"
        );
    }
}

fn list(entry: &Entry, service: &ServiceId) -> Response<Full<Bytes>> {
    let catalog = entry.catalog.borrow();
    let age_max_ms = current_age_max_ms(&entry.settings.bounds);
    let is_current = catalog
        .upstreams_polled_at
        .is_some_and(|polled_at| clock::now().since_ms(polled_at) < age_max_ms);
    if !is_current {
        return respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    match upstream_list::encode(&catalog.directory, service) {
        Ok(list) => respond(StatusCode::OK, list),
        Err(error) => {
            log::error!(
                event = "upstreams.unlisted",
                error:% = error;
                "cannot encode the list of upstreams"
            );
            respond(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new())
        }
    }
}

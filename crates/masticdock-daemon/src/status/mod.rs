//! HTTP listener for `/healthz`, `/readyz` and `/metrics`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use anyhow::anyhow;
use tiny_http::{Request, Response, Server};

use crate::metrics::Metrics;

/// Readiness check of the process; the error text states why it does not accept work.
pub(crate) type Readiness = Arc<dyn Fn() -> Result<(), String> + Send + Sync>;

/// Binds the listener and serves requests on a thread of its own.
///
/// # Errors
///
/// Fails when the address cannot be bound or the thread cannot be started.
pub(crate) fn spawn(addr: SocketAddr, metrics: Metrics, ready: Readiness) -> anyhow::Result<()> {
    let server = Server::http(addr)
        .map_err(|error| anyhow!("cannot listen on status_addr {addr}: {error}"))?;
    thread::Builder::new()
        .name("status".to_owned())
        .spawn(move || {
            for request in server.incoming_requests() {
                handle_request(request, &metrics, &ready);
            }
        })?;
    Ok(())
}

fn handle_request(request: Request, metrics: &Metrics, ready: &Readiness) {
    let (status, body) = match request.url() {
        "/healthz" => (200, b"ok\n".to_vec()),
        "/readyz" => match ready() {
            Ok(()) => (200, b"ready\n".to_vec()),
            Err(reason) => (503, format!("{reason}\n").into_bytes()),
        },
        "/metrics" => (200, metrics.render()),
        _ => (404, b"not found\n".to_vec()),
    };
    let response = Response::from_data(body).with_status_code(status);
    if let Err(error) = request.respond(response) {
        log::debug!("cannot send status response: {error}");
    }
}

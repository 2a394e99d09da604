//! HTTP listener for operators.

use std::thread;

use anyhow::anyhow;
use tiny_http::{Response, Server};

use crate::control::ControlHandle;
use crate::metrics::Metrics;
use crate::settings::EntrySettings;

/// Opens the listener and answers on its own threads.
///
/// # Errors
///
/// Fails when the address cannot be bound or the token file cannot be read.
pub(crate) fn spawn(
    settings: &EntrySettings,
    _control: &ControlHandle,
    _metrics: &Metrics,
) -> anyhow::Result<()> {
    let addr = settings.operators_addr;
    let server = Server::http(addr)
        .map_err(|error| anyhow!("cannot listen on operators_addr {addr}: {error}"))?;
    thread::Builder::new()
        .name("operators".to_owned())
        .spawn(move || {
            for request in server.incoming_requests() {
                let response = Response::from_string("not found\n").with_status_code(404);
                if let Err(error) = request.respond(response) {
                    log::debug!("operator response was not delivered: {error}");
                }
            }
        })?;
    Ok(())
}

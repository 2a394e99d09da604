//! Loopback listener from which the engine reads weights.
//!
//! `GET /weights/<manifest digest>` returns the verified copy. The chunks are
//! streamed from the memory of the transfer, without a second copy.

mod reader;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use anyhow::anyhow;
use masticdock_core::event;
use masticdock_core::ids::Digest;
use tiny_http::{Method, Request, Response, Server};

use super::transfer::VerifiedCopy;
use crate::event_log::log_event;
use reader::ChunkReader;

/// Maximum number of concurrent requests; an engine reads one version at a time.
const READERS_MAX: usize = 2;

/// Function that returns a copy once it is complete and verified.
pub(crate) type CopySource = Arc<dyn Fn(&Digest) -> Option<Arc<VerifiedCopy>> + Send + Sync>;

/// Starts the listener and returns its base URL.
///
/// # Errors
///
/// Fails if the address cannot be bound or a thread cannot be started.
pub(crate) fn spawn(addr: SocketAddr, copies: &CopySource) -> anyhow::Result<String> {
    let server = Server::http(addr)
        .map_err(|error| anyhow!("cannot listen on weights_addr {addr}: {error}"))?;
    let server = Arc::new(server);
    for index in 0..READERS_MAX {
        let server = Arc::clone(&server);
        let copies = Arc::clone(copies);
        thread::Builder::new()
            .name(format!("weights-{index}"))
            .spawn(move || {
                for request in server.incoming_requests() {
                    handle_request(request, &copies);
                }
            })?;
    }
    Ok(format!("http://{}", server.server_addr()))
}

fn handle_request(request: Request, copies: &CopySource) {
    if *request.method() != Method::Get {
        return reject(request, 405, "use GET");
    }
    let digest = request.url().strip_prefix("/weights/");
    let Some(Ok(digest)) = digest.map(str::parse::<Digest>) else {
        return reject(request, 404, "use /weights/<manifest digest>");
    };
    let Some(copy) = copies(&digest) else {
        return reject(request, 404, "this agent holds no verified copy");
    };
    let len = usize::try_from(copy.manifest.total_bytes.0).ok();
    let reader = ChunkReader::new(copy);
    let response = Response::new(200.into(), Vec::new(), reader, len, None)
        // The engine verifies the size and digest of what it reads, and chunked
        // encoding would copy each chunk.
        .with_chunked_threshold(usize::MAX);
    if let Err(error) = request.respond(response) {
        log_event!(event::WEIGHTS_READ_FAILED, "manifest {digest}: {error}");
    }
}

fn reject(request: Request, status: u16, text: &str) {
    let response = Response::from_string(text).with_status_code(status);
    if let Err(error) = request.respond(response) {
        log::debug!("cannot send the weights response: {error}");
    }
}

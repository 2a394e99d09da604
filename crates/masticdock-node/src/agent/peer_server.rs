//! Passes pieces on to other agents.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use masticdock_core::ids::ModelId;
use masticdock_core::serving::VersionNumber;
use tokio::time::{Instant, sleep, timeout_at};

use super::state::Agent;
use crate::clock;
use crate::http_server::{respond, serve};

/// Longest time that a request waits for a piece which is on its way here.
pub(crate) const PIECE_WAIT: Duration = Duration::from_secs(2);

/// Serves pieces for ever.
pub(crate) async fn run(agent: Rc<Agent>) {
    let address = SocketAddr::new(agent.settings.ip, agent.settings.peer_port);
    let result = serve(address, move |request| answer(Rc::clone(&agent), request)).await;
    if let Err(error) = result {
        log::error!(
            event = "listener.failed",
            address:% = address,
            error:% = error;
            "cannot serve pieces to other agents"
        );
    }
}

/// Returns the path under which a piece is asked for.
pub(crate) fn piece_path(model: &ModelId, version: VersionNumber, piece: usize) -> String {
    format!("/pieces/{model}/{version}/{piece}")
}

async fn answer(agent: Rc<Agent>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let Some((model, version, piece)) = parse(request.uri().path()) else {
        return respond(StatusCode::NOT_FOUND, Bytes::new());
    };
    match find(&agent, &model, version, piece).await {
        Some(bytes) => {
            pace(&agent, bytes.len()).await;
            respond(StatusCode::OK, bytes)
        }
        None => respond(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

/// Waits until a piece may be sent without holding up events of streams.
async fn pace(agent: &Agent, bytes: usize) {
    loop {
        let now = clock::now();
        let wait_ms = {
            let mut uploads = agent.uploads.borrow_mut();
            let wait_ms = uploads.wait_ms(now);
            if wait_ms == 0 {
                uploads.take(bytes as u64, now);
            }
            wait_ms
        };
        if wait_ms == 0 {
            return;
        }
        sleep(Duration::from_millis(wait_ms)).await;
    }
}

fn parse(path: &str) -> Option<(ModelId, VersionNumber, usize)> {
    let mut parts = path.strip_prefix("/pieces/")?.split('/');
    let model = parts.next()?.parse().ok()?;
    let version = parts.next()?.parse().ok()?;
    let piece = parts.next()?.parse().ok()?;
    Some((model, version, piece))
}

/// Finds a piece in memory or in the stage, or waits for it to arrive.
async fn find(
    agent: &Agent,
    model: &ModelId,
    version: VersionNumber,
    piece: usize,
) -> Option<Bytes> {
    let deadline = Instant::now() + PIECE_WAIT;
    loop {
        let pieces = agent.pieces.borrow().clone();
        let newest = pieces.as_ref().map(|pieces| pieces.version);
        if let Some(pieces) = pieces.filter(|pieces| pieces.version == version) {
            let arrived = pieces.arrived.notified();
            if let Some(bytes) = pieces.get(piece) {
                return Some(bytes);
            }
            timeout_at(deadline, arrived).await.ok()?;
            continue;
        }
        if agent.staged.get() == Some(version) {
            return agent.engine.read_staged(model, piece).await.ok()?;
        }
        if newest.is_some_and(|newest| newest > version) {
            return None;
        }
        // The version may not be known here yet.
        timeout_at(deadline, agent.changed.notified()).await.ok()?;
    }
}

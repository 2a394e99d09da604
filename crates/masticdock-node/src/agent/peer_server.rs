//! Passes pieces on to other agents.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use masticdock_adapter::Manifest;
use masticdock_core::ids::{ModelId, RegionId};
use masticdock_core::serving::VersionNumber;
use tokio::time::{Instant, sleep, timeout_at};

use super::state::Agent;
use crate::clock;
use crate::http_server::{respond, serve};

/// Longest time that a request waits for a piece which is on its way here.
pub(crate) const PIECE_WAIT: Duration = Duration::from_millis(2_800);

/// Longest time that a request waits for a manifest that is on its way here.
const MANIFEST_WAIT: Duration = Duration::from_millis(900);
/// Pieces for agents of the region that wait to be sent; the link carries them
/// in half a second, and who asks beyond them finds others sooner.
const NEAR_WAITING_MAX: usize = 10;
/// Time for which a piece lets one for another region go first, in milliseconds.
const YIELD_MS: u64 = 5;

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

/// A piece that another agent asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PieceRequest {
    pub(crate) model: ModelId,
    pub(crate) version: VersionNumber,
    pub(crate) piece: usize,
    /// Region of the agent that asks.
    pub(crate) region: RegionId,
    /// True when the piece may still be on its way to the agent that is asked.
    pub(crate) wait: bool,
}

impl PieceRequest {
    /// Returns the path under which the piece is asked for.
    pub(crate) fn path(&self) -> String {
        let wait = if self.wait { "wait" } else { "now" };
        format!(
            "/pieces/{}/{}/{}/{}/{wait}",
            self.model, self.version, self.piece, self.region
        )
    }

    fn parse(path: &str) -> Option<Self> {
        let mut parts = path.strip_prefix("/pieces/")?.split('/');
        Some(Self {
            model: parts.next()?.parse().ok()?,
            version: parts.next()?.parse().ok()?,
            piece: parts.next()?.parse().ok()?,
            region: parts.next()?.parse().ok()?,
            wait: parts.next() == Some("wait"),
        })
    }
}

async fn answer(agent: Rc<Agent>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    if let Some((model, version)) = parse_manifest(request.uri().path()) {
        return match find_manifest(&agent, &model, version).await {
            Ok(manifest) => respond(StatusCode::OK, manifest.to_bytes()),
            Err(status) => respond(status, Bytes::new()),
        };
    }
    let Some(wanted) = PieceRequest::parse(request.uri().path()) else {
        return respond(StatusCode::NOT_FOUND, Bytes::new());
    };
    let near = wanted.region == agent.settings.region;
    if near && agent.near_waiting.get() >= NEAR_WAITING_MAX {
        return respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    match find(&agent, &wanted).await {
        Some(bytes) => {
            let _waiting = near.then(|| Waiting::begin(&agent.near_waiting));
            pace(&agent, bytes.len(), &wanted.region).await;
            respond(StatusCode::OK, bytes)
        }
        None => respond(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

/// Counts a piece that waits to be sent until it is dropped.
struct Waiting<'a>(&'a Cell<usize>);

impl<'a> Waiting<'a> {
    fn begin(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Waits until a piece may be sent without holding up events of streams.
async fn pace(agent: &Agent, bytes: usize, region: &RegionId) {
    let far = *region != agent.settings.region;
    // Set while only the VM's own link holds a piece for another region up.
    let mut first_in_line = None;
    loop {
        let now = clock::now();
        let far_wait_ms = if far {
            agent.far_wait_ms(region, now)
        } else {
            0
        };
        if far && far_wait_ms == 0 && first_in_line.is_none() {
            first_in_line = Some(Waiting::begin(&agent.far_waiting));
        }
        let mut wait_ms = agent.uploads.borrow().wait_ms(now).max(far_wait_ms);
        if !far && agent.far_waiting.get() > 0 {
            wait_ms = wait_ms.max(YIELD_MS);
        }
        if wait_ms == 0 {
            agent.uploads.borrow_mut().take(bytes as u64, now);
            if far {
                agent.take_far(region, bytes as u64, now);
            }
            return;
        }
        if far_wait_ms > 0 {
            first_in_line = None;
        }
        sleep(Duration::from_millis(wait_ms)).await;
    }
}

/// Returns the path under which the manifest of a version is asked for.
pub(crate) fn manifest_path(model: &ModelId, version: VersionNumber) -> String {
    format!("/manifests/{model}/{version}")
}

fn parse_manifest(path: &str) -> Option<(ModelId, VersionNumber)> {
    let (model, version) = path.strip_prefix("/manifests/")?.split_once('/')?;
    Some((model.parse().ok()?, version.parse().ok()?))
}

/// Finds a manifest in memory, or waits for it to arrive. The status tells
/// whether it may still come or never will.
async fn find_manifest(
    agent: &Agent,
    model: &ModelId,
    version: VersionNumber,
) -> Result<Manifest, StatusCode> {
    let deadline = Instant::now() + MANIFEST_WAIT;
    loop {
        let changed = agent.changed.notified();
        let Some(goal) = agent.model_goal().filter(|goal| goal.model == *model) else {
            return Err(StatusCode::NOT_FOUND);
        };
        if let Some(manifest) = agent.manifest_of(version) {
            return Ok(manifest);
        }
        if agent.held(&goal) >= Some(version) || agent.newest(&goal) > version {
            return Err(StatusCode::NOT_FOUND);
        }
        if timeout_at(deadline, changed).await.is_err() {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
    }
}

/// Finds a piece in memory or in the stage, or waits for it to arrive.
async fn find(agent: &Agent, wanted: &PieceRequest) -> Option<Bytes> {
    let deadline = Instant::now() + PIECE_WAIT;
    loop {
        if let Some(pieces) = agent.pieces_of(wanted.version) {
            let arrived = pieces.arrived.notified();
            if let Some(bytes) = pieces.get(wanted.piece) {
                return Some(bytes);
            }
            if !wanted.wait {
                return None;
            }
            timeout_at(deadline, arrived).await.ok()?;
            continue;
        }
        if agent.staged.get() == Some(wanted.version) {
            let read = agent.engine.read_staged_chunk(&wanted.model, wanted.piece);
            return read.await.ok()?;
        }
        let goal = agent.model_goal()?;
        if agent.newest(&goal) > wanted.version || !wanted.wait {
            return None;
        }
        // The version may not be known or prepared here yet.
        timeout_at(deadline, agent.changed.notified()).await.ok()?;
    }
}

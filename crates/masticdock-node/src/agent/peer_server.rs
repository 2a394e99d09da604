//! HTTP server that serves chunks and manifests to other agents.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use masticdock_adapter::{Manifest, decode_path_segment, encode_path_segment};
use masticdock_core::ids::{ExternalName, ModelId, RegionId};
use masticdock_core::serving::VersionNumber;
use tokio::time::{Instant, sleep, timeout_at};

use super::state::Agent;
use crate::clock;
use crate::http_server::{respond, serve};

/// Maximum time that a request waits for a chunk that this agent is still fetching.
pub(crate) const CHUNK_WAIT_MAX: Duration = Duration::from_millis(2_800);

/// Maximum time that a request waits for a manifest that this agent is still reading.
const MANIFEST_WAIT_MAX: Duration = Duration::from_millis(900);
/// Limit of the chunks for agents of the region that wait to be sent. The link
/// transmits that many in 500 ms; a rejected agent finds another source sooner.
const SAME_REGION_WAITING_MAX: usize = 10;
/// Delay of a chunk for the same region while one for another region waits, in
/// milliseconds.
const CROSS_REGION_YIELD_MS: u64 = 5;

/// Serves chunks and manifests; returns only if the address cannot be bound.
pub(crate) async fn run(agent: Rc<Agent>) {
    let address = SocketAddr::new(agent.settings.ip, agent.settings.peer_port);
    let result = serve(address, move |request| {
        handle_request(Rc::clone(&agent), request)
    })
    .await;
    if let Err(error) = result {
        log::error!(
            event = "listener.failed",
            address:% = address,
            error:% = error;
            "cannot serve chunks to other agents"
        );
    }
}

/// Request of another agent for a chunk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ChunkRequest {
    pub(crate) model: ModelId,
    pub(crate) version: VersionNumber,
    pub(crate) chunk_index: usize,
    /// Region of the requesting agent.
    pub(crate) region: RegionId,
    /// True if the serving agent should wait for the chunk when it does not hold it
    /// yet.
    pub(crate) wait: bool,
}

impl ChunkRequest {
    /// Returns the URL path of the request.
    pub(crate) fn path(&self) -> String {
        let wait = if self.wait { "wait" } else { "now" };
        format!(
            "/pieces/{}/{}/{}/{}/{wait}",
            encode_path_segment(self.model.as_str()),
            self.version,
            self.chunk_index,
            encode_path_segment(self.region.as_str())
        )
    }

    fn parse(path: &str) -> Option<Self> {
        let mut parts = path.strip_prefix("/pieces/")?.split('/');
        Some(Self {
            model: decode_name(parts.next()?)?,
            version: parts.next()?.parse().ok()?,
            chunk_index: parts.next()?.parse().ok()?,
            region: decode_name(parts.next()?)?,
            wait: parts.next() == Some("wait"),
        })
    }
}

async fn handle_request(agent: Rc<Agent>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    if let Some((model, version)) = parse_manifest_path(request.uri().path()) {
        return match find_manifest(&agent, &model, version).await {
            Ok(manifest) => respond(StatusCode::OK, manifest.to_bytes()),
            Err(status) => respond(status, Bytes::new()),
        };
    }
    let Some(wanted) = ChunkRequest::parse(request.uri().path()) else {
        return respond(StatusCode::NOT_FOUND, Bytes::new());
    };
    let same_region = wanted.region == agent.settings.region;
    if same_region && agent.same_region_waiting.get() >= SAME_REGION_WAITING_MAX {
        return respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    match find_chunk(&agent, &wanted).await {
        Some(bytes) => {
            let _waiting = same_region.then(|| WaitingGuard::begin(&agent.same_region_waiting));
            pace_upload(&agent, bytes.len(), &wanted.region).await;
            respond(StatusCode::OK, bytes)
        }
        None => respond(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

/// Guard that counts a chunk as waiting to be sent until it is dropped.
struct WaitingGuard<'a>(&'a Cell<usize>);

impl<'a> WaitingGuard<'a> {
    fn begin(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Waits until a chunk may be sent without delaying the events of streams, which share
/// the link.
async fn pace_upload(agent: &Agent, bytes: usize, region: &RegionId) {
    let cross_region = *region != agent.settings.region;
    // Held while a chunk for another region waits only for the link of this VM.
    let mut priority_guard = None;
    loop {
        let now = clock::now();
        let cross_region_wait_ms = if cross_region {
            agent.cross_region_wait_ms(region, now)
        } else {
            0
        };
        if cross_region && cross_region_wait_ms == 0 && priority_guard.is_none() {
            priority_guard = Some(WaitingGuard::begin(&agent.cross_region_waiting));
        }
        let mut wait_ms = agent
            .upload_pacer
            .borrow()
            .wait_ms(now)
            .max(cross_region_wait_ms);
        if !cross_region && agent.cross_region_waiting.get() > 0 {
            wait_ms = wait_ms.max(CROSS_REGION_YIELD_MS);
        }
        if wait_ms == 0 {
            agent.upload_pacer.borrow_mut().take(bytes as u64, now);
            if cross_region {
                agent.record_cross_region_upload(region, bytes as u64, now);
            }
            return;
        }
        if cross_region_wait_ms > 0 {
            priority_guard = None;
        }
        sleep(Duration::from_millis(wait_ms)).await;
    }
}

/// Returns the URL path of the manifest of a version.
pub(crate) fn manifest_path(model: &ModelId, version: VersionNumber) -> String {
    let model = encode_path_segment(model.as_str());
    format!("/manifests/{model}/{version}")
}

fn parse_manifest_path(path: &str) -> Option<(ModelId, VersionNumber)> {
    let (model, version) = path.strip_prefix("/manifests/")?.split_once('/')?;
    Some((decode_name(model)?, version.parse().ok()?))
}

/// Decodes a name from a segment of a URL path.
fn decode_name<T: ExternalName>(segment: &str) -> Option<T> {
    T::from_external(&decode_path_segment(segment)?).ok()
}

/// Returns a manifest from memory, or waits for it to arrive. Fails with 503 if it may
/// still arrive, and with 404 if it never will.
async fn find_manifest(
    agent: &Agent,
    model: &ModelId,
    version: VersionNumber,
) -> Result<Manifest, StatusCode> {
    let deadline = Instant::now() + MANIFEST_WAIT_MAX;
    loop {
        let changed = agent.changed.notified();
        let Some(target) = agent.target_model().filter(|target| target.model == *model) else {
            return Err(StatusCode::NOT_FOUND);
        };
        if let Some(manifest) = agent.manifest_of(version) {
            return Ok(manifest);
        }
        if agent.loaded_version(&target) >= Some(version)
            || agent.newest_declared(&target) > version
        {
            return Err(StatusCode::NOT_FOUND);
        }
        if timeout_at(deadline, changed).await.is_err() {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
    }
}

/// Returns a chunk from memory or from the stage, or waits for it to arrive.
async fn find_chunk(agent: &Agent, wanted: &ChunkRequest) -> Option<Bytes> {
    let deadline = Instant::now() + CHUNK_WAIT_MAX;
    loop {
        if let Some(chunks) = agent.chunks_of(wanted.version) {
            let arrived = chunks.arrived.notified();
            if let Some(bytes) = chunks.get(wanted.chunk_index) {
                return Some(bytes);
            }
            if !wanted.wait {
                return None;
            }
            timeout_at(deadline, arrived).await.ok()?;
            continue;
        }
        if agent.staged_version.get() == Some(wanted.version) {
            let read = agent
                .engine
                .read_staged_chunk(&wanted.model, wanted.chunk_index);
            return read.await.ok()?;
        }
        let target = agent.target_model()?;
        if agent.newest_declared(&target) > wanted.version || !wanted.wait {
            return None;
        }
        // The version may not be declared or prepared at this agent yet.
        timeout_at(deadline, agent.changed.notified()).await.ok()?;
    }
}

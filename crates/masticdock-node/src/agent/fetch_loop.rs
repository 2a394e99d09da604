//! Fetches each newer version into memory as soon as it is declared.

use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use masticdock_adapter::{CallError, HttpClient, Manifest, OriginClient};
use masticdock_core::serving::{ChunkSource, VersionNumber};
use tokio::time::{sleep, timeout};

use super::peer_server::manifest_path;
use super::state::{Agent, TargetModel};
use super::version_chunks::VersionChunks;
use super::version_fetch::{FetchOutcome, fetch_version};

/// Longest wait for a change before the state is looked at again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for the manifest from a peer, which may have to arrive there first.
const MANIFEST_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Pause after a step that failed.
const RETRY_BACKOFF: Duration = Duration::from_millis(150);

/// Fetches versions for ever.
pub(crate) async fn run(agent: Rc<Agent>) {
    loop {
        let Some((target, version)) = version_to_fetch(&agent) else {
            let _ = timeout(RECHECK_INTERVAL, agent.changed.notified()).await;
            continue;
        };
        if !fetch_into_memory(&agent, &target, version).await {
            sleep(RETRY_BACKOFF).await;
        }
    }
}

/// Returns the version to fetch, or `None` while nothing is missing.
fn version_to_fetch(agent: &Agent) -> Option<(TargetModel, VersionNumber)> {
    let target = agent.target_model()?;
    // Without a report it is not known what the engine holds.
    agent.engine_report.borrow().as_ref()?;
    let version = agent.newest_declared(&target);
    if agent.loaded_version(&target) == Some(version) {
        agent.evict_chunks(version);
        return None;
    }
    let complete = agent
        .chunks_of(version)
        .is_some_and(|chunks| chunks.is_complete());
    (!complete).then_some((target, version))
}

/// Fetches `version`; returns false when that failed.
async fn fetch_into_memory(
    agent: &Rc<Agent>,
    target: &TargetModel,
    version: VersionNumber,
) -> bool {
    let Some(chunks) = prepare_chunks(agent, target, version).await else {
        return false;
    };
    let outcome = fetch_version(agent, target, &chunks).await;
    if outcome == FetchOutcome::Complete {
        agent.changed.notify_waiters();
        return true;
    }
    log::warn!(
        event = "fetch.ended",
        weights = version.0,
        end:? = outcome;
        "a version was not fetched whole; the newest one is tried next"
    );
    agent.chunks.borrow_mut().remove(&version);
    agent.last_manifest.replace(None);
    false
}

/// Returns the pieces of `version`, with its manifest and what the stage holds already.
async fn prepare_chunks(
    agent: &Rc<Agent>,
    target: &TargetModel,
    version: VersionNumber,
) -> Option<Rc<VersionChunks>> {
    if let Some(chunks) = agent.chunks_of(version) {
        return Some(chunks);
    }
    agent.read_upstreams().await;
    let attempt = agent.next_manifest_attempt(version);
    let manifest = match read_manifest(agent, target, version, attempt).await {
        Ok(Some(manifest)) => manifest,
        Ok(None) => {
            log::warn!(
                event = "manifest.gone",
                weights = version.0;
                "the origin no longer has the version"
            );
            return None;
        }
        Err(error) => {
            log::warn!(
                event = "manifest.failed",
                weights = version.0,
                attempt = attempt,
                error:% = error;
                "the manifest could not be read; it is tried again"
            );
            return None;
        }
    };
    agent
        .last_manifest
        .replace(Some((version, manifest.clone())));
    let chunks = VersionChunks::new(target.model.clone(), version, manifest);
    reuse_staged_chunks(agent, &chunks).await;
    log::info!(
        event = "version.fetching",
        weights = version.0,
        pieces = chunks.count();
        "the pieces of a version are fetched"
    );
    agent
        .chunks
        .borrow_mut()
        .insert(version, Rc::clone(&chunks));
    agent.changed.notify_waiters();
    Some(chunks)
}

/// Reads the manifest from where it is this agent's turn to ask; `None` when
/// the origin no longer has the version.
async fn read_manifest(
    agent: &Agent,
    target: &TargetModel,
    version: VersionNumber,
    attempt: u32,
) -> Result<Option<Manifest>, CallError> {
    let peers = agent.peers(target, version);
    let source =
        agent.with_source_selector(&peers, None, |selector| selector.manifest_source(attempt));
    if let ChunkSource::Peer(index) = source {
        let path = manifest_path(&target.model, version);
        let reply = HttpClient::new(peers[index].agent)
            .get(&path, MANIFEST_TIMEOUT)
            .await?;
        let manifest = Manifest::from_bytes(&reply.body, target.engine.chunk_count);
        match (reply.status, manifest) {
            (StatusCode::OK, Some(manifest)) => return Ok(Some(manifest)),
            // The peer's engine held the version before its agent started.
            (StatusCode::NOT_FOUND, _) => {}
            (status, _) => {
                let name = &peers[index].chunk_peer.name;
                return Err(CallError::Unexpected(format!("{status} from {name}")));
            }
        }
    }
    let origin = OriginClient::new(target.origin.address);
    origin
        .manifest(&target.model, version, target.engine.chunk_count)
        .await
}

/// Takes over staged pieces whose digest is right, for example after a crash of the engine.
async fn reuse_staged_chunks(agent: &Agent, chunks: &VersionChunks) {
    let staged = match agent.engine.staged_chunks(&chunks.model).await {
        Ok(staged) => staged,
        Err(error) => {
            log::warn!(event = "stage.unreadable", error:% = error; "the stage cannot be listed");
            return;
        }
    };
    let mut reused = 0;
    for (checked, chunk_index) in staged.into_iter().enumerate() {
        let Ok(Some(bytes)) = agent
            .engine
            .read_staged_chunk(&chunks.model, chunk_index)
            .await
        else {
            continue;
        };
        if chunks.insert(chunk_index, bytes) {
            reused += 1;
        } else if reused == 0 && checked >= STAGED_MISMATCHES_MAX {
            // The stage holds another version.
            return;
        }
    }
}

/// Staged pieces with wrong digests, before any right one, after which the stage
/// is taken for another version's; a few may have turned bad.
const STAGED_MISMATCHES_MAX: usize = 3;

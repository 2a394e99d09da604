//! Fetches each newer version into memory as soon as it is declared.

use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use masticdock_adapter::{CallError, HttpClient, Manifest, OriginClient};
use masticdock_core::serving::{ChunkSource, LoadState, ModelTarget, VersionNumber};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::peer_server::manifest_path;
use super::state::Agent;
use super::version_chunks::VersionChunks;
use super::version_fetch::{FetchOutcome, fetch_version};

/// Maximum time between checks of the state when no change is notified.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for the manifest from a peer, which may still be reading it.
const MANIFEST_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Attempts whose sources are asked for the manifest: the two readers of the region, and
/// the origin.
const MANIFEST_ATTEMPTS: [u32; 3] = [0, 1, 3];
/// Time after which the next source is asked as well, in milliseconds: a reader has the
/// manifest within some tens of milliseconds.
const MANIFEST_HEDGE_MS: u64 = 180;
/// Maximum random addition to that time, in milliseconds; spreads the agents that ask
/// the origin, which accepts few connections.
const MANIFEST_HEDGE_JITTER_MS: u64 = 120;
/// Delay before a failed step is retried.
const RETRY_BACKOFF: Duration = Duration::from_millis(150);

/// Fetches versions; never returns.
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

/// Returns the version to fetch; `None` while nothing is missing.
fn version_to_fetch(agent: &Agent) -> Option<(ModelTarget, VersionNumber)> {
    let target = agent.target_model()?;
    // Without a report, the version that the engine holds is unknown.
    agent.engine_report.borrow().as_ref()?;
    let version = agent.newest_declared(&target);
    if agent.loaded_version(&target) == Some(version) {
        // Corrupt chunks of the stage are replaced from memory.
        if agent
            .load_state()
            .is_some_and(|(_, state)| state == LoadState::Intact)
        {
            agent.evict_chunks(version);
        }
        return None;
    }
    let complete = agent
        .chunks_of(version)
        .is_some_and(|chunks| chunks.is_complete());
    (!complete).then_some((target, version))
}

/// Fetches `version`; returns false on failure.
async fn fetch_into_memory(
    agent: &Rc<Agent>,
    target: &ModelTarget,
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
        "fetch ended before the version was complete; fetching the newest version next"
    );
    agent.chunks.borrow_mut().remove(&version);
    agent.last_manifest.replace(None);
    false
}

/// Returns the chunks of `version` with its manifest and those chunks that the stage
/// already holds; returns `None` if the manifest could not be read.
async fn prepare_chunks(
    agent: &Rc<Agent>,
    target: &ModelTarget,
    version: VersionNumber,
) -> Option<Rc<VersionChunks>> {
    if let Some(chunks) = agent.chunks_of(version) {
        return Some(chunks);
    }
    agent.read_upstreams().await;
    let manifest = match read_manifest(agent, target, version).await {
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
                error:% = error;
                "cannot read the manifest; retrying"
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
        "fetching the chunks of a version"
    );
    agent
        .chunks
        .borrow_mut()
        .insert(version, Rc::clone(&chunks));
    agent.changed.notify_waiters();
    Some(chunks)
}

/// Reads the manifest; returns `None` if the origin no longer has the version.
///
/// Asks one source after another without giving up the earlier ones: a reader that is
/// itself waiting, slow or gone must not delay the engines whose chunks are all staged.
pub(super) async fn read_manifest(
    agent: &Rc<Agent>,
    target: &ModelTarget,
    version: VersionNumber,
) -> Result<Option<Manifest>, CallError> {
    let mut reads = JoinSet::new();
    let mut last_error = None;
    let mut attempts = MANIFEST_ATTEMPTS.into_iter();
    loop {
        if let Some(attempt) = attempts.next() {
            reads.spawn_local(read_manifest_from(
                Rc::clone(agent),
                target.clone(),
                version,
                attempt,
            ));
        }
        let sources_left = attempts.len() > 0;
        let hedge_ms = MANIFEST_HEDGE_MS + rand::random_range(0..=MANIFEST_HEDGE_JITTER_MS);
        let hedge = sleep(Duration::from_millis(hedge_ms));
        tokio::select! {
            read = reads.join_next(), if !reads.is_empty() => match read {
                Some(Ok(Ok(manifest))) => return Ok(manifest),
                Some(Ok(Err(error))) => last_error = Some(error),
                Some(Err(error)) => log::error!(
                    event = "fetch.failed",
                    error:% = error;
                    "a read task was cancelled or panicked"
                ),
                None => {}
            },
            () = hedge, if sources_left => {}
        }
        if reads.is_empty() && !sources_left {
            let error = last_error.take();
            return Err(error.unwrap_or_else(|| CallError::Unexpected("no source".to_owned())));
        }
    }
}

/// Reads the manifest from the source that is selected for this attempt; returns `None`
/// if the origin no longer has the version.
async fn read_manifest_from(
    agent: Rc<Agent>,
    target: ModelTarget,
    version: VersionNumber,
    attempt: u32,
) -> Result<Option<Manifest>, CallError> {
    let peers = agent.peers(&target, version);
    let source =
        agent.with_source_selector(&peers, None, |selector| selector.manifest_source(attempt));
    if let ChunkSource::Peer(index) = source {
        let path = manifest_path(&target.model, version);
        let reply = HttpClient::new(peers[index].agent)
            .get(&path, MANIFEST_TIMEOUT)
            .await?;
        let manifest = Manifest::from_bytes(&reply.body, target.chunk_count);
        match (reply.status, manifest) {
            (StatusCode::OK, Some(manifest)) => return Ok(Some(manifest)),
            // The engine of the peer held the version before its agent started, so that
            // agent never read the manifest; fall back to the origin.
            (StatusCode::NOT_FOUND, _) => {}
            (status, _) => {
                let name = &peers[index].chunk_peer.name;
                return Err(CallError::Unexpected(format!("{status} from {name}")));
            }
        }
    }
    let origin = OriginClient::new(target.origin.address);
    origin
        .manifest(&target.model, version, target.chunk_count)
        .await
}

/// Reuses staged chunks with the right digest, for example after a crash of the engine.
async fn reuse_staged_chunks(agent: &Agent, chunks: &VersionChunks) {
    let staged = match agent.engine.staged_chunks(&chunks.model).await {
        Ok(staged) => staged,
        Err(error) => {
            log::warn!(
                event = "stage.unreadable",
                error:% = error;
                "cannot list the staged chunks"
            );
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

/// Number of staged chunks with a wrong digest, before any with the right one, after
/// which the stage is assumed to hold another version. A few chunks may be corrupt.
const STAGED_MISMATCHES_MAX: usize = 3;

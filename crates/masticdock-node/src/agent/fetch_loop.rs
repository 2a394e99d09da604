//! Fetches each newer version into memory as soon as it is declared.

use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use masticdock_adapter::{CallError, HttpClient, Manifest, OriginClient};
use masticdock_core::serving::{ChunkSource, VersionNumber};
use tokio::time::{sleep, timeout};

use super::peer_server::manifest_path;
use super::state::{Agent, ModelGoal};
use super::version_chunks::Pieces;
use super::version_fetch::{Fetched, fetch};

/// Longest wait for a change before the state is looked at again.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for the manifest from a peer, which may have to arrive there first.
const MANIFEST_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Pause after a step that failed.
const PAUSE: Duration = Duration::from_millis(150);

/// Fetches versions for ever.
pub(crate) async fn run(agent: Rc<Agent>) {
    loop {
        let Some((goal, version)) = next(&agent) else {
            let _ = timeout(LOOK_INTERVAL, agent.changed.notified()).await;
            continue;
        };
        if !advance(&agent, &goal, version).await {
            sleep(PAUSE).await;
        }
    }
}

/// Returns the version to fetch, or `None` while nothing is missing.
fn next(agent: &Agent) -> Option<(ModelGoal, VersionNumber)> {
    let goal = agent.model_goal()?;
    // Without a report it is not known what the engine holds.
    agent.report.borrow().as_ref()?;
    let version = agent.newest(&goal);
    if agent.held(&goal) == Some(version) {
        agent.settle(version);
        return None;
    }
    let complete = agent
        .pieces_of(version)
        .is_some_and(|pieces| pieces.is_complete());
    (!complete).then_some((goal, version))
}

/// Fetches `version`; returns false when that failed.
async fn advance(agent: &Rc<Agent>, goal: &ModelGoal, version: VersionNumber) -> bool {
    let Some(pieces) = prepare(agent, goal, version).await else {
        return false;
    };
    let end = fetch(agent, goal, &pieces).await;
    if end == Fetched::Complete {
        agent.changed.notify_waiters();
        return true;
    }
    log::warn!(
        event = "fetch.ended",
        weights = version.0,
        end:? = end;
        "a version was not fetched whole; the newest one is tried next"
    );
    agent.pieces.borrow_mut().remove(&version);
    agent.manifest.replace(None);
    false
}

/// Returns the pieces of `version`, with its manifest and what the stage holds already.
async fn prepare(
    agent: &Rc<Agent>,
    goal: &ModelGoal,
    version: VersionNumber,
) -> Option<Rc<Pieces>> {
    if let Some(pieces) = agent.pieces_of(version) {
        return Some(pieces);
    }
    agent.read_upstreams().await;
    let attempt = agent.next_manifest_attempt(version);
    let manifest = match read_manifest(agent, goal, version, attempt).await {
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
    agent.manifest.replace(Some((version, manifest.clone())));
    let pieces = Pieces::new(goal.model.clone(), version, manifest);
    adopt_staged(agent, &pieces).await;
    log::info!(
        event = "version.fetching",
        weights = version.0,
        pieces = pieces.count();
        "the pieces of a version are fetched"
    );
    agent
        .pieces
        .borrow_mut()
        .insert(version, Rc::clone(&pieces));
    agent.changed.notify_waiters();
    Some(pieces)
}

/// Reads the manifest from where it is this agent's turn to ask; `None` when
/// the origin no longer has the version.
async fn read_manifest(
    agent: &Agent,
    goal: &ModelGoal,
    version: VersionNumber,
    attempt: u32,
) -> Result<Option<Manifest>, CallError> {
    let peers = agent.peers(goal, version);
    let source = agent.with_sources(&peers, None, |sources| sources.manifest_source(attempt));
    if let ChunkSource::Peer(index) = source {
        let path = manifest_path(&goal.model, version);
        let reply = HttpClient::new(peers[index].agent)
            .get(&path, MANIFEST_TIMEOUT)
            .await?;
        let manifest = Manifest::from_bytes(&reply.body, goal.engine.chunk_count);
        match (reply.status, manifest) {
            (StatusCode::OK, Some(manifest)) => return Ok(Some(manifest)),
            // The peer's engine held the version before its agent started.
            (StatusCode::NOT_FOUND, _) => {}
            (status, _) => {
                let name = &peers[index].pieces.name;
                return Err(CallError::Unexpected(format!("{status} from {name}")));
            }
        }
    }
    let origin = OriginClient::new(goal.origin.address);
    origin
        .manifest(&goal.model, version, goal.engine.chunk_count)
        .await
}

/// Takes over staged pieces whose digest is right, for example after a crash of the engine.
async fn adopt_staged(agent: &Agent, pieces: &Pieces) {
    let staged = match agent.engine.staged_chunks(&pieces.model).await {
        Ok(staged) => staged,
        Err(error) => {
            log::warn!(event = "stage.unreadable", error:% = error; "the stage cannot be listed");
            return;
        }
    };
    let mut adopted = 0;
    for (read, piece) in staged.into_iter().enumerate() {
        let Ok(Some(bytes)) = agent.engine.read_staged_chunk(&pieces.model, piece).await else {
            continue;
        };
        if pieces.insert(piece, bytes) {
            adopted += 1;
        } else if adopted == 0 && read >= STAGED_MISSES_MAX {
            // The stage holds another version.
            return;
        }
    }
}

/// Staged pieces with wrong digests, before any right one, after which the stage
/// is taken for another version's; a few may have turned bad.
const STAGED_MISSES_MAX: usize = 3;

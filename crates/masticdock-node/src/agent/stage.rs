//! Chunks staged at the engine.

use masticdock_core::serving::StageRead;

use super::state::Agent;
use super::version_chunks::VersionChunks;
use crate::{clock, pauses};

/// Stages all chunks; returns false if one could not be staged.
pub(super) async fn stage_chunks(agent: &Agent, chunks: &VersionChunks) -> bool {
    agent.staged_version.set(None);
    for chunk_index in 0..chunks.count() {
        if !stage_one_chunk(agent, chunks, chunk_index).await {
            return false;
        }
    }
    true
}

async fn stage_one_chunk(agent: &Agent, chunks: &VersionChunks, chunk_index: usize) -> bool {
    let Some(bytes) = chunks.get(chunk_index) else {
        return false;
    };
    let result = agent
        .engine
        .stage_chunk(&chunks.model, chunk_index, bytes)
        .await;
    agent.loaded_weights.borrow_mut().record_staged();
    if let Err(error) = &result {
        log::warn!(
            event = "piece.unstaged",
            piece = chunk_index,
            weights = chunks.version.0,
            error:% = error;
            "cannot stage a chunk; retrying"
        );
    }
    result.is_ok()
}

/// Reads all staged chunks and stages corrupt ones again; returns `None` if one could not be
/// staged.
pub(super) async fn repair_stage(agent: &Agent, chunks: &VersionChunks) -> Option<StageRead> {
    let began_at = clock::now();
    for chunk_index in 0..chunks.count() {
        let read = agent
            .engine
            .read_staged_chunk(&chunks.model, chunk_index)
            .await;
        if let Ok(Some(bytes)) = &read
            && chunks.matches(chunk_index, bytes)
        {
            continue;
        }
        log::warn!(
            event = "stage.spoilt",
            piece = chunk_index,
            weights = chunks.version.0;
            "a staged chunk is missing or corrupt; staging it again"
        );
        if !stage_one_chunk(agent, chunks, chunk_index).await {
            agent.staged_version.set(None);
            return None;
        }
    }
    Some(StageRead {
        began_at,
        ended_at: clock::now(),
        paused: pauses::after(began_at).is_some(),
    })
}

/// Reads all staged chunks; returns whether all are intact, or `None` if the engine does not
/// answer.
pub(super) async fn is_stage_intact(agent: &Agent, chunks: &VersionChunks) -> Option<bool> {
    for chunk_index in 0..chunks.count() {
        let read = agent
            .engine
            .read_staged_chunk(&chunks.model, chunk_index)
            .await;
        let is_intact = match read {
            Ok(Some(bytes)) => chunks.matches(chunk_index, &bytes),
            Ok(None) => false,
            Err(_) => return None,
        };
        if !is_intact {
            return Some(false);
        }
    }
    Some(true)
}

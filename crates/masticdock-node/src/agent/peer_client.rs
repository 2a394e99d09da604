//! Reads pieces from other agents.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use masticdock_adapter::{CallError, HttpClient};

use super::peer_server::{CHUNK_WAIT_MAX, ChunkRequest};

/// Time for a piece from a peer that holds it: half a second in its line, as
/// long as it takes anyone in, and as much again on both links.
const SAME_REGION_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for a piece from afar, which may have to arrive there first, and which
/// waits for its pace between regions.
const CROSS_REGION_TIMEOUT: Duration = CHUNK_WAIT_MAX.saturating_add(Duration::from_millis(1_500));

/// What a source answered.
pub(crate) enum ChunkReply {
    /// The piece, and how long its body took.
    Chunk(Bytes, Duration),
    /// The source does not hold the piece.
    Missing,
    /// Too many others wait there.
    Busy,
}

/// Asks a peer for a piece.
pub(crate) async fn read_chunk_from_peer(
    client: &HttpClient,
    wanted: &ChunkRequest,
) -> Result<ChunkReply, CallError> {
    let timeout = if wanted.wait {
        CROSS_REGION_TIMEOUT
    } else {
        SAME_REGION_TIMEOUT
    };
    let reply = client.get(&wanted.path(), timeout).await?;
    match reply.status {
        StatusCode::OK => Ok(ChunkReply::Chunk(reply.body, reply.body_duration)),
        StatusCode::NOT_FOUND => Ok(ChunkReply::Missing),
        StatusCode::SERVICE_UNAVAILABLE => Ok(ChunkReply::Busy),
        status => Err(CallError::Unexpected(status.to_string())),
    }
}

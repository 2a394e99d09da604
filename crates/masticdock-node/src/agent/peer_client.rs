//! Reads chunks from other agents.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use masticdock_adapter::{CallError, HttpClient};

use super::peer_server::{CHUNK_WAIT_MAX, ChunkRequest};

/// Timeout for a chunk that the peer holds: 500 ms in its upload queue, which
/// rejects requests that would wait longer, and another 500 ms on the links of both VMs.
const SAME_REGION_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for a chunk from another region. The chunk may not have arrived there yet,
/// and the upload is paced by the rate limit between regions.
const CROSS_REGION_TIMEOUT: Duration = CHUNK_WAIT_MAX.saturating_add(Duration::from_millis(1_500));

/// Reply of a source to a request for a chunk.
pub(crate) enum ChunkReply {
    /// The chunk, and the transfer time of its body.
    Chunk(Bytes, Duration),
    /// The source does not hold the chunk.
    Missing,
    /// Too many requests are queued at the source.
    Busy,
}

/// Requests a chunk from a peer.
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

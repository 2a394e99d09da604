//! Reads pieces from other agents.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use masticdock_adapter::{CallError, HttpClient};

use super::peer_server::{PIECE_WAIT, PieceRequest};

/// Time for a piece from a peer that holds it: half a second in its line, as
/// long as it takes anyone in, and as much again on both links.
const NEAR_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for a piece from afar, which may have to arrive there first, and which
/// waits for its pace between regions.
const FAR_TIMEOUT: Duration = PIECE_WAIT.saturating_add(Duration::from_millis(1_500));

/// What a source answered.
pub(crate) enum Brought {
    /// The piece, and how long its body took.
    Piece(Bytes, Duration),
    /// The source does not hold the piece.
    Missing,
    /// Too many others wait there.
    Busy,
}

/// Asks a peer for a piece.
pub(crate) async fn from_peer(
    client: &HttpClient,
    wanted: &PieceRequest,
) -> Result<Brought, CallError> {
    let limit = if wanted.wait {
        FAR_TIMEOUT
    } else {
        NEAR_TIMEOUT
    };
    let reply = client.get(&wanted.path(), limit).await?;
    match reply.status {
        StatusCode::OK => Ok(Brought::Piece(reply.body, reply.body_duration)),
        StatusCode::NOT_FOUND => Ok(Brought::Missing),
        StatusCode::SERVICE_UNAVAILABLE => Ok(Brought::Busy),
        status => Err(CallError::Unexpected(status.to_string())),
    }
}

//! Messages to the transfer thread.

use std::sync::Arc;

use compact_str::CompactString;
use masticdock_core::ids::Digest;

use super::{VerifiedCopy, WantedCopy};
use crate::net::rpc::{PeerReply, PeerRequest, Responder, RpcError};

/// Id of a request to a peer, unique within the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RequestId(pub(super) u64);

/// Message to the transfer thread.
pub(super) enum Message {
    /// Replaces the set of wanted copies.
    SetWanted(Vec<WantedCopy>),
    /// The engine holds the copy.
    Release(Digest),
    /// Call from another agent, with the id of its VM.
    Call(CompactString, PeerRequest, Responder),
    /// Result of a request for a chunk.
    ChunkReply {
        request: RequestId,
        result: Result<PeerReply, RpcError>,
    },
    /// Result of an announcement to a neighbour.
    AnnounceReply {
        manifest: Digest,
        peer: CompactString,
        result: Result<PeerReply, RpcError>,
    },
    /// Result of a read from the origin.
    OriginRead {
        chunk: Digest,
        result: Result<Arc<[u8]>, String>,
    },
    /// Result of the verification of the root digest.
    CopyVerified {
        digest: Digest,
        result: Result<Arc<VerifiedCopy>, String>,
    },
}

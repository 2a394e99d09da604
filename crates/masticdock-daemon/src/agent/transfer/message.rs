//! Messages to the transfer thread.

use std::sync::Arc;

use compact_str::CompactString;
use masticdock_core::ids::Digest;

use super::{VerifiedCopy, WantedCopy};
use crate::net::rpc::{PeerReply, PeerRequest, Responder, RpcError};

/// Number of a request to a peer, unique within the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RequestId(pub(super) u64);

pub(super) enum Message {
    SetWanted(Vec<WantedCopy>),
    Release(Digest),
    /// Call of another agent.
    Call(CompactString, PeerRequest, Responder),
    ChunkReply {
        request: RequestId,
        result: Result<PeerReply, RpcError>,
    },
    AnnounceReply {
        manifest: Digest,
        peer: CompactString,
        result: Result<PeerReply, RpcError>,
    },
    OriginRead {
        chunk: Digest,
        result: Result<Arc<[u8]>, String>,
    },
    /// Result of the check of the root digest.
    Checked {
        digest: Digest,
        result: Result<Arc<VerifiedCopy>, String>,
    },
}

//! Cap'n Proto RPC between masticdock processes.
//!
//! One thread runs the event loop and owns all connections. Other threads make calls through
//! [`RpcHandle`]; incoming calls are passed to one [`PeerHandler`].

mod auth;
mod client;
mod counters;
mod server;
mod thread;

#[cfg(test)]
mod tests;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use masticdock_core::config_log::{AcceptedChange, StoredResource};
use masticdock_core::ids::{Digest, Revision};
use masticdock_core::membership::Member;

pub(crate) use counters::TrafficCounters;
pub(crate) use thread::spawn;
#[cfg(test)]
pub(crate) use thread::spawn_on;

/// Maximum message size in words of 8 bytes: a chunk of 32 MiB and its envelope.
const MESSAGE_WORDS_MAX: usize = (32 << 20) / 8 + 4_096;

/// Error text sent to a caller that does not hold the shared key; the client recognises the error
/// by this text.
const UNAUTHENTICATED: &str = "the caller does not hold the shared key";

fn reader_options() -> capnp::message::ReaderOptions {
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MESSAGE_WORDS_MAX));
    options
}

/// Call to another process.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum PeerRequest {
    /// Requests the changes above a revision.
    ChangesSince(Revision),
    /// Requests the whole configuration.
    Configuration,
    /// Requests one page of members, from a position in the receiver's list.
    Members {
        /// Position of the first member to return.
        offset: u32,
    },
    /// Requests one chunk.
    Chunk {
        /// Digest of the chunk.
        digest: Digest,
        /// Digest of a manifest that lists the chunk.
        manifest: Digest,
    },
    /// Announces which chunks of a manifest the caller holds.
    Announce {
        /// Digest of the manifest.
        manifest: Digest,
        /// One bit per chunk, lowest bit of the first byte first.
        have: Vec<u8>,
    },
}

/// Answer to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum PeerReply {
    /// Answers [`PeerRequest::ChangesSince`].
    Changes {
        /// Configuration revision of the sender.
        head: Revision,
        /// Changes in ascending order of revision; valid only if `complete`.
        changes: Vec<AcceptedChange>,
        /// False when the sender no longer holds all requested changes.
        complete: bool,
    },
    /// Answers [`PeerRequest::Configuration`].
    Configuration {
        /// Configuration revision of the sender.
        head: Revision,
        /// All resources.
        resources: Vec<StoredResource>,
    },
    /// Answers [`PeerRequest::Members`].
    Members {
        /// Members of this page.
        members: Vec<Member>,
        /// Length of the whole list.
        total: u32,
    },
    /// Answers [`PeerRequest::Chunk`] with the data.
    Chunk(Arc<[u8]>),
    /// The peer does not hold the chunk.
    ChunkAbsent,
    /// All upload slots of the peer are taken.
    ChunkBusy,
    /// Answers [`PeerRequest::Announce`] with the bitmap of the peer's own chunks, empty if it
    /// holds none.
    Announced {
        /// One bit per chunk, lowest bit of the first byte first.
        have: Vec<u8>,
    },
}

/// Kind of an [`RpcError`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RpcErrorKind {
    /// No connection could be made.
    Unreachable,
    /// The peer does not hold the shared key.
    Unauthenticated,
    /// No answer arrived within the timeout.
    TimedOut,
    /// The connection broke or the answer is malformed.
    Broken,
}

/// Reports a failed call to another process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RpcError {
    pub(crate) kind: RpcErrorKind,
    pub(crate) peer: SocketAddr,
    pub(crate) message: String,
}

impl fmt::Display for RpcError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "call to {} failed: {}", self.peer, self.message)
    }
}

impl std::error::Error for RpcError {}

/// Callback that receives the result of a call on the RPC thread; must not block.
pub(crate) type OnReply = Box<dyn FnOnce(Result<PeerReply, RpcError>) + Send>;

/// Sends the answer to one incoming call; may be called from any thread, at any time.
pub(crate) type Responder = Box<dyn FnOnce(PeerReply) + Send>;

/// Handles incoming calls on the RPC thread; must not block.
///
/// The first argument is the id under which the caller authenticated.
pub(crate) type PeerHandler = Arc<dyn Fn(CompactString, PeerRequest, Responder) + Send + Sync>;

/// Makes calls to other processes; cheap to clone.
#[derive(Clone)]
pub(crate) struct RpcHandle {
    call: Arc<dyn Fn(SocketAddr, PeerRequest, Duration, OnReply) + Send + Sync>,
    counters: TrafficCounters,
}

impl RpcHandle {
    #[cfg(test)]
    /// Creates a handle from a function that starts a call.
    pub(crate) fn new(
        call: impl Fn(SocketAddr, PeerRequest, Duration, OnReply) + Send + Sync + 'static,
    ) -> Self {
        Self::with_counters(call, TrafficCounters::new())
    }

    fn with_counters(
        call: impl Fn(SocketAddr, PeerRequest, Duration, OnReply) + Send + Sync + 'static,
        counters: TrafficCounters,
    ) -> Self {
        Self {
            call: Arc::new(call),
            counters,
        }
    }

    /// Returns the byte counters of all connections.
    pub(crate) const fn counters(&self) -> &TrafficCounters {
        &self.counters
    }

    /// Starts a call; `on_reply` runs exactly once.
    pub(crate) fn call(
        &self,
        to: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
        on_reply: OnReply,
    ) {
        (self.call)(to, request, timeout, on_reply);
    }
}

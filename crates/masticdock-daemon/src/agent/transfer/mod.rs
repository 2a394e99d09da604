//! Transfer of weights to this VM and on to others.

mod handle;

use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use masticdock_core::ids::{Digest, RegionId, ZoneId};
use masticdock_core::manifest::Manifest;
use masticdock_core::units::Share;
use masticdock_platform::OriginClient;

use crate::net::rpc::{PeerReply, PeerRequest, Responder, RpcHandle};
use crate::settings::{LinkSettings, TransferSettings};

pub(crate) use handle::{TransferConfig, TransferHandle, spawn};

/// A VM that reads the same weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct TransferPeer {
    /// The VM.
    pub(crate) id: CompactString,
    /// Region.
    pub(crate) region: RegionId,
    /// Availability zone.
    pub(crate) zone: ZoneId,
    /// Address for Cap'n Proto RPC.
    pub(crate) peer_addr: SocketAddr,
}

/// Weights that this VM wants.
#[derive(Debug, Clone)]
pub(crate) struct WantedCopy {
    /// Digest of the manifest.
    pub(crate) digest: Digest,
    /// The manifest.
    pub(crate) manifest: Arc<Manifest>,
    /// All selected live VMs, this one included, in every region.
    pub(crate) peers: Arc<Vec<TransferPeer>>,
    /// Weighting of the rollout: 0 reads the fewest origin bytes, 1 takes the shortest time.
    pub(crate) origin_weighting: Share,
}

/// How far a copy is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CopyProgress {
    /// Chunks held.
    pub(crate) chunks_held: usize,
    /// Chunks of the manifest.
    pub(crate) chunks_total: usize,
    /// True once every chunk and the root digest were checked.
    pub(crate) verified: bool,
    /// Why the copy cannot be completed, for example a root digest that disagrees.
    pub(crate) failure: Option<String>,
}

/// A complete copy whose chunks and root digest were checked.
#[derive(Debug, Clone)]
pub(crate) struct VerifiedCopy {
    /// The manifest.
    pub(crate) manifest: Arc<Manifest>,
    /// The chunks in order.
    pub(crate) chunks: Vec<Arc<[u8]>>,
}

/// Who this agent is and what its transfers may use.
#[derive(Debug, Clone)]
pub(crate) struct TransferConfig {
    /// This VM as others see it.
    pub(crate) own: TransferPeer,
    /// Rates of the links.
    pub(crate) links: LinkSettings,
    /// Limits and timing of transfers.
    pub(crate) settings: TransferSettings,
}

/// Controls the transfer thread; cheap to clone.
#[derive(Clone)]
pub(crate) struct TransferHandle {}

/// Starts the transfer thread.
///
/// # Errors
///
/// Fails when the thread cannot be started.
pub(crate) fn spawn(
    _config: TransferConfig,
    _origin: OriginClient,
    _rpc: RpcHandle,
) -> anyhow::Result<TransferHandle> {
    anyhow::bail!("the transfer is not implemented yet")
}

impl TransferHandle {
    /// Replaces the set of wanted copies; chunks that old and new copies have
    /// in common are kept, and a finished copy that is no longer wanted is sent
    /// to others for `transfer.seeding_ms` more.
    pub(crate) fn set_wanted(&self, _wanted: Vec<WantedCopy>) {}

    /// Returns how far a wanted copy is; `None` when it is not wanted.
    pub(crate) fn progress(&self, _digest: &Digest) -> Option<CopyProgress> {
        None
    }

    /// Returns a copy once it is complete and verified.
    pub(crate) fn copy(&self, _digest: &Digest) -> Option<Arc<VerifiedCopy>> {
        None
    }

    /// Tells that the engine holds the copy: its chunks are kept for the
    /// seeding duty alone and are then dropped.
    pub(crate) fn release(&self, _digest: &Digest) {}

    /// Answers `Chunk` and `Announce` calls of other agents; must not be given others.
    pub(crate) fn handle(&self, _caller: CompactString, _request: PeerRequest, respond: Responder) {
        respond(PeerReply::ChunkAbsent);
    }
}

//! Transfer of weights to this VM and on to others.

mod announce;
mod copy_state;
mod fetch;
mod handle;
mod message;
mod origin;
mod origin_reads;
mod uploads;
mod worker;

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use masticdock_core::ids::{Digest, RegionId, ZoneId};
use masticdock_core::manifest::Manifest;
use masticdock_core::units::Share;

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

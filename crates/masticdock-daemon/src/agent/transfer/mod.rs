//! Transfer of weights from the origin and other VMs to this VM, and from this VM
//! to others.

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

/// VM that fetches the same weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct TransferPeer {
    /// Id of the VM.
    pub(crate) id: CompactString,
    pub(crate) region: RegionId,
    pub(crate) zone: ZoneId,
    /// Address of its Cap'n Proto RPC server.
    pub(crate) peer_addr: SocketAddr,
}

/// Weights that this VM wants.
#[derive(Debug, Clone)]
pub(crate) struct WantedCopy {
    /// Digest of the manifest.
    pub(crate) digest: Digest,
    /// The manifest.
    pub(crate) manifest: Arc<Manifest>,
    /// All live VMs that the rollout selects, in all regions, including this one.
    pub(crate) peers: Arc<Vec<TransferPeer>>,
    /// Weighting of the rollout: 0 minimizes the bytes read from the origin, 1 minimizes
    /// the transfer time.
    pub(crate) origin_weighting: Share,
}

/// Progress of a copy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CopyProgress {
    /// Number of chunks that this VM holds.
    pub(crate) chunks_held: usize,
    /// Number of chunks in the manifest.
    pub(crate) chunks_total: usize,
    /// True once every chunk and the root digest are verified.
    pub(crate) verified: bool,
    /// Reason why the copy cannot be completed, for example a root digest mismatch.
    pub(crate) failure: Option<String>,
}

/// Complete copy whose chunks and root digest are verified.
#[derive(Debug, Clone)]
pub(crate) struct VerifiedCopy {
    /// The manifest.
    pub(crate) manifest: Arc<Manifest>,
    /// Data of the chunks, in the order of the manifest.
    pub(crate) chunks: Vec<Arc<[u8]>>,
}

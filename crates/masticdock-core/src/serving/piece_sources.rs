//! Where an agent asks for a piece of a version.
//!
//! One copy leaves the origin for each piece, one crosses to each other region,
//! and the agents of a region pass it on along a tree. Every agent computes the
//! same tree for a piece without asking anyone, and each piece has another one,
//! so that all agents send about as much as they receive. A parent that fails
//! is passed over, and the origin is the last resort.

use compact_str::CompactString;

use crate::ids::RegionId;
use crate::rendezvous;

/// An agent that fetches or holds pieces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerPieces {
    /// Name of the agent that stays the same when it restarts.
    pub name: CompactString,
    /// Region of its VM.
    pub region: RegionId,
    /// True when it holds every piece of the version.
    pub complete: bool,
}

/// Where a piece is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PieceSource {
    /// At the origin.
    Origin,
    /// At the peer with this index.
    Peer(usize),
}

/// Readers of one version as one agent sees them.
#[derive(Debug, Clone, Copy)]
pub struct PieceSources<'a> {
    /// Own name.
    pub own: &'a str,
    /// Own region.
    pub region: &'a RegionId,
    /// Region of the origin, when known.
    pub origin_region: Option<&'a RegionId>,
    /// The other agents of the model.
    pub peers: &'a [PeerPieces],
}

/// Agents that one agent passes a piece on to. A higher number makes the trees
/// flatter, and each piece wait longer for its turn on the link.
const CHILDREN: usize = 3;

/// Attempts at peers after which a piece is read from the origin.
const PEER_ATTEMPTS_MAX: u32 = 3;

impl PieceSources<'_> {
    /// Returns the source of a piece for the attempt with this number, from 0.
    #[must_use]
    pub fn source(&self, piece: usize, attempt: u32) -> PieceSource {
        if attempt >= PEER_ATTEMPTS_MAX {
            return PieceSource::Origin;
        }
        let key = (piece as u64).to_le_bytes();
        let skip = attempt as usize;
        let near = |peer: &PeerPieces| peer.region == *self.region;
        if let Some(index) = self.ranked(&key, |peer| near(peer) && peer.complete, skip) {
            return PieceSource::Peer(index);
        }
        // Without a complete peer nearby, the root of the region's tree reads the piece.
        if let Some(index) = self.parent(&key, near, attempt) {
            return PieceSource::Peer(index);
        }
        if let Some(index) = self.ranked(&key, |peer| peer.complete, skip) {
            return PieceSource::Peer(index);
        }
        if self
            .origin_region
            .is_some_and(|region| region != self.region)
        {
            let beside_origin = |peer: &PeerPieces| Some(&peer.region) == self.origin_region;
            if let Some(index) = self.ranked(&key, beside_origin, skip) {
                return PieceSource::Peer(index);
            }
        }
        if self.origin_region.is_none()
            && let Some(index) = self.parent(&key, |_| true, attempt)
        {
            return PieceSource::Peer(index);
        }
        PieceSource::Origin
    }

    /// Returns how many accepted peers rank before this agent for a piece; those
    /// with a low rank are waited for by the others.
    #[must_use]
    pub fn rank(&self, piece: usize) -> usize {
        let key = (piece as u64).to_le_bytes();
        let own_weight = rendezvous::weight(&key, self.own);
        self.weighted(&key, |peer| peer.region == *self.region)
            .iter()
            .filter(|(weight, _)| *weight > own_weight)
            .count()
    }

    /// Returns the parent in the tree of the accepted peers; `None` at its root.
    /// Each further attempt asks one step nearer to the root.
    fn parent(
        &self,
        key: &[u8],
        filter: impl Fn(&PeerPieces) -> bool,
        attempt: u32,
    ) -> Option<usize> {
        let own_weight = rendezvous::weight(key, self.own);
        let ranked = self.weighted(key, filter);
        let mut rank = ranked
            .iter()
            .filter(|(weight, _)| *weight > own_weight)
            .count();
        for _ in 0..=attempt {
            rank = rank.checked_sub(1)? / CHILDREN;
        }
        Some(ranked[rank].1)
    }

    /// Returns the accepted peer of rank `skip`, counted round.
    fn ranked(
        &self,
        key: &[u8],
        filter: impl Fn(&PeerPieces) -> bool,
        skip: usize,
    ) -> Option<usize> {
        let ranked = self.weighted(key, filter);
        if ranked.is_empty() {
            return None;
        }
        Some(ranked[skip % ranked.len()].1)
    }

    /// Returns the accepted peers with their weights, highest first.
    fn weighted(&self, key: &[u8], filter: impl Fn(&PeerPieces) -> bool) -> Vec<(u64, usize)> {
        let mut weighted = Vec::new();
        for (index, peer) in self.peers.iter().enumerate() {
            if filter(peer) {
                weighted.push((rendezvous::weight(key, &peer.name), index));
            }
        }
        weighted.sort_unstable_by(|a, b| b.cmp(a));
        weighted
    }
}

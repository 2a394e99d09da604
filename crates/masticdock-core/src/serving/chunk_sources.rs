//! Which agent brings a piece of a version into its region, and from where.
//!
//! One copy of each piece leaves the origin and one crosses to each other
//! region; inside a region agents read from whoever holds a piece. Every agent
//! ranks the same readers for a piece without asking anyone. A reader that fails
//! is followed by the next one, and the origin is the last resort.

use compact_str::CompactString;

use crate::ids::RegionId;
use crate::rendezvous;

/// An agent that fetches or holds pieces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChunkPeer {
    /// Name of the agent that stays the same when it restarts.
    pub name: CompactString,
    /// Region of its VM.
    pub region: RegionId,
    /// True when it holds every piece of the version.
    pub complete: bool,
}

/// Where a piece is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkSource {
    /// At the origin.
    Origin,
    /// At the peer with this index.
    Peer(usize),
}

/// Readers of one version as one agent sees them.
#[derive(Debug, Clone, Copy)]
pub struct ChunkSourceSelector<'a> {
    /// Own name.
    pub own_name: &'a str,
    /// Own region.
    pub region: &'a RegionId,
    /// Region of the origin, when known.
    pub origin_region: Option<&'a RegionId>,
    /// The other agents of the model.
    pub peers: &'a [ChunkPeer],
}

/// Attempts at peers after which a piece or a manifest is read from the origin.
const PEER_ATTEMPTS_MAX: u32 = 3;
/// Time that each reader of a piece has before the next one takes over, in
/// milliseconds: the origin sends one copy in 1.3 s.
const TAKEOVER_MS: u64 = 2_200;
/// Part of the pieces from which the rest counts as late.
const MOSTLY_KNOWN: (usize, usize) = (5, 6);
/// Time that each reader of a late piece has before the next one takes over, in
/// milliseconds: twice that of a piece on a busy link.
const LATE_TAKEOVER_MS: u64 = 500;

/// Returns true when a region holds so many of its pieces that the readers of
/// the others are slow or dead.
#[must_use]
pub const fn is_region_nearly_complete(known: usize, pieces: usize) -> bool {
    let (part, whole) = MOSTLY_KNOWN;
    known * whole >= pieces * part
}

/// Returns true when the reader with this rank reads a piece that nobody nearby
/// holds; `late_ms` is the time since the region held most of the others.
#[must_use]
pub const fn is_reader_due(rank: usize, elapsed_ms: u64, late_ms: Option<u64>) -> bool {
    if elapsed_ms >= TAKEOVER_MS * rank as u64 {
        return true;
    }
    match late_ms {
        Some(late_ms) => late_ms >= LATE_TAKEOVER_MS * rank as u64,
        None => false,
    }
}

/// Agents that read the manifest of a version from the origin, and agents of a
/// region that ask these; one of them may be slow or dead.
const MANIFEST_READERS: usize = 2;
/// Key of the manifest in the ranking of readers; pieces have their number.
const MANIFEST_KEY: &[u8] = b"manifest";

impl ChunkSourceSelector<'_> {
    /// Returns where the reader of this region asks for a piece, for the attempt
    /// with this number, from 0. A reader that takes over asks another peer than
    /// the one before, which may have waited for a slow one.
    #[must_use]
    pub fn cross_region_source(&self, piece: usize, attempt: u32) -> ChunkSource {
        if attempt >= PEER_ATTEMPTS_MAX {
            return ChunkSource::Origin;
        }
        let key = (piece as u64).to_le_bytes();
        let attempt = attempt as usize;
        let skip = attempt + self.rank(piece);
        let far = |peer: &ChunkPeer| peer.region != *self.region;
        if let Some(index) = self.ranked(&key, |peer| far(peer) && peer.complete, skip) {
            return ChunkSource::Peer(index);
        }
        let Some(origin_region) = self.origin_region else {
            // The first of all agents reads from the origin.
            let own_weight = rendezvous::weight(&key, self.own_name);
            return match self.weighted(&key, |_| true).get(attempt) {
                Some((weight, index)) if *weight > own_weight => ChunkSource::Peer(*index),
                _ => ChunkSource::Origin,
            };
        };
        let beside_origin = |peer: &ChunkPeer| peer.region == *origin_region;
        if *origin_region != *self.region
            && let Some(index) = self.ranked(&key, beside_origin, skip)
        {
            return ChunkSource::Peer(index);
        }
        ChunkSource::Origin
    }

    /// Returns where the manifest is asked for, for the attempt with this number,
    /// from 0. The origin accepts fewer connections than there are agents and
    /// sends pieces as soon as the first agent knows the manifest, so two agents
    /// ask it, two of each region ask these, and the others ask their region's.
    #[must_use]
    pub fn manifest_source(&self, attempt: u32) -> ChunkSource {
        let attempt = attempt % (PEER_ATTEMPTS_MAX + 1);
        if attempt == PEER_ATTEMPTS_MAX {
            return ChunkSource::Origin;
        }
        let own_weight = rendezvous::weight(MANIFEST_KEY, self.own_name);
        let reader = |readers: &[(u64, usize)]| {
            let readers = &readers[..readers.len().min(MANIFEST_READERS)];
            let before_own = |(weight, _): &&(u64, usize)| *weight > own_weight;
            if readers.iter().filter(before_own).count() < MANIFEST_READERS {
                return None;
            }
            Some(ChunkSource::Peer(
                readers[attempt as usize % MANIFEST_READERS].1,
            ))
        };
        let near = self.weighted(MANIFEST_KEY, |peer| peer.region == *self.region);
        reader(&near)
            .or_else(|| reader(&self.weighted(MANIFEST_KEY, |_| true)))
            .unwrap_or(ChunkSource::Origin)
    }

    /// Returns how many agents of the region come before this one as readers of a piece.
    #[must_use]
    pub fn rank(&self, piece: usize) -> usize {
        let key = (piece as u64).to_le_bytes();
        let own_weight = rendezvous::weight(&key, self.own_name);
        self.weighted(&key, |peer| peer.region == *self.region)
            .iter()
            .filter(|(weight, _)| *weight > own_weight)
            .count()
    }

    /// Returns the accepted peer of rank `skip`, counted round.
    fn ranked(
        &self,
        key: &[u8],
        filter: impl Fn(&ChunkPeer) -> bool,
        skip: usize,
    ) -> Option<usize> {
        let ranked = self.weighted(key, filter);
        if ranked.is_empty() {
            return None;
        }
        Some(ranked[skip % ranked.len()].1)
    }

    /// Returns the accepted peers with their weights, highest first.
    fn weighted(&self, key: &[u8], filter: impl Fn(&ChunkPeer) -> bool) -> Vec<(u64, usize)> {
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

//! Selection of the agent that fetches a chunk into its region, and of its source.
//!
//! Each chunk leaves the origin once and is transferred once to each other region;
//! within a region agents fetch it from any agent that holds it. All agents compute
//! the same ranking of readers for a chunk without coordination. If a reader fails
//! the next one takes over, and the origin is the last resort.

use compact_str::CompactString;

use crate::ids::RegionId;
use crate::rendezvous;

/// Another agent that fetches or holds chunks of the version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChunkPeer {
    /// Name of the agent; stable across restarts.
    pub name: CompactString,
    /// Region of the agent's VM.
    pub region: RegionId,
    /// True when the agent holds every chunk of the version.
    pub complete: bool,
}

/// Source that a chunk or manifest is requested from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkSource {
    /// The origin.
    Origin,
    /// The peer with this index in [`ChunkSourceSelector::peers`].
    Peer(usize),
}

/// Selects sources for the chunks of one version on behalf of one agent.
#[derive(Debug, Clone, Copy)]
pub struct ChunkSourceSelector<'a> {
    /// Name of this agent.
    pub own_name: &'a str,
    /// Region of this agent.
    pub region: &'a RegionId,
    /// Region of the origin, when known.
    pub origin_region: Option<&'a RegionId>,
    /// The other agents that serve the model.
    pub peers: &'a [ChunkPeer],
}

/// Attempts at peers after which a chunk or manifest is read from the origin.
const PEER_ATTEMPTS_MAX: u32 = 3;
/// Timeout after which the next reader of a chunk takes over, in milliseconds: the
/// origin sends one copy of the weights in 1.3 s.
const READER_TIMEOUT_MS: u64 = 2_200;
/// Share of the chunks, as a fraction, from which the missing ones count as late.
const NEARLY_COMPLETE: (usize, usize) = (5, 6);
/// Timeout after which the next reader of a late chunk takes over, in milliseconds:
/// twice the transfer time of a chunk on a busy link.
const LATE_READER_TIMEOUT_MS: u64 = 500;

/// Returns true when a region holds so many of the chunks that the readers of the
/// missing ones are probably slow or dead.
#[must_use]
pub const fn is_region_nearly_complete(held: usize, chunks: usize) -> bool {
    let (numerator, denominator) = NEARLY_COMPLETE;
    held * denominator >= chunks * numerator
}

/// Returns true when the reader with this rank has to fetch a chunk that no agent of
/// its region holds; `late_ms` is the time since the region was nearly complete.
#[must_use]
pub const fn is_reader_due(rank: usize, elapsed_ms: u64, late_ms: Option<u64>) -> bool {
    if elapsed_ms >= READER_TIMEOUT_MS * rank as u64 {
        return true;
    }
    match late_ms {
        Some(late_ms) => late_ms >= LATE_READER_TIMEOUT_MS * rank as u64,
        None => false,
    }
}

/// Number of agents that read the manifest from the origin, and of agents of each
/// region that request it from these; two, because one may be slow or dead.
const MANIFEST_READERS: usize = 2;
/// Ranking key of the manifest; the key of a chunk is its index.
const MANIFEST_KEY: &[u8] = b"manifest";

impl ChunkSourceSelector<'_> {
    /// Returns the source from which this agent, as the reader of its region, requests
    /// a chunk; `attempt` counts from 0. A reader that takes over asks another peer
    /// than its predecessor, whose peer may be slow.
    #[must_use]
    pub fn cross_region_source(&self, chunk: usize, attempt: u32) -> ChunkSource {
        if attempt >= PEER_ATTEMPTS_MAX {
            return ChunkSource::Origin;
        }
        let key = (chunk as u64).to_le_bytes();
        let attempt = attempt as usize;
        let skip = attempt + self.rank(chunk);
        let in_other_region = |peer: &ChunkPeer| peer.region != *self.region;
        if let Some(index) = self.ranked(&key, |peer| in_other_region(peer) && peer.complete, skip)
        {
            return ChunkSource::Peer(index);
        }
        let Some(origin_region) = self.origin_region else {
            // The highest-ranked of all agents reads from the origin.
            let own_weight = rendezvous::weight(&key, self.own_name);
            return match self.by_weight(&key, |_| true).get(attempt) {
                Some((weight, index)) if *weight > own_weight => ChunkSource::Peer(*index),
                _ => ChunkSource::Origin,
            };
        };
        let in_origin_region = |peer: &ChunkPeer| peer.region == *origin_region;
        if *origin_region != *self.region
            && let Some(index) = self.ranked(&key, in_origin_region, skip)
        {
            return ChunkSource::Peer(index);
        }
        ChunkSource::Origin
    }

    /// Returns the source from which to request the manifest; `attempt` counts from 0.
    /// The origin accepts fewer connections than there are agents, and sends chunks as
    /// soon as the first agent has the manifest. So two agents ask the origin, two of
    /// each region ask these, and the others ask the two of their region.
    #[must_use]
    pub fn manifest_source(&self, attempt: u32) -> ChunkSource {
        let attempt = attempt % (PEER_ATTEMPTS_MAX + 1);
        if attempt == PEER_ATTEMPTS_MAX {
            return ChunkSource::Origin;
        }
        let own_weight = rendezvous::weight(MANIFEST_KEY, self.own_name);
        let pick_reader = |readers: &[(u64, usize)]| {
            let readers = &readers[..readers.len().min(MANIFEST_READERS)];
            let before_own = |(weight, _): &&(u64, usize)| *weight > own_weight;
            if readers.iter().filter(before_own).count() < MANIFEST_READERS {
                return None;
            }
            Some(ChunkSource::Peer(
                readers[attempt as usize % MANIFEST_READERS].1,
            ))
        };
        let same_region = self.by_weight(MANIFEST_KEY, |peer| peer.region == *self.region);
        pick_reader(&same_region)
            .or_else(|| pick_reader(&self.by_weight(MANIFEST_KEY, |_| true)))
            .unwrap_or(ChunkSource::Origin)
    }

    /// Returns the number of agents of the region that rank before this one as readers
    /// of a chunk.
    #[must_use]
    pub fn rank(&self, chunk: usize) -> usize {
        let key = (chunk as u64).to_le_bytes();
        let own_weight = rendezvous::weight(&key, self.own_name);
        self.by_weight(&key, |peer| peer.region == *self.region)
            .iter()
            .filter(|(weight, _)| *weight > own_weight)
            .count()
    }

    /// Returns the peer with rank `skip`, modulo their number, among those that `filter`
    /// accepts.
    fn ranked(
        &self,
        key: &[u8],
        filter: impl Fn(&ChunkPeer) -> bool,
        skip: usize,
    ) -> Option<usize> {
        let ranked = self.by_weight(key, filter);
        if ranked.is_empty() {
            return None;
        }
        Some(ranked[skip % ranked.len()].1)
    }

    /// Returns the peers that `filter` accepts with their weights, highest first.
    fn by_weight(&self, key: &[u8], filter: impl Fn(&ChunkPeer) -> bool) -> Vec<(u64, usize)> {
        let mut by_weight = Vec::new();
        for (index, peer) in self.peers.iter().enumerate() {
            if filter(peer) {
                by_weight.push((rendezvous::weight(key, &peer.name), index));
            }
        }
        by_weight.sort_unstable_by(|a, b| b.cmp(a));
        by_weight
    }
}

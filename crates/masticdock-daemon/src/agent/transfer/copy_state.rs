//! One copy on its way to this VM.

use std::sync::Arc;

use compact_str::CompactString;
use masticdock_core::ids::{Digest, RegionId};
use masticdock_core::transfer::{
    ChunkSet, LatencyEstimate, Locality, OriginPlan, SenderBackoff, VmLocation, choose_neighbours,
    locality,
};
use masticdock_core::units::MonoMs;

use super::{TransferPeer, VerifiedCopy, WantedCopy};

/// Assumed time for a chunk to come from the origin before any was measured, as
/// a multiple of the stall time-out.
const ARRIVAL_INITIAL_FACTOR: u64 = 3;

/// Neighbours that announced themselves, as a multiple of those chosen.
const INCOMING_FACTOR: usize = 2;

/// What is known about a neighbour.
#[derive(Debug)]
pub(super) struct Neighbour {
    pub(super) peer: TransferPeer,
    pub(super) tier: Locality,
    pub(super) have: ChunkSet,
    /// Last exchange of bitmaps that this VM started or answered.
    pub(super) exchanged_at: Option<MonoMs>,
    /// True while an announcement is not answered.
    pub(super) announcing: bool,
}

/// Stage of a copy.
#[derive(Debug, Clone)]
pub(super) enum Stage {
    /// Chunks are missing.
    Fetching,
    /// All chunks are held; the root digest is being checked.
    Checking,
    /// Complete and checked.
    Verified(Arc<VerifiedCopy>),
    /// The manifest contradicts itself.
    Failed(String),
    /// The engine holds the copy and the seeding duty is over.
    Dropped,
}

/// State of one copy.
pub(super) struct CopyState {
    pub(super) wanted: WantedCopy,
    pub(super) stage: Stage,
    pub(super) held: ChunkSet,
    /// Chunks asked of a neighbour or read from the origin.
    pub(super) requested: ChunkSet,
    pub(super) neighbours: Vec<Neighbour>,
    pub(super) plan: OriginPlan,
    /// Chunks that the region is known to hold.
    pub(super) known: ChunkSet,
    /// Time from the opening of a chunk until the region holds it.
    pub(super) arrival: LatencyEstimate,
    pub(super) known_grew_at: MonoMs,
    pub(super) started_at: MonoMs,
    /// When the duty to send the copy to others ends; `None` while it goes on.
    pub(super) seed_until: Option<MonoMs>,
    /// True when the copy is kept for the seeding duty alone.
    pub(super) unwanted: bool,
}

fn place(peer: &TransferPeer) -> VmLocation<'_> {
    VmLocation {
        id: &peer.id,
        region: &peer.region,
        zone: &peer.zone,
    }
}

fn region_vms(peers: &[TransferPeer], region: &RegionId) -> Vec<CompactString> {
    peers
        .iter()
        .filter(|peer| peer.region == *region)
        .map(|peer| peer.id.clone())
        .collect()
}

fn region_count(peers: &[TransferPeer]) -> usize {
    let mut regions: Vec<&RegionId> = peers.iter().map(|peer| &peer.region).collect();
    regions.sort_unstable();
    regions.dedup();
    regions.len().max(1)
}

fn make_plan(wanted: &WantedCopy, own: &TransferPeer) -> OriginPlan {
    OriginPlan::new(
        &own.id,
        region_vms(&wanted.peers, &own.region),
        wanted.manifest.chunks.clone(),
        region_count(&wanted.peers),
        wanted.origin_weighting,
    )
}

impl CopyState {
    pub(super) fn new(
        wanted: WantedCopy,
        own: &TransferPeer,
        limit: usize,
        stall_timeout_ms: u64,
        now: MonoMs,
    ) -> Self {
        let count = wanted.manifest.chunks.len();
        let mut state = Self {
            plan: make_plan(&wanted, own),
            wanted,
            stage: Stage::Fetching,
            held: ChunkSet::new(count),
            requested: ChunkSet::new(count),
            neighbours: Vec::new(),
            known: ChunkSet::new(count),
            arrival: LatencyEstimate::new(stall_timeout_ms * ARRIVAL_INITIAL_FACTOR),
            known_grew_at: now,
            started_at: now,
            seed_until: None,
            unwanted: false,
        };
        state.choose(own, limit);
        state
    }

    /// Replaces peers and weighting; what is known about remaining neighbours is kept.
    pub(super) fn update(&mut self, wanted: WantedCopy, own: &TransferPeer, limit: usize) {
        let weighting_before = self.wanted.origin_weighting;
        let regions_before = region_count(&self.wanted.peers);
        if Arc::ptr_eq(&self.wanted.peers, &wanted.peers)
            && weighting_before == wanted.origin_weighting
        {
            return;
        }
        let peers_changed = self.wanted.peers != wanted.peers;
        self.wanted = wanted;
        if weighting_before != self.wanted.origin_weighting
            || regions_before != region_count(&self.wanted.peers)
        {
            self.plan = make_plan(&self.wanted, own);
        }
        if peers_changed {
            self.plan
                .set_region_vms(region_vms(&self.wanted.peers, &own.region));
            self.choose(own, limit);
        }
    }

    fn choose(&mut self, own: &TransferPeer, limit: usize) {
        let peers = Arc::clone(&self.wanted.peers);
        self.neighbours
            .retain(|neighbour| peers.contains(&neighbour.peer));
        let places: Vec<VmLocation<'_>> = peers.iter().map(place).collect();
        for index in choose_neighbours(&place(own), &places, limit) {
            self.add_neighbour(&peers[index], own);
        }
    }

    fn add_neighbour(&mut self, peer: &TransferPeer, own: &TransferPeer) {
        if self.neighbours.iter().any(|n| n.peer.id == peer.id) {
            return;
        }
        self.neighbours.push(Neighbour {
            tier: locality(&place(own), &place(peer)),
            peer: peer.clone(),
            have: ChunkSet::new(self.held.capacity()),
            exchanged_at: None,
            announcing: false,
        });
    }

    /// Takes in the bitmap of a peer; a peer of the region becomes a neighbour.
    pub(super) fn learn(
        &mut self,
        id: &str,
        have: &[u8],
        own: &TransferPeer,
        limit: usize,
        now: MonoMs,
    ) {
        let peers = Arc::clone(&self.wanted.peers);
        let known = self.neighbours.iter().any(|n| n.peer.id == id);
        if !known && self.neighbours.len() < limit * (1 + INCOMING_FACTOR) {
            let found = peers
                .iter()
                .find(|peer| peer.id == id && peer.region == own.region);
            if let Some(peer) = found {
                self.add_neighbour(peer, own);
            }
        }
        let count = self.held.capacity();
        if let Some(neighbour) = self.neighbour(id) {
            neighbour.have = ChunkSet::from_bytes(count, have);
            neighbour.exchanged_at = Some(now);
        }
    }

    pub(super) fn neighbour(&mut self, id: &str) -> Option<&mut Neighbour> {
        self.neighbours.iter_mut().find(|n| n.peer.id == id)
    }

    /// Brings `known` up to date and measures how long chunks took to arrive.
    pub(super) fn update_known(
        &mut self,
        penalties: &SenderBackoff,
        stall_timeout_ms: u64,
        now: MonoMs,
    ) {
        let mut known = self.held.clone();
        for neighbour in &self.neighbours {
            if !penalties.is_failing(&neighbour.peer.id, now) {
                known.union_with(&neighbour.have);
            }
        }
        for chunk in known.iter() {
            if self.known.contains(chunk) {
                continue;
            }
            self.known_grew_at = now;
            if let Some(opened_at) = self.plan.mark_arrived(chunk) {
                self.arrival
                    .record_arrival(now.since_ms(opened_at), stall_timeout_ms);
            }
        }
        self.known = known;
    }

    /// Returns true when the first bitmaps came in or would have come by now, so
    /// that a VM which starts late does not read what its region holds.
    pub(super) fn may_read_origin(&self, wait_ms: u64, now: MonoMs) -> bool {
        let alone = self.neighbours.is_empty();
        let heard = self.neighbours.iter().any(|n| n.exchanged_at.is_some());
        alone || heard || now.since_ms(self.started_at) >= wait_ms
    }

    /// Marks a chunk as held wherever the manifest lists it.
    pub(super) fn mark_held(&mut self, chunk: &Digest) {
        for (index, digest) in self.wanted.manifest.chunks.iter().enumerate() {
            if digest == chunk {
                self.held.insert(index);
                self.requested.remove(index);
            }
        }
    }

    /// Allows a chunk to be asked for again.
    pub(super) fn mark_unrequested(&mut self, chunk: &Digest) {
        for (index, digest) in self.wanted.manifest.chunks.iter().enumerate() {
            if digest == chunk {
                self.requested.remove(index);
            }
        }
    }

    /// Returns the bitmap to show to others.
    pub(super) fn announced(&self) -> Vec<u8> {
        if matches!(self.stage, Stage::Dropped) {
            return Vec::new();
        }
        self.held.to_bytes()
    }
}

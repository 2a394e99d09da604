//! State of one copy on this VM.

use std::sync::Arc;

use compact_str::CompactString;
use masticdock_core::ids::{Digest, RegionId};
use masticdock_core::transfer::{
    ChunkSet, LatencyEstimate, Locality, OriginPlan, SenderBackoff, VmLocation, choose_neighbours,
    locality,
};
use masticdock_core::units::MonoMs;

use super::{TransferPeer, VerifiedCopy, WantedCopy};

/// Initial estimate of the time that a chunk takes to arrive in the region, as a
/// multiple of the stall timeout.
const ARRIVAL_LATENCY_INITIAL_FACTOR: u64 = 3;

/// Maximum number of neighbours that this VM did not choose but that announced their
/// bitmaps to it, as a multiple of the chosen ones.
const ANNOUNCED_NEIGHBOURS_FACTOR: usize = 2;

/// VM that this VM exchanges bitmaps with and requests chunks from.
#[derive(Debug)]
pub(super) struct Neighbour {
    pub(super) peer: TransferPeer,
    pub(super) peer_locality: Locality,
    /// Chunks that the neighbour holds, according to its last bitmap.
    pub(super) have: ChunkSet,
    /// Time of the last exchange of bitmaps that this VM started or answered.
    pub(super) exchanged_at: Option<MonoMs>,
    /// True while an announcement to the neighbour is in flight.
    pub(super) announcing: bool,
}

/// Stage of a copy.
#[derive(Debug, Clone)]
pub(super) enum Stage {
    /// Chunks are missing.
    Fetching,
    /// All chunks are held; the root digest is being verified.
    Verifying,
    /// All chunks and the root digest are verified.
    Verified(Arc<VerifiedCopy>),
    /// The root digest does not match the chunks of the manifest.
    Failed(String),
    /// The engine holds the copy, the seeding period is over and the chunks are dropped.
    Dropped,
}

/// State of one copy.
pub(super) struct CopyState {
    pub(super) wanted: WantedCopy,
    pub(super) stage: Stage,
    pub(super) held: ChunkSet,
    /// Chunks that are requested from another VM or being read from the origin.
    pub(super) requested: ChunkSet,
    pub(super) neighbours: Vec<Neighbour>,
    pub(super) plan: OriginPlan,
    /// Chunks that at least one VM of the region is known to hold.
    pub(super) region_held: ChunkSet,
    /// Time from when the plan opens a chunk until the region holds it.
    pub(super) arrival_latency: LatencyEstimate,
    /// Time at which the region was last known to have received a chunk.
    pub(super) region_held_grew_at: MonoMs,
    pub(super) started_at: MonoMs,
    /// End of the period in which the copy is kept to be sent to others; `None` while
    /// the end is not set.
    pub(super) seed_until: Option<MonoMs>,
    /// True if the copy is no longer wanted and kept only to be sent to others.
    pub(super) seeding_only: bool,
}

fn location_of(peer: &TransferPeer) -> VmLocation<'_> {
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

fn origin_plan(wanted: &WantedCopy, own: &TransferPeer) -> OriginPlan {
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
            plan: origin_plan(&wanted, own),
            wanted,
            stage: Stage::Fetching,
            held: ChunkSet::new(count),
            requested: ChunkSet::new(count),
            neighbours: Vec::new(),
            region_held: ChunkSet::new(count),
            arrival_latency: LatencyEstimate::new(
                stall_timeout_ms * ARRIVAL_LATENCY_INITIAL_FACTOR,
            ),
            region_held_grew_at: now,
            started_at: now,
            seed_until: None,
            seeding_only: false,
        };
        state.refresh_neighbours(own, limit);
        state
    }

    /// Replaces the peers and the weighting, and keeps the state of the neighbours that
    /// remain.
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
            self.plan = origin_plan(&self.wanted, own);
        }
        if peers_changed {
            self.plan
                .set_region_vms(region_vms(&self.wanted.peers, &own.region));
            self.refresh_neighbours(own, limit);
        }
    }

    /// Removes neighbours that are no longer peers and adds newly chosen ones.
    fn refresh_neighbours(&mut self, own: &TransferPeer, limit: usize) {
        let peers = Arc::clone(&self.wanted.peers);
        self.neighbours
            .retain(|neighbour| peers.contains(&neighbour.peer));
        let locations: Vec<VmLocation<'_>> = peers.iter().map(location_of).collect();
        for index in choose_neighbours(&location_of(own), &locations, limit) {
            self.add_neighbour(&peers[index], own);
        }
    }

    fn add_neighbour(&mut self, peer: &TransferPeer, own: &TransferPeer) {
        if self.neighbours.iter().any(|n| n.peer.id == peer.id) {
            return;
        }
        self.neighbours.push(Neighbour {
            peer_locality: locality(&location_of(own), &location_of(peer)),
            peer: peer.clone(),
            have: ChunkSet::new(self.held.capacity()),
            exchanged_at: None,
            announcing: false,
        });
    }

    /// Records the bitmap of a peer; a peer of the same region becomes a neighbour if
    /// there is room.
    pub(super) fn record_bitmap(
        &mut self,
        id: &str,
        have: &[u8],
        own: &TransferPeer,
        limit: usize,
        now: MonoMs,
    ) {
        let peers = Arc::clone(&self.wanted.peers);
        let is_neighbour = self.neighbours.iter().any(|n| n.peer.id == id);
        if !is_neighbour && self.neighbours.len() < limit * (1 + ANNOUNCED_NEIGHBOURS_FACTOR) {
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

    /// Updates the chunks that the region is known to hold, and records how long new
    /// ones took to arrive.
    pub(super) fn update_region_held(
        &mut self,
        sender_backoff: &SenderBackoff,
        stall_timeout_ms: u64,
        now: MonoMs,
    ) {
        let mut region_held = self.held.clone();
        for neighbour in &self.neighbours {
            if !sender_backoff.is_failing(&neighbour.peer.id, now) {
                region_held.union_with(&neighbour.have);
            }
        }
        for chunk in region_held.iter() {
            if self.region_held.contains(chunk) {
                continue;
            }
            self.region_held_grew_at = now;
            if let Some(opened_at) = self.plan.mark_arrived(chunk) {
                self.arrival_latency
                    .record_arrival(now.since_ms(opened_at), stall_timeout_ms);
            }
        }
        self.region_held = region_held;
    }

    /// Returns true if a first bitmap was received, none is expected or `wait_ms` has
    /// passed, so that a VM that starts late does not read from the origin what its
    /// region holds.
    pub(super) fn may_read_origin(&self, wait_ms: u64, now: MonoMs) -> bool {
        let has_no_neighbours = self.neighbours.is_empty();
        let bitmap_received = self.neighbours.iter().any(|n| n.exchanged_at.is_some());
        has_no_neighbours || bitmap_received || now.since_ms(self.started_at) >= wait_ms
    }

    /// Marks a chunk as held at every index at which the manifest lists it.
    pub(super) fn mark_held(&mut self, chunk: &Digest) {
        for (index, digest) in self.wanted.manifest.chunks.iter().enumerate() {
            if digest == chunk {
                self.held.insert(index);
                self.requested.remove(index);
            }
        }
    }

    /// Marks a chunk as not requested, so that its request can be retried.
    pub(super) fn mark_unrequested(&mut self, chunk: &Digest) {
        for (index, digest) in self.wanted.manifest.chunks.iter().enumerate() {
            if digest == chunk {
                self.requested.remove(index);
            }
        }
    }

    /// Returns the bitmap of held chunks to announce to other VMs.
    pub(super) fn announced_bitmap(&self) -> Vec<u8> {
        if matches!(self.stage, Stage::Dropped) {
            return Vec::new();
        }
        self.held.to_bytes()
    }
}

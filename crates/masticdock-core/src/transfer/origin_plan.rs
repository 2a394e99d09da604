//! Schedule of origin reads: which VM reads which chunk, and when.
//!
//! For each chunk, the VMs of a region are ranked by rendezvous hashing. The VM
//! of rank 0 reads the chunk at once. The VM of each following rank reads it as
//! well if the chunk has not arrived in the region within a timeout. Where the
//! settings allow more origin reads, the first ranks after 0 start earlier than
//! that, as extra readers.

use compact_str::CompactString;

use super::ChunkSet;
use crate::ids::Digest;
use crate::rendezvous;
use crate::units::{MonoMs, Share};

/// Number of copies of the weights that the origin's link can carry within the
/// time allowed for a transfer.
const ORIGIN_COPIES_MAX: u64 = 4;

/// Part of a copy, in thousandths, that extra readers leave unused so that
/// takeovers stay within the limit of origin copies.
const TAKEOVER_RESERVE_MILLI: usize = 150;

/// Divisor of the takeover time that gives the delay of an extra reader.
///
/// An extra reader that starts at once takes a share of the origin's link, which
/// is the bottleneck with three regions: 100 VMs then took 101 s instead of 81 s.
const EXTRA_READER_DELAY_DIVISOR: u64 = 2;

/// Minimum number of chunks that a region reads at the same time.
const OPEN_CHUNKS_MIN: usize = 8;

/// Divisor of the number of chunks that gives how many a region reads at the
/// same time.
///
/// Chunks read at the same time share the origin's link. Reading all of them at
/// once would complete the first chunk late, and VMs can only forward complete
/// chunks to each other.
const OPEN_CHUNKS_DIVISOR: usize = 16;

/// When a VM may read a chunk from the origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadTime {
    /// At once.
    Now,
    /// At this time, if the chunk is still missing from the region by then.
    At(MonoMs),
}

/// What one VM knows about its region at one point in time.
#[derive(Debug, Clone, Copy)]
pub struct RegionView<'a> {
    /// Chunks that at least one VM of the region is known to hold.
    pub held_in_region: &'a ChunkSet,
    /// Time that the VM of each rank has before the next rank takes over, in
    /// milliseconds.
    pub takeover_after_ms: u64,
    /// Current time.
    pub now: MonoMs,
}

/// Schedule of one VM for reading one copy of the weights from the origin.
#[derive(Debug, Clone)]
pub struct OriginPlan {
    own: CompactString,
    region_vms: Vec<CompactString>,
    chunks: Vec<Digest>,
    extra_readers_milli: u64,
    overdue_max: usize,
    /// Time at which each chunk was first eligible for reading.
    opened_at: Vec<Option<MonoMs>>,
    /// Rank of this VM for each chunk, computed on first use.
    ranks: Vec<Option<usize>>,
    /// Chunks that did not arrive within the takeover time.
    overdue: ChunkSet,
}

impl OriginPlan {
    /// Creates the plan of the VM `own`.
    #[must_use]
    pub fn new(
        own: &str,
        region_vms: Vec<CompactString>,
        chunks: Vec<Digest>,
        regions: usize,
        origin_weighting: Share,
    ) -> Self {
        let count = chunks.len();
        let overdue_max_milli = count * TAKEOVER_RESERVE_MILLI / regions.max(1);
        Self {
            own: CompactString::new(own),
            region_vms,
            chunks,
            extra_readers_milli: extra_readers_milli(regions, origin_weighting),
            overdue_max: overdue_max_milli / 1_000,
            opened_at: vec![None; count],
            ranks: vec![None; count],
            overdue: ChunkSet::new(count),
        }
    }

    /// Replaces the VMs of the region and keeps the times at which chunks were opened.
    pub fn set_region_vms(&mut self, region_vms: Vec<CompactString>) {
        if region_vms == self.region_vms {
            return;
        }
        self.region_vms = region_vms;
        self.ranks.fill(None);
    }

    /// Returns the chunks that this VM may read now or later, in chunk order.
    ///
    /// Covers only a limited number of chunks: the first ones that no VM of the
    /// region is known to hold.
    pub fn scheduled_reads(&mut self, view: &RegionView<'_>) -> Vec<(usize, ReadTime)> {
        let open_max = (self.chunks.len() / OPEN_CHUNKS_DIVISOR).max(OPEN_CHUNKS_MIN);
        let mut reads = Vec::new();
        for chunk in view.held_in_region.iter_missing().take(open_max) {
            let opened_at = *self.opened_at[chunk].get_or_insert(view.now);
            if view.now.since_ms(opened_at) >= view.takeover_after_ms {
                self.overdue.insert(chunk);
            }
            let Some(rank) = self.rank(chunk) else {
                continue;
            };
            let reads_early = rank <= self.extra_readers(chunk);
            let divisor = if reads_early {
                EXTRA_READER_DELAY_DIVISOR
            } else {
                1
            };
            let delay_ms = (view.takeover_after_ms / divisor).saturating_mul(rank as u64);
            let start_at = opened_at.plus_ms(delay_ms);
            if start_at <= view.now {
                reads.push((chunk, ReadTime::Now));
            } else {
                reads.push((chunk, ReadTime::At(start_at)));
            }
        }
        reads
    }

    /// Marks a chunk as arrived in the region and returns when it was opened.
    pub fn mark_arrived(&mut self, chunk: usize) -> Option<MonoMs> {
        self.opened_at.get_mut(chunk)?.take()
    }

    /// Returns the rank of this VM for `chunk`, which is the number of VMs of
    /// the region that come before it.
    pub fn rank(&mut self, chunk: usize) -> Option<usize> {
        if self.ranks[chunk].is_none() {
            let key = self.chunks[chunk];
            self.ranks[chunk] = rendezvous::position(
                key.as_bytes(),
                &self.region_vms,
                CompactString::as_str,
                &self.own,
            );
        }
        self.ranks[chunk]
    }

    /// Returns the number of extra readers of `chunk`: VMs ranked after the first
    /// one that start earlier than they would for a takeover.
    ///
    /// Returns 0 once more chunks are overdue than the reserve for takeovers
    /// covers, because the number of copies read from the origin would otherwise
    /// exceed its limit.
    #[must_use]
    pub fn extra_readers(&self, chunk: usize) -> usize {
        if self.overdue.count() > self.overdue_max {
            return 0;
        }
        // The sample depends on the digest alone, so all VMs select the same chunks.
        let sample_milli =
            rendezvous::weight(self.chunks[chunk].as_bytes(), "extra-reader") % 1_000;
        let sampled = usize::from(sample_milli < self.extra_readers_milli % 1_000);
        usize::try_from(self.extra_readers_milli / 1_000).unwrap_or(0) + sampled
    }
}

/// Returns the mean number of extra readers per chunk and region, in thousandths.
fn extra_readers_milli(regions: usize, origin_weighting: Share) -> u64 {
    let regions = regions.max(1) as u64;
    if regions >= ORIGIN_COPIES_MAX {
        return 0;
    }
    let extra_milli = u64::from(origin_weighting.as_milli()) * (ORIGIN_COPIES_MAX - regions);
    let limit_milli = (ORIGIN_COPIES_MAX - regions) * 1_000 - TAKEOVER_RESERVE_MILLI as u64;
    extra_milli.min(limit_milli) / regions
}

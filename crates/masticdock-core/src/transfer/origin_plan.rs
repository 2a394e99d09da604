//! Who reads which chunk from the origin, and when.

use compact_str::CompactString;

use super::ChunkSet;
use crate::ids::Digest;
use crate::rendezvous;
use crate::units::{MonoMs, Share};

/// Copies that the origin's link carries in the time allowed.
const COPIES_MAX: u64 = 4;

/// Part of a copy, in thousandths, that further readers leave to takeovers.
const TAKEOVER_RESERVE_MILLI: usize = 150;

/// Part of the takeover time, as a divisor, after which a further reader starts.
///
/// A further reader that starts at once takes a share of the origin's link, which
/// is the bottleneck of three regions: 100 VMs then took 101 s instead of 81 s.
const EARLY_DIVISOR: u64 = 2;

/// Smallest number of chunks of a region that are read at the same time.
const WINDOW_MIN: usize = 8;

/// Part of the chunks, as a divisor, that are read at the same time. Reading all
/// of them at once would bring the first whole chunk late, since they share the
/// origin's link, and the VMs could not pass anything on until then.
const WINDOW_DIVISOR: usize = 16;

/// When a VM may read a chunk from the origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadTime {
    /// At once.
    Now,
    /// Only when the chunk is still missing at this time.
    At(MonoMs),
}

/// What one VM knows about its region at one moment.
#[derive(Debug, Clone, Copy)]
pub struct RegionView<'a> {
    /// Chunks that some VM of the region is known to hold.
    pub held_in_region: &'a ChunkSet,
    /// Time that each rank has before the next one takes over, in milliseconds.
    pub takeover_after_ms: u64,
    /// Now.
    pub now: MonoMs,
}

/// Origin reads of one copy as one VM plans them.
#[derive(Debug, Clone)]
pub struct OriginPlan {
    own: CompactString,
    region_vms: Vec<CompactString>,
    chunks: Vec<Digest>,
    extra_readers_milli: u64,
    overdue_max: usize,
    opened_at: Vec<Option<MonoMs>>,
    /// Rank of this VM by chunk, computed when the chunk is first looked at.
    ranks: Vec<Option<usize>>,
    overdue: ChunkSet,
}

impl OriginPlan {
    /// Makes the plan of VM `own`.
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

    /// Replaces the VMs of the region; times at which chunks were opened are kept.
    pub fn set_region_vms(&mut self, region_vms: Vec<CompactString>) {
        if region_vms == self.region_vms {
            return;
        }
        self.region_vms = region_vms;
        self.ranks.fill(None);
    }

    /// Returns the chunks that this VM may read or will read next, in order.
    ///
    /// Only the first chunks that no VM of the region is known to hold are open.
    pub fn scheduled_reads(&mut self, view: &RegionView<'_>) -> Vec<(usize, ReadTime)> {
        let window = (self.chunks.len() / WINDOW_DIVISOR).max(WINDOW_MIN);
        let mut turns = Vec::new();
        for chunk in view.held_in_region.iter_missing().take(window) {
            let opened_at = *self.opened_at[chunk].get_or_insert(view.now);
            if view.now.since_ms(opened_at) >= view.takeover_after_ms {
                self.overdue.insert(chunk);
            }
            let Some(rank) = self.rank(chunk) else {
                continue;
            };
            let early = rank <= self.extra_readers(chunk);
            let divisor = if early { EARLY_DIVISOR } else { 1 };
            let wait_ms = (view.takeover_after_ms / divisor).saturating_mul(rank as u64);
            let due = opened_at.plus_ms(wait_ms);
            if due <= view.now {
                turns.push((chunk, ReadTime::Now));
            } else {
                turns.push((chunk, ReadTime::At(due)));
            }
        }
        turns
    }

    /// Closes a chunk that arrived in the region and returns when it was opened.
    pub fn mark_arrived(&mut self, chunk: usize) -> Option<MonoMs> {
        self.opened_at.get_mut(chunk)?.take()
    }

    /// Returns how many VMs of the region come before this one for `chunk`.
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

    /// Returns how many further VMs of the region take `chunk` over early.
    ///
    /// They are given up when more chunks were taken over than the reserve
    /// allows, because the copies read would else exceed the limit.
    #[must_use]
    pub fn extra_readers(&self, chunk: usize) -> usize {
        if self.overdue.count() > self.overdue_max {
            return 0;
        }
        // Every VM draws the same chunks from the digest.
        let draw = rendezvous::weight(self.chunks[chunk].as_bytes(), "extra-reader") % 1_000;
        let drawn = usize::from(draw < self.extra_readers_milli % 1_000);
        usize::try_from(self.extra_readers_milli / 1_000).unwrap_or(0) + drawn
    }
}

/// Returns the mean number of further readers of a region's chunk, in thousandths.
fn extra_readers_milli(regions: usize, origin_weighting: Share) -> u64 {
    let regions = regions.max(1) as u64;
    if regions >= COPIES_MAX {
        return 0;
    }
    let extra_milli = u64::from(origin_weighting.as_milli()) * (COPIES_MAX - regions);
    let limit_milli = (COPIES_MAX - regions) * 1_000 - TAKEOVER_RESERVE_MILLI as u64;
    extra_milli.min(limit_milli) / regions
}

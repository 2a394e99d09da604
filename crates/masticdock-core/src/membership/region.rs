//! Detection of regions that a network partition separates from this process.

use std::collections::{BTreeMap, BTreeSet};

use super::{Liveness, Member};
use crate::ids::RegionId;
use crate::units::MonoMs;

/// Fewest suspect members from which a region can count as partitioned; a single
/// failed member says nothing about its region.
const SUSPECTS_MIN: u32 = 2;

/// Tracks the last contact with each region and the regions that are partitioned.
#[derive(Debug, Clone, Default)]
pub struct PartitionDetector {
    last_contact: BTreeMap<RegionId, MonoMs>,
    partitioned: BTreeSet<RegionId>,
}

/// Number of members of one region by liveness.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RegionMemberCounts {
    /// Members that are alive or suspect.
    pub present: u32,
    /// Members that are suspect.
    pub suspect: u32,
}

/// Counts the members of `region` other than `own`.
pub fn count_region_members<'a>(
    members: impl Iterator<Item = &'a Member>,
    region: &RegionId,
    own: &str,
) -> RegionMemberCounts {
    let mut counts = RegionMemberCounts::default();
    for member in members {
        if member.region != *region || member.id == own {
            continue;
        }
        match member.liveness {
            Liveness::Alive => counts.present += 1,
            Liveness::Suspect => {
                counts.present += 1;
                counts.suspect += 1;
            }
            Liveness::Dead | Liveness::Left => {}
        }
    }
    counts
}

impl PartitionDetector {
    /// Records that a datagram arrived directly from a member of `region`.
    ///
    /// Returns true when this ends a partition of the region.
    pub fn record_contact(&mut self, region: &RegionId, now: MonoMs) -> bool {
        self.last_contact.insert(region.clone(), now);
        self.partitioned.remove(region)
    }

    /// Checks whether `region` is partitioned, and marks it if so; called when the
    /// suspicion timeout of one of its members expires.
    ///
    /// Members of a partitioned region stay suspect instead of being declared dead.
    /// A region with at least two suspect members counts as partitioned when more
    /// than `partition_percent` of its members are suspect at once, or when no
    /// datagram arrived from the region for `silence_ms`. A `partition_percent` of
    /// 100 turns the detection off.
    pub fn detect_partition(
        &mut self,
        region: &RegionId,
        counts: RegionMemberCounts,
        partition_percent: u32,
        silence_ms: u64,
        now: MonoMs,
    ) -> bool {
        if self.partitioned.contains(region) {
            return true;
        }
        if partition_percent >= 100 || counts.suspect < SUSPECTS_MIN {
            return false;
        }
        let mostly_suspect = counts.suspect * 100 > counts.present * partition_percent;
        let contacted_at = self.last_contact.get(region);
        let silent = contacted_at.is_none_or(|at| now.since_ms(*at) >= silence_ms);
        if !mostly_suspect && !silent {
            return false;
        }
        self.partitioned.insert(region.clone());
        true
    }

    /// Returns true when the region is marked as partitioned.
    #[must_use]
    pub fn is_partitioned(&self, region: &RegionId) -> bool {
        self.partitioned.contains(region)
    }

    /// Returns the regions marked as partitioned.
    #[must_use]
    pub const fn partitioned(&self) -> &BTreeSet<RegionId> {
        &self.partitioned
    }
}

//! Detection of regions that are cut off.

use std::collections::{BTreeMap, BTreeSet};

use super::{Liveness, Member};
use crate::ids::RegionId;
use crate::units::MonoMs;

/// Fewest unreachable members that can make a region count as cut.
const UNREACHABLE_MIN: u32 = 2;

/// Contact with the regions of the fleet.
#[derive(Debug, Clone, Default)]
pub struct RegionContacts {
    last_contact: BTreeMap<RegionId, MonoMs>,
    cut: BTreeSet<RegionId>,
}

/// Members of one region by liveness.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RegionCount {
    /// Members that are alive or suspect.
    pub present: u32,
    /// Suspect members.
    pub suspect: u32,
}

/// Counts the members of `region`, `own` left out.
pub fn count_region<'a>(
    members: impl Iterator<Item = &'a Member>,
    region: &RegionId,
    own: &str,
) -> RegionCount {
    let mut count = RegionCount::default();
    for member in members {
        if member.region != *region || member.id == own {
            continue;
        }
        match member.liveness {
            Liveness::Alive => count.present += 1,
            Liveness::Suspect => {
                count.present += 1;
                count.suspect += 1;
            }
            Liveness::Dead | Liveness::Left => {}
        }
    }
    count
}

impl RegionContacts {
    /// Notes that a datagram arrived straight from a member of `region`.
    ///
    /// Returns true when the region was cut and has returned.
    pub fn contact(&mut self, region: &RegionId, now: MonoMs) -> bool {
        self.last_contact.insert(region.clone(), now);
        self.cut.remove(region)
    }

    /// Decides whether a suspect of `region` whose time is up stays undeclared.
    ///
    /// The region counts as cut when more than `cut_percent` of its members are
    /// suspect at once, or when none of them was heard for `silence_ms` and at
    /// least two are suspect.
    pub fn is_cut_at_expiry(
        &mut self,
        region: &RegionId,
        count: RegionCount,
        cut_percent: u32,
        silence_ms: u64,
        now: MonoMs,
    ) -> bool {
        if self.cut.contains(region) {
            return true;
        }
        if cut_percent >= 100 || count.suspect < UNREACHABLE_MIN {
            return false;
        }
        let most = count.suspect * 100 > count.present * cut_percent;
        let heard = self.last_contact.get(region);
        let silent = heard.is_none_or(|at| now.since_ms(*at) >= silence_ms);
        if !most && !silent {
            return false;
        }
        self.cut.insert(region.clone());
        true
    }

    /// Returns true when the region is marked as cut.
    #[must_use]
    pub fn is_cut(&self, region: &RegionId) -> bool {
        self.cut.contains(region)
    }

    /// Returns the regions marked as cut.
    #[must_use]
    pub const fn cut(&self) -> &BTreeSet<RegionId> {
        &self.cut
    }
}

//! Selection of neighbours: the VMs that a VM exchanges chunk bitmaps with.

use crate::ids::{RegionId, ZoneId};
use crate::rendezvous;

/// Location of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VmLocation<'a> {
    /// Id of the VM.
    pub id: &'a str,
    /// Region of the VM.
    pub region: &'a RegionId,
    /// Availability zone of the VM.
    pub zone: &'a ZoneId,
}

/// Network distance to another VM; senders that come first in this order are
/// preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Locality {
    /// In the same availability zone.
    SameZone,
    /// In another zone of the same region.
    SameRegion,
    /// In another region.
    CrossRegion,
}

/// Returns the network distance between `own` and `other`.
#[must_use]
pub fn locality(own: &VmLocation<'_>, other: &VmLocation<'_>) -> Locality {
    if own.region != other.region {
        return Locality::CrossRegion;
    }
    if own.zone != other.zone {
        return Locality::SameRegion;
    }
    Locality::SameZone
}

/// Selects up to `limit` VMs of the same region and returns their indexes in `peers`.
///
/// At most half of them, rounded up, are in the same zone, provided that the
/// other zones of the region have enough VMs; a chunk that only one zone holds
/// would otherwise never leave it. The selection uses rendezvous hashing, so it
/// is pseudo-random and changes little when a VM joins or leaves.
#[must_use]
pub fn choose_neighbours(
    own: &VmLocation<'_>,
    peers: &[VmLocation<'_>],
    limit: usize,
) -> Vec<usize> {
    let mut same_zone = Vec::new();
    let mut same_region = Vec::new();
    for (index, peer) in peers.iter().enumerate() {
        if peer.id == own.id {
            continue;
        }
        let candidate = (rendezvous::weight(own.id.as_bytes(), peer.id), index);
        match locality(own, peer) {
            Locality::SameZone => same_zone.push(candidate),
            Locality::SameRegion => same_region.push(candidate),
            Locality::CrossRegion => {}
        }
    }
    same_zone.sort_unstable_by(|a, b| b.cmp(a));
    same_region.sort_unstable_by(|a, b| b.cmp(a));
    let same_zone_count = limit
        .div_ceil(2)
        .max(limit.saturating_sub(same_region.len()))
        .min(same_zone.len());
    same_zone.truncate(same_zone_count);
    same_region.truncate(limit - same_zone_count);
    same_zone
        .into_iter()
        .chain(same_region)
        .map(|(_, index)| index)
        .collect()
}

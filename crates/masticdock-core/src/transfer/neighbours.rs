//! Choice of the VMs whose chunks a VM follows.

use crate::ids::{RegionId, ZoneId};
use crate::rendezvous;

/// Where a VM is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VmLocation<'a> {
    /// Id of the VM.
    pub id: &'a str,
    /// Region.
    pub region: &'a RegionId,
    /// Availability zone.
    pub zone: &'a ZoneId,
}

/// How near another VM is; a nearer one is preferred as a sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Locality {
    /// In the same availability zone.
    SameZone,
    /// In another zone of the same region.
    SameRegion,
    /// In another region.
    CrossRegion,
}

/// Returns how near `other` is to `own`.
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

/// Chooses up to `limit` VMs of the own region and returns their indexes in `peers`.
///
/// At most half of them, rounded up, are of the own zone as long as the other
/// zones of the region have enough VMs, since a chunk that is in one zone alone
/// would else never leave it. The choice is pseudo-random and moves little when
/// a VM comes or goes.
#[must_use]
pub fn choose_neighbours(
    own: &VmLocation<'_>,
    peers: &[VmLocation<'_>],
    limit: usize,
) -> Vec<usize> {
    let mut in_zone = Vec::new();
    let mut in_region = Vec::new();
    for (index, peer) in peers.iter().enumerate() {
        if peer.id == own.id {
            continue;
        }
        let weighted = (rendezvous::weight(own.id.as_bytes(), peer.id), index);
        match locality(own, peer) {
            Locality::SameZone => in_zone.push(weighted),
            Locality::SameRegion => in_region.push(weighted),
            Locality::CrossRegion => {}
        }
    }
    in_zone.sort_unstable_by(|a, b| b.cmp(a));
    in_region.sort_unstable_by(|a, b| b.cmp(a));
    let from_zone = limit
        .div_ceil(2)
        .max(limit.saturating_sub(in_region.len()))
        .min(in_zone.len());
    in_zone.truncate(from_zone);
    in_region.truncate(limit - from_zone);
    in_zone
        .into_iter()
        .chain(in_region)
        .map(|(_, index)| index)
        .collect()
}

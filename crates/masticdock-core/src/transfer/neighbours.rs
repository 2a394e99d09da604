//! Choice of the VMs whose chunks a VM follows.

use crate::ids::{RegionId, ZoneId};
use crate::rendezvous;

/// Where a VM is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place<'a> {
    /// Id of the VM.
    pub id: &'a str,
    /// Region.
    pub region: &'a RegionId,
    /// Availability zone.
    pub zone: &'a ZoneId,
}

/// How near another VM is; a nearer one is preferred as a sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Tier {
    /// In the same availability zone.
    Zone,
    /// In another zone of the same region.
    Region,
    /// In another region.
    Remote,
}

/// Returns how near `other` is to `own`.
#[must_use]
pub fn tier(own: &Place<'_>, other: &Place<'_>) -> Tier {
    if own.region != other.region {
        return Tier::Remote;
    }
    if own.zone != other.zone {
        return Tier::Region;
    }
    Tier::Zone
}

/// Chooses up to `limit` VMs of the own region and returns their indexes in `peers`.
///
/// At most half of them, rounded up, are of the own zone as long as the other
/// zones of the region have enough VMs, since a chunk that is in one zone alone
/// would else never leave it. The choice is pseudo-random and moves little when
/// a VM comes or goes.
#[must_use]
pub fn choose_neighbours(own: &Place<'_>, peers: &[Place<'_>], limit: usize) -> Vec<usize> {
    let mut in_zone = Vec::new();
    let mut in_region = Vec::new();
    for (index, peer) in peers.iter().enumerate() {
        if peer.id == own.id {
            continue;
        }
        let weighted = (rendezvous::weight(own.id.as_bytes(), peer.id), index);
        match tier(own, peer) {
            Tier::Zone => in_zone.push(weighted),
            Tier::Region => in_region.push(weighted),
            Tier::Remote => {}
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

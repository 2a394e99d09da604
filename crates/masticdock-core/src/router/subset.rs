//! Subset of the upstreams that one entry sends to.

use compact_str::CompactString;

use crate::ids::{RegionId, VersionId, ZoneId};
use crate::rendezvous;

/// An upstream that may take requests of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// VM id.
    pub id: CompactString,
    /// Region.
    pub region: RegionId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Version in service; `None` for plain services.
    pub version: Option<VersionId>,
}

/// Distance between an entry and an upstream, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Locality {
    /// In the same availability zone.
    SameZone,
    /// In the same region.
    SameRegion,
    /// In another region.
    CrossRegion,
}

impl Locality {
    /// Returns the distance of `candidate` from a place.
    #[must_use]
    pub fn of(candidate: &Candidate, region: &RegionId, zone: &ZoneId) -> Self {
        if candidate.region != *region {
            return Self::CrossRegion;
        }
        if candidate.zone != *zone {
            return Self::SameRegion;
        }
        Self::SameZone
    }
}

/// Returns up to `size` candidates: nearest first, then by rendezvous rank for `key`.
///
/// `key` names the entry and the service, so entries spread over the upstreams.
#[must_use]
pub fn select_subset<'a>(
    key: &[u8],
    region: &RegionId,
    zone: &ZoneId,
    candidates: &[&'a Candidate],
    size: usize,
) -> Vec<&'a Candidate> {
    let mut chosen = Vec::with_capacity(size.min(candidates.len()));
    for wanted in [
        Locality::SameZone,
        Locality::SameRegion,
        Locality::CrossRegion,
    ] {
        let mut near: Vec<&Candidate> = Vec::new();
        for candidate in candidates {
            if Locality::of(candidate, region, zone) == wanted {
                near.push(candidate);
            }
        }
        let ranked = rendezvous::rank(key, &near, |candidate| candidate.id.as_str());
        let room = size - chosen.len();
        chosen.extend(ranked.into_iter().copied().take(room));
    }
    chosen
}

//! Selection of the subset of upstreams that one entry sends to.

use compact_str::CompactString;

use crate::ids::{RegionId, VersionId, ZoneId};
use crate::rendezvous;

/// Upstream that can take requests of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Id of the VM.
    pub id: CompactString,
    /// Region of the VM.
    pub region: RegionId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Version that the upstream serves; `None` for plain services.
    pub version: Option<VersionId>,
}

/// Location of an upstream relative to an entry, in order of preference.
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
    /// Returns the locality of `candidate` for an entry in `region` and `zone`.
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

/// Returns up to `size` candidates, ordered by locality, then by rendezvous rank for `key`.
///
/// `key` names the entry and the service, so different entries prefer different
/// upstreams.
#[must_use]
pub fn select_subset<'a>(
    key: &[u8],
    region: &RegionId,
    zone: &ZoneId,
    candidates: &[&'a Candidate],
    size: usize,
) -> Vec<&'a Candidate> {
    let mut selected = Vec::with_capacity(size.min(candidates.len()));
    for locality in [
        Locality::SameZone,
        Locality::SameRegion,
        Locality::CrossRegion,
    ] {
        let mut matching: Vec<&Candidate> = Vec::new();
        for candidate in candidates {
            if Locality::of(candidate, region, zone) == locality {
                matching.push(candidate);
            }
        }
        let ranked = rendezvous::rank(key, &matching, |candidate| candidate.id.as_str());
        let remaining = size - selected.len();
        selected.extend(ranked.into_iter().copied().take(remaining));
    }
    selected
}

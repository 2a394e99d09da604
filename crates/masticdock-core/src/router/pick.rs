//! Choice of an upstream within the subset of an entry.

use super::LoadEstimate;
use crate::rendezvous;

/// Parameters of [`pick`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PickPolicy {
    /// Load bound of prefix affinity, in percent of the mean load; an upstream at
    /// the bound gets no more requests by affinity.
    pub load_bound_percent: u64,
    /// Most requests that this entry has in flight at one upstream.
    pub own_in_flight_max: u32,
}

/// Upstream of the subset, as an argument of [`pick`].
#[derive(Debug, Clone, Copy)]
pub struct PickCandidate<'a> {
    /// Id of the VM.
    pub id: &'a str,
    /// Estimated load of the upstream.
    pub load: LoadEstimate,
    /// False when the upstream must not be picked, because the request was already
    /// sent to it or because it is currently avoided.
    pub eligible: bool,
}

/// Picks an upstream and returns its index in `candidates`.
///
/// With a `prefix`, picks the first upstream in the rendezvous order of the
/// prefix whose load is below the bound (consistent hashing with bounded loads).
/// Without one, or when no upstream is below the bound, picks the least loaded
/// upstream and breaks ties by rendezvous order of `tie_break_key`.
#[must_use]
pub fn pick(
    candidates: &[PickCandidate<'_>],
    prefix: Option<&[u8]>,
    tie_break_key: &[u8],
    policy: PickPolicy,
) -> Option<usize> {
    let mut available: Vec<(usize, PickCandidate<'_>)> = Vec::with_capacity(candidates.len());
    for (index, candidate) in candidates.iter().enumerate() {
        if candidate.eligible && candidate.load.own_in_flight() < policy.own_in_flight_max {
            available.push((index, *candidate));
        }
    }
    if let Some(prefix) = prefix {
        let bound = load_bound(&available, policy.load_bound_percent);
        for (index, candidate) in
            rendezvous::rank(prefix, &available, |(_, candidate)| candidate.id)
        {
            if u64::from(candidate.load.estimate()) < bound {
                return Some(*index);
            }
        }
    }
    rendezvous::rank(tie_break_key, &available, |(_, candidate)| candidate.id)
        .into_iter()
        .min_by_key(|(_, candidate)| candidate.load.estimate())
        .map(|(index, _)| *index)
}

/// Returns the load below which an upstream is picked by affinity: `percent` of
/// the mean load with this request included, rounded up.
fn load_bound(available: &[(usize, PickCandidate<'_>)], percent: u64) -> u64 {
    let mut total: u64 = 1;
    for (_, candidate) in available {
        total += u64::from(candidate.load.estimate());
    }
    (total * percent).div_ceil(100 * available.len().max(1) as u64)
}

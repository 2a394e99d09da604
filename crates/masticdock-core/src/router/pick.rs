//! Choice within the subset.

use super::LoadEstimate;
use crate::rendezvous;

/// Rules of the choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PickPolicy {
    /// Load over the mean above which affinity gives way, in percent.
    pub load_bound_percent: u64,
    /// Requests in progress that one upstream takes from this entry.
    pub own_in_flight_max: u32,
}

/// One upstream of the subset.
#[derive(Debug, Clone, Copy)]
pub struct PickCandidate<'a> {
    /// VM id.
    pub id: &'a str,
    /// Load.
    pub load: LoadEstimate,
    /// False when the upstream was tried already or is avoided for now.
    pub eligible: bool,
}

/// Picks an upstream and returns its position in `choices`.
///
/// With a `prefix`, the first one in the prefix's rendezvous order that stays
/// within the bound wins; without, the least loaded one, ties broken by `spread`.
#[must_use]
pub fn pick(
    choices: &[PickCandidate<'_>],
    prefix: Option<&[u8]>,
    spread: &[u8],
    rules: PickPolicy,
) -> Option<usize> {
    let mut open: Vec<(usize, PickCandidate<'_>)> = Vec::with_capacity(choices.len());
    for (index, choice) in choices.iter().enumerate() {
        if choice.eligible && choice.load.own_in_flight() < rules.own_in_flight_max {
            open.push((index, *choice));
        }
    }
    if let Some(prefix) = prefix {
        let bound = bound(&open, rules.load_bound_percent);
        for (index, choice) in rendezvous::rank(prefix, &open, |(_, choice)| choice.id) {
            if u64::from(choice.load.estimate()) < bound {
                return Some(*index);
            }
        }
    }
    rendezvous::rank(spread, &open, |(_, choice)| choice.id)
        .into_iter()
        .min_by_key(|(_, choice)| choice.load.estimate())
        .map(|(index, _)| *index)
}

/// Returns the load that no upstream exceeds by affinity: the mean with this
/// request included, times the bound, rounded up.
fn bound(open: &[(usize, PickCandidate<'_>)], percent: u64) -> u64 {
    let mut total: u64 = 1;
    for (_, choice) in open {
        total += u64::from(choice.load.estimate());
    }
    (total * percent).div_ceil(100 * open.len().max(1) as u64)
}

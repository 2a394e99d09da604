//! Load balancing: choice of an upstream for a request.
//!
//! An entry sends only to a subset of the upstreams. Within the subset, requests
//! with the same prompt prefix go to the same upstream as long as its load stays
//! below a bound relative to the mean.

mod load;
mod pick;
mod subset;

pub use load::LoadEstimate;
pub use pick::{PickCandidate, PickPolicy, pick};
pub use subset::{Candidate, Locality, select_subset};

use crate::ids::VersionId;

/// Returns the candidates that serve the version `wanted`, or all when it is `None`.
#[must_use]
pub fn filter_by_version<'a>(
    candidates: &'a [Candidate],
    wanted: Option<&VersionId>,
) -> Vec<&'a Candidate> {
    let mut matching = Vec::with_capacity(candidates.len());
    for candidate in candidates {
        if wanted.is_none() || candidate.version.as_ref() == wanted {
            matching.push(candidate);
        }
    }
    matching
}

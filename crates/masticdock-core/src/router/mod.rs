//! Choice of an upstream for a request.
//!
//! An entry keeps connections to a subset of the upstreams only. Within it,
//! requests with the same prompt prefix go to the same upstream while its load
//! stays below a bound over the mean.

mod load;
mod pick;
mod subset;

pub use load::LoadEstimate;
pub use pick::{PickCandidate, PickPolicy, pick};
pub use subset::{Candidate, Locality, select_subset};

use crate::ids::VersionId;

/// Returns the candidates that can answer for `wanted`, or for any version when `None`.
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

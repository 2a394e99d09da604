//! Adoption of a whole configuration from the table or from peers.

use super::{AcceptedChange, ApplyOutcome, ConfigState, StoredResource};
use crate::ids::Revision;

/// Adoption from the table: head, resources, head again, then the log between.
///
/// Resources are read page by page while others write, so they may be newer
/// than the first head. Each log row replaces whole resources, so applying the
/// rows between the two heads again gives the configuration of the second head.
#[derive(Debug, Clone)]
pub struct TableAdoption {
    first_head: Revision,
    resources: Vec<StoredResource>,
}

/// Why an adoption cannot be completed from what was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AdoptionError {
    /// The second head is below the first, so a read lagged.
    #[error("the head went back from {first} to {second}; a read lagged")]
    HeadDecreased {
        /// Head read first.
        first: Revision,
        /// Head read second.
        second: Revision,
    },
    /// The log does not reach the second head.
    #[error("the log has no row for revision {missing}")]
    LogIncomplete {
        /// First revision that is missing.
        missing: Revision,
    },
    /// A resource is newer than the second head.
    #[error("a resource stands at revision {resource}, above the head {head}; a read lagged")]
    ResourceAboveHead {
        /// Revision of the resource.
        resource: Revision,
        /// Head read second.
        head: Revision,
    },
}

impl TableAdoption {
    /// Starts from the head read first and the resources read after it.
    #[must_use]
    pub const fn new(first_head: Revision, resources: Vec<StoredResource>) -> Self {
        Self {
            first_head,
            resources,
        }
    }

    /// Returns the revision above which log rows are needed.
    #[must_use]
    pub const fn log_start(&self) -> Revision {
        self.first_head
    }

    /// Completes the adoption with the head read second and the log rows above the first.
    ///
    /// # Errors
    ///
    /// Fails when a read lagged; the caller starts anew.
    pub fn finish(
        self,
        second_head: Revision,
        log: &[AcceptedChange],
    ) -> Result<ConfigState, AdoptionError> {
        if second_head < self.first_head {
            return Err(AdoptionError::HeadDecreased {
                first: self.first_head,
                second: second_head,
            });
        }
        for stored in &self.resources {
            if stored.revision > second_head {
                return Err(AdoptionError::ResourceAboveHead {
                    resource: stored.revision,
                    head: second_head,
                });
            }
        }
        let mut state = ConfigState::from_resources(self.first_head, self.resources);
        for change in log {
            if change.revision > second_head {
                break;
            }
            if let ApplyOutcome::Gap { missing } = state.apply(change) {
                return Err(AdoptionError::LogIncomplete { missing });
            }
        }
        if state.revision() < second_head {
            return Err(AdoptionError::LogIncomplete {
                missing: state.revision().next(),
            });
        }
        Ok(state)
    }
}

/// Revision that one peer reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerRevision<P> {
    /// The peer.
    pub peer: P,
    /// Availability zone of the peer.
    pub zone: crate::ids::ZoneId,
    /// Revision that it holds.
    pub revision: Revision,
}

/// Chooses the peer to adopt from in a table outage: the one with the highest revision.
///
/// Returns `None` until peers of at least `zones_needed` zones have answered,
/// so one cut or lagging zone cannot lead a restarted process back to an older
/// revision, and while no peer holds a configuration.
#[must_use]
pub fn choose_peer<P>(offers: &[PeerRevision<P>], zones_needed: usize) -> Option<&PeerRevision<P>> {
    let mut zones: Vec<&crate::ids::ZoneId> = offers.iter().map(|offer| &offer.zone).collect();
    zones.sort();
    zones.dedup();
    if zones.len() < zones_needed.max(1) {
        return None;
    }
    let best = offers.iter().max_by_key(|offer| offer.revision)?;
    (best.revision > Revision(0)).then_some(best)
}

//! Adoption: loading a complete configuration from the table or choosing a peer to load it from.

use super::{AcceptedChange, ApplyOutcome, ConfigState, StoredResource};
use crate::ids::Revision;

/// Loads a configuration from the table as a fuzzy snapshot plus log replay.
///
/// The reads happen in this order: head, resources, head a second time, log
/// rows between the two heads. Resources are read page by page during
/// concurrent writes, so some may be newer than the first head. Log rows are
/// idempotent, because each one replaces whole resources; replaying the rows
/// between the two heads yields exactly the configuration of the second head.
#[derive(Debug, Clone)]
pub struct TableAdoption {
    first_head: Revision,
    resources: Vec<StoredResource>,
}

/// Reports reads that are stale or incomplete, so that no configuration can be built from them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AdoptionError {
    /// The second head is below the first, so the second read was stale.
    #[error("head revision decreased from {first} to {second}: the second read was stale")]
    HeadDecreased {
        /// Head returned by the first read.
        first: Revision,
        /// Head returned by the second read.
        second: Revision,
    },
    /// The log does not reach the second head.
    #[error("configuration log has no row for revision {missing}")]
    LogIncomplete {
        /// First revision that is missing.
        missing: Revision,
    },
    /// A resource is newer than the second head, so the second read was stale.
    #[error("a resource has revision {resource}, above head {head}: the head read was stale")]
    ResourceAboveHead {
        /// Revision of the resource.
        resource: Revision,
        /// Head returned by the second read.
        head: Revision,
    },
}

impl TableAdoption {
    /// Creates an adoption from the first head and the resources read after it.
    #[must_use]
    pub const fn new(first_head: Revision, resources: Vec<StoredResource>) -> Self {
        Self {
            first_head,
            resources,
        }
    }

    /// Returns the revision above which log rows have to be read.
    #[must_use]
    pub const fn log_start(&self) -> Revision {
        self.first_head
    }

    /// Replays `log`, the rows above [`Self::log_start`], up to `second_head`.
    ///
    /// # Errors
    ///
    /// Returns an error if one of the reads was stale; the caller restarts the adoption.
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

/// Returns the first revision above `applied`, up to `head`, that `log` lacks.
#[must_use]
pub fn missing_revision(
    applied: Revision,
    head: Revision,
    log: &[AcceptedChange],
) -> Option<Revision> {
    let mut reached = applied;
    for change in log {
        if reached < head && change.revision == reached.next() {
            reached = change.revision;
        }
    }
    (reached < head).then(|| reached.next())
}

/// Configuration revision reported by a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerRevision<P> {
    /// Address or identity of the peer.
    pub peer: P,
    /// Availability zone of the peer.
    pub zone: crate::ids::ZoneId,
    /// Revision of the peer's configuration.
    pub revision: Revision,
}

/// Returns the peer with the highest revision, to adopt from during a table outage.
///
/// Returns `None` if peers of fewer than `zones_min` availability zones have
/// answered, so that one partitioned or lagging zone cannot make a restarted
/// process adopt an old revision. Also returns `None` if no peer holds a
/// configuration.
#[must_use]
pub fn choose_peer<P>(
    candidates: &[PeerRevision<P>],
    zones_min: usize,
) -> Option<&PeerRevision<P>> {
    let mut zones: Vec<&crate::ids::ZoneId> =
        candidates.iter().map(|candidate| &candidate.zone).collect();
    zones.sort();
    zones.dedup();
    if zones.len() < zones_min.max(1) {
        return None;
    }
    let best = candidates
        .iter()
        .max_by_key(|candidate| candidate.revision)?;
    (best.revision > Revision(0)).then_some(best)
}

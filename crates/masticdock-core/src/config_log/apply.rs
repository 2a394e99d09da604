//! Application of accepted changes and building of whole configurations.

use std::collections::BTreeMap;

use super::{AcceptedChange, ConfigState, StoredResource};
use crate::ids::Revision;
use crate::resource::ResourceChange;

/// What [`ConfigState::apply`] did with a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change is in force.
    Applied,
    /// The change is not above the held revision and was ignored.
    Stale,
    /// Changes between the held revision and this one are missing; nothing changed.
    Gap {
        /// First revision that is missing.
        missing: Revision,
    },
}

impl ConfigState {
    /// Builds a configuration from resources that all stand at `revision` or below.
    #[must_use]
    pub fn from_resources(revision: Revision, resources: Vec<StoredResource>) -> Self {
        let mut by_key = BTreeMap::new();
        for stored in resources {
            by_key.insert(stored.resource.key(), stored);
        }
        Self {
            revision,
            resources: by_key,
        }
    }

    /// Applies `change` when it directly follows the held revision.
    pub fn apply(&mut self, change: &AcceptedChange) -> ApplyOutcome {
        if change.revision <= self.revision {
            return ApplyOutcome::Stale;
        }
        if change.revision != self.revision.next() {
            return ApplyOutcome::Gap {
                missing: self.revision.next(),
            };
        }
        for entry in &change.changes {
            self.apply_entry(change.revision, entry);
        }
        self.revision = change.revision;
        ApplyOutcome::Applied
    }

    pub(super) fn apply_entry(&mut self, revision: Revision, entry: &ResourceChange) {
        match entry {
            ResourceChange::Put(resource) => {
                let stored = StoredResource {
                    revision,
                    resource: resource.clone(),
                };
                self.resources.insert(resource.key(), stored);
            }
            ResourceChange::Delete(key) => {
                self.resources.remove(key);
            }
        }
    }

    /// Returns the configuration that `changes` would make, at the same revision.
    ///
    /// Checks use it to look at a change before it is proposed.
    #[must_use]
    pub fn preview(&self, changes: &[ResourceChange]) -> Self {
        let mut preview = self.clone();
        for entry in changes {
            preview.apply_entry(self.revision.next(), entry);
        }
        preview
    }
}

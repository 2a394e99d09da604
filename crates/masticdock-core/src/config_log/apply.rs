//! Applying accepted changes to a configuration.

use std::collections::BTreeMap;

use super::{AcceptedChange, ConfigState, StoredResource};
use crate::ids::Revision;
use crate::resource::ResourceChange;

/// Outcome of [`ConfigState::apply`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change was applied.
    Applied,
    /// The change was ignored, because the state already has its revision or a higher one.
    Stale,
    /// The change was not applied, because changes before it are missing.
    Gap {
        /// First revision that is missing.
        missing: Revision,
    },
}

impl ConfigState {
    /// Creates a configuration at `revision` from resources that are not newer than it.
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

    /// Applies `change` if its revision directly follows that of the state.
    pub fn apply(&mut self, change: &AcceptedChange) -> ApplyOutcome {
        if change.revision <= self.revision {
            return ApplyOutcome::Stale;
        }
        if change.revision != self.revision.next() {
            return ApplyOutcome::Gap {
                missing: self.revision.next(),
            };
        }
        for resource_change in &change.changes {
            self.apply_resource_change(change.revision, resource_change);
        }
        self.revision = change.revision;
        ApplyOutcome::Applied
    }

    pub(super) fn apply_resource_change(
        &mut self,
        revision: Revision,
        resource_change: &ResourceChange,
    ) {
        match resource_change {
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

    /// Returns the state with `changes` applied, to validate a change before it is proposed.
    ///
    /// The revision of the returned state is that of `self`.
    #[must_use]
    pub fn preview(&self, changes: &[ResourceChange]) -> Self {
        let mut preview = self.clone();
        for resource_change in changes {
            preview.apply_resource_change(self.revision.next(), resource_change);
        }
        preview
    }
}

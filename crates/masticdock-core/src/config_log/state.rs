//! Configuration at one revision.

use std::collections::BTreeMap;

use compact_str::{CompactString, ToCompactString};

use crate::ids::{Revision, ServiceId, VersionId, VmId, WorkspaceId};
use crate::resource::{
    Adapter, Labels, Mark, Resource, ResourceKey, ResourceKind, Rollout, Service, Version,
    Workspace,
};

/// A resource and the revision that last changed it.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredResource {
    /// Revision of the last change.
    pub revision: Revision,
    /// The resource.
    pub resource: Resource,
}

/// All resources at one revision.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigState {
    pub(super) revision: Revision,
    pub(super) resources: BTreeMap<ResourceKey, StoredResource>,
}

impl ConfigState {
    /// Returns the revision; 0 before a configuration was adopted.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns one resource.
    #[must_use]
    pub fn get(&self, key: &ResourceKey) -> Option<&StoredResource> {
        self.resources.get(key)
    }

    /// Iterates over all resources, by kind and name.
    pub fn iter(&self) -> impl Iterator<Item = (&ResourceKey, &StoredResource)> {
        self.resources.iter()
    }

    /// Iterates over the resources of one kind, by name.
    pub fn of_kind(&self, kind: ResourceKind) -> impl Iterator<Item = &StoredResource> {
        let first = ResourceKey {
            kind,
            name: CompactString::const_new(""),
        };
        self.resources
            .range(first..)
            .take_while(move |(key, _)| key.kind == kind)
            .map(|(_, stored)| stored)
    }

    fn named(&self, kind: ResourceKind, name: &str) -> Option<&Resource> {
        let key = ResourceKey {
            kind,
            name: name.to_compact_string(),
        };
        self.resources.get(&key).map(|stored| &stored.resource)
    }

    /// Iterates over rollouts and the revisions that last changed them.
    pub fn rollouts(&self) -> impl Iterator<Item = (Revision, &Rollout)> {
        self.of_kind(ResourceKind::Rollout)
            .filter_map(|stored| match &stored.resource {
                Resource::Rollout(rollout) => Some((stored.revision, rollout)),
                _ => None,
            })
    }

    /// Returns a version.
    #[must_use]
    pub fn version(&self, name: &VersionId) -> Option<&Version> {
        match self.named(ResourceKind::Version, name.as_str())? {
            Resource::Version(version) => Some(version),
            _ => None,
        }
    }

    /// Returns an adapter.
    #[must_use]
    pub fn adapter(&self, name: &crate::ids::AdapterId) -> Option<&Adapter> {
        match self.named(ResourceKind::Adapter, name.as_str())? {
            Resource::Adapter(adapter) => Some(adapter),
            _ => None,
        }
    }

    /// Returns a service.
    #[must_use]
    pub fn service(&self, name: &ServiceId) -> Option<&Service> {
        match self.named(ResourceKind::Service, name.as_str())? {
            Resource::Service(service) => Some(service),
            _ => None,
        }
    }

    /// Returns a workspace.
    #[must_use]
    pub fn workspace(&self, name: &WorkspaceId) -> Option<&Workspace> {
        match self.named(ResourceKind::Workspace, name.as_str())? {
            Resource::Workspace(workspace) => Some(workspace),
            _ => None,
        }
    }

    /// Iterates over workspaces.
    pub fn workspaces(&self) -> impl Iterator<Item = &Workspace> {
        self.of_kind(ResourceKind::Workspace)
            .filter_map(|stored| match &stored.resource {
                Resource::Workspace(workspace) => Some(workspace),
                _ => None,
            })
    }

    /// Returns the labels that operators gave a VM.
    #[must_use]
    pub fn vm_labels(&self, vm: &VmId) -> Option<&Labels> {
        match self.named(ResourceKind::VmLabels, vm.as_str())? {
            Resource::VmLabels(labels) => Some(&labels.labels),
            _ => None,
        }
    }

    /// Returns the mark that operators gave a VM.
    #[must_use]
    pub fn vm_mark(&self, vm: &VmId) -> Option<Mark> {
        match self.named(ResourceKind::VmMark, vm.as_str())? {
            Resource::VmMark(mark) => Some(mark.mark),
            _ => None,
        }
    }
}

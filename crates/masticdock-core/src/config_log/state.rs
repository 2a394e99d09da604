//! The configuration at one revision.

use std::collections::BTreeMap;

use compact_str::{CompactString, ToCompactString};

use crate::ids::{Revision, ServiceId, VersionId, VmId, WorkspaceId};
use crate::resource::{
    Adapter, Labels, Mark, Resource, ResourceKey, ResourceKind, Rollout, Service, Version,
    Workspace,
};

/// Resource with the revision that last changed it.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredResource {
    /// Revision that last changed the resource.
    pub revision: Revision,
    /// Value of the resource at that revision.
    pub resource: Resource,
}

/// All resources at one revision.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigState {
    pub(super) revision: Revision,
    pub(super) resources: BTreeMap<ResourceKey, StoredResource>,
}

impl ConfigState {
    /// Returns the revision; 0 means no configuration.
    #[must_use]
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the resource with the key.
    #[must_use]
    pub fn get(&self, key: &ResourceKey) -> Option<&StoredResource> {
        self.resources.get(key)
    }

    /// Iterates over all resources in the order of kind and name.
    pub fn iter(&self) -> impl Iterator<Item = (&ResourceKey, &StoredResource)> {
        self.resources.iter()
    }

    /// Iterates over the resources of one kind in the order of their names.
    pub fn of_kind(&self, kind: ResourceKind) -> impl Iterator<Item = &StoredResource> {
        let range_start = ResourceKey {
            kind,
            name: CompactString::const_new(""),
        };
        self.resources
            .range(range_start..)
            .take_while(move |(key, _)| key.kind == kind)
            .map(|(_, stored)| stored)
    }

    fn resource_by_name(&self, kind: ResourceKind, name: &str) -> Option<&Resource> {
        let key = ResourceKey {
            kind,
            name: name.to_compact_string(),
        };
        self.resources.get(&key).map(|stored| &stored.resource)
    }

    /// Iterates over the rollouts, each with the revision that last changed it.
    pub fn rollouts(&self) -> impl Iterator<Item = (Revision, &Rollout)> {
        self.of_kind(ResourceKind::Rollout)
            .filter_map(|stored| match &stored.resource {
                Resource::Rollout(rollout) => Some((stored.revision, rollout)),
                _ => None,
            })
    }

    /// Returns the version with the name.
    #[must_use]
    pub fn version(&self, name: &VersionId) -> Option<&Version> {
        match self.resource_by_name(ResourceKind::Version, name.as_str())? {
            Resource::Version(version) => Some(version),
            _ => None,
        }
    }

    /// Returns the adapter with the name.
    #[must_use]
    pub fn adapter(&self, name: &crate::ids::AdapterId) -> Option<&Adapter> {
        match self.resource_by_name(ResourceKind::Adapter, name.as_str())? {
            Resource::Adapter(adapter) => Some(adapter),
            _ => None,
        }
    }

    /// Returns the service with the name.
    #[must_use]
    pub fn service(&self, name: &ServiceId) -> Option<&Service> {
        match self.resource_by_name(ResourceKind::Service, name.as_str())? {
            Resource::Service(service) => Some(service),
            _ => None,
        }
    }

    /// Returns the workspace with the name.
    #[must_use]
    pub fn workspace(&self, name: &WorkspaceId) -> Option<&Workspace> {
        match self.resource_by_name(ResourceKind::Workspace, name.as_str())? {
            Resource::Workspace(workspace) => Some(workspace),
            _ => None,
        }
    }

    /// Iterates over the workspaces in the order of their names.
    pub fn workspaces(&self) -> impl Iterator<Item = &Workspace> {
        self.of_kind(ResourceKind::Workspace)
            .filter_map(|stored| match &stored.resource {
                Resource::Workspace(workspace) => Some(workspace),
                _ => None,
            })
    }

    /// Returns the labels that an operator assigned to the VM.
    #[must_use]
    pub fn vm_labels(&self, vm: &VmId) -> Option<&Labels> {
        match self.resource_by_name(ResourceKind::VmLabels, vm.as_str())? {
            Resource::VmLabels(labels) => Some(&labels.labels),
            _ => None,
        }
    }

    /// Returns the mark that an operator set on the VM.
    #[must_use]
    pub fn vm_mark(&self, vm: &VmId) -> Option<Mark> {
        match self.resource_by_name(ResourceKind::VmMark, vm.as_str())? {
            Resource::VmMark(mark) => Some(mark.mark),
            _ => None,
        }
    }
}

//! Configuration resources in the form in which operators write them.

mod check;
mod kinds;
mod references;

use compact_str::{CompactString, ToCompactString, format_compact};
use serde::{Deserialize, Serialize};

pub use check::{ResourceError, ResourceErrorKind};
pub use kinds::{
    Adapter, Mark, Model, Rollout, Service, ServiceKind, Version, VmLabels, VmMark, Workspace,
};

pub use references::check_references;

/// Labels of a VM: values by key.
pub type Labels = std::collections::BTreeMap<CompactString, CompactString>;

/// Resource of any kind; the `kind` tag tells them apart in YAML and JSON.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Resource {
    /// A model.
    Model(Model),
    /// A version of a model.
    Version(Version),
    /// An adapter of a base version.
    Adapter(Adapter),
    /// A rollout.
    Rollout(Rollout),
    /// A service that callers address.
    Service(Service),
    /// A workspace with its limits.
    Workspace(Workspace),
    /// Labels of a VM.
    VmLabels(VmLabels),
    /// The leaving or stopping mark of a VM.
    VmMark(VmMark),
}

/// Kind of a resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResourceKind {
    /// See [`Model`].
    Model,
    /// See [`Version`].
    Version,
    /// See [`Adapter`].
    Adapter,
    /// See [`Rollout`].
    Rollout,
    /// See [`Service`].
    Service,
    /// See [`Workspace`].
    Workspace,
    /// See [`VmLabels`].
    VmLabels,
    /// See [`VmMark`].
    VmMark,
}

impl ResourceKind {
    /// All kinds; a kind refers only to kinds that precede it.
    pub const ALL: [Self; 8] = [
        Self::Model,
        Self::Version,
        Self::Adapter,
        Self::Rollout,
        Self::Service,
        Self::Workspace,
        Self::VmLabels,
        Self::VmMark,
    ];

    /// Returns the name of the kind as written in YAML.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Model => "model",
            Self::Version => "version",
            Self::Adapter => "adapter",
            Self::Rollout => "rollout",
            Self::Service => "service",
            Self::Workspace => "workspace",
            Self::VmLabels => "vm-labels",
            Self::VmMark => "vm-mark",
        }
    }
}

impl std::fmt::Display for ResourceKind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(self.as_str())
    }
}

impl std::str::FromStr for ResourceKind {
    type Err = ResourceError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        for kind in Self::ALL {
            if kind.as_str() == text {
                return Ok(kind);
            }
        }
        Err(ResourceError::new(
            ResourceErrorKind::UnknownKind,
            "kind",
            format_compact!("there is no kind `{text}`"),
            "use model, version, adapter, rollout, service, workspace, vm-labels or vm-mark",
        ))
    }
}

/// Identifies a resource by kind and name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ResourceKey {
    /// Kind of the resource.
    pub kind: ResourceKind,
    /// Name of the resource, unique within its kind.
    pub name: CompactString,
}

impl std::fmt::Display for ResourceKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

impl Resource {
    /// Returns the kind of the resource.
    #[must_use]
    pub const fn kind(&self) -> ResourceKind {
        match self {
            Self::Model(_) => ResourceKind::Model,
            Self::Version(_) => ResourceKind::Version,
            Self::Adapter(_) => ResourceKind::Adapter,
            Self::Rollout(_) => ResourceKind::Rollout,
            Self::Service(_) => ResourceKind::Service,
            Self::Workspace(_) => ResourceKind::Workspace,
            Self::VmLabels(_) => ResourceKind::VmLabels,
            Self::VmMark(_) => ResourceKind::VmMark,
        }
    }

    /// Returns the key of the resource.
    #[must_use]
    pub fn key(&self) -> ResourceKey {
        let name = match self {
            Self::Model(model) => model.name.to_compact_string(),
            Self::Version(version) => version.name.to_compact_string(),
            Self::Adapter(adapter) => adapter.name.to_compact_string(),
            Self::Rollout(rollout) => rollout.name.to_compact_string(),
            Self::Service(service) => service.name.to_compact_string(),
            Self::Workspace(workspace) => workspace.name.to_compact_string(),
            Self::VmLabels(labels) => labels.name.to_compact_string(),
            Self::VmMark(mark) => mark.name.to_compact_string(),
        };
        ResourceKey {
            kind: self.kind(),
            name,
        }
    }

    /// Validates the fields of this resource without regard to other resources.
    ///
    /// # Errors
    ///
    /// Returns an error for the first field that is out of range.
    pub fn check(&self) -> Result<(), ResourceError> {
        check::check(self)
    }
}

/// Change of one resource within a configuration change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResourceChange {
    /// Creates or replaces a resource.
    Put(Resource),
    /// Deletes a resource.
    Delete(ResourceKey),
}

impl ResourceChange {
    /// Returns the key of the resource that changes.
    #[must_use]
    pub fn key(&self) -> ResourceKey {
        match self {
            Self::Put(resource) => resource.key(),
            Self::Delete(key) => key.clone(),
        }
    }
}

//! Target: a version with the adapters that an engine is to load.

use masticdock_core::config_log::ConfigState;
use masticdock_core::ids::{AdapterId, Digest, VersionId};
use masticdock_core::units::ByteCount;

/// Reference to the weights of a version or an adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct WeightsRef {
    /// Digest of the manifest.
    pub(super) manifest: Digest,
    /// Size that the resource states.
    pub(super) size_bytes: ByteCount,
}

/// Version with its adapters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Target {
    pub(super) version: VersionId,
    /// Weights of the version.
    pub(super) weights: WeightsRef,
    /// Adapters, sorted by name.
    pub(super) adapters: Vec<(AdapterId, WeightsRef)>,
}

impl Target {
    /// Iterates over the weights of the version and of its adapters.
    pub(super) fn all_weights(&self) -> impl Iterator<Item = &WeightsRef> {
        let adapters = self.adapters.iter().map(|(_, weights)| weights);
        std::iter::once(&self.weights).chain(adapters)
    }

    /// Returns true if `digest` is one of the manifests of the target.
    pub(super) fn references(&self, digest: &Digest) -> bool {
        self.all_weights()
            .any(|weights| weights.manifest == *digest)
    }
}

/// Reason why a version cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("field `{field}`: {message}")]
pub(super) struct UnusableError {
    /// Invalid field of the resource or manifest.
    pub(super) field: &'static str,
    /// Description of the fault.
    pub(super) message: String,
}

impl UnusableError {
    pub(super) fn new(field: &'static str, message: String) -> Self {
        Self { field, message }
    }
}

/// Resolves a version and its adapters in the configuration.
///
/// # Errors
///
/// Fails if the version or an adapter does not exist, or if an adapter has
/// another base.
pub(super) fn resolve(
    config: &ConfigState,
    version: &VersionId,
    adapter_names: &[AdapterId],
) -> Result<Target, UnusableError> {
    let Some(resource) = config.version(version) else {
        let message = format!("there is no version `{version}`");
        return Err(UnusableError::new("version", message));
    };
    let mut adapters = Vec::with_capacity(adapter_names.len());
    for name in adapter_names {
        adapters.push((name.clone(), resolve_adapter(config, version, name)?));
    }
    adapters.sort_by(|a, b| a.0.cmp(&b.0));
    adapters.dedup_by(|a, b| a.0 == b.0);
    Ok(Target {
        version: version.clone(),
        weights: WeightsRef {
            manifest: resource.manifest,
            size_bytes: resource.size_bytes,
        },
        adapters,
    })
}

fn resolve_adapter(
    config: &ConfigState,
    version: &VersionId,
    name: &AdapterId,
) -> Result<WeightsRef, UnusableError> {
    let Some(adapter) = config.adapter(name) else {
        let message = format!("there is no adapter `{name}`");
        return Err(UnusableError::new("adapters", message));
    };
    if adapter.base != *version {
        let message = format!(
            "adapter `{name}` is for base `{}`, not for version `{version}`",
            adapter.base
        );
        return Err(UnusableError::new("adapters", message));
    }
    Ok(WeightsRef {
        manifest: adapter.manifest,
        size_bytes: adapter.size_bytes,
    })
}

//! Validation of references between resources, except those of rollouts.

use compact_str::format_compact;

use super::{
    Resource, ResourceChange, ResourceError, ResourceErrorKind, ResourceKey, ResourceKind,
};
use crate::config_log::ConfigState;

/// Checks that the references of versions and adapters resolve after `changes` are applied.
///
/// Rollouts and their adapters are checked by `rollout::check_change`.
///
/// # Errors
///
/// Returns an error for the first change that leaves a reference to a missing
/// model or base version, deletes a resource that others refer to, or deletes a
/// resource that does not exist.
pub fn check_references(
    config: &ConfigState,
    changes: &[ResourceChange],
) -> Result<(), ResourceError> {
    let after = config.preview(changes);
    for change in changes {
        match change {
            ResourceChange::Put(resource) => check_put(&after, resource)?,
            ResourceChange::Delete(key) => check_delete(config, &after, key)?,
        }
    }
    Ok(())
}

fn exists(config: &ConfigState, kind: ResourceKind, name: &str) -> bool {
    let key = ResourceKey {
        kind,
        name: name.into(),
    };
    config.get(&key).is_some()
}

fn missing_reference(field: &'static str, text: String, tip: &'static str) -> ResourceError {
    ResourceError::new(ResourceErrorKind::MissingReference, field, text, tip)
}

fn check_put(after: &ConfigState, resource: &Resource) -> Result<(), ResourceError> {
    match resource {
        Resource::Version(version) => {
            if exists(after, ResourceKind::Model, version.model.as_str()) {
                return Ok(());
            }
            Err(missing_reference(
                "model",
                format!(
                    "version `{}` names model `{}`, which does not exist",
                    version.name, version.model
                ),
                "apply the model first or in the same file",
            ))
        }
        Resource::Adapter(adapter) => {
            if exists(after, ResourceKind::Version, adapter.base.as_str()) {
                return Ok(());
            }
            Err(missing_reference(
                "base",
                format!(
                    "adapter `{}` names base version `{}`, which does not exist",
                    adapter.name, adapter.base
                ),
                "apply the version first or in the same file",
            ))
        }
        _ => Ok(()),
    }
}

fn check_delete(
    before: &ConfigState,
    after: &ConfigState,
    key: &ResourceKey,
) -> Result<(), ResourceError> {
    if before.get(key).is_none() {
        return Err(missing_reference(
            "name",
            format!("there is no {key} to delete"),
            "check the spelling with `masticdock get`",
        ));
    }
    if after.get(key).is_some() {
        return Ok(());
    }
    for (other, stored) in after.iter() {
        let refers_to_deleted = match (&stored.resource, key.kind) {
            (Resource::Version(version), ResourceKind::Model) => version.model.as_str() == key.name,
            (Resource::Adapter(adapter), ResourceKind::Version) => {
                adapter.base.as_str() == key.name
            }
            _ => false,
        };
        if refers_to_deleted {
            return Err(ResourceError::new(
                ResourceErrorKind::Conflict,
                "name",
                format_compact!("{other} still refers to {key}"),
                "delete the other resource first or in the same change",
            ));
        }
    }
    Ok(())
}

//! Undo of a rollout: the return to its previous version.

use compact_str::format_compact;

use crate::config_log::ConfigState;
use crate::resource::{ResourceError, ResourceErrorKind, Rollout};

/// Sets the previous version of a proposed rollout to the one that it replaces,
/// unless the proposal already names one.
#[must_use]
pub fn with_previous_version(current: Option<&Rollout>, mut proposed: Rollout) -> Rollout {
    let Some(current) = current else {
        return proposed;
    };
    if proposed.previous_version.is_some() {
        return proposed;
    }
    proposed.previous_version = if proposed.version == current.version {
        current.previous_version.clone()
    } else {
        Some(current.version.clone())
    };
    proposed
}

/// Returns the rollout with its previous version restored, to be written as a new
/// revision.
///
/// The replaced version becomes the previous one, so a second undo reverts the
/// first. Only adapters for the restored version are kept. The returned rollout
/// is not paused.
///
/// # Errors
///
/// Returns an error if the rollout has no previous version or if that version was
/// deleted.
pub fn undo(config: &ConfigState, rollout: &Rollout) -> Result<Rollout, ResourceError> {
    let Some(previous) = &rollout.previous_version else {
        return Err(ResourceError::new(
            ResourceErrorKind::MissingReference,
            "previous_version",
            format_compact!("rollout `{}` has had one version only", rollout.name),
            "apply the rollout with the version that you want",
        ));
    };
    if config.version(previous).is_none() {
        return Err(ResourceError::new(
            ResourceErrorKind::MissingReference,
            "previous_version",
            format_compact!("version `{previous}` was deleted"),
            "apply the version again, then undo",
        ));
    }
    let mut undone = rollout.clone();
    undone.version = previous.clone();
    undone.previous_version = Some(rollout.version.clone());
    undone.paused = false;
    undone.adapters.retain(|name| {
        let adapter = config.adapter(name);
        adapter.is_some_and(|adapter| adapter.base == *previous)
    });
    Ok(undone)
}

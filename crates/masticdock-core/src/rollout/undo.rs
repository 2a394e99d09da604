//! What `rollout undo` writes.

use compact_str::format_compact;

use crate::config_log::ConfigState;
use crate::resource::{ResourceError, ResourceErrorKind, Rollout};

/// Fills in the version that a proposed rollout replaces.
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

/// Returns the rollout with its previous version, to be written as a new revision.
///
/// The version that is left becomes the previous one, so a second undo takes the
/// first one back. Adapters of the version that is left are dropped; the others stay.
///
/// # Errors
///
/// Fails when the rollout has no previous version or that version was deleted.
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

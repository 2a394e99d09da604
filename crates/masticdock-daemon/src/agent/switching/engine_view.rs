//! What the engine holds, according to its status reports.

use std::sync::Arc;

use masticdock_core::ids::{AdapterId, VersionId};
use masticdock_core::manifest::Manifest;
use masticdock_platform::{EngineState, EngineStatus, PlatformError, PlatformErrorKind};

use super::target::Target;

/// Consecutive refused connections after which the engine counts as stopped.
const REFUSED_CONNECTIONS_MAX: u32 = 2;

/// Load status of a target, derived from an engine status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum LoadStatus {
    /// The engine holds the target, intact.
    Loaded,
    /// The engine holds another target or none.
    NotLoaded,
    /// The engine is loading.
    Loading,
    /// The engine reports the target by name, but a root digest does not match.
    Corrupt(String),
    /// The last load failed.
    Failed(String),
}

/// Change detected by a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EngineChange {
    /// No restart.
    None,
    /// The engine restarted or stopped.
    Restarted,
}

/// Last status report of the engine.
#[derive(Debug, Default)]
pub(super) struct EngineView {
    status: Option<EngineStatus>,
    boot: Option<compact_str::CompactString>,
    refused_connections: u32,
    reported: bool,
}

impl EngineView {
    /// Records a report and returns whether it shows a restart.
    pub(super) fn record(&mut self, report: Result<EngineStatus, PlatformError>) -> EngineChange {
        self.reported = true;
        match report {
            Ok(status) => {
                self.refused_connections = 0;
                let boot = self.boot.replace(status.boot.clone());
                let restarted = boot.is_some_and(|boot| boot != status.boot);
                self.status = Some(status);
                if restarted {
                    return EngineChange::Restarted;
                }
            }
            Err(error) => {
                // A timeout does not indicate a crash; refused connections do.
                self.status = None;
                if error.kind != PlatformErrorKind::NotSent {
                    return EngineChange::None;
                }
                self.refused_connections += 1;
                if self.refused_connections == REFUSED_CONNECTIONS_MAX {
                    return EngineChange::Restarted;
                }
            }
        }
        EngineChange::None
    }

    /// Returns true once the engine has answered a status request or failed to.
    pub(super) const fn has_report(&self) -> bool {
        self.reported
    }

    /// Returns the version and adapters of the engine if it is ready.
    pub(super) fn ready_version(&self) -> Option<(VersionId, Vec<AdapterId>)> {
        let status = self.status.as_ref()?;
        if status.state != EngineState::Ready {
            return None;
        }
        let adapters = status.adapters.iter().map(|it| it.0.clone()).collect();
        Some((status.version.clone()?, adapters))
    }

    /// Discards the status, because an order made it stale.
    pub(super) fn invalidate(&mut self) {
        self.status = None;
    }

    /// Compares the status with a target; returns `None` while the engine does not answer.
    pub(super) fn load_status(
        &self,
        target: &Target,
        manifests: &[Arc<Manifest>],
    ) -> Option<LoadStatus> {
        let status = self.status.as_ref()?;
        Some(match status.state {
            EngineState::Empty => LoadStatus::NotLoaded,
            EngineState::Loading => LoadStatus::Loading,
            EngineState::Failed => LoadStatus::Failed(status.reason.to_string()),
            EngineState::Ready => compare(status, target, manifests),
        })
    }
}

fn compare(status: &EngineStatus, target: &Target, manifests: &[Arc<Manifest>]) -> LoadStatus {
    let same_names = status.adapters.len() == target.adapters.len()
        && target
            .adapters
            .iter()
            .all(|(name, _)| status.adapters.iter().any(|(held, _)| held == name));
    if status.version.as_ref() != Some(&target.version) || !same_names {
        return LoadStatus::NotLoaded;
    }
    let Some((base, adapters)) = manifests.split_first() else {
        return LoadStatus::NotLoaded;
    };
    if status.root != Some(base.root) {
        let root = status
            .root
            .map_or("none".to_owned(), |root| root.to_string());
        return LoadStatus::Corrupt(format!(
            "field `root`: the engine computed {root} for version `{}`, the manifest says {}",
            target.version, base.root
        ));
    }
    for ((name, _), manifest) in target.adapters.iter().zip(adapters) {
        let held = status.adapters.iter().find(|(held, _)| held == name);
        if held.map(|(_, root)| *root) != Some(manifest.root) {
            return LoadStatus::Corrupt(format!(
                "field `root`: the engine holds other weights of adapter `{name}` than the manifest"
            ));
        }
    }
    LoadStatus::Loaded
}

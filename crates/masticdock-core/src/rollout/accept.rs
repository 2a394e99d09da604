//! Validation of a configuration change before it is written.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::{CompactString, format_compact};

use super::targets::{Fleet, ParsedRollout, RolloutSet};
use super::undo::with_previous_version;
use crate::config_log::ConfigState;
use crate::ids::{AdapterId, RolloutId, VersionId, VmId};
use crate::resource::{
    Adapter, Labels, Resource, ResourceChange, ResourceError, ResourceErrorKind, ResourceKind,
    Rollout,
};
use crate::selector::SelectorError;

/// Effects of a change that passed validation.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Acceptance {
    /// Changes to write: the proposed ones, with the previous version of each
    /// rollout filled in.
    pub changes: Vec<ResourceChange>,
    /// Warnings for the operator, for example about a selector that matches no VM.
    pub warnings: Vec<String>,
    /// VMs assigned to each rollout of the change.
    pub matched: Vec<(RolloutId, Vec<VmId>)>,
}

/// Validates a change against the configuration and the fleet.
///
/// # Errors
///
/// Returns an error that names the field of the first invalid resource. Causes
/// are a malformed selector, a version or adapter that does not exist, an adapter
/// for a different base version, the deletion of a version that a rollout still
/// uses, and a VM that another rollout also selects.
pub fn check_change(
    fleet: &Fleet<'_>,
    changes: &[ResourceChange],
) -> Result<Acceptance, ResourceError> {
    let mut proposal = Proposal::new(fleet);
    let mut acceptance = Acceptance::default();
    for change in changes {
        let change = proposal.apply(change)?;
        acceptance.changes.push(change);
    }
    proposal.check_references()?;
    let labels = proposal.labels;
    let marked_leaving = proposal.marked_leaving;
    let proposed_fleet = Fleet {
        labels: &labels,
        marked_leaving: &marked_leaving,
        ..*fleet
    };
    check_overlap(
        &proposed_fleet,
        &proposal.rollouts,
        &proposal.changed,
        &proposal.relabelled,
    )?;
    for name in proposal.changed {
        let targets = proposal.rollouts.targets(&proposed_fleet, &name);
        if targets.is_empty() {
            acceptance
                .warnings
                .push(no_match_warning(&proposal.rollouts, &name));
        }
        let vms = targets.iter().filter_map(|it| it.id.parse().ok()).collect();
        acceptance.matched.push((name, vms));
    }
    Ok(acceptance)
}

fn no_match_warning(rollouts: &RolloutSet, name: &RolloutId) -> String {
    let selector = rollouts
        .get(name)
        .map_or("", |parsed| parsed.rollout.selector.as_str());
    format!(
        "rollout `{name}`: the selector `{selector}` matches no live VM at present; \
         VMs that appear later with matching labels get the version; \
         tip: compare it with the labels in `masticdock vm list`"
    )
}

fn malformed_selector(rollout: &Rollout, error: &SelectorError) -> ResourceError {
    ResourceError::new(
        ResourceErrorKind::OutOfRange,
        "selector",
        format_compact!(
            "rollout `{}`: position {} of `{}`: {}",
            rollout.name,
            error.position(),
            rollout.selector,
            error.message()
        ),
        error.tip(),
    )
}

/// Configuration and labels that would result from the change.
struct Proposal<'a> {
    config: &'a ConfigState,
    rollouts: RolloutSet,
    changed: Vec<RolloutId>,
    versions: BTreeMap<VersionId, bool>,
    adapters: BTreeMap<AdapterId, Option<Adapter>>,
    labels: BTreeMap<CompactString, Labels>,
    relabelled: BTreeSet<CompactString>,
    marked_leaving: BTreeSet<CompactString>,
}

impl<'a> Proposal<'a> {
    fn new(fleet: &Fleet<'a>) -> Self {
        Self {
            config: fleet.config,
            rollouts: RolloutSet::new(fleet.config),
            changed: Vec::new(),
            versions: BTreeMap::new(),
            adapters: BTreeMap::new(),
            labels: fleet.labels.clone(),
            relabelled: BTreeSet::new(),
            marked_leaving: fleet.marked_leaving.clone(),
        }
    }

    fn apply(&mut self, change: &ResourceChange) -> Result<ResourceChange, ResourceError> {
        match change {
            ResourceChange::Put(resource) => self.put(resource).map(ResourceChange::Put),
            ResourceChange::Delete(key) => {
                self.delete(key.kind, &key.name);
                Ok(change.clone())
            }
        }
    }

    fn put(&mut self, resource: &Resource) -> Result<Resource, ResourceError> {
        resource.check()?;
        match resource {
            Resource::Rollout(rollout) => return self.put_rollout(rollout).map(Resource::Rollout),
            Resource::Version(version) => {
                self.versions.insert(version.name.clone(), true);
            }
            Resource::Adapter(adapter) => {
                self.adapters
                    .insert(adapter.name.clone(), Some(adapter.clone()));
            }
            Resource::VmLabels(labels) => {
                let vm = CompactString::new(labels.name.as_str());
                self.remove_operator_labels(&vm);
                let vm_labels_entry = self.labels.entry(vm).or_default();
                vm_labels_entry.extend(labels.labels.clone());
            }
            Resource::VmMark(mark) => {
                self.marked_leaving
                    .insert(CompactString::new(mark.name.as_str()));
            }
            Resource::Model(_) | Resource::Service(_) | Resource::Workspace(_) => {}
        }
        Ok(resource.clone())
    }

    fn put_rollout(&mut self, rollout: &Rollout) -> Result<Rollout, ResourceError> {
        let selector = rollout
            .selector
            .parse()
            .map_err(|error| malformed_selector(rollout, &error))?;
        let current = self.rollouts.get(&rollout.name).map(|it| &it.rollout);
        let rollout = with_previous_version(current, rollout.clone());
        self.rollouts.insert(ParsedRollout {
            // The change is written with the next revision or a later one.
            revision: self.config.revision().next(),
            rollout: rollout.clone(),
            selector,
        });
        if !self.changed.contains(&rollout.name) {
            self.changed.push(rollout.name.clone());
        }
        Ok(rollout)
    }

    fn delete(&mut self, kind: ResourceKind, name: &CompactString) {
        match kind {
            ResourceKind::Rollout => {
                self.rollouts.remove(name);
                self.changed.retain(|it| it.as_str() != name);
            }
            ResourceKind::Version => {
                if let Ok(version) = name.parse() {
                    self.versions.insert(version, false);
                }
            }
            ResourceKind::Adapter => {
                if let Ok(adapter) = name.parse() {
                    self.adapters.insert(adapter, None);
                }
            }
            ResourceKind::VmLabels => self.remove_operator_labels(name),
            ResourceKind::VmMark => {
                self.marked_leaving.remove(name);
            }
            ResourceKind::Model | ResourceKind::Service | ResourceKind::Workspace => {}
        }
    }

    /// Removes the labels that operators assigned to the VM in earlier changes.
    ///
    /// A label of the fleet view that such a label replaced is not known here; it
    /// appears again with the next fleet view.
    fn remove_operator_labels(&mut self, vm: &CompactString) {
        self.relabelled.insert(vm.clone());
        let Ok(id) = vm.parse() else { return };
        let Some(operator_labels) = self.config.vm_labels(&id) else {
            return;
        };
        if let Some(labels) = self.labels.get_mut(vm) {
            labels.retain(|key, _| !operator_labels.contains_key(key));
        }
    }

    fn has_version(&self, name: &VersionId) -> bool {
        let proposed = self.versions.get(name).copied();
        proposed.unwrap_or_else(|| self.config.version(name).is_some())
    }

    fn adapter(&self, name: &AdapterId) -> Option<&Adapter> {
        match self.adapters.get(name) {
            Some(proposed) => proposed.as_ref(),
            None => self.config.adapter(name),
        }
    }

    fn check_references(&self) -> Result<(), ResourceError> {
        for parsed in self.rollouts.iter() {
            let rollout = &parsed.rollout;
            if !self.has_version(&rollout.version) {
                return Err(ResourceError::new(
                    ResourceErrorKind::MissingReference,
                    "version",
                    format_compact!(
                        "rollout `{}` names version `{}`, which does not exist",
                        rollout.name,
                        rollout.version
                    ),
                    "apply the version first or in the same file",
                ));
            }
            for name in &rollout.adapters {
                self.check_adapter(rollout, name)?;
            }
        }
        Ok(())
    }

    fn check_adapter(&self, rollout: &Rollout, name: &AdapterId) -> Result<(), ResourceError> {
        let Some(adapter) = self.adapter(name) else {
            return Err(ResourceError::new(
                ResourceErrorKind::MissingReference,
                "adapters",
                format_compact!(
                    "rollout `{}` names adapter `{name}`, which does not exist",
                    rollout.name
                ),
                "apply the adapter first or in the same file",
            ));
        };
        if adapter.base != rollout.version {
            return Err(ResourceError::new(
                ResourceErrorKind::Conflict,
                "adapters",
                format_compact!(
                    "rollout `{}` brings version `{}`, but adapter `{name}` is for base `{}`",
                    rollout.name,
                    rollout.version,
                    adapter.base
                ),
                "name adapters of the same base version only",
            ));
        }
        Ok(())
    }
}

/// Rejects the change if a VM matches two rollouts, and the change includes one
/// of them or the labels of the VM.
///
/// An existing overlap must not block unrelated changes.
fn check_overlap(
    fleet: &Fleet<'_>,
    rollouts: &RolloutSet,
    changed: &[RolloutId],
    relabelled: &BTreeSet<CompactString>,
) -> Result<(), ResourceError> {
    for member in fleet.members {
        let matches = rollouts.matching(fleet, member);
        if matches.len() < 2 {
            continue;
        }
        let is_changed = |parsed: &&&ParsedRollout| changed.contains(&parsed.rollout.name);
        let Some(own) = matches
            .iter()
            .find(is_changed)
            .or_else(|| matches.last().filter(|_| relabelled.contains(&member.id)))
        else {
            continue;
        };
        let other = matches
            .iter()
            .find(|parsed| parsed.rollout.name != own.rollout.name);
        let Some(other) = other else { continue };
        return Err(ResourceError::new(
            ResourceErrorKind::Conflict,
            "selector",
            format_compact!(
                "rollout `{}` (`{}`) and rollout `{}` (`{}`) both claim VM `{}`",
                own.rollout.name,
                own.selector,
                other.rollout.name,
                other.selector,
                member.id
            ),
            format_compact!(
                "narrow one of the selectors, for example with `vm!={}`, or change rollout `{}`",
                member.id,
                other.rollout.name
            ),
        ));
    }
    Ok(())
}

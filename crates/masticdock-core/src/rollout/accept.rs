//! Check of a configuration change before it is written.

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

/// What an acceptable change does.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Acceptance {
    /// Changes to write: as proposed, with the previous version of each rollout filled in.
    pub changes: Vec<ResourceChange>,
    /// What the operator should know, for example a selector that matches nothing.
    pub warnings: Vec<String>,
    /// VMs that each rollout of the change gets.
    pub matched: Vec<(RolloutId, Vec<VmId>)>,
}

/// Checks a change against the configuration and the fleet.
///
/// # Errors
///
/// Names the field of the first resource that cannot be accepted: a malformed
/// selector, a version or adapter that does not exist, an adapter of another
/// base, a version that a rollout still uses, or a VM that another rollout has.
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
    let after = Fleet {
        labels: &labels,
        marked_leaving: &marked_leaving,
        ..*fleet
    };
    check_overlap(
        &after,
        &proposal.rollouts,
        &proposal.changed,
        &proposal.relabelled,
    )?;
    for name in proposal.changed {
        let targets = proposal.rollouts.targets(&after, &name);
        if targets.is_empty() {
            acceptance
                .warnings
                .push(no_match(&proposal.rollouts, &name));
        }
        let vms = targets.iter().filter_map(|it| it.id.parse().ok()).collect();
        acceptance.matched.push((name, vms));
    }
    Ok(acceptance)
}

fn no_match(rollouts: &RolloutSet, name: &RolloutId) -> String {
    let selector = rollouts
        .get(name)
        .map_or("", |claim| claim.rollout.selector.as_str());
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

/// Configuration and labels as they would be after the change.
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
                self.take_back_labels(&vm);
                let target = self.labels.entry(vm).or_default();
                target.extend(labels.labels.clone());
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
            // The change gets the next revision or a later one.
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
            ResourceKind::VmLabels => self.take_back_labels(name),
            ResourceKind::VmMark => {
                self.marked_leaving.remove(name);
            }
            ResourceKind::Model | ResourceKind::Service | ResourceKind::Workspace => {}
        }
    }

    /// Removes the labels that an operator gave earlier.
    ///
    /// A label of the fleet view that they hid is known again with the next view.
    fn take_back_labels(&mut self, vm: &CompactString) {
        self.relabelled.insert(vm.clone());
        let Ok(id) = vm.parse() else { return };
        let Some(earlier) = self.config.vm_labels(&id) else {
            return;
        };
        if let Some(labels) = self.labels.get_mut(vm) {
            labels.retain(|key, _| !earlier.contains_key(key));
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
        for claim in self.rollouts.iter() {
            let rollout = &claim.rollout;
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

/// Refuses a VM with two rollouts when the change touches one of them or the VM's labels.
///
/// An overlap that exists already must not block unrelated changes.
fn check_overlap(
    fleet: &Fleet<'_>,
    rollouts: &RolloutSet,
    changed: &[RolloutId],
    relabelled: &BTreeSet<CompactString>,
) -> Result<(), ResourceError> {
    for member in fleet.members {
        let claims = rollouts.matching(fleet, member);
        if claims.len() < 2 {
            continue;
        }
        let touched = |claim: &&&ParsedRollout| changed.contains(&claim.rollout.name);
        let Some(own) = claims
            .iter()
            .find(touched)
            .or_else(|| claims.last().filter(|_| relabelled.contains(&member.id)))
        else {
            continue;
        };
        let other = claims
            .iter()
            .find(|claim| claim.rollout.name != own.rollout.name);
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

//! Which VMs a rollout selects.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;

use crate::config_log::ConfigState;
use crate::ids::{Revision, RolloutId};
use crate::membership::{Liveness, Member, Role};
use crate::resource::{Labels, Rollout, ServiceKind};
use crate::selector::Selector;

/// The fleet as one process sees it.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// Configuration in force.
    pub config: &'a ConfigState,
    /// Members of every role and liveness.
    pub members: &'a [Member],
    /// Labels of each VM: those of the fleet view, replaced by those of operators.
    pub labels: &'a BTreeMap<CompactString, Labels>,
    /// VMs marked as leaving or stopping.
    pub marked_leaving: &'a BTreeSet<CompactString>,
}

impl Fleet<'_> {
    /// Returns true when rollouts may select the member at all.
    ///
    /// Entries, dead and leaving VMs, and VMs whose services are all plain ones
    /// are left out.
    #[must_use]
    pub fn is_candidate(&self, member: &Member) -> bool {
        let alive = matches!(member.liveness, Liveness::Alive | Liveness::Suspect);
        let leaving = member.status.leaving || self.marked_leaving.contains(&member.id);
        member.role == Role::Agent && alive && !leaving && !self.is_plain(member)
    }

    fn is_plain(&self, member: &Member) -> bool {
        let services = &member.status.services;
        let plain = |service| {
            let known = self.config.service(service);
            known.is_some_and(|service| service.upstream == ServiceKind::Plain)
        };
        !services.is_empty() && services.iter().all(plain)
    }

    /// Returns the labels of a member, for any number of matches.
    #[must_use]
    pub fn labels_of<'b>(&'b self, member: &'b Member) -> MemberLabels<'b> {
        MemberLabels {
            member,
            given: self.labels.get(&member.id),
        }
    }

    /// Returns a member by id.
    #[must_use]
    pub fn member(&self, id: &str) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }
}

/// Labels of one member.
///
/// Each VM has the labels `vm`, `zone` and `region` unless the fleet view or
/// an operator gives it others of that name.
#[derive(Debug, Clone, Copy)]
pub struct MemberLabels<'a> {
    member: &'a Member,
    given: Option<&'a Labels>,
}

impl MemberLabels<'_> {
    /// Returns true when a selector matches the labels.
    #[must_use]
    pub fn match_selector(&self, selector: &Selector) -> bool {
        let builtin = BuiltinLabels {
            vm: self.member.id.as_str(),
            zone: self.member.zone.as_str(),
            region: self.member.region.as_str(),
        };
        selector.matches_with(|key| builtin.value(self.given, key))
    }
}

/// Labels that each VM has unless it is given others of that name.
#[derive(Debug, Clone, Copy)]
pub struct BuiltinLabels<'a> {
    /// Id of the VM.
    pub vm: &'a str,
    /// Availability zone.
    pub zone: &'a str,
    /// Region.
    pub region: &'a str,
}

impl<'a> BuiltinLabels<'a> {
    /// Returns the value of a label, a `given` one first.
    #[must_use]
    pub fn value(self, given: Option<&'a Labels>, key: &str) -> Option<&'a str> {
        if let Some(value) = given.and_then(|labels| labels.get(key)) {
            return Some(value.as_str());
        }
        match key {
            "vm" => Some(self.vm),
            "zone" => Some(self.zone),
            "region" => Some(self.region),
            _ => None,
        }
    }
}

/// A rollout that claims VMs.
#[derive(Debug, Clone, PartialEq)]
pub struct ParsedRollout {
    /// Revision that last changed the rollout.
    pub revision: Revision,
    /// The rollout.
    pub rollout: Rollout,
    /// Its selector.
    pub selector: Selector,
}

/// All rollouts of a configuration with their selectors parsed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RolloutSet {
    claims: Vec<ParsedRollout>,
}

impl RolloutSet {
    /// Reads the rollouts of a configuration.
    ///
    /// A selector that does not parse was refused on acceptance; a rollout that
    /// has one nevertheless selects nothing.
    #[must_use]
    pub fn new(config: &ConfigState) -> Self {
        let mut set = Self::default();
        for (revision, rollout) in config.rollouts() {
            let Ok(selector) = rollout.selector.parse() else {
                continue;
            };
            set.insert(ParsedRollout {
                revision,
                rollout: rollout.clone(),
                selector,
            });
        }
        set
    }

    /// Adds a rollout or replaces the one of the same name.
    pub(super) fn insert(&mut self, claim: ParsedRollout) {
        self.remove(claim.rollout.name.as_str());
        self.claims.push(claim);
        self.claims.sort_by(|a, b| {
            let a = (a.revision, &a.rollout.name);
            a.cmp(&(b.revision, &b.rollout.name))
        });
    }

    pub(super) fn remove(&mut self, name: &str) {
        self.claims
            .retain(|claim| claim.rollout.name.as_str() != name);
    }

    /// Iterates over the rollouts, those with the lowest revision first.
    pub fn iter(&self) -> impl Iterator<Item = &ParsedRollout> {
        self.claims.iter()
    }

    /// Returns a rollout by name.
    #[must_use]
    pub fn get(&self, name: &RolloutId) -> Option<&ParsedRollout> {
        self.claims.iter().find(|it| it.rollout.name == *name)
    }

    /// Returns every rollout that matches a VM; the first one gets it.
    ///
    /// Acceptance refuses two rollouts that claim one VM, but a VM that appears
    /// later may match both. The lowest revision wins on every process alike.
    #[must_use]
    pub fn matching(&self, fleet: &Fleet<'_>, member: &Member) -> Vec<&ParsedRollout> {
        if !fleet.is_candidate(member) {
            return Vec::new();
        }
        let labels = fleet.labels_of(member);
        let matches = |claim: &&ParsedRollout| labels.match_selector(&claim.selector);
        self.claims.iter().filter(matches).collect()
    }

    /// Returns the rollout that gets a VM.
    #[must_use]
    pub fn rollout_for(&self, fleet: &Fleet<'_>, member: &Member) -> Option<&ParsedRollout> {
        if !fleet.is_candidate(member) {
            return None;
        }
        let labels = fleet.labels_of(member);
        self.claims
            .iter()
            .find(|claim| labels.match_selector(&claim.selector))
    }

    /// Returns the VMs that a rollout gets, by id.
    #[must_use]
    pub fn targets<'a>(&self, fleet: &Fleet<'a>, name: &RolloutId) -> Vec<&'a Member> {
        let mut targets: Vec<&'a Member> = Vec::new();
        let Some(position) = self.claims.iter().position(|it| it.rollout.name == *name) else {
            return targets;
        };
        let (earlier, rest) = self.claims.split_at(position);
        for member in fleet.members {
            let labels = fleet.labels_of(member);
            // Most VMs belong to other rollouts, so the own selector goes first.
            if !labels.match_selector(&rest[0].selector) || !fleet.is_candidate(member) {
                continue;
            }
            let taken = |claim: &ParsedRollout| labels.match_selector(&claim.selector);
            if !earlier.iter().any(taken) {
                targets.push(member);
            }
        }
        targets.sort_by(|a, b| a.id.cmp(&b.id));
        targets
    }
}

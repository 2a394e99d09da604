//! Selection of the VMs that a rollout targets.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;

use crate::config_log::ConfigState;
use crate::ids::{Revision, RolloutId};
use crate::membership::{Liveness, Member, Role};
use crate::resource::{Labels, Rollout, ServiceKind};
use crate::selector::Selector;

/// State of the fleet as known to one process.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// Configuration currently in force.
    pub config: &'a ConfigState,
    /// Members of every role and liveness.
    pub members: &'a [Member],
    /// Labels of each VM. Labels assigned by operators replace those of the fleet
    /// view.
    pub labels: &'a BTreeMap<CompactString, Labels>,
    /// VMs marked as leaving or stopping.
    pub marked_leaving: &'a BTreeSet<CompactString>,
}

impl Fleet<'_> {
    /// Returns true if rollouts may select the member.
    ///
    /// Rollouts never select entries, dead or leaving VMs, or VMs that run plain
    /// services only.
    #[must_use]
    pub fn is_candidate(&self, member: &Member) -> bool {
        let alive = matches!(member.liveness, Liveness::Alive | Liveness::Suspect);
        let leaving = member.status.leaving || self.marked_leaving.contains(&member.id);
        member.role == Role::Agent && alive && !leaving && !self.is_plain(member)
    }

    fn is_plain(&self, member: &Member) -> bool {
        let services = &member.status.services;
        let is_plain_service = |service| {
            let configured = self.config.service(service);
            configured.is_some_and(|service| service.upstream == ServiceKind::Plain)
        };
        !services.is_empty() && services.iter().all(is_plain_service)
    }

    /// Returns the labels of a member, to be matched against selectors.
    #[must_use]
    pub fn labels_of<'b>(&'b self, member: &'b Member) -> MemberLabels<'b> {
        MemberLabels {
            member,
            assigned: self.labels.get(&member.id),
        }
    }

    /// Returns the member with the given id.
    #[must_use]
    pub fn member(&self, id: &str) -> Option<&Member> {
        self.members.iter().find(|member| member.id == id)
    }
}

/// Labels of one member.
///
/// Each VM has the built-in labels `vm`, `zone` and `region`, unless the fleet
/// view or an operator assigns a label of the same name.
#[derive(Debug, Clone, Copy)]
pub struct MemberLabels<'a> {
    member: &'a Member,
    assigned: Option<&'a Labels>,
}

impl MemberLabels<'_> {
    /// Returns true if the selector matches the labels.
    #[must_use]
    pub fn match_selector(&self, selector: &Selector) -> bool {
        let builtin = BuiltinLabels {
            vm: self.member.id.as_str(),
            zone: self.member.zone.as_str(),
            region: self.member.region.as_str(),
        };
        selector.matches_with(|key| builtin.value(self.assigned, key))
    }
}

/// Labels that each VM has unless a label of the same name is assigned to it.
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
    /// Returns the value of a label; a label in `assigned` takes precedence.
    #[must_use]
    pub fn value(self, assigned: Option<&'a Labels>, key: &str) -> Option<&'a str> {
        if let Some(value) = assigned.and_then(|labels| labels.get(key)) {
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

/// A rollout with its parsed selector.
#[derive(Debug, Clone, PartialEq)]
pub struct ParsedRollout {
    /// Revision that last changed the rollout.
    pub revision: Revision,
    /// The rollout.
    pub rollout: Rollout,
    /// Parsed selector of the rollout.
    pub selector: Selector,
}

/// All rollouts of a configuration with parsed selectors, in order of precedence.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RolloutSet {
    by_precedence: Vec<ParsedRollout>,
}

impl RolloutSet {
    /// Parses the selectors of all rollouts of a configuration.
    ///
    /// Rollouts with a malformed selector are left out and select no VMs.
    /// Validation rejects such rollouts before they are written.
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
    pub(super) fn insert(&mut self, parsed: ParsedRollout) {
        self.remove(parsed.rollout.name.as_str());
        self.by_precedence.push(parsed);
        self.by_precedence.sort_by(|a, b| {
            let a = (a.revision, &a.rollout.name);
            a.cmp(&(b.revision, &b.rollout.name))
        });
    }

    pub(super) fn remove(&mut self, name: &str) {
        self.by_precedence
            .retain(|parsed| parsed.rollout.name.as_str() != name);
    }

    /// Returns an iterator over the rollouts, lowest revision first.
    pub fn iter(&self) -> impl Iterator<Item = &ParsedRollout> {
        self.by_precedence.iter()
    }

    /// Returns the rollout with the given name.
    #[must_use]
    pub fn get(&self, name: &RolloutId) -> Option<&ParsedRollout> {
        self.by_precedence
            .iter()
            .find(|it| it.rollout.name == *name)
    }

    /// Returns all rollouts that match a VM; the VM belongs to the first one.
    ///
    /// Validation rejects two rollouts that select the same VM, but a VM that
    /// appears later may match both. The lowest revision then takes precedence, so
    /// that all processes make the same decision.
    #[must_use]
    pub fn matching(&self, fleet: &Fleet<'_>, member: &Member) -> Vec<&ParsedRollout> {
        if !fleet.is_candidate(member) {
            return Vec::new();
        }
        let labels = fleet.labels_of(member);
        let is_match = |parsed: &&ParsedRollout| labels.match_selector(&parsed.selector);
        self.by_precedence.iter().filter(is_match).collect()
    }

    /// Returns the rollout that a VM belongs to.
    #[must_use]
    pub fn rollout_for(&self, fleet: &Fleet<'_>, member: &Member) -> Option<&ParsedRollout> {
        if !fleet.is_candidate(member) {
            return None;
        }
        let labels = fleet.labels_of(member);
        self.by_precedence
            .iter()
            .find(|parsed| labels.match_selector(&parsed.selector))
    }

    /// Returns the VMs that belong to a rollout, sorted by id.
    #[must_use]
    pub fn targets<'a>(&self, fleet: &Fleet<'a>, name: &RolloutId) -> Vec<&'a Member> {
        let mut targets: Vec<&'a Member> = Vec::new();
        let Some(position) = self
            .by_precedence
            .iter()
            .position(|it| it.rollout.name == *name)
        else {
            return targets;
        };
        let (earlier, rest) = self.by_precedence.split_at(position);
        for member in fleet.members {
            let labels = fleet.labels_of(member);
            // Most VMs belong to other rollouts, so this rollout's selector is
            // checked first.
            if !labels.match_selector(&rest[0].selector) || !fleet.is_candidate(member) {
                continue;
            }
            let is_taken = |parsed: &ParsedRollout| labels.match_selector(&parsed.selector);
            if !earlier.iter().any(is_taken) {
                targets.push(member);
            }
        }
        targets.sort_by(|a, b| a.id.cmp(&b.id));
        targets
    }
}

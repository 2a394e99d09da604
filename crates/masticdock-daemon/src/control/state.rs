//! State owned by the control thread.

use std::sync::Arc;

use masticdock_core::config_log::{AcceptedChange, ApplyOutcome, ChangeWindow, ConfigState};
use masticdock_core::event;
use masticdock_core::ids::Revision;
use masticdock_core::membership::{FleetMember, Member, MemberStatus, Swim};
use masticdock_core::units::MonoMs;
use masticdock_platform::{FleetList, FleetVm, FleetVmState};

use super::{Snapshot, views};
use crate::event_log::log_event;

/// Changes kept for peers that lag.
const RECENT_CHANGES_MAX: usize = 512;
/// Shortest time between two snapshots that differ in members or records alone;
/// bounds the work of copying the list while many members change.
const MEMBER_SNAPSHOT_INTERVAL_MS: u64 = 200;

/// Why this process takes no new work, marks by operators left out.
#[derive(Debug, Default)]
struct LeavingReasons {
    stop_requested: bool,
    fleet_view: bool,
}

/// Configuration, membership and gossiped records of this process.
pub(super) struct ControlState {
    pub(super) swim: Swim,
    config: Arc<ConfigState>,
    adopted: bool,
    recent: Arc<ChangeWindow>,
    fleet: FleetList,
    leaving: LeavingReasons,
    last: Snapshot,
    changed: bool,
    seen_changes: u64,
    next_member_snapshot: MonoMs,
}

impl ControlState {
    pub(super) fn new(swim: Swim) -> Self {
        Self {
            swim,
            config: Arc::default(),
            adopted: false,
            recent: Arc::new(ChangeWindow::new(Revision(0), RECENT_CHANGES_MAX)),
            fleet: FleetList::default(),
            leaving: LeavingReasons::default(),
            last: Snapshot::default(),
            changed: true,
            seen_changes: 0,
            next_member_snapshot: MonoMs(0),
        }
    }

    pub(super) fn revision(&self) -> Revision {
        self.config.revision()
    }

    pub(super) const fn is_adopted(&self) -> bool {
        self.adopted
    }

    /// Takes a whole configuration unless the held one is as new.
    pub(super) fn adopt(&mut self, state: ConfigState) {
        if self.adopted && state.revision() <= self.config.revision() {
            return;
        }
        Arc::make_mut(&mut self.recent).reset(state.revision());
        log_event!(
            event::CONFIG_ADOPTED,
            "configuration adopted at revision {}",
            state.revision()
        );
        self.swim.set_revision(state.revision());
        self.config = Arc::new(state);
        self.adopted = true;
        self.config_changed();
    }

    /// Applies the changes that follow the held revision; returns false at a gap.
    pub(super) fn apply(&mut self, changes: Vec<AcceptedChange>) -> bool {
        if !self.adopted {
            return true;
        }
        for change in changes {
            if change.revision <= self.config.revision() {
                continue;
            }
            let applied = Arc::make_mut(&mut self.config).apply(&change);
            if let ApplyOutcome::Gap { missing } = applied {
                log_event!(
                    event::CONFIG_GAP,
                    "revision {missing} is missing before {}",
                    change.revision
                );
                return false;
            }
            log_event!(
                event::CONFIG_APPLIED,
                "revision {} is in force (change {} by {})",
                change.revision,
                change.change_id,
                change.operator
            );
            self.swim.set_revision(change.revision);
            Arc::make_mut(&mut self.recent).push(change);
            self.config_changed();
        }
        true
    }

    fn config_changed(&mut self) {
        self.last.labels = Arc::new(views::labels(&self.fleet, &self.config));
        self.last.marked_leaving = Arc::new(views::marked_leaving(&self.fleet, &self.config));
        self.changed = true;
        self.publish_leaving();
    }

    /// Takes the members and labels of the fleet view.
    pub(super) fn set_fleet(&mut self, fleet: FleetList) {
        let entries: Vec<FleetMember> = fleet.vms.iter().map(entry_of).collect();
        let own_id = self.swim.own_member().id.clone();
        let own = entries.iter().find(|entry| entry.id == own_id);
        self.leaving.fleet_view = own.is_some_and(|entry| entry.leaving);
        self.swim.set_fleet(&entries);
        self.fleet = fleet;
        self.config_changed();
    }

    /// Notes that a reader of the fleet view sees this process as leaving.
    pub(super) fn set_fleet_leaving(&mut self) {
        self.leaving.fleet_view = true;
        self.publish_leaving();
    }

    /// Notes that the process was asked to stop.
    pub(super) fn leave(&mut self) {
        self.leaving.stop_requested = true;
        self.publish_leaving();
    }

    fn is_leaving(&self) -> bool {
        let marked = self
            .last
            .marked_leaving
            .contains(&self.swim.own_member().id);
        self.leaving.stop_requested || self.leaving.fleet_view || marked
    }

    fn publish_leaving(&mut self) {
        let leaving = self.is_leaving();
        let status = self.swim.own_member().status.clone();
        self.swim.set_own_status(MemberStatus { leaving, ..status });
        if leaving != self.last.leaving {
            self.last.leaving = leaving;
            self.changed = true;
        }
    }

    /// Replaces the own status; `seq`, `leaving` and `services` are kept here.
    pub(super) fn set_own_status(&mut self, status: MemberStatus) {
        let own = self.swim.own_member().status.clone();
        self.swim.set_own_status(MemberStatus {
            leaving: own.leaving,
            services: own.services,
            ..status
        });
    }

    /// Returns a new snapshot when something changed since the last one.
    pub(super) fn take_snapshot(&mut self, now: MonoMs) -> Option<Snapshot> {
        let members_changed = self.swim.change_count() != self.seen_changes;
        let members_due = members_changed && now >= self.next_member_snapshot;
        if !self.changed && !members_due {
            return None;
        }
        self.changed = false;
        if members_changed {
            self.seen_changes = self.swim.change_count();
            self.next_member_snapshot = now.plus_ms(MEMBER_SNAPSHOT_INTERVAL_MS);
            self.copy_membership();
        }
        self.last.config = Arc::clone(&self.config);
        self.last.adopted = self.adopted;
        self.last.recent = Arc::clone(&self.recent);
        Some(self.last.clone())
    }

    fn copy_membership(&mut self) {
        let members: Vec<Member> = self.swim.members().cloned().collect();
        self.last.members = Arc::new(members);
        self.last.crashes = Arc::new(self.swim.crashes().cloned().collect());
        self.last.demands = Arc::new(self.swim.demands().cloned().collect());
        self.last.cut_regions = Arc::new(self.swim.partitioned_regions().clone());
    }
}

fn entry_of(vm: &FleetVm) -> FleetMember {
    FleetMember {
        id: vm.id.clone(),
        role: vm.role,
        leaving: vm.state == FleetVmState::Leaving,
        region: vm.region.clone(),
        zone: vm.zone.clone(),
        peer_addr: vm.peer_addr,
        traffic_addr: vm.traffic_addr,
    }
}

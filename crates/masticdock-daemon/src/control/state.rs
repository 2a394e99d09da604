//! Configuration and membership state, owned by the control thread.

use std::sync::Arc;

use masticdock_core::config_log::{AcceptedChange, ApplyOutcome, ChangeWindow, ConfigState};
use masticdock_core::event;
use masticdock_core::ids::Revision;
use masticdock_core::membership::{FleetMember, Member, MemberStatus, Swim};
use masticdock_core::units::MonoMs;
use masticdock_platform::{FleetList, FleetVm, FleetVmState};

use super::{Snapshot, views};
use crate::event_log::log_event;

/// Number of recent changes kept in memory for peers whose revision lags.
const RECENT_CHANGES_MAX: usize = 512;
/// Minimum time between two snapshots that differ only in members or gossiped records; bounds the
/// cost of copying the member list while many members change.
const MEMBER_SNAPSHOT_INTERVAL_MS: u64 = 200;

/// Reasons for which this process takes no new work, except marks set by operators.
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
    last_snapshot: Snapshot,
    changed: bool,
    seen_change_count: u64,
    next_member_snapshot_at: MonoMs,
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
            last_snapshot: Snapshot::default(),
            changed: true,
            seen_change_count: 0,
            next_member_snapshot_at: MonoMs(0),
        }
    }

    pub(super) fn revision(&self) -> Revision {
        self.config.revision()
    }

    pub(super) const fn is_adopted(&self) -> bool {
        self.adopted
    }

    /// Replaces the configuration, unless the current revision is equal or higher.
    pub(super) fn adopt(&mut self, state: ConfigState) {
        if self.adopted && state.revision() <= self.config.revision() {
            return;
        }
        Arc::make_mut(&mut self.recent).reset(state.revision());
        log_event!(
            event::CONFIG_ADOPTED,
            "adopted the configuration at revision {}",
            state.revision()
        );
        self.swim.set_revision(state.revision());
        self.config = Arc::new(state);
        self.adopted = true;
        self.on_config_changed();
    }

    /// Applies the changes above the current revision, in order.
    ///
    /// Returns false when a revision is missing. Changes are ignored until a configuration was
    /// adopted.
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
                    "cannot apply revision {}: revision {missing} is missing",
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
            self.on_config_changed();
        }
        true
    }

    fn on_config_changed(&mut self) {
        self.last_snapshot.labels = Arc::new(views::labels(&self.fleet, &self.config));
        self.last_snapshot.marked_leaving =
            Arc::new(views::marked_leaving(&self.fleet, &self.config));
        self.changed = true;
        self.update_leaving();
    }

    /// Replaces the fleet list, which gives the members and labels of the fleet view.
    pub(super) fn set_fleet(&mut self, fleet: FleetList) {
        let fleet_members: Vec<FleetMember> = fleet.vms.iter().map(to_fleet_member).collect();
        let own_id = self.swim.own_member().id.clone();
        let own = fleet_members.iter().find(|member| member.id == own_id);
        self.leaving.fleet_view = own.is_some_and(|member| member.leaving);
        self.swim.set_fleet(&fleet_members);
        self.fleet = fleet;
        self.on_config_changed();
    }

    /// Records that another process read in the fleet view that this process is leaving.
    pub(super) fn set_fleet_leaving(&mut self) {
        self.leaving.fleet_view = true;
        self.update_leaving();
    }

    /// Records that the process was asked to stop.
    pub(super) fn leave(&mut self) {
        self.leaving.stop_requested = true;
        self.update_leaving();
    }

    fn is_leaving(&self) -> bool {
        let marked = self
            .last_snapshot
            .marked_leaving
            .contains(&self.swim.own_member().id);
        self.leaving.stop_requested || self.leaving.fleet_view || marked
    }

    fn update_leaving(&mut self) {
        let leaving = self.is_leaving();
        let status = self.swim.own_member().status.clone();
        self.swim.set_own_status(MemberStatus { leaving, ..status });
        if leaving != self.last_snapshot.leaving {
            self.last_snapshot.leaving = leaving;
            self.changed = true;
        }
    }

    /// Replaces the status of this process, except for `seq`, `leaving` and `services`.
    pub(super) fn set_own_status(&mut self, status: MemberStatus) {
        let own = self.swim.own_member().status.clone();
        self.swim.set_own_status(MemberStatus {
            leaving: own.leaving,
            services: own.services,
            ..status
        });
    }

    /// Returns a new snapshot if the state changed since the previous one.
    ///
    /// Changes in members or gossiped records alone are held back for
    /// [`MEMBER_SNAPSHOT_INTERVAL_MS`].
    pub(super) fn take_snapshot(&mut self, now: MonoMs) -> Option<Snapshot> {
        let members_changed = self.swim.change_count() != self.seen_change_count;
        let members_due = members_changed && now >= self.next_member_snapshot_at;
        if !self.changed && !members_due {
            return None;
        }
        self.changed = false;
        if members_changed {
            self.seen_change_count = self.swim.change_count();
            self.next_member_snapshot_at = now.plus_ms(MEMBER_SNAPSHOT_INTERVAL_MS);
            self.copy_membership();
        }
        self.last_snapshot.config = Arc::clone(&self.config);
        self.last_snapshot.adopted = self.adopted;
        self.last_snapshot.recent = Arc::clone(&self.recent);
        Some(self.last_snapshot.clone())
    }

    fn copy_membership(&mut self) {
        let members: Vec<Member> = self.swim.members().cloned().collect();
        self.last_snapshot.members = Arc::new(members);
        self.last_snapshot.crashes = Arc::new(self.swim.crashes().cloned().collect());
        self.last_snapshot.demands = Arc::new(self.swim.demands().cloned().collect());
        self.last_snapshot.partitioned_region_ids =
            Arc::new(self.swim.partitioned_regions().clone());
    }
}

fn to_fleet_member(vm: &FleetVm) -> FleetMember {
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

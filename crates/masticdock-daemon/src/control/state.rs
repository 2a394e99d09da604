//! State owned by the control thread.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use compact_str::{CompactString, ToCompactString};
use masticdock_core::config_log::{AcceptedChange, Applied, ChangeWindow, ConfigState};
use masticdock_core::event;
use masticdock_core::ids::{BootEpoch, Incarnation};
use masticdock_core::limiter::DemandRecord;
use masticdock_core::membership::{Liveness, Member, MemberStatus};
use masticdock_core::poison::CrashRecord;
use masticdock_core::resource::{Labels, Resource, ResourceKind};
use masticdock_platform::{FleetList, FleetVm, FleetVmState};

use super::Snapshot;
use crate::event_log::log_event;

/// Changes kept for peers that lag.
const RECENT_CHANGES_MAX: usize = 512;

/// Configuration, membership and gossiped records of this process.
pub(super) struct ControlState {
    own_id: CompactString,
    config: Arc<ConfigState>,
    adopted: bool,
    recent: Arc<ChangeWindow>,
    members: BTreeMap<CompactString, Member>,
    fleet: FleetList,
    crashes: Vec<CrashRecord>,
    demands: BTreeMap<(CompactString, CompactString), DemandRecord>,
    leaving: bool,
    changed: bool,
}

impl ControlState {
    pub(super) fn new(own: Member) -> Self {
        let own_id = own.id.clone();
        Self {
            members: BTreeMap::from([(own_id.clone(), own)]),
            own_id,
            config: Arc::default(),
            adopted: false,
            recent: Arc::new(ChangeWindow::new(
                masticdock_core::ids::Revision(0),
                RECENT_CHANGES_MAX,
            )),
            fleet: FleetList::default(),
            crashes: Vec::new(),
            demands: BTreeMap::new(),
            leaving: false,
            changed: true,
        }
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
        self.config = Arc::new(state);
        self.adopted = true;
        self.changed = true;
    }

    /// Applies the changes that follow the held revision.
    pub(super) fn apply(&mut self, changes: Vec<AcceptedChange>) {
        if !self.adopted {
            return;
        }
        for change in changes {
            if change.revision <= self.config.revision() {
                continue;
            }
            let applied = Arc::make_mut(&mut self.config).apply(&change);
            if let Applied::Gap { missing } = applied {
                log::debug!("revision {missing} is missing before {}", change.revision);
                return;
            }
            log_event!(
                event::CONFIG_APPLIED,
                "revision {} is in force (change {} by {})",
                change.revision,
                change.change_id,
                change.operator
            );
            Arc::make_mut(&mut self.recent).push(change);
            self.changed = true;
        }
    }

    /// Takes the members and labels of the fleet view.
    pub(super) fn set_fleet(&mut self, fleet: FleetList) {
        for vm in &fleet.vms {
            if !self.members.contains_key(&vm.id) {
                self.members.insert(vm.id.clone(), member_of(vm));
            }
        }
        self.fleet = fleet;
        self.changed = true;
    }

    pub(super) fn add_crash(&mut self, crash: CrashRecord) {
        if !self.crashes.contains(&crash) {
            self.crashes.push(crash);
            self.changed = true;
        }
    }

    pub(super) fn add_demand(&mut self, demand: DemandRecord) {
        let key = (demand.entry.clone(), demand.workspace.to_compact_string());
        let newer = self.demands.get(&key).is_none_or(|d| d.seq < demand.seq);
        if newer {
            self.demands.insert(key, demand);
            self.changed = true;
        }
    }

    pub(super) fn leave(&mut self) {
        self.leaving = true;
        self.changed = true;
        if let Some(own) = self.members.get_mut(&self.own_id) {
            own.status.leaving = true;
            own.status.seq += 1;
        }
    }

    /// Replaces the own status; `seq`, `leaving` and `services` are kept here.
    pub(super) fn set_own_status(&mut self, status: MemberStatus) {
        let leaving = self.leaving;
        let Some(own) = self.members.get_mut(&self.own_id) else {
            return;
        };
        let status = MemberStatus {
            seq: own.status.seq,
            leaving,
            services: own.status.services.clone(),
            ..status
        };
        if status == own.status {
            return;
        }
        own.status = MemberStatus {
            seq: status.seq + 1,
            ..status
        };
        self.changed = true;
    }

    /// Returns a new snapshot when something changed since the last one.
    pub(super) fn take_snapshot(&mut self) -> Option<Snapshot> {
        if !std::mem::take(&mut self.changed) {
            return None;
        }
        Some(Snapshot {
            seq: 0,
            config: Arc::clone(&self.config),
            adopted: self.adopted,
            recent: Arc::clone(&self.recent),
            members: Arc::new(self.members.values().cloned().collect()),
            crashes: Arc::new(self.crashes.clone()),
            demands: Arc::new(self.demands.values().cloned().collect()),
            labels: Arc::new(self.labels()),
            marked_leaving: Arc::new(self.marked_leaving()),
            leaving: self.leaving,
        })
    }

    fn labels(&self) -> BTreeMap<CompactString, Labels> {
        let mut labels: BTreeMap<CompactString, Labels> = BTreeMap::new();
        for vm in &self.fleet.vms {
            labels.insert(vm.id.clone(), vm.labels.clone());
        }
        for stored in self.config.of_kind(ResourceKind::VmLabels) {
            let Resource::VmLabels(given) = &stored.resource else {
                continue;
            };
            let merged = labels.entry(given.name.to_compact_string()).or_default();
            merged.extend(given.labels.clone());
        }
        labels
    }

    fn marked_leaving(&self) -> BTreeSet<CompactString> {
        let mut marked = BTreeSet::new();
        for vm in &self.fleet.vms {
            if vm.state == FleetVmState::Leaving {
                marked.insert(vm.id.clone());
            }
        }
        for stored in self.config.of_kind(ResourceKind::VmMark) {
            marked.insert(stored.resource.key().name);
        }
        marked
    }
}

/// Returns a member as the fleet view describes it; the first gossip from it replaces this.
fn member_of(vm: &FleetVm) -> Member {
    Member {
        id: vm.id.clone(),
        role: vm.role,
        liveness: Liveness::Alive,
        incarnation: Incarnation(0),
        boot_epoch: BootEpoch(0),
        region: vm.region.clone(),
        zone: vm.zone.clone(),
        peer_addr: vm.peer_addr,
        traffic_addr: vm.traffic_addr,
        status: MemberStatus::default(),
    }
}

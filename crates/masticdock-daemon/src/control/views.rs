//! Parts of a snapshot that are derived from the fleet view and the configuration.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::{CompactString, ToCompactString};
use masticdock_core::config_log::ConfigState;
use masticdock_core::resource::{Labels, Resource, ResourceKind};
use masticdock_platform::{FleetList, FleetVmState};

/// Returns the labels of each VM: those of the fleet view, overridden by those that operators set.
pub(super) fn labels(fleet: &FleetList, config: &ConfigState) -> BTreeMap<CompactString, Labels> {
    let mut labels: BTreeMap<CompactString, Labels> = BTreeMap::new();
    for vm in &fleet.vms {
        labels.insert(vm.id.clone(), vm.labels.clone());
    }
    for stored in config.of_kind(ResourceKind::VmLabels) {
        let Resource::VmLabels(vm_labels) = &stored.resource else {
            continue;
        };
        let merged = labels
            .entry(vm_labels.name.to_compact_string())
            .or_default();
        merged.extend(vm_labels.labels.clone());
    }
    labels
}

/// Returns the VMs that the fleet view or an operator marks as leaving or stopping.
pub(super) fn marked_leaving(fleet: &FleetList, config: &ConfigState) -> BTreeSet<CompactString> {
    let mut marked = BTreeSet::new();
    for vm in &fleet.vms {
        if vm.state == FleetVmState::Leaving {
            marked.insert(vm.id.clone());
        }
    }
    for stored in config.of_kind(ResourceKind::VmMark) {
        marked.insert(stored.resource.key().name);
    }
    marked
}

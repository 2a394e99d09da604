//! Target selection, validation, progress, halt and undo of rollouts.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use masticdock_core::config_log::{ConfigState, StoredResource};
use masticdock_core::ids::Revision;
use masticdock_core::membership::{Liveness, Member, Phase};
use masticdock_core::operator_api::RolloutState;
use masticdock_core::resource::{Labels, Resource, ResourceChange, ResourceErrorKind, Rollout};
use masticdock_core::rollout::{self, Fleet, RolloutSet};

/// Owns the data that a [`Fleet`] borrows.
struct TestFleet {
    config: ConfigState,
    members: Vec<Member>,
    labels: BTreeMap<CompactString, Labels>,
    marked_leaving: BTreeSet<CompactString>,
}

fn resource(yaml: &str) -> Resource {
    serde_yaml_ng::from_str(yaml).unwrap()
}

fn rollout_resource(name: &str, selector: &str, version: &str) -> Resource {
    resource(&format!(
        "{{kind: rollout, name: {name}, selector: '{selector}', version: {version}}}"
    ))
}

fn version_resource(name: &str) -> Resource {
    let digest = "ab".repeat(32);
    resource(&format!(
        "{{kind: version, name: {name}, model: m, manifest: '{digest}', size_bytes: 10}}"
    ))
}

fn as_rollout(resource: &Resource) -> Rollout {
    match resource {
        Resource::Rollout(rollout) => rollout.clone(),
        other => panic!("not a rollout: {other:?}"),
    }
}

fn member(id: &str, zone: &str) -> Member {
    let json = serde_json::json!({
        "id": id, "role": "agent", "liveness": "alive", "incarnation": 0, "boot_epoch": 0,
        "region": "wien", "zone": zone, "peer_addr": "127.0.0.1:1", "traffic_addr": null,
        "status": { "seq": 0, "phase": "idle", "serving_version": null, "leaving": false,
                    "services": [], "failed": null },
    });
    serde_json::from_value(json).unwrap()
}

impl TestFleet {
    /// Creates four VMs in two zones with the label `fleet=assistant`. The resources
    /// get ascending revisions.
    fn new(resources: Vec<Resource>) -> Self {
        let mut stored = Vec::new();
        for (index, resource) in resources.into_iter().enumerate() {
            let revision = Revision(index as u64 + 1);
            stored.push(StoredResource { revision, resource });
        }
        let mut test_fleet = Self {
            config: ConfigState::from_resources(Revision(stored.len() as u64), stored),
            members: Vec::new(),
            labels: BTreeMap::new(),
            marked_leaving: BTreeSet::new(),
        };
        for (id, zone) in [("vm-1", "a"), ("vm-2", "a"), ("vm-3", "b"), ("vm-4", "b")] {
            test_fleet.members.push(member(id, zone));
            let labels = Labels::from([("fleet".into(), "assistant".into())]);
            test_fleet.labels.insert(id.into(), labels);
        }
        test_fleet
    }

    fn fleet(&self) -> Fleet<'_> {
        Fleet {
            config: &self.config,
            members: &self.members,
            labels: &self.labels,
            marked_leaving: &self.marked_leaving,
        }
    }

    fn targets(&self, name: &str) -> Vec<&str> {
        let set = RolloutSet::new(&self.config);
        let targets = set.targets(&self.fleet(), &name.parse().unwrap());
        targets.iter().map(|member| member.id.as_str()).collect()
    }

    fn check(&self, changes: &[Resource]) -> Result<rollout::Acceptance, String> {
        let changes: Vec<_> = changes.iter().cloned().map(ResourceChange::Put).collect();
        rollout::check_change(&self.fleet(), &changes).map_err(|error| error.to_string())
    }

    fn status(&self) -> masticdock_core::operator_api::RolloutStatus {
        let set = RolloutSet::new(&self.config);
        rollout::status(&self.fleet(), &set, &"r".parse().unwrap()).unwrap()
    }
}

fn default_fleet() -> TestFleet {
    TestFleet::new(vec![
        version_resource("v1"),
        version_resource("v2"),
        rollout_resource("r", "fleet=assistant", "v1"),
    ])
}

/// Guards against weights sent to VMs that are leaving, stopping or dead, or that
/// run plain services only.
#[test]
fn leaving_dead_and_plain_vms_are_not_targets() {
    let mut test_fleet = default_fleet();
    assert_eq!(test_fleet.targets("r"), ["vm-1", "vm-2", "vm-3", "vm-4"]);
    test_fleet.marked_leaving.insert("vm-1".into());
    test_fleet.members[1].status.leaving = true;
    test_fleet.members[2].liveness = Liveness::Dead;
    assert_eq!(test_fleet.targets("r"), ["vm-4"]);
    test_fleet.members[3].status.services = vec!["orders".parse().unwrap()];
    assert_eq!(test_fleet.targets("r"), ["vm-4"]);
    let mut resources: Vec<StoredResource> =
        test_fleet.config.iter().map(|(_, it)| it.clone()).collect();
    resources.push(StoredResource {
        revision: Revision(4),
        resource: resource("{kind: service, name: orders, upstream: plain}"),
    });
    test_fleet.config = ConfigState::from_resources(Revision(4), resources);
    assert!(test_fleet.targets("r").is_empty());
}

/// Guards against two rollouts that select the same VM and switch it back and
/// forth.
#[test]
fn second_rollout_on_a_vm_is_rejected_and_names_the_first() {
    let test_fleet = default_fleet();
    let error = test_fleet
        .check(&[rollout_resource("s", "zone=b", "v2")])
        .unwrap_err();
    insta::assert_snapshot!(error, @"field `selector`: rollout `s` (`zone=b`) and rollout `r` (`fleet=assistant`) both claim VM `vm-3`; tip: narrow one of the selectors, for example with `vm!=vm-3`, or change rollout `r`");
    let narrowed = rollout_resource("r", "fleet=assistant, zone=a", "v1");
    let second = rollout_resource("s", "zone=b", "v2");
    let both = test_fleet.check(&[narrowed, second]).unwrap();
    assert_eq!(both.matched.len(), 2);
    let labels = resource("{kind: vm-labels, name: vm-3, labels: {canary: 'yes'}}");
    let canary = rollout_resource("c", "canary", "v2");
    let error = test_fleet.check(&[canary, labels]).unwrap_err();
    assert!(error.contains("`vm-3`"), "{error}");
}

/// Guards against a VM that appears after both rollouts were accepted and is
/// switched back and forth by them.
#[test]
fn later_vm_belongs_to_the_lowest_revision_and_blocks_no_unrelated_change() {
    let mut test_fleet = TestFleet::new(vec![
        version_resource("v1"),
        rollout_resource("z", "fleet=assistant", "v1"),
        rollout_resource("a", "tier=gold", "v1"),
    ]);
    let vm = CompactString::new("vm-1");
    test_fleet
        .labels
        .entry(vm)
        .or_default()
        .insert("tier".into(), "gold".into());
    let set = RolloutSet::new(&test_fleet.config);
    let found = set.matching(&test_fleet.fleet(), &test_fleet.members[0]);
    let names: Vec<&str> = found.iter().map(|it| it.rollout.name.as_str()).collect();
    assert_eq!(names, ["z", "a"]);
    assert!(test_fleet.targets("a").is_empty());
    assert!(test_fleet.check(&[version_resource("v9")]).is_ok());
    let labels = resource("{kind: vm-labels, name: vm-2, labels: {tier: gold}}");
    let error = test_fleet.check(&[labels]).unwrap_err();
    assert!(error.contains("`vm-2`"), "{error}");
}

/// Guards against a mistyped selector whose rollout looks complete because it
/// selects no VM.
#[test]
fn selector_without_match_is_accepted_with_a_warning() {
    let test_fleet = default_fleet();
    let accepted = test_fleet
        .check(&[rollout_resource("s", "fleet=asistant", "v1")])
        .unwrap();
    assert_eq!(accepted.matched, [("s".parse().unwrap(), vec![])]);
    insta::assert_snapshot!(accepted.warnings[0], @"rollout `s`: the selector `fleet=asistant` matches no live VM at present; VMs that appear later with matching labels get the version; tip: compare it with the labels in `masticdock vm list`");
}

/// Guards against accepted resources that agents cannot act on.
#[test]
fn changes_with_invalid_references_are_rejected() {
    let test_fleet = default_fleet();
    let cases = [
        (rollout_resource("r", "fleet==", "v1"), "field `selector`"),
        (
            rollout_resource("r", "fleet=assistant", "v7"),
            "field `version`",
        ),
        (
            resource("{kind: rollout, name: r, selector: a, version: v1, adapters: [x]}"),
            "field `adapters`",
        ),
    ];
    for (change, field) in cases {
        let error = test_fleet.check(&[change]).unwrap_err();
        assert!(error.starts_with(field), "{error}");
    }
    let adapter = resource(&format!(
        "{{kind: adapter, name: x, base: v2, manifest: '{}', size_bytes: 1}}",
        "cd".repeat(32)
    ));
    let with_adapter =
        resource("{kind: rollout, name: r, selector: a, version: v1, adapters: [x]}");
    let error = test_fleet.check(&[adapter, with_adapter]).unwrap_err();
    assert!(error.contains("is for base `v2`"), "{error}");
    let delete = ResourceChange::Delete(version_resource("v1").key());
    let error = rollout::check_change(&test_fleet.fleet(), &[delete]).unwrap_err();
    assert_eq!(error.kind(), ResourceErrorKind::MissingReference);
}

/// Guards against a rollout that continues after too many VMs failed, or that
/// halts without a reason.
#[test]
fn rollout_halts_after_too_many_vms_fail() {
    let mut test_fleet = default_fleet();
    for member in &mut test_fleet.members {
        member.status.phase = Phase::Serving;
        member.status.serving_version = Some("v1".parse().unwrap());
    }
    assert_eq!(test_fleet.status().state, RolloutState::Complete);
    test_fleet.members[0].status.phase = Phase::Draining;
    let failed = Some(("r".parse().unwrap(), "v1".parse().unwrap()));
    test_fleet.members[1].status.failed.clone_from(&failed);
    let status = test_fleet.status();
    assert_eq!(status.state, RolloutState::Progressing);
    assert_eq!(
        (status.serving, status.switching, status.failed.len()),
        (3, 1, 1)
    );
    // The death of a failed VM must not end the halt.
    test_fleet.members[2].status.failed = failed;
    test_fleet.members[2].liveness = Liveness::Dead;
    let RolloutState::Halted { reason } = test_fleet.status().state else {
        panic!("the rollout is not halted");
    };
    insta::assert_snapshot!(reason, @"2 VMs (vm-2, vm-3) failed to load version `v1` or crashed on it, and the rollout allows fewer than 2; VMs that have not switched keep the version they serve; look for event 5200 in the agent log of these VMs to see why, then apply the rollout with a version that loads");
}

/// Guards against an undo that restores an old revision instead of writing a new
/// one, or that cannot itself be undone.
#[test]
fn undo_restores_the_previous_version_and_records_the_replaced_one() {
    let mut test_fleet = default_fleet();
    let accepted = test_fleet
        .check(&[rollout_resource("r", "fleet=assistant", "v2")])
        .unwrap();
    let ResourceChange::Put(resource) = &accepted.changes[0] else {
        panic!("not a put");
    };
    let second = as_rollout(resource);
    assert_eq!(second.previous_version, Some("v1".parse().unwrap()));
    let undone = rollout::undo(&test_fleet.config, &second).unwrap();
    assert_eq!(undone.version.as_str(), "v1");
    assert_eq!(undone.previous_version, Some("v2".parse().unwrap()));
    let first = as_rollout(&rollout_resource("r", "fleet=assistant", "v1"));
    assert!(rollout::undo(&test_fleet.config, &first).is_err());
    test_fleet.config = ConfigState::default();
    assert!(rollout::undo(&test_fleet.config, &second).is_err());
}

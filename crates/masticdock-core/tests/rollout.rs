//! Targets, acceptance, progress, halt and undo of rollouts.

use std::collections::{BTreeMap, BTreeSet};

use compact_str::CompactString;
use masticdock_core::config_log::{ConfigState, StoredResource};
use masticdock_core::ids::Revision;
use masticdock_core::membership::{Liveness, Member, Phase};
use masticdock_core::operator_api::RolloutState;
use masticdock_core::resource::{Labels, Resource, ResourceChange, ResourceErrorKind, Rollout};
use masticdock_core::rollout::{self, Fleet, RolloutSet};

/// Owns what a [`Fleet`] borrows.
struct World {
    config: ConfigState,
    members: Vec<Member>,
    labels: BTreeMap<CompactString, Labels>,
    marked_leaving: BTreeSet<CompactString>,
}

fn resource(yaml: &str) -> Resource {
    serde_yaml_ng::from_str(yaml).unwrap()
}

fn rollout_yaml(name: &str, selector: &str, version: &str) -> Resource {
    resource(&format!(
        "{{kind: rollout, name: {name}, selector: '{selector}', version: {version}}}"
    ))
}

fn version_yaml(name: &str) -> Resource {
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

impl World {
    /// Makes four VMs in two zones with `fleet=assistant`; resources get rising revisions.
    fn new(resources: Vec<Resource>) -> Self {
        let mut stored = Vec::new();
        for (index, resource) in resources.into_iter().enumerate() {
            let revision = Revision(index as u64 + 1);
            stored.push(StoredResource { revision, resource });
        }
        let mut world = Self {
            config: ConfigState::from_resources(Revision(stored.len() as u64), stored),
            members: Vec::new(),
            labels: BTreeMap::new(),
            marked_leaving: BTreeSet::new(),
        };
        for (id, zone) in [("vm-1", "a"), ("vm-2", "a"), ("vm-3", "b"), ("vm-4", "b")] {
            world.members.push(member(id, zone));
            let labels = Labels::from([("fleet".into(), "assistant".into())]);
            world.labels.insert(id.into(), labels);
        }
        world
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

fn world() -> World {
    World::new(vec![
        version_yaml("v1"),
        version_yaml("v2"),
        rollout_yaml("r", "fleet=assistant", "v1"),
    ])
}

/// Guards against weights sent to VMs that leave, stop, are dead or run plain services.
#[test]
fn vms_that_leave_or_are_dead_or_plain_are_left_out() {
    let mut world = world();
    assert_eq!(world.targets("r"), ["vm-1", "vm-2", "vm-3", "vm-4"]);
    world.marked_leaving.insert("vm-1".into());
    world.members[1].status.leaving = true;
    world.members[2].liveness = Liveness::Dead;
    assert_eq!(world.targets("r"), ["vm-4"]);
    world.members[3].status.services = vec!["orders".parse().unwrap()];
    assert_eq!(world.targets("r"), ["vm-4"]);
    let mut resources: Vec<StoredResource> =
        world.config.iter().map(|(_, it)| it.clone()).collect();
    resources.push(StoredResource {
        revision: Revision(4),
        resource: resource("{kind: service, name: orders, upstream: plain}"),
    });
    world.config = ConfigState::from_resources(Revision(4), resources);
    assert!(world.targets("r").is_empty());
}

/// Guards against two rollouts that switch one VM back and forth.
#[test]
fn second_rollout_on_a_vm_is_refused_and_names_the_first() {
    let world = world();
    let error = world
        .check(&[rollout_yaml("s", "zone=b", "v2")])
        .unwrap_err();
    insta::assert_snapshot!(error, @"field `selector`: rollout `s` (`zone=b`) and rollout `r` (`fleet=assistant`) both claim VM `vm-3`; tip: narrow one of the selectors, for example with `vm!=vm-3`, or change rollout `r`");
    let narrowed = rollout_yaml("r", "fleet=assistant, zone=a", "v1");
    let second = rollout_yaml("s", "zone=b", "v2");
    let both = world.check(&[narrowed, second]).unwrap();
    assert_eq!(both.matched.len(), 2);
    let labels = resource("{kind: vm-labels, name: vm-3, labels: {canary: 'yes'}}");
    let canary = rollout_yaml("c", "canary", "v2");
    let error = world.check(&[canary, labels]).unwrap_err();
    assert!(error.contains("`vm-3`"), "{error}");
}

/// Guards against a VM that appears later and is switched by two rollouts in turn.
#[test]
fn later_vm_goes_to_the_lowest_revision_and_blocks_no_other_change() {
    let mut world = World::new(vec![
        version_yaml("v1"),
        rollout_yaml("z", "fleet=assistant", "v1"),
        rollout_yaml("a", "tier=gold", "v1"),
    ]);
    let vm = CompactString::new("vm-1");
    world
        .labels
        .entry(vm)
        .or_default()
        .insert("tier".into(), "gold".into());
    let set = RolloutSet::new(&world.config);
    let claims = set.matching(&world.fleet(), &world.members[0]);
    let names: Vec<&str> = claims.iter().map(|it| it.rollout.name.as_str()).collect();
    assert_eq!(names, ["z", "a"]);
    assert!(world.targets("a").is_empty());
    assert!(world.check(&[version_yaml("v9")]).is_ok());
    let labels = resource("{kind: vm-labels, name: vm-2, labels: {tier: gold}}");
    let error = world.check(&[labels]).unwrap_err();
    assert!(error.contains("`vm-2`"), "{error}");
}

/// Guards against a selector with a typing error that looks like a finished rollout.
#[test]
fn selector_without_match_is_accepted_with_a_warning() {
    let world = world();
    let accepted = world
        .check(&[rollout_yaml("s", "fleet=asistant", "v1")])
        .unwrap();
    assert_eq!(accepted.matched, [("s".parse().unwrap(), vec![])]);
    insta::assert_snapshot!(accepted.warnings[0], @"rollout `s`: the selector `fleet=asistant` matches no live VM at present; VMs that appear later with matching labels get the version; tip: compare it with the labels in `masticdock vm list`");
}

/// Guards against resources that agents could not act on.
#[test]
fn changes_with_bad_references_are_refused() {
    let world = world();
    let cases = [
        (rollout_yaml("r", "fleet==", "v1"), "field `selector`"),
        (
            rollout_yaml("r", "fleet=assistant", "v7"),
            "field `version`",
        ),
        (
            resource("{kind: rollout, name: r, selector: a, version: v1, adapters: [x]}"),
            "field `adapters`",
        ),
    ];
    for (change, field) in cases {
        let error = world.check(&[change]).unwrap_err();
        assert!(error.starts_with(field), "{error}");
    }
    let adapter = resource(&format!(
        "{{kind: adapter, name: x, base: v2, manifest: '{}', size_bytes: 1}}",
        "cd".repeat(32)
    ));
    let with_adapter =
        resource("{kind: rollout, name: r, selector: a, version: v1, adapters: [x]}");
    let error = world.check(&[adapter, with_adapter]).unwrap_err();
    assert!(error.contains("is for base `v2`"), "{error}");
    let delete = ResourceChange::Delete(version_yaml("v1").key());
    let error = rollout::check_change(&world.fleet(), &[delete]).unwrap_err();
    assert_eq!(error.kind(), ResourceErrorKind::MissingReference);
}

/// Guards against a rollout that goes on to break VMs, or halts without saying why.
#[test]
fn rollout_halts_when_too_many_vms_fail() {
    let mut world = world();
    for member in &mut world.members {
        member.status.phase = Phase::Serving;
        member.status.serving_version = Some("v1".parse().unwrap());
    }
    assert_eq!(world.status().state, RolloutState::Complete);
    world.members[0].status.phase = Phase::Draining;
    let failed = Some(("r".parse().unwrap(), "v1".parse().unwrap()));
    world.members[1].status.failed.clone_from(&failed);
    let status = world.status();
    assert_eq!(status.state, RolloutState::Progressing);
    assert_eq!(
        (status.serving, status.switching, status.failed.len()),
        (3, 1, 1)
    );
    // A failed VM that was taken away must not end the halt.
    world.members[2].status.failed = failed;
    world.members[2].liveness = Liveness::Dead;
    let RolloutState::Halted { reason } = world.status().state else {
        panic!("the rollout goes on");
    };
    insta::assert_snapshot!(reason, @"2 VMs (vm-2, vm-3) failed to load version `v1` or crashed on it, and the rollout allows fewer than 2; VMs that have not switched keep the version they serve; look for event 5200 in the agent log of these VMs to see why, then apply the rollout with a version that loads");
}

/// Guards against an undo that re-applies an old revision or loses the way back.
#[test]
fn undo_writes_the_previous_version_as_a_new_state() {
    let mut world = world();
    let accepted = world
        .check(&[rollout_yaml("r", "fleet=assistant", "v2")])
        .unwrap();
    let ResourceChange::Put(resource) = &accepted.changes[0] else {
        panic!("not a put");
    };
    let second = as_rollout(resource);
    assert_eq!(second.previous_version, Some("v1".parse().unwrap()));
    let undone = rollout::undo(&world.config, &second).unwrap();
    assert_eq!(undone.version.as_str(), "v1");
    assert_eq!(undone.previous_version, Some("v2".parse().unwrap()));
    let first = as_rollout(&rollout_yaml("r", "fleet=assistant", "v1"));
    assert!(rollout::undo(&world.config, &first).is_err());
    world.config = ConfigState::default();
    assert!(rollout::undo(&world.config, &second).is_err());
}

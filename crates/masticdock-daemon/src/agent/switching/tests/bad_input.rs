//! Versions that cannot be used.

use masticdock_core::event::VERSION_UNUSABLE;
use masticdock_core::ids::Digest;
use masticdock_core::manifest::Manifest;
use masticdock_core::membership::Phase;

use super::super::manifest_cache;
use super::harness::{FakeFleet, TestAgent, resource, serving_v1};

/// Checks that the VM keeps v1 and returns the logged condition.
fn assert_unusable(mut agent: TestAgent, fleet: &FakeFleet) -> String {
    agent.complete_switch(fleet);
    assert_eq!((agent.phase(), agent.serving()), (Phase::Idle, Some("v1")));
    assert_eq!(agent.gate_version().as_deref(), Some("v1"));
    assert_eq!(agent.engine.orders.len(), 1);
    let logged = agent.driver.logged_conditions.get(&VERSION_UNUSABLE.number);
    logged.cloned().unwrap_or_default()
}

fn version(name: &str, manifest: &Digest, size_bytes: usize) -> String {
    format!(
        "{{kind: version, name: {name}, model: m, manifest: '{manifest}', size_bytes: {size_bytes}}}"
    )
}

/// Guards against a VM that stops serving because its next version is incomplete.
#[test]
fn missing_or_wrong_manifest_keeps_the_current_version_and_names_the_field() {
    let (agent, mut fleet) = serving_v1();
    fleet.objects.clear();
    assert!(
        assert_unusable(agent, &fleet).starts_with("field `manifest`: the object store has no")
    );

    let (agent, mut fleet) = serving_v1();
    for bytes in fleet.objects.values_mut() {
        bytes.push(b' ');
    }
    assert!(assert_unusable(agent, &fleet).contains("do not have the digest"));

    let (agent, mut fleet) = serving_v1();
    let (_, digest) = Manifest::build("v2", b"v2", 4).encode();
    fleet.put(resource(&version("v2", &digest, 3)));
    let logged = assert_unusable(agent, &fleet);
    assert!(
        logged.starts_with("field `size_bytes`: the resource says 3 bytes"),
        "{logged}"
    );

    let (agent, mut fleet) = serving_v1();
    let mut manifest = Manifest::build("v2", b"v2", 4);
    manifest.chunks.clear();
    let (bytes, digest) = manifest.encode();
    fleet
        .objects
        .insert(manifest_cache::object_key(&digest), bytes);
    fleet.put(resource(&version("v2", &digest, 2)));
    assert!(assert_unusable(agent, &fleet).starts_with("field `chunks`"));
}

/// Guards against an agent that fails on references that the validation of a change
/// would reject.
#[test]
fn unknown_version_or_adapter_of_another_base_keeps_the_current_version() {
    let (agent, mut fleet) = serving_v1();
    fleet.apply_rollout("v9", "");
    assert_eq!(
        assert_unusable(agent, &fleet),
        "field `version`: there is no version `v9`"
    );

    let (agent, mut fleet) = serving_v1();
    fleet.apply_rollout("v2", "adapters: [a1]");
    assert_eq!(
        assert_unusable(agent, &fleet),
        "field `adapters`: there is no adapter `a1`"
    );

    let (agent, mut fleet) = serving_v1();
    fleet.publish("adapter", "a1", "base: v3");
    fleet.apply_rollout("v2", "adapters: [a1]");
    assert!(assert_unusable(agent, &fleet).contains("is for base `v3`, not for version `v2`"));
}

/// Guards against a manifest that is published late and never read again.
#[test]
fn manifest_published_late_is_used() {
    let (mut agent, mut fleet) = serving_v1();
    let objects = std::mem::take(&mut fleet.objects);
    agent.complete_switch(&fleet);
    assert_eq!(agent.serving(), Some("v1"));
    fleet.objects = objects;
    agent.advance(10_000);
    agent.complete_switch(&fleet);
    assert_eq!(
        (agent.phase(), agent.serving()),
        (Phase::Serving, Some("v2"))
    );
}

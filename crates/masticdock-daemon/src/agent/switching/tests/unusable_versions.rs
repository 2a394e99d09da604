//! Versions that cannot be used.

use masticdock_core::event::VERSION_UNUSABLE;
use masticdock_core::ids::Digest;
use masticdock_core::manifest::Manifest;
use masticdock_core::membership::Phase;

use super::super::manifest_cache;
use super::harness::{Rig, World, resource, serving_v1};

/// Checks that the VM keeps v1 and returns the logged complaint.
fn refuse(mut rig: Rig, world: &World) -> String {
    rig.switch(world);
    assert_eq!((rig.phase(), rig.serving()), (Phase::Idle, Some("v1")));
    assert_eq!(rig.gate_version().as_deref(), Some("v1"));
    assert_eq!(rig.engine.orders.len(), 1);
    let complaint = rig.driver.complaints.get(&VERSION_UNUSABLE.number);
    complaint.cloned().unwrap_or_default()
}

fn version(name: &str, manifest: &Digest, size_bytes: usize) -> String {
    format!(
        "{{kind: version, name: {name}, model: m, manifest: '{manifest}', size_bytes: {size_bytes}}}"
    )
}

/// Guards against a VM that stops serving because its next version is incomplete.
#[test]
fn missing_or_wrong_manifest_changes_nothing_and_names_the_field() {
    let (rig, mut world) = serving_v1();
    world.objects.clear();
    assert!(refuse(rig, &world).starts_with("field `manifest`: the object store has no"));

    let (rig, mut world) = serving_v1();
    for bytes in world.objects.values_mut() {
        bytes.push(b' ');
    }
    assert!(refuse(rig, &world).contains("do not have the digest"));

    let (rig, mut world) = serving_v1();
    let (_, digest) = Manifest::build("v2", b"v2", 4).encode();
    world.put(resource(&version("v2", &digest, 3)));
    let complaint = refuse(rig, &world);
    assert!(
        complaint.starts_with("field `size_bytes`: the resource says 3 bytes"),
        "{complaint}"
    );

    let (rig, mut world) = serving_v1();
    let mut manifest = Manifest::build("v2", b"v2", 4);
    manifest.chunks.clear();
    let (bytes, digest) = manifest.encode();
    world.objects.insert(manifest_cache::key(&digest), bytes);
    world.put(resource(&version("v2", &digest, 2)));
    assert!(refuse(rig, &world).starts_with("field `chunks`"));
}

/// Guards against an agent that fails on references that acceptance would refuse.
#[test]
fn unknown_version_or_foreign_adapter_changes_nothing() {
    let (rig, mut world) = serving_v1();
    world.roll("v9", "");
    assert_eq!(
        refuse(rig, &world),
        "field `version`: there is no version `v9`"
    );

    let (rig, mut world) = serving_v1();
    world.roll("v2", "adapters: [a1]");
    assert_eq!(
        refuse(rig, &world),
        "field `adapters`: there is no adapter `a1`"
    );

    let (rig, mut world) = serving_v1();
    world.publish("adapter", "a1", "base: v3");
    world.roll("v2", "adapters: [a1]");
    assert!(refuse(rig, &world).contains("is for base `v3`, not for version `v2`"));
}

/// Guards against a manifest that is published late and never read again.
#[test]
fn manifest_that_appears_later_is_used() {
    let (mut rig, mut world) = serving_v1();
    let objects = std::mem::take(&mut world.objects);
    rig.switch(&world);
    assert_eq!(rig.serving(), Some("v1"));
    world.objects = objects;
    rig.advance(10_000);
    rig.switch(&world);
    assert_eq!((rig.phase(), rig.serving()), (Phase::Serving, Some("v2")));
}

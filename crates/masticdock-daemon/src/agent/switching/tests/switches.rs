//! Switches that go well, and wishes that change on the way.

use masticdock_core::membership::Phase;

use super::harness::{LEASE_MS, Rig, World, adapter, serving_v1};

/// Guards against an empty engine that waits for a slot, and a gate that opens too early.
#[test]
fn empty_engine_gets_its_version_without_a_slot() {
    let world = World::new(1);
    let mut rig = Rig::single();
    rig.steps(&world, 4);
    assert_eq!((rig.phase(), rig.gate_version()), (Phase::Fetching, None));
    rig.verify_wanted();
    rig.steps(&world, 4);
    assert_eq!((rig.phase(), rig.gate_version()), (Phase::Loading, None));
    assert!(
        rig.table
            .lock()
            .unwrap()
            .items
            .keys()
            .all(|key| !key.pk.starts_with("slot/"))
    );
    rig.engine.finish_load();
    rig.steps(&world, 1);
    assert_eq!(rig.gate_version().as_deref(), Some("v1"));
    assert_eq!((rig.phase(), rig.serving()), (Phase::Serving, Some("v1")));
}

/// Guards against a request that is cut by a switch.
#[test]
fn order_waits_until_no_request_is_in_progress() {
    let (mut rig, world) = serving_v1();
    let request = rig.gate.enter(None).unwrap();
    rig.fetch(&world);
    rig.steps(&world, 3);
    assert_eq!(rig.phase(), Phase::Draining);
    assert_eq!(rig.status.serving_version, None);
    assert!(rig.gate.enter(None).is_err());
    rig.steps(&world, 40);
    assert_eq!(rig.engine.orders.len(), 1);
    drop(request);
    rig.steps(&world, 2);
    assert_eq!(rig.engine.orders.len(), 2);
    rig.engine.finish_load();
    rig.steps(&world, 2);
    assert_eq!(
        (rig.phase(), rig.gate_version().as_deref()),
        (Phase::Serving, Some("v2"))
    );
    // The slot is free again.
    assert!(
        rig.table
            .lock()
            .unwrap()
            .items
            .keys()
            .all(|key| !key.pk.starts_with("slot/"))
    );
}

/// Guards against a drain that loses its slot although it renews it.
#[test]
fn long_drain_keeps_its_slot_by_renewal() {
    let (mut rig, world) = serving_v1();
    let request = rig.gate.enter(None).unwrap();
    rig.fetch(&world);
    for _ in 0..60 {
        rig.step(&world);
        rig.advance(LEASE_MS / 10);
    }
    assert_eq!(rig.phase(), Phase::Draining);
    drop(request);
    rig.steps(&world, 2);
    assert_eq!(rig.phase(), Phase::Loading);
}

/// Guards against an old version that is loaded because it was verified first.
#[test]
fn version_that_changes_before_the_order_is_never_ordered() {
    for stop_at in [Phase::Fetching, Phase::Verified, Phase::Draining] {
        let (mut rig, mut world) = serving_v1();
        if stop_at == Phase::Verified {
            rig.table.lock().unwrap().down = true;
        }
        let request = rig.gate.enter(None).unwrap();
        rig.steps(&world, 4);
        if stop_at != Phase::Fetching {
            rig.verify_wanted();
            rig.steps(&world, 3);
        }
        assert_eq!(rig.phase(), stop_at);
        world.roll("v3", "");
        rig.steps(&world, 2);
        assert_eq!(
            (rig.phase(), rig.gate_version().as_deref()),
            (Phase::Fetching, Some("v1"))
        );
        drop(request);
        rig.table.lock().unwrap().down = false;
        rig.switch(&world);
        assert_eq!(rig.serving(), Some("v3"), "{stop_at:?}");
        let ordered: Vec<&str> = rig
            .engine
            .orders
            .iter()
            .map(|it| it.version.as_str())
            .collect();
        assert_eq!(ordered, ["v1", "v3"]);
    }
}

/// Guards against a second order while the engine still loads the first.
#[test]
fn version_that_changes_during_a_load_waits_for_its_end() {
    let (mut rig, mut world) = serving_v1();
    rig.fetch(&world);
    rig.steps(&world, 4);
    assert_eq!(rig.phase(), Phase::Loading);
    world.roll("v3", "");
    rig.steps(&world, 4);
    assert_eq!((rig.phase(), rig.engine.orders.len()), (Phase::Loading, 2));
    rig.engine.finish_load();
    rig.steps(&world, 2);
    assert_eq!((rig.phase(), rig.serving()), (Phase::Fetching, Some("v2")));
    rig.switch(&world);
    assert_eq!((rig.phase(), rig.serving()), (Phase::Serving, Some("v3")));
}

/// Guards against an adapter that is loaded without its base, or a base without its adapters.
#[test]
fn adapters_are_ordered_with_their_base_only() {
    let (mut rig, mut world) = serving_v1();
    let digest = world.publish("adapter", "a1", "base: v2");
    world.roll("v2", "adapters: [a1]");
    rig.steps(&world, 4);
    let wanted: Vec<_> = rig
        .transfer
        .lock()
        .unwrap()
        .wanted
        .iter()
        .map(|it| it.digest)
        .collect();
    assert_eq!((wanted.len(), wanted[1]), (2, digest));
    rig.verify(wanted[1]);
    rig.steps(&world, 4);
    assert_eq!(rig.phase(), Phase::Fetching);
    rig.verify(wanted[0]);
    rig.steps(&world, 4);
    let order = rig.engine.orders.last().unwrap();
    assert_eq!(order.version.as_str(), "v2");
    assert_eq!(order.adapters.len(), 1);
    assert_eq!(order.adapters[0].name, adapter("a1"));
    rig.engine.finish_load();
    rig.steps(&world, 2);
    assert_eq!(rig.phase(), Phase::Serving);
    // The same version without the adapter is another target.
    world.roll("v2", "");
    rig.switch(&world);
    assert!(rig.engine.orders.last().unwrap().adapters.is_empty());
}

/// Guards against weights sent to a VM that is leaving, and a switch that it starts.
#[test]
fn leaving_vm_gets_no_weights() {
    let (mut rig, mut world) = serving_v1();
    let before = rig.transfer.lock().unwrap().ever.len();
    world.marked_leaving.insert("vm-0".into());
    rig.steps(&world, 10);
    assert_eq!(rig.transfer.lock().unwrap().ever.len(), before);
    assert_eq!(rig.engine.orders.len(), 1);
    world.marked_leaving.clear();
    rig.steps(&world, 4);
    assert_eq!(rig.phase(), Phase::Fetching);
    world.marked_leaving.insert("vm-0".into());
    rig.steps(&world, 2);
    assert!(rig.transfer.lock().unwrap().wanted.is_empty());
}

/// Guards against an agent that reloads an engine which already holds the version.
#[test]
fn restarted_agent_finds_the_version_of_its_engine() {
    let (rig, mut world) = serving_v1();
    world.roll("v1", "");
    let mut again = Rig::single();
    again.engine.status = rig.engine.status.clone();
    again.steps(&world, 4);
    assert_eq!(
        (again.phase(), again.serving()),
        (Phase::Serving, Some("v1"))
    );
    assert!(again.engine.orders.is_empty());
    assert!(again.transfer.lock().unwrap().ever.is_empty());
}

/// Guards against a paused rollout that goes on.
#[test]
fn paused_rollout_fetches_and_does_not_switch() {
    let (mut rig, mut world) = serving_v1();
    world.roll("v2", "paused: true");
    rig.switch(&world);
    assert_eq!((rig.phase(), rig.serving()), (Phase::Verified, Some("v1")));
    world.roll("v2", "paused: false");
    rig.switch(&world);
    assert_eq!((rig.phase(), rig.serving()), (Phase::Serving, Some("v2")));
}

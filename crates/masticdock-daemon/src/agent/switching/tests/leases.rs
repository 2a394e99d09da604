//! Leases that end before the order, and orders with old fencing numbers.

use masticdock_core::ids::Fence;
use masticdock_core::membership::Phase;

use super::harness::{LEASE_MS, Rig, World, serving_v1};

/// Brings a VM to the point where its order is with the worker thread.
fn with_order_at_worker() -> (Rig, World) {
    let (mut rig, world) = serving_v1();
    rig.held_orders = Some(Vec::new());
    rig.fetch(&world);
    rig.steps(&world, 3);
    assert_eq!(rig.held_orders.as_ref().map(Vec::len), Some(1));
    (rig, world)
}

/// Guards against an order from an agent that was paused past its lease between
/// decision and order: an engine that ignores fencing numbers would follow it.
#[test]
fn agent_paused_past_its_lease_orders_nothing() {
    for naive in [true, false] {
        let (mut rig, world) = with_order_at_worker();
        rig.engine.checks_fence = false;
        rig.naive_orders = naive;
        rig.advance(LEASE_MS);
        rig.send_held_orders();
        let ordered = rig.engine.orders.len() - 1;
        if naive {
            assert_eq!(ordered, 1, "the naive agent sends the late order");
            continue;
        }
        assert_eq!(ordered, 0);
        assert_eq!(rig.gate_version().as_deref(), Some("v1"));
        rig.switch(&world);
        assert_eq!(rig.serving(), Some("v2"));
    }
}

/// Guards against a resumed agent that believes it still holds its slot.
#[test]
fn agent_paused_while_it_drains_serves_on_and_claims_anew() {
    let (mut rig, world) = serving_v1();
    let request = rig.gate.enter(None).unwrap();
    rig.fetch(&world);
    rig.steps(&world, 3);
    assert_eq!(rig.phase(), Phase::Draining);
    rig.advance(LEASE_MS);
    drop(request);
    rig.tick(&world);
    assert_eq!((rig.phase(), rig.serving()), (Phase::Verified, Some("v1")));
    assert_eq!(rig.engine.orders.len(), 1);
    let first_fence = rig.engine.status.fence;
    rig.switch(&world);
    assert_eq!(rig.serving(), Some("v2"));
    assert!(rig.engine.status.fence > first_fence);
}

/// Guards against an engine that follows an order with an old fencing number.
#[test]
fn checking_engine_refuses_an_old_order_and_the_vm_serves_on() {
    let (mut rig, world) = with_order_at_worker();
    // A later agent of this VM reached the engine first.
    rig.engine.status.fence = Fence(1_000);
    rig.send_held_orders();
    assert_eq!(rig.engine.orders.len(), 1);
    rig.step(&world);
    assert_eq!((rig.phase(), rig.serving()), (Phase::Verified, Some("v1")));
}

/// Guards against switches that start, or do not finish, while the table is down.
#[test]
fn table_outage_holds_new_switches_and_lets_running_ones_finish() {
    let (mut rig, mut world) = serving_v1();
    rig.table.lock().unwrap().down = true;
    rig.switch(&world);
    assert_eq!((rig.phase(), rig.serving()), (Phase::Verified, Some("v1")));
    rig.table.lock().unwrap().down = false;
    rig.advance(2_000);
    rig.steps(&world, 4);
    assert_eq!(rig.phase(), Phase::Loading);
    rig.table.lock().unwrap().down = true;
    rig.advance(2 * LEASE_MS);
    rig.steps(&world, 2);
    rig.engine.finish_load();
    rig.steps(&world, 2);
    assert_eq!((rig.phase(), rig.serving()), (Phase::Serving, Some("v2")));
    world.roll("v3", "");
    rig.steps(&world, 4);
    assert_eq!(rig.phase(), Phase::Fetching);
}

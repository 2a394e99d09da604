//! Leases that end before the order, and orders with stale fencing numbers.

use masticdock_core::ids::Fence;
use masticdock_core::membership::Phase;

use super::harness::{FakeFleet, LEASE_MS, TestAgent, serving_v1};

/// Runs a VM until its order is queued at the worker thread.
fn with_order_queued() -> (TestAgent, FakeFleet) {
    let (mut agent, fleet) = serving_v1();
    agent.queued_orders = Some(Vec::new());
    agent.fetch_and_verify(&fleet);
    agent.steps(&fleet, 3);
    assert_eq!(agent.queued_orders.as_ref().map(Vec::len), Some(1));
    (agent, fleet)
}

/// Guards against an order from an agent that was paused past its lease between
/// decision and order: an engine that ignores fencing numbers would execute it.
#[test]
fn agent_paused_past_its_lease_sends_no_order() {
    for naive in [true, false] {
        let (mut agent, fleet) = with_order_queued();
        agent.engine.checks_fence = false;
        agent.skips_lease_check = naive;
        agent.advance(LEASE_MS);
        agent.send_queued_orders();
        let ordered = agent.engine.orders.len() - 1;
        if naive {
            assert_eq!(ordered, 1, "the naive agent sends the late order");
            continue;
        }
        assert_eq!(ordered, 0);
        assert_eq!(agent.gate_version().as_deref(), Some("v1"));
        agent.complete_switch(&fleet);
        assert_eq!(agent.serving(), Some("v2"));
    }
}

/// Guards against a resumed agent that assumes that it still holds its slot.
#[test]
fn agent_paused_during_a_drain_keeps_serving_and_claims_another_slot() {
    let (mut agent, fleet) = serving_v1();
    let request = agent.gate.enter(None).unwrap();
    agent.fetch_and_verify(&fleet);
    agent.steps(&fleet, 3);
    assert_eq!(agent.phase(), Phase::Draining);
    agent.advance(LEASE_MS);
    drop(request);
    agent.tick(&fleet);
    assert_eq!(
        (agent.phase(), agent.serving()),
        (Phase::Verified, Some("v1"))
    );
    assert_eq!(agent.engine.orders.len(), 1);
    let first_fence = agent.engine.status.fence;
    agent.complete_switch(&fleet);
    assert_eq!(agent.serving(), Some("v2"));
    assert!(agent.engine.status.fence > first_fence);
}

/// Guards against an engine that executes an order with a stale fencing number.
#[test]
fn engine_rejects_a_stale_fencing_number_and_the_vm_keeps_serving() {
    let (mut agent, fleet) = with_order_queued();
    // A later agent of this VM reached the engine first.
    agent.engine.status.fence = Fence(1_000);
    agent.send_queued_orders();
    assert_eq!(agent.engine.orders.len(), 1);
    agent.step(&fleet);
    assert_eq!(
        (agent.phase(), agent.serving()),
        (Phase::Verified, Some("v1"))
    );
}

/// Guards against switches that start during a table outage, and against running
/// ones that do not complete.
#[test]
fn table_outage_delays_new_switches_but_not_running_ones() {
    let (mut agent, mut fleet) = serving_v1();
    agent.table.lock().unwrap().unavailable = true;
    agent.complete_switch(&fleet);
    assert_eq!(
        (agent.phase(), agent.serving()),
        (Phase::Verified, Some("v1"))
    );
    agent.table.lock().unwrap().unavailable = false;
    agent.advance(2_000);
    agent.steps(&fleet, 4);
    assert_eq!(agent.phase(), Phase::Loading);
    agent.table.lock().unwrap().unavailable = true;
    agent.advance(2 * LEASE_MS);
    agent.steps(&fleet, 2);
    agent.engine.finish_load();
    agent.steps(&fleet, 2);
    assert_eq!(
        (agent.phase(), agent.serving()),
        (Phase::Serving, Some("v2"))
    );
    fleet.apply_rollout("v3", "");
    agent.steps(&fleet, 4);
    assert_eq!(agent.phase(), Phase::Fetching);
}

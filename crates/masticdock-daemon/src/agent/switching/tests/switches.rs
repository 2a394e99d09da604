//! Successful switches, and assignments that change during a switch.

use masticdock_core::membership::Phase;

use super::harness::{FakeFleet, LEASE_MS, TestAgent, adapter, serving_v1};

/// Guards against an empty engine that waits for a slot, and a gate that opens too early.
#[test]
fn empty_engine_loads_its_version_without_a_slot() {
    let fleet = FakeFleet::new(1);
    let mut agent = TestAgent::single();
    agent.steps(&fleet, 4);
    assert_eq!(
        (agent.phase(), agent.gate_version()),
        (Phase::Fetching, None)
    );
    agent.mark_wanted_verified();
    agent.steps(&fleet, 4);
    assert_eq!(
        (agent.phase(), agent.gate_version()),
        (Phase::Loading, None)
    );
    assert!(
        agent
            .table
            .lock()
            .unwrap()
            .items
            .keys()
            .all(|key| !key.pk.starts_with("slot/"))
    );
    agent.engine.finish_load();
    agent.steps(&fleet, 1);
    assert_eq!(agent.gate_version().as_deref(), Some("v1"));
    assert_eq!(
        (agent.phase(), agent.serving()),
        (Phase::Serving, Some("v1"))
    );
}

/// Guards against a request that is cut off by a switch.
#[test]
fn order_waits_until_no_request_is_in_progress() {
    let (mut agent, fleet) = serving_v1();
    let request = agent.gate.enter(None).unwrap();
    agent.fetch_and_verify(&fleet);
    agent.steps(&fleet, 3);
    assert_eq!(agent.phase(), Phase::Draining);
    assert_eq!(agent.status.serving_version, None);
    assert!(agent.gate.enter(None).is_err());
    agent.steps(&fleet, 40);
    assert_eq!(agent.engine.orders.len(), 1);
    drop(request);
    agent.steps(&fleet, 2);
    assert_eq!(agent.engine.orders.len(), 2);
    agent.engine.finish_load();
    agent.steps(&fleet, 2);
    assert_eq!(
        (agent.phase(), agent.gate_version().as_deref()),
        (Phase::Serving, Some("v2"))
    );
    // The slot is released.
    assert!(
        agent
            .table
            .lock()
            .unwrap()
            .items
            .keys()
            .all(|key| !key.pk.starts_with("slot/"))
    );
}

/// Guards against a drain that loses its slot although the lease is renewed.
#[test]
fn long_drain_keeps_its_slot_by_renewal() {
    let (mut agent, fleet) = serving_v1();
    let request = agent.gate.enter(None).unwrap();
    agent.fetch_and_verify(&fleet);
    for _ in 0..60 {
        agent.step(&fleet);
        agent.advance(LEASE_MS / 10);
    }
    assert_eq!(agent.phase(), Phase::Draining);
    drop(request);
    agent.steps(&fleet, 2);
    assert_eq!(agent.phase(), Phase::Loading);
}

/// Guards against loading a superseded version because its copy was verified first.
#[test]
fn superseded_version_is_never_ordered() {
    for stop_at in [Phase::Fetching, Phase::Verified, Phase::Draining] {
        let (mut agent, mut fleet) = serving_v1();
        if stop_at == Phase::Verified {
            agent.table.lock().unwrap().unavailable = true;
        }
        let request = agent.gate.enter(None).unwrap();
        agent.steps(&fleet, 4);
        if stop_at != Phase::Fetching {
            agent.mark_wanted_verified();
            agent.steps(&fleet, 3);
        }
        assert_eq!(agent.phase(), stop_at);
        fleet.apply_rollout("v3", "");
        agent.steps(&fleet, 2);
        assert_eq!(
            (agent.phase(), agent.gate_version().as_deref()),
            (Phase::Fetching, Some("v1"))
        );
        drop(request);
        agent.table.lock().unwrap().unavailable = false;
        agent.complete_switch(&fleet);
        assert_eq!(agent.serving(), Some("v3"), "{stop_at:?}");
        let ordered: Vec<&str> = agent
            .engine
            .orders
            .iter()
            .map(|it| it.version.as_str())
            .collect();
        assert_eq!(ordered, ["v1", "v3"]);
    }
}

/// Guards against a second order while the engine is loading.
#[test]
fn version_change_during_a_load_waits_for_the_load() {
    let (mut agent, mut fleet) = serving_v1();
    agent.fetch_and_verify(&fleet);
    agent.steps(&fleet, 4);
    assert_eq!(agent.phase(), Phase::Loading);
    fleet.apply_rollout("v3", "");
    agent.steps(&fleet, 4);
    assert_eq!(
        (agent.phase(), agent.engine.orders.len()),
        (Phase::Loading, 2)
    );
    agent.engine.finish_load();
    agent.steps(&fleet, 2);
    assert_eq!(
        (agent.phase(), agent.serving()),
        (Phase::Fetching, Some("v2"))
    );
    agent.complete_switch(&fleet);
    assert_eq!(
        (agent.phase(), agent.serving()),
        (Phase::Serving, Some("v3"))
    );
}

/// Guards against an adapter that is loaded without its base, or a base without its adapters.
#[test]
fn adapters_are_ordered_with_their_base_only() {
    let (mut agent, mut fleet) = serving_v1();
    let digest = fleet.publish("adapter", "a1", "base: v2");
    fleet.apply_rollout("v2", "adapters: [a1]");
    agent.steps(&fleet, 4);
    let wanted: Vec<_> = agent
        .transfer
        .lock()
        .unwrap()
        .wanted
        .iter()
        .map(|it| it.digest)
        .collect();
    assert_eq!((wanted.len(), wanted[1]), (2, digest));
    agent.mark_verified(wanted[1]);
    agent.steps(&fleet, 4);
    assert_eq!(agent.phase(), Phase::Fetching);
    agent.mark_verified(wanted[0]);
    agent.steps(&fleet, 4);
    let order = agent.engine.orders.last().unwrap();
    assert_eq!(order.version.as_str(), "v2");
    assert_eq!(order.adapters.len(), 1);
    assert_eq!(order.adapters[0].name, adapter("a1"));
    agent.engine.finish_load();
    agent.steps(&fleet, 2);
    assert_eq!(agent.phase(), Phase::Serving);
    // The same version without the adapter is a different target.
    fleet.apply_rollout("v2", "");
    agent.complete_switch(&fleet);
    assert!(agent.engine.orders.last().unwrap().adapters.is_empty());
}

/// Guards against weights that are sent to a leaving VM, and a switch that it starts.
#[test]
fn leaving_vm_fetches_no_weights() {
    let (mut agent, mut fleet) = serving_v1();
    let before = agent.transfer.lock().unwrap().ever_wanted.len();
    fleet.marked_leaving.insert("vm-0".into());
    agent.steps(&fleet, 10);
    assert_eq!(agent.transfer.lock().unwrap().ever_wanted.len(), before);
    assert_eq!(agent.engine.orders.len(), 1);
    fleet.marked_leaving.clear();
    agent.steps(&fleet, 4);
    assert_eq!(agent.phase(), Phase::Fetching);
    fleet.marked_leaving.insert("vm-0".into());
    agent.steps(&fleet, 2);
    assert!(agent.transfer.lock().unwrap().wanted.is_empty());
}

/// Guards against an agent that reloads a version that its engine already holds.
#[test]
fn restarted_agent_detects_the_version_of_its_engine() {
    let (agent, mut fleet) = serving_v1();
    fleet.apply_rollout("v1", "");
    let mut restarted = TestAgent::single();
    restarted.engine.status = agent.engine.status.clone();
    restarted.steps(&fleet, 4);
    assert_eq!(
        (restarted.phase(), restarted.serving()),
        (Phase::Serving, Some("v1"))
    );
    assert!(restarted.engine.orders.is_empty());
    assert!(restarted.transfer.lock().unwrap().ever_wanted.is_empty());
}

/// Guards against a paused rollout that continues to switch VMs.
#[test]
fn paused_rollout_fetches_and_does_not_switch() {
    let (mut agent, mut fleet) = serving_v1();
    fleet.apply_rollout("v2", "paused: true");
    agent.complete_switch(&fleet);
    assert_eq!(
        (agent.phase(), agent.serving()),
        (Phase::Verified, Some("v1"))
    );
    fleet.apply_rollout("v2", "paused: false");
    agent.complete_switch(&fleet);
    assert_eq!(
        (agent.phase(), agent.serving()),
        (Phase::Serving, Some("v2"))
    );
}

//! Engines that crash, fail to load or report wrong weights.

use masticdock_core::ids::Digest;
use masticdock_core::membership::Phase;
use masticdock_platform::PlatformErrorKind;

use super::super::message::Report;
use super::fakes::platform_error;
use super::harness::{FakeFleet, LOAD_TIMEOUT_MS, TestAgent, serving_v1};

/// Guards against an engine that stays empty after a crash because the agent waits
/// for the table.
#[test]
fn crashed_engine_reloads_its_version_while_the_table_is_unavailable() {
    let (mut agent, mut fleet) = serving_v1();
    fleet.apply_rollout("v1", "");
    agent.steps(&fleet, 2);
    agent.table.lock().unwrap().unavailable = true;
    agent.engine.restart();
    agent.step(&fleet);
    assert_eq!((agent.serving(), agent.gate_version()), (None, None));
    assert!(
        agent.status.failed.is_some(),
        "a crash soon after the switch counts"
    );
    agent.complete_switch(&fleet);
    assert_eq!(
        (agent.phase(), agent.serving()),
        (Phase::Serving, Some("v1"))
    );
    assert_eq!(agent.engine.orders.len(), 2);
    // The crash is still reported; otherwise a version that crashes each engine
    // once would be rolled out to all VMs.
    assert!(agent.status.failed.is_some());
}

/// Guards against a crashed engine that receives requests before it is available again.
#[test]
fn unreachable_engine_closes_the_gate() {
    let (mut agent, fleet) = serving_v1();
    for _ in 0..2 {
        let refused = platform_error(PlatformErrorKind::NotSent);
        agent
            .driver
            .handle_report(Report::Engine(Err(refused)), agent.now());
    }
    assert!(agent.gate.enter(None).is_err());
    // The same engine answers again and still holds its version.
    agent.steps(&fleet, 1);
    assert_eq!(agent.gate_version().as_deref(), Some("v1"));
}

/// Guards against a late crash that halts a completed rollout.
#[test]
fn crash_after_the_probation_period_is_not_reported() {
    let (mut agent, mut fleet) = serving_v1();
    fleet.apply_rollout("v1", "");
    agent.advance(700_000);
    agent.steps(&fleet, 2);
    agent.engine.restart();
    agent.complete_switch(&fleet);
    assert_eq!(agent.serving(), Some("v1"));
    assert_eq!(agent.status.failed, None);
}

/// Guards against a VM that stays out of service after a failed load, or retries a
/// failing version indefinitely.
#[test]
fn failed_load_halts_the_rollout_and_restores_the_version() {
    let (mut agent, mut fleet) = serving_v1();
    agent.engine.failing_versions.insert("v2".parse().unwrap());
    agent.fetch_and_verify(&fleet);
    agent.steps(&fleet, 3);
    agent.engine.finish_load();
    agent.step(&fleet);
    assert_eq!((agent.phase(), agent.gate_version()), (Phase::Failed, None));
    let failed = agent.status.failed.clone();
    assert_eq!(failed.as_ref().map(|it| it.1.as_str()), Some("v2"));
    fleet.members[0].status = agent.status.clone();
    agent.complete_switch(&fleet);
    assert_eq!(
        (agent.phase(), agent.serving()),
        (Phase::Failed, Some("v1"))
    );
    assert_eq!(agent.status.failed, failed);
    let ordered: Vec<&str> = agent
        .engine
        .orders
        .iter()
        .map(|it| it.version.as_str())
        .collect();
    assert_eq!(ordered, ["v1", "v2", "v1"]);

    // Another VM learns of the failure by gossip and keeps its current version.
    let mut other = TestAgent::single();
    let mut other_fleet = FakeFleet::new(1);
    other.complete_switch(&other_fleet);
    other_fleet.apply_rollout("v2", "max_load_failures: 1");
    other_fleet.members.push(super::harness::member("vm-9"));
    other_fleet.members[1].status = agent.status.clone();
    other.complete_switch(&other_fleet);
    assert_eq!((other.phase(), other.serving()), (Phase::Idle, Some("v1")));
    assert_eq!(other.engine.orders.len(), 1);

    // The VM tries a new version.
    fleet.apply_rollout("v3", "");
    agent.complete_switch(&fleet);
    assert_eq!(
        (agent.phase(), agent.serving()),
        (Phase::Serving, Some("v3"))
    );
    assert_eq!(agent.status.failed, None);
}

/// Guards against an engine that serves weights that do not match the manifest.
#[test]
fn version_with_a_wrong_root_digest_is_never_served() {
    let (mut agent, fleet) = serving_v1();
    agent.engine.wrong_root = Some(Digest::of(b"other"));
    agent.fetch_and_verify(&fleet);
    agent.steps(&fleet, 3);
    agent.engine.finish_load();
    agent.steps(&fleet, 3);
    assert_eq!(agent.gate_version(), None);
    assert!(agent.status.failed.is_some());
    agent.engine.wrong_root = None;
    agent.complete_switch(&fleet);
    assert_eq!(agent.gate_version().as_deref(), Some("v1"));
}

/// Guards against weights that change while their version is in service.
#[test]
fn changed_root_digest_closes_the_gate() {
    let (mut agent, fleet) = serving_v1();
    agent.engine.status.root = Some(Digest::of(b"other"));
    agent.step(&fleet);
    assert_eq!(agent.gate_version(), None);
}

/// Guards against a load that never completes and keeps the VM out of service.
#[test]
fn stalled_load_fails_after_the_load_timeout() {
    let (mut agent, fleet) = serving_v1();
    agent.fetch_and_verify(&fleet);
    agent.steps(&fleet, 3);
    assert_eq!(agent.phase(), Phase::Loading);
    agent.advance(LOAD_TIMEOUT_MS);
    agent.step(&fleet);
    assert!(agent.status.failed.is_some());
    agent.engine.restart();
    agent.complete_switch(&fleet);
    assert_eq!(agent.serving(), Some("v1"));
}

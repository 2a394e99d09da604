//! Engines that crash, fail to load or report wrong weights.

use masticdock_core::ids::Digest;
use masticdock_core::membership::Phase;
use masticdock_platform::PlatformErrorKind;

use super::super::message::Report;
use super::fakes::failed_call;
use super::harness::{LOAD_TIMEOUT_MS, Rig, World, serving_v1};

/// Guards against an engine that stays empty after a crash, or waits for the table.
#[test]
fn crashed_engine_gets_its_version_again_without_the_table() {
    let (mut rig, mut world) = serving_v1();
    world.roll("v1", "");
    rig.steps(&world, 2);
    rig.table.lock().unwrap().down = true;
    rig.engine.restart();
    rig.step(&world);
    assert_eq!((rig.serving(), rig.gate_version()), (None, None));
    assert!(
        rig.status.failed.is_some(),
        "a crash soon after the switch counts"
    );
    rig.switch(&world);
    assert_eq!((rig.phase(), rig.serving()), (Phase::Serving, Some("v1")));
    assert_eq!(rig.engine.orders.len(), 2);
    // It still counts, or a version that crashes each engine once would spread.
    assert!(rig.status.failed.is_some());
}

/// Guards against a crashed engine that receives requests until it is back.
#[test]
fn unreachable_engine_closes_the_gate() {
    let (mut rig, world) = serving_v1();
    for _ in 0..2 {
        let refused = failed_call(PlatformErrorKind::NotSent);
        rig.driver.report(Report::Engine(Err(refused)), rig.now());
    }
    assert!(rig.gate.enter(None).is_err());
    // The same engine answers again and lost nothing.
    rig.steps(&world, 1);
    assert_eq!(rig.gate_version().as_deref(), Some("v1"));
}

/// Guards against a late crash that halts a finished rollout.
#[test]
fn crash_long_after_the_switch_does_not_count() {
    let (mut rig, mut world) = serving_v1();
    world.roll("v1", "");
    rig.advance(700_000);
    rig.steps(&world, 2);
    rig.engine.restart();
    rig.switch(&world);
    assert_eq!(rig.serving(), Some("v1"));
    assert_eq!(rig.status.failed, None);
}

/// Guards against a VM that stays out of service, or tries a bad version forever.
#[test]
fn failed_load_halts_the_rollout_and_restores_the_version() {
    let (mut rig, mut world) = serving_v1();
    rig.engine.fails.insert("v2".parse().unwrap());
    rig.fetch(&world);
    rig.steps(&world, 3);
    rig.engine.finish_load();
    rig.step(&world);
    assert_eq!((rig.phase(), rig.gate_version()), (Phase::Failed, None));
    let failed = rig.status.failed.clone();
    assert_eq!(failed.as_ref().map(|it| it.1.as_str()), Some("v2"));
    world.members[0].status = rig.status.clone();
    rig.switch(&world);
    assert_eq!((rig.phase(), rig.serving()), (Phase::Failed, Some("v1")));
    assert_eq!(rig.status.failed, failed);
    let ordered: Vec<&str> = rig
        .engine
        .orders
        .iter()
        .map(|it| it.version.as_str())
        .collect();
    assert_eq!(ordered, ["v1", "v2", "v1"]);

    // Another VM sees the failure by gossip and keeps what it serves.
    let mut other = Rig::single();
    let mut before = World::new(1);
    other.switch(&before);
    before.roll("v2", "max_load_failures: 1");
    before.members.push(super::harness::member("vm-9"));
    before.members[1].status = rig.status.clone();
    other.switch(&before);
    assert_eq!((other.phase(), other.serving()), (Phase::Idle, Some("v1")));
    assert_eq!(other.engine.orders.len(), 1);

    // A new version is tried again.
    world.roll("v3", "");
    rig.switch(&world);
    assert_eq!((rig.phase(), rig.serving()), (Phase::Serving, Some("v3")));
    assert_eq!(rig.status.failed, None);
}

/// Guards against an engine that serves weights other than those of the manifest.
#[test]
fn root_digest_that_disagrees_never_serves() {
    let (mut rig, world) = serving_v1();
    rig.engine.wrong_root = Some(Digest::of(b"other"));
    rig.fetch(&world);
    rig.steps(&world, 3);
    rig.engine.finish_load();
    rig.steps(&world, 3);
    assert_eq!(rig.gate_version(), None);
    assert!(rig.status.failed.is_some());
    rig.engine.wrong_root = None;
    rig.switch(&world);
    assert_eq!(rig.gate_version().as_deref(), Some("v1"));
}

/// Guards against weights that change under a version in service.
#[test]
fn engine_that_loses_its_weights_stops_serving() {
    let (mut rig, world) = serving_v1();
    rig.engine.status.root = Some(Digest::of(b"other"));
    rig.step(&world);
    assert_eq!(rig.gate_version(), None);
}

/// Guards against a load that never ends and keeps the VM out of service.
#[test]
fn load_without_end_fails_after_its_time_out() {
    let (mut rig, world) = serving_v1();
    rig.fetch(&world);
    rig.steps(&world, 3);
    assert_eq!(rig.phase(), Phase::Loading);
    rig.advance(LOAD_TIMEOUT_MS);
    rig.step(&world);
    assert!(rig.status.failed.is_some());
    rig.engine.restart();
    rig.switch(&world);
    assert_eq!(rig.serving(), Some("v1"));
}

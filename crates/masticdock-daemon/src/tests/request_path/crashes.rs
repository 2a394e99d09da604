//! Requests that crash engines.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use masticdock_core::problem::RunState;

use super::cluster::{TestCluster, eventually, post_order, post_prompt};
use super::fakes::{EngineBehavior, FakeEngine, FakeService, spawn_crashing_service};
use crate::control::ControlMsg;

/// Guards against a request that crashes one engine after another because it is retried or resent
/// without limit.
#[test]
fn a_request_that_crashes_engines_is_rejected_at_the_crash_limit_and_others_are_served() {
    let cluster = TestCluster::new();
    let engines: Vec<_> = (0..6).map(|_| FakeEngine::spawn("v1")).collect();
    let mut agents = Vec::new();
    for (index, engine) in engines.iter().enumerate() {
        engine.set_behavior(EngineBehavior::CrashAt(1));
        agents.push(cluster.engine_agent(&format!("vm-{index}"), engine));
    }
    let entry = cluster.entry("entry-1");
    let runs = || {
        engines
            .iter()
            .map(|engine| engine.runs().len())
            .sum::<usize>()
    };
    // Once an agent reads the status a second time, it has stored the boot id of the first read.
    eventually("the agents know the boot ids of all engines", || {
        engines
            .iter()
            .all(|engine| engine.status_reads.load(Ordering::SeqCst) >= 2)
    });
    let first = post_prompt(&entry, "bad");
    assert_eq!(first.problem(), ("crashing-request", RunState::Unknown));
    assert_eq!(runs(), 3);
    let resent = post_prompt(&entry, "bad");
    assert_eq!(resent.problem(), ("crashing-request", RunState::NotRun));
    assert_eq!(runs(), 3);
    let crashes = cluster.messages.try_iter();
    let crashes = crashes.filter(|message| matches!(message, ControlMsg::Crash(_)));
    assert_eq!(crashes.count(), 3);
    for engine in &engines {
        engine.set_behavior(EngineBehavior::Complete);
    }
    assert_eq!(post_prompt(&entry, "good").status, 200);
}

/// Guards against a request that crashes one plain upstream after another, whose agents read
/// no status that shows a crash.
#[test]
fn a_request_that_crashes_plain_upstreams_is_rejected_at_the_crash_limit() {
    let cluster = TestCluster::new();
    let runs = Arc::new(AtomicU64::new(0));
    let mut agents = Vec::new();
    for index in 0..6 {
        let service = spawn_crashing_service(&runs);
        agents.push(cluster.plain_agent_at(&format!("vm-{index}"), service));
    }
    let entry = cluster.entry("entry-1");
    for count in 1..=3 {
        let crashing = post_order(&entry, &format!("key-{count}"));
        assert_eq!(crashing.problem().1, RunState::Unknown);
        assert_eq!(runs.load(Ordering::SeqCst), count);
    }
    let resent = post_order(&entry, "key-4");
    assert_eq!(resent.problem(), ("crashing-request", RunState::NotRun));
    assert_eq!(runs.load(Ordering::SeqCst), 3);
}

/// Guards against a request that is blamed for a crash when a plain upstream which lives on
/// loses the response.
#[test]
fn a_lost_response_of_a_plain_upstream_is_not_counted_as_a_crash() {
    let cluster = TestCluster::new();
    let plain = FakeService::spawn();
    plain.drop_response.store(true, Ordering::SeqCst);
    let _agent = cluster.plain_agent("vm-1", &plain);
    let entry = cluster.entry("entry-1");
    for count in 1..=5 {
        let lost = post_order(&entry, &format!("key-{count}"));
        assert_eq!(lost.problem(), ("upstream-error", RunState::Unknown));
        assert_eq!(plain.runs(), count);
    }
    let crashes = cluster.messages.try_iter();
    let crashes = crashes.filter(|message| matches!(message, ControlMsg::Crash(_)));
    assert_eq!(crashes.count(), 0);
}

/// Guards against a request that is blamed for a crash, and later rejected, when only the
/// connection to a live engine breaks.
#[test]
fn a_broken_connection_to_a_live_engine_is_not_counted_as_a_crash() {
    let cluster = TestCluster::new();
    let engine = FakeEngine::spawn("v1");
    engine.set_behavior(EngineBehavior::DisconnectAt(1));
    let _agent = cluster.engine_agent("vm-1", &engine);
    let entry = cluster.entry("entry-1");
    assert_eq!(post_prompt(&entry, "p").problem().1, RunState::Unknown);
    let crashes = cluster.messages.try_iter();
    let crashes = crashes.filter(|message| matches!(message, ControlMsg::Crash(_)));
    assert_eq!(crashes.count(), 0);
    engine.set_behavior(EngineBehavior::Complete);
    eventually("the upstream is used again", || {
        post_prompt(&entry, "p").status == 200
    });
}

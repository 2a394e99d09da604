//! Requests that crash engines.

use std::sync::atomic::Ordering;

use masticdock_core::problem::RunState;

use super::cluster::{TestCluster, eventually, post_prompt};
use super::fakes::{EngineBehavior, FakeEngine};
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

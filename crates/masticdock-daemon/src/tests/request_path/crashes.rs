//! Guards against requests that crash one engine after the other.

use std::sync::atomic::Ordering;

use masticdock_core::problem::RunState;

use super::cluster::{TestCluster, eventually, post_prompt};
use super::fakes::{EngineBehavior, FakeEngine};
use crate::control::ControlMsg;

#[test]
fn a_request_that_crashes_engines_is_rejected_at_the_crash_limit_and_others_are_served() {
    let cluster = TestCluster::new();
    let engines: Vec<_> = (0..6).map(|_| FakeEngine::spawn("v1")).collect();
    let mut agents = Vec::new();
    for (index, engine) in engines.iter().enumerate() {
        engine.set(EngineBehavior::CrashAt(1));
        agents.push(cluster.engine_agent(&format!("vm-{index}"), engine));
    }
    let entry = cluster.entry("entry-1");
    let runs = || {
        engines
            .iter()
            .map(|engine| engine.runs().len())
            .sum::<usize>()
    };
    // An agent that reads the status again has kept the boot that it read first.
    eventually("the agents know the boots", || {
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
        engine.set(EngineBehavior::Complete);
    }
    assert_eq!(post_prompt(&entry, "good").status, 200);
}

#[test]
fn a_broken_connection_to_a_live_engine_is_not_counted_as_a_crash() {
    let cluster = TestCluster::new();
    let engine = FakeEngine::spawn("v1");
    engine.set(EngineBehavior::DisconnectAt(1));
    let _agent = cluster.engine_agent("vm-1", &engine);
    let entry = cluster.entry("entry-1");
    assert_eq!(post_prompt(&entry, "p").problem().1, RunState::Unknown);
    let crashes = cluster.messages.try_iter();
    let crashes = crashes.filter(|message| matches!(message, ControlMsg::Crash(_)));
    assert_eq!(crashes.count(), 0);
    engine.set(EngineBehavior::Complete);
    eventually("the upstream is used again", || {
        post_prompt(&entry, "p").status == 200
    });
}

//! Guards against requests that crash one engine after the other.

use std::sync::atomic::Ordering;

use masticdock_core::problem::RunState;

use super::cluster::{World, eventually, prompt};
use super::fakes::{Engine, Script};
use crate::control::ControlMsg;

#[test]
fn a_request_that_crashes_engines_is_refused_at_the_limit_and_others_go_on() {
    let world = World::new();
    let engines: Vec<_> = (0..6).map(|_| Engine::spawn("v1")).collect();
    let mut agents = Vec::new();
    for (index, engine) in engines.iter().enumerate() {
        engine.set(Script::CrashAt(1));
        agents.push(world.engine_agent(&format!("vm-{index}"), engine));
    }
    let entry = world.entry("entry-1");
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
    let first = prompt(&entry, "bad");
    assert_eq!(first.problem(), ("crashing-request", RunState::Unknown));
    assert_eq!(runs(), 3);
    let resent = prompt(&entry, "bad");
    assert_eq!(resent.problem(), ("crashing-request", RunState::NotRun));
    assert_eq!(runs(), 3);
    let crashes = world.messages.try_iter();
    let crashes = crashes.filter(|message| matches!(message, ControlMsg::Crash(_)));
    assert_eq!(crashes.count(), 3);
    for engine in &engines {
        engine.set(Script::Answer);
    }
    assert_eq!(prompt(&entry, "good").status, 200);
}

#[test]
fn a_broken_connection_to_a_live_engine_counts_no_death() {
    let world = World::new();
    let engine = Engine::spawn("v1");
    engine.set(Script::BreakAt(1));
    let _agent = world.engine_agent("vm-1", &engine);
    let entry = world.entry("entry-1");
    assert_eq!(prompt(&entry, "p").problem().1, RunState::Unknown);
    let crashes = world.messages.try_iter();
    let crashes = crashes.filter(|message| matches!(message, ControlMsg::Crash(_)));
    assert_eq!(crashes.count(), 0);
    engine.set(Script::Answer);
    eventually("the upstream is used again", || {
        prompt(&entry, "p").status == 200
    });
}

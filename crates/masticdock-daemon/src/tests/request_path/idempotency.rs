//! Guards against non-idempotent requests that run twice, and against `not_run`
//! for requests that ran.

use std::sync::atomic::Ordering;

use masticdock_core::problem::RunState;

use super::cluster::{World, eventually, order};
use super::fakes::{Plain, TableMode, lock};

#[test]
fn a_request_runs_once_when_the_table_loses_its_answers_after_the_effect() {
    let world = World::new();
    let plain = Plain::spawn();
    let _agent = world.plain_agent("vm-1", &plain);
    let entry = world.entry("entry-1");
    world.table.set(TableMode::LoseAnswers);
    let first = order(&entry, "k1");
    assert_eq!(first.status, 200, "{first:?}");
    let second = order(&entry, "k1");
    assert_eq!(second.body, first.body);
    assert_eq!(plain.runs(), 1);
}

#[test]
fn nothing_runs_while_the_table_is_down_and_the_same_key_runs_once_when_it_is_back() {
    let world = World::new();
    let plain = Plain::spawn();
    let _agent = world.plain_agent("vm-1", &plain);
    let entry = world.entry("entry-1");
    for mode in [TableMode::Down, TableMode::LoseRequests] {
        world.table.set(mode);
        let refused = order(&entry, "k1");
        assert_eq!(refused.problem(), ("table-unavailable", RunState::NotRun));
        assert_eq!(plain.runs(), 0);
    }
    world.table.set(TableMode::Up);
    // The claim whose request was lost is released in the background first.
    eventually("the claim is given up", || {
        order(&entry, "k1").status == 200
    });
    assert_eq!(order(&entry, "k1").status, 200);
    assert_eq!(plain.runs(), 1);
}

#[test]
fn a_claim_that_took_effect_unseen_is_released_and_the_key_works_again() {
    let world = World::new();
    let plain = Plain::spawn();
    let agent = world.plain_agent("vm-1", &plain);
    let entry = world.entry("entry-1");
    world.table.set(TableMode::LoseRequests);
    assert_eq!(order(&entry, "k1").problem().1, RunState::NotRun);
    world.table.set(TableMode::Up);
    eventually("the claim is settled", || agent.proxy.in_progress() == 0);
    assert_eq!(world.table.states(), ["released"]);
    assert_eq!(order(&entry, "k1").status, 200);
    assert_eq!(plain.runs(), 1);
}

#[test]
fn a_request_resent_through_another_entry_gets_the_stored_answer() {
    let world = World::new();
    let plain = Plain::spawn();
    let _agents = [
        world.plain_agent("vm-1", &plain),
        world.plain_agent("vm-2", &plain),
    ];
    let entries = [world.entry("entry-1"), world.entry("entry-2")];
    let first = order(&entries[0], "k1");
    for entry in &entries {
        assert_eq!(order(entry, "k1").body, first.body);
    }
    assert_eq!(plain.runs(), 1);
}

#[test]
fn a_request_resent_while_it_runs_is_told_that_it_is_in_progress() {
    let world = World::new();
    let plain = Plain::spawn();
    let _agents = [
        world.plain_agent("vm-1", &plain),
        world.plain_agent("vm-2", &plain),
    ];
    let entries = [world.entry("entry-1"), world.entry("entry-2")];
    let hold = lock(&plain.hold);
    std::thread::scope(|scope| {
        let first = scope.spawn(|| order(&entries[0], "k1"));
        eventually("the first one runs", || plain.runs() == 1);
        let second = order(&entries[1], "k1");
        assert_eq!(second.problem(), ("request-in-progress", RunState::Unknown));
        drop(hold);
        assert_eq!(first.join().expect("a caller").status, 200);
    });
    assert_eq!(plain.runs(), 1);
}

#[test]
fn a_request_whose_answer_was_lost_stays_unknown_and_is_not_run_again() {
    let world = World::new();
    let plain = Plain::spawn();
    let _agents = [
        world.plain_agent("vm-1", &plain),
        world.plain_agent("vm-2", &plain),
    ];
    let entry = world.entry("entry-1");
    plain.lose_answer.store(true, Ordering::SeqCst);
    let first = order(&entry, "k1");
    assert_eq!(first.problem().1, RunState::Unknown);
    plain.lose_answer.store(false, Ordering::SeqCst);
    assert_eq!(order(&entry, "k1").problem().1, RunState::Unknown);
    assert_eq!(plain.runs(), 1);
}

#[test]
fn a_key_of_another_request_is_refused() {
    let world = World::new();
    let plain = Plain::spawn();
    let _agent = world.plain_agent("vm-1", &plain);
    let entry = world.entry("entry-1");
    assert_eq!(order(&entry, "k1").status, 200);
    let builder = super::cluster::request(entry.addr(), "orders")
        .header(crate::request_http::header_name::IDEMPOTENCY_KEY, "k1");
    let other = super::cluster::read(builder, &serde_json::json!({ "pillows": 41 }));
    assert_eq!(
        other.problem(),
        ("idempotency-key-reused", RunState::NotRun)
    );
    assert_eq!(plain.runs(), 1);
}

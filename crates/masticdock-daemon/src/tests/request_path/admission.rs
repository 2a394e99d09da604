//! Guards the checks and limits of the callers' listener, and `not_run`.

use masticdock_core::problem::RunState;
use serde_json::json;

use super::cluster::{World, order, prompt, read, request};
use super::fakes::{Engine, Plain, TableMode};
use crate::request_http::header_name;

#[test]
fn a_request_that_some_upstream_may_have_run_is_never_called_not_run() {
    let world = World::new();
    let lost = Plain::spawn();
    lost.lose_answer
        .store(true, std::sync::atomic::Ordering::SeqCst);
    let agent = world.plain_agent("vm-1", &lost);
    let entry = world.entry("entry-1");
    // The first attempt ends unknown; each later one is refused by the gate.
    let answer = std::thread::scope(|scope| {
        let caller = scope.spawn(|| order(&entry, "k1"));
        super::cluster::eventually("a first run", || lost.runs() == 1);
        agent.gate.set_leaving(true);
        caller.join().expect("a caller")
    });
    assert_eq!(answer.problem().1, RunState::Unknown);
    assert_eq!(lost.runs(), 1);
}

#[test]
fn an_unreachable_service_is_not_run() {
    let world = World::new();
    let entry = world.entry("entry-1");
    assert_eq!(
        prompt(&entry, "p").problem(),
        ("no-upstream", RunState::NotRun)
    );
}

#[test]
fn malformed_and_oversized_requests_are_refused_before_anything_runs() {
    let world = World::new();
    let plain = Plain::spawn();
    let _agent = world.plain_agent("vm-1", &plain);
    let entry = world.entry("entry-1");
    let body = json!({});
    let addr = entry.addr();
    let cases = [
        (request(addr, "nothing"), "unknown-service"),
        (request(addr, "orders"), "idempotency-key-required"),
        (
            request(addr, "orders").header(header_name::DEADLINE_MS, "soon"),
            "bad-request",
        ),
        (
            request(addr, "orders").header("X-Long", "x".repeat(20_000)),
            "header-too-large",
        ),
        (
            attohttpc::post(format!("http://{addr}/v1/orders")),
            "unauthorized",
        ),
    ];
    for (builder, slug) in cases {
        let answer = read(builder, &body);
        assert_eq!(answer.problem(), (slug, RunState::NotRun));
    }
    let large = json!({ "text": "x".repeat(2 << 20) });
    let answer = read(request(addr, "orders"), &large);
    assert_eq!(answer.problem(), ("body-too-large", RunState::NotRun));
    assert_eq!(plain.runs(), 0);
}

#[test]
fn an_agent_refuses_requests_that_are_not_signed_with_the_key() {
    let world = World::new();
    let engine = Engine::spawn("v1");
    let agent = world.engine_agent("vm-1", &engine);
    let url = format!("http://{}/v1/run/assistant", agent.proxy.addr());
    let builder = attohttpc::post(url)
        .header(header_name::WORKSPACE, "alpenruh")
        .header(header_name::REQUEST_ID, "r1")
        .header(header_name::SENT_AT, "0")
        .header(header_name::AUTH, "00".repeat(32));
    let answer = read(builder, &json!({ "prompt": "p" }));
    assert_eq!(answer.problem(), ("unauthorized", RunState::NotRun));
    assert!(engine.runs().is_empty());
}

#[test]
fn a_draining_entry_refuses_new_requests_and_ends_the_others() {
    let world = World::new();
    let plain = Plain::spawn();
    let _agent = world.plain_agent("vm-1", &plain);
    let entry = world.entry("entry-1");
    let hold = super::fakes::lock(&plain.hold);
    std::thread::scope(|scope| {
        let first = scope.spawn(|| order(&entry, "k1"));
        super::cluster::eventually("the first one runs", || plain.runs() == 1);
        entry.begin_drain();
        let refused = order(&entry, "k2");
        assert_eq!(refused.problem(), ("stopping", RunState::NotRun));
        assert!(entry.in_flight() > 0);
        drop(hold);
        assert_eq!(first.join().expect("a caller").status, 200);
    });
    assert!(entry.wait_idle(std::time::Duration::from_secs(10)));
}

#[test]
fn a_claim_of_a_dead_vm_has_an_unknown_outcome() {
    let world = World::new();
    let plain = Plain::spawn();
    let _agents = [
        world.plain_agent("vm-1", &plain),
        world.plain_agent("vm-2", &plain),
    ];
    let entry = world.entry("entry-1");
    let hold = super::fakes::lock(&plain.hold);
    std::thread::scope(|scope| {
        let first = scope.spawn(|| order(&entry, "k1"));
        super::cluster::eventually("the first one runs", || plain.runs() == 1);
        world.declare_dead("vm-1");
        world.declare_dead("vm-2");
        let _agent = world.plain_agent("vm-3", &plain);
        let second = order(&entry, "k1");
        assert_eq!(second.problem(), ("outcome-unknown", RunState::Unknown));
        drop(hold);
        assert_eq!(first.join().expect("a caller").status, 200);
    });
    world.table.set(TableMode::Up);
    assert_eq!(plain.runs(), 1);
}

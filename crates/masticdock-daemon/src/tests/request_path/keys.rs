//! Idempotency keys: non-idempotent requests must not run twice, and requests that ran must not be
//! reported as `not_run`.

use std::sync::atomic::Ordering;
use std::time::Duration;

use masticdock_core::problem::{Problem, ProblemKind, RunState};

use super::cluster::{TestCluster, eventually, post_order};
use super::fakes::{FakeService, TableMode, lock, spawn_recovering_agent, spawn_repeating_service};

/// Guards against a failed or second run of a request when the table applies each write but its
/// response is lost.
#[test]
fn a_request_runs_once_when_responses_to_table_writes_are_lost() {
    let cluster = TestCluster::new();
    let plain = FakeService::spawn();
    let _agent = cluster.plain_agent("vm-1", &plain);
    let entry = cluster.entry("entry-1");
    cluster.table.set_mode(TableMode::DropResponses);
    let first = post_order(&entry, "k1");
    assert_eq!(first.status, 200, "{first:?}");
    let second = post_order(&entry, "k1");
    assert_eq!(second.body, first.body);
    assert_eq!(plain.runs(), 1);
}

/// Guards against a request that runs without a claim of its key while the table is unavailable,
/// and against a key that stays blocked after recovery.
#[test]
fn nothing_runs_while_the_table_is_down_and_the_key_runs_once_after_recovery() {
    let cluster = TestCluster::new();
    let plain = FakeService::spawn();
    let _agent = cluster.plain_agent("vm-1", &plain);
    let entry = cluster.entry("entry-1");
    for mode in [TableMode::Down, TableMode::DropRequests] {
        cluster.table.set_mode(mode);
        let rejected = post_order(&entry, "k1");
        assert_eq!(rejected.problem(), ("table-unavailable", RunState::NotRun));
        assert_eq!(plain.runs(), 0);
    }
    cluster.table.set_mode(TableMode::Up);
    // The agent first releases the claim whose write was lost, in the background.
    eventually("the claim is released", || {
        post_order(&entry, "k1").status == 200
    });
    assert_eq!(post_order(&entry, "k1").status, 200);
    assert_eq!(plain.runs(), 1);
}

/// Guards against a key that stays blocked by a claim whose write had an unknown outcome: the
/// caller was told `not_run`, so a resent request must run.
#[test]
fn a_claim_with_an_unknown_outcome_is_released_and_the_key_can_be_used() {
    let cluster = TestCluster::new();
    let plain = FakeService::spawn();
    let agent = cluster.plain_agent("vm-1", &plain);
    let entry = cluster.entry("entry-1");
    cluster.table.set_mode(TableMode::DropRequests);
    assert_eq!(post_order(&entry, "k1").problem().1, RunState::NotRun);
    cluster.table.set_mode(TableMode::Up);
    eventually("the claim is settled", || agent.proxy.in_progress() == 0);
    assert_eq!(cluster.table.states(), ["released"]);
    assert_eq!(post_order(&entry, "k1").status, 200);
    assert_eq!(plain.runs(), 1);
}

/// Guards against a second run when a caller sends the request again through another entry.
#[test]
fn a_request_resent_through_another_entry_gets_the_stored_response() {
    let cluster = TestCluster::new();
    let plain = FakeService::spawn();
    let _agents = [
        cluster.plain_agent("vm-1", &plain),
        cluster.plain_agent("vm-2", &plain),
    ];
    let entries = [cluster.entry("entry-1"), cluster.entry("entry-2")];
    let first = post_order(&entries[0], "k1");
    for entry in &entries {
        assert_eq!(post_order(entry, "k1").body, first.body);
    }
    assert_eq!(plain.runs(), 1);
}

/// Guards against a second run when a caller sends the request again before the first run ends.
#[test]
fn a_request_resent_while_it_runs_is_rejected_as_in_progress() {
    let cluster = TestCluster::new();
    let plain = FakeService::spawn();
    let _agents = [
        cluster.plain_agent("vm-1", &plain),
        cluster.plain_agent("vm-2", &plain),
    ];
    let entries = [cluster.entry("entry-1"), cluster.entry("entry-2")];
    let response_guard = lock(&plain.response_lock);
    std::thread::scope(|scope| {
        let first = scope.spawn(|| post_order(&entries[0], "k1"));
        eventually("the first request runs", || plain.runs() == 1);
        let second = post_order(&entries[1], "k1");
        assert_eq!(second.problem(), ("request-in-progress", RunState::Unknown));
        drop(response_guard);
        assert_eq!(first.join().expect("a caller").status, 200);
    });
    assert_eq!(plain.runs(), 1);
}

/// Guards against a second run after the connection to the service broke: the first run may have
/// had an effect.
#[test]
fn a_request_whose_response_was_lost_stays_unknown_and_does_not_run_twice() {
    let cluster = TestCluster::new();
    let plain = FakeService::spawn();
    let _agents = [
        cluster.plain_agent("vm-1", &plain),
        cluster.plain_agent("vm-2", &plain),
    ];
    let entry = cluster.entry("entry-1");
    plain.drop_response.store(true, Ordering::SeqCst);
    let first = post_order(&entry, "k1");
    assert_eq!(first.problem().1, RunState::Unknown);
    plain.drop_response.store(false, Ordering::SeqCst);
    assert_eq!(post_order(&entry, "k1").problem().1, RunState::Unknown);
    assert_eq!(plain.runs(), 1);
}

/// Guards against an unknown outcome, long before the deadline, of a request whose first attempt broke
/// and whose outcome can be asked for again: the first attempt still runs, or the table is down.
#[test]
fn the_outcome_of_a_broken_attempt_is_asked_for_until_the_deadline() {
    let cases = [
        (ProblemKind::RequestInProgress, Duration::from_secs(12)),
        (ProblemKind::TableUnavailable, Duration::from_secs(2)),
    ];
    std::thread::scope(|scope| {
        for (kind, duration) in cases {
            scope.spawn(move || {
                let cluster = TestCluster::new();
                let problem = Problem::not_run(kind, "later");
                let agent = spawn_recovering_agent(problem, duration);
                cluster.publish_agent("vm-1", agent, "orders", None);
                let response = post_order(&cluster.entry("entry-1"), "k1");
                assert_eq!(response.status, 200, "{kind:?}: {response:?}");
            });
        }
    });
}

/// Guards against a rejection that an upstream repeats on a kept connection and that is taken for the
/// response to the next request.
#[test]
fn a_repeated_rejection_answers_no_other_request() {
    let cluster = TestCluster::new();
    let _agent = cluster.plain_agent_at("vm-1", spawn_repeating_service());
    let entry = cluster.entry("entry-1");
    for key in ["k1", "k2", "k3"] {
        let response = post_order(&entry, key);
        assert_eq!(response.status, 200, "{response:?}");
    }
}

/// Guards against returning the stored response of one request for a different request that has
/// the same key.
#[test]
fn a_key_used_by_a_different_request_is_rejected() {
    let cluster = TestCluster::new();
    let plain = FakeService::spawn();
    let _agent = cluster.plain_agent("vm-1", &plain);
    let entry = cluster.entry("entry-1");
    assert_eq!(post_order(&entry, "k1").status, 200);
    let builder = super::cluster::request(entry.addr(), "orders")
        .header(crate::request_http::header_name::IDEMPOTENCY_KEY, "k1");
    let other = super::cluster::send_json(builder, &serde_json::json!({ "pillows": 41 }));
    assert_eq!(
        other.problem(),
        ("idempotency-key-reused", RunState::NotRun)
    );
    assert_eq!(plain.runs(), 1);
}

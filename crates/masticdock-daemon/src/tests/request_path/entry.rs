//! Checks and limits of the callers' listener, and the `not_run` outcome.

use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use masticdock_core::problem::{Problem, RunState};
use serde_json::json;

use super::cluster::{TestCluster, post_order, post_prompt, request, send_json};
use super::fakes::{FakeEngine, FakeService, TableMode, loopback};
use crate::control::ControlMsg;
use crate::drain::leave_when_idle;
use crate::request_http::{
    AGENT_EVENT_BYTES_MAX, EventReader, HandlerLimits, Listener, header_name, respond,
};

/// Guards against `not_run` for a request that ran: the first attempt has an unknown outcome, and
/// the rejection of a later attempt must not replace it.
#[test]
fn a_request_that_an_upstream_may_have_run_is_never_reported_as_not_run() {
    let cluster = TestCluster::new();
    let failing_service = FakeService::spawn();
    failing_service
        .drop_response
        .store(true, std::sync::atomic::Ordering::SeqCst);
    let agent = cluster.plain_agent("vm-1", &failing_service);
    let entry = cluster.entry("entry-1");
    // The first attempt has an unknown outcome; the gate rejects each later one.
    let response = std::thread::scope(|scope| {
        let caller = scope.spawn(|| post_order(&entry, "k1"));
        super::cluster::eventually("a first run", || failing_service.runs() == 1);
        agent.gate.set_leaving(true);
        caller.join().expect("a caller")
    });
    assert_eq!(response.problem().1, RunState::Unknown);
    assert_eq!(failing_service.runs(), 1);
}

/// Guards against a status that ends no request and that a caller takes for an answer.
#[test]
fn a_response_of_a_service_without_a_final_status_is_an_error() {
    let cluster = TestCluster::new();
    let plain = FakeService::spawn();
    let _agent = cluster.plain_agent("vm-1", &plain);
    let entry = cluster.entry("entry-1");
    for (status, key) in [(101, "k1"), (600, "k2"), (999, "k3")] {
        plain.status.store(status, Ordering::SeqCst);
        let response = post_order(&entry, key);
        assert_eq!(response.problem(), ("upstream-error", RunState::Unknown));
    }
}

/// Guards against the same in what an agent in trouble tells of a service's response.
#[test]
fn an_answer_event_without_a_final_status_is_malformed() {
    for (status, is_valid) in [
        (0, false),
        (101, false),
        (200, true),
        (599, true),
        (600, false),
    ] {
        let answer = json!({ "status": status, "content_type": "a/b", "body": "{}" });
        let event = format!("event: answer\ndata: {answer}\n\n");
        let read = EventReader::new(event.as_bytes(), AGENT_EVENT_BYTES_MAX).next_event();
        assert_eq!(read.is_ok(), is_valid, "{status}: {read:?}");
    }
}

/// Guards against an unknown outcome for a request that was sent to no upstream.
#[test]
fn a_request_without_an_upstream_is_reported_as_not_run() {
    let cluster = TestCluster::new();
    let entry = cluster.entry("entry-1");
    assert_eq!(
        post_prompt(&entry, "p").problem(),
        ("no-upstream", RunState::NotRun)
    );
}

/// Guards against invalid, unauthenticated or oversized requests that reach an upstream.
#[test]
fn malformed_and_oversized_requests_are_rejected_before_anything_runs() {
    let cluster = TestCluster::new();
    let plain = FakeService::spawn();
    let _agent = cluster.plain_agent("vm-1", &plain);
    let entry = cluster.entry("entry-1");
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
        let response = send_json(builder, &body);
        assert_eq!(response.problem(), (slug, RunState::NotRun));
    }
    let large = json!({ "text": "x".repeat(2 << 20) });
    let response = send_json(request(addr, "orders"), &large);
    assert_eq!(response.problem(), ("body-too-large", RunState::NotRun));
    assert_eq!(plain.runs(), 0);
}

/// Guards against requests that bypass the entry and its checks.
#[test]
fn an_agent_rejects_requests_without_a_valid_signature() {
    let cluster = TestCluster::new();
    let engine = FakeEngine::spawn("v1");
    let agent = cluster.engine_agent("vm-1", &engine);
    let url = format!("http://{}/v1/run/assistant", agent.proxy.addr());
    let builder = attohttpc::post(url)
        .header(header_name::WORKSPACE, "alpenruh")
        .header(header_name::REQUEST_ID, "r1")
        .header(header_name::SENT_AT, "0")
        .header(header_name::AUTH, "00".repeat(32));
    let response = send_json(builder, &json!({ "prompt": "p" }));
    assert_eq!(response.problem(), ("unauthorized", RunState::NotRun));
    assert!(engine.runs().is_empty());
}

/// Guards against a shutdown that cuts off requests in flight or accepts new ones.
#[test]
fn a_draining_entry_rejects_new_requests_and_completes_those_in_flight() {
    let cluster = TestCluster::new();
    let plain = FakeService::spawn();
    let _agent = cluster.plain_agent("vm-1", &plain);
    let entry = cluster.entry("entry-1");
    let response_guard = super::fakes::lock(&plain.response_lock);
    std::thread::scope(|scope| {
        let first = scope.spawn(|| post_order(&entry, "k1"));
        super::cluster::eventually("the first request runs", || plain.runs() == 1);
        entry.begin_drain();
        let rejected = post_order(&entry, "k2");
        assert_eq!(rejected.problem(), ("stopping", RunState::NotRun));
        assert!(entry.in_flight() > 0);
        drop(response_guard);
        assert_eq!(first.join().expect("a caller").status, 200);
    });
    assert!(entry.wait_idle(std::time::Duration::from_secs(10)));
}

/// Guards against a process that ends while it rejects a request which arrived after its last check.
#[test]
fn a_stopping_process_ends_only_while_no_request_is_in_progress() {
    let cluster = TestCluster::new();
    let in_progress = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for message in cluster.messages.iter().take(2) {
                let late = usize::from(matches!(message, ControlMsg::Left));
                in_progress.store(late, Ordering::SeqCst);
            }
            std::thread::sleep(Duration::from_secs(1));
            in_progress.store(0, Ordering::SeqCst);
        });
        leave_when_idle(&cluster.control, || in_progress.load(Ordering::SeqCst));
        assert_eq!(in_progress.load(Ordering::SeqCst), 0);
    });
}

/// Guards against callers that keep a connection to a stopping process and lose the request that
/// they send when it ends.
#[test]
fn a_draining_entry_tells_callers_to_close_their_connections() {
    let cluster = TestCluster::new();
    let entry = cluster.entry("entry-1");
    entry.begin_drain();
    let mut connection = TcpStream::connect(entry.addr()).expect("a connection");
    let request = "POST /v1/orders HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";
    // The second request shows that the first response has the length that it states.
    for _ in 0..2 {
        connection.write_all(request.as_bytes()).expect("a write");
        let mut head = String::new();
        let mut reader = BufReader::new(&connection);
        while !head.ends_with("\r\n\r\n") {
            assert_ne!(reader.read_line(&mut head).expect("a line"), 0, "{head}");
        }
        assert!(head.starts_with("HTTP/1.1 503 "), "{head}");
        assert!(head.contains("Connection: close\r\n"), "{head}");
        let length = head.split("Content-Length: ").nth(1).expect("a length");
        let length: usize = length
            .lines()
            .next()
            .expect("a line")
            .parse()
            .expect("a number");
        let mut body = vec![0; length];
        reader.read_exact(&mut body).expect("a body");
        let problem: Problem = serde_json::from_slice(&body).expect("a problem");
        assert_eq!(problem.kind.slug(), "stopping");
    }
}

/// Guards against a listener that stops because its handlers panic.
#[test]
fn panicking_handlers_do_not_stop_a_listener() {
    let limits = HandlerLimits {
        body_bytes_max: 1 << 10,
        header_bytes_max: 1 << 10,
        requests_max: 16,
    };
    let listener = Listener::spawn("panics", loopback(), limits, |request| {
        assert_ne!(request.url(), "/panic", "a panic that the test asks for");
        respond(request, 200, "text/plain", &[], Vec::new());
    });
    let listener = listener.expect("a listener");
    let status = |path: &str| {
        let response = attohttpc::get(format!("http://{}{path}", listener.addr())).send();
        response.map(|response| response.status().as_u16()).ok()
    };
    for _ in 0..64 {
        assert_ne!(status("/panic"), Some(200));
    }
    assert_eq!(status("/"), Some(200));
    super::cluster::eventually("no request is in flight", || listener.in_flight() == 0);
}

/// Guards against a second run of a request whose key was claimed by a VM that died before it
/// stored the outcome.
#[test]
fn a_claim_of_a_dead_vm_has_an_unknown_outcome() {
    let cluster = TestCluster::new();
    let plain = FakeService::spawn();
    let _agents = [
        cluster.plain_agent("vm-1", &plain),
        cluster.plain_agent("vm-2", &plain),
    ];
    let entry = cluster.entry("entry-1");
    let response_guard = super::fakes::lock(&plain.response_lock);
    std::thread::scope(|scope| {
        let first = scope.spawn(|| post_order(&entry, "k1"));
        super::cluster::eventually("the first request runs", || plain.runs() == 1);
        cluster.mark_dead("vm-1");
        cluster.mark_dead("vm-2");
        let _agent = cluster.plain_agent("vm-3", &plain);
        let second = post_order(&entry, "k1");
        assert_eq!(second.problem(), ("outcome-unknown", RunState::Unknown));
        drop(response_guard);
        assert_eq!(first.join().expect("a caller").status, 200);
    });
    cluster.table.set_mode(TableMode::Up);
    assert_eq!(plain.runs(), 1);
}

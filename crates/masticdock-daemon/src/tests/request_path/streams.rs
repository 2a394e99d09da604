//! Streamed responses that break, are resumed or are abandoned by the caller.

use std::sync::atomic::Ordering;
use std::time::Duration;

use masticdock_core::problem::RunState;
use serde_json::json;

use super::cluster::{TestCluster, eventually, post_prompt, request, stream_completion};
use super::fakes::{
    EngineBehavior, FakeEngine, spawn_cut_head, spawn_cut_rejection, spawn_endless_engine,
    spawn_silent_agent,
};
use crate::agent::GateState;

/// Guards against lost, reordered or unversioned tokens, both streamed and in one response.
#[test]
fn tokens_reach_the_caller_in_order_with_one_version() {
    let cluster = TestCluster::new();
    let engine = FakeEngine::spawn("v1");
    let _agent = cluster.engine_agent("vm-1", &engine);
    let entry = cluster.entry("entry-1");
    let streamed = stream_completion(&entry, 5);
    assert!(streamed.done);
    assert_eq!(streamed.text, FakeEngine::text("v1", 0, 5));
    let whole = post_prompt(&entry, "p");
    assert_eq!(whole.status, 200);
    assert_eq!(whole.version.as_deref(), Some("v1"));
    assert_eq!(whole.body["text"], FakeEngine::text("v1", 0, 6));
}

/// Guards against repeated or missing tokens, or tokens of another version, when a stream is
/// resumed on another upstream.
#[test]
fn a_broken_stream_is_resumed_at_its_offset_on_the_same_version() {
    let cluster = TestCluster::new();
    let engines = [FakeEngine::spawn("v1"), FakeEngine::spawn("v1")];
    let _agents = [
        cluster.engine_agent("vm-1", &engines[0]),
        cluster.engine_agent("vm-2", &engines[1]),
    ];
    let entry = cluster.entry("entry-1");
    for engine in &engines {
        engine.set_behavior(EngineBehavior::DisconnectOnceAt(2));
    }
    let streamed = stream_completion(&entry, 6);
    let runs: Vec<_> = engines.iter().flat_map(|engine| engine.runs()).collect();
    assert!(runs.iter().any(|run| run.resume_from == 2), "{runs:?}");
    assert_eq!(streamed.versions, ["v1"]);
    assert!(streamed.done, "{streamed:?}");
    assert_eq!(streamed.text, FakeEngine::text("v1", 0, 6));
}

/// Guards against a response that mixes versions or ends without an error when the stream breaks
/// and only an upstream with another version is left.
#[test]
fn a_broken_stream_ends_with_an_error_event_when_no_upstream_has_its_version() {
    let cluster = TestCluster::new();
    let broken_engine = FakeEngine::spawn("v1");
    broken_engine.set_behavior(EngineBehavior::DisconnectAt(2));
    let _agent = cluster.engine_agent("vm-1", &broken_engine);
    let entry = cluster.entry("entry-1");
    let other_engine = FakeEngine::spawn("v2");
    let streamed = std::thread::scope(|scope| {
        let caller = scope.spawn(|| stream_completion(&entry, 6));
        eventually("a first run", || !broken_engine.runs().is_empty());
        let _other = cluster.engine_agent("vm-2", &other_engine);
        caller.join().expect("a caller")
    });
    assert!(!streamed.done);
    assert_eq!(streamed.versions, ["v1"]);
    assert_eq!(streamed.text, FakeEngine::text("v1", 0, 2));
    let problem = streamed.problem.expect("an error event");
    assert_eq!(problem.kind.slug(), "stream-broken");
    assert_eq!(problem.run_state, RunState::Unknown);
    assert!(other_engine.runs().is_empty());
}

/// Guards against a stream that ends as if complete, or with foreign text in its middle, because the
/// upstream that it is resumed on answers with something other than its next tokens.
#[test]
fn an_answer_that_does_not_continue_a_broken_stream_is_not_taken_for_its_end() {
    const JSON: &str = "application/json";
    const EVENTS: &str = "text/event-stream";
    let answers = [
        (404, JSON, "{\"error\": \"no such run\"}"),
        (409, "text/plain", "data: [DONE]\n\n"),
        (204, JSON, ""),
        (500, JSON, "{\"error\": \"cannot resume\"}"),
        (200, JSON, "{\"text\": \"whole\"}"),
        (200, "text/plain", "no events\n\nat all\n\n"),
        (
            200,
            EVENTS,
            "data: text without an index\n\ndata: [DONE]\n\n",
        ),
        (200, EVENTS, "data: {\"text\": \"a\"}\n\ndata: [DONE]\n\n"),
    ];
    let cluster = TestCluster::new();
    let engine = FakeEngine::spawn("v1");
    let _agent = cluster.engine_agent("vm-1", &engine);
    for (status, media_type, body) in answers {
        let entry = cluster.entry("entry-1");
        engine.set_behavior(EngineBehavior::AnswerResume(status, media_type, body));
        let streamed = stream_completion(&entry, 6);
        let case = format!("{status} {media_type} {body}: {streamed:?}");
        assert!(!streamed.done, "{case}");
        assert_eq!(streamed.text, FakeEngine::text("v1", 0, 2), "{case}");
        assert!(streamed.problem.is_some(), "{case}");
    }
}

/// Guards against a stream that is cut although its deadline is far, because for some seconds no
/// upstream can continue it.
#[test]
fn a_broken_stream_is_resumed_when_its_only_upstream_returns_after_seconds() {
    let cluster = TestCluster::new();
    let engine = FakeEngine::spawn("v1");
    engine.set_behavior(EngineBehavior::DisconnectOnceAt(2));
    let agent = cluster.engine_agent("vm-1", &engine);
    let entry = cluster.entry("entry-1");
    let streamed = std::thread::scope(|scope| {
        let caller = scope.spawn(|| stream_completion(&entry, 6));
        eventually("a first run", || !engine.runs().is_empty());
        agent.gate.set_state(GateState::Draining);
        std::thread::sleep(Duration::from_secs(3));
        let version = "v1".parse().expect("a version");
        agent.gate.set_state(GateState::Serving(Some(version)));
        caller.join().expect("a caller")
    });
    assert!(streamed.done, "{streamed:?}");
    assert_eq!(streamed.text, FakeEngine::text("v1", 0, 6));
}

/// Guards against an error text of the engine that reaches the caller cut off, as if it were whole.
#[test]
fn a_cut_rejection_by_the_engine_is_not_taken_for_its_answer() {
    let cluster = TestCluster::new();
    let _agent = cluster.engine_agent_at("vm-1", spawn_cut_rejection());
    let entry = cluster.entry("entry-1");
    let body = json!({ "prompt": "p", "max_tokens": 6 }).to_string();
    let response = request(entry.addr(), "assistant").text(body).send();
    let text = response.expect("an answer").text_utf8().expect("a body");
    assert_eq!(text, r#"{"error": "prompt too long"}"#);
}

/// Guards against a stream that is cut because its next upstream rejects it for some seconds.
#[test]
fn a_broken_stream_outlasts_rejections_by_an_overloaded_engine() {
    let cluster = TestCluster::new();
    let engine = FakeEngine::spawn("v1");
    engine.set_behavior(EngineBehavior::AnswerResume(
        503,
        "text/plain",
        "queue full",
    ));
    let _agent = cluster.engine_agent("vm-1", &engine);
    let entry = cluster.entry("entry-1");
    let streamed = std::thread::scope(|scope| {
        let caller = scope.spawn(|| stream_completion(&entry, 6));
        std::thread::sleep(Duration::from_secs(4));
        engine.set_behavior(EngineBehavior::Complete);
        caller.join().expect("a caller")
    });
    assert!(streamed.done, "{streamed:?}");
    assert_eq!(streamed.text, FakeEngine::text("v1", 0, 6));
}

/// Guards against a stream that is cut because the retry budget is empty when it breaks.
#[test]
fn a_broken_stream_is_resumed_once_the_retry_budget_allows_it() {
    let mut cluster = TestCluster::new();
    cluster.requests = json!({ "retry_budget_percent": 100 });
    let engine = FakeEngine::spawn("v1");
    let _agent = cluster.engine_agent("vm-1", &engine);
    let entry = cluster.entry("entry-1");
    engine.set_behavior(EngineBehavior::DisconnectAt(0));
    for _ in 0..4 {
        assert_eq!(post_prompt(&entry, "p").problem().1, RunState::Unknown);
    }
    engine.set_behavior(EngineBehavior::DisconnectOnceAt(2));
    let failed_runs = engine.runs().len();
    let streamed = std::thread::scope(|scope| {
        let caller = scope.spawn(|| stream_completion(&entry, 6));
        eventually("a first run", || engine.runs().len() > failed_runs);
        std::thread::sleep(Duration::from_millis(500));
        engine.set_behavior(EngineBehavior::Complete);
        assert_eq!(post_prompt(&entry, "p").status, 200);
        caller.join().expect("a caller")
    });
    assert!(streamed.done, "{streamed:?}");
    assert_eq!(streamed.text, FakeEngine::text("v1", 0, 6));
}

/// Guards against a second run of a request whose engine is silent for a moment, before or within its
/// response, while its agent is alive.
#[test]
fn silence_of_an_engine_is_not_taken_for_a_stall_of_its_agent() {
    let cluster = TestCluster::new();
    let engine = FakeEngine::spawn("v1");
    let _agent = cluster.engine_agent("vm-1", &engine);
    let entry = cluster.entry("entry-1");
    for at in [0, 2] {
        engine.set_behavior(EngineBehavior::SilentAt(at));
        let streamed = stream_completion(&entry, 4);
        assert!(streamed.done, "{streamed:?}");
        assert_eq!(streamed.text, FakeEngine::text("v1", 0, 4));
    }
    assert_eq!(engine.runs().len(), 2);
}

/// Guards against a stream that is cut because its agent is silent for a moment and no retry is left.
#[test]
fn silence_does_not_end_a_stream_that_cannot_be_sent_again() {
    let mut cluster = TestCluster::new();
    cluster.requests = json!({ "stall_timeout_ms": 300, "attempts_max": 1 });
    let agent = spawn_silent_agent(Duration::from_millis(1_200));
    let version = "v1".parse().expect("a version");
    cluster.publish_agent("vm-1", agent, "assistant", Some(version));
    let entry = cluster.entry("entry-1");
    let streamed = stream_completion(&entry, 2);
    assert!(streamed.done, "{streamed:?}");
    assert_eq!(streamed.text, FakeEngine::text("v1", 0, 2));
}

/// Guards against engine work and in-flight counts that outlive a disconnected caller.
#[test]
fn a_caller_disconnect_cancels_the_request_in_the_engine() {
    let cluster = TestCluster::new();
    let engine = FakeEngine::spawn("v1");
    engine.set_behavior(EngineBehavior::Endless);
    let agent = cluster.engine_agent("vm-1", &engine);
    let entry = cluster.entry("entry-1");
    let body = json!({ "prompt": "p", "max_tokens": 4, "stream": true });
    let response = request(entry.addr(), "assistant")
        .text(body.to_string())
        .send();
    eventually("a first run", || agent.proxy.in_progress() > 0);
    drop(response);
    eventually("the engine detects the disconnect", || {
        engine.cancelled.load(Ordering::SeqCst)
    });
    eventually("no request is in flight", || {
        agent.gate.in_progress() == 0 && entry.in_flight() == 0
    });
}

/// Guards against requests that fail because an upstream closed its gate before the published
/// snapshot shows that it is leaving.
#[test]
fn requests_succeed_while_an_upstream_is_leaving() {
    let cluster = TestCluster::new();
    let engines = [FakeEngine::spawn("v1"), FakeEngine::spawn("v1")];
    let leaving = cluster.engine_agent("vm-1", &engines[0]);
    let _agent = cluster.engine_agent("vm-2", &engines[1]);
    let entry = cluster.entry("entry-1");
    leaving.gate.set_leaving(true);
    for number in 0..20 {
        let completion = post_prompt(&entry, &format!("prompt {number}"));
        assert_eq!(completion.status, 200, "{completion:?}");
    }
    assert!(engines[0].runs().is_empty());
}

/// Guards against an engine's bytes without end that fill the memory of its agent, wherever
/// they come: in a status line or header, an error text, an event, or between events.
#[test]
fn bytes_of_an_engine_without_end_are_read_up_to_a_limit() {
    /// Limit of a response, and what the buffers of the sockets may hold besides.
    const SENT_BYTES_MAX: u64 = 40 << 20;
    const EVENTS: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
    let block = "x".repeat(16_384);
    let answers = [
        ("", block.clone()),
        ("HTTP/1.1 200 OK\r\n", "X-Line: x\r\n".repeat(100)),
        (
            "HTTP/1.1 500 Error\r\nConnection: close\r\n\r\n",
            block.clone(),
        ),
        (EVENTS, block.clone()),
        (EVENTS, format!("data: {block}\n")),
        (EVENTS, ": comment\n".repeat(1_000)),
    ];
    for (head, repeated) in answers {
        let start: String = repeated.chars().take(12).collect();
        let cluster = TestCluster::new();
        let (addr, sent_bytes) = spawn_endless_engine(head, repeated);
        let _agent = cluster.engine_agent_at("vm-1", addr);
        let entry = cluster.entry("entry-1");
        let response = post_prompt(&entry, "p");
        let sent_bytes = sent_bytes.load(Ordering::SeqCst);
        assert!(response.status >= 500, "{head:?} {start:?}");
        assert!(sent_bytes > 0, "{head:?} {start:?} was not sent");
        assert!(
            sent_bytes < SENT_BYTES_MAX,
            "{head:?} {start:?}: {sent_bytes} bytes"
        );
    }
}

/// A response whose connection ends within its head is none, wherever the head is cut.
#[test]
fn a_response_of_an_engine_that_ends_within_its_head_is_no_success() {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    let cluster = TestCluster::new();
    let _agent = cluster.engine_agent_at("vm-1", spawn_cut_head(head));
    let entry = cluster.entry("entry-1");
    for _ in 0..head.len() {
        let response = post_prompt(&entry, "p");
        assert_ne!(response.status, 200);
    }
}

//! Tests the engine and plain stand-ins through the engine client and plain HTTP.

use std::io::{BufRead, BufReader};
use std::thread;
use std::time::{Duration, Instant};

use masticdock_core::ids::{Digest, Fence};
use masticdock_core::units::ByteCount;
use masticdock_platform::{
    EngineClient, EngineState, EngineStatus, HttpSettings, LoadOrder, PlatformErrorKind,
};
use masticdock_standins::engine::{self, EngineOptions, completion_text, token_text};
use masticdock_standins::{Faults, LedgerPage, Outcome, Running, origin, plain};
use serde_json::{Value as Json, json};

/// Timeout of waits for a state; the tests do not assert elapsed times.
const WAIT_MAX: Duration = Duration::from_secs(20);
const SIZE_BYTES: usize = 200_000;

struct Engine {
    running: Running,
    client: EngineClient,
    origin: Running,
}

fn start(options: EngineOptions) -> Engine {
    let any = "127.0.0.1:0".parse().unwrap();
    let running = engine::spawn(any, options).unwrap();
    Engine {
        client: EngineClient::new(running.url(), HttpSettings::default()),
        running,
        origin: origin::spawn(any, 0).unwrap(),
    }
}

fn fast_options() -> EngineOptions {
    EngineOptions {
        load_ms: 0,
        token_interval_ms: 1,
        report_lag_ms: 0,
        restart_ms: 50,
        ..EngineOptions::default()
    }
}

impl Engine {
    fn order(&self, version: &str, fence: u64) -> LoadOrder {
        let path = format!("/generated/{SIZE_BYTES}/{version}");
        LoadOrder {
            fence: Fence(fence),
            version: version.parse().unwrap(),
            weights_url: format!("{}{path}", self.origin.url()),
            root: Digest::of(&origin::generated(&path, 0, SIZE_BYTES)),
            size_bytes: ByteCount(SIZE_BYTES as u64),
            adapters: Vec::new(),
        }
    }

    fn wait(&self, condition: impl Fn(&EngineStatus) -> bool) -> EngineStatus {
        let started_at = Instant::now();
        loop {
            if let Ok(status) = self.client.status()
                && condition(&status)
            {
                return status;
            }
            assert!(
                started_at.elapsed() < WAIT_MAX,
                "{:?}",
                self.client.status()
            );
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn load(&self, version: &str) {
        self.client.load(&self.order(version, 1)).unwrap();
        self.wait(|status| status.state == EngineState::Ready);
    }

    fn post(&self, id: &str, body: &Json) -> attohttpc::Result<attohttpc::Response> {
        attohttpc::post(format!("{}/v1/completions", self.running.url()))
            .header("X-Request-Id", id)
            .json(body)?
            .send()
    }

    fn ledger(&self) -> LedgerPage {
        let response = attohttpc::get(format!("{}/ledger", self.running.url())).send();
        response.unwrap().json().unwrap()
    }

    fn wait_outcome(&self, id: &str) -> Outcome {
        let started_at = Instant::now();
        loop {
            assert!(started_at.elapsed() < WAIT_MAX);
            let page = self.ledger();
            let entry = page.entries.iter().find(|entry| entry.request_id == id);
            match entry.map(|entry| entry.outcome) {
                None | Some(Outcome::Running) => thread::sleep(Duration::from_millis(5)),
                Some(outcome) => return outcome,
            }
        }
    }
}

/// Guards against a root digest that is copied from the order rather than computed.
#[test]
fn loads_and_reports_the_root_digest() {
    let engine = start(fast_options());
    assert_eq!(engine.client.status().unwrap().state, EngineState::Empty);
    let order = engine.order("v1", 1);
    engine.client.load(&order).unwrap();
    let status = engine.wait(|status| status.state == EngineState::Ready);
    assert_eq!(status.root, Some(order.root));
    let mut wrong = engine.order("v2", 1);
    wrong.root = order.root;
    engine.client.load(&wrong).unwrap();
    let status = engine.wait(|status| status.state == EngineState::Failed);
    assert!(status.reason.contains("root digest"), "{}", status.reason);
}

/// Guards against a superseded order that takes effect on an engine that checks the
/// fencing number, and against a status that reports a check when none is made.
#[test]
fn fence_is_checked_or_ignored() {
    let checking = start(EngineOptions {
        fence_checked: true,
        ..fast_options()
    });
    checking.client.load(&checking.order("v1", 5)).unwrap();
    let error = checking.client.load(&checking.order("v2", 4)).unwrap_err();
    assert_eq!(error.kind, PlatformErrorKind::Rejected);
    checking.client.load(&checking.order("v2", 5)).unwrap();
    assert_eq!(checking.client.status().unwrap().fence, Fence(5));
    let ignoring = start(fast_options());
    ignoring.client.load(&ignoring.order("v1", 5)).unwrap();
    ignoring.client.load(&ignoring.order("v2", 4)).unwrap();
    assert_eq!(ignoring.client.status().unwrap().fence, Fence(0));
}

/// Guards against a version that loads although it is listed in `bad_versions`.
#[test]
fn bad_version_fails_to_load() {
    let engine = start(EngineOptions {
        bad_versions: vec!["v2".to_owned()],
        ..fast_options()
    });
    engine.client.load(&engine.order("v2", 1)).unwrap();
    let status = engine.wait(|status| status.state == EngineState::Failed);
    assert!(status.reason.contains("v2"));
    assert_eq!(
        engine.post("r", &json!({"prompt": "p"})).unwrap().status(),
        503
    );
}

/// Guards against a resumed stream that duplicates or skips a token, and against a
/// text that tests cannot compute.
#[test]
fn stream_resumes_at_the_offset() {
    let engine = start(fast_options());
    engine.load("v1");
    let body = json!({"prompt": "p", "max_tokens": 6, "stream": true, "resume_from": 4});
    let text = engine.post("r1", &body).unwrap().text().unwrap();
    let event = |index| {
        let event = json!({"index": index, "text": token_text("v1", "p", index), "version": "v1"});
        format!("data: {event}\n\n")
    };
    assert_eq!(text, event(4) + &event(5) + "data: [DONE]\n\n");
    let body = json!({"prompt": "p", "max_tokens": 6});
    let answer: Json = engine.post("r2", &body).unwrap().json().unwrap();
    assert_eq!(answer["text"], completion_text("v1", "p", 0, 6));
    assert_eq!(engine.wait_outcome("r2"), Outcome::Complete);
}

/// Guards against events that are buffered until the response is complete, and
/// against a run that continues after its caller disconnected.
#[test]
fn events_are_flushed_and_a_disconnect_cancels_the_run() {
    for stream in [true, false] {
        let engine = start(fast_options());
        engine.load("v1");
        let body = json!({"prompt": "p", "max_tokens": 1_000_000, "stream": stream});
        let response = engine.post("r1", &body).unwrap();
        if stream {
            let mut line = String::new();
            BufReader::new(response).read_line(&mut line).unwrap();
            assert!(line.contains(&token_text("v1", "p", 0)), "{line}");
        } else {
            drop(response);
        }
        assert_eq!(engine.wait_outcome("r1"), Outcome::Cancelled);
    }
}

/// Guards against a crash that leaves open streams or the loaded version intact.
#[test]
fn crash_breaks_streams_and_unloads_the_version() {
    let engine = start(fast_options());
    engine.load("v1");
    let before = engine.client.status().unwrap().boot;
    let long = json!({"prompt": "p", "max_tokens": 1_000_000, "stream": true});
    let stream = engine.post("long", &long).unwrap();
    assert!(
        engine
            .post("crash", &json!({"prompt": "a CRASH b"}))
            .is_err()
    );
    assert!(stream.bytes().is_err());
    let status = engine.wait(|status| status.boot != before);
    assert_eq!(status.state, EngineState::Empty);
    assert_eq!(engine.wait_outcome("long"), Outcome::Crashed);
    assert_eq!(engine.wait_outcome("crash"), Outcome::Crashed);
}

/// Guards against a stream that mixes tokens of two versions.
#[test]
fn load_cuts_requests_in_progress() {
    let engine = start(fast_options());
    engine.load("v1");
    let long = json!({"prompt": "p", "max_tokens": 1_000_000, "stream": true});
    let stream = engine.post("long", &long).unwrap();
    engine.client.load(&engine.order("v2", 1)).unwrap();
    assert!(stream.bytes().is_err());
    assert_eq!(engine.wait_outcome("long"), Outcome::CutByLoad);
}

/// Guards against a queue that ignores priorities, and against a status without the
/// running and queued requests.
#[test]
fn higher_priority_leaves_the_queue_first() {
    let engine = start(EngineOptions {
        batch: 1,
        ..fast_options()
    });
    engine.load("v1");
    let post = |id: &str, max_tokens: u32, priority: i32| {
        let body = json!({"prompt": id, "max_tokens": max_tokens, "priority": priority});
        engine.post(id, &body).map(attohttpc::Response::text)
    };
    thread::scope(|scope| {
        let long = json!({"prompt": "l", "max_tokens": 1_000_000, "stream": true});
        let first = engine.post("first", &long).unwrap();
        scope.spawn(|| post("low", 20, 0));
        engine.wait(|status| (status.in_progress, status.queued) == (1, 1));
        scope.spawn(|| post("high", 200, 9));
        engine.wait(|status| (status.in_progress, status.queued) == (1, 2));
        drop(first);
        engine.wait(|status| (status.in_progress, status.queued) == (1, 1));
        assert_eq!(engine.wait_outcome("first"), Outcome::Cancelled);
        let low = |page: &LedgerPage| {
            let entry = page.entries.iter().find(|entry| entry.request_id == "low");
            entry.map(|entry| entry.outcome)
        };
        assert_eq!(engine.wait_outcome("high"), Outcome::Complete);
        assert_eq!(low(&engine.ledger()), Some(Outcome::Running));
    });
}

/// Guards against a load report without lag, with which tests would not cover routing
/// on stale load counts.
#[test]
fn load_report_lags() {
    let engine = start(EngineOptions {
        report_lag_ms: 3_600_000,
        ..fast_options()
    });
    engine.load("v1");
    let long = json!({"prompt": "p", "max_tokens": 1_000_000, "stream": true});
    let mut reader = BufReader::new(engine.post("long", &long).unwrap());
    reader.read_line(&mut String::new()).unwrap();
    assert_eq!(engine.client.status().unwrap().in_progress, 0);
}

/// Guards against a run that is missing in the ledger because its response was lost,
/// and against a second run that is not counted.
#[test]
fn plain_service_records_runs_with_lost_responses() {
    let running = plain::spawn("127.0.0.1:0".parse().unwrap(), 0).unwrap();
    let post = || {
        attohttpc::post(format!("{}/orders", running.url()))
            .header("X-Request-Id", "r1")
            .header("Idempotency-Key", "k1")
            .text("two wheels")
            .send()
    };
    running.faults.set(Faults {
        lose_answer: 1.0,
        times: Some(1),
        ..Faults::default()
    });
    assert!(post().is_err());
    let answer: Json = post().unwrap().json().unwrap();
    assert_eq!(answer["count"], 2);
    assert_eq!(answer["echo"], "two wheels");
    let url = format!("{}/ledger", running.url());
    let page: LedgerPage = attohttpc::get(url).send().unwrap().json().unwrap();
    let runs: Vec<_> = page
        .entries
        .iter()
        .map(|e| (e.key.as_str(), e.count))
        .collect();
    assert_eq!(runs, [("k1", 1), ("k1", 2)]);
}

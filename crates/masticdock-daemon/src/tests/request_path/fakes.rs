//! Fakes of an engine, a plain service and the table.

use std::collections::BTreeMap;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use masticdock_core::problem::Problem;
use serde_json::{Value, json};
use tiny_http::Request;

use crate::request_http::{
    HandlerLimits, Listener, header_name, header_value, respond, respond_problem,
};

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(super) fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn serve(handle: impl Fn(Request) + Send + Sync + 'static) -> SocketAddr {
    let limits = HandlerLimits {
        body_bytes_max: 1 << 20,
        header_bytes_max: 1 << 16,
        requests_max: 256,
    };
    let listener = Listener::spawn("fake", loopback(), limits, handle);
    listener.expect("a free port").addr()
}

fn read_json(request: &mut Request) -> Value {
    let mut body = Vec::new();
    request.as_reader().read_to_end(&mut body).expect("a body");
    serde_json::from_slice(&body).unwrap_or(Value::Null)
}

/// Behavior of the fake engine for completion requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EngineBehavior {
    /// Sends all tokens.
    Complete,
    /// Closes the connection at this token without a crash.
    DisconnectAt(u64),
    /// Closes the connection at this token unless the run started at or after it.
    DisconnectOnceAt(u64),
    /// Sends nothing for 2.5 s at this token.
    SilentAt(u64),
    /// Closes the connection of a new run at token 2 and answers a resumed one with this status,
    /// media type and body.
    AnswerResume(u16, &'static str, &'static str),
    /// Crashes at this token: the boot id changes and the connection closes.
    CrashAt(u64),
    /// Sends a token every 20 ms until the reader disconnects.
    Endless,
}

/// A completion request that the engine received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Run {
    pub(super) request_id: String,
    pub(super) resume_from: u64,
}

/// A fake engine.
pub(super) struct FakeEngine {
    pub(super) addr: SocketAddr,
    pub(super) version: &'static str,
    pub(super) behavior: Mutex<EngineBehavior>,
    pub(super) runs: Mutex<Vec<Run>>,
    /// Set when the reader disconnected during a completion.
    pub(super) cancelled: AtomicBool,
    /// Number of requests for `/status`.
    pub(super) status_reads: AtomicU64,
    /// Boot id in the status; changes with each crash.
    boot: AtomicU64,
}

impl FakeEngine {
    pub(super) fn spawn(version: &'static str) -> Arc<Self> {
        Arc::new_cyclic(|weak: &std::sync::Weak<Self>| {
            let weak = weak.clone();
            let addr = serve(move |request| {
                if let Some(engine) = weak.upgrade() {
                    engine.handle(request);
                }
            });
            Self {
                addr,
                version,
                behavior: Mutex::new(EngineBehavior::Complete),
                runs: Mutex::default(),
                cancelled: AtomicBool::new(false),
                status_reads: AtomicU64::new(0),
                boot: AtomicU64::new(1),
            }
        })
    }

    pub(super) fn set_behavior(&self, behavior: EngineBehavior) {
        *lock(&self.behavior) = behavior;
    }

    pub(super) fn runs(&self) -> Vec<Run> {
        lock(&self.runs).clone()
    }

    /// Returns the text of the tokens from `first_index` up to, but not including, `end_index`.
    pub(super) fn text(version: &str, first_index: u64, end_index: u64) -> String {
        let tokens: Vec<String> = (first_index..end_index)
            .map(|index| format!("{version}-{index} "))
            .collect();
        tokens.concat()
    }

    fn handle(&self, mut request: Request) {
        if request.url() == "/status" {
            self.status_reads.fetch_add(1, Ordering::SeqCst);
            let boot = self.boot.load(Ordering::SeqCst).to_string();
            let status = json!({ "boot": boot, "state": "ready", "version": self.version });
            let body = status.to_string().into_bytes();
            return respond(request, 200, "application/json", &[], body);
        }
        let body = read_json(&mut request);
        let first_index = body["resume_from"].as_u64().unwrap_or(0);
        let request_id = header_value(request.headers(), header_name::REQUEST_ID).unwrap_or("");
        lock(&self.runs).push(Run {
            request_id: request_id.to_owned(),
            resume_from: first_index,
        });
        let end_index = body["max_tokens"].as_u64().unwrap_or(4);
        let behavior = *lock(&self.behavior);
        if let EngineBehavior::AnswerResume(status, media_type, body) = behavior
            && first_index > 0
        {
            return respond(request, status, media_type, &[], body.into());
        }
        let mut writer = request.into_writer();
        let head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
        let _ = writer.write_all(head.as_bytes());
        let mut index = first_index;
        while index < end_index || behavior == EngineBehavior::Endless {
            match behavior {
                EngineBehavior::DisconnectAt(at) if index >= at => return,
                EngineBehavior::AnswerResume(..) if index >= 2 => return,
                EngineBehavior::DisconnectOnceAt(at) if index >= at && first_index < at => return,
                EngineBehavior::CrashAt(at) if index >= at => {
                    self.boot.fetch_add(1, Ordering::SeqCst);
                    return;
                }
                EngineBehavior::SilentAt(at) if index == at => {
                    std::thread::sleep(Duration::from_millis(2_500));
                }
                EngineBehavior::Endless => std::thread::sleep(Duration::from_millis(20)),
                _ => {}
            }
            let text = Self::text(self.version, index, index + 1);
            let token = json!({ "index": index, "text": text, "version": self.version });
            let written = write!(writer, "data: {token}\n\n").and_then(|()| writer.flush());
            if written.is_err() {
                self.cancelled.store(true, Ordering::SeqCst);
                return;
            }
            index += 1;
        }
        let _ = write!(writer, "data: [DONE]\n\n").and_then(|()| writer.flush());
    }
}

/// Starts a fake agent that sends one token, is silent for `silence`, then sends the second one and
/// ends the stream.
pub(super) fn spawn_silent_agent(silence: Duration) -> SocketAddr {
    serve(move |request| {
        let token = |index: u64| {
            let text = FakeEngine::text("v1", index, index + 1);
            format!(
                "data: {}\n\n",
                json!({ "index": index, "text": text, "version": "v1" })
            )
        };
        let mut writer = request.into_writer();
        let head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
        let _ = write!(writer, "{head}{}", token(0)).and_then(|()| writer.flush());
        thread::sleep(silence);
        let _ = write!(writer, "{}data: [DONE]\n\n", token(1)).and_then(|()| writer.flush());
    })
}

/// Starts a fake agent that breaks its first connection, rejects requests with `problem` for
/// `duration`, and then returns the answer of a plain service.
pub(super) fn spawn_recovering_agent(problem: Problem, duration: Duration) -> SocketAddr {
    let broken_at = Mutex::new(None);
    serve(move |mut request| {
        if request.url() == "/v1/load" {
            let load = json!({ "in_progress": 0, "queued": 0, "serving": true });
            return respond(request, 200, "a/b", &[], load.to_string().into_bytes());
        }
        let _ = read_json(&mut request);
        let broken_at = *lock(&broken_at).get_or_insert_with(Instant::now);
        if broken_at.elapsed() < Duration::from_millis(50) {
            drop(request.into_writer());
        } else if broken_at.elapsed() < duration {
            respond_problem(request, &problem, &[]);
        } else {
            let answer = json!({ "status": 200, "content_type": "a/b", "body": "{}" });
            let events = format!("event: answer\ndata: {answer}\n\ndata: [DONE]\n\n");
            respond(request, 200, "text/event-stream", &[], events.into_bytes());
        }
    })
}

/// A fake plain service that responds with its number of runs.
pub(super) struct FakeService {
    pub(super) addr: SocketAddr,
    pub(super) runs: AtomicU64,
    /// Status of the responses.
    pub(super) status: AtomicU16,
    /// Locked by a test to delay responses and keep requests in flight.
    pub(super) response_lock: Mutex<()>,
    /// Closes the connection after the run instead of sending the response.
    pub(super) drop_response: AtomicBool,
}

impl FakeService {
    pub(super) fn spawn() -> Arc<Self> {
        Arc::new_cyclic(|weak: &std::sync::Weak<Self>| {
            let weak = weak.clone();
            let addr = serve(move |mut request| {
                let Some(plain) = weak.upgrade() else {
                    return;
                };
                let _ = read_json(&mut request);
                let run = plain.runs.fetch_add(1, Ordering::SeqCst) + 1;
                drop(lock(&plain.response_lock));
                if plain.drop_response.load(Ordering::SeqCst) {
                    drop(request.into_writer());
                    return;
                }
                let body = json!({ "run": run }).to_string().into_bytes();
                let status = plain.status.load(Ordering::SeqCst);
                respond(request, status, "application/json", &[], body);
            });
            Self {
                addr,
                runs: AtomicU64::new(0),
                status: AtomicU16::new(200),
                response_lock: Mutex::new(()),
                drop_response: AtomicBool::new(false),
            }
        })
    }

    pub(super) fn runs(&self) -> u64 {
        self.runs.load(Ordering::SeqCst)
    }
}

/// Starts a plain service that keeps its connections and sends an earlier rejection once more after
/// each response.
pub(super) fn spawn_repeating_service() -> SocketAddr {
    let listener = TcpListener::bind(loopback()).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let mut kept = Vec::new();
        for connection in listener.incoming() {
            let mut connection = connection.expect("a connection");
            let _ = connection.read(&mut [0; 4_096]);
            let answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
            let rejection = "HTTP/1.1 503 Unavailable\r\nContent-Length: 2\r\n\r\n{}";
            let _ = write!(connection, "{answer}{rejection}");
            kept.push(connection);
        }
    });
    addr
}

/// Starts an engine whose first rejection of a completion breaks off within its body.
pub(super) fn spawn_cut_rejection() -> SocketAddr {
    let completions = AtomicU64::new(0);
    serve(move |mut request| {
        if request.url() == "/status" {
            return respond(request, 404, "text/plain", &[], Vec::new());
        }
        let _ = read_json(&mut request);
        let body = r#"{"error": "prompt too long"}"#;
        if completions.fetch_add(1, Ordering::SeqCst) > 0 {
            return respond(request, 400, "application/json", &[], body.into());
        }
        let mut writer = request.into_writer();
        let length = body.len();
        let head = format!("HTTP/1.1 400 Bad Request\r\nContent-Length: {length}\r\n\r\n");
        let _ = write!(writer, "{head}{}", &body[..9]).and_then(|()| writer.flush());
    })
}

/// Starts an engine that answers completions with `head` and then with `repeated` until its
/// reader disconnects, or up to a bound. Counts the bytes of the latest answer.
pub(super) fn spawn_endless_engine(
    head: &'static str,
    repeated: String,
) -> (SocketAddr, Arc<AtomicU64>) {
    /// Ends an answer that would fill the memory of the test.
    const BYTES_MAX: u64 = 192 << 20;
    let sent_bytes = Arc::new(AtomicU64::new(0));
    let sent = Arc::clone(&sent_bytes);
    let addr = serve(move |mut request| {
        if request.url() == "/status" {
            return respond(request, 404, "text/plain", &[], Vec::new());
        }
        let _ = read_json(&mut request);
        let mut writer = request.into_writer();
        sent.store(0, Ordering::SeqCst);
        let mut written = writer.write_all(head.as_bytes());
        while written.is_ok() && sent.load(Ordering::SeqCst) < BYTES_MAX {
            written = writer.write_all(repeated.as_bytes());
            sent.fetch_add(repeated.len() as u64, Ordering::SeqCst);
        }
    });
    (addr, sent_bytes)
}

/// Starts an engine that answers completions with the first part of a head.
pub(super) fn spawn_cut_head(head: &'static str) -> SocketAddr {
    let cut_at = AtomicU64::new(0);
    serve(move |mut request| {
        if request.url() == "/status" {
            return respond(request, 404, "text/plain", &[], Vec::new());
        }
        let _ = read_json(&mut request);
        let cut_at = usize::try_from(cut_at.fetch_add(1, Ordering::SeqCst)).unwrap_or(0);
        let mut writer = request.into_writer();
        let _ = writer.write_all(&head.as_bytes()[..cut_at % head.len()]);
    })
}

/// Starts a plain service that crashes on its first request: its port closes, then the
/// connection. Counts the request in `runs`.
pub(super) fn spawn_crashing_service(runs: &Arc<AtomicU64>) -> SocketAddr {
    let listener = TcpListener::bind(loopback()).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let runs = Arc::clone(runs);
    thread::spawn(move || {
        let (mut connection, _) = listener.accept().expect("a connection");
        // The connection is closed at the end, when its caller has sent a part at least.
        let _ = connection.read(&mut [0; 4_096]);
        runs.fetch_add(1, Ordering::SeqCst);
        drop(listener);
    });
    addr
}

/// Behavior of the fake table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TableMode {
    /// Serves reads and writes.
    Up,
    /// Rejects all reads and writes without effect.
    Down,
    /// Applies each write but closes the connection before the response; reads work.
    DropResponses,
    /// Closes the connection of each write without applying it; reads work.
    DropRequests,
}

/// A fake table that supports reads and transactions of one conditional put.
pub(super) struct FakeTable {
    pub(super) addr: SocketAddr,
    pub(super) mode: Mutex<TableMode>,
    items: Mutex<BTreeMap<String, Value>>,
}

impl FakeTable {
    pub(super) fn spawn() -> Arc<Self> {
        Arc::new_cyclic(|weak: &std::sync::Weak<Self>| {
            let weak = weak.clone();
            let addr = serve(move |request| {
                if let Some(table) = weak.upgrade() {
                    table.handle(request);
                }
            });
            Self {
                addr,
                mode: Mutex::new(TableMode::Up),
                items: Mutex::default(),
            }
        })
    }

    pub(super) fn set_mode(&self, mode: TableMode) {
        *lock(&self.mode) = mode;
    }

    /// Returns the `state` attribute of each stored item.
    pub(super) fn states(&self) -> Vec<String> {
        let state = |item: &Value| item["state"]["S"].as_str().unwrap_or("").to_owned();
        lock(&self.items).values().map(state).collect()
    }

    fn handle(&self, mut request: Request) {
        let target = header_value(request.headers(), "X-Amz-Target")
            .unwrap_or("")
            .to_owned();
        let body = read_json(&mut request);
        let mode = *lock(&self.mode);
        let json_type = "application/x-amz-json-1.0";
        if mode == TableMode::Down {
            return respond(request, 503, json_type, &[], b"{}".to_vec());
        }
        if target.ends_with("GetItem") {
            let item = lock(&self.items).get(&key_of(&body["Key"])).cloned();
            let answer = item.map_or(json!({}), |item| json!({ "Item": item }));
            return respond(
                request,
                200,
                json_type,
                &[],
                answer.to_string().into_bytes(),
            );
        }
        if mode == TableMode::DropRequests {
            drop(request.into_writer());
            return;
        }
        let applied = self.apply(&body["TransactItems"][0]["Put"]);
        if mode == TableMode::DropResponses {
            drop(request.into_writer());
            return;
        }
        if applied {
            return respond(request, 200, json_type, &[], b"{}".to_vec());
        }
        let failed = json!({
            "__type": "com.amazonaws.dynamodb.v20120810#TransactionCanceledException",
            "CancellationReasons": [{ "Code": "ConditionalCheckFailed" }],
        });
        respond(
            request,
            400,
            json_type,
            &[],
            failed.to_string().into_bytes(),
        );
    }

    fn apply(&self, put: &Value) -> bool {
        let mut items = lock(&self.items);
        let key = key_of(&put["Item"]);
        let stored = items.get(&key);
        let condition_met = match put["ConditionExpression"].as_str() {
            None => true,
            Some("attribute_not_exists(pk)") => stored.is_none(),
            Some("#c = :c") => {
                let name = put["ExpressionAttributeNames"]["#c"].as_str().unwrap_or("");
                let wanted = &put["ExpressionAttributeValues"][":c"];
                stored.is_some_and(|item| item[name] == *wanted)
            }
            Some(other) => panic!("the fake table does not know the condition `{other}`"),
        };
        if condition_met {
            items.insert(key, put["Item"].clone());
        }
        condition_met
    }
}

fn key_of(item: &Value) -> String {
    format!("{}|{}", item["pk"]["S"], item["sk"]["S"])
}

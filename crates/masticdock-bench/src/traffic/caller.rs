//! A caller: sends a request, checks the answer and resends it when its
//! connection broke.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use masticdock_standins::engine::{completion_text, token_text};
use serde_json::Value as Json;

use super::setup::TOKEN;
use super::workload::{Kind, Logical};

/// Time that a caller gives an answer.
const DEADLINE: Duration = Duration::from_secs(15);

/// Time without a byte after which a caller gives a connection up.
const SILENCE: Duration = Duration::from_secs(20);

/// Attempts of one request through entries.
const ATTEMPTS_MAX: usize = 40;

/// Time between two attempts.
const RESEND_INTERVAL: Duration = Duration::from_millis(150);

/// What happened to the entries, as the conductor knows it.
#[derive(Debug, Default)]
pub(super) struct Board {
    killed: Mutex<Vec<(usize, Instant, Instant)>>,
    finished: AtomicBool,
}

impl Board {
    fn lock(&self) -> MutexGuard<'_, Vec<(usize, Instant, Instant)>> {
        self.killed.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the last caller has its answer.
    pub(super) fn finish(&self) {
        self.finished.store(true, Ordering::SeqCst);
    }

    /// Returns true once the last caller has its answer.
    pub(super) fn is_finished(&self) -> bool {
        self.finished.load(Ordering::SeqCst)
    }

    /// Records that an entry was killed between two moments.
    pub(super) fn record_kill(&self, entry: usize, from: Instant, to: Instant) {
        self.lock().push((entry, from, to));
    }

    /// Returns true when the entry was killed during an attempt.
    pub(super) fn was_killed(&self, entry: usize, begin: Instant, end: Instant) -> bool {
        let overlaps =
            |kill: &&(usize, Instant, Instant)| kill.0 == entry && kill.1 <= end && begin <= kill.2;
        self.lock().iter().any(|kill| overlaps(&kill))
    }
}

/// What an attempt was told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Told {
    /// The whole answer; false when it is wrong.
    Complete(bool),
    /// Failed with the problem type and `run_state`.
    Failed(String, String),
    /// The connection was refused.
    NoConnection,
    /// The connection broke or an answer cannot be understood.
    Broken(String),
}

/// One attempt.
#[derive(Debug, Clone)]
pub(super) struct Attempt {
    pub(super) request_id: String,
    pub(super) entry: usize,
    pub(super) begin: Instant,
    pub(super) end: Instant,
    pub(super) told: Told,
}

impl Attempt {
    /// Returns true when the answer says that the request was not run.
    pub(super) fn says_not_run(&self) -> bool {
        matches!(&self.told, Told::Failed(_, state) if state == "not_run")
    }

    fn kind(&self) -> &str {
        match &self.told {
            Told::Failed(kind, _) => kind,
            _ => "",
        }
    }
}

/// A request with all its attempts.
#[derive(Debug, Clone)]
pub(super) struct Done {
    pub(super) request: Logical,
    pub(super) key: Option<String>,
    pub(super) attempts: Vec<Attempt>,
}

impl Done {
    /// Returns the time from the first byte sent to the last one received.
    pub(super) fn latency_ms(&self) -> Option<f64> {
        let (first, last) = (self.attempts.first()?, self.attempts.last()?);
        let complete = matches!(last.told, Told::Complete(_));
        complete.then(|| last.end.duration_since(first.begin).as_secs_f64() * 1_000.0)
    }
}

/// Sends a request until it ends; through another entry when a connection broke.
pub(super) fn send(entries: &[SocketAddr], request: &Logical, run: &str, first: usize) -> Done {
    let key = request.key(run);
    let mut done = Done {
        request: request.clone(),
        key: key.clone(),
        attempts: Vec::new(),
    };
    let begin = Instant::now();
    for number in 0..ATTEMPTS_MAX {
        let entry = (first + number) % entries.len();
        let request_id = format!("{run}-{}-{first}-{number}", request.number);
        let url = format!("http://{}/v1/{}", entries[entry], request.service());
        let attempt_begin = Instant::now();
        let told = attempt(&url, request, &request_id, key.as_deref());
        done.attempts.push(Attempt {
            request_id,
            entry,
            begin: attempt_begin,
            end: Instant::now(),
            told,
        });
        if !is_resent(&done) || begin.elapsed() > DEADLINE {
            break;
        }
        thread::sleep(RESEND_INTERVAL);
    }
    done
}

/// A broken connection is resent, and so is what the balancer would have sent
/// to another entry. An attempt in progress is asked for again by its sender.
fn is_resent(done: &Done) -> bool {
    let Some(last) = done.attempts.last() else {
        return true;
    };
    match &last.told {
        Told::NoConnection | Told::Broken(_) => true,
        Told::Complete(_) => false,
        Told::Failed(..) => matches!(
            last.kind(),
            "stopping" | "not-ready" | "request-in-progress"
        ),
    }
}

/// Sends one attempt to a URL and checks the answer.
pub(super) fn attempt(url: &str, request: &Logical, request_id: &str, key: Option<&str>) -> Told {
    let mut builder = attohttpc::post(url)
        .connect_timeout(Duration::from_secs(2))
        .read_timeout(SILENCE)
        .header("Authorization", format!("Bearer {TOKEN}"))
        .header("X-Request-Id", request_id)
        .header("X-Masticdock-Priority", request.priority)
        .header("X-Masticdock-Deadline-Ms", DEADLINE.as_millis().to_string());
    if let Some(key) = key {
        builder = builder.header("Idempotency-Key", key);
    }
    let sent = builder.text(request.body().to_string()).send();
    let response = match sent {
        Ok(response) => response,
        Err(error) => return not_sent(&error),
    };
    let (status, headers, body) = response.split();
    let version = headers
        .get("x-masticdock-version")
        .and_then(|text| text.to_str().ok())
        .map(str::to_owned);
    if status == 200 && request.kind == Kind::Stream {
        return read_stream(BufReader::new(body), request, version.as_deref());
    }
    let announced = headers
        .get("content-length")
        .and_then(|text| text.to_str().ok()?.parse::<usize>().ok());
    let text = match body.text_utf8() {
        Ok(text) => text,
        Err(error) => return Told::Broken(error.to_string()),
    };
    if announced.is_some_and(|length| length != text.len()) {
        return Told::Broken("the body ended early".to_owned());
    }
    let Ok(answer) = serde_json::from_str::<Json>(&text) else {
        return Told::Broken("the body is no JSON".to_owned());
    };
    if status == 200 {
        return Told::Complete(is_right(&answer, request, key, version.as_deref()));
    }
    problem(&answer)
}

fn not_sent(error: &attohttpc::Error) -> Told {
    if let attohttpc::ErrorKind::Io(io) = error.kind()
        && io.kind() == std::io::ErrorKind::ConnectionRefused
    {
        return Told::NoConnection;
    }
    Told::Broken(error.to_string())
}

fn problem(answer: &Json) -> Told {
    let text = |field: &str| answer[field].as_str().unwrap_or_default().to_owned();
    let kind = text("type");
    let slug = kind.rsplit(':').next().unwrap_or_default();
    Told::Failed(slug.to_owned(), text("run_state"))
}

fn is_right(answer: &Json, request: &Logical, key: Option<&str>, version: Option<&str>) -> bool {
    if matches!(request.kind, Kind::Order | Kind::Lookup) {
        // A stored answer was made for an earlier attempt, so the request id may differ.
        return answer["key"].as_str() == key
            && answer["echo"].as_str() == Some(request.body().to_string().as_str());
    }
    let Some(said) = answer["version"].as_str() else {
        return false;
    };
    let text = completion_text(said, &request.prompt, 0, request.max_tokens);
    version.is_none_or(|version| version == said) && answer["text"].as_str() == Some(&text)
}

fn read_stream(reader: impl BufRead, request: &Logical, version: Option<&str>) -> Told {
    let mut next: u32 = 0;
    let mut right = true;
    let mut named = version.map(str::to_owned);
    let mut failing = false;
    for line in reader.lines() {
        let line = match line {
            Ok(line) => line,
            Err(error) => return Told::Broken(error.to_string()),
        };
        failing |= line == "event: error";
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            return Told::Complete(right && next == request.max_tokens);
        }
        let Ok(event) = serde_json::from_str::<Json>(data) else {
            return Told::Broken("an event is no JSON".to_owned());
        };
        if failing {
            // What was delivered before the failure must be right too.
            return if right {
                problem(&event)
            } else {
                Told::Complete(false)
            };
        }
        let said = event["version"].as_str().unwrap_or_default().to_owned();
        let expected = token_text(&said, &request.prompt, next);
        let same = named.get_or_insert_with(|| said.clone()) == &said;
        right &= same
            && event["index"].as_u64() == Some(u64::from(next))
            && event["text"].as_str() == Some(&expected);
        next += 1;
    }
    Told::Broken(format!("the stream ended after {next} tokens"))
}

//! Case: a machine freezes between the check of the staged pieces and the order to load them,
//! and a piece turns bad shortly before the freeze.
//!
//! Arguments: path of the record.

mod kit;

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::{Conn, Process, Record, Req, Settings, Store, response};

const PIECES: usize = 48;
const PIECE_BYTES: usize = 49_152;
const MODEL: &str = "daka510000";
const SERVICE: &str = "llm";
/// Length of the freeze; the site file's freezes of `side` machines last as long.
const FREEZE: Duration = Duration::from_secs(4);
/// A piece that turned bad later than this before it was taken is excused.
const EXCUSED: Duration = Duration::from_secs(3);

/// Returns the bytes of a piece of the weights.
fn piece(version: u64, number: usize) -> Vec<u8> {
    let mut state = version * 1_000 + number as u64 + 1;
    let mut bytes = Vec::with_capacity(PIECE_BYTES);
    while bytes.len() < PIECE_BYTES {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        bytes.extend_from_slice(&state.to_le_bytes());
    }
    bytes.truncate(PIECE_BYTES);
    bytes
}

struct Staged {
    bytes: Vec<u8>,
    turned_bad_at: Option<Instant>,
}

/// Weights that a replica holds.
struct Loaded {
    version: u64,
    /// Pieces that were missing, of another version, or bad for longer than excused when the
    /// replica took them.
    faulty: Vec<usize>,
    ready_at: Instant,
}

struct State {
    staged: BTreeMap<usize, Staged>,
    loaded: Loaded,
    orders: u64,
    running: u32,
    /// Staged pieces that were read back since the last one was staged.
    read_back: usize,
    /// When the last of all staged pieces was read back.
    verified_at: Option<Instant>,
}

/// A model replica with its staged pieces.
struct Engine {
    id: String,
    address: SocketAddr,
    state: Mutex<State>,
    store: Arc<Store>,
    record: Arc<Record>,
    born: u64,
    /// True while its machine stands still.
    frozen: AtomicBool,
    wrong_tokens: AtomicU64,
    tokens: AtomicU64,
}

impl Engine {
    fn start(id: &str, ip: &str, store: &Arc<Store>, record: &Arc<Record>) -> Arc<Self> {
        let listener = kit::listen(&format!("{ip}:0"));
        let staged = (0..PIECES).map(|number| {
            let bytes = piece(1, number);
            (number, Staged { bytes, turned_bad_at: None })
        });
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            state: Mutex::new(State {
                staged: staged.collect(),
                loaded: Loaded { version: 1, faulty: Vec::new(), ready_at: Instant::now() },
                orders: 0,
                running: 0,
                read_back: 0,
                verified_at: None,
            }),
            store: Arc::clone(store),
            record: Arc::clone(record),
            born: kit::unix_ms(),
            frozen: AtomicBool::new(false),
            wrong_tokens: AtomicU64::new(0),
            tokens: AtomicU64::new(0),
        });
        engine.write_row();
        let served = Arc::clone(&engine);
        kit::serve(listener, move |request, conn| served.answer(request, conn));
        engine
    }

    fn wait_while_frozen(&self) {
        while self.frozen.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn models(state: &State) -> String {
        if Instant::now() < state.loaded.ready_at {
            return r#""models":[]"#.to_owned();
        }
        let version = state.loaded.version;
        format!(
            r#""models":[{{"name":"{MODEL}","version":{version},"adapters":[]}}],"layers":{{"from":0,"target":16,"version":{version}}}"#
        )
    }

    fn write_row(&self) {
        let state = self.state.lock().unwrap();
        let row = format!(
            r#"{{"service":"{SERVICE}","address":"{}","zone":"wien-a","version":"v1","slot-count":16,"state":"ready","cold-left-ms":0,"stage":"colocated",{},"seq":{},"born":{}}}"#,
            self.address,
            Self::models(&state),
            state.orders,
            self.born
        );
        drop(state);
        self.store.put("servers", &self.id, &row);
    }

    fn answer(self: &Arc<Self>, request: &Req, conn: &mut Conn) -> Option<()> {
        self.wait_while_frozen();
        let path = request.path.as_str();
        let number = request.query.get("num").and_then(|number| number.parse().ok());
        if path == "/v1/report" {
            let state = self.state.lock().unwrap();
            let busy = Instant::now() < state.loaded.ready_at;
            let body = format!(
                r#"{{"stage":"colocated",{},"busy":{busy},"seq":{},"queued":0,"running":{},"kv-used":0,"kv-total":317000,"handles":0,"born":{}}}"#,
                Self::models(&state),
                state.orders,
                state.running,
                self.born
            );
            drop(state);
            return conn.write(&response(200, &[], body.as_bytes()));
        }
        if path == format!("/v1/stage-put/{MODEL}") {
            let bytes = request.body.clone();
            let mut state = self.state.lock().unwrap();
            state.read_back = 0;
            state.staged.insert(number?, Staged { bytes, turned_bad_at: None });
            drop(state);
            return conn.write(&response(200, &[], b""));
        }
        if path == format!("/v1/stage-get/{MODEL}") {
            return self.answer_stage_get(number, conn);
        }
        if path == "/v1/order" {
            return self.answer_order(&String::from_utf8_lossy(&request.body), conn);
        }
        self.run(request, conn)
    }

    fn answer_stage_get(&self, number: Option<usize>, conn: &mut Conn) -> Option<()> {
        let mut state = self.state.lock().unwrap();
        let Some(number) = number else {
            let held: Vec<String> = state.staged.keys().map(ToString::to_string).collect();
            drop(state);
            let body = format!(r#"{{"held":[{}]}}"#, held.join(","));
            return conn.write(&response(200, &[], body.as_bytes()));
        };
        let bytes = state.staged.get(&number).map(|staged| staged.bytes.clone());
        let answered = match &bytes {
            Some(bytes) => conn.write(&response(200, &[], bytes)),
            None => conn.write(&response(404, &[], b"")),
        };
        state.read_back = if number == 0 { 1 } else { state.read_back + 1 };
        let is_last = state.read_back == PIECES && number == PIECES - 1;
        let holds_newer = is_last && bytes != Some(piece(state.loaded.version, number));
        if holds_newer {
            state.verified_at = Some(Instant::now());
        }
        answered
    }

    fn answer_order(self: &Arc<Self>, body: &str, conn: &mut Conn) -> Option<()> {
        let version = kit::json_number(body, "version")?;
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        if kit::json_number(body, "expected").is_some_and(|orders| orders != state.orders)
            || now < state.loaded.ready_at
        {
            drop(state);
            return conn.write(&response(409, &[], b"{}"));
        }
        if state.loaded.version == version {
            drop(state);
            return conn.write(&response(200, &[], b"{}"));
        }
        let mut faulty = Vec::new();
        for number in 0..PIECES {
            let is_whole = state.staged.get(&number).is_some_and(|staged| {
                let excused = staged.turned_bad_at.is_some_and(|at| now - at <= EXCUSED);
                excused || staged.bytes == piece(version, number)
            });
            if !is_whole {
                let age = state.staged.get(&number).and_then(|staged| staged.turned_bad_at);
                let age = age.map_or(0.0, |at| (now - at).as_secs_f64());
                self.record.line(&format!(
                    "{} takes piece {number} of version {version}, which has been bad for {age:.3} s",
                    self.id
                ));
                faulty.push(number);
            }
        }
        self.record.line(&format!(
            "{} accepts the order for version {version}, {} faulty pieces: {body}",
            self.id,
            faulty.len()
        ));
        state.orders += 1;
        state.loaded = Loaded { version, faulty, ready_at: now + Duration::from_millis(300) };
        drop(state);
        self.write_row();
        let engine = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(320));
            engine.write_row();
        });
        conn.write(&response(202, &[], b"{}"))
    }

    /// Runs a request: 20 events, one every 100 ms.
    fn run(&self, request: &Req, conn: &mut Conn) -> Option<()> {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let mut headers = vec![("X-Request-Id", id.as_str())];
        let mut state = self.state.lock().unwrap();
        let expected = request.header("x-expect-version");
        let wrong_version =
            expected.is_some_and(|version| version != state.loaded.version.to_string());
        let wrong_replica = request.header("x-expect-replica").is_some_and(|own| own != self.id);
        let refusal = if wrong_version || wrong_replica {
            Some(421)
        } else if Instant::now() < state.loaded.ready_at || state.running >= 16 {
            Some(503)
        } else {
            None
        };
        if let Some(status) = refusal {
            drop(state);
            headers.push(("X-Not-Executed", "1"));
            return conn.write(&response(status, &headers, b""));
        }
        state.running += 1;
        let version = state.loaded.version;
        drop(state);
        let first = request
            .header("last-event-id")
            .and_then(|last| last.parse::<u64>().ok())
            .map_or(0, |last| last + 1);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {id}\r\nX-Response-Seal: s.{}.{id}\r\nX-Weight-Versions: {version}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        let mut written = conn.write(head.as_bytes());
        for number in first..20 {
            if written.is_none() {
                break;
            }
            thread::sleep(Duration::from_millis(100));
            self.wait_while_frozen();
            let state = self.state.lock().unwrap();
            if state.loaded.version != version {
                // Cut by the load of another version.
                written = None;
                break;
            }
            let is_wrong = !state.loaded.faulty.is_empty();
            drop(state);
            self.tokens.fetch_add(1, Ordering::SeqCst);
            if is_wrong && self.wrong_tokens.fetch_add(1, Ordering::SeqCst) < 5 {
                self.record.line(&format!(
                    "{} makes event {number} of request {id} with faulty weights of version {version}",
                    self.id
                ));
            }
            let event = format!("id: {number}\ndata: {version} {id} {number}\n\n");
            written = conn.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
        }
        if written.is_some() {
            written = conn.write(b"0\r\n\r\n");
        }
        self.state.lock().unwrap().running -= 1;
        written
    }
}

/// Serves the manifest and the pieces of all versions.
fn start_origin(ip: &str) -> SocketAddr {
    let listener = kit::listen(&format!("{ip}:0"));
    let address = listener.local_addr().unwrap();
    kit::serve(listener, |request, conn| {
        let version: u64 = request.query.get("version")?.parse().ok()?;
        if request.path == format!("/v1/manifest/{MODEL}") {
            let digests: Vec<String> = (0..PIECES)
                .map(|number| format!("\"{}\"", kit::hex(&kit::sha256(&piece(version, number)))))
                .collect();
            let body = format!(
                r#"{{"model":"{MODEL}","version":{version},"chunk-bytes":{PIECE_BYTES},"layers":16,"digests":[{}]}}"#,
                digests.join(",")
            );
            return conn.write(&response(200, &[], body.as_bytes()));
        }
        let number: usize = request.query.get("num")?.parse().ok()?;
        conn.write(&response(200, &[], &piece(version, number)))
    });
    address
}

fn configuration(origin: SocketAddr) -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"chat","host":"chat.example","prefix":"/chat/","kind":"streaming","timeout-ms":6000,"goal-ms":400,"priority":1,"service":"{SERVICE}","attempts":2,"anonymous":false,"sticky":true,"resumable":true,"gap-target-ms":400}}],"services":[{{"name":"{SERVICE}","health-path":"/health","max-conns":264,"protocol":"h1","tls":false,"engine":{{"slot-count":16,"kv-tokens":317000,"kv-bytes":262144,"stride":5,"models":[{{"name":"{MODEL}","pace":1.0,"load-s":4.0,"warm-s":0.3}}],"mb":149000.0,"step_ms":9.27,"per_seq_ms":0.0232,"context_per_k":0.0322,"read_per_s":20700.0,"chunk":2048,"report_lag_ms":200.0,"usual":{{"prompt":600,"answer":100}},"layers":16,"layer_mb":4090.0,"chunks":{PIECES},"chunk-bytes":{PIECE_BYTES}}}}},{{"name":"weights","origin":"{origin}","zone":"wien-a","link-mbps":15.0,"max-conns":48}}],"limits":{{"header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"t1","api-keys":["key1"],"priority":1}}]}}"#
    )
}

/// Sends streams through the entry until `until`, on kept channels.
fn call(entry: &str, caller: usize, until: Instant, served: &AtomicU64, record: &Record) {
    let mut conn: Option<Conn> = None;
    let mut count = 0;
    while Instant::now() < until {
        count += 1;
        let id = format!("c{caller}n{count}");
        let mut channel = match conn.take() {
            Some(channel) => channel,
            None => match TcpStream::connect(format!("{entry}:{}", kit::CALLER_PORT)) {
                Ok(stream) => Conn::new(stream),
                Err(_) => {
                    thread::sleep(Duration::from_millis(200));
                    continue;
                }
            },
        };
        let _ = channel.stream.set_read_timeout(Some(Duration::from_secs(7)));
        let head = format!(
            "POST /chat/{caller}/{count} HTTP/1.1\r\nHost: chat.example\r\nX-Request-Id: {id}\r\nX-Model: {MODEL}\r\nX-Token-Counts: 640,100\r\nX-Prompt-Prefix: aa{caller:02x}:40,{caller:02x}{count:06x}:600\r\nX-Deadline-Ms: 6000\r\nApi-Key: key1\r\nContent-Length: 2\r\n\r\nhi"
        );
        let answer = channel.write(head.as_bytes()).and_then(|()| channel.read_head());
        let body = answer.as_ref().and_then(|(_, headers)| channel.read_body(headers));
        let status = answer.map_or_else(|| "closed".to_owned(), |(first, _)| first);
        match &body {
            Some(body) if status.contains(" 200") => {
                served.fetch_add(1, Ordering::SeqCst);
                let text = String::from_utf8_lossy(body);
                let events = text.matches("id: ").count();
                record.line(&format!("caller {caller}: {id} answered, {events} events"));
            }
            _ => {
                record.line(&format!("caller {caller}: {id} failed: {status}"));
                thread::sleep(Duration::from_millis(300));
            }
        }
        if body.is_some() {
            conn = Some(channel);
        }
    }
}

fn main() {
    let path = std::env::args().nth(1).unwrap_or_else(|| kit::cannot_run("no path of a record"));
    let record = Record::new(&path);
    let trouble = kit::has_trouble();
    let folder = kit::temporary_folder();
    let net = kit::network();
    let address = |last: u32| format!("{net}.{last}");
    let store = Store::start(&address(9));
    let origin = start_origin(&address(10));
    store.put("op", "config", &configuration(origin));
    let mut engines = Vec::new();
    let mut agents = Vec::new();
    for number in 0..3 {
        let ip = address(2 + number);
        let engine = Engine::start(&format!("i-{number}"), &ip, &store, &record);
        agents.push(Process::start(
            &folder,
            &Settings {
                name: &format!("side-{number}"),
                ip: &ip,
                zone: "wien-a",
                store: store.address,
                replica: Some((&engine.address.to_string(), SERVICE)),
            },
        ));
        engines.push(engine);
    }
    let entry_ip = address(1);
    let entry = Process::start(
        &folder,
        &Settings { name: "front-0", ip: &entry_ip, zone: "wien-a", store: store.address, replica: None },
    );
    kit::wait_until_ready(&entry_ip);
    record.line("the entry is ready");
    let started = Instant::now();
    let until = started + Duration::from_secs(24);
    let served = Arc::new(AtomicU64::new(0));
    let mut callers = Vec::new();
    for caller in 0..36 {
        let (entry, served, record) = (entry_ip.clone(), Arc::clone(&served), Arc::clone(&record));
        callers.push(thread::spawn(move || call(&entry, caller, until, &served, &record)));
    }
    thread::sleep(Duration::from_secs(6));
    store.put("op", &format!("version/{MODEL}"), &format!(r#"{{"model":"{MODEL}","version":2}}"#));
    record.line("version 2 is named and confirmed");
    let mut hit = !trouble;
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(2));
        let Some(index) = engines.iter().position(|engine| {
            engine.state.lock().unwrap().verified_at.is_some()
        }) else {
            continue;
        };
        if hit {
            continue;
        }
        hit = true;
        let (engine, agent) = (&engines[index], &agents[index]);
        thread::sleep(Duration::from_millis(200));
        if let Some(staged) = engine.state.lock().unwrap().staged.get_mut(&17) {
            staged.bytes[1_000] ^= 0x55;
            staged.turned_bad_at = Some(Instant::now());
        }
        record.line(&format!("piece 17 turns bad at {}", engine.id));
        thread::sleep(Duration::from_millis(100));
        engine.frozen.store(true, Ordering::SeqCst);
        agent.signal(kit::SIGSTOP);
        record.line(&format!("the machine of {} and {} freezes", agent.name, engine.id));
        thread::sleep(FREEZE);
        record.line("it wakes");
        engine.frozen.store(false, Ordering::SeqCst);
        agent.signal(kit::SIGCONT);
    }
    for caller in callers {
        let _ = caller.join();
    }
    drop(agents);
    drop(entry);
    let wrong: u64 = engines.iter().map(|engine| engine.wrong_tokens.load(Ordering::SeqCst)).sum();
    let tokens: u64 = engines.iter().map(|engine| engine.tokens.load(Ordering::SeqCst)).sum();
    let served = served.load(Ordering::SeqCst);
    let mut switched = true;
    for engine in &engines {
        let state = engine.state.lock().unwrap();
        switched &= state.loaded.version == 2;
        record.line(&format!(
            "{}: version {}, faulty pieces {:?}",
            engine.id, state.loaded.version, state.loaded.faulty
        ));
    }
    record.say(&format!(
        "{served} requests answered, {tokens} events made, {wrong} of them with faulty weights"
    ));
    let _ = std::fs::remove_dir_all(&folder);
    if served < 50 || !switched || !hit {
        kit::cannot_run("no load, no switch or no moment for the disruption");
    }
    if wrong > 0 {
        record.say("WHOLE is broken");
        std::process::exit(1);
    }
    record.say("WHOLE held");
}

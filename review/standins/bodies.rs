//! Case: many callers send large bodies at the same moment, each within the limits of the
//! configuration, while others use kept channels.
//!
//! Arguments: path of the record.

mod kit;

use std::collections::HashSet;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::{Conn, Process, Record, Settings, Store, response};

const MODEL: &str = "daka510000";
const SERVICE: &str = "llm";
const ORDERS: &str = "orders";
/// Memory limit of the entry in its settings; the platform kills a process above it.
const MEMORY_BYTES: u64 = 260 * 1_048_576;
/// Size of the large bodies; the configuration allows 4,194,304 bytes.
const LARGE_BYTES: usize = 4_000_000;
/// Callers with large bodies, with and without the disruption.
const MANY: usize = 100;
const FEW: usize = 5;
/// Rate of each of them, so that all together stay within the entry's link of 1,000 Mbit/s.
const CALLER_BYTES_PER_S: usize = 1_200_000;

/// Work of a booking.
const WORK: Duration = Duration::from_millis(250);

/// Ids of the requests that reached a replica.
type Runs = Mutex<HashSet<String>>;

/// Serves streams of 20 events in 2 s, and bookings.
fn start_replica(ip: &str, id: String, record: Arc<Record>, runs: Arc<Runs>) -> String {
    let listener = kit::listen(&format!("{ip}:0"));
    let address = listener.local_addr().unwrap().to_string();
    kit::serve(listener, move |request, conn| {
        let request_id = request.header("x-request-id").unwrap_or_default();
        if request.path == "/v1/report" || request_id.is_empty() {
            return conn.write(&response(404, &[], b""));
        }
        if request.header("x-expect-replica") != Some(id.as_str()) {
            let headers = [("X-Request-Id", request_id), ("X-Not-Executed", "1")];
            return conn.write(&response(421, &headers, b""));
        }
        record.line(&format!("{id} runs {request_id}, {} bytes", request.body.len()));
        runs.lock().unwrap().insert(request_id.to_owned());
        if request.path.starts_with("/book/") {
            thread::sleep(WORK);
            let seal = format!("s.{id}.{request_id}");
            let headers = [("X-Request-Id", request_id), ("X-Response-Seal", seal.as_str())];
            record.line(&format!("{id} has run {request_id}"));
            return conn.write(&response(200, &headers, request_id.as_bytes()));
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {request_id}\r\nX-Response-Seal: s.{id}.{request_id}\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        conn.write(head.as_bytes())?;
        for number in 0..20 {
            thread::sleep(Duration::from_millis(100));
            let event = format!("id: {number}\ndata: {request_id} {number}\n\n");
            conn.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        conn.write(b"0\r\n\r\n")
    });
    address
}

fn configuration() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"chat","host":"chat.example","prefix":"/chat/","kind":"streaming","timeout-ms":6000,"goal-ms":400,"priority":1,"service":"{SERVICE}","attempts":2,"anonymous":false,"sticky":true,"resumable":true,"gap-target-ms":400}},{{"name":"book","host":"book.example","prefix":"/book/","kind":"non_idempotent","timeout-ms":800,"goal-ms":300,"priority":2,"service":"{ORDERS}","attempts":1,"anonymous":false}}],"services":[{{"name":"{ORDERS}","health-path":"/health","max-conns":96,"protocol":"h1","tls":false}},{{"name":"{SERVICE}","health-path":"/health","max-conns":264,"protocol":"h1","tls":false,"engine":{{"slot-count":16,"kv-tokens":317000,"kv-bytes":262144,"stride":5,"models":[{{"name":"{MODEL}","pace":1.0,"load-s":4.0,"warm-s":0.3}}],"mb":149000.0,"step_ms":9.27,"per_seq_ms":0.0232,"context_per_k":0.0322,"read_per_s":20700.0,"chunk":2048,"report_lag_ms":200.0,"usual":{{"prompt":600,"answer":100}},"layers":16,"layer_mb":4090.0,"chunks":48,"chunk-bytes":49152}}}}],"limits":{{"header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"t1","api-keys":["key1"],"priority":1}}]}}"#
    )
}

fn head(path: &str, id: &str, bytes: usize) -> String {
    format!(
        "POST /chat/{path} HTTP/1.1\r\nHost: chat.example\r\nX-Request-Id: {id}\r\nX-Model: {MODEL}\r\nX-Token-Counts: 640,100\r\nX-Prompt-Prefix: aa01:40,{id}:600\r\nX-Deadline-Ms: 6000\r\nApi-Key: key1\r\nContent-Length: {bytes}\r\n\r\n"
    )
}

/// What became of the requests.
#[derive(Default)]
struct Outcomes {
    answered: AtomicU64,
    refused: AtomicU64,
    /// Passed on from kept channels, which were closed without an answer.
    lost: AtomicU64,
    large_answered: AtomicU64,
    large_refused: AtomicU64,
    large_failed: AtomicU64,
}

fn call(
    entry: &str,
    caller: usize,
    ends: &AtomicBool,
    outcomes: &Outcomes,
    runs: &Runs,
    record: &Record,
) {
    let mut conn: Option<Conn> = None;
    let mut count = 0;
    while !ends.load(Ordering::SeqCst) {
        count += 1;
        let id = format!("{caller:02x}{count:06x}");
        let (mut channel, is_kept) = match conn.take() {
            Some(channel) => (channel, true),
            None => match TcpStream::connect(format!("{entry}:{}", kit::CALLER_PORT)) {
                Ok(stream) => (Conn::new(stream), false),
                Err(_) => {
                    thread::sleep(Duration::from_millis(200));
                    continue;
                }
            },
        };
        let _ = channel.stream.set_read_timeout(Some(Duration::from_secs(7)));
        let text = format!(
            "POST /book/{caller}/{count} HTTP/1.1\r\nHost: book.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\nApi-Key: key1\r\nContent-Length: 4\r\n\r\nbook"
        );
        let answer = channel.write(text.as_bytes()).and_then(|()| channel.read_head());
        let Some((first, headers)) = answer else {
            let is_at_work = runs.lock().unwrap().contains(&id);
            record.line(&format!(
                "caller {caller}: {id} closed without an answer, kept {is_kept}, passed on {is_at_work}"
            ));
            if is_kept && is_at_work {
                outcomes.lost.fetch_add(1, Ordering::SeqCst);
            }
            thread::sleep(Duration::from_millis(300));
            continue;
        };
        let body = channel.read_body(&headers);
        let ok = first.contains(" 200");
        match &body {
            Some(_) if ok => outcomes.answered.fetch_add(1, Ordering::SeqCst),
            Some(_) => {
                record.line(&format!("caller {caller}: {id} {first}"));
                thread::sleep(Duration::from_millis(200));
                outcomes.refused.fetch_add(1, Ordering::SeqCst)
            }
            None => {
                record.line(&format!("caller {caller}: {id} ends within its answer"));
                0
            }
        };
        if body.is_some() {
            conn = Some(channel);
        }
        // Callers keep no common pace.
        thread::sleep(Duration::from_millis(20 + (caller * 7 + count * 13) as u64 % 23 * 5));
    }
}

/// Sends one request with a large body at a bounded rate.
fn call_large(entry: &str, caller: usize, outcomes: &Outcomes, record: &Record) {
    let id = format!("f{caller:03x}");
    let sent = TcpStream::connect(format!("{entry}:{}", kit::CALLER_PORT)).ok().and_then(|stream| {
        let mut channel = Conn::new(stream);
        let _ = channel.stream.set_read_timeout(Some(Duration::from_secs(7)));
        channel.write(head(&format!("large/{caller}"), &id, LARGE_BYTES).as_bytes())?;
        let part = vec![b'x'; CALLER_BYTES_PER_S / 50];
        let mut left = LARGE_BYTES;
        while left > 0 {
            let bytes = left.min(part.len());
            channel.write(&part[..bytes])?;
            left -= bytes;
            thread::sleep(Duration::from_millis(20));
        }
        let (first, headers) = channel.read_head()?;
        channel.read_body(&headers)?;
        Some(first)
    });
    let counter = match &sent {
        Some(first) if first.contains(" 200") => &outcomes.large_answered,
        Some(_) => &outcomes.large_refused,
        None => &outcomes.large_failed,
    };
    counter.fetch_add(1, Ordering::SeqCst);
    record.line(&format!(
        "caller with a large body {caller}: {}",
        sent.unwrap_or_else(|| "closed".to_owned())
    ));
}

fn main() {
    let path = std::env::args().nth(1).unwrap_or_else(|| kit::cannot_run("no path of a record"));
    let record = Record::new(&path);
    let callers_large = if kit::has_trouble() { MANY } else { FEW };
    let folder = kit::temporary_folder();
    let net = kit::network();
    let store = Store::start(&format!("{net}.9"));
    store.put("op", "config", &configuration());
    let runs = Arc::new(Runs::default());
    for number in 0..3 {
        let id = format!("o-{number}");
        let ip = format!("{net}.{}", 40 + number);
        let address = start_replica(&ip, id.clone(), Arc::clone(&record), Arc::clone(&runs));
        store.put(
            "servers",
            &id,
            &format!(
                r#"{{"service":"{ORDERS}","address":"{address}","zone":"wien-a","version":"v1","slot-count":6,"state":"ready","cold-left-ms":0,"seq":1,"born":1700000000000}}"#
            ),
        );
    }
    for number in 0..8 {
        let id = format!("i-{number}");
        let ip = format!("{net}.{}", 20 + number);
        let address = start_replica(&ip, id.clone(), Arc::clone(&record), Arc::clone(&runs));
        store.put(
            "servers",
            &id,
            &format!(
                r#"{{"service":"{SERVICE}","address":"{address}","zone":"wien-a","version":"v1","slot-count":16,"state":"ready","cold-left-ms":0,"stage":"colocated","models":[{{"name":"{MODEL}","version":1,"adapters":[]}}],"layers":{{"from":0,"target":16,"version":1}},"seq":1,"born":{}}}"#,
                kit::unix_ms()
            ),
        );
    }
    let entry_ip = format!("{net}.1");
    let settings = Settings {
        name: "front-0",
        ip: &entry_ip,
        zone: "wien-a",
        store: store.address,
        replica: None,
    };
    let entry = Arc::new(Mutex::new(Process::start(&folder, &settings)));
    kit::wait_until_ready(&entry_ip);
    let ends = Arc::new(AtomicBool::new(false));
    let outcomes = Arc::new(Outcomes::default());
    let mut threads = Vec::new();
    for caller in 0..16 {
        let (ip, ends) = (entry_ip.clone(), Arc::clone(&ends));
        let (outcomes, record) = (Arc::clone(&outcomes), Arc::clone(&record));
        let runs = Arc::clone(&runs);
        threads.push(thread::spawn(move || call(&ip, caller, &ends, &outcomes, &runs, &record)));
    }
    thread::sleep(Duration::from_secs(8));
    record.line(&format!("{callers_large} callers begin to send {LARGE_BYTES} bytes each"));
    for caller in 0..callers_large {
        let (ip, outcomes, record) = (entry_ip.clone(), Arc::clone(&outcomes), Arc::clone(&record));
        threads.push(thread::spawn(move || call_large(&ip, caller, &outcomes, &record)));
    }
    let until = Instant::now() + Duration::from_secs(14);
    let mut peak = 0;
    let mut kills = 0;
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(20));
        let mut process = entry.lock().unwrap();
        let used = process.memory_bytes();
        peak = peak.max(used);
        if used > MEMORY_BYTES {
            kills += 1;
            record.line(&format!(
                "the entry uses {} MB and is killed; memory-mb is 260",
                used / 1_048_576
            ));
            process.signal(kit::SIGKILL);
            thread::sleep(Duration::from_millis(500));
            *process = Process::start(&folder, &settings);
        }
    }
    ends.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let get = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    record.say(&format!(
        "peak {} MB, {kills} kills; bookings: {} answered, {} refused, {} passed on from kept channels and closed without an answer; large: {} answered, {} refused, {} failed; {} runs",
        peak / 1_048_576,
        get(&outcomes.answered),
        get(&outcomes.refused),
        get(&outcomes.lost),
        get(&outcomes.large_answered),
        get(&outcomes.large_refused),
        get(&outcomes.large_failed),
        runs.lock().unwrap().len(),
    ));
    drop(entry);
    let _ = std::fs::remove_dir_all(&folder);
    if get(&outcomes.answered) < 40 {
        kit::cannot_run("too few requests were answered");
    }
    if get(&outcomes.lost) > 3 {
        record.say("LOST is broken");
        std::process::exit(1);
    }
    record.say("LOST held");
}

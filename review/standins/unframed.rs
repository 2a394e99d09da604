//! Case: a replica crashes while it sends streams that have neither a length nor chunks.
//!
//! Each replica is a process of its own, which crashes by SIGKILL.
//!
//! Arguments: path of the record; or `replica`, id, address and start time.

mod kit;

use std::net::TcpStream;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::{Conn, Process, Record, Settings, Store, response};

const MODEL: &str = "daka510000";
const SERVICE: &str = "llm";
const EVENTS: u64 = 20;
const PAUSE: Duration = Duration::from_millis(100);
/// Time after which a replica that crashed is back, with a new id.
const DOWN: Duration = Duration::from_secs(4);
/// Times of the crashes; the site file has several such moments in a day.
const CRASHES_S: [u64; 3] = [7, 14, 21];

const MODELS: &str = r#""models":[{"name":"daka510000","version":1,"adapters":[]}],"layers":{"from":0,"target":16,"version":1}"#;

/// Serves streams without a length, each of which ends with its channel.
fn run_replica(id: &str, address: &str, born: &str) {
    let id = id.to_owned();
    let report = format!(
        r#"{{"stage":"colocated",{MODELS},"busy":false,"seq":0,"queued":0,"running":1,"kv-used":0,"kv-total":317000,"handles":0,"born":{born}}}"#
    );
    kit::serve(kit::listen(address), move |request, conn| {
        if request.path == "/v1/report" {
            return conn.write(&response(200, &[], report.as_bytes()));
        }
        let request_id = request.header("x-request-id").unwrap_or_default();
        if request.header("x-expect-replica") != Some(id.as_str()) {
            let headers = [("X-Request-Id", request_id), ("X-Not-Executed", "1")];
            return conn.write(&response(421, &headers, b""));
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\nX-Request-Id: {request_id}\r\nX-Response-Seal: s.{id}.{request_id}\r\nX-Weight-Versions: 1\r\n\r\n"
        );
        conn.write(head.as_bytes())?;
        let first = request
            .header("last-event-id")
            .and_then(|last| last.parse::<u64>().ok())
            .map_or(0, |last| last + 1);
        for number in first..EVENTS {
            thread::sleep(PAUSE);
            conn.write(format!("id: {number}\ndata: {request_id} {number}\n\n").as_bytes())?;
        }
        None
    });
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

/// A replica's process and its row.
struct Replica {
    child: Child,
    id: String,
}

impl Replica {
    fn start(store: &Store, id: String, address: &str) -> Self {
        let born = kit::unix_ms().to_string();
        let mut command = Command::new(std::env::current_exe().unwrap());
        command.args(["replica", &id, address, &born]).stdin(Stdio::null());
        kit::end_with_parent(&mut command);
        let child = command.spawn().unwrap_or_else(|error| kit::cannot_run(&error.to_string()));
        let until = Instant::now() + Duration::from_secs(5);
        while TcpStream::connect(address).is_err() {
            if Instant::now() > until {
                kit::cannot_run("a replica did not start");
            }
            thread::sleep(Duration::from_millis(10));
        }
        store.put(
            "servers",
            &id,
            &format!(
                r#"{{"service":"{SERVICE}","address":"{address}","zone":"wien-a","version":"v1","slot-count":16,"state":"ready","cold-left-ms":0,"stage":"colocated",{MODELS},"seq":1,"born":{born}}}"#
            ),
        );
        Self { child, id }
    }
}

fn configuration(origin: &str) -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"chat","host":"chat.example","prefix":"/chat/","kind":"streaming","timeout-ms":6000,"goal-ms":400,"priority":1,"service":"{SERVICE}","attempts":2,"anonymous":false,"sticky":true,"resumable":true,"gap-target-ms":400}}],"services":[{{"name":"{SERVICE}","health-path":"/health","max-conns":264,"protocol":"h1","tls":false,"engine":{{"slot-count":16,"kv-tokens":317000,"kv-bytes":262144,"stride":5,"models":[{{"name":"{MODEL}","pace":1.0,"load-s":4.0,"warm-s":0.3}}],"mb":149000.0,"step_ms":9.27,"per_seq_ms":0.0232,"context_per_k":0.0322,"read_per_s":20700.0,"chunk":2048,"report_lag_ms":200.0,"usual":{{"prompt":600,"answer":100}},"layers":16,"layer_mb":4090.0,"chunks":48,"chunk-bytes":49152}}}},{{"name":"weights","origin":"{origin}","zone":"wien-a","link-mbps":15.0,"max-conns":48}}],"limits":{{"header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"t1","api-keys":["key1"],"priority":1}}]}}"#
    )
}

#[derive(Default)]
struct Outcomes {
    whole: AtomicU64,
    /// Ended as complete before the last event.
    truncated: AtomicU64,
    /// Visibly cut.
    cut: AtomicU64,
    other: AtomicU64,
}

fn call(entry: &str, caller: usize, ends: &AtomicBool, outcomes: &Outcomes, record: &Record) {
    let mut conn: Option<Conn> = None;
    let mut count = 0;
    while !ends.load(Ordering::SeqCst) {
        count += 1;
        let id = format!("{caller:02x}{count:06x}");
        let opened = conn
            .take()
            .or_else(|| TcpStream::connect(format!("{entry}:{}", kit::CALLER_PORT)).ok().map(Conn::new));
        let Some(mut channel) = opened else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let _ = channel.stream.set_read_timeout(Some(Duration::from_secs(7)));
        let text = format!(
            "POST /chat/{caller}/{count} HTTP/1.1\r\nHost: chat.example\r\nX-Request-Id: {id}\r\nX-Model: {MODEL}\r\nX-Token-Counts: 640,100\r\nX-Prompt-Prefix: aa01:40,{id}:600\r\nX-Deadline-Ms: 6000\r\nApi-Key: key1\r\nContent-Length: 2\r\n\r\nhi"
        );
        let answer = channel.write(text.as_bytes()).and_then(|()| channel.read_head());
        let body = answer.as_ref().and_then(|(_, headers)| channel.read_body(headers));
        let first = answer.map_or_else(|| "closed".to_owned(), |(first, _)| first);
        let counter = match &body {
            Some(body) if first.contains(" 200") => {
                let text = String::from_utf8_lossy(body);
                let events = text.matches("id: ").count() as u64;
                if events == EVENTS && text.ends_with(&format!("{id} {}\n\n", EVENTS - 1)) {
                    record.line(&format!("caller {caller}: {id} answered, {events} events"));
                    &outcomes.whole
                } else {
                    record.line(&format!(
                        "caller {caller}: {id} ends as complete after {events} of {EVENTS} events"
                    ));
                    &outcomes.truncated
                }
            }
            None if first.contains(" 200") => {
                record.line(&format!("caller {caller}: {id} is cut"));
                &outcomes.cut
            }
            _ => {
                record.line(&format!("caller {caller}: {id} {first}"));
                thread::sleep(Duration::from_millis(200));
                &outcomes.other
            }
        };
        counter.fetch_add(1, Ordering::SeqCst);
        if body.is_some() {
            conn = Some(channel);
        }
        thread::sleep(Duration::from_millis(30 + (caller * 7 + count * 13) as u64 % 23 * 6));
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [role, id, address, born] = arguments.as_slice()
        && role == "replica"
    {
        return run_replica(id, address, born);
    }
    let path = arguments.first().unwrap_or_else(|| kit::cannot_run("no path of a record"));
    let record = Record::new(path);
    let trouble = kit::has_trouble();
    let folder = kit::temporary_folder();
    let net = kit::network();
    let store = Store::start(&format!("{net}.9"));
    // No version is named, so nothing is read from the origin.
    store.put("op", "config", &configuration(&format!("{net}.10:8006")));
    let mut replicas = Vec::new();
    let mut agents = Vec::new();
    for number in 0..3 {
        let ip = format!("{net}.{}", 20 + number);
        let address = format!("{ip}:8001");
        replicas.push(Replica::start(&store, format!("i-{number}-0"), &address));
        agents.push(Process::start(
            &folder,
            &Settings {
                name: &format!("side-{number}"),
                ip: &ip,
                zone: "wien-a",
                store: store.address,
                replica: Some((&address, SERVICE)),
            },
        ));
    }
    let entry_ip = format!("{net}.1");
    let entry = Process::start(
        &folder,
        &Settings { name: "front-0", ip: &entry_ip, zone: "wien-a", store: store.address, replica: None },
    );
    kit::wait_until_ready(&entry_ip);
    let started = Instant::now();
    let outcomes = Arc::new(Outcomes::default());
    let ends = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for caller in 0..18 {
        let (ip, ends) = (entry_ip.clone(), Arc::clone(&ends));
        let (outcomes, record) = (Arc::clone(&outcomes), Arc::clone(&record));
        threads.push(thread::spawn(move || call(&ip, caller, &ends, &outcomes, &record)));
    }
    let replicas = Mutex::new(replicas);
    let wait_until = |at: Duration| {
        thread::sleep((started + at).saturating_duration_since(Instant::now()));
    };
    for (round, second) in CRASHES_S.into_iter().enumerate() {
        wait_until(Duration::from_secs(second));
        if !trouble {
            continue;
        }
        let number = round % 3;
        let mut replicas = replicas.lock().unwrap();
        let replica = &mut replicas[number];
        record.line(&format!("{} crashes (SIGKILL)", replica.id));
        let _ = replica.child.kill();
        let _ = replica.child.wait();
        // Its row is removed after three check-ins without one.
        wait_until(Duration::from_secs(second) + Duration::from_millis(3_600));
        store.remove("servers", &replica.id);
        wait_until(Duration::from_secs(second) + DOWN);
        let id = format!("i-{number}-{}", round + 1);
        *replica = Replica::start(&store, id, &format!("{net}.{}:8001", 20 + number));
        record.line(&format!("{} is back at its address", replica.id));
    }
    wait_until(Duration::from_secs(28));
    ends.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    for replica in replicas.lock().unwrap().iter_mut() {
        let _ = replica.child.kill();
        let _ = replica.child.wait();
    }
    drop(agents);
    drop(entry);
    let _ = std::fs::remove_dir_all(&folder);
    let get = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    record.say(&format!(
        "{} streams whole, {} ended as complete before their last event, {} cut, {} others",
        get(&outcomes.whole),
        get(&outcomes.truncated),
        get(&outcomes.cut),
        get(&outcomes.other)
    ));
    if get(&outcomes.whole) < 50 {
        kit::cannot_run("too few streams were answered");
    }
    if get(&outcomes.truncated) > 0 {
        record.say("ORDER is broken");
        std::process::exit(1);
    }
    record.say("ORDER held");
}

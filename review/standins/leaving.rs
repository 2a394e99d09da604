//! Case: a replica that leaves says so in all its answers while the store turns the entry away.
//!
//! Arguments: path of the record.

mod kit;

use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::{Conn, Process, Record, Settings, Store, response};

const SERVICE: &str = "orders";
const DRAIN: Duration = Duration::from_secs(2);
/// Time that a replica serves after the store has accepted that it leaves: `drain-ms` and some
/// seconds.
const SERVES: Duration = Duration::from_secs(6);
/// Time for which the store turns the entry away; the site file's `nodes busy` lasts as long.
const TURNED_AWAY: Duration = Duration::from_secs(9);
const WORK: Duration = Duration::from_millis(250);

/// A replica of a plain service.
struct Replica {
    id: String,
    address: String,
    leaving: AtomicBool,
    gone: AtomicBool,
    /// When its first answer with `Server-Leaving` was passed on to a caller.
    passed_on: Mutex<Option<Instant>>,
    late: AtomicU64,
    cut: AtomicU64,
    runs: AtomicU64,
    channels: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
    /// When the caller sent each request, by its id.
    sent: Arc<Mutex<std::collections::HashMap<String, Instant>>>,
}

impl Replica {
    fn start(
        id: &str,
        ip: &str,
        record: &Arc<Record>,
        sent: &Arc<Mutex<std::collections::HashMap<String, Instant>>>,
    ) -> Arc<Self> {
        let listener = kit::listen(&format!("{ip}:0"));
        let replica = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap().to_string(),
            leaving: AtomicBool::new(false),
            gone: AtomicBool::new(false),
            passed_on: Mutex::new(None),
            late: AtomicU64::new(0),
            cut: AtomicU64::new(0),
            runs: AtomicU64::new(0),
            channels: Mutex::default(),
            record: Arc::clone(record),
            sent: Arc::clone(sent),
        });
        let served = Arc::clone(&replica);
        thread::spawn(move || {
            listener.set_nonblocking(true).unwrap();
            while !served.gone.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                served.channels.lock().unwrap().push(stream.try_clone().unwrap());
                let served = Arc::clone(&served);
                thread::spawn(move || {
                    let mut conn = Conn::new(stream);
                    while served.answer(&mut conn).is_some() {}
                });
            }
        });
        replica
    }

    fn row(&self) -> String {
        let state = if self.leaving.load(Ordering::SeqCst) { "draining" } else { "ready" };
        format!(
            r#"{{"service":"{SERVICE}","address":"{}","zone":"wien-a","version":"v1","slot-count":6,"state":"{state}","cold-left-ms":0,"seq":1,"born":1700000000000}}"#,
            self.address
        )
    }

    fn answer(&self, conn: &mut Conn) -> Option<()> {
        let request = conn.read_request()?;
        if self.gone.load(Ordering::SeqCst) {
            return None;
        }
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let mut headers = vec![("X-Request-Id", id.as_str())];
        if self.leaving.load(Ordering::SeqCst) {
            headers.push(("Server-Leaving", "1"));
        }
        if request.header("x-expect-replica") != Some(self.id.as_str()) {
            headers.push(("X-Not-Executed", "1"));
            return conn.write(&response(421, &headers, b""));
        }
        let sent_at = self.sent.lock().unwrap().get(&id).copied();
        if let (Some(passed_on), Some(sent_at)) = (*self.passed_on.lock().unwrap(), sent_at)
            && sent_at > passed_on + DRAIN
        {
            self.late.fetch_add(1, Ordering::SeqCst);
            self.record.line(&format!(
                "{} gets {id}, sent {:.3} s after the entry passed on its Server-Leaving",
                self.id,
                (sent_at - passed_on).as_secs_f64()
            ));
        }
        self.runs.fetch_add(1, Ordering::SeqCst);
        thread::sleep(WORK);
        if self.gone.load(Ordering::SeqCst) {
            self.cut.fetch_add(1, Ordering::SeqCst);
            self.record.line(&format!("{} has ended while it ran {id}", self.id));
            return None;
        }
        let seal = format!("s.{}.{id}", self.id);
        headers.push(("X-Response-Seal", &seal));
        conn.write(&response(200, &headers, id.as_bytes()))
    }

    fn end(&self) {
        self.gone.store(true, Ordering::SeqCst);
        for channel in self.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
    }
}

fn configuration() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"book","host":"book.example","prefix":"/book/","kind":"non_idempotent","timeout-ms":800,"goal-ms":300,"priority":2,"service":"{SERVICE}","attempts":1,"anonymous":false}}],"services":[{{"name":"{SERVICE}","health-path":"/health","max-conns":96,"protocol":"h1","tls":false}}],"limits":{{"header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"t1","api-keys":["key1"],"priority":1}}]}}"#
    )
}

#[derive(Default)]
struct Outcomes {
    answered: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
}

fn main() {
    let path = std::env::args().nth(1).unwrap_or_else(|| kit::cannot_run("no path of a record"));
    let record = Record::new(&path);
    let trouble = kit::has_trouble();
    let folder = kit::temporary_folder();
    let net = kit::network();
    let store = Store::start(&format!("{net}.9"));
    store.put("op", "config", &configuration());
    let sent = Arc::new(Mutex::default());
    let mut replicas = Vec::new();
    for number in 0..3 {
        let ip = format!("{net}.{}", 20 + number);
        let replica = Replica::start(&format!("i-{number}"), &ip, &record, &sent);
        store.put("servers", &replica.id, &replica.row());
        replicas.push(replica);
    }
    let entry_ip = format!("{net}.1");
    let settings = Settings {
        name: "front-0",
        ip: &entry_ip,
        zone: "wien-a",
        store: store.address,
        replica: None,
    };
    let entry = Process::start(&folder, &settings);
    kit::wait_until_ready(&entry_ip);
    let started = Instant::now();
    let outcomes = Arc::new(Outcomes::default());
    let ends = Arc::new(AtomicBool::new(false));
    let leaver = Arc::clone(&replicas[1]);
    let mut threads = Vec::new();
    for caller in 0..14_u32 {
        let (ip, ends, outcomes) = (entry_ip.clone(), Arc::clone(&ends), Arc::clone(&outcomes));
        let (record, sent, leaver) = (Arc::clone(&record), Arc::clone(&sent), Arc::clone(&leaver));
        threads.push(thread::spawn(move || {
            let mut conn: Option<Conn> = None;
            let mut count: u32 = 0;
            while !ends.load(Ordering::SeqCst) {
                count += 1;
                let id = format!("{caller:02x}{count:06x}");
                let kept = conn.take();
                let opened =
                    kept.or_else(|| TcpStream::connect(format!("{ip}:{}", kit::CALLER_PORT)).ok().map(Conn::new));
                let Some(mut channel) = opened else {
                    thread::sleep(Duration::from_millis(100));
                    continue;
                };
                let _ = channel.stream.set_read_timeout(Some(Duration::from_secs(2)));
                sent.lock().unwrap().insert(id.clone(), Instant::now());
                let text = format!(
                    "POST /book/{caller}/{count} HTTP/1.1\r\nHost: book.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 1500\r\nApi-Key: key1\r\nContent-Length: 4\r\n\r\nbook"
                );
                let answer = channel.write(text.as_bytes()).and_then(|()| channel.read_head());
                let body = answer.as_ref().and_then(|(_, headers)| channel.read_body(headers));
                let (first, headers) = answer.unwrap_or_else(|| ("closed".to_owned(), Vec::new()));
                let is_leaving = headers.iter().any(|(name, _)| name == "server-leaving");
                if first.contains(" 200") && body.is_some() {
                    outcomes.answered.fetch_add(1, Ordering::SeqCst);
                    if is_leaving {
                        let mut passed_on = leaver.passed_on.lock().unwrap();
                        if passed_on.is_none() {
                            *passed_on = Some(Instant::now());
                            record.line(&format!("caller {caller}: {id} answered with Server-Leaving, the first one"));
                        }
                    }
                } else if first.contains(" 503") {
                    outcomes.refused.fetch_add(1, Ordering::SeqCst);
                    record.line(&format!("caller {caller}: {id} refused: {first}"));
                    thread::sleep(Duration::from_millis(150));
                } else {
                    outcomes.failed.fetch_add(1, Ordering::SeqCst);
                    record.line(&format!("caller {caller}: {id} failed: {first}"));
                }
                if body.is_some() {
                    conn = Some(channel);
                }
                // Callers keep no common pace.
                thread::sleep(Duration::from_millis(40 + u64::from((caller * 7 + count * 13) % 23) * 6));
            }
        }));
    }
    let wait_until = |seconds: u64| {
        thread::sleep((started + Duration::from_secs(seconds)).saturating_duration_since(Instant::now()));
    };
    wait_until(7);
    if trouble {
        store.set_busy(true);
        record.line("the store turns the entry away with 503");
    }
    wait_until(8);
    leaver.leaving.store(true, Ordering::SeqCst);
    store.put("servers", &leaver.id, &leaver.row());
    record.line(&format!("the store accepts that {} is draining", leaver.id));
    thread::sleep(SERVES);
    record.line(&format!("{} ends", leaver.id));
    leaver.end();
    store.remove("servers", &leaver.id);
    wait_until(7 + TURNED_AWAY.as_secs());
    store.set_busy(false);
    record.line("the store serves the entry");
    wait_until(19);
    ends.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    drop(entry);
    let _ = std::fs::remove_dir_all(&folder);
    let get = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
    record.say(&format!(
        "{} answered, {} refused, {} failed; {} requests reached the leaving replica too late, {} were cut when it ended",
        get(&outcomes.answered),
        get(&outcomes.refused),
        get(&outcomes.failed),
        get(&leaver.late),
        get(&leaver.cut)
    ));
    if get(&outcomes.answered) < 100 || trouble && leaver.passed_on.lock().unwrap().is_none() {
        kit::cannot_run("too few answers, or none with Server-Leaving");
    }
    if get(&leaver.late) > 0 {
        record.say("DRAIN is broken");
        std::process::exit(1);
    }
    record.say("DRAIN held");
}

//! Parts that the cases share: a small HTTP/1.1 server, the platform's store, a replica's
//! weights, processes under test and the record of a run. Only the standard library is used.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- signals

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

// ---------------------------------------------------------------- record

/// Lines of `record.txt`, each with the seconds since the start.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn new(path: &str) -> Arc<Self> {
        let file = File::create(path).unwrap_or_else(|error| cannot_run(&error.to_string()));
        Arc::new(Self {
            started: Instant::now(),
            file: Mutex::new(file),
        })
    }

    pub fn line(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// Ends the run with the status for a case that could not run. The processes under test end with
/// this one.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    let _ = fs::remove_dir_all(folder_path());
    std::process::exit(2);
}

/// Returns whether the run has its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(elapsed.as_millis()).unwrap()
}

/// Loopback network of this run, as the first three bytes of its addresses.
pub fn network() -> String {
    let id = std::process::id();
    format!("127.{}.{}", 64 + id / 250 % 120, id % 250)
}

// ---------------------------------------------------------------- HTTP

pub struct Req {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Req {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Connection with the bytes that were read beyond the last message.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> Option<()> {
        let mut bytes = [0; 65_536];
        let count = self.stream.read(&mut bytes).ok()?;
        if count == 0 {
            return None;
        }
        self.buffer.extend_from_slice(&bytes[..count]);
        Some(())
    }

    /// Reads a head; returns its first line and its headers with names in lower case.
    pub fn read_head(&mut self) -> Option<(String, Vec<(String, String)>)> {
        let end = loop {
            let found = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
            match found {
                Some(end) => break end,
                None => self.fill()?,
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let text = String::from_utf8_lossy(&head[..end]).into_owned();
        let mut lines = text.split("\r\n");
        let first = lines.next()?.to_owned();
        let headers = lines
            .filter_map(|line| {
                let (name, value) = line.split_once(':')?;
                Some((name.to_ascii_lowercase(), value.trim().to_owned()))
            })
            .collect();
        Some((first, headers))
    }

    fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    pub fn read_exact(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Some(self.buffer.drain(..count).collect())
    }

    /// Reads a body with a length or in chunks; `None` if it is cut.
    pub fn read_body(&mut self, headers: &[(String, String)]) -> Option<Vec<u8>> {
        let header = |name: &str| {
            let found = headers.iter().find(|(key, _)| key == name);
            found.map(|(_, value)| value.as_str())
        };
        if header("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let size = usize::from_str_radix(self.read_line()?.split(';').next()?, 16).ok()?;
                if size == 0 {
                    while !self.read_line()?.is_empty() {}
                    return Some(body);
                }
                body.extend(self.read_exact(size)?);
                self.read_line()?;
            }
        }
        let length = header("content-length").map_or(Some(0), |length| length.parse().ok())?;
        self.read_exact(length)
    }

    pub fn read_request(&mut self) -> Option<Req> {
        let (first, headers) = self.read_head()?;
        let mut words = first.split(' ');
        let method = words.next()?.to_owned();
        let target = words.next()?;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect();
        let body = self.read_body(&headers)?;
        Some(Req {
            method,
            path: path.to_owned(),
            query,
            headers,
            body,
        })
    }

    pub fn write(&mut self, bytes: &[u8]) -> Option<()> {
        self.stream.write_all(bytes).ok()
    }
}

/// Encodes a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

pub fn listen(address: &str) -> TcpListener {
    TcpListener::bind(address).unwrap_or_else(|error| cannot_run(&format!("{address}: {error}")))
}

/// Serves each connection on a thread; `handle` answers one request and returns `None` to
/// close the connection.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(&Req, &mut Conn) -> Option<()> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let mut conn = Conn::new(stream);
                while let Some(request) = conn.read_request() {
                    if handle(&request, &mut conn).is_none() {
                        return;
                    }
                }
            });
        }
    });
}

// ---------------------------------------------------------------- store

#[derive(Default)]
struct Rows {
    rows: BTreeMap<(String, String), (String, u64)>,
    changes: Vec<(u64, String, String, Option<String>)>,
    version: u64,
}

/// The platform's store, as far as the system reads it.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
    pub address: SocketAddr,
    /// True while the store turns the system's machines away with 503.
    pub busy: AtomicBool,
}

impl Store {
    pub fn start(ip: &str) -> Arc<Self> {
        let listener = listen(&format!("{ip}:0"));
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            address: listener.local_addr().unwrap(),
            busy: AtomicBool::new(false),
        });
        let served = Arc::clone(&store);
        serve(listener, move |request, conn| served.answer(request, conn));
        store
    }

    /// Turns the system's machines away, or serves them again. Writes are still accepted.
    pub fn set_busy(&self, busy: bool) {
        self.busy.store(busy, Ordering::SeqCst);
        self.changed.notify_all();
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.change(table, key, Some(value));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.change(table, key, None);
    }

    fn change(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let id = (table.to_owned(), key.to_owned());
        match value {
            Some(value) => rows.rows.insert(id, (value.to_owned(), version)),
            None => rows.rows.remove(&id),
        };
        rows.changes.push((
            version,
            table.to_owned(),
            key.to_owned(),
            value.map(str::to_owned),
        ));
        self.changed.notify_all();
    }

    fn encode_row(table: &str, key: &str, value: Option<&str>, version: u64) -> String {
        let value = match value {
            Some(value) => format!(r#""value":"{}""#, base64(value.as_bytes())),
            None => r#""deleted":true"#.to_owned(),
        };
        format!(r#"{{"table-name":"{table}","part":"","key":"{key}",{value},"row-version":{version}}}"#)
    }

    fn answer(&self, request: &Req, conn: &mut Conn) -> Option<()> {
        let field = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let table = field("table-name");
        let mut rows = self.rows.lock().unwrap();
        let listed: Vec<String> = match request.path.as_str() {
            "/v1/rows-get" => {
                let from = field("from");
                let target = field("target");
                rows.rows
                    .iter()
                    .filter(|((of, key), _)| *of == table && *key >= from)
                    .filter(|((_, key), _)| target.is_empty() || *key < target)
                    .map(|((of, key), (value, at))| Self::encode_row(of, key, Some(value), *at))
                    .collect()
            }
            "/v1/rows-feed" => {
                let after: u64 = field("after").parse().unwrap_or(0);
                let wait_ms: u64 = field("wait-ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
                loop {
                    let newer: Vec<String> = rows
                        .changes
                        .iter()
                        .filter(|(version, of, _, _)| *version > after && *of == table)
                        .map(|(version, of, key, value)| {
                            Self::encode_row(of, key, value.as_deref(), *version)
                        })
                        .collect();
                    if self.busy.load(Ordering::SeqCst) {
                        break Vec::new();
                    }
                    let left = until.saturating_duration_since(Instant::now());
                    if !newer.is_empty() || left.is_zero() {
                        break newer;
                    }
                    rows = self.changed.wait_timeout(rows, left).unwrap().0;
                }
            }
            _ => {
                drop(rows);
                return conn.write(&response(404, &[], b""));
            }
        };
        let body = format!(
            r#"{{"rows":[{}],"has-more":false,"row-version":{},"now-ms":{}}}"#,
            listed.join(","),
            rows.version,
            self.started.elapsed().as_millis()
        );
        drop(rows);
        if self.busy.load(Ordering::SeqCst) {
            return conn.write(&response(503, &[], b""));
        }
        let json = [("Content-Type", "application/json")];
        conn.write(&response(200, &json, body.as_bytes()))
    }
}

// ---------------------------------------------------------------- encodings

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let word = three
            .iter()
            .chain([0, 0].iter())
            .take(3)
            .fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        for digit in 0..4 {
            if digit <= three.len() {
                let index = word >> (18 - 6 * digit) & 63;
                text.push(char::from(DIGITS[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Returns the number that follows `"name":` in a JSON text.
pub fn json_number(text: &str, name: &str) -> Option<u64> {
    let at = text.find(&format!("\"{name}\":"))? + name.len() + 3;
    let digits: String = text[at..]
        .trim_start()
        .chars()
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().ok()
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// SHA-256, FIPS 180-4.
pub fn sha256(message: &[u8]) -> [u8; 32] {
    // First 32 bits of the fractional parts of the roots of the first primes.
    let mut primes = Vec::new();
    let mut candidate = 2_u64;
    while primes.len() < 64 {
        if primes.iter().all(|prime| candidate % prime != 0) {
            primes.push(candidate);
        }
        candidate += 1;
    }
    let root_bits = |prime: u64, degree: u32| {
        // Largest r with r^degree <= prime * 2^(32 * degree), by bisection.
        let (mut low, mut high) = (0_u128, 1_u128 << 40);
        while high - low > 1 {
            let middle = (low + high) / 2;
            let fits = if degree == 2 {
                middle * middle <= u128::from(prime) << 64
            } else {
                middle * middle * middle <= u128::from(prime) << 96
            };
            if fits {
                low = middle;
            } else {
                high = middle;
            }
        }
        (low & 0xffff_ffff) as u32
    };
    let constants: Vec<u32> = primes.iter().map(|prime| root_bits(*prime, 3)).collect();
    let mut state: Vec<u32> = primes[..8].iter().map(|prime| root_bits(*prime, 2)).collect();
    let mut padded = message.to_vec();
    padded.push(0x80);
    while padded.len() % 64 != 56 {
        padded.push(0);
    }
    padded.extend_from_slice(&(message.len() as u64 * 8).to_be_bytes());
    for block in padded.chunks(64) {
        let mut words = [0_u32; 64];
        for (index, word) in block.chunks(4).enumerate() {
            words[index] = u32::from_be_bytes([word[0], word[1], word[2], word[3]]);
        }
        for index in 16..64 {
            let (early, late) = (words[index - 15], words[index - 2]);
            let small_0 = early.rotate_right(7) ^ early.rotate_right(18) ^ (early >> 3);
            let small_1 = late.rotate_right(17) ^ late.rotate_right(19) ^ (late >> 10);
            words[index] = words[index - 16]
                .wrapping_add(small_0)
                .wrapping_add(words[index - 7])
                .wrapping_add(small_1);
        }
        let mut v: [u32; 8] = state.clone().try_into().unwrap();
        for index in 0..64 {
            let big_1 = v[4].rotate_right(6) ^ v[4].rotate_right(11) ^ v[4].rotate_right(25);
            let choice = (v[4] & v[5]) ^ (!v[4] & v[6]);
            let first = v[7]
                .wrapping_add(big_1)
                .wrapping_add(choice)
                .wrapping_add(constants[index])
                .wrapping_add(words[index]);
            let big_0 = v[0].rotate_right(2) ^ v[0].rotate_right(13) ^ v[0].rotate_right(22);
            let majority = (v[0] & v[1]) ^ (v[0] & v[2]) ^ (v[1] & v[2]);
            let second = big_0.wrapping_add(majority);
            v.rotate_right(1);
            v[4] = v[4].wrapping_add(first);
            v[0] = first.wrapping_add(second);
        }
        for (word, added) in state.iter_mut().zip(v) {
            *word = word.wrapping_add(added);
        }
    }
    let mut digest = [0; 32];
    for (four, word) in digest.chunks_mut(4).zip(state) {
        four.copy_from_slice(&word.to_be_bytes());
    }
    digest
}

// ---------------------------------------------------------------- processes

/// Makes the kernel kill the command's process when this one ends.
pub fn end_with_parent(command: &mut Command) {
    // SAFETY: `prctl` is async-signal-safe and touches nothing of the parent.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        });
    }
}

/// A process under test; killed when it is dropped.
pub struct Process {
    child: Child,
    pub name: String,
}

/// Settings of a process, with the limits of the pages' small deployment.
pub struct Settings<'a> {
    pub name: &'a str,
    pub ip: &'a str,
    pub zone: &'a str,
    pub store: SocketAddr,
    /// Address and service of the replica beside an agent; `None` for an entry.
    pub replica: Option<(&'a str, &'a str)>,
}

pub const CALLER_PORT: u16 = 8005;
pub const READY_PORT: u16 = 8002;

impl Process {
    pub fn start(folder: &PathBuf, settings: &Settings<'_>) -> Self {
        let Settings {
            name,
            ip,
            zone,
            store,
            replica,
        } = settings;
        let (role, class, limits, own) = match replica {
            None => (
                "entry",
                "front",
                r#""cpu-share":0.19,"cores":1,"memory-mb":260,"max-fds":4200,"link-mbps":1000.0,"disk-mb":0"#,
                format!(
                    r#""listen":{{"front":"{ip}:{CALLER_PORT}","ready":"{ip}:{READY_PORT}"}}"#
                ),
            ),
            Some((address, service)) => (
                "agent",
                "side",
                r#""cpu-share":0.3,"cores":1,"memory-mb":128,"max-fds":2048,"link-mbps":9.4,"disk-mb":0"#,
                format!(r#""listen":{{}},"app":"{address}","service":"{service}""#),
            ),
        };
        let text = format!(
            r#"{{"node":"{name}","role":"{role}","machine-class":"{class}","serves":["{class}"],
"ip":"{ip}","zone":"{zone}","region":"wien","zones":{{"wien-a":"wien"}},{own},
"port-range":[7700,7715],"seeds":[],"bootstrap":true,"loss-counts":false,
"limits":{{{limits}}},"data-dir":null,"discovery":"platform","entry":"vip","heartbeat-ms":1200,
"bounds":{{"seed-lag-s":3,"reuse-after-s":2,"stable-ms":3000,"ack-ms":4000,"catch-up-s":4,
"drain-ms":2000,"grace-s":8,"loss-slack-ms":200,"config-ms":2000,"rollback-slack-ms":250,
"skew-max-ms":5000,"revoke-strict":false,"revoke-ms":5000,"retry-budget-ratio":0.2,
"budget-window-s":10,"budget-slack":100,"recover-s":12,"pass-ms":120,"retry-after-s":0,
"version_ms":8000,"version_all_ms":0}},
"provider":{{"address":"{store}","form":"table","writes-per-s":400,"reads-per-s":2000}}}}"#
        );
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, text).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let log = File::create(folder.join(format!("{name}.log")))
            .unwrap_or_else(|error| cannot_run(&error.to_string()));
        let errors = log.try_clone().unwrap();
        let mut command = Command::new("target/release/masticdockd");
        end_with_parent(&mut command);
        let child = command
            .args(["node", role])
            .env("MASTICDOCK_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("masticdockd: {error}")));
        Self {
            child,
            name: (*name).to_owned(),
        }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: `kill` has no memory effects; the child has not been reaped.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the resident memory in bytes.
    pub fn memory_bytes(&self) -> u64 {
        let path = format!("/proc/{}/statm", self.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let pages: Option<u64> = text.split(' ').nth(1).and_then(|word| word.parse().ok());
        pages.unwrap_or(0) * page_bytes()
    }
}

fn page_bytes() -> u64 {
    unsafe extern "C" {
        fn getpagesize() -> i32;
    }
    // SAFETY: takes no arguments and cannot fail.
    unsafe { getpagesize() as u64 }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until an entry reports that it is ready.
pub fn wait_until_ready(ip: &str) {
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        if let Ok(stream) = TcpStream::connect(format!("{ip}:{READY_PORT}")) {
            let mut conn = Conn::new(stream);
            let asked = conn.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
            let head = asked.and_then(|()| conn.read_head());
            if head.is_some_and(|(first, _)| first.contains(" 200")) {
                return;
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    cannot_run("the entry did not become ready");
}

fn folder_path() -> PathBuf {
    std::env::temp_dir().join(format!("masticdock-review-{}", std::process::id()))
}

/// Creates a temporary folder for settings and logs.
pub fn temporary_folder() -> PathBuf {
    let path = folder_path();
    fs::create_dir_all(&path).unwrap_or_else(|error| cannot_run(&error.to_string()));
    path
}

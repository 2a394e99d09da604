//! Stand-ins for the store, the upstreams and the callers of one small deployment on loopback
//! addresses, and the processes under test. Uses the standard library only.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// Host that all routes match.
pub const HOST: &str = "desk.example";
/// API key of the only tenant.
pub const KEY: &str = "k3f9a7c1d5";

/// Writes what was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self(
            Arc::new(Mutex::new(File::create(path)?)),
            Instant::now(),
        ))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.1.elapsed().as_secs_f64();
        let mut file = self.0.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {}", text.as_ref());
    }
}

/// Loopback addresses of one run; no other process uses the block.
#[derive(Clone, Copy)]
pub struct Block(u8, u8);

impl Block {
    pub fn free() -> Result<Self, Error> {
        let mut seed = u64::from(std::process::id()) ^ unix_ms();
        for _ in 0..64 {
            seed = seed
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            let block = Self(64 + (seed >> 33) as u8 % 160, (seed >> 45) as u8);
            let taken = (1..=30).any(|host| TcpListener::bind((block.ip(host), 8005)).is_err());
            if !taken {
                return Ok(block);
            }
        }
        Err("no free loopback addresses".into())
    }

    pub fn ip(self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.0, self.1, host))
    }

    pub fn at(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(host), port)
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

/// Head and body of a request or response.
#[derive(Default, Clone, Debug)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(own, _)| own.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = Vec::new();
    reader
        .read_until(b'\n', &mut line)
        .ok()
        .filter(|read| *read > 0)?;
    Some(String::from_utf8_lossy(&line).trim_end().to_owned())
}

pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message {
        first_line: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(message);
        }
        let (name, value) = line.split_once(':')?;
        message
            .headers
            .push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads a body that its length or its chunks delimit; `None` if it is cut off.
pub fn read_delimited(reader: &mut impl BufRead, message: &Message) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"));
    if chunked {
        loop {
            let size =
                usize::from_str_radix(read_line(reader)?.split(';').next()?.trim(), 16).ok()?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk).ok()?;
            read_line(reader)?;
            if size == 0 {
                return Some(body);
            }
            body.extend(chunk);
        }
    }
    let length = message
        .header("content-length")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    body.resize(length, 0);
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// Serves requests, each connection on a thread of its own; `script` returns false to close.
pub fn serve(
    address: SocketAddr,
    script: impl Fn(Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let script = Arc::new(script);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let script = Arc::clone(&script);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Some(mut request) = read_head(&mut reader) {
                    let Some(body) = read_delimited(&mut reader, &request) else {
                        return;
                    };
                    request.body = body;
                    if !script(request, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part
            .iter()
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for digit in 0..4 {
            let index = (word >> (18 - 6 * digit)) & 63;
            text.push(if digit <= part.len() {
                DIGITS[index as usize] as char
            } else {
                '='
            });
        }
    }
    text
}

type Rows = BTreeMap<(String, String), (u64, Option<String>)>;

/// Rows of the store and the counter of their versions.
#[derive(Clone, Default)]
pub struct Contents(u64, Rows);

#[derive(Default)]
struct StoreState {
    contents: Contents,
    era: u64,
    is_away: bool,
}

/// The platform's store: tables `op` and `servers`, reads and feeds.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let store = Self {
            state: Arc::default(),
            address,
        };
        let served = store.clone();
        serve(address, move |request, stream| {
            served.answer(&request, stream)
        })?;
        Ok(store)
    }

    /// Writes a row; the return is the confirmation.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(base64(value.as_bytes())));
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.state.0.lock().unwrap();
        let Contents(version, rows) = &mut state.contents;
        *version += 1;
        rows.insert((table.to_owned(), key.to_owned()), (*version, value));
        self.state.1.notify_all();
    }

    /// Returns a copy of the contents.
    pub fn copy(&self) -> Contents {
        self.state.0.lock().unwrap().contents.clone()
    }

    /// Closes each channel on which a call arrives or waits, until the store comes back.
    pub fn go_away(&self) {
        self.state.0.lock().unwrap().is_away = true;
        self.state.1.notify_all();
    }

    /// Comes back from a copy, in the next era.
    pub fn come_back(&self, copy: Contents) {
        let mut state = self.state.0.lock().unwrap();
        state.contents = copy;
        state.era += 1;
        state.is_away = false;
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let query: BTreeMap<&str, &str> = request
            .path()
            .split_once('?')
            .map_or("", |(_, query)| query)
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let table = query.get("table-name").copied().unwrap_or_default();
        let is_feed = request.path().starts_with("/v1/rows-feed");
        let number = |name| {
            query
                .get(name)
                .and_then(|text: &&str| text.parse().ok())
                .unwrap_or(0u64)
        };
        let after = if is_feed { number("after") } else { 0 };
        let until = Instant::now() + Duration::from_millis(number("wait-ms"));
        let mut state = self.state.0.lock().unwrap();
        loop {
            if state.is_away {
                return false;
            }
            let era = state.era;
            let Contents(newest, rows) = &state.contents;
            if after > *newest {
                let gone =
                    format!("HTTP/1.1 410 Gone\r\nStore-Era: {era}\r\nContent-Length: 0\r\n\r\n");
                return stream.write_all(gone.as_bytes()).is_ok();
            }
            let newest = *newest;
            let mut rows: Vec<_> = rows
                .iter()
                .filter(|((of, _), (version, value))| {
                    of == table && *version > after && (is_feed || value.is_some())
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if is_feed && rows.is_empty() && !left.is_zero() {
                state = self.state.1.wait_timeout(state, left).unwrap().0;
                continue;
            }
            if is_feed {
                rows.sort_by_key(|(_, (version, _))| *version);
            }
            let rows: Vec<String> = rows.into_iter().map(|((_, key), (version, value))| match value {
                Some(value) => format!(r#"{{"table-name":"{table}","part":"","key":"{key}","value":"{value}","row-version":{version}}}"#),
                None => format!(r#"{{"table-name":"{table}","part":"","key":"{key}","deleted":true,"row-version":{version}}}"#),
            }).collect();
            let body = format!(
                r#"{{"rows":[{}],"has-more":false,"row-version":{},"now-ms":{}}}"#,
                rows.join(","),
                newest,
                unix_ms()
            );
            drop(state);
            let head = format!(
                "HTTP/1.1 200 OK\r\nStore-Era: {era}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            return stream.write_all((head + &body).as_bytes()).is_ok();
        }
    }
}

/// Returns the row of an upstream.
pub fn upstream_row(
    service: &str,
    address: SocketAddr,
    state: &str,
    born: u64,
    seq: u64,
) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"wien-a","version":"v1","slot-count":6,"state":"{state}","cold-left-ms":0,"seq":{seq},"born":{born}}}"#
    )
}

/// Returns a configuration with one route to `service`, and `idle_routes` that nobody calls.
pub fn moved_configuration(version: u64, service: &str, idle_routes: u32) -> String {
    let idle: String = (0..idle_routes)
        .map(|number| format!(r#",{{"name":"r-idle-{number}","host":"{HOST}","prefix":"/idle-{number}/","kind":"idempotent","timeout-ms":3000,"goal-ms":300,"priority":2,"service":"orders","attempts":2,"anonymous":false}}"#))
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-orders","host":"{HOST}","prefix":"/orders/","kind":"idempotent","timeout-ms":3000,"goal-ms":300,"priority":2,"service":"{service}","attempts":2,"anonymous":false}}{idle}],"services":[{{"name":"orders","health-path":"/health","max-conns":96,"protocol":"h1","tls":false}},{{"name":"orders-b","health-path":"/health","max-conns":96,"protocol":"h1","tls":false}}],"limits":{{"header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"bozi300","api-keys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// Returns a configuration with one route to the service `orders`.
pub fn orders_configuration(version: u64, kind: &str, attempts: u32) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-orders","host":"{HOST}","prefix":"/orders/","kind":"{kind}","timeout-ms":3000,"goal-ms":300,"priority":2,"service":"orders","attempts":{attempts},"anonymous":false}}],"services":[{{"name":"orders","health-path":"/health","max-conns":96,"protocol":"h1","tls":false}}],"limits":{{"header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"bozi300","api-keys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// A process of the system, killed when dropped.
pub struct Node {
    child: Child,
    folder: PathBuf,
}

impl Node {
    /// Starts an entry on host 1 of the block.
    pub fn entry(block: Block, store: SocketAddr, folder: &Path) -> Result<Self, Error> {
        let ip = block.ip(1);
        let listen = format!(r#"{{"front":"{ip}:8005","ready":"{ip}:8002"}}"#);
        Self::start("entry", "front", block, ip, store, &listen, "", folder)
    }

    #[allow(clippy::too_many_arguments)]
    fn start(
        role: &str,
        class: &str,
        block: Block,
        ip: IpAddr,
        store: SocketAddr,
        listen: &str,
        extra: &str,
        folder: &Path,
    ) -> Result<Self, Error> {
        let _ = block;
        let settings = format!(
            r#"{{"node":"{class}-wien-a-1","role":"{role}","machine-class":"{class}","serves":["{class}"],"ip":"{ip}","zone":"wien-a","region":"wien","zones":{{"wien-a":"wien","tirol-a":"tirol","steiermark-a":"steiermark"}},"listen":{listen},{extra}"port-range":[7700,7715],"seeds":[],"bootstrap":true,"loss-counts":false,"limits":{{"cpu-share":0.19,"cores":1,"memory-mb":260,"max-fds":4200,"link-mbps":1000.0,"disk-mb":0}},"data-dir":null,"discovery":"platform","entry":"vip","heartbeat-ms":1200,"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","chunks"],"tolerate":{{"machines":1,"zones":0,"regions":0}},"bounds":{{"seed-lag-s":3,"reuse-after-s":2,"stable-ms":3000,"ack-ms":4000,"catch-up-s":4,"drain-ms":2000,"grace-s":8,"loss-slack-ms":200,"config-ms":2000,"rollback-slack-ms":250,"skew-max-ms":5000,"revoke-strict":false,"revoke-ms":5000,"retry-budget-ratio":0.2,"budget-window-s":10,"budget-slack":100,"recover-s":12,"pass-ms":120,"retry-after-s":0,"version_ms":8000,"version_all_ms":0}},"provider":{{"address":"{store}","form":"table","writes-per-s":400,"reads-per-s":2000,"tx-ms":3.0,"part-writes-s":300,"row-bytes":65536,"across":true,"history-s":20,"blob-bytes":8388608,"blob-ms":25.0,"blob-mb-s":80.0}}}}"#
        );
        let path = folder.join(format!("{role}.json"));
        fs::write(&path, settings)?;
        let log = File::create(folder.join(format!("{role}.log")))?;
        let program = std::env::current_dir()?.join("target/release/masticdockd");
        let child = Command::new(program)
            .args(["node", role])
            .env_clear()
            .env("MASTICDOCK_NODE_FILE", &path)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        Ok(Self {
            child,
            folder: folder.to_owned(),
        })
    }

    /// Waits until the process on host 1 of the block says that it is ready.
    pub fn wait_ready(&mut self, block: Block) -> Result<(), Error> {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait()? {
                return Err(format!(
                    "the process ended: {status}; log in {}",
                    self.folder.display()
                )
                .into());
            }
            let ask = format!("GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
            if let Ok(answer) = exchange(block.at(1, 8002), ask.as_bytes(), Duration::from_secs(1))
            {
                if answer.message.status() == 200 {
                    return Ok(());
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err("the process did not become ready".into())
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Answer that a caller got.
#[derive(Debug, Clone)]
pub struct Answer {
    pub message: Message,
}

/// Sends a request on a new connection and reads its whole answer.
pub fn exchange(address: SocketAddr, bytes: &[u8], timeout: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(bytes)?;
    let mut reader = BufReader::new(stream);
    let cut = || io::Error::new(io::ErrorKind::UnexpectedEof, "no complete answer");
    let mut message = read_head(&mut reader).ok_or_else(cut)?;
    while (100..200).contains(&message.status()) {
        message = read_head(&mut reader).ok_or_else(cut)?;
    }
    message.body = read_delimited(&mut reader, &message).ok_or_else(cut)?;
    Ok(Answer { message })
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a new id of a request.
pub fn request_id() -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    format!("{:08x}{number:08x}", unix_ms() as u32)
}

/// Returns a caller's request to the route `orders`.
pub fn orders_request(id: &str, method: &str, deadline_ms: u64, body: &str) -> String {
    format!(
        "{method} /orders/place HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\nApi-Key: {KEY}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    )
}

/// Creates a new folder for files of this run, removed by [`remove_folder`].
pub fn create_folder() -> io::Result<PathBuf> {
    let folder = std::env::temp_dir().join(format!(
        "masticdock-case-{}-{}",
        std::process::id(),
        unix_ms()
    ));
    fs::create_dir_all(&folder)?;
    Ok(folder)
}

pub fn remove_folder(folder: &Path) {
    if std::env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(folder);
    }
}

/// Returns whether the case is run with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

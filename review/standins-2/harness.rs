//! Processes, addresses and the record of a case.

use std::collections::HashMap;
use std::env;
use std::error::Error;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::Head;

pub type CaseResult = Result<u32, Box<dyn Error>>;

pub const STORE_PORT: u16 = 8_007;
pub const CALLERS_PORT: u16 = 8_005;
const READY_PORT: u16 = 8_002;
const PEER_PORT: u16 = 7_700;
/// Addresses of a network that a case may use: 127.N.M.1 to 127.N.M.40.
const HOSTS: u8 = 40;

pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

/// Loopback network of one run, `127.N.M.0`.
#[derive(Clone, Copy)]
pub struct Network(u8, u8);

impl Network {
    /// Finds a network whose ports are free.
    pub fn find() -> Result<Self, Box<dyn Error>> {
        let mut draw = u64::from(std::process::id()) * 2_654_435_761 + unix_ms();
        for _ in 0..200 {
            draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let [.., second, third] = (draw >> 24).to_be_bytes();
            let network = Self(second.clamp(20, 250), third);
            if network.is_free() {
                return Ok(network);
            }
        }
        Err("no loopback network has free ports".into())
    }

    fn is_free(self) -> bool {
        let ports = [
            STORE_PORT,
            CALLERS_PORT,
            READY_PORT,
            PEER_PORT,
            PEER_PORT + 1,
        ];
        (1..=HOSTS).all(|host| {
            let is_free = |port| TcpListener::bind(self.address(host, port)).is_ok();
            ports.into_iter().all(is_free) && UdpSocket::bind(self.address(host, PEER_PORT)).is_ok()
        })
    }

    pub fn ip(self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.0, self.1, host))
    }

    pub fn address(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(host), port)
    }
}

pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Returns whether the case plays its disruption.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").as_deref() != Ok("0")
}

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self(Arc::new((Instant::now(), Mutex::new(file)))))
    }

    pub fn note(&self, text: &str) {
        let (started, file) = &*self.0;
        let at = started.elapsed().as_secs_f64();
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        // The record is for readers; the case is judged by what it saw.
        let _ = writeln!(file, "{at:8.3} s  {text}");
        println!("{at:8.3} s  {text}");
    }
}

/// A process that the case started; it is killed when this is dropped.
pub struct Process(Child);

impl Process {
    pub fn signal(&self, signal: i32) {
        let Ok(process) = i32::try_from(self.0.id()) else {
            return;
        };
        // SAFETY: `kill` has no memory effects, and the child is not reaped before drop.
        unsafe { kill(process, signal) };
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        // Fails only if the process has ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts an entry with the command of the deploy file, on host `host` of the network.
pub fn start_entry(network: Network, host: u8, folder: &Path) -> Result<Process, Box<dyn Error>> {
    let ip = network.ip(host);
    let store = network.address(1, STORE_PORT);
    let settings = format!(
        r#"{{"node":"front-{host}","role":"entry","machine-class":"front","serves":["front"],
        "ip":"{ip}","zone":"wien-a","region":"wien","zones":{{"wien-a":"wien","tirol-a":"tirol"}},
        "listen":{{"front":"{ip}:{CALLERS_PORT}","ready":"{ip}:{READY_PORT}"}},
        "limits":{{"cpu-share":0.19,"cores":1,"memory-mb":260,"max-fds":4200,"link-mbps":1000.0,"disk-mb":0}},
        "port-range":[{PEER_PORT},{}],"seeds":[],"bootstrap":true,"loss-counts":false,
        "data-dir":null,"discovery":"platform","entry":"vip","heartbeat-ms":1200,
        "contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","chunks"],
        "tolerate":{{"machines":1,"zones":0,"regions":0}},
        "bounds":{{"seed-lag-s":3,"reuse-after-s":2,"stable-ms":3000,"ack-ms":4000,"catch-up-s":4,"drain-ms":2000,
        "grace-s":8,"loss-slack-ms":200,"config-ms":2000,"rollback-slack-ms":250,"skew-max-ms":5000,
        "revoke-strict":false,"revoke-ms":5000,"retry-budget-ratio":0.2,"budget-window-s":10,"budget-slack":100,
        "recover-s":12,"pass-ms":120,"retry-after-s":0,"version_ms":8000,"version_all_ms":0}},
        "provider":{{"address":"{store}","form":"table","writes-per-s":400,"reads-per-s":2000,"tx-ms":3.0,
        "part-writes-s":300,"row-bytes":65536,"across":true,"history-s":20}}}}"#,
        PEER_PORT + 15
    );
    let file = folder.join(format!("entry-{host}.json"));
    fs::write(&file, settings)?;
    let log = File::create(folder.join(format!("entry-{host}.log")))?;
    let child = Command::new("target/release/masticdockd")
        .args(["node", "entry"])
        .env_clear()
        .env("PATH", env::var_os("PATH").unwrap_or_default())
        .env("MASTICDOCK_NODE_FILE", file)
        .stdin(Stdio::null())
        .stderr(log.try_clone()?)
        .stdout(log)
        .spawn()?;
    Ok(Process(child))
}

/// Waits until an entry answers that it is ready.
pub fn wait_until_ready(network: Network, host: u8) -> Result<(), Box<dyn Error>> {
    for _ in 0..200 {
        if is_ready(network.address(host, READY_PORT)) == Some(200) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Err("the entry is not ready".into())
}

fn is_ready(address: SocketAddr) -> Option<u16> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    stream
        .write_all(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
        .ok()?;
    Some(Head::read(&mut BufReader::new(stream))?.status())
}

/// What an upstream told of a request.
struct Run {
    /// When the upstream told that it runs the request.
    began_at: Instant,
    /// The latest word, such as `runs` or `ended`.
    told: String,
}

/// An upstream in a process of its own, and the requests that it told to have run.
pub struct UpstreamProcess {
    pub id: String,
    pub address: SocketAddr,
    /// Unix time of its start, in milliseconds.
    pub born: u64,
    pub process: Process,
    runs: Arc<Mutex<HashMap<String, Run>>>,
}

impl UpstreamProcess {
    /// Starts an upstream of a kind that `upstream::run` knows.
    pub fn start(
        kind: &str,
        address: SocketAddr,
        id: &str,
        record: &Record,
    ) -> Result<Self, Box<dyn Error>> {
        let born = unix_ms();
        let mut child = Command::new(env::current_exe()?)
            .args(["upstream", kind, &address.to_string(), id])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().ok_or("no output")?;
        let runs: Arc<Mutex<HashMap<String, Run>>> = Arc::default();
        let (record, own_runs, own_id) = (record.clone(), Arc::clone(&runs), id.to_owned());
        let is_brief = kind == "framed";
        let (started, has_started) = std::sync::mpsc::channel();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if line == "listening" {
                    // The receiver waits for this line.
                    let _ = started.send(());
                    continue;
                }
                // The ends of many short answers would only fill the record.
                if !is_brief || !line.starts_with("ended ") {
                    record.note(&format!("upstream {own_id}: {line}"));
                }
                if let Some((word, request)) = line.split_once(' ') {
                    let mut runs = own_runs.lock().unwrap_or_else(PoisonError::into_inner);
                    let run = runs.entry(request.to_owned()).or_insert_with(|| Run {
                        began_at: Instant::now(),
                        told: String::new(),
                    });
                    run.told = word.to_owned();
                }
            }
        });
        let upstream = Self {
            id: id.to_owned(),
            address,
            born,
            process: Process(child),
            runs,
        };
        has_started
            .recv_timeout(Duration::from_secs(5))
            .map_err(|_| "an upstream did not start")?;
        Ok(upstream)
    }

    /// Has the upstream close its port, finish what runs and end.
    pub fn leave(&mut self) -> std::io::Result<()> {
        match &mut self.process.0.stdin {
            Some(input) => input.write_all(b"leave\n"),
            None => Ok(()),
        }
    }

    /// Returns the number of requests that the upstream has begun to run.
    pub fn run_count(&self) -> usize {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.len()
    }

    /// Returns the requests that the upstream began to run later than `at`, in order.
    pub fn runs_since(&self, at: Instant) -> Vec<(String, Instant)> {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let late = runs.iter().filter(|(_, run)| run.began_at > at);
        let mut late: Vec<(String, Instant)> = late
            .map(|(request, run)| (request.clone(), run.began_at))
            .collect();
        late.sort_by_key(|(_, began_at)| *began_at);
        late
    }

    /// Returns whether the upstream has begun to run a request.
    pub fn has_run(&self, request: &str) -> bool {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.contains_key(request)
    }

    /// Returns whether the upstream told this word of the request, such as `runs`.
    pub fn told(&self, word: &str, request: &str) -> bool {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(request).is_some_and(|run| run.told == word)
    }
}

/// Folder for settings and logs that is deleted at the end.
pub struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    pub fn create() -> std::io::Result<Self> {
        let name = format!("masticdock-review-{}-{}", std::process::id(), unix_ms());
        let folder = env::temp_dir().join(name);
        fs::create_dir(&folder)?;
        Ok(Self(folder))
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        if env::var_os("KEEP").is_none() {
            // A folder that stays behind does no harm.
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

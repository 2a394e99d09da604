//! A replica is killed while it writes an answer that ends with its channel.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{CallerRequest, call};
use crate::harness::{
    CALLERS_PORT, CaseResult, Network, Record, STORE_PORT, TemporaryFolder, UpstreamProcess,
    has_trouble, start_entry, unix_ms, wait_until_ready,
};
use crate::store::Store;
use crate::upstream::plain_body;

const CONFIGURATION: &str = r#"{"version":3,"routes":[
    {"name":"r-book","host":"jepu9.example","prefix":"/book/","kind":"non_idempotent","timeout-ms":1500,"goal-ms":300,"priority":2,"service":"orders","attempts":2,"anonymous":false,"sticky":false,"resumable":false},
    {"name":"r-look","host":"jepu9.example","prefix":"/look/","kind":"idempotent","timeout-ms":1500,"goal-ms":300,"priority":2,"service":"orders","attempts":2,"anonymous":false,"sticky":false,"resumable":false}],
    "services":[{"name":"orders","health-path":"/health","max-conns":96,"protocol":"h1","tls":false}],
    "limits":{"header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
    "tenants":[{"name":"bozi300","api-keys":["jnbanfqasnmgkcuyj8pj"]}]}"#;
const KEY: &str = "Api-Key: jnbanfqasnmgkcuyj8pj\r\n";

const ENTRY_HOST: u8 = 2;
const UPSTREAM_HOSTS: [u8; 3] = [21, 22, 23];
const UPSTREAM_PORT: u16 = 8_080;
const ROUNDS: usize = 8;
/// Time from the crash of a replica until it is back.
const DOWN_TIME: Duration = Duration::from_millis(2_500);
/// Time without a heartbeat after which a row is removed, from the crash on at most.
const ROW_TIME: Duration = Duration::from_millis(3_600);

pub fn run(folder: &Path) -> CaseResult {
    let record = Record::create(folder)?;
    let temporary = TemporaryFolder::create()?;
    let network = Network::find()?;
    let store = Store::start(network.address(1, STORE_PORT))?;
    store.put("op", "config", CONFIGURATION);
    let mut upstreams = Vec::new();
    for (index, host) in UPSTREAM_HOSTS.into_iter().enumerate() {
        let address = network.address(host, UPSTREAM_PORT);
        let id = format!("i-{index}");
        let upstream = UpstreamProcess::start("plain", address, &id, &record)?;
        register(&store, &upstream);
        upstreams.push(upstream);
    }
    let _entry = start_entry(network, ENTRY_HOST, temporary.path())?;
    wait_until_ready(network, ENTRY_HOST)?;
    thread::sleep(Duration::from_secs(3));
    let entry = network.address(ENTRY_HOST, CALLERS_PORT);
    let mut broken = 0;
    for round in 0..ROUNDS {
        let (method, path) = if round % 2 == 0 {
            ("POST", "/book/2f")
        } else {
            ("GET", "/look/2f")
        };
        let id = format!("{:016x}", unix_ms() * 64 + round as u64);
        record.note(&format!("caller sends {id}: {method} {path}"));
        let request_id = id.clone();
        let caller = thread::spawn(move || {
            call(
                entry,
                &CallerRequest {
                    method,
                    path,
                    id: &request_id,
                    deadline_ms: 1_500,
                    headers: KEY,
                    body: if method == "POST" { b"one pillow" } else { b"" },
                },
            )
        });
        let killed = if has_trouble() {
            Some(kill_at_half(&mut upstreams, &id, &record)?)
        } else {
            None
        };
        let answer = caller.join().map_err(|_| "a caller panicked")?;
        let whole = plain_body(&id);
        match answer {
            None => record.note(&format!("{id} got no answer")),
            Some(answer) => {
                record.note(&format!(
                    "{id} got {}, {}, sealed: {}, {} of {} bytes",
                    answer.status,
                    if answer.is_complete {
                        "complete"
                    } else {
                        "cut"
                    },
                    answer.is_sealed,
                    answer.body.len(),
                    whole.len()
                ));
                if answer.status == 200 && answer.is_complete && answer.body != whole {
                    broken += 1;
                    record.note(&format!(
                        "MIXED: {id} is answered with success and a body that is not the replica's whole body"
                    ));
                } else if answer.status != 200 && !has_trouble() {
                    return Err(format!("{id} is not served without trouble").into());
                }
            }
        }
        if let Some((index, crashed_at)) = killed {
            let number = UPSTREAM_HOSTS.len() + round;
            restart(&store, &mut upstreams[index], number, crashed_at, &record)?;
        }
    }
    record.note(&format!("{broken} of {ROUNDS} answers break the rule"));
    Ok(broken)
}

/// Writes the row of an upstream.
fn register(store: &Store, upstream: &UpstreamProcess) {
    let UpstreamProcess {
        id, address, born, ..
    } = upstream;
    store.put(
        "servers",
        id,
        &format!(
            r#"{{"service":"orders","address":"{address}","zone":"wien-a","version":"v1","slot-count":6,"state":"ready","cold-left-ms":0,"seq":1,"born":{born}}}"#
        ),
    );
}

/// Kills the upstream that has written half of the answer to a request; returns its index.
fn kill_at_half(
    upstreams: &mut [UpstreamProcess],
    request: &str,
    record: &Record,
) -> Result<(usize, Instant), Box<dyn std::error::Error>> {
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(3) {
        for (index, upstream) in upstreams.iter_mut().enumerate() {
            if upstream.told("half", request) {
                upstream.process.kill();
                record.note(&format!("upstream {} is killed", upstream.id));
                return Ok((index, Instant::now()));
            }
        }
        thread::sleep(Duration::from_millis(2));
    }
    Err("the request did not reach a replica".into())
}

/// Starts an upstream again under a new id, and has the row of the former one expire.
fn restart(
    store: &Store,
    upstream: &mut UpstreamProcess,
    number: usize,
    crashed_at: Instant,
    record: &Record,
) -> Result<(), Box<dyn std::error::Error>> {
    thread::sleep(DOWN_TIME.saturating_sub(crashed_at.elapsed()));
    let id = format!("i-{number}");
    let next = UpstreamProcess::start("plain", upstream.address, &id, record)?;
    register(store, &next);
    let former = std::mem::replace(upstream, next);
    thread::sleep(ROW_TIME.saturating_sub(crashed_at.elapsed()));
    store.remove("servers", &former.id);
    // The entry leaves an upstream that broke off alone for a while.
    thread::sleep(Duration::from_millis(2_400));
    Ok(())
}

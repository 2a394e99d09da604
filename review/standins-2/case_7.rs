//! An entry stands still; meanwhile a replica that writes streams crashes and comes back.

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{CallerRequest, call};
use crate::harness::{
    CALLERS_PORT, CaseResult, Network, Record, SIGCONT, SIGSTOP, STORE_PORT, TemporaryFolder,
    UpstreamProcess, has_trouble, start_entry, unix_ms, wait_until_ready,
};
use crate::store::Store;
use crate::upstream::{EVENTS, event};

const CONFIGURATION: &str = r#"{"version":3,"routes":[
    {"name":"r-draft","host":"jepu9.example","prefix":"/draft/","kind":"streaming","timeout-ms":6000,"goal-ms":500,"priority":1,"service":"drafts","attempts":2,"anonymous":false,"sticky":false,"resumable":true,"gap-target-ms":400}],
    "services":[{"name":"drafts","health-path":"/health","max-conns":264,"protocol":"h1","tls":false}],
    "limits":{"header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
    "tenants":[{"name":"bozi300","api-keys":["jnbanfqasnmgkcuyj8pj"]}]}"#;
const KEY: &str = "Api-Key: jnbanfqasnmgkcuyj8pj\r\n";

const ENTRY_HOST: u8 = 2;
const UPSTREAM_HOSTS: [u8; 2] = [21, 22];
const UPSTREAM_PORT: u16 = 8_080;
const CALLERS: usize = 8;

/// Times from the first request on.
const FREEZE_AT: Duration = Duration::from_millis(1_000);
const CRASH_AT: Duration = Duration::from_millis(1_100);
const RETURN_AT: Duration = Duration::from_millis(3_300);
/// Consumers of this route abandon a stream after a gap of 3.2 s, eight times its
/// `gap-target-ms`.
const WAKE_AT: Duration = Duration::from_millis(3_700);
const GAP_MAX: Duration = Duration::from_millis(3_200);
/// Time without a heartbeat after which the row of the crashed replica is removed.
const ROW_GONE_AT: Duration = Duration::from_millis(4_700);

pub fn run(folder: &Path) -> CaseResult {
    let record = Record::create(folder)?;
    let temporary = TemporaryFolder::create()?;
    let network = Network::find()?;
    let store = Store::start(network.address(1, STORE_PORT))?;
    store.put("op", "config", CONFIGURATION);
    let mut upstreams = Vec::new();
    for (index, host) in UPSTREAM_HOSTS.into_iter().enumerate() {
        let address = network.address(host, UPSTREAM_PORT);
        let upstream = UpstreamProcess::start("stream", address, &format!("i-{index}"), &record)?;
        register(&store, &upstream);
        upstreams.push(upstream);
    }
    let entry = start_entry(network, ENTRY_HOST, temporary.path())?;
    wait_until_ready(network, ENTRY_HOST)?;
    thread::sleep(Duration::from_secs(3));

    let address = network.address(ENTRY_HOST, CALLERS_PORT);
    let started_at = Instant::now();
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let id = format!("{:016x}", unix_ms() * 64 + caller as u64);
        let record = record.clone();
        callers.push(thread::spawn(move || stream(address, &id, &record)));
        thread::sleep(Duration::from_millis(20));
    }
    if has_trouble() {
        sleep_until(started_at + FREEZE_AT);
        entry.signal(SIGSTOP);
        record.note("the entry stands still");
        sleep_until(started_at + CRASH_AT);
        let index = usize::from(upstreams[1].run_count() > upstreams[0].run_count());
        let crashed = upstreams[index].id.clone();
        upstreams[index].process.kill();
        record.note(&format!("upstream {crashed} is killed"));
        sleep_until(started_at + RETURN_AT);
        let next = UpstreamProcess::start("stream", upstreams[index].address, "i-2", &record)?;
        register(&store, &next);
        record.note("the replica is back as i-2");
        sleep_until(started_at + WAKE_AT);
        entry.signal(SIGCONT);
        record.note("the entry goes on");
        sleep_until(started_at + ROW_GONE_AT);
        store.remove("servers", &crashed);
        upstreams[index] = next;
    }
    let mut broken = 0;
    for caller in callers {
        broken += caller.join().map_err(|_| "a caller panicked")??;
    }
    record.note(&format!("{broken} of {CALLERS} streams break the rule"));
    Ok(broken)
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Sends a request for a stream; returns 1 if its answer breaks the rule.
fn stream(entry: SocketAddr, id: &str, record: &Record) -> Result<u32, String> {
    record.note(&format!("caller sends {id}: POST /draft/2f"));
    let answer = call(
        entry,
        &CallerRequest {
            method: "POST",
            path: "/draft/2f",
            id,
            deadline_ms: 6_000,
            headers: KEY,
            body: b"a quote, please",
        },
    );
    let Some(answer) = answer else {
        record.note(&format!("{id} got no answer"));
        return Ok(0);
    };
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    let events = body.matches("\n\n").count();
    record.note(&format!(
        "{id} got {}, {}, {events} of {EVENTS} events, longest gap {} ms",
        answer.status,
        if answer.is_complete {
            "ended as complete"
        } else {
            "cut"
        },
        answer.longest_gap.as_millis()
    ));
    if answer.longest_gap > GAP_MAX {
        record.note(&format!("{id}: a consumer would have left before the end"));
        return Ok(0);
    }
    let whole: String = (1..=EVENTS).map(|number| event(id, number)).collect();
    if answer.status == 200 && answer.is_complete && body != whole {
        record.note(&format!(
            "ORDER: {id} ends as complete before its last piece"
        ));
        return Ok(1);
    }
    if !has_trouble() && (answer.status != 200 || body != whole) {
        return Err(format!("{id} is not served without trouble"));
    }
    Ok(0)
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
            r#"{{"service":"drafts","address":"{address}","zone":"wien-a","version":"v1","slot-count":16,"state":"ready","cold-left-ms":0,"seq":1,"born":{born}}}"#
        ),
    );
}

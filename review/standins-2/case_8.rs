//! A replica that leaves closes its port, finishes its streams and ends.

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{CallerRequest, Channel};
use crate::harness::{
    CALLERS_PORT, CaseResult, Network, Record, STORE_PORT, TemporaryFolder, UpstreamProcess,
    has_trouble, start_entry, unix_ms, wait_until_ready,
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
const CALLERS: usize = 16;
/// The rule allows three channels that are closed without an answer.
const ALLOWED: u32 = 3;

/// Times from the first long stream on. The replica serves for `drain-ms`, 2 s, and a little
/// longer after it has reported that it leaves.
const DRAINING_AT: Duration = Duration::from_millis(600);
const PORT_CLOSED_AT: Duration = Duration::from_millis(3_000);

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
        register(&store, &upstream, "ready");
        upstreams.push(upstream);
    }
    let _entry = start_entry(network, ENTRY_HOST, temporary.path())?;
    wait_until_ready(network, ENTRY_HOST)?;
    thread::sleep(Duration::from_secs(4));

    let address = network.address(ENTRY_HOST, CALLERS_PORT);
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let record = record.clone();
        callers.push(thread::spawn(move || two_streams(address, caller, &record)));
        thread::sleep(Duration::from_millis(20));
    }
    // The short streams take 0.2 s.
    thread::sleep(Duration::from_millis(200));
    let started_at = Instant::now();
    if has_trouble() {
        sleep_until(started_at + DRAINING_AT);
        let index = (0..upstreams.len())
            .max_by_key(|index| upstreams[*index].run_count())
            .unwrap_or(0);
        register(&store, &upstreams[index], "draining");
        record.note(&format!(
            "{} reports that it is draining",
            upstreams[index].id
        ));
        sleep_until(started_at + PORT_CLOSED_AT);
        upstreams[index].leave()?;
        thread::sleep(Duration::from_millis(2_500));
        store.remove("servers", &upstreams[index].id);
    }
    let mut lost = 0;
    for caller in callers {
        let Some(request) = caller.join().map_err(|_| "a caller panicked")?? else {
            continue;
        };
        if upstreams
            .iter()
            .any(|upstream| upstream.told("ended", &request))
        {
            lost += 1;
            record.note(&format!(
                "LOST: {request} was answered whole by its replica, and its kept channel is closed without the end of the answer"
            ));
        }
    }
    record.note(&format!(
        "{lost} of {CALLERS} streams on kept channels are lost, {ALLOWED} are allowed"
    ));
    Ok(if lost > ALLOWED { lost } else { 0 })
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Sends a request for a short and one for a long stream on one channel; returns the id of the
/// second one if the channel ended without the end of its answer.
fn two_streams(
    entry: SocketAddr,
    caller: usize,
    record: &Record,
) -> Result<Option<String>, String> {
    let mut channel = Channel::open(entry).ok_or("the entry takes no channel")?;
    let send = |channel: &mut Channel, path: &str, headers: &str| {
        let id = format!("{:016x}", unix_ms() * 64 + caller as u64);
        record.note(&format!(
            "caller sends {id}: POST {path}, {}",
            headers.replace("\r\n", "; ")
        ));
        let answer = channel.call(&CallerRequest {
            method: "POST",
            path,
            id: &id,
            deadline_ms: 6_000,
            headers: &format!("{KEY}{headers}"),
            body: b"a quote, please",
        });
        let Some(answer) = answer else {
            record.note(&format!("{id} got no answer, the channel is closed"));
            return (id, None);
        };
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        record.note(&format!(
            "{id} got {}, {}, {} events, longest gap {} ms",
            answer.status,
            if answer.is_complete {
                "ended as complete"
            } else {
                "cut: the channel is closed without the last chunk"
            },
            body.matches("\n\n").count(),
            answer.longest_gap.as_millis()
        ));
        (id, Some((answer, body)))
    };
    let (id, short) = send(&mut channel, "/draft/short", "");
    if short.is_none_or(|(answer, _)| answer.status != 200 || !answer.is_complete) {
        return Err(format!("{id} is not served without trouble"));
    }
    let (id, long) = send(&mut channel, "/draft/long", "");
    let whole: String = (1..=EVENTS).map(|number| event(&id, number)).collect();
    let Some((answer, body)) = long else {
        return Ok(Some(id));
    };
    if !has_trouble() && (answer.status != 200 || body != whole) {
        return Err(format!("{id} is not served without trouble"));
    }
    if answer.status != 200 || answer.is_complete {
        return Ok(None);
    }
    // A consumer may resume a stream after a broken channel.
    let last = body.matches("\n\n").count();
    if let Some(mut channel) = Channel::open(entry) {
        send(
            &mut channel,
            "/draft/long",
            &format!("Last-Event-Id: {last}\r\n"),
        );
    }
    Ok(Some(id))
}

/// Writes the row of an upstream.
fn register(store: &Store, upstream: &UpstreamProcess, state: &str) {
    let UpstreamProcess {
        id, address, born, ..
    } = upstream;
    store.put(
        "servers",
        id,
        &format!(
            r#"{{"service":"drafts","address":"{address}","zone":"wien-a","version":"v1","slot-count":16,"state":"{state}","cold-left-ms":0,"seq":1,"born":{born}}}"#
        ),
    );
}

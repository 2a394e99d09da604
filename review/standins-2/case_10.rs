//! An entry is cut from the store; meanwhile the row of a replica is removed because it leaves.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{CallerRequest, call};
use crate::harness::{
    CALLERS_PORT, CaseResult, Network, Record, STORE_PORT, TemporaryFolder, UpstreamProcess,
    has_trouble, start_entry, unix_ms, wait_until_ready,
};
use crate::proxy::Proxy;
use crate::store::Store;

const CONFIGURATION: &str = r#"{"version":3,"routes":[
    {"name":"r-book","host":"jepu9.example","prefix":"/book/","kind":"non_idempotent","timeout-ms":1500,"goal-ms":300,"priority":2,"service":"orders","attempts":2,"anonymous":false,"sticky":false,"resumable":false}],
    "services":[{"name":"orders","health-path":"/health","max-conns":96,"protocol":"h1","tls":false}],
    "limits":{"header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
    "tenants":[{"name":"bozi300","api-keys":["jnbanfqasnmgkcuyj8pj"]}]}"#;
const KEY: &str = "Api-Key: jnbanfqasnmgkcuyj8pj\r\n";

const ENTRY_HOST: u8 = 2;
const STORE_HOST: u8 = 10;
const UPSTREAM_PORT: u16 = 8_080;
const ROUNDS: u8 = 12;
const CALLERS: u64 = 8;
/// Pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(30);

/// Shortest length of a cut, and the range over which lengths are spread.
const CUT_MIN: Duration = Duration::from_millis(3_600);
const CUT_RANGE_MS: u64 = 600;
/// Time before the end of a cut at which the row of the leaving replica is removed.
const REMOVED_BEFORE: Duration = Duration::from_millis(1_000);
/// Time after the end of a cut at which that replica exits: 4.15 s after its row was removed.
/// It serves for `drain-ms`, 2 s, and longer.
const EXITS_AFTER: Duration = Duration::from_millis(3_150);
/// Time from there to the next cut.
const REST: Duration = Duration::from_millis(500);
/// Time after a cut from which the entry is in touch again (`stable-ms`).
const STABLE: Duration = Duration::from_millis(3_000);
const DRAIN: Duration = Duration::from_millis(2_000);

pub fn run(folder: &Path) -> CaseResult {
    let record = Record::create(folder)?;
    let temporary = TemporaryFolder::create()?;
    let network = Network::find()?;
    let store_address = network.address(STORE_HOST, STORE_PORT);
    let store = Store::start(store_address)?;
    let path = Proxy::start(network.address(1, STORE_PORT), store_address)?;
    store.put("op", "config", CONFIGURATION);
    let start = |number: u8| -> Result<UpstreamProcess, Box<dyn std::error::Error>> {
        let address = network.address(20 + number, UPSTREAM_PORT);
        let upstream = UpstreamProcess::start("framed", address, &format!("i-{number}"), &record)?;
        store.put(
            "servers",
            &upstream.id,
            &format!(
                r#"{{"service":"orders","address":"{address}","zone":"wien-a","version":"v1","slot-count":6,"state":"ready","cold-left-ms":0,"seq":1,"born":{}}}"#,
                upstream.born
            ),
        );
        Ok(upstream)
    };
    let _staying = start(0)?;
    let mut leaving = start(1)?;
    let _entry = start_entry(network, ENTRY_HOST, temporary.path())?;
    wait_until_ready(network, ENTRY_HOST)?;
    thread::sleep(Duration::from_secs(3));

    let is_over = Arc::new(AtomicBool::new(false));
    let numbers = Arc::new(AtomicU64::new(unix_ms() * 1_000));
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let (is_over, numbers) = (Arc::clone(&is_over), Arc::clone(&numbers));
        let (entry, record) = (network.address(ENTRY_HOST, CALLERS_PORT), record.clone());
        callers.push(thread::spawn(move || {
            let mut failed: u32 = 0;
            while !is_over.load(Ordering::SeqCst) {
                let id = format!("{:016x}", numbers.fetch_add(1, Ordering::SeqCst));
                let answer = call(
                    entry,
                    &CallerRequest {
                        method: "POST",
                        path: "/book/2f",
                        id: &id,
                        deadline_ms: 1_500,
                        headers: KEY,
                        body: b"one pillow",
                    },
                );
                let status = answer.map_or(0, |answer| answer.status);
                failed += u32::from(status != 200);
                record.note(&format!("caller sent {id}, got {status}"));
                thread::sleep(CALLER_PAUSE);
            }
            failed
        }));
    }
    let mut late = 0;
    for round in 1..=ROUNDS {
        let started_at = Instant::now();
        if has_trouble() {
            path.cut();
            record.note("the entry is cut from the store");
        }
        // Spread over a part of the second in which an entry polls that has lost the store.
        let spread_ms = CUT_RANGE_MS * u64::from(round * 5 % ROUNDS) / u64::from(ROUNDS);
        let heal_at = started_at + CUT_MIN + Duration::from_millis(spread_ms);
        sleep_until(heal_at - REMOVED_BEFORE);
        store.remove("servers", &leaving.id);
        let removed_at = Instant::now();
        record.note(&format!("the row of {} is removed", leaving.id));
        sleep_until(heal_at);
        path.heal();
        record.note("the cut has ended");
        let in_touch_at = Instant::now() + STABLE;
        // The next replica is there before the leaving one exits.
        let next = start(round + 1)?;
        sleep_until(heal_at + EXITS_AFTER);
        leaving.process.kill();
        record.note(&format!("{} exits", leaving.id));
        for (request, ran_at) in leaving.runs_since(in_touch_at.max(removed_at + DRAIN)) {
            late += 1;
            record.note(&format!(
                "DRAIN: {request} reached {} {} ms after the removal of its row was confirmed, and {} ms after the entry was in touch",
                leaving.id,
                ran_at.duration_since(removed_at).as_millis(),
                ran_at.duration_since(in_touch_at).as_millis()
            ));
        }
        leaving = next;
        thread::sleep(REST);
    }
    is_over.store(true, Ordering::SeqCst);
    let mut failed = 0;
    for caller in callers {
        failed += caller.join().map_err(|_| "a caller panicked")?;
    }
    record.note(&format!(
        "{late} requests reached a replica that had left; {failed} requests were not answered with success"
    ));
    Ok(late)
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

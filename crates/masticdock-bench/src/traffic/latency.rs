//! Latency that masticdock adds, and the requests that an entry takes per core.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{bail, ensure};

use super::caller::{self, Told};
use super::figures::quantile_ms;
use super::setup::Sites;
use super::workload::{Kind, Logical, completion};
use crate::fleet::Fleet;

/// Pairs of requests measured for each kind.
const PAIRS: u64 = 300;

/// Requests before the measurement.
const WARM_UP: u64 = 20;

/// Tokens of a measured completion.
const TOKENS: u32 = 4;

/// Callers of the throughput measurement.
const CALLERS: u64 = 12;

/// Time of the throughput measurement.
const THROUGHPUT_TIME: Duration = Duration::from_secs(3);

/// Latency through masticdock minus straight to the stand-in.
#[derive(Debug, Default)]
pub(super) struct Added {
    pub(super) engine_p50_ms: f64,
    pub(super) engine_p95_ms: f64,
    pub(super) plain_p95_ms: f64,
    pub(super) keyed_p95_ms: f64,
}

fn timed(url: &str, request: &Logical, id: &str, key: Option<&str>) -> anyhow::Result<f64> {
    let begin = Instant::now();
    let told = caller::attempt(url, request, id, key);
    let latency_ms = begin.elapsed().as_secs_f64() * 1_000.0;
    if told != Told::Complete(true) {
        bail!("{id} to {url} failed: {told:?}");
    }
    Ok(latency_ms)
}

/// Measures pairs of the same request through an entry and straight, in turn.
fn pairs(
    through: impl Fn(u64) -> String,
    straight: impl Fn(u64) -> String,
    request: impl Fn(u64) -> Logical,
    run: &str,
) -> anyhow::Result<(Vec<f64>, Vec<f64>)> {
    let mut latencies = (Vec::new(), Vec::new());
    for number in 0..WARM_UP + PAIRS {
        let request = request(number);
        let id = |way: &str| format!("{run}-{way}-{number}");
        let key = |way: &str| request.key(&format!("{run}-{way}"));
        let with = timed(
            &through(number),
            &request,
            &id("through"),
            key("through").as_deref(),
        )?;
        let without = timed(
            &straight(number),
            &request,
            &id("straight"),
            key("straight").as_deref(),
        )?;
        if number >= WARM_UP {
            latencies.0.push(with);
            latencies.1.push(without);
        }
    }
    Ok(latencies)
}

/// Measures the added latency of streams, idempotent calls and keyed calls.
pub(super) fn added(sites: &Sites) -> anyhow::Result<Added> {
    let entry = |number: u64| sites.entries[index(number, sites.entries.len())];
    let engine = |number: u64| sites.engines[index(number, sites.engines.len())];
    let plain = |number: u64| sites.plains[index(number, sites.plains.len())];
    let (with, without) = pairs(
        |number| format!("http://{}/v1/assistant", entry(number)),
        |number| format!("http://{}/v1/completions", engine(number)),
        |number| completion(number, Kind::Stream, TOKENS),
        "added-engine",
    )?;
    let (keyed_with, keyed_without) = pairs(
        |number| format!("http://{}/v1/orders", entry(number)),
        |number| format!("http://{}/orders", plain(number)),
        |number| completion(number, Kind::Order, 0),
        "added-keyed",
    )?;
    let (plain_with, plain_without) = pairs(
        |number| format!("http://{}/v1/lookup", entry(number)),
        |number| format!("http://{}/lookup", plain(number)),
        |number| completion(number, Kind::Lookup, 0),
        "added-plain",
    )?;
    let added = |with: &[f64], without: &[f64], quantile| {
        quantile_ms(with, quantile) - quantile_ms(without, quantile)
    };
    Ok(Added {
        engine_p50_ms: added(&with, &without, 0.5),
        engine_p95_ms: added(&with, &without, 0.95),
        plain_p95_ms: added(&plain_with, &plain_without, 0.95),
        keyed_p95_ms: added(&keyed_with, &keyed_without, 0.95),
    })
}

fn index(number: u64, len: usize) -> usize {
    usize::try_from(number).unwrap_or(0) % len
}

/// Returns the requests per second that an entry handles for each core it uses.
#[expect(clippy::cast_precision_loss, reason = "counts are small")]
pub(super) fn entry_rps_per_core(fleet: &mut Fleet, sites: &Sites) -> anyhow::Result<f64> {
    let entry = sites.entries[0];
    let cpu_before_ms = fleet.cpu_ms("entry-0")?;
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        callers.push(thread::spawn(move || hammer(entry, caller)));
    }
    let mut count = 0;
    for caller in callers {
        count += caller.join().unwrap_or(0);
    }
    let cpu_ms = fleet.cpu_ms("entry-0")? - cpu_before_ms;
    ensure!(cpu_ms > 0 && count > 0, "the entry handled nothing");
    Ok((count as f64 * 1_000.0 / cpu_ms as f64).round())
}

fn hammer(entry: SocketAddr, caller: u64) -> u64 {
    let begin = Instant::now();
    let url = format!("http://{entry}/v1/lookup");
    let mut count = 0;
    while begin.elapsed() < THROUGHPUT_TIME {
        let request = completion(count, Kind::Lookup, 0);
        let id = format!("throughput-{caller}-{count}");
        if let Told::Complete(_) = caller::attempt(&url, &request, &id, None) {
            count += 1;
        }
    }
    count
}

//! Naive baseline: round robin over the upstreams and blind retry.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use masticdock_standins::Faults;
use serde_json::json;

use super::caller::{self, Told};
use super::load::{self, Pace};
use super::setup::{Sites, engine_vm};
use super::verdict;
use super::workload::{Kind, Logical};
use crate::fleet::Fleet;

/// Attempts of one request.
const ATTEMPTS_MAX: usize = 4;

/// Time between two faults.
const FAULT_INTERVAL: Duration = Duration::from_secs(3);

/// Figures of the baseline.
#[derive(Debug, Default)]
pub(super) struct Naive {
    pub(super) latencies_ms: Vec<f64>,
    pub(super) ran_twice: usize,
    pub(super) lost: usize,
    pub(super) wrong_answer: usize,
}

struct Ended {
    told: Told,
    latency_ms: f64,
}

/// Sends the requests straight to the upstreams, under the same faults of the
/// upstreams that masticdock met.
pub(super) fn run(
    fleet: &mut Fleet,
    requests: &[Logical],
    pace: Pace,
    sites: &Sites,
    faults: bool,
) -> anyhow::Result<Naive> {
    let requests = requests.to_vec();
    let sites = sites.clone();
    let finished = Arc::new(AtomicBool::new(false));
    let ended = Arc::clone(&finished);
    let callers = thread::spawn(move || {
        let turn = AtomicUsize::new(0);
        let results = load::open_loop(&requests, pace, move |request| {
            vec![send(&sites, &request, &turn)]
        });
        ended.store(true, Ordering::SeqCst);
        results
    });
    let mut crashed = 0;
    while faults && !finished.load(Ordering::SeqCst) {
        thread::sleep(FAULT_INTERVAL);
        upstream_faults(fleet, crashed)?;
        crashed += 1;
    }
    let results = callers.join().unwrap_or_default();
    clear_faults(fleet)?;
    let mut naive = Naive::default();
    for one in results {
        match one.told {
            Told::Complete(right) => {
                naive.wrong_answer += usize::from(!right);
                naive.latencies_ms.push(one.latency_ms);
            }
            _ => naive.lost += 1,
        }
    }
    verdict::settle(fleet);
    naive.ran_twice = verdict::count_twice(&verdict::ledgers(fleet)?, "naive");
    Ok(naive)
}

/// Loses answers of plain services after the effect and crashes an engine.
pub(super) fn upstream_faults(fleet: &Fleet, round: usize) -> anyhow::Result<()> {
    let lossy = Faults {
        lose_answer: 0.1,
        only: "POST".to_owned(),
        seed: round as u64,
        ..Faults::default()
    };
    for name in verdict::ledger_names() {
        if name.starts_with("plain-") {
            fleet.set_faults(&name, &lossy)?;
        }
    }
    let vm = engine_vm(round % super::setup::ENGINES);
    crash(fleet, &vm)
}

/// Ends an engine, which starts again by itself.
pub(super) fn crash(fleet: &Fleet, vm: &str) -> anyhow::Result<()> {
    let addr = fleet.control(&format!("engine-{vm}"))?;
    let sent = attohttpc::post(format!("http://{addr}/crash"))
        .timeout(Duration::from_secs(2))
        .json(&json!(null))?
        .send();
    if let Err(error) = sent {
        // An engine that is down already cannot crash.
        log::info!("engine of {vm} did not take the crash: {error}");
    }
    Ok(())
}

/// Removes the faults of the plain services.
pub(super) fn clear_faults(fleet: &Fleet) -> anyhow::Result<()> {
    for name in verdict::ledger_names() {
        if name.starts_with("plain-") {
            fleet.set_faults(&name, &Faults::default())?;
        }
    }
    Ok(())
}

fn send(sites: &Sites, request: &Logical, turn: &AtomicUsize) -> Ended {
    let begin = Instant::now();
    let key = request.key("naive");
    let mut told = Told::NoConnection;
    for number in 0..ATTEMPTS_MAX {
        let next = turn.fetch_add(1, Ordering::Relaxed);
        let url = match request.kind {
            Kind::Stream | Kind::Whole => {
                let engine = sites.engines[next % sites.engines.len()];
                format!("http://{engine}/v1/completions")
            }
            Kind::Order | Kind::Lookup => {
                let plain = sites.plains[next % sites.plains.len()];
                format!("http://{plain}/{}", request.service())
            }
        };
        let request_id = format!("naive-{}-{number}", request.number);
        told = caller::attempt(&url, request, &request_id, key.as_deref());
        if matches!(told, Told::Complete(_)) {
            break;
        }
    }
    Ended {
        told,
        latency_ms: begin.elapsed().as_secs_f64() * 1_000.0,
    }
}

//! Overload: twice the requests that the engines can run.

use std::time::{Duration, Instant};

use masticdock_standins::engine::EngineOptions;

use super::caller::{self, Told};
use super::figures::quantile_ms;
use super::load::{self, Pace};
use super::setup::{self, ENGINES, Sites, engine_vm};
use super::workload::{Kind, Logical, completion};
use crate::fleet::Fleet;

/// Tokens of a request.
const TOKENS: u32 = 40;

/// Time of the overload.
const SECONDS: u64 = 8;

/// Requests without load.
const UNLOADED: u64 = 60;

/// Figures of the overload.
#[derive(Debug, Default)]
pub(super) struct Overload {
    pub(super) unloaded_p95_ms: f64,
    pub(super) loaded_p95_ms: f64,
    pub(super) high_complete_share: f64,
    pub(super) shed: usize,
}

struct Ended {
    priority: &'static str,
    told: Told,
    latency_ms: f64,
}

fn send(sites: &Sites, request: &Logical, run: &str) -> Ended {
    let number = request.number;
    let entry = sites.entries[usize::try_from(number).unwrap_or(0) % sites.entries.len()];
    let url = format!("http://{entry}/v1/assistant");
    let begin = Instant::now();
    let told = caller::attempt(&url, request, &format!("{run}-{number}"), None);
    Ended {
        priority: request.priority,
        told,
        latency_ms: begin.elapsed().as_secs_f64() * 1_000.0,
    }
}

fn request(number: u64, priority: &'static str) -> Logical {
    Logical {
        priority,
        ..completion(number, Kind::Stream, TOKENS)
    }
}

/// Measures requests of high priority without and with the overload.
#[expect(clippy::cast_precision_loss, reason = "counts are small")]
pub(super) fn run(
    fleet: &mut Fleet,
    sites: &Sites,
    batch: u32,
    token_ms: u64,
) -> anyhow::Result<Overload> {
    let options = EngineOptions {
        batch,
        token_interval_ms: token_ms,
        ..setup::engine_options()
    };
    for index in 0..ENGINES {
        let vm = engine_vm(index);
        setup::wait_serving(fleet, &vm)?;
        fleet.set_engine(&vm, &options)?;
    }
    let mut unloaded = Vec::new();
    for number in 0..UNLOADED {
        let ended = send(sites, &request(number, "high"), "unloaded");
        if ended.told == Told::Complete(true) {
            unloaded.push(ended.latency_ms);
        }
    }
    let service_ms = u64::from(TOKENS) * token_ms;
    let capacity_per_s = ENGINES as u64 * u64::from(batch) * 1_000 / service_ms;
    let rate = 2 * capacity_per_s;
    let priorities = [
        "high", "normal", "low", "normal", "low", "normal", "low", "normal", "low", "low",
    ];
    let requests: Vec<Logical> = (0..rate * SECONDS)
        .map(|number| {
            request(
                number,
                priorities[usize::try_from(number % 10).unwrap_or(0)],
            )
        })
        .collect();
    let pace = Pace {
        interval: Duration::from_micros(1_000_000 / rate),
        in_flight_max: 600,
    };
    let callers = sites.clone();
    let ended = load::open_loop(&requests, pace, move |request| {
        vec![send(&callers, &request, "overload")]
    });
    let complete = |one: &&Ended| one.told == Told::Complete(true);
    let high: Vec<&Ended> = ended.iter().filter(|one| one.priority == "high").collect();
    let latencies: Vec<f64> = high
        .iter()
        .copied()
        .filter(complete)
        .map(|one| one.latency_ms)
        .collect();
    let shed = ended
        .iter()
        .filter(|one| matches!(&one.told, Told::Failed(..)));
    for priority in ["high", "normal", "low"] {
        let of = ended.iter().filter(|one| one.priority == priority);
        let done = of.clone().filter(complete).count();
        log::info!("{priority}: {done} of {} complete", of.count());
    }
    Ok(Overload {
        unloaded_p95_ms: quantile_ms(&unloaded, 0.95),
        loaded_p95_ms: quantile_ms(&latencies, 0.95),
        high_complete_share: latencies.len() as f64 / high.len().max(1) as f64,
        shed: shed.count(),
    })
}

//! Measures the request path with entries and agents as processes.
//!
//! The verdict is drawn from the ledgers of the stand-ins, which record every
//! request that ran. The naive baseline (round robin, blind retry) sends the
//! same requests straight to the stand-ins in the same run.

mod caller;
mod conductor;
mod figures;
mod latency;
mod load;
mod naive;
mod overload;
mod setup;
mod verdict;
mod workload;

use std::sync::Arc;
use std::time::Duration;

use clap::Args;
use serde::Serialize;

use crate::fleet::Fleet;
use caller::Board;
use figures::quantile_ms;
use load::Pace;

/// Options of `traffic`.
#[derive(Debug, Clone, Args)]
pub struct TrafficArgs {
    /// Injects faults while the requests flow.
    #[arg(long)]
    pub faults: bool,
    /// Seed of the workload.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Time for which the mixed requests flow, in seconds.
    #[arg(long, default_value_t = 24)]
    pub seconds: u64,
    /// Mixed requests per second.
    #[arg(long, default_value_t = 80)]
    pub rate: u64,
    /// Requests that an engine runs at once in the overload.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u32).range(1..=256))]
    pub batch: u32,
    /// Time between two tokens in the overload, in milliseconds.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=100))]
    pub token_ms: u64,
}

/// Last line of the output.
#[derive(Debug, Default, Serialize)]
struct Report {
    requests: usize,
    complete: usize,
    not_run: usize,
    unknown: usize,
    lost: usize,
    cut: usize,
    wrong_answer: usize,
    ran_twice: usize,
    not_run_but_ran: usize,
    p50_ms: f64,
    p95_ms: f64,
    p99_ms: f64,
    added_ms_p50: f64,
    added_ms_p95: f64,
    added_plain_ms_p95: f64,
    added_keyed_ms_p95: f64,
    naive_p95_ms: f64,
    naive_ran_twice: usize,
    naive_lost: usize,
    naive_wrong_answer: usize,
    config_changes: usize,
    config_in_force_s_max: f64,
    leaving_new_work_after_s_max: f64,
    entry_rps_per_core: f64,
    overload_high_p95_ms: f64,
    overload_high_unloaded_p95_ms: f64,
    overload_high_ratio: f64,
    overload_high_complete_share: f64,
    overload_shed: usize,
    faults: bool,
    load_1m_at_end: f64,
}

/// Runs the measurement and prints the report.
///
/// # Errors
///
/// Fails when a process does not start or a control call fails.
pub fn run(args: &TrafficArgs) -> anyhow::Result<()> {
    log::info!("starting the processes");
    let mut fleet = Fleet::start(setup::plan())?;
    setup::prepare(&mut fleet)?;
    let sites = setup::sites(&fleet)?;
    let mut report = Report {
        faults: args.faults,
        ..Report::default()
    };

    log::info!("measuring the added latency");
    let added = latency::added(&sites)?;
    report.added_ms_p50 = added.engine_p50_ms;
    report.added_ms_p95 = added.engine_p95_ms;
    report.added_plain_ms_p95 = added.plain_p95_ms;
    report.added_keyed_ms_p95 = added.keyed_p95_ms;
    report.entry_rps_per_core = latency::entry_rps_per_core(&mut fleet, &sites)?;

    log::info!("sending mixed requests");
    let requests = workload::mixed(args.seed, args.rate * args.seconds, args.faults);
    let pace = Pace {
        interval: Duration::from_micros(1_000_000 / args.rate),
        in_flight_max: 400,
    };
    let board = Arc::new(Board::default());
    let callers = load::start(&requests, pace, &sites, &board);
    let conducted = conductor::run(&mut fleet, &board, args)?;
    let done = callers.join();
    report.config_changes = conducted.changes;
    report.config_in_force_s_max = conducted.config_in_force_s_max;
    report.leaving_new_work_after_s_max = conducted.leaving_new_work_after_s_max;
    verdict::settle(&mut fleet);
    let verdict = verdict::judge(&fleet, &board, &done)?;
    verdict.fill(&mut report);
    let latencies: Vec<f64> = done.iter().filter_map(caller::Done::latency_ms).collect();
    report.p50_ms = quantile_ms(&latencies, 0.50);
    report.p95_ms = quantile_ms(&latencies, 0.95);
    report.p99_ms = quantile_ms(&latencies, 0.99);

    log::info!("sending the same requests by the naive baseline");
    let naive = naive::run(&mut fleet, &requests, pace, &sites, args.faults)?;
    report.naive_p95_ms = quantile_ms(&naive.latencies_ms, 0.95);
    report.naive_ran_twice = naive.ran_twice;
    report.naive_lost = naive.lost;
    report.naive_wrong_answer = naive.wrong_answer;

    log::info!("overloading the engines");
    let overload = overload::run(&mut fleet, &sites, args.batch, args.token_ms)?;
    report.overload_high_p95_ms = overload.loaded_p95_ms;
    report.overload_high_unloaded_p95_ms = overload.unloaded_p95_ms;
    report.overload_high_ratio = overload.loaded_p95_ms / overload.unloaded_p95_ms;
    report.overload_high_complete_share = overload.high_complete_share;
    report.overload_shed = overload.shed;
    report.load_1m_at_end = figures::machine_load();
    println!("{}", serde_json::to_string(&report)?);
    Ok(())
}

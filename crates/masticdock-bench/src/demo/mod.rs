//! Demo of a rollout by label selector under load, driven through the operator's CLI.

mod callers;
mod operator;
mod resources;
mod verdict;

use std::time::{Duration, Instant};

use anyhow::Context;
use masticdock_bench::fleet::{AgentPlan, Fleet, FleetPlan, Place, Upstream};
use masticdock_core::resource::{Labels, Resource};
use masticdock_standins::engine::EngineOptions;
use serde_json::json;

use callers::Callers;
use operator::Operator;
use verdict::Verdict;

/// Number of VMs with an engine.
const REPLICAS: usize = 4;
/// Size of the weights of each version.
const WEIGHTS_BYTES: u64 = 32 << 20;
/// Size of a chunk of the weights.
const CHUNK_BYTES: u64 = 1 << 20;
/// Bandwidth of the origin, low enough that a transfer takes some seconds and can be watched.
const ORIGIN_RATE_BYTES_PER_S: u64 = 16 << 20;
/// Time that an engine takes to load a version.
const LOAD_MS: u64 = 800;
/// Timeout of one rollout.
const ROLLOUT_TIMEOUT: Duration = Duration::from_mins(2);
/// Time under load before and after the second rollout, so that both versions serve requests.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Runs the demo; returns whether all its expectations were met.
///
/// # Errors
///
/// Returns an error if a process does not start or a command fails.
pub(super) fn run() -> anyhow::Result<bool> {
    println!("masticdock demo: building and starting the processes");
    let places = [Place::new("wien", "a"), Place::new("tirol", "a")];
    let mut fleet = Fleet::start(plan(&places)).context("cannot start the fleet")?;
    fleet.wait_all_ready()?;
    let started_at = Instant::now();
    let operator = Operator::new(&fleet, started_at)?;
    operator.print_timed(&format!(
        "2 entries, {REPLICAS} engine VMs in {} regions and 1 plain service are ready",
        places.len()
    ));

    let versions = publish(&fleet)?;
    operator.apply("services.yaml", &resources::services())?;
    operator.apply("v1.yaml", &resources::rollout(&versions[0], "v1")?)?;
    operator.watch(ROLLOUT_TIMEOUT)?;

    let callers = Callers::start(fleet.entries())?;
    std::thread::sleep(SETTLE_TIME);
    operator.print_timed("requests flow through both entries; now the second version");
    let rollout_started_at = Instant::now();
    operator.apply("v2.yaml", &resources::rollout(&versions[1], "v2")?)?;
    let on_new_version = operator.watch(ROLLOUT_TIMEOUT)?;
    let time_to_replicas = rollout_started_at.elapsed();
    std::thread::sleep(SETTLE_TIME);
    let tally = callers.finish();
    operator.masticdock(&["vm", "list"])?;

    let object = resources::origin_path("v2", WEIGHTS_BYTES);
    let origin_read_bytes = fleet.origin_stats()?.objects;
    let origin_read_bytes = origin_read_bytes.get(&object).copied().unwrap_or_default();
    let orders_ledger = fleet.ledger("plain-portal")?;
    let verdict = Verdict {
        replicas: REPLICAS,
        regions: places.len(),
        on_new_version,
        time_to_replicas,
        origin_bytes: origin_read_bytes,
        weights_bytes: WEIGHTS_BYTES,
        orders_run_twice: verdict::count_repeated_keys(&orders_ledger),
        tally,
    };
    let holds = verdict.print();
    if !holds {
        operator.print_logs(&fleet);
    }
    Ok(holds)
}

fn publish(fleet: &Fleet) -> anyhow::Result<Vec<Resource>> {
    let mut versions = Vec::new();
    for name in ["v1", "v2"] {
        versions.push(fleet.publish_generated("assistant", name, WEIGHTS_BYTES, CHUNK_BYTES)?);
    }
    Ok(versions)
}

fn plan(places: &[Place]) -> FleetPlan {
    let mut plan = FleetPlan::spread(places, 2, REPLICAS);
    plan.agents.push(AgentPlan {
        id: "portal".to_owned(),
        place: places[0].clone(),
        labels: Labels::from([("fleet".into(), "portal".into())]),
        upstream: Upstream::Plain,
        services: vec!["orders".to_owned()],
    });
    plan.origin_rate_bytes_per_s = ORIGIN_RATE_BYTES_PER_S;
    plan.engine = EngineOptions {
        load_ms: LOAD_MS,
        fence_checked: true,
        ..EngineOptions::default()
    };
    // An order takes about as long as a short answer of an engine.
    plan.plain_work_ms = 20;
    plan.settings = json!({});
    plan
}

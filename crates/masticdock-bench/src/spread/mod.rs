//! Measures how weights are distributed to a fleet of real agents.

mod faults;
mod naive;
mod rates;
mod report;
mod sample;

use std::time::{Duration, Instant};

use anyhow::Context;
use clap::Args;
use masticdock_core::ids::Digest;
use masticdock_core::resource::{Model, Resource, Rollout, Version};
use masticdock_core::units::Share;
use serde_json::json;

use crate::fleet::{Fleet, FleetPlan, Place, RegionLink};
use rates::Rates;
use report::Report;
use sample::Sampler;

/// Regions and zones of the measured fleet; the first [`REGIONS`] name each region once.
const PLACES: [(&str, &str); 6] = [
    ("r1", "a"),
    ("r2", "a"),
    ("r3", "a"),
    ("r1", "b"),
    ("r2", "b"),
    ("r3", "b"),
];

/// Number of regions in [`PLACES`].
const REGIONS: u64 = 3;

/// Name of the version that is distributed.
const VERSION: &str = "v1";

/// Interval between two samples of all engines.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two polls of the fleet view by the processes that read it
/// regularly; the others poll only every 15th time.
const FLEET_POLL_INTERVAL_MS: u64 = 400;

/// Wait before the rollout, so that every agent has read its own labels from the
/// fleet view, as in a fleet that has run for a minute.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Timeout of a run, as a multiple of the lower bound of its time.
const TIMEOUT_FACTOR: u32 = 6;

/// Measures time to N replicas and origin bytes.
///
/// Real agent processes in 3 regions fetch one generated copy. Links: the
/// origin's link carries four copies in `--allowed-s`, each VM's link two, and
/// the link between two regions has 1/40 of a VM's rate (25 Mbit/s beside
/// 1 Gbit/s). The origin's link is paced by its stand-in, the others by the agents.
///
/// With S the size of a copy, M its chunks of size c, N VMs, V the rate of a
/// VM's link, R regions, O the rate of the origin's link and X the rate between
/// regions: `bound_s` = max((M + floor(log2 N)) * c / V, R * S / (O + R * X)).
///
/// The naive version (every VM reads the whole copy from the origin) runs at the
/// same time against an origin of its own with the same rate, with as many VMs
/// as can end in the time allowed.
#[derive(Debug, Clone, Args)]
pub struct SpreadArgs {
    /// Number of VMs.
    #[arg(long, default_value_t = 100)]
    pub vms: usize,
    /// Size of the copy in MiB.
    #[arg(long, default_value_t = 16)]
    pub mib: u64,
    /// Size of a chunk in KiB.
    #[arg(long, default_value_t = 64)]
    pub chunk_kib: u64,
    /// Weighting of the rollout: 0 reads the fewest origin bytes, 1 takes the
    /// shortest time.
    #[arg(long, default_value_t = 0.0)]
    pub weighting: f64,
    /// Time in which the origin's link carries four copies, in seconds.
    #[arg(long, default_value_t = 100)]
    pub allowed_s: u64,
    /// Kills a tenth of the VMs, freezes VMs, stalls the link of a region and
    /// corrupts chunks during the transfer.
    #[arg(long)]
    pub faults: bool,
    /// Seed of the faults; printed on standard error.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Runs the measurement and prints its report as the last line of standard output.
///
/// # Errors
///
/// Returns an error if a process cannot be started or the transfer does not finish in time.
pub fn run(args: &SpreadArgs) -> anyhow::Result<()> {
    let rates = Rates::new(args);
    log::info!("links: {rates:?}, bound {:.1} s", rates.bound_s(args.vms));
    let naive = naive::spawn(&rates)?;
    let mut fleet = Fleet::start(plan(args, &rates)?)?;
    fleet.wait_all_ready()?;
    log::info!("{} agents ready", args.vms);
    std::thread::sleep(SETTLE_TIME);
    let (resources, root) = resources(args, &fleet)?;
    let mut sampler = Sampler::new(&mut fleet, args.vms, root)?;
    let started_at = Instant::now();
    fleet.put(resources)?;
    let mut faults = faults::Schedule::new(args, rates.bound_s(args.vms));
    let run_timeout = Duration::from_secs_f64(rates.bound_s(args.vms)) * TIMEOUT_FACTOR;
    let mut report = None;
    while started_at.elapsed() < run_timeout {
        faults.apply(&mut fleet, started_at.elapsed())?;
        sampler.sample(&mut fleet, faults.killed())?;
        if sampler.all_serve(faults.killed()) && faults.is_over() {
            let idle = sampler.idle_control_bytes_per_s_max(&mut fleet, faults.killed())?;
            report = Some(Report::new(args, &rates, &sampler, &fleet, idle)?);
            break;
        }
        std::thread::sleep(SAMPLE_INTERVAL);
    }
    let Some(mut report) = report else {
        sampler.log_not_serving(&mut fleet, faults.killed());
        anyhow::bail!("not all VMs served {VERSION} within {run_timeout:?}");
    };
    drop(fleet);
    report.add_naive(
        &naive
            .join()
            .ok()
            .context("the thread of the naive version panicked")??,
    );
    println!("{}", serde_json::to_string(&report)?);
    Ok(())
}

/// Returns the plan of the fleet, whose agents pace their links.
fn plan(args: &SpreadArgs, rates: &Rates) -> anyhow::Result<FleetPlan> {
    let places = PLACES.map(|(region, zone)| Place::new(region, zone));
    let mut plan = FleetPlan::spread(&places, usize::try_from(REGIONS)?, args.vms);
    plan.origin_rate_bytes_per_s = rates.origin_bytes_per_s;
    for (region, _) in &PLACES[..usize::try_from(REGIONS)?] {
        plan.region_links.push(RegionLink {
            region: (*region).to_owned(),
            rate_bytes_per_s: 0,
            latency_ms: 0,
        });
    }
    plan.settings = json!({
        "platform": { "fleet_poll_interval_ms": FLEET_POLL_INTERVAL_MS },
    });
    plan.agent_settings = json!({
        "links": {
            "vm_rate_bytes_per_s": rates.vm_bytes_per_s,
            "inter_region_rate_bytes_per_s": rates.inter_region_bytes_per_s,
        },
    });
    Ok(plan)
}

/// Publishes the weights; returns the resources of the rollout and the weights' root digest.
fn resources(args: &SpreadArgs, fleet: &Fleet) -> anyhow::Result<(Vec<Resource>, Digest)> {
    let chunk_bytes = args.chunk_kib << 10;
    let published = fleet.publish_generated("assistant", VERSION, args.mib << 20, chunk_bytes)?;
    let Resource::Version(version) = &published else {
        anyhow::bail!("publishing returned a resource that is not a version");
    };
    let root = read_root(fleet, version)?;
    let model = Resource::Model(Model {
        name: "assistant".parse()?,
        description: "".into(),
    });
    let rollout = Resource::Rollout(Rollout {
        name: "spread".parse()?,
        selector: "fleet=assistant".into(),
        version: VERSION.parse()?,
        adapters: Vec::new(),
        min_serving_share: Share::from_milli(750),
        origin_weighting: Share::try_from(args.weighting)?,
        max_load_failures: u32::MAX,
        paused: false,
        previous_version: None,
    });
    Ok((vec![model, published, rollout], root))
}

/// Reads the root digest of a version's weights from its manifest.
fn read_root(fleet: &Fleet, version: &Version) -> anyhow::Result<Digest> {
    let path = format!("/masticdock/manifests/{}", version.manifest);
    let manifest: masticdock_core::manifest::Manifest = fleet.control_get("objects", &path)?;
    Ok(manifest.root)
}

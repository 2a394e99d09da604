//! Transfers by real agents.

use std::time::Duration;

use masticdock_bench::fleet::{Fleet, FleetPlan, Place};
use masticdock_core::resource::{Model, Resource, Rollout};
use masticdock_core::units::Share;
use masticdock_platform::{EngineState, EngineStatus};
use masticdock_standins::Faults;
use serde_json::json;

const VMS: [&str; 4] = ["vm-0", "vm-1", "vm-2", "vm-3"];
const WEIGHTS_BYTES: u64 = 1 << 20;
const CHUNK_BYTES: u64 = 32 << 10;
/// Two copies take about ten seconds, so the faults hit a transfer in progress.
const ORIGIN_RATE_BYTES_PER_S: u64 = 200 << 10;
const TIMEOUT: Duration = Duration::from_mins(2);

fn start() -> Fleet {
    let places = [Place::new("r1", "a"), Place::new("r2", "a")];
    let mut plan = FleetPlan::spread(&places, 1, VMS.len());
    plan.origin_rate_bytes_per_s = ORIGIN_RATE_BYTES_PER_S;
    plan.settings = json!({ "platform": { "fleet_poll_interval_ms": 100 } });
    let mut fleet = Fleet::start(plan).unwrap();
    fleet.wait_all_ready().unwrap();
    fleet
}

fn roll_out(fleet: &mut Fleet) {
    let version = fleet.publish_generated("assistant", "v1", WEIGHTS_BYTES, CHUNK_BYTES);
    let model = Resource::Model(Model {
        name: "assistant".parse().unwrap(),
        description: "".into(),
    });
    let rollout = Resource::Rollout(Rollout {
        name: "first".parse().unwrap(),
        selector: "fleet=assistant".into(),
        version: "v1".parse().unwrap(),
        adapters: Vec::new(),
        min_serving_share: Share::from_milli(750),
        origin_weighting: Share::default(),
        max_load_failures: 2,
        paused: false,
        previous_version: None,
    });
    fleet.put(vec![model, version.unwrap(), rollout]).unwrap();
}

fn all_in_phase(fleet: &mut Fleet, phases: &[&str]) -> bool {
    VMS.iter().all(|vm| {
        phases.iter().any(|phase| {
            let series = format!("masticdock_switch_phase{{phase=\"{phase}\"}}");
            fleet.metric(vm, &series).unwrap() > 0.0
        })
    })
}

fn engine(fleet: &Fleet, vm: &str) -> EngineStatus {
    let name = format!("engine-{vm}");
    fleet.control_get(&name, "/status").unwrap()
}

/// Guards against a transfer that reads the table or asks an entry while it runs.
#[test]
fn transfer_ends_without_table_and_entry() {
    let mut fleet = start();
    roll_out(&mut fleet);
    fleet
        .wait_until("every VM fetches", TIMEOUT, |fleet| {
            all_in_phase(fleet, &["fetching"])
        })
        .unwrap();
    let outage = Faults {
        unavailable: 1.0,
        ..Faults::default()
    };
    fleet.set_faults("table", &outage).unwrap();
    fleet.kill("entry-0").unwrap();
    fleet
        .wait_until("every VM holds a verified copy", TIMEOUT, |fleet| {
            all_in_phase(fleet, &["verified"])
        })
        .unwrap();
    for vm in VMS {
        // A load needs a fencing number from the table.
        assert_eq!(engine(&fleet, vm).state, EngineState::Empty);
    }
    fleet.set_faults("table", &Faults::default()).unwrap();
    fleet
        .wait_until("every VM serves", TIMEOUT, |fleet| {
            VMS.iter()
                .all(|vm| engine(fleet, vm).state == EngineState::Ready)
        })
        .unwrap();
    let read_bytes = fleet.origin_stats().unwrap().read_bytes;
    assert!(
        read_bytes <= 3 * WEIGHTS_BYTES,
        "{read_bytes} bytes were read"
    );
}

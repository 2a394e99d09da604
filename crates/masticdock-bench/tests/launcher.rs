//! Launcher with real child processes.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::PathBuf;
use std::time::Duration;

use masticdock_bench::fleet::{AgentPlan, Fleet, FleetPlan, Place, RegionLink, Upstream};
use masticdock_core::ids::Digest;
use masticdock_core::resource::Resource;
use masticdock_standins::Faults;
use masticdock_standins::origin::{OriginStats, generated};

const END_TIMEOUT: Duration = Duration::from_secs(20);

fn small() -> FleetPlan {
    let mut plan = FleetPlan::spread(&[Place::new("r1", "a"), Place::new("r2", "a")], 1, 1);
    plan.agents.push(AgentPlan {
        id: "desk".to_owned(),
        place: Place::new("r2", "a"),
        upstream: Upstream::Plain,
        services: vec!["orders".to_owned()],
        ..AgentPlan::default()
    });
    plan.region_links.push(RegionLink {
        region: "r2".to_owned(),
        rate_bytes_per_s: 0,
        latency_ms: 0,
    });
    plan
}

fn runs(pid: u32) -> bool {
    PathBuf::from(format!("/proc/{pid}")).exists()
}

/// Guards against processes that are not started, not measured or not restarted
/// on their addresses.
#[test]
fn processes_start_stop_and_restart() {
    let mut fleet = Fleet::start(small()).unwrap();
    fleet.wait_all_ready().unwrap();
    assert!(fleet.resident_bytes("entry-0").unwrap() > 0);
    fleet.cpu_ms("vm-0").unwrap();
    fleet.metrics("desk").unwrap();
    assert_eq!(fleet.names_in_region("r1"), ["entry-0", "vm-0"]);
    for name in fleet.names_in_region("r2") {
        fleet.stop(&name).unwrap();
        fleet.go_on(&name).unwrap();
    }
    let before = fleet.pid("vm-0").unwrap();
    fleet.kill("vm-0").unwrap();
    assert!(!runs(before));
    fleet.restart("vm-0").unwrap();
    fleet.wait_ready("vm-0").unwrap();
    fleet.terminate("desk").unwrap();
    assert!(fleet.wait_ended("desk", END_TIMEOUT).unwrap());
}

/// Guards against faults and published weights that do not reach the stand-ins.
#[test]
fn stand_ins_are_controlled() {
    let mut fleet = Fleet::start(small()).unwrap();
    let version = fleet.publish_generated("m", "v1", 100_000, 30_000).unwrap();
    let Resource::Version(version) = version else {
        panic!("no version");
    };
    let store = fleet.control("objects").unwrap();
    let url = format!("http://{store}/masticdock/manifests/{}", version.manifest);
    let read = || attohttpc::get(&url).send()?.error_for_status()?.bytes();
    assert_eq!(Digest::of(&read().unwrap()), version.manifest);
    let faults = Faults {
        unavailable: 1.0,
        ..Faults::default()
    };
    fleet.set_faults("objects", &faults).unwrap();
    assert!(read().is_err());
    fleet.restart("objects").unwrap();
    assert!(fleet.control_get::<Faults>("objects", "/faults").is_ok());
    let weights = generated("/generated/100000/v1", 0, 100_000);
    fleet.publish("m", "v2", &weights, 30_000).unwrap();
    assert_eq!(fleet.origin_stats().unwrap(), OriginStats::default());
    for name in ["engine-vm-0", "plain-desk"] {
        assert_eq!(fleet.ledger(name).unwrap().entries, []);
    }
    fleet.kill_vm("vm-0", 10).unwrap();
    fleet.set_faults("link-r2", &Faults::default()).unwrap();
}

/// Guards against children that outlive a failed test.
#[test]
fn children_end_with_a_panic() {
    let mut pid = 0;
    let mut folder = PathBuf::new();
    let result = catch_unwind(AssertUnwindSafe(|| {
        let mut fleet = Fleet::start(FleetPlan::default()).unwrap();
        pid = fleet.pid("table").unwrap();
        folder = fleet.folder().to_owned();
        panic!("as a failed assertion does");
    }));
    assert!(result.is_err());
    assert!(!runs(pid));
    std::fs::remove_dir_all(folder).unwrap();
}

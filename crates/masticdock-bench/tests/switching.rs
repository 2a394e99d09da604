//! Switching of versions by real processes.

use std::time::Duration;

use masticdock_bench::fleet::operators::{service, workspace};
use masticdock_bench::fleet::{Fleet, FleetPlan, Place};
use masticdock_core::ids::RolloutId;
use masticdock_core::operator_api::{RolloutState, RolloutStatus, VmList};
use masticdock_core::resource::{Resource, ServiceKind};
use masticdock_standins::Outcome;
use masticdock_standins::engine::EngineOptions;
use serde_json::json;

const TIMEOUT: Duration = Duration::from_mins(1);
const TOKEN: &str = "caller-token";
const LEASE_MS: u64 = 1_500;

fn rollout(version: &str) -> Resource {
    serde_json::from_value(json!({
        "kind": "rollout", "name": "r", "selector": "fleet=assistant", "version": version,
        "min_serving_share": 0.0, "max_load_failures": 1,
    }))
    .unwrap()
}

/// Starts VMs in one zone that serve v1; v2 is published.
fn serving_v1(vms: usize, engine: EngineOptions) -> Fleet {
    let plan = FleetPlan {
        engine,
        agent_settings: json!({ "slot_lease_ms": LEASE_MS }),
        // The entry waits for a frozen agent, so the request stays in progress.
        entry_settings: json!({ "requests": { "stall_timeout_ms": 20_000 } }),
        ..FleetPlan::spread(&[Place::new("r1", "a")], 1, vms)
    };
    let mut fleet = Fleet::start(plan).unwrap();
    fleet.wait_all_ready().unwrap();
    let model = json!({ "kind": "model", "name": "m" });
    let mut resources = vec![
        serde_json::from_value(model).unwrap(),
        service("assistant", ServiceKind::Engine, true).unwrap(),
        workspace("w", TOKEN).unwrap(),
    ];
    for version in ["v1", "v2"] {
        let published = fleet.publish_generated("m", version, 2 << 20, 256 << 10);
        resources.push(published.unwrap());
    }
    fleet.put(resources).unwrap();
    fleet.put(vec![rollout("v1")]).unwrap();
    wait_serving(&mut fleet, "v1", vms);
    fleet
}

fn serving(fleet: &Fleet, version: &str) -> usize {
    let Ok(list) = fleet.operator_get::<VmList>(0, "/v1/vms") else {
        return 0;
    };
    let on_version = |vm: &&masticdock_core::operator_api::VmEntry| {
        let serving = vm.serving_version.as_ref();
        serving.is_some_and(|held| held.as_str() == version)
    };
    list.vms.iter().filter(on_version).count()
}

fn wait_serving(fleet: &mut Fleet, version: &str, vms: usize) {
    let what = format!("{vms} VMs serve {version}");
    let wait = fleet.wait_until(&what, TIMEOUT, |fleet| serving(fleet, version) == vms);
    wait.unwrap();
}

fn status(fleet: &Fleet) -> Option<RolloutStatus> {
    let name: RolloutId = "r".parse().unwrap();
    let path = format!("/v1/rollouts/{name}/status");
    fleet.operator_get(0, &path).ok()
}

/// Guards against an agent that was frozen past its lease, resumes and orders a
/// load while a request is in progress or with its old fencing number.
#[test]
fn agent_frozen_past_its_lease_gives_its_slot_up() {
    let mut fleet = serving_v1(
        1,
        EngineOptions {
            fence_checked: true,
            token_interval_ms: 50,
            ..EngineOptions::default()
        },
    );
    let callers = fleet.entries()[0].callers;
    let caller = std::thread::spawn(move || {
        let response = attohttpc::post(format!("http://{callers}/v1/assistant"))
            .header("Authorization", format!("Bearer {TOKEN}"))
            .json(&json!({ "prompt": "long", "max_tokens": 120, "stream": true }))
            .unwrap()
            .send();
        response.and_then(attohttpc::Response::text).unwrap()
    });
    let begun = fleet.wait_until("the engine runs the request", TIMEOUT, |fleet| {
        fleet.ledger("engine-vm-0").unwrap().entries.len() == 1
    });
    begun.unwrap();
    fleet.put(vec![rollout("v2")]).unwrap();
    let draining = "masticdock_switch_phase{phase=\"draining\"} 1";
    let drains = fleet.wait_until("vm-0 drains", TIMEOUT, |fleet| {
        fleet
            .metrics("vm-0")
            .is_ok_and(|text| text.contains(draining))
    });
    drains.unwrap();

    fleet.stop("vm-0").unwrap();
    std::thread::sleep(Duration::from_millis(2 * LEASE_MS));
    fleet.go_on("vm-0").unwrap();
    let gives_up = fleet.wait_until("vm-0 gives its slot up", TIMEOUT, |fleet| {
        fleet
            .metric("vm-0", "masticdock_switch_slots_lost_total")
            .is_ok_and(|lost| lost >= 1.0)
    });
    gives_up.unwrap();
    wait_serving(&mut fleet, "v2", 1);
    let answer = caller.join().unwrap();
    assert!(answer.trim_end().ends_with("[DONE]"), "{answer}");
    let runs = fleet.ledger("engine-vm-0").unwrap().entries;
    assert_eq!(runs.len(), 1, "{runs:?}");
    assert_eq!(runs[0].outcome, Outcome::Complete);
    assert_eq!((runs[0].version.as_str(), runs[0].tokens), ("v1", 120));
}

/// Guards against a version that cannot be loaded and takes VM after VM out of
/// service, and against a VM that stays empty after it failed.
#[test]
fn version_that_fails_to_load_halts_the_rollout_and_vms_serve_on() {
    let vms = 3;
    let mut fleet = serving_v1(
        vms,
        EngineOptions {
            bad_versions: vec!["v2".to_owned()],
            ..EngineOptions::default()
        },
    );
    fleet.put(vec![rollout("v2")]).unwrap();
    let mut reason = String::new();
    let halts = fleet.wait_until("the rollout halts", TIMEOUT, |fleet| {
        let Some(RolloutState::Halted { reason: found }) = status(fleet).map(|it| it.state) else {
            return false;
        };
        reason = found;
        true
    });
    halts.unwrap();
    assert!(reason.contains("failed to load version `v2`"), "{reason}");
    assert!(reason.contains("masticdock rollout undo r"), "{reason}");
    wait_serving(&mut fleet, "v1", vms);
    assert_eq!(serving(&fleet, "v2"), 0);

    // The undo is a new revision with the old version, which every VM holds.
    fleet.put(vec![rollout("v1")]).unwrap();
    let completes = fleet.wait_until("the undone rollout is complete", TIMEOUT, |fleet| {
        status(fleet).is_some_and(|it| it.state == RolloutState::Complete)
    });
    completes.unwrap();
}

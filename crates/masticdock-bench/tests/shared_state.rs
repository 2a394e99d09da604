//! Shared state over real processes: configuration, membership, operators.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use masticdock_bench::fleet::{Fleet, FleetPlan, Place};
use masticdock_core::operator_api::{AuditPage, ChangeRequest, VmList};
use masticdock_core::resource::{Mark, Model, Resource, ResourceChange, VmMark};
use masticdock_standins::Faults;

/// Time within which a change is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(6);
/// Time for processes to start and find each other.
const START: Duration = Duration::from_secs(20);

fn places() -> Vec<Place> {
    vec![
        Place::new("r1", "a"),
        Place::new("r1", "b"),
        Place::new("r2", "a"),
    ]
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::start(FleetPlan::spread(&places(), 2, 6)).unwrap();
    fleet.wait_all_ready().unwrap();
    fleet
}

fn names() -> Vec<String> {
    let entries = (0..2).map(|index| format!("entry-{index}"));
    entries
        .chain((0..6).map(|index| format!("vm-{index}")))
        .collect()
}

fn model(description: &str) -> ResourceChange {
    ResourceChange::Put(Resource::Model(Model {
        name: "grind".parse().unwrap(),
        description: description.into(),
    }))
}

fn request(id: &str, description: &str) -> ChangeRequest {
    ChangeRequest {
        change_id: id.parse().unwrap(),
        expected_revision: None,
        dry_run: false,
        changes: vec![model(description)],
    }
}

fn outage() -> Faults {
    Faults {
        unavailable: 1.0,
        ..Faults::default()
    }
}

fn revision(fleet: &mut Fleet, name: &str) -> f64 {
    fleet
        .metric(name, "masticdock_config_revision")
        .unwrap_or(-1.0)
}

#[allow(clippy::cast_precision_loss)]
fn wait_in_force(fleet: &mut Fleet, wanted: u64) -> Duration {
    let begin = Instant::now();
    fleet
        .wait_until(
            "the revision is in force on every process",
            IN_FORCE,
            |fleet| {
                names()
                    .iter()
                    .all(|name| revision(fleet, name) >= wanted as f64)
            },
        )
        .unwrap();
    begin.elapsed()
}

fn wait_all_known(fleet: &mut Fleet) {
    fleet
        .wait_until("every process knows all others", START, |fleet| {
            let alive =
                |name: &String| fleet.metric(name, "masticdock_members{liveness=\"alive\"}");
            names()
                .iter()
                .map(alive)
                .all(|count| count.is_ok_and(|count| count >= 8.0))
        })
        .unwrap();
}

// Guards against a process that misses changes, whichever entry accepted them.
#[test]
fn changes_by_either_entry_come_into_force_on_every_process() {
    let mut fleet = fleet();
    wait_all_known(&mut fleet);
    let mut longest = Duration::ZERO;
    for number in 1..=10_u64 {
        let entry = usize::from(number % 2 == 0);
        let change = request(&format!("c-{number}"), &format!("{number}"));
        let answer = fleet.propose(entry, &change).unwrap().unwrap();
        assert_eq!(answer.revision.0, number);
        longest = longest.max(wait_in_force(&mut fleet, number));
    }
    println!("longest time until in force on 8 processes: {longest:?}");
}

// Guards against a restart in an outage that leads back to an older revision or
// serves without a configuration, and against an outage that does not end.
#[test]
fn a_process_that_restarts_in_a_table_outage_adopts_from_its_peers() {
    let mut fleet = fleet();
    for number in 1..=3_u64 {
        let change = request(&format!("c-{number}"), &format!("{number}"));
        fleet.propose(0, &change).unwrap().unwrap();
    }
    wait_in_force(&mut fleet, 3);
    fleet.set_faults("table", &outage()).unwrap();
    let problem = fleet
        .propose(1, &request("late", "late"))
        .unwrap()
        .unwrap_err();
    assert_eq!(problem.type_name, "table-unavailable");
    for name in ["vm-1", "entry-1"] {
        fleet.kill(name).unwrap();
        fleet.restart(name).unwrap();
        fleet.wait_ready(name).unwrap();
        assert!(revision(&mut fleet, name) >= 3.0, "{name} went back");
    }
    fleet.set_faults("table", &Faults::default()).unwrap();
    let answer = fleet.propose(1, &request("late", "late")).unwrap().unwrap();
    assert_eq!(answer.revision.0, 4);
    wait_in_force(&mut fleet, 4);
}

// Guards against two operators at two entries who overwrite each other unseen.
#[test]
fn operators_racing_at_two_entries_get_distinct_revisions_or_conflicts() {
    let mut fleet = fleet();
    let shared = &fleet;
    let answers: Vec<_> = std::thread::scope(|scope| {
        let mut threads = Vec::new();
        for number in 0..8_usize {
            let change = request(&format!("c-{number}"), &format!("by {number}"));
            let propose = move || {
                shared
                    .propose(number % 2, &change)
                    .unwrap()
                    .map_err(Box::new)
            };
            threads.push(scope.spawn(propose));
        }
        threads
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect()
    });
    let mut accepted = BTreeMap::new();
    for (number, answer) in answers.into_iter().enumerate() {
        match answer {
            Ok(answer) => {
                let other = accepted.insert(answer.revision.0, format!("c-{number}"));
                assert_eq!(other, None, "two changes hold one revision");
            }
            Err(problem) => {
                assert_eq!(problem.type_name, "conflict", "{problem:?}");
                assert!(problem.other_change.is_some());
            }
        }
    }
    assert!(!accepted.is_empty());
    let page: AuditPage = fleet.operator_get(0, "/v1/audit?after=0&limit=50").unwrap();
    let rows = page.changes.iter();
    let audit: BTreeMap<u64, String> = rows
        .map(|row| (row.revision.0, row.change_id.to_string()))
        .collect();
    assert_eq!(audit, accepted);
    wait_in_force(&mut fleet, accepted.len() as u64);
}

// Guards against dead members that stay alive in a view, and restarted ones that stay dead.
#[test]
fn a_killed_agent_is_seen_dead_and_after_its_restart_alive() {
    let mut fleet = fleet();
    wait_all_known(&mut fleet);
    fleet.kill("vm-4").unwrap();
    let seen = |fleet: &Fleet, wanted: &str| {
        (0..2).all(|entry| {
            let list: VmList = fleet.operator_get(entry, "/v1/vms").unwrap();
            let vm = list.vms.iter().find(|vm| vm.id.as_str() == "vm-4");
            vm.is_some_and(|vm| format!("{:?}", vm.liveness) == wanted)
        })
    };
    fleet
        .wait_until("vm-4 is dead", START, |fleet| seen(fleet, "Dead"))
        .unwrap();
    fleet.restart("vm-4").unwrap();
    fleet
        .wait_until("vm-4 is alive", START, |fleet| seen(fleet, "Alive"))
        .unwrap();
}

// Guards against a stop that is not told to the others or does not end.
#[test]
fn a_terminated_agent_leaves_and_ends_with_status_0() {
    let mut fleet = fleet();
    wait_all_known(&mut fleet);
    fleet.terminate("vm-2").unwrap();
    assert!(fleet.wait_ended("vm-2", START).unwrap());
    let list: VmList = fleet.operator_get(0, "/v1/vms").unwrap();
    let vm = list.vms.iter().find(|vm| vm.id.as_str() == "vm-2").unwrap();
    assert!(vm.leaving);
}

// Guards against a VM that an operator stops and that stays up for ever.
#[test]
fn a_vm_marked_as_stopping_ends_with_status_0() {
    let mut fleet = fleet();
    let mark = Resource::VmMark(VmMark {
        name: "vm-3".parse().unwrap(),
        mark: Mark::Stopping,
    });
    fleet.put(vec![mark]).unwrap();
    assert!(fleet.wait_ended("vm-3", START).unwrap());
}

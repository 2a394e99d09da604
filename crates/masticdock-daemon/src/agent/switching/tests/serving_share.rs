//! Share of a group that stays in service during a rollout.

use std::sync::Arc;

use masticdock_core::membership::Phase;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::harness::{FakeFleet, LEASE_MS, TestAgent};

const VMS: usize = 4;

/// Faults in what the VMs know of each other.
#[derive(Clone, Copy)]
struct Faults {
    /// False to keep the members' initial statuses, in which all VMs serve.
    members_known: bool,
    /// True to let the table grant every claim.
    table_grants_all: bool,
    /// True to pause individual agents past their lease.
    pauses: bool,
}

/// Rolls out v2 to four VMs in random order; returns the maximum number of VMs out
/// of service at once and the final number of VMs on v2.
fn run_rollout(seed: u64, faults: Faults) -> (usize, usize) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = FakeFleet::new(VMS);
    let (table, clock) = (Arc::default(), Arc::default());
    let mut agents: Vec<TestAgent> = (0..VMS)
        .map(|it| TestAgent::new(it, &table, &clock))
        .collect();
    for agent in &mut agents {
        agent.complete_switch(&fleet);
        assert_eq!(agent.serving(), Some("v1"));
        fleet.members[agent.index].status = agent.status.clone();
    }
    fleet.apply_rollout("v2", "min_serving_share: 0.75");
    table.lock().unwrap().grants_all = faults.table_grants_all;
    let mut out_of_service_max = 0;
    let mut paused_until = [0; VMS];
    for step in 0..4_000 {
        let agent = &mut agents[random.random_range(0..VMS)];
        agent.advance(random.random_range(1..100));
        if step < paused_until[agent.index] {
            continue;
        }
        if faults.pauses && random.random_ratio(1, 150) {
            paused_until[agent.index] = step + 600;
            continue;
        }
        agent.mark_wanted_verified();
        agent.step(&fleet);
        if agent.phase() == Phase::Loading && random.random_ratio(1, 5) {
            agent.engine.finish_load();
        }
        if faults.members_known {
            fleet.members[agent.index].status = agent.status.clone();
        }
        let out = agents
            .iter()
            .filter(|agent| agent.serving().is_none())
            .count();
        out_of_service_max = out_of_service_max.max(out);
    }
    let done = agents
        .iter()
        .filter(|agent| agent.serving() == Some("v2"))
        .count();
    (out_of_service_max, done)
}

/// Guards against a group that has more VMs out of service than its share allows
/// while each VM sees stale members.
#[test]
fn table_slots_keep_the_serving_share_when_members_are_stale() {
    for seed in 0..8 {
        let faults = Faults {
            members_known: false,
            table_grants_all: false,
            pauses: false,
        };
        assert_eq!(run_rollout(seed, faults), (1, VMS), "seed {seed}");
    }
}

/// Guards against a group that relies on the table alone: here the table grants every
/// claim, as with stale slots, and the members have to keep the serving share.
#[test]
fn members_keep_the_serving_share_when_the_table_is_stale() {
    for seed in 0..8 {
        let faults = Faults {
            members_known: true,
            table_grants_all: true,
            pauses: false,
        };
        assert_eq!(run_rollout(seed, faults), (1, VMS), "seed {seed}");
    }
    // Control: without either limit the share is lost.
    let naive = Faults {
        members_known: false,
        table_grants_all: true,
        pauses: false,
    };
    assert!((0..8).any(|seed| run_rollout(seed, naive).0 > 1));
}

/// Guards against a slot that another VM claims while its paused holder is out of service.
#[test]
fn paused_agents_do_not_reduce_the_serving_share() {
    const { assert!(LEASE_MS < 600 * 50) };
    for seed in 0..8 {
        let faults = Faults {
            members_known: true,
            table_grants_all: false,
            pauses: true,
        };
        let (out_of_service_max, _) = run_rollout(seed, faults);
        assert_eq!(out_of_service_max, 1, "seed {seed}");
    }
}

//! Compares merging of member updates with a naive implementation.

use compact_str::CompactString;
use masticdock_core::ids::{BootEpoch, Incarnation};
use masticdock_core::membership::{Liveness, Member, MemberStatus, Role, merge};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const LIVENESS: [Liveness; 4] = [
    Liveness::Alive,
    Liveness::Suspect,
    Liveness::Dead,
    Liveness::Left,
];

fn member(epoch: u64, incarnation: u64, liveness: usize, seq: u64, leaving: bool) -> Member {
    Member {
        id: CompactString::const_new("vm-1"),
        role: Role::Agent,
        liveness: LIVENESS[liveness],
        incarnation: Incarnation(incarnation),
        boot_epoch: BootEpoch(epoch),
        region: "r1".parse().unwrap(),
        zone: "z1".parse().unwrap(),
        peer_addr: "127.0.0.1:1".parse().unwrap(),
        traffic_addr: None,
        status: MemberStatus {
            seq,
            leaving,
            ..MemberStatus::default()
        },
    }
}

fn updates() -> impl Strategy<Value = Vec<Member>> {
    let update = (0_u64..3, 0_u64..4, 0_usize..4, 0_u64..4, any::<bool>())
        .prop_map(|(e, i, l, s, leaving)| member(e, i, l, s, leaving));
    prop::collection::vec(update, 1..12)
}

/// Evaluates all updates at once instead of one by one.
fn naive(updates: &[Member]) -> Member {
    let epoch = updates.iter().map(|u| u.boot_epoch).max().unwrap();
    let newest: Vec<&Member> = updates.iter().filter(|u| u.boot_epoch == epoch).collect();
    let left = newest.iter().any(|u| u.liveness == Liveness::Left);
    let winner = newest
        .iter()
        .filter(|u| (u.liveness == Liveness::Left) == left)
        .max_by_key(|u| {
            let rank = LIVENESS.iter().position(|l| *l == u.liveness);
            (u.incarnation, rank)
        })
        .unwrap();
    let seq = newest.iter().map(|u| u.status.seq).max().unwrap();
    let leaving = newest
        .iter()
        .any(|u| u.status.seq == seq && u.status.leaving);
    let rank = LIVENESS.iter().position(|l| *l == winner.liveness).unwrap();
    member(epoch.0, winner.incarnation.0, rank, seq, leaving)
}

fn merge_all(updates: &[Member]) -> Member {
    let mut held = updates[0].clone();
    for update in updates {
        merge(&mut held, update);
    }
    held
}

proptest! {
    #![proptest_config(Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(0x6d61_7374),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against a merge result that depends on the order or the number of the
    /// updates instead of on the newest among them.
    #[test]
    fn merging_one_by_one_equals_evaluating_all_at_once(updates in updates()) {
        prop_assert_eq!(merge_all(&updates), naive(&updates));
    }

    /// Guards against processes that end up with different views because updates reached
    /// them in a different order or more than once.
    #[test]
    fn order_and_repetition_do_not_change_the_result(updates in updates(), seed in any::<u64>()) {
        let mut shuffled = updates.clone();
        shuffled.extend(updates.iter().cloned());
        let mut state = seed;
        for index in (1..shuffled.len()).rev() {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            shuffled.swap(index, usize::try_from(state >> 33).unwrap() % (index + 1));
        }
        prop_assert_eq!(merge_all(&shuffled), merge_all(&updates));
    }

    /// Guards against a change that is not reported and therefore not gossiped.
    #[test]
    fn merge_returns_true_exactly_when_the_member_changes(updates in updates()) {
        let mut held = updates[0].clone();
        for update in &updates {
            let before = held.clone();
            prop_assert_eq!(merge(&mut held, update), held != before);
        }
    }
}

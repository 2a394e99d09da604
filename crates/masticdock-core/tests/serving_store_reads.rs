//! Agents read the store only while no entry informs them.

use masticdock_core::serving::{StoreReadSchedule, StoreReadSettings};
use masticdock_core::units::MonoMs;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const START: MonoMs = MonoMs(60_000);

/// Returns the times at which an agent reads within `duration_ms` when hellos with the
/// given poll ages arrive at the given times.
fn reads(duration_ms: u64, hellos: &[(u64, u64)], rng: &mut impl Rng) -> Vec<u64> {
    let mut schedule = StoreReadSchedule::new(StoreReadSettings::default(), START);
    let draw = rng.random::<f64>();
    let mut reads = Vec::new();
    for elapsed_ms in 0..duration_ms {
        let now = START.plus_ms(elapsed_ms);
        for (at_ms, poll_age_ms) in hellos {
            if *at_ms == elapsed_ms {
                schedule.record_hello(*poll_age_ms, now);
            }
        }
        if now >= schedule.due_at(draw, now) {
            schedule.record_read(now);
            reads.push(elapsed_ms);
        }
    }
    reads
}

fn hellos_each_second(from_ms: u64, until_ms: u64, poll_age_ms: u64) -> Vec<(u64, u64)> {
    (from_ms..until_ms)
        .step_by(1_000)
        .map(|at_ms| (at_ms, poll_age_ms))
        .collect()
}

/// Replays the start of 108 agents after a loss of power, when entries are ready within
/// a second: with a read of the configuration for each agent, the links between regions
/// were full for 5 s.
#[test]
fn agents_that_entries_inform_after_a_loss_of_power_do_not_read() {
    let mut rng = ChaCha8Rng::seed_from_u64(21);
    for _ in 0..108 {
        let first_ms = rng.random_range(300..1_200);
        let hellos = hellos_each_second(first_ms, 30_000, rng.random_range(0..2_100));
        assert_eq!(reads(30_000, &hellos, &mut rng), [0; 0]);
    }
}

/// Replays the start of 108 agents without any entry: the reads are spread, so that at
/// most a fifth of them falls into a tenth of a second.
#[test]
fn first_reads_without_entries_are_spread() {
    let mut rng = ChaCha8Rng::seed_from_u64(22);
    let mut by_tenth_s = std::collections::BTreeMap::<u64, usize>::new();
    for _ in 0..108 {
        let first = reads(10_000, &[], &mut rng)[0];
        assert!(first <= 3_000, "the first read comes too late: {first} ms");
        *by_tenth_s.entry(first / 100).or_default() += 1;
    }
    let most = by_tenth_s.values().max().copied().unwrap_or_default();
    assert!(most <= 108 / 5, "{most} agents read within 100 ms");
}

/// An agent that hears no entry has to learn of a version well within the 8 s in which
/// it has to be in force.
#[test]
fn an_agent_that_loses_all_entries_reads_within_five_seconds() {
    let mut rng = ChaCha8Rng::seed_from_u64(23);
    for _ in 0..50 {
        let hellos = hellos_each_second(500, 10_000, 100);
        let reads = reads(20_000, &hellos, &mut rng);
        let first = reads[0];
        assert!(first < 9_500 + 5_000, "first read at {first} ms");
        let most_apart = reads.windows(2).map(|pair| pair[1] - pair[0]).max();
        assert!(
            most_apart <= Some(1_300),
            "reads are {most_apart:?} ms apart"
        );
    }
}

/// Entries that do not reach the store show that it is probably down: reads of 108
/// agents would only add load when it returns.
#[test]
fn agents_read_rarely_while_entries_do_not_reach_the_store() {
    let mut rng = ChaCha8Rng::seed_from_u64(24);
    let hellos: Vec<(u64, u64)> = (0..20)
        .map(|second| (second * 1_000, second * 1_000))
        .collect();
    let reads = reads(20_000, &hellos, &mut rng);
    assert!(!reads.is_empty());
    assert!(reads.len() <= 6, "{} reads in 20 s", reads.len());
}

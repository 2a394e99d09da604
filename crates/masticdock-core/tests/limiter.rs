//! Compares the limits of workspaces with naive versions.

use masticdock_core::limiter::{
    AdmissionInput, DemandMeter, Priority, RequestTokenBucket, ShedReason, admit, entry_share,
    fair_shares,
};
use masticdock_core::units::MonoMs;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Gives one unit after the other to the workspace that has the least for its weight.
fn naive_fair(capacity: u64, asks: &[(u32, u64)]) -> Vec<u64> {
    let mut shares = vec![0_u64; asks.len()];
    for _ in 0..capacity {
        let hungry = (0..asks.len()).filter(|index| shares[*index] < asks[*index].1);
        let next = hungry.min_by(|a, b| {
            let left = (shares[*a] + 1) * u64::from(asks[*b].0);
            let right = (shares[*b] + 1) * u64::from(asks[*a].0);
            left.cmp(&right)
        });
        let Some(next) = next else {
            break;
        };
        shares[next] += 1;
    }
    shares
}

fn input() -> impl Strategy<Value = AdmissionInput> {
    let times = (0..5_000_u64, 0..2_000_u64, 0..2_000_u64);
    let load = (0..200_u64, 0..200_u64, 0..300_u64, 1..300_u64);
    let workspace = (0..100_u64, 0..100_u64);
    (times, load, workspace).prop_map(|(times, load, workspace)| AdmissionInput {
        priority: Priority::Normal,
        remaining_ms: times.0,
        first_byte_ms: times.1,
        service_ms: times.2,
        running: load.0,
        queued: load.1,
        entry_in_flight: load.2,
        capacity: load.3,
        workspace_in_flight: workspace.0,
        workspace_share: workspace.1,
    })
}

proptest! {
    #![proptest_config(config())]

    // Guards against entries that together allow more or less than the limit.
    #[test]
    fn shares_of_entries_sum_to_the_limit(
        total in 0..100_000_u64,
        demands in prop::collection::vec(0..10_000_u64, 1..12),
    ) {
        let names: Vec<String> = (0..demands.len()).map(|index| format!("entry-{index}")).collect();
        let named: Vec<(&str, u64)> =
            names.iter().map(String::as_str).zip(demands.iter().copied()).collect();
        let mut reversed = named.clone();
        reversed.reverse();
        let sum: u64 = demands.iter().sum();
        let count = demands.len() as u64;
        let even = if sum == 0 { total } else { total / 10 };
        let mut given = 0;
        for (name, demand) in &named {
            let share = entry_share(total, &named, name);
            prop_assert_eq!(share, entry_share(total, &reversed, name));
            // Less than one unit away from the exact share even/count + rest*demand/sum.
            let exact = u128::from(even * sum.max(1)) + u128::from((total - even) * demand * count);
            let scaled = u128::from(share * count * sum.max(1));
            prop_assert!(scaled.abs_diff(exact) < u128::from(count * sum.max(1)));
            given += share;
        }
        prop_assert_eq!(given, total);
        prop_assert_eq!(entry_share(total, &named, "stranger"), 0);
    }

    // Guards against a large workspace that leaves small ones nothing, and against idle capacity.
    #[test]
    fn fair_shares_are_close_to_handing_out_single_units(
        capacity in 0..300_u64,
        asks in prop::collection::vec((1..5_u32, 0..120_u64), 1..8),
    ) {
        let shares = fair_shares(capacity, &asks);
        let naive = naive_fair(capacity, &asks);
        let wanted: u64 = asks.iter().map(|(_, ask)| ask).sum();
        prop_assert_eq!(shares.iter().sum::<u64>(), capacity.min(wanted));
        for index in 0..asks.len() {
            prop_assert!(shares[index] <= asks[index].1);
            // Rounding moves at most one unit per workspace.
            prop_assert!(shares[index].abs_diff(naive[index]) <= asks.len() as u64);
        }
    }

    // Guards against a bucket that gains or loses tokens between calls.
    #[test]
    fn bucket_equals_filling_each_millisecond(
        rate_milli in 0..50_000_u64,
        gaps in prop::collection::vec(0..2_500_u64, 1..60),
    ) {
        let mut bucket = RequestTokenBucket::full(rate_milli, MonoMs(0));
        let capacity = if rate_milli == 0 { 0 } else { (rate_milli * 1_000).max(1_000_000) };
        let mut naive = capacity;
        let mut now = MonoMs(0);
        for gap in gaps {
            for _ in 0..gap {
                naive = (naive + rate_milli).min(capacity);
            }
            now = now.plus_ms(gap);
            let allowed = naive >= 1_000_000;
            if allowed {
                naive -= 1_000_000;
            }
            let taken = bucket.try_take(rate_milli, now);
            prop_assert_eq!(taken.is_ok(), allowed);
            if let Err(wait_ms) = taken && rate_milli > 0 {
                let mut later = bucket.clone();
                prop_assert!(later.try_take(rate_milli, now.plus_ms(wait_ms)).is_ok());
            }
        }
    }

    // Guards against a high priority that is shed where a low one is taken.
    #[test]
    fn a_higher_priority_or_a_later_deadline_never_hurts(input in input(), more_ms in 0..5_000_u64) {
        let with = |priority| AdmissionInput { priority, ..input };
        let priorities = [Priority::Low, Priority::Normal, Priority::High];
        for pair in priorities.windows(2) {
            if admit(&with(pair[0])).is_ok() {
                prop_assert_eq!(admit(&with(pair[1])), Ok(()));
            }
        }
        let later = AdmissionInput { remaining_ms: input.remaining_ms + more_ms, ..input };
        if admit(&input).is_ok() {
            prop_assert_eq!(admit(&later), Ok(()));
        }
        if input.first_byte_ms > input.remaining_ms {
            prop_assert_eq!(admit(&input), Err(ShedReason::Deadline));
        }
    }

    // Guards against a meter that loses arrivals or keeps old ones.
    #[test]
    fn meter_counts_one_window(gaps in prop::collection::vec(0..400_u64, 1..80)) {
        let mut meter = DemandMeter::default();
        let (mut now, mut start, mut count, mut naive_milli) = (MonoMs(0), MonoMs(0), 0_u64, 0_u64);
        for gap in gaps {
            now = now.plus_ms(gap);
            let elapsed_ms = now.since_ms(start);
            if elapsed_ms >= 1_000 {
                naive_milli = if elapsed_ms >= 2_000 { 0 } else { count * 1_000_000 / elapsed_ms };
                (start, count) = (now, 0);
            }
            count += 1;
            meter.record_arrival(now);
            prop_assert_eq!(meter.rate_milli(now), naive_milli);
        }
    }
}

// Guards against a limit that each entry applies by itself: three entries under
// a shifting demand hold one limit together once they know the same demands.
#[test]
fn a_concurrency_limit_holds_across_entries_while_demand_shifts() {
    const LIMIT: u64 = 12;
    let entries = ["entry-1", "entry-2", "entry-3"];
    for demands in [[0, 0, 0], [30, 0, 0], [1, 1, 30], [30, 30, 30]] {
        let shared: Vec<(&str, u64)> = entries.into_iter().zip(demands).collect();
        let mut admitted = 0;
        for (name, demand) in &shared {
            admitted += entry_share(LIMIT, &shared, name).min(*demand);
        }
        assert!(admitted <= LIMIT);
        if demands.iter().sum::<u64>() >= 30 {
            assert!(admitted >= LIMIT * 9 / 10 - 1, "{demands:?}: {admitted}");
        }
    }
}

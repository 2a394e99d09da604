//! Compares rate limiting, admission and fair shares with naive implementations.

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

/// Assigns units one by one to the workspace with the smallest share for its weight.
fn naive_fair_shares(capacity: u64, weighted_demands: &[(u32, u64)]) -> Vec<u64> {
    let mut shares = vec![0_u64; weighted_demands.len()];
    for _ in 0..capacity {
        let unsatisfied =
            (0..weighted_demands.len()).filter(|index| shares[*index] < weighted_demands[*index].1);
        let next = unsatisfied.min_by(|a, b| {
            let left = (shares[*a] + 1) * u64::from(weighted_demands[*b].0);
            let right = (shares[*b] + 1) * u64::from(weighted_demands[*a].0);
            left.cmp(&right)
        });
        let Some(next) = next else {
            break;
        };
        shares[next] += 1;
    }
    shares
}

fn admission_inputs() -> impl Strategy<Value = AdmissionInput> {
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

    /// Guards against entries whose shares together are more or less than the limit.
    #[test]
    fn entry_shares_sum_to_the_limit(
        total in 0..100_000_u64,
        demands in prop::collection::vec(0..10_000_u64, 1..12),
    ) {
        let entry_names: Vec<String> = (0..demands.len()).map(|index| format!("entry-{index}")).collect();
        let named: Vec<(&str, u64)> =
            entry_names.iter().map(String::as_str).zip(demands.iter().copied()).collect();
        let mut reversed = named.clone();
        reversed.reverse();
        let sum: u64 = demands.iter().sum();
        let count = demands.len() as u64;
        let even = if sum == 0 { total } else { total / 10 };
        let mut assigned = 0;
        for (name, demand) in &named {
            let share = entry_share(total, &named, name);
            prop_assert_eq!(share, entry_share(total, &reversed, name));
            // Differs by less than 1 from the exact share even/count + rest*demand/sum.
            let exact = u128::from(even * sum.max(1)) + u128::from((total - even) * demand * count);
            let scaled = u128::from(share * count * sum.max(1));
            prop_assert!(scaled.abs_diff(exact) < u128::from(count * sum.max(1)));
            assigned += share;
        }
        prop_assert_eq!(assigned, total);
        prop_assert_eq!(entry_share(total, &named, "stranger"), 0);
    }

    /// Guards against a large workspace that starves small ones, and against capacity
    /// that stays unused while there is demand.
    #[test]
    fn fair_shares_match_assigning_units_one_by_one(
        capacity in 0..300_u64,
        weighted_demands in prop::collection::vec((1..5_u32, 0..120_u64), 1..8),
    ) {
        let shares = fair_shares(capacity, &weighted_demands);
        let naive = naive_fair_shares(capacity, &weighted_demands);
        let wanted: u64 = weighted_demands.iter().map(|(_, asked)| asked).sum();
        prop_assert_eq!(shares.iter().sum::<u64>(), capacity.min(wanted));
        for index in 0..weighted_demands.len() {
            prop_assert!(shares[index] <= weighted_demands[index].1);
            // Rounding shifts at most one unit per workspace.
            prop_assert!(shares[index].abs_diff(naive[index]) <= weighted_demands.len() as u64);
        }
    }

    /// Guards against a bucket that gains or loses tokens by rounding between calls, and
    /// against a wait after which a request is still not allowed.
    #[test]
    fn bucket_equals_refilling_every_millisecond(
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

    /// Guards against shedding a request that would be admitted with a lower priority or
    /// an earlier deadline.
    #[test]
    fn a_higher_priority_or_later_deadline_never_causes_shedding(input in admission_inputs(), more_ms in 0..5_000_u64) {
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

    /// Guards against a meter that loses arrivals or counts those of earlier windows.
    #[test]
    fn demand_meter_reports_the_rate_of_the_last_window(gaps in prop::collection::vec(0..400_u64, 1..80)) {
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

/// Guards against entries that each allow the full limit: three entries that know
/// the same demands stay within one limit together while demand shifts between them.
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

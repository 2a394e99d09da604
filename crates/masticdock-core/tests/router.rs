//! Compares the choice of upstreams with naive implementations.

use std::cmp::Reverse;

use compact_str::format_compact;
use masticdock_core::rendezvous::weight;
use masticdock_core::router::{
    Candidate, LoadEstimate, Locality, PickCandidate, PickPolicy, pick, select_subset,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn candidate(index: usize, region: u8, zone: u8) -> Candidate {
    Candidate {
        id: format_compact!("vm-{index}"),
        region: format!("r{region}").parse().unwrap(),
        zone: format!("r{region}z{zone}").parse().unwrap(),
        version: None,
    }
}

fn candidates() -> impl Strategy<Value = Vec<Candidate>> {
    let locations = prop::collection::vec((0..3_u8, 0..3_u8), 0..40);
    locations.prop_map(|locations| {
        let numbered = locations.into_iter().enumerate();
        numbered
            .map(|(index, (region, zone))| candidate(index, region, zone))
            .collect()
    })
}

fn loads() -> impl Strategy<Value = Vec<(u32, u32, bool)>> {
    prop::collection::vec((0..40_u32, 0..6_u32, prop::bool::weighted(0.8)), 1..20)
}

fn load_estimate(reported: u32, own: u32) -> LoadEstimate {
    let mut load_estimate = LoadEstimate::default();
    load_estimate.record_report(reported);
    for _ in 0..own {
        load_estimate.begin_request();
    }
    load_estimate
}

/// Searches the whole list at each step.
fn naive_pick(
    choices: &[PickCandidate<'_>],
    prefix: Option<&[u8]>,
    tie_break_key: &[u8],
    policy: PickPolicy,
) -> Option<usize> {
    let available: Vec<usize> = (0..choices.len())
        .filter(|index| {
            choices[*index].eligible
                && choices[*index].load.own_in_flight() < policy.own_in_flight_max
        })
        .collect();
    let load = |index: usize| u64::from(choices[index].load.estimate());
    if let Some(prefix) = prefix {
        let total: u64 = available.iter().map(|index| load(*index)).sum::<u64>() + 1;
        let mut order = available.clone();
        order.sort_by_key(|index| {
            (
                Reverse(weight(prefix, choices[*index].id)),
                choices[*index].id,
            )
        });
        let percent = policy.load_bound_percent;
        let within =
            |index: &usize| load(*index) * 100 * (available.len() as u64) < total * percent;
        if let Some(index) = order.into_iter().find(within) {
            return Some(index);
        }
    }
    available.into_iter().min_by_key(|index| {
        let choice = &choices[*index];
        (
            load(*index),
            Reverse(weight(tie_break_key, choice.id)),
            choice.id,
        )
    })
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a subset that holds an upstream of a lower locality or rank instead
    /// of a better one.
    #[test]
    fn subset_is_the_sorted_list_truncated_to_its_size(
        candidates in candidates(),
        key in "[a-z]{1,6}",
        size in 0..30_usize,
    ) {
        let (region, zone) = ("r1".parse().unwrap(), "r1z1".parse().unwrap());
        let all: Vec<&Candidate> = candidates.iter().collect();
        let mut naive = all.clone();
        naive.sort_by_key(|one| {
            let weight = weight(key.as_bytes(), one.id.as_str());
            (Locality::of(one, &region, &zone), Reverse(weight), one.id.clone())
        });
        naive.truncate(size);
        prop_assert_eq!(select_subset(key.as_bytes(), &region, &zone, &all, size), naive);
    }

    /// Guards against affinity that overloads an upstream while others are idle.
    #[test]
    fn pick_equals_a_naive_search(
        loads in loads(),
        prefix in prop::option::of("[a-z]{0,4}"),
        tie_break_key in "[a-z]{1,4}",
        load_bound_percent in 101..300_u64,
        own_in_flight_max in 1..6_u32,
    ) {
        let ids: Vec<String> = (0..loads.len()).map(|index| format!("vm-{index}")).collect();
        let mut choices = Vec::new();
        for (id, (reported, own, eligible)) in ids.iter().zip(&loads) {
            choices.push(PickCandidate { id, load: load_estimate(*reported, *own), eligible: *eligible });
        }
        let policy = PickPolicy { load_bound_percent, own_in_flight_max };
        let prefix = prefix.as_ref().map(String::as_bytes);
        let picked = pick(&choices, prefix, tie_break_key.as_bytes(), policy);
        prop_assert_eq!(picked, naive_pick(&choices, prefix, tie_break_key.as_bytes(), policy));
    }

    /// Guards against prefixes that move to another upstream although their own one is
    /// still available.
    #[test]
    fn a_prefix_keeps_its_upstream_when_another_goes(count in 2..20_usize, prefix in "[a-z]{1,4}") {
        let ids: Vec<String> = (0..count).map(|index| format!("vm-{index}")).collect();
        let choices: Vec<PickCandidate<'_>> = ids
            .iter()
            .map(|id| PickCandidate { id, load: LoadEstimate::default(), eligible: true })
            .collect();
        let policy = PickPolicy { load_bound_percent: 125, own_in_flight_max: 10 };
        let first = pick(&choices, Some(prefix.as_bytes()), b"a", policy).unwrap();
        for removed in (0..count).filter(|removed| *removed != first) {
            let mut remaining = choices.clone();
            remaining[removed].eligible = false;
            prop_assert_eq!(pick(&remaining, Some(prefix.as_bytes()), b"b", policy), Some(first));
        }
    }

    /// Guards against counting own requests twice once a report includes them.
    #[test]
    fn load_estimate_counts_own_requests_once(steps in prop::collection::vec(0..3_u8, 0..60), others in 0..9_u32) {
        let mut load_estimate = LoadEstimate::default();
        let mut own: u32 = 0;
        let mut reported_others = 0;
        for step in steps {
            match step {
                0 => {
                    load_estimate.begin_request();
                    own += 1;
                }
                1 => {
                    load_estimate.end_request();
                    own = own.saturating_sub(1);
                }
                _ => {
                    load_estimate.record_report(others + own);
                    reported_others = others;
                }
            }
            prop_assert_eq!(load_estimate.estimate(), reported_others + own);
        }
    }
}

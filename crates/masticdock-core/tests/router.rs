//! Compares the choice of upstreams with a naive version.

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
    let places = prop::collection::vec((0..3_u8, 0..3_u8), 0..40);
    places.prop_map(|places| {
        let numbered = places.into_iter().enumerate();
        numbered
            .map(|(index, (region, zone))| candidate(index, region, zone))
            .collect()
    })
}

fn loads() -> impl Strategy<Value = Vec<(u32, u32, bool)>> {
    prop::collection::vec((0..40_u32, 0..6_u32, prop::bool::weighted(0.8)), 1..20)
}

fn view(reported: u32, own: u32) -> LoadEstimate {
    let mut view = LoadEstimate::default();
    view.record_report(reported);
    for _ in 0..own {
        view.begin_request();
    }
    view
}

/// Walks the whole list for every question.
fn naive_pick(
    choices: &[PickCandidate<'_>],
    prefix: Option<&[u8]>,
    spread: &[u8],
    rules: PickPolicy,
) -> Option<usize> {
    let open: Vec<usize> = (0..choices.len())
        .filter(|index| {
            choices[*index].eligible
                && choices[*index].load.own_in_flight() < rules.own_in_flight_max
        })
        .collect();
    let load = |index: usize| u64::from(choices[index].load.estimate());
    if let Some(prefix) = prefix {
        let total: u64 = open.iter().map(|index| load(*index)).sum::<u64>() + 1;
        let mut order = open.clone();
        order.sort_by_key(|index| {
            (
                Reverse(weight(prefix, choices[*index].id)),
                choices[*index].id,
            )
        });
        let percent = rules.load_bound_percent;
        let within = |index: &usize| load(*index) * 100 * (open.len() as u64) < total * percent;
        if let Some(index) = order.into_iter().find(within) {
            return Some(index);
        }
    }
    open.into_iter().min_by_key(|index| {
        let choice = &choices[*index];
        (load(*index), Reverse(weight(spread, choice.id)), choice.id)
    })
}

proptest! {
    #![proptest_config(config())]

    // Guards against a subset that skips a nearer upstream for a farther one.
    #[test]
    fn subset_is_the_sorted_list_cut_off(
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

    // Guards against affinity that overloads an upstream and against idle upstreams.
    #[test]
    fn pick_equals_the_naive_walk(
        loads in loads(),
        prefix in prop::option::of("[a-z]{0,4}"),
        spread in "[a-z]{1,4}",
        load_bound_percent in 101..300_u64,
        own_in_flight_max in 1..6_u32,
    ) {
        let ids: Vec<String> = (0..loads.len()).map(|index| format!("vm-{index}")).collect();
        let mut choices = Vec::new();
        for (id, (reported, own, eligible)) in ids.iter().zip(&loads) {
            choices.push(PickCandidate { id, load: view(*reported, *own), eligible: *eligible });
        }
        let rules = PickPolicy { load_bound_percent, own_in_flight_max };
        let prefix = prefix.as_ref().map(String::as_bytes);
        let picked = pick(&choices, prefix, spread.as_bytes(), rules);
        prop_assert_eq!(picked, naive_pick(&choices, prefix, spread.as_bytes(), rules));
    }

    // Guards against prefixes that move although nothing about their upstream changed.
    #[test]
    fn a_prefix_moves_only_when_its_upstream_goes(count in 2..20_usize, prefix in "[a-z]{1,4}") {
        let ids: Vec<String> = (0..count).map(|index| format!("vm-{index}")).collect();
        let choices: Vec<PickCandidate<'_>> = ids
            .iter()
            .map(|id| PickCandidate { id, load: LoadEstimate::default(), eligible: true })
            .collect();
        let rules = PickPolicy { load_bound_percent: 125, own_in_flight_max: 10 };
        let first = pick(&choices, Some(prefix.as_bytes()), b"a", rules).unwrap();
        for gone in (0..count).filter(|gone| *gone != first) {
            let mut fewer = choices.clone();
            fewer[gone].eligible = false;
            prop_assert_eq!(pick(&fewer, Some(prefix.as_bytes()), b"b", rules), Some(first));
        }
    }

    // Guards against own requests that are counted twice once a report holds them.
    #[test]
    fn load_counts_own_requests_once(steps in prop::collection::vec(0..3_u8, 0..60), others in 0..9_u32) {
        let mut view = LoadEstimate::default();
        let mut own: u32 = 0;
        let mut reported_others = 0;
        for step in steps {
            match step {
                0 => {
                    view.begin_request();
                    own += 1;
                }
                1 => {
                    view.end_request();
                    own = own.saturating_sub(1);
                }
                _ => {
                    view.record_report(others + own);
                    reported_others = others;
                }
            }
            prop_assert_eq!(view.estimate(), reported_others + own);
        }
    }
}

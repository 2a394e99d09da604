//! Tests of placement and admission under simulated load, against baseline rules.
//!
//! The simulated engines use a simple model of continuous batching: prompts are
//! prefilled one after another between the passes of the decoding requests. The tests
//! assert which rule performs better, not absolute figures.

use masticdock_core::serving::{
    Candidate, EngineProfile, EngineRoom, PlaceRotation, PlaceRules, Placement, PlacementRules,
    RequestSize, UpstreamLoad, place,
};
use masticdock_core::units::MonoMs;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

const TICK_MS: u64 = 5;
const OBJECTIVE_MS: u64 = 400;

fn profile() -> EngineProfile {
    EngineProfile {
        models: Vec::new(),
        slots: 16,
        steps_per_pass: 5,
        step_ms: 9.27,
        step_per_request_ms: 0.0232,
        step_per_context_ms: 0.0322,
        prefill_tokens_per_ms: 20.7,
        prompt_tokens_mean: 979.0,
        answer_tokens_mean: 92.0,
        layers: 16,
        chunk_count: 48,
    }
}

#[derive(Clone)]
struct Job {
    size: RequestSize,
    arrived_ms: u64,
    prefill_left_ms: f64,
    passes_left: f64,
    first_event_at_ms: Option<u64>,
    /// True for a request that was rejected before and is therefore late.
    returning: bool,
    entry: usize,
}

struct Engine {
    jobs: Vec<Job>,
    slow_factor: f64,
}

impl Engine {
    /// Simulates one tick and returns the jobs that ended.
    fn run_tick(&mut self, profile: &EngineProfile, now_ms: u64) -> Vec<Job> {
        let slots = profile.slots as usize;
        #[allow(clippy::cast_precision_loss)]
        let mut budget_ms = TICK_MS as f64 / self.slow_factor;
        let decoding = |job: &Job| job.prefill_left_ms <= 0.0;
        let running = self
            .jobs
            .iter()
            .take(slots)
            .filter(|job| decoding(job))
            .count();
        let running = u32::try_from(running).unwrap();
        // Prefills take up to four fifths of the time while other requests decode.
        let mut prefill_ms = if running > 0 {
            budget_ms * 0.8
        } else {
            budget_ms
        };
        for job in self.jobs.iter_mut().take(slots) {
            if job.prefill_left_ms > 0.0 && prefill_ms > 0.0 {
                let used_ms = prefill_ms.min(job.prefill_left_ms);
                job.prefill_left_ms -= used_ms;
                prefill_ms -= used_ms;
                budget_ms -= used_ms;
            }
        }
        let passes = budget_ms / profile.pass_ms(running.max(1));
        let mut ended = Vec::new();
        let mut kept = Vec::new();
        for (index, mut job) in std::mem::take(&mut self.jobs).into_iter().enumerate() {
            if index < slots && job.prefill_left_ms <= 0.0 {
                job.first_event_at_ms.get_or_insert(now_ms + 50);
                job.passes_left -= passes;
            }
            if job.passes_left <= 0.0 {
                ended.push(job);
            } else {
                kept.push(job);
            }
        }
        self.jobs = kept;
        ended
    }
}

impl Engine {
    /// Returns the load as an agent reports it.
    fn room(&self, profile: &EngineProfile) -> EngineRoom {
        let pending = self.jobs.iter().filter(|job| job.prefill_left_ms > 0.0);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let mean_prefill_ms = profile.mean_prefill_ms() as u64;
        EngineRoom {
            slots: profile.slots,
            total: u32::try_from(self.jobs.len()).unwrap(),
            pending_prefills: u32::try_from(pending.count()).unwrap(),
            mean_prefill_ms,
            ..EngineRoom::default()
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Rule {
    /// The placement and admission under test.
    Predicted,
    /// Chooses the upstream with the fewest requests in flight and never rejects.
    LeastInFlight,
    /// Like `Predicted`, but returning callers may wait in a queue of four.
    ReturningQueue,
}

/// Delay after which a rejected caller returns, in milliseconds; it does so once.
const RETRY_DELAY_MS: u64 = 1_000;

struct Scenario {
    upstreams: usize,
    entries: usize,
    /// Arrivals per second, by time.
    arrivals_per_s: fn(u64) -> f64,
    slow_factor: fn(usize) -> f64,
    /// True while an engine is unavailable, which all entries know.
    offline: fn(usize, u64) -> bool,
    /// True when entries know the number of entries.
    entries_known: bool,
    /// True when agents divide the free places of their engines among the entries.
    places_divided: bool,
    /// True when rejected callers return.
    callers_retry: bool,
    duration_ms: u64,
}

impl Default for Scenario {
    /// Returns eleven healthy engines and four entries that know their number.
    fn default() -> Self {
        Self {
            upstreams: 11,
            entries: 4,
            arrivals_per_s: |_| 75.0,
            slow_factor: |_| 1.0,
            offline: |_, _| false,
            entries_known: true,
            places_divided: false,
            callers_retry: false,
            duration_ms: 8_000,
        }
    }
}

/// Simulates a scenario and returns the number of new requests whose first event came
/// within the objective.
fn served_within_objective(scenario: &Scenario, rule: Rule) -> usize {
    let profile = profile();
    let mut rotations = vec![PlaceRotation::default(); scenario.upstreams];
    let mut rejected_at_ms = vec![None::<u64>; scenario.entries];
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut engines: Vec<Engine> = (0..scenario.upstreams)
        .map(|index| Engine {
            jobs: Vec::new(),
            slow_factor: (scenario.slow_factor)(index),
        })
        .collect();
    let entries = u32::try_from(scenario.entries).unwrap();
    let mut entry_loads = vec![vec![UpstreamLoad::default(); scenario.upstreams]; scenario.entries];
    let mut due = 0.0;
    let mut within_objective = 0;
    let mut retries: VecDeque<u64> = VecDeque::new();
    for now_ms in (0..scenario.duration_ms).step_by(usize::try_from(TICK_MS).unwrap()) {
        let now = MonoMs(60_000 + now_ms);
        #[allow(clippy::cast_precision_loss)]
        let tick_s = TICK_MS as f64 / 1_000.0;
        due += (scenario.arrivals_per_s)(now_ms) * tick_s;
        while due >= 1.0 || retries.front().is_some_and(|at_ms| *at_ms <= now_ms) {
            let returning = retries.front().is_some_and(|at_ms| *at_ms <= now_ms);
            if returning {
                retries.pop_front();
            } else {
                due -= 1.0;
            }
            let entry = rng.random_range(0..scenario.entries);
            let size = RequestSize {
                prompt_tokens: rng.random_range(200..1_800),
                answer_tokens: rng.random_range(20..180),
            };
            let usable: Vec<usize> = (0..scenario.upstreams)
                .filter(|index| !(scenario.offline)(*index, now_ms))
                .collect();
            let candidates: Vec<Candidate> = usable
                .iter()
                .map(|index| candidate(&entry_loads[entry][*index], now, rng.random()))
                .collect();
            let rules = PlacementRules {
                use_free_slots: rejected_at_ms[entry].is_none_or(|at_ms| now_ms > at_ms + 3_000),
                ..PlacementRules::default()
            };
            let chosen = choose(rule, &candidates, &profile, size, returning, &rules);
            let Some(chosen) = chosen else {
                rejected_at_ms[entry] = Some(now_ms);
                if !returning && scenario.callers_retry {
                    retries.push_back(now_ms + RETRY_DELAY_MS);
                }
                continue;
            };
            let index = usable[chosen];
            entry_loads[entry][index].begin_request(size.prompt_tokens);
            #[allow(clippy::cast_precision_loss)]
            engines[index].jobs.push(Job {
                size,
                arrived_ms: now_ms,
                prefill_left_ms: profile.prefill_ms(size.prompt_tokens as f64),
                passes_left: size.answer_tokens as f64 / 5.0,
                first_event_at_ms: None,
                returning,
                entry,
            });
        }
        for (index, engine) in engines.iter_mut().enumerate() {
            for job in engine.run_tick(&profile, now_ms) {
                let load = &mut entry_loads[job.entry][index];
                load.record_first_event(job.size.prompt_tokens);
                load.end_request();
                let first_event_ms = job.first_event_at_ms.unwrap() - job.arrived_ms;
                #[allow(clippy::cast_precision_loss)]
                load.record_latency(first_event_ms as f64, 150.0, now);
                if first_event_ms <= OBJECTIVE_MS && !job.returning {
                    within_objective += 1;
                }
            }
            if now_ms.is_multiple_of(200) {
                let room = engine.room(&profile);
                let free = room.free_places(&PlaceRules::default());
                let places = rotations[index].divide(free, scenario.entries);
                for (view, places) in entry_loads.iter_mut().zip(places) {
                    if scenario.entries_known {
                        view[index].set_entry_count(entries);
                    }
                    if scenario.places_divided {
                        view[index].set_places(Some(places), now);
                    }
                    view[index].record_report(room.total, room.pending_prefills, now);
                }
            }
        }
    }
    within_objective
}

fn candidate(load: &UpstreamLoad, now: MonoMs, draw: f64) -> Candidate {
    Candidate {
        slots: 16,
        total: load.total(now),
        pending_prefill_tokens: load.pending_prefill_tokens,
        others_pending_prefills: load.others_pending_prefills(profile().mean_prefill_ms(), now),
        slowdown: load.slowdown(now),
        link_delay_ms: 0.0,
        switch_in_ms: None,
        service_ms: 0.0,
        distance_ms: 0.0,
        has_place: load.has_place(now),
        silent: load.is_silent(now),
        draw,
    }
}

fn choose(
    rule: Rule,
    candidates: &[Candidate],
    profile: &EngineProfile,
    size: RequestSize,
    returning: bool,
    rules: &PlacementRules,
) -> Option<usize> {
    if rule == Rule::LeastInFlight {
        return (0..candidates.len()).min_by_key(|index| candidates[*index].total);
    }
    if rule == Rule::ReturningQueue && returning {
        return (0..candidates.len())
            .filter(|index| candidates[*index].total < candidates[*index].slots + 4)
            .min_by_key(|index| candidates[*index].total);
    }
    #[allow(clippy::cast_precision_loss)]
    let objective_ms = OBJECTIVE_MS as f64;
    match place(
        candidates,
        Some(profile),
        size,
        objective_ms,
        returning,
        rules,
    ) {
        Placement::Send { index, .. } => Some(index),
        Placement::Full { .. } | Placement::NoCandidate => None,
    }
}

/// Guards against queues in which every request becomes late, with six seconds of twice
/// the load that eleven engines can serve.
#[test]
fn under_overload_more_requests_meet_the_objective_than_with_unlimited_queues() {
    let scenario = Scenario {
        arrivals_per_s: |_| 200.0,
        duration_ms: 6_000,
        ..Scenario::default()
    };
    let predicted = served_within_objective(&scenario, Rule::Predicted);
    let baseline = served_within_objective(&scenario, Rule::LeastInFlight);
    assert!(predicted > baseline, "{predicted} against {baseline}");
}

/// Guards against a backlog that persists after a burst of two seconds.
#[test]
fn after_a_burst_more_requests_meet_the_objective() {
    let scenario = Scenario {
        arrivals_per_s: |now_ms| {
            if (2_000..4_000).contains(&now_ms) {
                260.0
            } else {
                70.0
            }
        },
        duration_ms: 9_000,
        ..Scenario::default()
    };
    let predicted = served_within_objective(&scenario, Rule::Predicted);
    let baseline = served_within_objective(&scenario, Rule::LeastInFlight);
    assert!(predicted > baseline, "{predicted} against {baseline}");
}

/// Guards against equal shares of the load for engines of unequal speed, with two
/// engines that are four times as slow as the others.
#[test]
fn slow_upstreams_get_fewer_requests_and_more_meet_the_objective() {
    let scenario = Scenario {
        slow_factor: |index| if index < 2 { 4.0 } else { 1.0 },
        ..Scenario::default()
    };
    let predicted = served_within_objective(&scenario, Rule::Predicted);
    let baseline = served_within_objective(&scenario, Rule::LeastInFlight);
    assert!(predicted > baseline, "{predicted} against {baseline}");
}

/// Simulates fifteen entries before forty engines with the given arrivals per second.
fn served_by_fifteen_entries(arrivals_per_s: fn(u64) -> f64, places_divided: bool) -> usize {
    let scenario = Scenario {
        upstreams: 40,
        entries: 15,
        arrivals_per_s,
        places_divided,
        callers_retry: true,
        duration_ms: 10_000,
        ..Scenario::default()
    };
    served_within_objective(&scenario, Rule::Predicted)
}

/// Replays a load above the capacity of all engines, as after two fifths of the upstreams
/// left: each place that became free was taken by several entries at once, so that the
/// queues grew and most requests were late, although few were rejected.
#[test]
fn under_overload_divided_places_serve_more_within_the_objective() {
    let overload = |_| 520.0;
    let divided = served_by_fifteen_entries(overload, true);
    let shared = served_by_fifteen_entries(overload, false);
    assert!(divided > shared, "{divided} against {shared}");
}

/// Guards against places that wait for entries without requests while other entries
/// reject some.
#[test]
fn below_the_capacity_divided_places_lose_nothing() {
    for arrivals_per_s in [|_| 60.0, |_| 250.0] {
        let divided = served_by_fifteen_entries(arrivals_per_s, true);
        let shared = served_by_fifteen_entries(arrivals_per_s, false);
        assert!(divided * 100 >= shared * 99, "{divided} against {shared}");
    }
}

/// Simulates engines that return one after another after an outage of all: each is
/// empty on return, while eight entries have requests for it.
fn served_while_engines_return(entries_known: bool, places_divided: bool) -> usize {
    let scenario = Scenario {
        upstreams: 40,
        entries: 8,
        arrivals_per_s: |_| 420.0,
        offline: |index, now_ms| now_ms < 100 * index as u64,
        entries_known,
        places_divided,
        duration_ms: 5_000,
        ..Scenario::default()
    };
    served_within_objective(&scenario, Rule::Predicted)
}

/// Guards against overload of an upstream that just returned, to which all entries
/// send at once.
#[test]
fn entries_that_know_their_number_serve_more_while_engines_return() {
    let known = served_while_engines_return(true, false);
    let unknown = served_while_engines_return(false, false);
    assert!(known > unknown, "{known} against {unknown}");
    let divided = served_while_engines_return(true, true);
    assert!(divided > unknown, "{divided} against {unknown}");
}

fn idle() -> Candidate {
    candidate(&UpstreamLoad::default(), MonoMs(60_000), 0.0)
}

fn place_request(candidates: &[Candidate], answer_tokens: u64, returning: bool) -> Placement {
    let size = RequestSize {
        prompt_tokens: 500,
        answer_tokens,
    };
    let rules = PlacementRules::default();
    place(candidates, Some(&profile()), size, 400.0, returning, &rules)
}

/// Guards against a long output that delays the switch of an upstream's weights.
#[test]
fn long_answers_avoid_upstreams_that_are_about_to_switch() {
    let soon = Candidate {
        switch_in_ms: Some(300.0),
        ..idle()
    };
    let busier = Candidate { total: 8, ..idle() };
    let index = |placement| match placement {
        Placement::Send { index, .. } => index,
        other => panic!("{other:?}"),
    };
    assert_eq!(index(place_request(&[soon, busier], 250, false)), 1);
    // A short output ends before the switch, so the idle upstream is chosen.
    assert_eq!(index(place_request(&[soon, busier], 10, false)), 0);
}

/// Guards against a prompt so long that the sum overflows and the request seems short.
#[test]
fn the_longest_prompt_is_rejected() {
    let waiting = Candidate {
        pending_prefill_tokens: u64::MAX,
        ..idle()
    };
    let size = RequestSize {
        prompt_tokens: u64::MAX,
        answer_tokens: 10,
    };
    let rules = PlacementRules::default();
    let placement = place(&[waiting], Some(&profile()), size, 400.0, false, &rules);
    assert!(
        !matches!(placement, Placement::Send { .. }),
        "{placement:?}"
    );
}

/// Guards against a second rejection of a caller although a slot frees in time.
#[test]
fn returning_callers_are_admitted_slightly_before_new_ones() {
    let place_with_total =
        |total, returning| place_request(&[Candidate { total, ..idle() }], 50, returning);
    // Predicted above 0.9 of the objective, but within the whole of it.
    let nearly_late = Candidate {
        link_delay_ms: 285.0,
        ..idle()
    };
    assert!(matches!(
        place_request(&[nearly_late], 50, false),
        Placement::Full { .. }
    ));
    assert!(matches!(
        place_request(&[nearly_late], 50, true),
        Placement::Send { .. }
    ));
    for returning in [false, true] {
        assert!(matches!(
            place_with_total(10, returning),
            Placement::Send { .. }
        ));
        assert!(matches!(
            place_with_total(40, returning),
            Placement::Full { .. }
        ));
    }
    assert_eq!(place_request(&[], 50, true), Placement::NoCandidate);
}

/// Simulates an outage of three seconds under full load; rejected callers return.
fn served_after_an_outage(rule: Rule) -> usize {
    let scenario = Scenario {
        arrivals_per_s: |_| 115.0,
        offline: |_, now_ms| now_ms < 3_000,
        callers_retry: true,
        duration_ms: 9_000,
        ..Scenario::default()
    };
    served_within_objective(&scenario, rule)
}

/// Guards against a queue of returning callers that also makes every new caller late,
/// long after the outage that caused the first rejections.
#[test]
fn after_an_outage_returning_callers_do_not_delay_new_ones() {
    let without_queue = served_after_an_outage(Rule::Predicted);
    let with_queue = served_after_an_outage(Rule::ReturningQueue);
    assert!(
        without_queue > with_queue,
        "{without_queue} against {with_queue}"
    );
}

/// Guards against new requests that wait at a silent upstream beside a busier one, and
/// against a rejection where only silent ones have room.
#[test]
fn silent_upstreams_are_chosen_last() {
    let now = MonoMs(60_000);
    let mut load = UpstreamLoad::default();
    load.record_activity(now);
    load.record_silence(1_200, now.plus_ms(1_200));
    assert!(!load.is_backing_off(now.plus_ms(1_200)));
    let silent = candidate(&load, now.plus_ms(1_200), 0.0);
    let busier = Candidate { total: 8, ..idle() };
    let index = |candidates: &[Candidate]| match place_request(candidates, 50, false) {
        Placement::Send { index, .. } => index,
        other => panic!("{other:?}"),
    };
    assert_eq!(index(&[silent, busier]), 1);
    assert_eq!(index(&[silent]), 0);
    load.record_activity(now.plus_ms(1_300));
    assert!(!load.is_silent(now.plus_ms(1_300)));
    // It sends data for others while a request waits.
    load.record_silence(1_200, now.plus_ms(1_350));
    load.record_activity(now.plus_ms(1_400));
    assert!(load.is_silent(now.plus_ms(1_400)));
    assert!(!load.is_silent(now.plus_ms(3_000)));
}

//! Placement and admission under replayed loads, against a naive rule.
//!
//! The engines here are a small model of continuous batching: prompts are read
//! one after another between the passes of the requests that decode. Asserted
//! is an order between the rules, never a figure.

use masticdock_core::serving::{
    AgentReport, Candidate, EngineProfile, Placement, PlacementRules, RequestSize, UpstreamLoad,
    place,
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
    first_at_ms: Option<u64>,
    /// True for a request that was rejected before, and is late.
    returning: bool,
    entry: usize,
}

struct Engine {
    jobs: Vec<Job>,
    slow: f64,
}

impl Engine {
    /// Works for one tick and returns the jobs that ended.
    fn work(&mut self, profile: &EngineProfile, now_ms: u64) -> Vec<Job> {
        let slots = profile.slots as usize;
        #[allow(clippy::cast_precision_loss)]
        let mut budget_ms = TICK_MS as f64 / self.slow;
        let decoding = |job: &Job| job.prefill_left_ms <= 0.0;
        let running = self
            .jobs
            .iter()
            .take(slots)
            .filter(|job| decoding(job))
            .count();
        let running = u32::try_from(running).unwrap();
        // Prompts take up to four fifths of the time while others decode.
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
                job.first_at_ms.get_or_insert(now_ms + 50);
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

#[derive(Clone, Copy, PartialEq)]
enum Rule {
    /// The product's placement and admission.
    Predicted,
    /// Least requests in flight, never rejects.
    LeastInFlight,
    /// The product's, but a returning caller may wait in a queue of four.
    ReturningQueue,
}

/// Delay after which a rejected caller returns, once, in milliseconds.
const RETURN_MS: u64 = 1_000;

struct Scenario {
    upstreams: usize,
    entries: usize,
    /// Arrivals a second, by time.
    per_s: fn(u64) -> f64,
    slow: fn(usize) -> f64,
    /// True while an engine is away, as all entries know.
    away: fn(usize, u64) -> bool,
    /// True when entries know how many of them there are.
    entries_known: bool,
    /// True when rejected callers return.
    callers_return: bool,
    length_ms: u64,
}

impl Default for Scenario {
    /// Eleven engines and four entries that know of each other, without trouble.
    fn default() -> Self {
        Self {
            upstreams: 11,
            entries: 4,
            per_s: |_| 75.0,
            slow: |_| 1.0,
            away: |_, _| false,
            entries_known: true,
            callers_return: false,
            length_ms: 8_000,
        }
    }
}

/// Plays a scenario and returns the requests whose first event came in time.
fn served_in_time(scenario: &Scenario, rule: Rule) -> usize {
    let profile = profile();
    let rules = PlacementRules::default();
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut engines: Vec<Engine> = (0..scenario.upstreams)
        .map(|index| Engine {
            jobs: Vec::new(),
            slow: (scenario.slow)(index),
        })
        .collect();
    let entries = u32::try_from(scenario.entries).unwrap();
    let mut views = vec![vec![UpstreamLoad::default(); scenario.upstreams]; scenario.entries];
    let mut due = 0.0;
    let mut in_time = 0;
    let mut returns: VecDeque<u64> = VecDeque::new();
    for now_ms in (0..scenario.length_ms).step_by(usize::try_from(TICK_MS).unwrap()) {
        let now = MonoMs(60_000 + now_ms);
        #[allow(clippy::cast_precision_loss)]
        let tick_s = TICK_MS as f64 / 1_000.0;
        due += (scenario.per_s)(now_ms) * tick_s;
        while due >= 1.0 || returns.front().is_some_and(|at_ms| *at_ms <= now_ms) {
            let returning = returns.front().is_some_and(|at_ms| *at_ms <= now_ms);
            if returning {
                returns.pop_front();
            } else {
                due -= 1.0;
            }
            let entry = rng.random_range(0..scenario.entries);
            let size = RequestSize {
                prompt_tokens: rng.random_range(200..1_800),
                answer_tokens: rng.random_range(20..180),
            };
            let usable: Vec<usize> = (0..scenario.upstreams)
                .filter(|index| !(scenario.away)(*index, now_ms))
                .collect();
            let candidates: Vec<Candidate> = usable
                .iter()
                .map(|index| candidate(&views[entry][*index], now, rng.random()))
                .collect();
            let chosen = choose(rule, &candidates, &profile, size, returning, &rules);
            let Some(chosen) = chosen else {
                if !returning && scenario.callers_return {
                    returns.push_back(now_ms + RETURN_MS);
                }
                continue;
            };
            let index = usable[chosen];
            views[entry][index].begin_request(size.prompt_tokens);
            #[allow(clippy::cast_precision_loss)]
            engines[index].jobs.push(Job {
                size,
                arrived_ms: now_ms,
                prefill_left_ms: profile.prefill_ms(size.prompt_tokens as f64),
                passes_left: size.answer_tokens as f64 / 5.0,
                first_at_ms: None,
                returning,
                entry,
            });
        }
        for (index, engine) in engines.iter_mut().enumerate() {
            for job in engine.work(&profile, now_ms) {
                let load = &mut views[job.entry][index];
                load.record_first_event(job.size.prompt_tokens);
                load.end_request();
                let first_ms = job.first_at_ms.unwrap() - job.arrived_ms;
                #[allow(clippy::cast_precision_loss)]
                load.record_latency(first_ms as f64, 150.0, now);
                if first_ms <= OBJECTIVE_MS && !job.returning {
                    in_time += 1;
                }
            }
            if now_ms.is_multiple_of(200) {
                let running = u32::try_from(engine.jobs.len().min(16)).unwrap();
                let queued = u32::try_from(engine.jobs.len()).unwrap() - running;
                let pending = engine.jobs.iter().filter(|job| job.prefill_left_ms > 0.0);
                let report = AgentReport {
                    running,
                    queued,
                    pending_prefills: u32::try_from(pending.count()).unwrap(),
                    version: None,
                    switching: false,
                    reachable: true,
                    link_delay_ms: 0,
                    entries: 0,
                    start_delay_ms: 0,
                };
                for view in &mut views {
                    if scenario.entries_known {
                        view[index].set_entry_count(entries);
                    }
                    view[index].record_report(
                        report.running + report.queued,
                        report.pending_prefills,
                        now,
                    );
                }
            }
        }
    }
    in_time
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

/// Replays twice the load that eleven engines carry, for six seconds.
/// Guards against a queue in which every request becomes late.
#[test]
fn an_overload_serves_more_in_time_than_queueing_everything() {
    let scenario = Scenario {
        per_s: |_| 200.0,
        length_ms: 6_000,
        ..Scenario::default()
    };
    let predicted = served_in_time(&scenario, Rule::Predicted);
    let naive = served_in_time(&scenario, Rule::LeastInFlight);
    assert!(predicted > naive, "{predicted} against {naive}");
}

/// Replays a burst of two seconds between calm times.
/// Guards against a backlog that outlives its burst.
#[test]
fn after_a_burst_requests_are_in_time_again_sooner() {
    let scenario = Scenario {
        per_s: |now_ms| {
            if (2_000..4_000).contains(&now_ms) {
                260.0
            } else {
                70.0
            }
        },
        length_ms: 9_000,
        ..Scenario::default()
    };
    let predicted = served_in_time(&scenario, Rule::Predicted);
    let naive = served_in_time(&scenario, Rule::LeastInFlight);
    assert!(predicted > naive, "{predicted} against {naive}");
}

/// Replays an ordinary load beside two engines that are four times as slow.
/// Guards against equal shares for engines of unequal speed.
#[test]
fn slow_upstreams_get_less_and_more_is_in_time() {
    let scenario = Scenario {
        slow: |index| if index < 2 { 4.0 } else { 1.0 },
        ..Scenario::default()
    };
    let predicted = served_in_time(&scenario, Rule::Predicted);
    let naive = served_in_time(&scenario, Rule::LeastInFlight);
    assert!(predicted > naive, "{predicted} against {naive}");
}

/// Replays engines that come back one after another, a few at a time, after a
/// loss of all: each is empty while eight entries have callers for it.
fn served_while_engines_return(entries_known: bool) -> usize {
    let scenario = Scenario {
        upstreams: 40,
        entries: 8,
        per_s: |_| 420.0,
        away: |index, now_ms| now_ms < 100 * index as u64,
        entries_known,
        length_ms: 5_000,
        ..Scenario::default()
    };
    served_in_time(&scenario, Rule::Predicted)
}

/// Guards against entries that all send to the upstream that just came back.
#[test]
fn entries_that_count_each_other_serve_more_while_engines_return() {
    let known = served_while_engines_return(true);
    let unknown = served_while_engines_return(false);
    assert!(known > unknown, "{known} against {unknown}");
}

fn idle() -> Candidate {
    candidate(&UpstreamLoad::default(), MonoMs(60_000), 0.0)
}

fn decide(candidates: &[Candidate], answer_tokens: u64, returning: bool) -> Placement {
    let size = RequestSize {
        prompt_tokens: 500,
        answer_tokens,
    };
    let rules = PlacementRules::default();
    place(candidates, Some(&profile()), size, 400.0, returning, &rules)
}

/// Guards against a long answer that holds up the change of an upstream's weights.
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
    assert_eq!(index(decide(&[soon, busier], 250, false)), 1);
    // A short answer ends before the switch and takes the idle upstream.
    assert_eq!(index(decide(&[soon, busier], 10, false)), 0);
}

/// Guards against a caller that is rejected twice where a slot comes free in time.
#[test]
fn returning_callers_go_a_little_before_new_ones() {
    let place_at = |total, returning| decide(&[Candidate { total, ..idle() }], 50, returning);
    // Above 0.9 of the objective, below all of it.
    let nearly_late = Candidate {
        link_delay_ms: 285.0,
        ..idle()
    };
    assert!(matches!(
        decide(&[nearly_late], 50, false),
        Placement::Full { .. }
    ));
    assert!(matches!(
        decide(&[nearly_late], 50, true),
        Placement::Send { .. }
    ));
    for returning in [false, true] {
        assert!(matches!(place_at(10, returning), Placement::Send { .. }));
        assert!(matches!(place_at(40, returning), Placement::Full { .. }));
    }
    assert_eq!(decide(&[], 50, true), Placement::NoCandidate);
}

/// Replays an outage of three seconds under full load; rejected callers return.
fn served_after_an_outage(rule: Rule) -> usize {
    let scenario = Scenario {
        per_s: |_| 115.0,
        away: |_, now_ms| now_ms < 3_000,
        callers_return: true,
        length_ms: 9_000,
        ..Scenario::default()
    };
    served_in_time(&scenario, rule)
}

/// Guards against a queue of late callers that makes every new one late as well,
/// long after the outage that rejected the first.
#[test]
fn after_an_outage_new_callers_are_not_kept_late_by_returning_ones() {
    let even = served_after_an_outage(Rule::Predicted);
    let queued = served_after_an_outage(Rule::ReturningQueue);
    assert!(even > queued, "{even} against {queued}");
}

//! Pauses of running streams while an engine reads the prompts of new requests.
//!
//! The engines run passes: all unread prompts are read first, then each running stream gets
//! one event. Machines are shared, so that an engine is slow for some tenths of a second.

use masticdock_core::serving::{
    Candidate, EngineProfile, EngineRoom, PlaceRotation, PlaceRules, Placement, PlacementRules,
    PrefillBacklog, RequestSize, Slowness, UpstreamLoad, place,
};
use masticdock_core::units::MonoMs;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const ENGINES: usize = 12;
const ENTRIES: usize = 6;
const PAUSE_OBJECTIVE_MS: u16 = 300;
const REPORT_INTERVAL_MS: u64 = 100;

fn profile() -> EngineProfile {
    EngineProfile {
        models: Vec::new(),
        slots: 12,
        steps_per_pass: 7,
        step_ms: 6.73,
        step_per_request_ms: 0.022,
        step_per_context_ms: 0.007,
        prefill_tokens_per_ms: 30.6,
        prompt_tokens_mean: 960.0,
        answer_tokens_mean: 120.0,
        layers: 16,
        chunk_count: 48,
    }
}

struct Job {
    prompt_tokens: u64,
    entry: usize,
    passes_left: u32,
    last_event_at_ms: Option<f64>,
    is_late: bool,
}

#[derive(Default)]
struct Engine {
    jobs: Vec<Job>,
    /// Number of jobs, the first ones, that take part in the present pass.
    in_pass: usize,
    pass_ends_at_ms: f64,
    backlog: PrefillBacklog,
    rotation: PlaceRotation,
}

impl Engine {
    /// Ends passes that are due and begins the next one; returns the streams that ended.
    fn advance(&mut self, now_ms: u64, slowness: Slowness) -> Vec<Job> {
        #[allow(clippy::cast_precision_loss)]
        let now = now_ms as f64;
        if now < self.pass_ends_at_ms {
            return Vec::new();
        }
        let mut ended = Vec::new();
        let mut kept = Vec::new();
        for (index, mut job) in std::mem::take(&mut self.jobs).into_iter().enumerate() {
            if index < self.in_pass {
                let pause_ms = job.last_event_at_ms.map_or(0.0, |at_ms| now - at_ms);
                job.is_late |= pause_ms > f64::from(PAUSE_OBJECTIVE_MS);
                job.last_event_at_ms = Some(now);
                job.passes_left -= 1;
            }
            if job.passes_left == 0 {
                ended.push(job);
            } else {
                kept.push(job);
            }
        }
        self.jobs = kept;
        let profile = profile();
        self.in_pass = self.jobs.len().min(profile.slots as usize);
        if self.in_pass > 0 {
            let unread = self.jobs[..self.in_pass]
                .iter()
                .filter(|job| job.last_event_at_ms.is_none())
                .map(|job| job.prompt_tokens)
                .sum::<u64>();
            #[allow(clippy::cast_precision_loss)]
            let reading_ms = profile.prefill_ms(unread as f64);
            let running = u32::try_from(self.in_pass).unwrap();
            self.pass_ends_at_ms =
                now + slowness.factor() * (reading_ms + profile.pass_ms(running));
        }
        ended
    }

    /// Reports the load to all entries and divides the places.
    fn report(&mut self, loads: &mut [&mut UpstreamLoad], told: Option<Slowness>, now: MonoMs) {
        let profile = profile();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let (mean_prefill_ms, full_pass_ms) = (
            profile.mean_prefill_ms() as u64,
            profile.pass_ms(profile.slots) as u64,
        );
        let total = u32::try_from(self.jobs.len()).unwrap();
        self.backlog.record(total, mean_prefill_ms, told, now);
        let room = EngineRoom {
            slots: profile.slots,
            total,
            pending_prefills: self.backlog.prompts(mean_prefill_ms),
            mean_prefill_ms,
            full_pass_ms,
            pause_objective_ms: told.map(|_| PAUSE_OBJECTIVE_MS.into()),
            slowness: told,
        };
        let free = room.free_places(&PlaceRules::default());
        let places = self.rotation.divide(free, loads.len());
        for (load, places) in loads.iter_mut().zip(places) {
            load.set_places(Some(places), now);
            load.told_slowness.record_report(told, now);
            load.record_report(total, room.pending_prefills, now);
        }
    }
}

/// Replays twenty seconds of calm load and returns the streams that paused for too long, of
/// how many. Engines tell their slowness, and the pause objective is known, if `is_told`.
fn paused_streams(is_told: bool, slow_percent: f64) -> (usize, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let profile = profile();
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
    let mut loads = vec![vec![UpstreamLoad::default(); ENGINES]; ENTRIES];
    let mut slowness = [Slowness::from_percent(100.0).unwrap(); ENGINES];
    let (mut paused, mut ended_count) = (0, 0);
    for now_ms in (0..20_000_u64).step_by(5) {
        let now = MonoMs(60_000 + now_ms);
        if now_ms.is_multiple_of(600) {
            for slowness in &mut slowness {
                let is_slow = rng.random::<f64>() < 0.15;
                let percent = if is_slow { slow_percent } else { 100.0 };
                *slowness = Slowness::from_percent(percent).unwrap();
            }
        }
        for (index, engine) in engines.iter_mut().enumerate() {
            for job in engine.advance(now_ms, slowness[index]) {
                ended_count += 1;
                paused += usize::from(job.is_late);
                loads[job.entry][index].record_first_event(job.prompt_tokens);
                loads[job.entry][index].end_request();
            }
            if now_ms % REPORT_INTERVAL_MS == 5 * (index as u64 % 20) {
                let mut views: Vec<&mut UpstreamLoad> =
                    loads.iter_mut().map(|loads| &mut loads[index]).collect();
                engine.report(&mut views, is_told.then_some(slowness[index]), now);
            }
        }
        // Six requests a second for each engine.
        if rng.random::<f64>() >= 0.005 * 6.0 * 12.0 {
            continue;
        }
        let size = RequestSize {
            prompt_tokens: rng.random_range(200..1_800),
            answer_tokens: 120,
        };
        let entry = rng.random_range(0..ENTRIES);
        let candidates: Vec<Candidate> = loads[entry]
            .iter()
            .map(|load| candidate(load, now, rng.random()))
            .collect();
        let rules = PlacementRules {
            pause_objective_ms: is_told.then_some(PAUSE_OBJECTIVE_MS.into()),
            ..PlacementRules::default()
        };
        let Placement::Send { index, .. } =
            place(&candidates, Some(&profile), size, 400.0, false, &rules)
        else {
            continue;
        };
        loads[entry][index].begin_request(size.prompt_tokens);
        engines[index].jobs.push(Job {
            prompt_tokens: size.prompt_tokens,
            entry,
            passes_left: rng.random_range(3..40),
            last_event_at_ms: None,
            is_late: false,
        });
    }
    (paused, ended_count)
}

fn candidate(load: &UpstreamLoad, now: MonoMs, draw: f64) -> Candidate {
    Candidate {
        slots: 12,
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

/// Guards against streams that pause because an engine that is slow at the moment reads
/// prompts that another one has room for.
#[test]
fn fewer_streams_pause_where_slowness_is_told() {
    let (paused, ended) = paused_streams(true, 250.0);
    let (paused_before, ended_before) = paused_streams(false, 250.0);
    assert!(ended * 100 >= ended_before * 99, "{ended}, {ended_before}");
    assert!(paused * 2 < paused_before, "{paused} of {paused_before}");
}

/// Guards against a bound that costs throughput where no engine is slow.
#[test]
fn without_slow_engines_as_many_streams_end() {
    let (paused, ended) = paused_streams(true, 100.0);
    let (paused_before, ended_before) = paused_streams(false, 100.0);
    assert!(ended * 100 >= ended_before * 99, "{ended}, {ended_before}");
    assert!(paused <= paused_before, "{paused}, {paused_before}");
}

/// Guards against a prompt that makes running streams pause although an idle engine is only
/// slightly farther, and against a rejection where every engine would pause.
#[test]
fn a_long_prompt_avoids_engines_whose_streams_would_pause() {
    let now = MonoMs(60_000);
    let place_with = |candidates: &[Candidate], pause_objective_ms| {
        let size = RequestSize {
            prompt_tokens: 3_800,
            answer_tokens: 120,
        };
        let rules = PlacementRules {
            pause_objective_ms,
            ..PlacementRules::default()
        };
        match place(candidates, Some(&profile()), size, 600.0, false, &rules) {
            Placement::Send { index, .. } => index,
            other => panic!("{other:?}"),
        }
    };
    let mut load = UpstreamLoad::default();
    for _ in 0..3 {
        load.begin_request(1_300);
    }
    let reading = candidate(&load, now, 0.0);
    let farther = Candidate {
        total: 4,
        distance_ms: 250.0,
        ..candidate(&UpstreamLoad::default(), now, 0.0)
    };
    assert_eq!(place_with(&[reading, farther], None), 0);
    assert_eq!(place_with(&[reading, farther], Some(300.0)), 1);
    assert_eq!(place_with(&[reading], Some(300.0)), 0);
}

/// Guards against an engine that comes back empty and gets as many prompts with each report
/// as it reads in half of an objective.
#[test]
fn an_engine_that_comes_back_gets_no_more_prompts_while_it_reads() {
    let mut backlog = PrefillBacklog::default();
    let budget_ms = PlaceRules::default().prefill_budget_ms;
    backlog.record(0, 31, None, MonoMs(60_000));
    let (mut total, mut given) = (0, Vec::new());
    for poll in 1..=4 {
        backlog.record(total, 31, None, MonoMs(60_000 + 50 * poll));
        let room = EngineRoom {
            slots: 12,
            total,
            pending_prefills: backlog.prompts(31),
            mean_prefill_ms: 31,
            ..EngineRoom::default()
        };
        let places = room.free_places(&PlaceRules::default());
        given.push(places);
        total += places;
    }
    // It reads for 120 of the 150 ms after the first prompts.
    assert!(u64::from(total) * 31 <= budget_ms + 120, "{given:?}");
    assert!(given[1] < given[0], "{given:?}");
}

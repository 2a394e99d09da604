//! Tests of admission by priority: replays of bursts against the former rule, which admits
//! whoever finds a place and rejects all others.
//!
//! The engines are modelled as a pool of slots; agents divide the free ones among the
//! entries with each report. The tests compare rules and kinds of request, not absolute
//! figures.

use masticdock_core::serving::{
    AdmissionQueue, AdmissionRequest, AdmissionSettings, AdmissionTicket, EngineProfile,
    PlaceRotation, RequestTimes, Urgency,
};
use masticdock_core::units::MonoMs;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const TICK_MS: u64 = 5;
const REPORT_MS: u64 = 100;
const ENTRIES: usize = 4;
const SLOTS: usize = 120;
const OBJECTIVE_SHARE: f64 = 0.9;

fn profile() -> EngineProfile {
    EngineProfile {
        models: Vec::new(),
        slots: 12,
        steps_per_pass: 7,
        step_ms: 6.73,
        step_per_request_ms: 0.0219,
        step_per_context_ms: 0.0068,
        prefill_tokens_per_ms: 30.6,
        prompt_tokens_mean: 900.0,
        answer_tokens_mean: 120.0,
        layers: 16,
        chunk_count: 96,
    }
}

/// A kind of request; its index is its priority.
struct Kind {
    objective_ms: u64,
    prompt_tokens: u64,
    answer_ms: u64,
}

const KINDS: [Kind; 3] = [
    Kind {
        objective_ms: 400,
        prompt_tokens: 1_300,
        answer_ms: 1_300,
    },
    Kind {
        objective_ms: 400,
        prompt_tokens: 800,
        answer_ms: 1_200,
    },
    Kind {
        objective_ms: 800,
        prompt_tokens: 600,
        answer_ms: 600,
    },
];

/// Returns the urgency of a kind of request; the workspaces have one priority.
fn urgency(kind: usize) -> Urgency {
    Urgency {
        priority: 1,
        route_priority: u8::try_from(kind).unwrap(),
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Rule {
    /// The queue under test.
    Queue,
    /// Admits a request if its entry has a place, and rejects it otherwise.
    FirstCome,
}

#[derive(Clone, Copy)]
struct Request {
    times: RequestTimes,
    kind: usize,
    large: bool,
}

impl Request {
    fn new(kind: usize, now: MonoMs, rng: &mut ChaCha8Rng) -> Self {
        let large = rng.random_bool(0.1);
        let factor = if large { 3 } else { 1 };
        let times = RequestTimes {
            arrived_at: now,
            due_at: now.plus_ms(6_000),
            objective_ms: KINDS[kind].objective_ms,
            prompt_tokens: KINDS[kind].prompt_tokens * factor,
            returning: false,
        };
        Self { times, kind, large }
    }

    fn ask(&self) -> AdmissionRequest {
        AdmissionRequest {
            urgency: urgency(self.kind),
            returning: self.times.returning,
            start_by: self.times.start_by(Some(&profile()), OBJECTIVE_SHARE),
            body_bytes: 500,
        }
    }

    /// Returns whether the first event of a request that is sent now meets the objective.
    fn is_on_time(&self, now: MonoMs) -> bool {
        let profile = profile();
        #[allow(clippy::cast_precision_loss)]
        let first_event_ms = now.since_ms(self.times.arrived_at) as f64
            + profile.prefill_ms(self.times.prompt_tokens as f64)
            + 1.5 * profile.pass_ms(0);
        #[allow(clippy::cast_precision_loss)]
        let objective_ms = self.times.objective_ms as f64;
        first_event_ms <= objective_ms
    }
}

/// Requests of one kind by what became of them.
#[derive(Debug, Clone, Copy, Default)]
struct Served {
    asked: f64,
    on_time: f64,
    large_asked: f64,
    large_on_time: f64,
}

impl Served {
    fn share(&self) -> f64 {
        self.on_time / self.asked
    }

    fn large_share(&self) -> f64 {
        self.large_on_time / self.large_asked
    }
}

struct Entry {
    queue: AdmissionQueue,
    waiting: Vec<(AdmissionTicket, Request)>,
    places: u32,
}

struct Pool {
    rule: Rule,
    entries: Vec<Entry>,
    busy_until: Vec<MonoMs>,
    served: [Served; 3],
}

impl Pool {
    fn new(rule: Rule) -> Self {
        let entry = || Entry {
            queue: AdmissionQueue::new(AdmissionSettings::default()),
            waiting: Vec::new(),
            places: 0,
        };
        Self {
            rule,
            entries: (0..ENTRIES).map(|_| entry()).collect(),
            busy_until: Vec::new(),
            served: [Served::default(); 3],
        }
    }

    fn start(&mut self, entry: usize, request: &Request, now: MonoMs) {
        self.entries[entry].places -= 1;
        let answer_ms = KINDS[request.kind].answer_ms;
        self.busy_until.push(now.plus_ms(answer_ms));
        self.decide(entry, request, true, now);
    }

    fn decide(&mut self, entry: usize, request: &Request, admitted: bool, now: MonoMs) {
        let urgency = urgency(request.kind);
        self.entries[entry].queue.record(urgency, admitted, now);
        if !admitted || !request.is_on_time(now) {
            return;
        }
        let served = &mut self.served[request.kind];
        served.on_time += 1.0;
        if request.large {
            served.large_on_time += 1.0;
        }
    }

    fn arrive(&mut self, entry: usize, request: Request, now: MonoMs) {
        let served = &mut self.served[request.kind];
        served.asked += 1.0;
        if request.large {
            served.large_asked += 1.0;
        }
        let ask = request.ask();
        let at = &mut self.entries[entry];
        let has_turn = self.rule == Rule::FirstCome || at.queue.is_first(&ask, now);
        if has_turn && at.places > 0 {
            return self.start(entry, &request, now);
        }
        let ticket = match self.rule {
            Rule::FirstCome => None,
            Rule::Queue => at.queue.join(ask, now),
        };
        match ticket {
            Some(ticket) => at.waiting.push((ticket, request)),
            None => self.decide(entry, &request, false, now),
        }
    }

    /// Serves the waiting requests and rejects those that cannot be served in time.
    fn serve_waiting(&mut self, entry: usize, now: MonoMs) {
        loop {
            let at = &mut self.entries[entry];
            let overdue = at
                .waiting
                .iter()
                .position(|(_, request)| request.ask().start_by <= now);
            let first = at.queue.first(now).filter(|_| at.places > 0);
            let first =
                first.and_then(|first| at.waiting.iter().position(|(ticket, _)| *ticket == first));
            let Some(index) = overdue.or(first) else {
                return;
            };
            let (ticket, request) = at.waiting.remove(index);
            at.queue.leave(ticket);
            if overdue.is_some() {
                self.decide(entry, &request, false, now);
            } else {
                self.start(entry, &request, now);
            }
        }
    }
}

/// Replays arrivals per second by kind for ten seconds.
fn replay(rule: Rule, arrivals_per_s: fn(u64) -> [f64; 3]) -> [Served; 3] {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let mut pool = Pool::new(rule);
    let mut rotation = PlaceRotation::default();
    let mut due = [0.0; 3];
    for now_ms in (0..10_000).step_by(usize::try_from(TICK_MS).unwrap()) {
        let now = MonoMs(60_000 + now_ms);
        pool.busy_until.retain(|until| *until > now);
        if now_ms % REPORT_MS == 0 {
            let free = u32::try_from(SLOTS - pool.busy_until.len().min(SLOTS)).unwrap();
            let places = rotation.divide(free, ENTRIES);
            for (entry, places) in places.into_iter().enumerate() {
                pool.entries[entry].places = places;
            }
        }
        for entry in 0..ENTRIES {
            pool.serve_waiting(entry, now);
        }
        for (kind, per_s) in arrivals_per_s(now_ms).into_iter().enumerate() {
            #[allow(clippy::cast_precision_loss)]
            let per_tick = per_s * TICK_MS as f64 / 1_000.0;
            due[kind] += per_tick;
            while due[kind] >= 1.0 {
                due[kind] -= 1.0;
                let entry = rng.random_range(0..ENTRIES);
                let request = Request::new(kind, now, &mut rng);
                pool.arrive(entry, request, now);
            }
        }
    }
    pool.served
}

/// Arrivals below the capacity of the pool.
const CALM_PER_S: [f64; 3] = [35.0, 42.0, 30.0];

/// Multiplies the arrivals of one kind during six seconds.
fn burst(now_ms: u64, kind: usize, factor: f64) -> [f64; 3] {
    let mut arrivals = CALM_PER_S;
    if (2_000..8_000).contains(&now_ms) {
        arrivals[kind] *= factor;
    }
    arrivals
}

/// Replays a burst of requests that may wait: they took the places, and as many urgent ones
/// were rejected as of their own.
#[test]
fn a_burst_of_patient_requests_leaves_the_room_to_the_urgent() {
    let arrivals = |now_ms| burst(now_ms, 2, 3.0);
    let before = replay(Rule::FirstCome, arrivals);
    let after = replay(Rule::Queue, arrivals);
    for kind in [0, 1] {
        let (before, after) = (before[kind].share(), after[kind].share());
        assert!(after > before, "kind {kind}: {after} against {before}");
    }
    assert!(after[0].share() >= after[1].share(), "{after:?}");
    assert!(after[1].share() > after[2].share(), "{after:?}");
}

/// Replays a burst of the most urgent requests, which were rejected although patient ones
/// were admitted.
#[test]
fn a_burst_of_urgent_requests_delays_or_displaces_the_others() {
    let arrivals = |now_ms| burst(now_ms, 0, 1.8);
    let before = replay(Rule::FirstCome, arrivals);
    let after = replay(Rule::Queue, arrivals);
    let (before, urgent) = (before[0].share(), after[0].share());
    assert!(urgent > before, "{urgent} against {before}");
    assert!(after[2].share() >= 0.5, "{after:?}");
}

/// Guards against a kind of request that gets nothing while more urgent ones ask for all of
/// the room, and against the rejection of all large requests.
#[test]
fn a_long_overload_starves_no_kind_and_no_size() {
    let after = replay(Rule::Queue, |_| [90.0, 70.0, 50.0]);
    let settings = AdmissionSettings::default();
    for served in &after {
        assert!(served.share() > settings.share_min * 0.8, "{after:?}");
        assert!(served.large_share() > served.share() * 0.5, "{after:?}");
    }
}

/// Guards against requests that wait although there is room.
#[test]
fn in_calm_the_queue_changes_nothing() {
    let before = replay(Rule::FirstCome, |_| [20.0, 25.0, 18.0]);
    let after = replay(Rule::Queue, |_| [20.0, 25.0, 18.0]);
    for (before, after) in before.iter().zip(&after) {
        assert!(after.share() >= before.share(), "{after:?} {before:?}");
    }
}

fn ask(kind: usize, start_by: u64) -> AdmissionRequest {
    AdmissionRequest {
        urgency: urgency(kind),
        returning: false,
        start_by: MonoMs(start_by),
        body_bytes: 1_000,
    }
}

/// Guards against a place that goes to a request which could wait longer.
#[test]
fn places_go_by_priority_then_by_the_time_left() {
    let now = MonoMs(100);
    let mut queue = AdmissionQueue::new(AdmissionSettings::default());
    let patient = queue.join(ask(2, 900), now).unwrap();
    let later = queue.join(ask(1, 400), now).unwrap();
    let sooner = queue.join(ask(1, 300), now).unwrap();
    let returning = AdmissionRequest {
        returning: true,
        ..ask(1, 200)
    };
    let returning = queue.join(returning, now).unwrap();
    assert!(queue.is_first(&ask(0, 500), now));
    assert!(!queue.is_first(&ask(2, 200), now));
    for expected in [sooner, later, returning, patient] {
        assert_eq!(queue.first(now), Some(expected));
        queue.leave(expected);
    }
    assert_eq!(queue.first(now), None);
}

/// Guards against a request that is held although it cannot meet its objective.
#[test]
fn a_request_that_cannot_be_in_time_does_not_wait() {
    let times = RequestTimes {
        arrived_at: MonoMs(1_000),
        due_at: MonoMs(7_000),
        objective_ms: 400,
        prompt_tokens: 12_000,
        returning: false,
    };
    let start_by = times.start_by(Some(&profile()), OBJECTIVE_SHARE);
    assert_eq!(start_by, times.arrived_at);
    let mut queue = AdmissionQueue::new(AdmissionSettings::default());
    assert_eq!(queue.join(ask(0, start_by.0), MonoMs(1_000)), None);
    // The service is short of room all the same.
    assert!(queue.is_short(MonoMs(1_500)));
    assert!(!queue.is_short(MonoMs(2_500)));
}

/// Guards against a wait beyond the deadline of a request with little time left.
#[test]
fn nothing_waits_beyond_its_deadline() {
    let times = RequestTimes {
        arrived_at: MonoMs(1_000),
        due_at: MonoMs(1_150),
        objective_ms: 400,
        prompt_tokens: 0,
        returning: true,
    };
    assert_eq!(times.start_by(None, OBJECTIVE_SHARE), MonoMs(1_150));
}

/// Guards against memory without bounds for the bodies of waiting requests, and against
/// patient requests that leave no room for the bodies of urgent ones.
#[test]
fn waiting_requests_are_bounded_by_number_and_size_for_each_priority() {
    let settings = AdmissionSettings {
        waiting_max: 3,
        waiting_bytes_max: 2_500,
        ..AdmissionSettings::default()
    };
    let mut queue = AdmissionQueue::new(settings);
    let now = MonoMs(0);
    assert!(queue.join(ask(2, 900), now).is_some());
    assert!(queue.join(ask(2, 900), now).is_some());
    assert_eq!(queue.join(ask(2, 900), now), None);
    let small = AdmissionRequest {
        body_bytes: 10,
        ..ask(2, 900)
    };
    assert!(queue.join(small, now).is_some());
    assert_eq!(queue.join(small, now), None);
    let urgent = queue.join(ask(0, 300), now).unwrap();
    assert_eq!(queue.first(now), Some(urgent));
    assert_eq!(queue.waiting(), 4);
}

/// Guards against a priority that stays behind, or that keeps its precedence after it has
/// caught up.
#[test]
fn a_priority_below_its_minimum_share_ranks_first_until_it_caught_up() {
    let mut queue = AdmissionQueue::new(AdmissionSettings::default());
    let now = MonoMs(1_000);
    for _ in 0..6 {
        queue.record(urgency(2), false, now);
    }
    let patient = queue.join(ask(2, 1_200), now).unwrap();
    let urgent = queue.join(ask(0, 1_300), now).unwrap();
    assert_eq!(queue.first(now), Some(patient));
    for _ in 0..7 {
        queue.record(urgency(2), true, now);
    }
    assert_eq!(queue.first(now), Some(urgent));
}

/// Guards against a route that goes before the requests of a more urgent workspace.
#[test]
fn the_priority_of_a_workspace_goes_before_that_of_the_route() {
    let now = MonoMs(100);
    let mut queue = AdmissionQueue::new(AdmissionSettings::default());
    let of_route = queue.join(ask(0, 300), now).unwrap();
    let of_workspace = AdmissionRequest {
        urgency: Urgency {
            priority: 0,
            route_priority: 2,
        },
        ..ask(0, 900)
    };
    let of_workspace = queue.join(of_workspace, now).unwrap();
    assert_eq!(queue.first(now), Some(of_workspace));
    queue.leave(of_workspace);
    assert_eq!(queue.first(now), Some(of_route));
}

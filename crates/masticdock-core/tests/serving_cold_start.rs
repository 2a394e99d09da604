//! Shares of the entries in the requests to a cold upstream.

use masticdock_core::serving::{
    ColdSlowdown, ColdStartBounds, ColdStartPace, ColdStartProfile, ColdStartShare, sharing_entries,
};
use masticdock_core::units::{MonoMs, RequestRate};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RATE: u32 = 32;
const PROFILE: ColdStartProfile = ColdStartProfile {
    duration_ms: 3_000,
    rate: RequestRate::from_milli(RATE as u64 * 1_000),
};
const BOUNDS: ColdStartBounds = ColdStartBounds {
    over: 1.5,
    slack: 5.0,
};
/// Requests that the bounds allow within any second.
const ALLOWED: usize = 53;

fn at(ms: u64) -> MonoMs {
    MonoMs(60_000 + ms)
}

/// An entry for which the upstream is the best choice.
struct Entry {
    share: ColdStartShare,
    /// Number of entries that it knows, and whether these count it as well.
    known: u32,
    counted: bool,
    /// Claimed requests that wait for their connections.
    connecting: Vec<u64>,
}

impl Entry {
    fn new(known: u32) -> Self {
        Self {
            share: ColdStartShare::default(),
            known,
            counted: true,
            connecting: Vec::new(),
        }
    }

    fn pace(&self) -> ColdStartPace {
        ColdStartPace::new(PROFILE, BOUNDS, sharing_entries(self.known, self.counted))
    }

    /// Sends a request if the share allows one; returns whether it does.
    fn send(&mut self, ms: u64) -> bool {
        let pace = self.pace();
        self.share.try_claim(&pace, at(ms))
    }
}

/// Demand at one entry, as the probability of a request in a millisecond.
const DEMAND: f64 = 0.1;

/// Returns the entries of a fleet that know each other.
fn fleet(entries: u32) -> Vec<Entry> {
    (0..entries).map(|_| Entry::new(entries)).collect()
}

/// Lets all entries see the upstream start at this moment.
fn start(entries: &mut [Entry], ms: u64, rng: &mut ChaCha8Rng) {
    for entry in entries {
        entry.share.record_start(at(ms), rng.random());
    }
}

fn run(entries: &mut [Entry], times: std::ops::Range<u64>, rng: &mut ChaCha8Rng) -> Vec<u64> {
    let mut sent = Vec::new();
    for ms in times {
        for entry in &mut *entries {
            if rng.random_bool(DEMAND) && entry.send(ms) {
                sent.push(ms);
            }
        }
    }
    sent
}

/// Returns the most requests within a second.
fn most_in_second(sent: &[u64]) -> usize {
    let mut most = 0;
    let mut first = 0;
    for (index, ms) in sent.iter().enumerate() {
        while sent[first] + 1_000 < *ms {
            first += 1;
        }
        most = most.max(index + 1 - first);
    }
    most
}

/// Guards against entries all of which send to an upstream that returns empty, and against
/// shares that leave a tenth of the tolerated rate unused.
#[test]
fn entries_together_send_what_a_cold_upstream_tolerates() {
    for count in [1, 2, 3, 6, 15, 40, 60] {
        for seed in 0..20 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut entries = fleet(count);
            start(&mut entries, 0, &mut rng);
            let sent = run(&mut entries, 0..3_000, &mut rng);
            let most = most_in_second(&sent);
            assert!(most <= ALLOWED, "{most} by {count} entries, seed {seed}");
            let tolerated = 3 * RATE as usize;
            let is_used = sent.len() * 10 >= tolerated * 9;
            assert!(is_used || count > 6, "{} by {count}, {seed}", sent.len());
        }
    }
}

/// Guards against an upstream that turns cold at any moment and gets, in the same second,
/// what was sent before and the whole tolerated rate besides.
#[test]
fn sends_from_before_the_coldness_count() {
    for count in [2, 6, 15] {
        for seed in 0..20 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut entries = fleet(count);
            // A warm upstream gets a little more than the bounds allow while it is cold.
            let mut sent = Vec::new();
            for ms in 0..2_000 {
                for entry in &mut entries {
                    let demand = 0.045 / f64::from(count);
                    if rng.random_bool(demand) && entry.send(ms) {
                        sent.push(ms);
                    }
                }
            }
            let warm = most_in_second(&sent);
            for entry in &mut entries {
                assert!(entry.share.record_cold_left(3_000, at(2_000), rng.random()));
            }
            sent.extend(run(&mut entries, 2_000..5_000, &mut rng));
            let most = most_in_second(&sent);
            let at_most = ALLOWED.max(warm);
            assert!(most <= at_most, "{most} by {count} entries, seed {seed}");
        }
    }
}

/// Guards against a sum that is exceeded while entries join, or all of them start, at the
/// moment at which the upstream returns.
#[test]
fn entries_that_nobody_counted_keep_the_sum() {
    for (before, joining) in [(6, 6), (3, 3), (1, 2), (0, 6), (0, 15), (15, 5)] {
        for seed in 0..20 {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            let mut entries = fleet(before);
            for _ in 0..joining {
                // An entry without any report assumes 10 entries.
                let mut entry = Entry::new(before.max(10));
                entry.counted = false;
                entries.push(entry);
            }
            start(&mut entries, 0, &mut rng);
            let mut sent = run(&mut entries, 0..1_000, &mut rng);
            // The agent hears them one after another and reports its count to all.
            for heard in 1..=joining {
                for (index, entry) in entries.iter_mut().enumerate() {
                    let is_heard = index < (before + heard) as usize;
                    entry.counted = is_heard;
                    if is_heard {
                        entry.known = before + heard;
                    }
                }
                let from = 1_000 + u64::from(heard - 1) * 20;
                sent.extend(run(&mut entries, from..from + 20, &mut rng));
            }
            let from = 1_000 + u64::from(joining) * 20;
            sent.extend(run(&mut entries, from..3_000, &mut rng));
            let most = most_in_second(&sent);
            assert!(most <= ALLOWED, "{most}: {before}+{joining}, seed {seed}");
        }
    }
}

/// Guards against shares that stay with entries that crashed, and against a sum that is
/// exceeded when the others take these over.
#[test]
fn the_shares_of_entries_that_left_go_to_the_others() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut entries = fleet(6);
        start(&mut entries, 0, &mut rng);
        let mut sent = run(&mut entries, 0..1_500, &mut rng);
        entries.truncate(3);
        for entry in &mut entries {
            entry.known = 3;
        }
        let rest = run(&mut entries, 1_500..3_000, &mut rng);
        assert!(rest.len() * 10 >= RATE as usize * 15 * 9 / 10, "{seed}");
        sent.extend(rest);
        assert!(most_in_second(&sent) <= ALLOWED, "seed {seed}");
    }
}

/// Guards against requests that wait for connections to a slow link and are sent together.
#[test]
fn requests_that_waited_for_a_connection_are_claimed_again() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut entries = fleet(6);
        start(&mut entries, 0, &mut rng);
        let mut sent = Vec::new();
        for ms in 0..3_000_u64 {
            for entry in &mut entries {
                if rng.random_bool(DEMAND) && entry.send(ms) {
                    entry.connecting.push(ms);
                }
                // Connections are established at the end of each stretch of 400 ms.
                if ms % 400 != 399 {
                    continue;
                }
                let pace = entry.pace();
                for claimed in std::mem::take(&mut entry.connecting) {
                    if entry.share.may_send(&pace, at(claimed), at(ms)) {
                        sent.push(ms);
                    }
                }
            }
        }
        assert!(most_in_second(&sent) <= ALLOWED, "seed {seed}");
        assert!(!sent.is_empty());
    }
}

/// Guards against a limit that outlasts the coldness, or that holds for an upstream which
/// never was cold.
#[test]
fn a_warm_upstream_has_no_limit() {
    let pace = ColdStartPace::new(PROFILE, BOUNDS, 6);
    let mut share = ColdStartShare::default();
    for _ in 0..1_000 {
        assert!(share.try_claim(&pace, at(0)));
    }
    share.record_start(at(1_000), 0.5);
    assert!(!share.try_claim(&pace, at(1_000)));
    assert!(share.blocked_until(&pace, at(1_000)).is_some());
    assert_eq!(share.blocked_until(&pace, at(4_000)), None);
    share.record_cold_left(2_000, at(5_000), 0.0);
    assert!(share.is_cold(3_000, at(6_999)));
    assert!(!share.is_cold(3_000, at(7_000)));
    share.record_cold_left(2_000, at(8_000), 0.0);
    share.record_cold_left(0, at(8_100), 0.0);
    assert!(!share.is_cold(3_000, at(8_100)));
}

/// Guards against an upstream that returns without a new row and gets the full load.
#[test]
fn the_first_response_after_a_failed_connection_begins_a_coldness() {
    let mut share = ColdStartShare::default();
    assert!(!share.record_response(at(0), 0.0));
    share.record_unreachable(at(10_000));
    assert!(share.is_cold(3_000, at(60_000)));
    assert!(share.record_response(at(60_000), 0.0));
    assert!(share.is_cold(3_000, at(62_999)));
    assert!(!share.is_cold(3_000, at(63_000)));
}

/// Guards against placement that expects a cold upstream to be as fast as a warm one.
#[test]
fn the_slowdown_of_cold_upstreams_is_learnt() {
    let mut slowdown = ColdSlowdown::default();
    assert!((slowdown.factor() - 1.0).abs() < 1e-9);
    for _ in 0..10 {
        slowdown.record(300.0, 150.0);
    }
    assert!(slowdown.factor() > 1.9, "{}", slowdown.factor());
    for _ in 0..10 {
        slowdown.record(50.0, 150.0);
    }
    assert!(slowdown.factor() >= 1.0 && slowdown.factor() < 1.1);
}

//! Shares of the entries in a limit that an upstream names.

use masticdock_core::serving::RateLimitShare;
use masticdock_core::units::{MonoMs, RequestRate};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time over which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// When the upstream begins to name its limit.
const NAMED_AT_MS: u64 = 8_000;
/// Time from a request to its answer, in milliseconds.
const ANSWER_MS: u64 = 120;
/// Time until the other entries hear of the first answer with the limit, in milliseconds.
const PASS_ON_MS: u64 = 20;

fn at(ms: u64) -> MonoMs {
    MonoMs(60_000 + ms)
}

const fn rate(milli: u64) -> RequestRate {
    RequestRate::from_milli(milli)
}

/// One entry that sends to the upstream.
#[derive(Default)]
struct Entry {
    share: RateLimitShare,
    /// When requests were sent whose answer has not arrived.
    in_flight: Vec<u64>,
    /// When an answer first named the limit.
    told_ms: Option<u64>,
}

/// A request that was sent to the upstream.
#[derive(Clone, Copy)]
struct Sent {
    ms: u64,
    /// Whether its entry had known the limit for half a second.
    was_told: bool,
}

/// Demand at all entries together, in thousandths of a request per second.
struct Demand {
    before_milli: u64,
    after_milli: u64,
    /// Whether the requests come in bursts of one second in each five.
    bursts: bool,
}

/// Lets entries send to an upstream for a minute; returns when each request was sent.
fn simulate(entries: u32, limit_milli: u64, demand: &Demand, seed: u64) -> Vec<Sent> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut states: Vec<Entry> = (0..entries).map(|_| Entry::default()).collect();
    let mut sent = Vec::new();
    let mut passed_on_at = None;
    for ms in 0..60_000_u64 {
        let now = at(ms);
        for entry in &mut states {
            while entry
                .in_flight
                .first()
                .is_some_and(|sent| sent + ANSWER_MS <= ms)
            {
                let sent_ms = entry.in_flight.remove(0);
                let named = (ms >= NAMED_AT_MS).then_some(rate(limit_milli));
                let draw = rng.random();
                entry.told_ms = entry.told_ms.or(named.map(|_| ms));
                let share = &mut entry.share;
                if named.is_some() && share.rate().is_none() {
                    passed_on_at = passed_on_at.or(Some(ms + PASS_ON_MS));
                }
                share.record_answer(named, entries, at(sent_ms), now, draw);
            }
            if passed_on_at == Some(ms) {
                let draw = rng.random();
                let share = &mut entry.share;
                share.record_elsewhere(rate(limit_milli), entries, now, draw);
            }
            let demand_milli = match (ms < NAMED_AT_MS, demand.bursts) {
                (true, _) => demand.before_milli,
                (false, true) if ms % 5_000 >= 1_000 => 0,
                (false, _) => demand.after_milli,
            };
            let probability = f64::from(u32::try_from(demand_milli).unwrap()) / 1e6;
            let arrives = rng.random_bool(probability / f64::from(entries));
            if arrives && entry.share.blocked_until(now).is_none() {
                entry.share.record_send(now);
                entry.in_flight.push(ms);
                let was_told = entry.told_ms.is_some_and(|told| ms >= told + 500);
                sent.push(Sent { ms, was_told });
            }
        }
    }
    sent
}

/// Returns the most requests in a window that ends at `from_ms` or later.
fn most_in_window(sent: impl Iterator<Item = Sent>, from_ms: u64) -> usize {
    let times: Vec<u64> = sent.map(|sent| sent.ms).collect();
    let ends = times.iter().filter(|ms| **ms >= from_ms);
    let in_window = |end: &u64| {
        let window = end.saturating_sub(WINDOW_MS)..=*end;
        times.iter().filter(|ms| window.contains(ms)).count()
    };
    ends.map(in_window).max().unwrap_or(0)
}

/// Returns the most requests that a limit allows within 4 s.
fn allowed(limit_milli: u64) -> usize {
    usize::try_from(limit_milli * 4 * 3 / 2 / 1_000 + 5).unwrap()
}

/// Guards against entries each of which uses the whole limit.
#[test]
fn entries_together_keep_to_a_limit() {
    for entries in [1, 2, 3, 6, 15] {
        for limit_milli in [500, 1_500, 1_800, 6_000, 20_000] {
            for (seed, bursts) in [(1, false), (2, true), (3, false), (4, true)] {
                let demand = Demand {
                    before_milli: 4_700,
                    after_milli: 60_000,
                    bursts,
                };
                let sent = simulate(entries, limit_milli, &demand, seed);
                let told = sent.iter().copied().filter(|sent| sent.was_told);
                let most = most_in_window(told, 0);
                assert!(
                    most <= allowed(limit_milli),
                    "{most} by {entries} entries at {limit_milli}, seed {seed}"
                );
                // The entries use at least half of what the limit lets them.
                let after = sent.iter().filter(|sent| sent.ms >= 15_000).count();
                let limit = usize::try_from(limit_milli * 45 / 1_000).unwrap();
                assert!(bursts || 2 * after >= limit, "{after} of {limit}");
            }
        }
    }
}

/// Guards against entries that learn of a limit and do not count what they sent before, or
/// each of which sends a request to learn of it.
#[test]
fn sends_from_before_a_limit_count() {
    let demand = Demand {
        before_milli: 4_700,
        after_milli: 4_700,
        bursts: false,
    };
    for entries in [1, 3, 15, 40] {
        for seed in 0..25 {
            let sent = simulate(entries, 1_800, &demand, seed);
            let most = most_in_window(sent.into_iter(), NAMED_AT_MS + 3_000);
            let at_most = allowed(1_800);
            assert!(most <= at_most, "{most} by {entries} entries, seed {seed}");
        }
    }
}

/// Guards against a limit that ends with the answer to a request from before it, or never.
#[test]
fn a_limit_ends_with_the_answer_to_a_later_request() {
    let mut share = RateLimitShare::default();
    assert!(share.record_answer(Some(rate(1_000)), 2, at(0), at(100), 0.5));
    assert_eq!(share.blocked_until(at(100)), Some(at(1_100)));
    assert!(!share.record_answer(None, 2, at(50), at(200), 0.5));
    assert_eq!(share.rate(), Some(rate(1_000)));
    assert!(!share.record_answer(Some(rate(1_000)), 2, at(60), at(250), 0.5));
    assert!(share.record_answer(None, 2, at(1_200), at(1_300), 0.5));
    assert_eq!(share.rate(), None);
    assert_eq!(share.blocked_until(at(1_300)), None);
}

/// Guards against requests that entries save up while they have none to send.
#[test]
fn an_idle_entry_saves_up_little() {
    let mut share = RateLimitShare::default();
    share.record_answer(Some(rate(2_000)), 1, at(0), at(0), 0.0);
    let now = at(30_000);
    let mut burst = 0;
    while share.blocked_until(now).is_none() {
        share.record_send(now);
        burst += 1;
    }
    assert_eq!(burst, 3);
}

/// Guards against an entry that keeps its spacing when the limit or the number of entries
/// changes, or that never asks again after a limit of 0.
#[test]
fn the_spacing_follows_the_limit_and_the_entries() {
    let mut share = RateLimitShare::default();
    share.record_answer(Some(rate(0)), 1, at(0), at(0), 0.0);
    share.record_send(at(0));
    let again = share.blocked_until(at(1)).unwrap();
    assert!(again <= at(60_000));
    assert!(share.record_answer(Some(rate(4_000)), 1, at(0), at(100), 0.0));
    share.record_send(at(20_000));
    assert_eq!(share.blocked_until(at(20_000)), None);
    share.record_answer(Some(rate(4_000)), 8, at(20_000), at(20_100), 0.0);
    share.record_send(at(20_100));
    share.record_send(at(20_100));
    assert!(share.blocked_until(at(20_100)) > Some(at(22_000)));
}

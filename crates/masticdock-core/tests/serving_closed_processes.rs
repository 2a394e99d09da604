//! Tests of upstreams that ask in their answers to be left alone.

use masticdock_core::serving::{ClosedProcesses, Ineligible, PAUSE_MAX_MS, Upstream, UpstreamLoad};
use masticdock_core::units::MonoMs;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time over which the returns of entries are spread, in milliseconds.
const SPREAD_MS: u64 = 500;

fn at(ms: u64) -> MonoMs {
    MonoMs(60_000 + ms)
}

fn upstream(id: &str, started_at_ms: u64) -> Upstream {
    Upstream {
        cold_left_ms: None,
        id: id.parse().unwrap(),
        service: "orders".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "a1".parse().unwrap(),
        slots: 4,
        leaving: false,
        models: Vec::new(),
        started_at_ms: Some(started_at_ms),
    }
}

/// Guards against requests to a process that leaves while its row says that it is ready, and
/// against a later process that is taken for it.
#[test]
fn a_process_that_said_it_leaves_gets_nothing_until_another_one_takes_its_place() {
    let mut closed = ClosedProcesses::default();
    let (first, second) = (upstream("i-1", 1), upstream("i-1", 2));
    assert!(closed.record_leaving(&first, at(0)));
    assert!(!closed.record_leaving(&first, at(10)));
    closed.expire(at(500_000));
    assert_eq!(closed.check(&first, at(500_000)), Err(Ineligible::Leaving));
    assert_eq!(closed.check(&second, at(20)), Ok(()));
    assert_eq!(closed.check(&upstream("i-2", 1), at(20)), Ok(()));
    // The second process leaves as well, and a late answer of the first one arrives.
    closed.record_leaving(&second, at(30));
    closed.record_leaving(&first, at(40));
    closed.record_pause(&first, Some(100), at(40), 0.0);
    assert_eq!(closed.check(&second, at(50)), Err(Ineligible::Leaving));
    closed.expire(at(700_000));
    assert_eq!(closed.check(&second, at(700_000)), Ok(()));
}

/// Guards against a shorter pause that ends a longer one, and against a value that closes an
/// upstream for good or opens it at once.
#[test]
fn the_latest_end_of_a_pause_counts_within_bounds() {
    let mut closed = ClosedProcesses::default();
    let paused = upstream("i-1", 1);
    assert_eq!(closed.record_pause(&paused, Some(0), at(0), 0.9), MonoMs(0));
    assert_eq!(closed.check(&paused, at(0)), Ok(()));
    let until = closed.record_pause(&paused, Some(2_000), at(0), 0.0);
    assert_eq!(closed.record_pause(&paused, Some(100), at(10), 0.9), until);
    assert_eq!(
        closed.check(&paused, at(1_999)),
        Err(Ineligible::Paused(until))
    );
    assert_eq!(closed.check(&paused, at(2_000)), Ok(()));
    for (id, pause_ms) in [("i-2", Some(u64::MAX)), ("i-3", None)] {
        let odd = upstream(id, 1);
        closed.record_pause(&odd, pause_ms, at(0), 1.0);
        assert!(closed.check(&odd, at(PAUSE_MAX_MS - 1)).is_err());
        assert_eq!(closed.check(&odd, at(PAUSE_MAX_MS + SPREAD_MS)), Ok(()));
    }
}

/// Replays a request every 10 ms at each of six entries, to an upstream that rejects all of them
/// for 4 s and asks for 2 s. Returns the number of requests that reached it, and the most of them
/// within 50 ms after the first pause.
fn replay(entry_count: usize, keeps_to_pauses: bool) -> (usize, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let troubled = upstream("i-1", 1);
    let mut entries = vec![(ClosedProcesses::default(), UpstreamLoad::default()); entry_count];
    let mut arrivals = Vec::new();
    for now_ms in (0..4_000).step_by(10) {
        for (closed, load) in &mut entries {
            let is_closed = keeps_to_pauses && closed.check(&troubled, at(now_ms)).is_err();
            if is_closed || load.is_backing_off(at(now_ms)) {
                continue;
            }
            arrivals.push(now_ms);
            load.record_rejection(at(now_ms));
            closed.record_pause(&troubled, Some(2_000), at(now_ms), rng.random());
        }
    }
    let later: Vec<u64> = arrivals.iter().copied().filter(|ms| *ms > 100).collect();
    let together = |start: &u64| {
        later
            .iter()
            .filter(|ms| (*start..start + 50).contains(*ms))
            .count()
    };
    let most = later.iter().map(together).max().unwrap_or(0);
    (arrivals.len(), most)
}

/// Guards against entries that keep an upstream in trouble, and against all that come back at the
/// same moment.
#[test]
fn entries_leave_an_upstream_alone_for_as_long_as_it_asks() {
    let (backing_off, _) = replay(6, false);
    let (pausing, most_together) = replay(6, true);
    assert!(backing_off > 100, "{backing_off}");
    assert_eq!(pausing, 12);
    assert!(most_together < 6, "{most_together}");
}

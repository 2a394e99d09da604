//! Waits for an upstream, as one entry remembers them.

use masticdock_core::serving::{
    Candidate, EngineRoom, PlaceRules, Placement, PlacementRules, RequestSize, UpstreamLoad, place,
};
use masticdock_core::units::MonoMs;

/// Returns a load with one wait at 10 s.
fn load_with_wait(waited_ms: f64, engine_ms: f64) -> UpstreamLoad {
    let mut load = UpstreamLoad::default();
    load.record_wait(waited_ms, engine_ms, MonoMs(10_000));
    load
}

/// Guards against a long wait that quicker responses hide, or that is forgotten within the
/// seconds before the expiry of a version.
#[test]
fn the_longest_wait_is_kept_for_some_seconds() {
    for start_ms in [10_000, 11_000, 12_499] {
        let mut load = UpstreamLoad::default();
        load.record_wait(1_700.0, 300.0, MonoMs(start_ms));
        for after_ms in (100..2_500).step_by(100) {
            load.record_wait(200.0, 300.0, MonoMs(start_ms + after_ms));
            let kept_ms = load.longest_excess_wait_ms(MonoMs(start_ms + after_ms));
            assert_eq!(kept_ms, 1_400, "from {start_ms} after {after_ms}");
        }
    }
}

/// Guards against an upstream that is left early long after its link was slow, with and
/// without newer responses.
#[test]
fn an_old_wait_is_forgotten() {
    let mut load = load_with_wait(1_700.0, 300.0);
    assert_eq!(load.longest_excess_wait_ms(MonoMs(15_000)), 0);
    load.record_wait(350.0, 300.0, MonoMs(12_600));
    load.record_wait(360.0, 300.0, MonoMs(15_100));
    assert_eq!(load.longest_excess_wait_ms(MonoMs(15_100)), 60);
    assert_eq!(load.longest_excess_wait_ms(MonoMs(60_000)), 0);
}

/// Guards against counting a long prompt or a queue at a full engine as time on the way.
#[test]
fn a_wait_that_the_engine_explains_does_not_count() {
    let now = MonoMs(10_000);
    assert_eq!(
        load_with_wait(1_500.0, 1_450.0).longest_excess_wait_ms(now),
        50
    );
    assert_eq!(load_with_wait(300.0, 450.0).longest_excess_wait_ms(now), 0);
}

/// Guards against a service that rejects every request after its upstreams were slow once,
/// because nothing is sent that would show that they are quick again.
#[test]
fn an_upstream_that_was_slow_gets_requests_again() {
    let slow_at = MonoMs(60_000);
    let mut load = UpstreamLoad::default();
    load.record_service_time(1_600, slow_at);
    let place_at = |now: MonoMs| {
        let candidate = Candidate {
            slots: 8,
            total: 0,
            pending_prefill_tokens: 0,
            others_pending_prefills: 0.0,
            slowdown: 1.0,
            link_delay_ms: 0.0,
            switch_in_ms: None,
            service_ms: load.service_ms(now),
            distance_ms: 0.0,
            has_place: None,
            silent: false,
            draw: 0.0,
        };
        let size = RequestSize::default();
        place(
            &[candidate],
            None,
            size,
            500.0,
            false,
            &PlacementRules::default(),
        )
    };
    assert!(matches!(place_at(slow_at), Placement::Full { .. }));
    let later = place_at(slow_at.plus_ms(3_000));
    assert!(matches!(later, Placement::Send { .. }), "{later:?}");
}

/// Guards against numbers near their maximum, as another writer or a faulty upstream may name
/// them, that stop the placement of requests.
#[test]
fn numbers_near_their_maximum_do_not_stop_placement() {
    let now = MonoMs(10_000);
    let size = RequestSize {
        prompt_tokens: u64::MAX,
        answer_tokens: u64::MAX,
    };
    let mut load = UpstreamLoad::default();
    load.record_report(u32::MAX, u32::MAX, now);
    load.set_entry_count(u32::MAX);
    for _ in 0..4 {
        load.begin_request(size.prompt_tokens);
    }
    assert!(load.others_pending_prefills(1.0, now).is_finite());
    let candidate = |slots, total| Candidate {
        slots,
        total,
        pending_prefill_tokens: load.pending_prefill_tokens,
        others_pending_prefills: 0.0,
        slowdown: 1.0,
        link_delay_ms: 0.0,
        switch_in_ms: None,
        service_ms: 0.0,
        distance_ms: 0.0,
        has_place: None,
        silent: false,
        draw: 0.0,
    };
    let candidates = [candidate(u32::MAX, load.total(now)), candidate(u32::MAX, 0)];
    let rules = PlacementRules::default();
    let placement = place(&candidates, None, size, 400.0, false, &rules);
    assert!(matches!(placement, Placement::Send { index: 1, .. }));
    let room = EngineRoom {
        slots: u32::MAX,
        mean_prefill_ms: 1,
        ..EngineRoom::default()
    };
    assert!(room.free_places(&PlaceRules::default()) > 0);
}

/// Guards against a quick upstream that counts as slow because it got no requests for a while.
#[test]
fn an_idle_upstream_is_not_taken_for_slower() {
    let quick_at = MonoMs(60_000);
    let mut load = UpstreamLoad::default();
    load.record_service_time(10, quick_at);
    assert!(load.service_ms(quick_at.plus_ms(30_000)) <= 10.0);
}

//! Numbers from outside that are as large as their types allow.

use masticdock_core::serving::{
    AllowedRegions, Backend, EngineRoom, PlaceRules, RequestKind, Route, UpstreamLoad,
};
use masticdock_core::units::MonoMs;

/// Guards against weights whose sum overflows: all requests went to one service.
#[test]
fn the_greatest_weights_are_shared_evenly() {
    let backend = |service: &str| Backend {
        service: service.parse().unwrap(),
        weight: u32::MAX,
    };
    let route = Route {
        name: "route".into(),
        host: "a.example".into(),
        prefix: "/".into(),
        kind: RequestKind::Idempotent,
        backends: vec![backend("first"), backend("second")],
        timeout_ms: 800,
        objective_ms: 300,
        pause_objective_ms: None,
        attempts_max: 2,
        priority: 1,
        anonymous: true,
        allowed_regions: AllowedRegions::Any,
    };
    assert_eq!(route.choose_service(0.49).as_str(), "first");
    assert_eq!(route.choose_service(0.51).as_str(), "second");
}

/// Guards against a full upstream that looks empty because the sum overflows.
#[test]
fn the_greatest_load_is_not_taken_for_none() {
    let now = MonoMs(1_000);
    let mut load = UpstreamLoad::default();
    load.set_entry_count(u32::MAX);
    load.record_report(u32::MAX, u32::MAX, now);
    for _ in 0..8 {
        load.begin_request(u64::MAX);
    }
    assert_eq!(load.total(now), u32::MAX);
    let room = EngineRoom {
        slots: u32::MAX,
        total: 0,
        pending_prefills: 0,
        mean_prefill_ms: 0,
        full_pass_ms: 0,
        pause_objective_ms: None,
        slowness: None,
    };
    assert!(room.free_places(&PlaceRules::default()) > 0);
}

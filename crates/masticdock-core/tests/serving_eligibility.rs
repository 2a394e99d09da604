//! Tests of allowed regions and evacuated zones, against choices that ignore them.

use std::collections::{BTreeMap, BTreeSet};

use masticdock_core::ids::{RegionId, ZoneId};
use masticdock_core::serving::{
    AllowedRegions, Backend, Candidate, ClosedProcesses, Configuration, Eligibility,
    EvacuatedZones, EvacuationChange, Ineligible, Placement, PlacementRules, RequestKind,
    RequestLimits, RequestSize, Route, Upstream, Workspace, place,
};
use masticdock_core::units::MonoMs;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn zone(name: &str) -> ZoneId {
    name.parse().unwrap()
}

fn only(names: &[&str]) -> AllowedRegions {
    AllowedRegions::Only(names.iter().map(|name| name.parse().unwrap()).collect())
}

/// Returns an upstream in a zone.
fn in_zone(name: &str) -> Upstream {
    Upstream {
        cold_left_ms: None,
        id: "i-1".parse().unwrap(),
        service: "orders".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: zone(name),
        slots: 4,
        leaving: false,
        models: Vec::new(),
        started_at_ms: Some(1),
    }
}

fn at(ms: u64) -> MonoMs {
    MonoMs(60_000 + ms)
}

/// Returns the zones `a1`, `a2` in region `a`, and `b1` in region `b`.
fn regions() -> BTreeMap<ZoneId, RegionId> {
    let pairs = [("a1", "a"), ("a2", "a"), ("b1", "b")];
    pairs
        .into_iter()
        .map(|(name, region)| (zone(name), region.parse().unwrap()))
        .collect()
}

fn candidate(total: u32, distance_ms: f64) -> Candidate {
    Candidate {
        slots: 4,
        total,
        pending_prefill_tokens: 0,
        others_pending_prefills: 0.0,
        slowdown: 1.0,
        link_delay_ms: 0.0,
        switch_in_ms: None,
        service_ms: 50.0,
        distance_ms,
        has_place: None,
        silent: false,
        draw: 0.0,
    }
}

/// Places a request among the upstreams that may get it, and returns the zone of the chosen
/// one.
fn choose(upstreams: &[(&str, Candidate)], eligibility: Eligibility<'_>) -> Option<String> {
    let eligible: Vec<&(&str, Candidate)> = upstreams
        .iter()
        .filter(|(name, _)| eligibility.check(&in_zone(name), at(0)).is_ok())
        .collect();
    let candidates: Vec<Candidate> = eligible.iter().map(|(_, candidate)| *candidate).collect();
    let size = RequestSize::default();
    match place(
        &candidates,
        None,
        size,
        400.0,
        false,
        &PlacementRules::default(),
    ) {
        Placement::Send { index, .. } => Some(eligible[index].0.to_owned()),
        Placement::Full { .. } | Placement::NoCandidate => None,
    }
}

/// Guards against a request that leaves its regions because an upstream elsewhere is nearer or
/// has room.
#[test]
fn a_restricted_request_is_rejected_rather_than_placed_elsewhere() {
    let regions = regions();
    let evacuated = EvacuatedZones::default();
    let choose_in = |allowed: &AllowedRegions, upstreams: &[(&str, Candidate)]| {
        let eligibility = Eligibility {
            allowed,
            regions: &regions,
            evacuated: &evacuated,
            closed: &ClosedProcesses::default(),
        };
        choose(upstreams, eligibility)
    };
    let idle_elsewhere = [("a1", candidate(3, 60.0)), ("b1", candidate(0, 0.0))];
    assert_eq!(
        choose_in(&AllowedRegions::Any, &idle_elsewhere).unwrap(),
        "b1"
    );
    assert_eq!(choose_in(&only(&["a"]), &idle_elsewhere).unwrap(), "a1");
    let full = [("a1", candidate(9, 0.0)), ("b1", candidate(0, 0.0))];
    assert_eq!(choose_in(&only(&["a"]), &full), None);
    // A zone that the settings do not name has no known region.
    let unknown = [("c1", candidate(0, 0.0))];
    assert_eq!(choose_in(&only(&["a"]), &unknown), None);
    assert!(choose_in(&AllowedRegions::Any, &unknown).is_some());
}

/// Guards against a restriction of the route or of the workspace that is not applied, and
/// against two that exclude each other and count as none.
#[test]
fn both_restrictions_bind() {
    let route = |name: &str, allowed_regions| Route {
        name: name.into(),
        host: "a.example".into(),
        prefix: format!("/{name}/").into(),
        kind: RequestKind::Idempotent,
        backends: vec![Backend {
            service: "orders".parse().unwrap(),
            weight: 1,
        }],
        timeout_ms: 800,
        objective_ms: 300,
        pause_objective_ms: None,
        attempts_max: 2,
        priority: 1,
        anonymous: name == "open",
        allowed_regions,
    };
    let routes = vec![
        route("free", AllowedRegions::Any),
        route("ab", only(&["a", "b"])),
        route("b", only(&["b"])),
        route("open", only(&["b"])),
    ];
    let workspace = Workspace {
        id: "alpenruh".parse().unwrap(),
        priority: None,
        allowed_regions: only(&["a"]),
    };
    let keys = Some(vec![("key".into(), workspace)]);
    let configuration = Configuration::new(1, routes, Vec::new(), keys, RequestLimits::default());
    let allowed = |path: &str| configuration.allowed_regions("a.example", path, Some("key"));
    assert_eq!(allowed("/free/"), Some(only(&["a"])));
    assert_eq!(allowed("/ab/"), Some(only(&["a"])));
    assert_eq!(allowed("/b/"), Some(AllowedRegions::nowhere()));
    assert_eq!(allowed("/open/"), Some(only(&["b"])));
    assert_eq!(allowed("/else/"), None);
    assert!(!AllowedRegions::nowhere().allows(Some(&"a".parse().unwrap())));
}

/// Guards against new requests in an evacuated zone, which has the most room while it empties,
/// and against an evacuation elsewhere that takes upstreams away.
#[test]
fn an_evacuated_zone_gets_nothing_until_it_is_taken_back() {
    let regions = regions();
    let upstreams = [("a1", candidate(0, 0.0)), ("b1", candidate(2, 60.0))];
    let mut evacuated = EvacuatedZones::default();
    let choose_now = |evacuated: &EvacuatedZones| {
        let eligibility = Eligibility {
            allowed: &AllowedRegions::Any,
            regions: &regions,
            evacuated,
            closed: &ClosedProcesses::default(),
        };
        choose(&upstreams, eligibility)
    };
    assert_eq!(choose_now(&evacuated).unwrap(), "a1");
    let change = evacuated.put(zone("a1"));
    assert_eq!(change, Some(EvacuationChange::Evacuated(zone("a1"))));
    assert_eq!(choose_now(&evacuated).unwrap(), "b1");
    assert_eq!(evacuated.put(zone("a1")), None);
    evacuated.put(zone("nowhere"));
    assert_eq!(choose_now(&evacuated).unwrap(), "b1");
    evacuated.put(zone("b1"));
    assert_eq!(choose_now(&evacuated), None);
    let change = evacuated.remove(&zone("a1"));
    assert_eq!(change, Some(EvacuationChange::Ended(zone("a1"))));
    assert_eq!(choose_now(&evacuated).unwrap(), "a1");
    assert_eq!(evacuated.remove(&zone("a1")), None);
}

/// Guards against an evacuation that outlasts its row, and against one that ends because the
/// store came back from a copy that is older than its row.
#[test]
fn a_restored_store_does_not_end_an_evacuation_before_it_can_be_written_again() {
    let listed = |names: &[&str]| -> BTreeSet<ZoneId> { names.iter().map(|n| zone(n)).collect() };
    let mut evacuated = EvacuatedZones::default();
    evacuated.replace(&listed(&["a1", "a2"]), false, at(0));
    let changes = evacuated.replace(&listed(&["a2", "b1"]), false, at(100));
    let expected = [
        EvacuationChange::Ended(zone("a1")),
        EvacuationChange::Evacuated(zone("b1")),
    ];
    assert_eq!(changes, expected);
    // The copy has neither row.
    let changes = evacuated.replace(&listed(&[]), true, at(200));
    assert!(matches!(changes[0], EvacuationChange::Held(..)));
    assert!(evacuated.contains(&zone("a2")) && evacuated.contains(&zone("b1")));
    // The history is lost as well, and the table read once more.
    assert_eq!(evacuated.replace(&listed(&[]), false, at(300)), []);
    assert_eq!(evacuated.put(zone("a2")), None);
    assert_eq!(evacuated.expire(at(2_200)), []);
    let changes = evacuated.expire(at(60_000));
    assert_eq!(changes, [EvacuationChange::Ended(zone("b1"))]);
    assert!(evacuated.contains(&zone("a2")));
}

/// Guards against a change for deployments that restrict no region and evacuate no zone.
#[test]
fn without_restrictions_and_evacuations_every_choice_is_as_before() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let regions = regions();
    let eligibility = Eligibility {
        allowed: &AllowedRegions::listed(BTreeSet::new()),
        regions: &regions,
        evacuated: &EvacuatedZones::default(),
        closed: &ClosedProcesses::default(),
    };
    for _ in 0..1_000 {
        let upstreams: Vec<(&str, Candidate)> = ["a1", "a2", "b1", "c1"]
            .into_iter()
            .map(|name| {
                let mut drawn = candidate(rng.random_range(0..7), rng.random_range(0.0..60.0));
                drawn.draw = rng.random();
                drawn.silent = rng.random_bool(0.2);
                (name, drawn)
            })
            .collect();
        for (name, _) in &upstreams {
            assert_eq!(eligibility.check(&in_zone(name), at(0)), Ok(()));
        }
        let candidates: Vec<Candidate> = upstreams.iter().map(|(_, drawn)| *drawn).collect();
        let unfiltered = place(
            &candidates,
            None,
            RequestSize::default(),
            400.0,
            false,
            &PlacementRules::default(),
        );
        let expected = match unfiltered {
            Placement::Send { index, .. } => Some(upstreams[index].0.to_owned()),
            Placement::Full { .. } | Placement::NoCandidate => None,
        };
        assert_eq!(choose(&upstreams, eligibility), expected);
    }
}

/// Guards against a reason that hides that a request can be served again soon.
#[test]
fn an_evacuation_counts_as_the_reason_only_within_the_allowed_regions() {
    let regions = regions();
    let mut evacuated = EvacuatedZones::default();
    evacuated.put(zone("a1"));
    evacuated.put(zone("b1"));
    let eligibility = Eligibility {
        allowed: &only(&["a"]),
        regions: &regions,
        evacuated: &evacuated,
        closed: &ClosedProcesses::default(),
    };
    assert_eq!(
        eligibility.check(&in_zone("a1"), at(0)),
        Err(Ineligible::Evacuated)
    );
    assert_eq!(
        eligibility.check(&in_zone("b1"), at(0)),
        Err(Ineligible::Region)
    );
    assert_eq!(eligibility.check(&in_zone("a2"), at(0)), Ok(()));
}

//! Division of an engine's free places among entries. It replaces the start times that
//! agents used to give to each entry when an engine came back empty.

use masticdock_core::serving::{EngineRoom, PlaceRotation, PlaceRules, Slowness};

const PREFILL_MS: u64 = 47;

fn room(total: u32, pending_prefills: u32) -> EngineRoom {
    EngineRoom {
        slots: 16,
        total,
        pending_prefills,
        mean_prefill_ms: PREFILL_MS,
        full_pass_ms: 52,
        pause_objective_ms: None,
        slowness: None,
    }
}

fn free(total: u32, pending_prefills: u32) -> u32 {
    room(total, pending_prefills).free_places(&PlaceRules::default())
}

/// Guards against an empty engine that gets a prompt from each entry at once and reads
/// them one after another, too late for most of them.
#[test]
fn an_empty_engine_gets_no_more_prompts_than_it_reads_in_time() {
    let places = free(0, 0);
    assert!(places >= 1);
    assert!(u64::from(places) * PREFILL_MS <= PlaceRules::default().prefill_budget_ms);
    assert_eq!(free(places, places), 0);
    assert_eq!(free(places, 0), places);
}

/// Guards against a queue that grows by one request for each entry.
#[test]
fn a_full_engine_has_only_the_places_of_its_queue() {
    assert_eq!(free(16, 0), PlaceRules::default().queue_max);
    assert_eq!(free(17, 0), 0);
    assert_eq!(free(40, 0), 0);
}

/// Guards against an engine that reads slowly and never gets any request.
#[test]
fn an_idle_engine_has_a_place_however_slowly_it_reads() {
    let room = EngineRoom {
        mean_prefill_ms: 10_000,
        ..room(0, 0)
    };
    assert_eq!(room.free_places(&PlaceRules::default()), 1);
}

/// Guards against an engine that is slow at the moment and gets as many prompts as usual, so
/// that the streams there pause for longer than their objective.
#[test]
fn a_slow_engine_gets_fewer_places() {
    let places = |percent, pause_objective_ms| {
        let room = EngineRoom {
            pause_objective_ms,
            slowness: Some(Slowness::from_percent(percent).unwrap()),
            ..room(4, 0)
        };
        room.free_places(&PlaceRules::default())
    };
    assert_eq!(places(100.0, None), free(4, 0));
    assert!(places(250.0, None) < places(100.0, None));
    assert!(places(250.0, Some(300)) < places(250.0, None));
    assert_eq!(places(50.0, None), free(4, 0));
}

/// Guards against places that are granted twice or get lost.
#[test]
fn a_division_grants_each_place_once() {
    let mut rotation = PlaceRotation::default();
    for free in 0..40 {
        for entries in 1..20 {
            let places = rotation.divide(free, entries);
            assert_eq!(places.len(), entries);
            assert_eq!(places.iter().sum::<u32>(), free);
            let most = places.iter().max().unwrap();
            let fewest = places.iter().min().unwrap();
            assert!(most - fewest <= 1, "{places:?}");
        }
    }
    assert_eq!(rotation.divide(3, 0), [0; 0]);
}

/// Guards against an entry that always comes last, or never gets a place.
#[test]
fn every_entry_gets_a_place_in_turn() {
    let mut rotation = PlaceRotation::default();
    let mut granted = [0; 15];
    for _ in 0..15 {
        for (granted, places) in granted.iter_mut().zip(rotation.divide(1, 15)) {
            *granted += places;
        }
    }
    assert_eq!(granted, [1; 15]);
}

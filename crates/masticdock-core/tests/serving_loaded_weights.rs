//! Which loads of an engine count as intact.

use masticdock_core::serving::{LoadId, LoadState, LoadedWeights, StageRead};
use masticdock_core::units::MonoMs;

const fn load(orders: u64) -> LoadId {
    LoadId {
        started_at_ms: Some(1),
        orders,
    }
}

/// Returns the state of a load whose order was answered some time after the stage was read.
fn state_after_answer(read_age_ms: u64) -> LoadState {
    let mut weights = LoadedWeights::default();
    weights.record_report(load(0), false);
    weights.record_accepted(load(1), MonoMs(1_000), MonoMs(1_000 + read_age_ms));
    weights.state(load(1))
}

/// Guards against weights that serve although a chunk may have been corrupt for the 3 s that
/// are not excused.
#[test]
fn an_order_answered_long_after_the_read_needs_a_check() {
    assert_eq!(state_after_answer(0), LoadState::Intact);
    assert_eq!(state_after_answer(2_500), LoadState::Intact);
    assert_eq!(state_after_answer(2_501), LoadState::Unchecked);
    assert!(!state_after_answer(3_000).may_serve());
}

/// Guards against weights that serve after an order whose answer did not arrive.
#[test]
fn a_load_without_an_answer_needs_a_check() {
    let mut weights = LoadedWeights::default();
    weights.record_report(load(0), false);
    weights.record_unanswered();
    assert_eq!(weights.state(load(1)), LoadState::Unchecked);
    weights.record_check(load(1), true);
    assert_eq!(weights.state(load(1)), LoadState::Intact);
}

/// Guards against a check that reads a chunk which was staged after the engine had taken the
/// corrupt one.
#[test]
fn a_stage_overwritten_after_an_unanswered_order_shows_nothing() {
    let mut weights = LoadedWeights::default();
    weights.record_report(load(0), false);
    weights.record_staged();
    weights.record_unanswered();
    weights.record_staged();
    weights.record_check(load(1), true);
    assert_eq!(weights.state(load(1)), LoadState::Corrupt);
    // An answered order shows that no earlier one is accepted later.
    weights.record_accepted(load(2), MonoMs(0), MonoMs(10_000));
    weights.record_check(load(2), true);
    assert_eq!(weights.state(load(2)), LoadState::Intact);
}

/// Guards against an engine that is withheld although nobody ordered a load, and against one
/// that serves a load which a former agent process saw in progress.
#[test]
fn loads_from_before_the_agent_serve_unless_they_are_in_progress() {
    let state_at_start = |orders, busy| {
        let mut weights = LoadedWeights::default();
        weights.record_report(load(orders), busy);
        weights.state(load(orders))
    };
    assert_eq!(state_at_start(0, false), LoadState::Intact);
    assert_eq!(state_at_start(3, false), LoadState::Inherited);
    assert_eq!(state_at_start(3, true), LoadState::Unchecked);
    assert!(LoadState::Inherited.may_serve());
}

/// Guards against knowledge of a former process of the engine.
#[test]
fn loads_of_a_restarted_engine_need_checks_of_their_own() {
    let mut weights = LoadedWeights::default();
    weights.record_report(load(0), false);
    weights.record_accepted(load(1), MonoMs(0), MonoMs(0));
    let restarted = LoadId {
        started_at_ms: Some(2),
        ..load(1)
    };
    assert_eq!(weights.state(restarted), LoadState::Unchecked);
    let unknown = |orders| LoadId {
        started_at_ms: None,
        orders,
    };
    weights.record_report(unknown(1), false);
    weights.record_accepted(unknown(2), MonoMs(0), MonoMs(0));
    weights.record_report(unknown(2), false);
    weights.record_report(unknown(0), false);
    assert_eq!(weights.state(unknown(2)), LoadState::Unchecked);
}

/// Guards against a second switch on a report from before the accepted order.
#[test]
fn a_report_from_before_an_accepted_order_is_outdated() {
    let mut weights = LoadedWeights::default();
    weights.record_report(load(0), false);
    weights.record_accepted(load(1), MonoMs(0), MonoMs(0));
    assert!(weights.is_outdated(load(0)));
    assert!(!weights.is_outdated(load(1)));
    let restarted = LoadId {
        started_at_ms: Some(2),
        ..load(0)
    };
    assert!(!weights.is_outdated(restarted));
}

/// Guards against an order on reads from before a drain or a pause, and against useless reads
/// of a slow engine.
#[test]
fn old_reads_are_repeated_unless_the_engine_is_slow() {
    let weights = LoadedWeights::default();
    let read = |took_ms, paused| StageRead {
        began_at: MonoMs(0),
        ended_at: MonoMs(took_ms),
        paused,
    };
    assert!(!weights.must_read_again(read(400, false), MonoMs(1_500)));
    assert!(weights.must_read_again(read(400, false), MonoMs(1_501)));
    assert!(weights.must_read_again(read(4_400, true), MonoMs(4_400)));
    assert!(!weights.must_read_again(read(4_400, false), MonoMs(5_100)));
}

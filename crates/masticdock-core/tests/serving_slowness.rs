//! Slowness that upstreams tell, and for how long it counts.

use masticdock_core::serving::{Slowness, SlownessError, ToldSlowness, UpstreamLoad};
use masticdock_core::units::MonoMs;

const NOW: MonoMs = MonoMs(60_000);

fn slowness(percent: f64) -> Slowness {
    Slowness::from_percent(percent).unwrap()
}

/// Guards against figures that attract every request or exclude an upstream for good.
#[test]
fn invalid_figures_are_rejected() {
    assert_eq!("250".parse(), Ok(slowness(250.0)));
    assert_eq!(" 100 ".parse(), Ok(slowness(100.0)));
    for text in ["", "x", "NaN", "100%", "1,5"] {
        let parsed: Result<Slowness, _> = text.parse();
        assert_eq!(parsed, Err(SlownessError::NotANumber), "{text}");
    }
    for text in ["-250", "0", "9", "5001", "1e300", "inf", "-inf"] {
        let parsed: Result<Slowness, _> = text.parse();
        assert!(
            matches!(parsed, Err(SlownessError::OutOfRange(_))),
            "{text}"
        );
    }
}

/// Guards against a log line for each answer of an upstream with invalid figures.
#[test]
fn invalid_figures_are_logged_now_and_then() {
    let mut told = ToldSlowness::default();
    assert!(told.record_invalid(NOW));
    assert!(!told.record_invalid(NOW.plus_ms(9_000)));
    assert!(told.record_invalid(NOW.plus_ms(10_000)));
    assert_eq!(told.factor(NOW), None);
}

/// Guards against an upstream that is avoided because nothing tells that its slowness ended.
#[test]
fn a_figure_of_an_answer_loses_weight_with_its_age() {
    let mut told = ToldSlowness::default();
    told.record_answer(slowness(300.0), NOW);
    let factor = |after_ms| told.factor(NOW.plus_ms(after_ms)).unwrap();
    assert!((factor(0) - 3.0).abs() < 1e-9);
    assert!((factor(300) - 2.0).abs() < 1e-9);
    assert!(factor(2_000) < 1.05);
}

/// Guards against an answer's figure that hides a newer one of the agent, and against an
/// agent's figure that is used after its datagrams were lost.
#[test]
fn the_figure_of_an_agent_holds_until_the_next_one() {
    let mut told = ToldSlowness::default();
    told.record_report(Some(slowness(250.0)), NOW);
    told.record_answer(slowness(100.0), NOW.plus_ms(10));
    assert_eq!(told.factor(NOW.plus_ms(900)), Some(2.5));
    assert!(told.factor(NOW.plus_ms(1_100)).unwrap() < 1.01);
    told.record_report(None, NOW.plus_ms(1_200));
    assert_eq!(told.factor(NOW.plus_ms(1_200)), Some(1.0));
}

/// Guards against a slowness that is told and known, but not part of the prediction, and
/// against one that hides a longer wait which was observed.
#[test]
fn the_greater_of_told_and_observed_slowness_counts() {
    let mut load = UpstreamLoad::default();
    load.told_slowness.record_report(Some(slowness(250.0)), NOW);
    assert!((load.slowdown(NOW) - 2.5).abs() < 1e-9);
    load.told_slowness.record_report(Some(slowness(100.0)), NOW);
    for _ in 0..20 {
        load.record_latency(400.0, 100.0, NOW);
    }
    assert!(load.slowdown(NOW) > 3.5);
}

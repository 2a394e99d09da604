//! Declared versions and the turns in which upstreams change to them.

use masticdock_core::ids::UpstreamId;
use masticdock_core::serving::{SwitchPlan, Upstream, VersionNumber, VersionTimeline};
use masticdock_core::units::MonoMs;

const IN_FORCE_MS: u64 = 8_000;

fn upstream(number: usize) -> Upstream {
    Upstream {
        id: format!("u-{number}").parse().unwrap(),
        service: "llm".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "wien-a".parse().unwrap(),
        slots: 16,
        leaving: false,
        models: Vec::new(),
        started_at_ms: None,
    }
}

/// Guards against requests that begin on a version past its end.
#[test]
fn a_version_ends_when_a_newer_one_has_to_be_in_force() {
    let mut timeline = VersionTimeline::new(IN_FORCE_MS);
    assert_eq!(timeline.newest(), VersionNumber(1));
    assert_eq!(timeline.begin_until(VersionNumber(1)), None);
    assert!(timeline.declare(VersionNumber(2), MonoMs(1_000)));
    assert!(timeline.declare(VersionNumber(4), MonoMs(3_000)));
    // Version 2 ends later than version 1, and version 4 has no end.
    assert_eq!(timeline.begin_until(VersionNumber(1)), Some(MonoMs(9_000)));
    assert_eq!(timeline.begin_until(VersionNumber(2)), Some(MonoMs(11_000)));
    assert_eq!(timeline.begin_until(VersionNumber(4)), None);
}

/// Guards against a late read that brings an older version back.
#[test]
fn an_older_version_is_never_declared_after_a_newer_one() {
    let mut timeline = VersionTimeline::new(IN_FORCE_MS);
    assert!(timeline.declare(VersionNumber(3), MonoMs(1_000)));
    assert!(!timeline.declare(VersionNumber(2), MonoMs(2_000)));
    assert!(!timeline.declare(VersionNumber(3), MonoMs(2_000)));
    assert_eq!(timeline.newest(), VersionNumber(3));
    assert_eq!(timeline.learnt_at(VersionNumber(3)), Some(MonoMs(1_000)));
}

fn upstreams(count: usize) -> Vec<UpstreamId> {
    (0..count)
        .map(|n| format!("u-{n}").parse().unwrap())
        .collect()
}

/// Returns the most upstreams that are out at one moment, when each is out for `out_ms`.
fn most_out(mut turns: Vec<u64>, out_ms: u64) -> usize {
    turns.sort_unstable();
    let mut most = 0;
    for (index, turn) in turns.iter().enumerate() {
        let out = turns[..=index]
            .iter()
            .filter(|other| *other + out_ms > *turn)
            .count();
        most = most.max(out);
    }
    most
}

/// Replays a declared version on 19 upstreams that are out for 1.5 s each.
/// Guards against a change that takes most of the capacity away at one moment.
#[test]
fn turns_keep_more_upstreams_serving_than_changing_at_once() {
    let plan = SwitchPlan::default();
    let ids = upstreams(19);
    let learnt_at = MonoMs(20_000);
    let mut turns = Vec::new();
    for own in &ids {
        let turn = plan.switch_at(own, &ids, VersionNumber(2), learnt_at, None);
        assert!(turn >= learnt_at.plus_ms(plan.timing.first_switch_ms));
        assert!(turn < learnt_at.plus_ms(plan.timing.last_switch_ms));
        turns.push(turn.0);
    }
    let out = most_out(turns, 1_500);
    assert!(
        out < most_out(vec![0; 19], 1_500) / 2,
        "{out} upstreams out at once"
    );
}

/// Guards against a turn after the moment at which an older version ends.
#[test]
fn turns_end_before_an_older_version_is_due() {
    let plan = SwitchPlan::default();
    let ids = upstreams(8);
    let due_at = MonoMs(25_000);
    for own in &ids {
        let turn = plan.switch_at(own, &ids, VersionNumber(3), MonoMs(19_000), Some(due_at));
        assert!(turn < due_at, "{turn}");
    }
}

/// Guards against waiting for a newer version past the end of an older one.
#[test]
fn a_change_waits_for_a_newer_version_only_while_there_is_time() {
    let plan = SwitchPlan::default();
    assert!(plan.can_wait_for_newer(MonoMs(20_000), MonoMs(22_000)));
    assert!(!plan.can_wait_for_newer(MonoMs(20_001), MonoMs(22_000)));
}

/// Guards against a fetch of a version that is replaced before it can serve. A
/// version that was read after an outage of the store counts as old, so the time
/// between the declarations says nothing.
#[test]
fn a_fetch_that_just_began_gives_way_to_a_newer_version() {
    let mut timeline = VersionTimeline::new(8_000);
    timeline.declare(VersionNumber(2), MonoMs(5_000));
    assert!(!timeline.is_superseded(VersionNumber(2), MonoMs(10_000), MonoMs(10_100)));
    timeline.declare(VersionNumber(3), MonoMs(10_200));
    assert!(timeline.is_superseded(VersionNumber(2), MonoMs(10_000), MonoMs(10_200)));
    assert!(!timeline.is_superseded(VersionNumber(3), MonoMs(10_200), MonoMs(10_300)));
}

/// Guards against two versions that are both late because the first one hangs.
#[test]
fn a_version_that_cannot_be_fetched_gives_way_after_a_while() {
    let mut timeline = VersionTimeline::new(8_000);
    let began = MonoMs(1_000);
    timeline.declare(VersionNumber(2), began);
    timeline.declare(VersionNumber(3), MonoMs(3_000));
    assert!(!timeline.is_superseded(VersionNumber(2), began, MonoMs(3_000)));
    assert!(!timeline.is_superseded(VersionNumber(2), began, MonoMs(7_400)));
    assert!(timeline.is_superseded(VersionNumber(2), began, MonoMs(7_500)));
    // A version that was never declared is finished if it can be.
    assert!(!timeline.is_superseded(VersionNumber(1), began, MonoMs(7_400)));
}

/// Guards against entries that expect other turns than the agents take.
#[test]
fn entries_order_upstreams_as_their_agents_do() {
    let plan = SwitchPlan::default();
    let upstreams: Vec<Upstream> = (0..20).map(upstream).collect();
    let ids: Vec<UpstreamId> = upstreams.iter().map(|listed| listed.id.clone()).collect();
    let listed: Vec<&Upstream> = upstreams.iter().collect();
    let (learnt_at, deadline) = (MonoMs(1_000), Some(MonoMs(6_500)));
    let order = SwitchPlan::switch_order(&listed, VersionNumber(3));
    for (position, upstream) in order.into_iter().enumerate() {
        let own = plan.switch_at(&upstream.id, &ids, VersionNumber(3), learnt_at, deadline);
        let expected = plan.switch_at_position(position, ids.len(), learnt_at, deadline);
        assert_eq!(own, expected, "{}", upstream.id);
    }
}

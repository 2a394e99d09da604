//! Tests of declared versions and of the schedule by which upstreams switch to them.

use masticdock_core::ids::UpstreamId;
use masticdock_core::serving::{
    BeginMargins, ChangeAge, PathDelays, SwitchPlan, Upstream, VersionLimits, VersionNumber,
    VersionTimeline,
};
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
        cold_left_ms: None,
    }
}

/// Guards against requests that start on a version that a newer one has replaced.
#[test]
fn requests_may_start_on_a_version_until_the_next_one_has_to_be_in_force() {
    let mut timeline = VersionTimeline::new(IN_FORCE_MS);
    assert_eq!(timeline.newest(), VersionNumber(1));
    assert_eq!(timeline.begin_until(VersionNumber(1)), None);
    assert!(timeline.declare(VersionNumber(2), MonoMs(1_000)));
    assert!(timeline.declare(VersionNumber(4), MonoMs(3_000)));
    // Version 2 is usable longer than version 1, and version 4 without limit.
    assert_eq!(timeline.begin_until(VersionNumber(1)), Some(MonoMs(9_000)));
    assert_eq!(timeline.begin_until(VersionNumber(2)), Some(MonoMs(11_000)));
    assert_eq!(timeline.begin_until(VersionNumber(4)), None);
}

/// Guards against a late read that reintroduces an older version.
#[test]
fn an_older_version_is_never_declared_after_a_newer_one() {
    let mut timeline = VersionTimeline::new(IN_FORCE_MS);
    assert!(timeline.declare(VersionNumber(3), MonoMs(1_000)));
    assert!(!timeline.declare(VersionNumber(2), MonoMs(2_000)));
    assert!(!timeline.declare(VersionNumber(3), MonoMs(2_000)));
    assert_eq!(timeline.newest(), VersionNumber(3));
    assert_eq!(timeline.learnt_at(VersionNumber(3)), Some(MonoMs(1_000)));
}

/// Guards against a process that has just started: it assumes that a version is old, and
/// must not move the deadline for those that know better.
#[test]
fn a_further_report_of_a_known_version_does_not_move_its_deadline() {
    let mut timeline = VersionTimeline::new(IN_FORCE_MS);
    assert!(timeline.declare(VersionNumber(2), MonoMs(5_000)));
    assert!(!timeline.declare(VersionNumber(2), MonoMs(1_000)));
    assert!(!timeline.declare(VersionNumber(2), MonoMs(6_000)));
    assert_eq!(timeline.begin_until(VersionNumber(1)), Some(MonoMs(13_000)));
}

/// Limits of deployments, and one that excuses a process for longer than a version may take.
const LIMITS: [VersionLimits; 5] = [
    limits(8_000, 3_000),
    limits(10_000, 4_000),
    limits(9_700, 4_000),
    limits(8_000, 5_000),
    limits(4_000, 5_000),
];

const fn limits(in_force_ms: u64, excused_ms: u64) -> VersionLimits {
    VersionLimits {
        in_force_ms,
        excused_ms,
    }
}

/// Returns when version 1 ends at a process that reads the declaration of version 2.
fn end_of_older(limits: VersionLimits, read_at: MonoMs, age: ChangeAge) -> MonoMs {
    let mut timeline = VersionTimeline::new(limits.in_force_ms);
    timeline.declare(VersionNumber(2), limits.declared_at(read_at, age));
    timeline.begin_until(VersionNumber(1)).unwrap()
}

/// Guards against requests that begin on an old version at a process that started after a
/// newer one was declared, and took it for younger than it may be.
#[test]
fn a_started_process_ends_an_old_version_once_it_is_no_longer_excused() {
    let started_at = MonoMs(60_000);
    for limits in LIMITS {
        for read_after_ms in [0, 50, 1_000, 20_000] {
            let read_at = started_at.plus_ms(read_after_ms);
            let end = end_of_older(limits, read_at, ChangeAge::unknown(started_at));
            // The declaration cannot be in the future, whatever excuses the process.
            let latest = read_at.plus_ms(limits.in_force_ms);
            assert_eq!(end, started_at.plus_ms(limits.excused_ms).min(latest));
        }
    }
}

/// Guards against the same after a pause, also if it takes polls that fail until the
/// declaration is read; and against an old version that ends early although the greatest age
/// is known.
#[test]
fn a_resumed_process_ends_an_old_version_in_time_however_late_it_reads() {
    let resumed_at = MonoMs(80_000);
    for limits in LIMITS {
        for pause_ms in [500, 2_500, 6_600, 30_000] {
            for read_after_ms in [0, 300, 1_200] {
                let read_at = resumed_at.plus_ms(read_after_ms);
                let age = ChangeAge {
                    max_ms: pause_ms + read_after_ms,
                    running_since: Some(resumed_at),
                    ..ChangeAge::default()
                };
                let end = end_of_older(limits, read_at, age);
                let due_at = MonoMs(resumed_at.0 - pause_ms + limits.in_force_ms);
                let excused_until = resumed_at.plus_ms(limits.excused_ms);
                let latest = read_at.plus_ms(limits.in_force_ms);
                assert_eq!(end, due_at.max(excused_until).min(latest));
            }
        }
    }
}

/// Guards against a limit that is stretched for a process that ran all the while.
#[test]
fn a_process_that_ran_is_not_excused() {
    for limits in LIMITS {
        let age = ChangeAge {
            max_ms: 7_000,
            ..ChangeAge::default()
        };
        let end = end_of_older(limits, MonoMs(80_000), age);
        assert_eq!(end, MonoMs(73_000 + limits.in_force_ms));
    }
}

/// Returns the last time, counted back from the expiry of version 1, at which a request may
/// be sent to an upstream with these delays, in milliseconds.
fn last_send_before_ms(longest_wait_ms: u64, link_delay_ms: u64) -> u64 {
    let mut timeline = VersionTimeline::new(IN_FORCE_MS);
    timeline.declare(VersionNumber(2), MonoMs(1_000));
    let delays = PathDelays {
        longest_wait_ms,
        link_delay_ms,
    };
    let margins = BeginMargins::default();
    let window = timeline
        .begin_window(VersionNumber(1), delays, &margins)
        .unwrap();
    assert_eq!(window.cancel_at, MonoMs(8_600));
    let last = (0..9_000).rev().find(|ms| window.may_send(MonoMs(*ms)));
    9_000 - last.unwrap()
}

/// Guards against requests that are sent before the expiry of a version and arrive after
/// it, because they are longer on their way than a fixed margin.
#[test]
fn a_request_is_sent_only_if_it_can_arrive_before_its_version_expires() {
    assert!(last_send_before_ms(1_300, 0) > 1_300 + 500);
    assert!(last_send_before_ms(0, 1_300) > 1_300 + 500);
    assert_eq!(last_send_before_ms(1_300, 700), 1_901);
    assert_eq!(last_send_before_ms(700, 1_300), 1_901);
}

/// Guards against upstreams that are left early on ordinary days, and against waits with
/// other causes that keep an old version from being used at all.
#[test]
fn usual_delays_keep_the_margin_and_none_exceeds_the_limit() {
    assert_eq!(last_send_before_ms(0, 0), 1_001);
    assert_eq!(last_send_before_ms(400, 400), 1_001);
    assert_eq!(last_send_before_ms(60_000, 0), 2_501);
    assert_eq!(last_send_before_ms(u64::MAX, u64::MAX), 2_501);
}

/// Guards against limits on a version that nothing replaces.
#[test]
fn the_newest_version_has_no_window() {
    let mut timeline = VersionTimeline::new(IN_FORCE_MS);
    let margins = BeginMargins::default();
    let delays = PathDelays::default();
    let window = |timeline: &VersionTimeline, held| timeline.begin_window(held, delays, &margins);
    assert_eq!(window(&timeline, VersionNumber(1)), None);
    timeline.declare(VersionNumber(2), MonoMs(1_000));
    assert_eq!(window(&timeline, VersionNumber(2)), None);
    assert!(window(&timeline, VersionNumber(1)).is_some());
}

fn upstreams(count: usize) -> Vec<UpstreamId> {
    (0..count)
        .map(|n| format!("u-{n}").parse().unwrap())
        .collect()
}

/// Returns the maximum number of upstreams that are unavailable at the same time, when
/// each is for `unavailable_ms`.
fn max_unavailable(mut switch_times_ms: Vec<u64>, unavailable_ms: u64) -> usize {
    switch_times_ms.sort_unstable();
    let mut most = 0;
    for (index, switch_time) in switch_times_ms.iter().enumerate() {
        let unavailable = switch_times_ms[..=index]
            .iter()
            .filter(|other| *other + unavailable_ms > *switch_time)
            .count();
        most = most.max(unavailable);
    }
    most
}

/// Guards against a switch that takes most of the capacity away at once, with 19
/// upstreams that are unavailable for 1.5 s each.
#[test]
fn most_upstreams_keep_serving_during_a_switch() {
    let plan = SwitchPlan::default();
    let ids = upstreams(19);
    let learnt_at = MonoMs(20_000);
    let mut switch_times_ms = Vec::new();
    for own in &ids {
        let switch_time = plan.switch_at(own, &ids, VersionNumber(2), learnt_at, None);
        assert!(switch_time >= learnt_at.plus_ms(plan.timing.first_switch_ms));
        assert!(switch_time < learnt_at.plus_ms(plan.timing.last_switch_ms));
        switch_times_ms.push(switch_time.0);
    }
    let unavailable = max_unavailable(switch_times_ms, 1_500);
    assert!(
        unavailable < max_unavailable(vec![0; 19], 1_500) / 2,
        "{unavailable} upstreams unavailable at once"
    );
}

/// Guards against a switch after an earlier declared version has to be in force.
#[test]
fn switches_end_before_an_earlier_version_is_due() {
    let plan = SwitchPlan::default();
    let ids = upstreams(8);
    let due_at = MonoMs(25_000);
    for own in &ids {
        let switch_time = plan.switch_at(own, &ids, VersionNumber(3), MonoMs(19_000), Some(due_at));
        assert!(switch_time < due_at, "{switch_time}");
    }
}

/// Guards against waiting for a newer version past the time at which the switch is due.
#[test]
fn a_switch_waits_for_a_newer_version_only_while_there_is_time() {
    let plan = SwitchPlan::default();
    assert!(plan.can_wait_for_newer(MonoMs(20_000), MonoMs(22_000)));
    assert!(!plan.can_wait_for_newer(MonoMs(20_001), MonoMs(22_000)));
}

/// Guards against fetching a version that is superseded before it can serve. The time
/// between the declarations is no criterion: a version that was read after a store
/// outage counts as old.
#[test]
fn a_fetch_that_just_started_is_abandoned_for_a_newer_version() {
    let mut timeline = VersionTimeline::new(8_000);
    timeline.declare(VersionNumber(2), MonoMs(5_000));
    assert!(!timeline.is_superseded(VersionNumber(2), MonoMs(10_000), MonoMs(10_100)));
    timeline.declare(VersionNumber(3), MonoMs(10_200));
    assert!(timeline.is_superseded(VersionNumber(2), MonoMs(10_000), MonoMs(10_200)));
    assert!(!timeline.is_superseded(VersionNumber(3), MonoMs(10_200), MonoMs(10_300)));
}

/// Guards against two versions that are both late because the fetch of the first hangs.
#[test]
fn a_fetch_that_does_not_end_is_abandoned_for_a_newer_version() {
    let mut timeline = VersionTimeline::new(8_000);
    let started_at = MonoMs(1_000);
    timeline.declare(VersionNumber(2), started_at);
    timeline.declare(VersionNumber(3), MonoMs(3_000));
    assert!(!timeline.is_superseded(VersionNumber(2), started_at, MonoMs(3_000)));
    assert!(!timeline.is_superseded(VersionNumber(2), started_at, MonoMs(7_400)));
    assert!(timeline.is_superseded(VersionNumber(2), started_at, MonoMs(7_500)));
    // A fetch of a version that was not declared here is not abandoned at this age.
    assert!(!timeline.is_superseded(VersionNumber(1), started_at, MonoMs(7_400)));
}

/// Guards against entries that expect other switch times than the agents use.
#[test]
fn entries_compute_the_same_switch_times_as_agents() {
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

//! Tests of the order of configurations when the store comes back from a copy.

use masticdock_core::serving::{
    ConfigurationDecision, ConfigurationId, ConfigurationOrder, ConfigurationOrderSettings,
    ConfigurationSource, ConfigurationStamp, StoreEra,
};
use masticdock_core::units::MonoMs;

use ConfigurationDecision::{Adopt, Hold, Ignore};
use ConfigurationSource::{Change, Snapshot};

fn id(number: u64, content_hash: u64) -> ConfigurationId {
    ConfigurationId {
        number,
        content_hash,
    }
}

/// Returns the order of a process that had 5 and then 8 in force when the store came back
/// at 10 s from a copy with 5.
fn restored_order() -> ConfigurationOrder {
    let mut order = ConfigurationOrder::new(ConfigurationOrderSettings::default());
    assert_eq!(order.offer(id(5, 5), Snapshot, MonoMs(0)), Adopt);
    assert_eq!(order.offer(id(8, 8), Change, MonoMs(9_000)), Adopt);
    order.store_restored(MonoMs(10_000));
    assert_eq!(order.offer(id(5, 5), Snapshot, MonoMs(10_000)), Ignore);
    order
}

/// Guards against an older configuration that comes back while operators write the lost
/// ones again, of which this process has seen only some.
#[test]
fn lost_configurations_that_are_written_again_bring_no_older_one_into_force() {
    let mut order = restored_order();
    assert_eq!(order.offer(id(5, 5), Change, MonoMs(10_200)), Ignore);
    for (number, at) in [(6, 10_300), (7, 11_900)] {
        let now = MonoMs(at);
        assert!(matches!(order.offer(id(number, 0), Change, now), Hold(_)));
        assert!(!order.adopt_held(now.plus_ms(900)));
    }
    assert_eq!(order.offer(id(8, 8), Change, MonoMs(12_850)), Ignore);
    assert!(!order.adopt_held(MonoMs(60_000)));
    // From then on, a lower number is an older configuration as usual.
    assert_eq!(order.offer(id(7, 1), Change, MonoMs(60_000)), Ignore);
    assert_eq!(order.offer(id(8, 1), Change, MonoMs(60_000)), Ignore);
    assert_eq!(order.offer(id(9, 9), Change, MonoMs(60_000)), Adopt);
}

/// Guards against a confirmed change that is never in force because its number is that of
/// a lost one, or lower.
#[test]
fn numbers_of_lost_configurations_that_are_given_out_again_come_into_force() {
    let mut order = restored_order();
    assert_eq!(order.offer(id(8, 1), Snapshot, MonoMs(10_300)), Adopt);
    let mut order = restored_order();
    let until = MonoMs(12_000);
    assert_eq!(order.offer(id(6, 1), Change, MonoMs(10_300)), Hold(until));
    assert!(!order.adopt_held(MonoMs(11_999)));
    assert!(order.adopt_held(until));
    assert_eq!(order.offer(id(7, 1), Change, MonoMs(20_000)), Adopt);
    assert_eq!(order.offer(id(8, 1), Change, MonoMs(30_000)), Adopt);
}

/// Returns the order of a process that joined when 7 was in force, after which the store came
/// back at 10 s from a copy with 5.
fn joined_order() -> ConfigurationOrder {
    let mut order = ConfigurationOrder::new(ConfigurationOrderSettings::default());
    assert_eq!(order.offer(id(7, 7), Snapshot, MonoMs(0)), Adopt);
    order.store_restored(MonoMs(10_000));
    assert_eq!(order.offer(id(5, 5), Snapshot, MonoMs(10_000)), Ignore);
    order
}

/// Guards against a lost configuration in force at a process that has not seen it, because
/// operators pause before they write the next one again.
#[test]
fn a_process_that_joined_after_lost_configurations_waits_for_the_newest_one() {
    let mut order = joined_order();
    for (number, at) in [(5, 13_000), (6, 25_000)] {
        let now = MonoMs(at);
        let held = order.offer(id(number, 1), Change, now);
        assert_eq!(held, Hold(now.plus_ms(30_000)));
        assert!(!order.adopt_held(now.plus_ms(29_999)));
    }
    assert_eq!(order.offer(id(7, 7), Change, MonoMs(54_000)), Ignore);
    assert!(!order.adopt_held(MonoMs(600_000)));
}

/// Guards against the same at a process that did not poll while lost configurations were
/// written, and knows that only of those.
#[test]
fn configurations_missed_in_a_gap_are_held_like_those_before_the_start() {
    let mut order = ConfigurationOrder::new(ConfigurationOrderSettings::default());
    assert_eq!(order.offer(id(3, 3), Snapshot, MonoMs(0)), Adopt);
    order.record_gap();
    assert_eq!(order.offer(id(3, 3), Snapshot, MonoMs(1_000)), Ignore);
    assert_eq!(order.offer(id(5, 5), Change, MonoMs(2_000)), Adopt);
    order.record_gap();
    assert_eq!(order.offer(id(7, 7), Change, MonoMs(8_000)), Adopt);
    assert_eq!(order.offer(id(9, 9), Change, MonoMs(9_000)), Adopt);
    order.store_restored(MonoMs(10_000));
    assert_eq!(order.offer(id(5, 5), Snapshot, MonoMs(10_000)), Ignore);
    let unseen = Hold(MonoMs(43_000));
    assert_eq!(order.offer(id(6, 6), Change, MonoMs(13_000)), unseen);
    assert_eq!(order.offer(id(7, 7), Change, MonoMs(15_000)), Ignore);
    let between = Hold(MonoMs(18_000));
    assert_eq!(order.offer(id(8, 8), Change, MonoMs(17_000)), between);
    assert_eq!(order.offer(id(9, 9), Change, MonoMs(17_500)), Ignore);
}

/// Guards against a change that never comes into force at such a process because operators went
/// on from the copy; from then on it knows their numbers.
#[test]
fn numbers_given_out_again_come_into_force_at_a_process_that_joined_later() {
    let mut order = joined_order();
    let until = MonoMs(42_000);
    assert_eq!(order.offer(id(6, 1), Change, MonoMs(12_000)), Hold(until));
    assert!(order.adopt_held(until));
    assert_eq!(order.offer(id(7, 1), Change, MonoMs(43_000)), Adopt);
    order.store_restored(MonoMs(50_000));
    let until = MonoMs(54_000);
    assert_eq!(order.offer(id(6, 2), Change, MonoMs(53_000)), Hold(until));
}

/// Guards against a change that is dropped because the table is read again while it is held.
#[test]
fn a_held_configuration_stays_held_when_the_table_is_read_again() {
    let mut order = restored_order();
    let held = Hold(MonoMs(12_000));
    assert_eq!(order.offer(id(6, 1), Change, MonoMs(10_300)), held);
    assert_eq!(order.offer(id(6, 1), Snapshot, MonoMs(11_500)), held);
    assert!(order.adopt_held(MonoMs(12_000)));
}

/// Guards against the copy's configuration in force at a process that never saw it before.
#[test]
fn an_unknown_older_configuration_of_the_copy_is_not_taken_over() {
    let mut order = restored_order();
    assert_eq!(order.offer(id(7, 7), Snapshot, MonoMs(10_100)), Ignore);
    assert!(!order.adopt_held(MonoMs(60_000)));
}

/// Guards against an agent that keeps the target of a lost configuration, or takes over
/// that of the store's copy from an entry that started after the return.
#[test]
fn a_handed_on_configuration_replaces_those_of_earlier_eras_only_if_written_later() {
    let stamp = |era: u64, number| ConfigurationStamp {
        number,
        written_in: (era > 0).then_some(StoreEra(era)),
    };
    let lost = stamp(1, 8);
    for replacing in [stamp(1, 9), stamp(0, 9), stamp(2, 8), stamp(2, 6)] {
        assert!(replacing.replaces(lost), "{replacing:?}");
    }
    for older in [stamp(1, 8), stamp(1, 7), stamp(0, 8), stamp(0, 5)] {
        assert!(!older.replaces(lost), "{older:?}");
    }
    assert!(!lost.replaces(stamp(2, 6)));
    assert!(lost.replaces(stamp(0, 8)));
}

//! Tests of the upstream directory as rows are added, changed and removed.

use masticdock_core::ids::UpstreamId;
use masticdock_core::serving::{
    Directory, DirectoryChange, DirectorySettings, LayerSpan, ModelState, Upstream, VersionNumber,
};
use masticdock_core::units::MonoMs;

const GRACE_PERIOD_MS: u64 = 2_000;

fn upstream(id: &str, leaving: bool, started_at_ms: u64) -> Upstream {
    Upstream {
        id: id.parse().unwrap(),
        service: "llm".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "wien-a".parse().unwrap(),
        slots: 16,
        leaving,
        models: Vec::new(),
        started_at_ms: Some(started_at_ms),
        cold_left_ms: None,
    }
}

fn id(id: &str) -> UpstreamId {
    id.parse().unwrap()
}

/// Returns the ids of the upstreams that may receive requests.
fn serving(directory: &Directory, now: MonoMs) -> Vec<String> {
    let service = "llm".parse().unwrap();
    let upstreams = directory.serving(&service, now);
    upstreams.map(|upstream| upstream.id.to_string()).collect()
}

/// Guards against requests to an upstream that announced its shutdown.
#[test]
fn an_upstream_joins_leaves_and_is_removed() {
    let mut directory = Directory::new(DirectorySettings::default());
    let row = upstream("u-1", false, 1);
    assert_eq!(
        directory.put(row.clone()),
        Some(DirectoryChange::Joined(row.clone()))
    );
    assert_eq!(directory.put(row), None);
    assert_eq!(
        directory.put(upstream("u-1", true, 1)),
        Some(DirectoryChange::Leaving(id("u-1")))
    );
    assert!(directory.get(&id("u-1")).unwrap().leaving);
    assert_eq!(
        directory
            .serving(&"llm".parse().unwrap(), MonoMs(0))
            .count(),
        0
    );
    assert_eq!(
        directory.remove(&id("u-1"), MonoMs(10)),
        Some(DirectoryChange::Gone(id("u-1")))
    );
    assert_eq!(directory.remove(&id("u-1"), MonoMs(10)), None);
}

/// Guards against keeping the load and version of a previous process with the same id.
#[test]
fn a_restart_under_the_same_id_counts_as_joining() {
    let mut directory = Directory::new(DirectorySettings::default());
    directory.put(upstream("u-1", false, 1));
    let restarted = upstream("u-1", false, 2);
    assert_eq!(
        directory.put(restarted.clone()),
        Some(DirectoryChange::Joined(restarted))
    );
}

/// Guards against dropping all upstreams when their rows expired in a store outage.
#[test]
fn rows_missing_after_a_store_outage_keep_their_upstreams_for_a_grace_period() {
    let mut directory = Directory::new(DirectorySettings::default());
    directory.put(upstream("u-1", false, 1));
    directory.put(upstream("u-2", false, 1));
    directory.store_recovered(MonoMs(9_900), MonoMs(10_000));
    let until = MonoMs(10_000 + GRACE_PERIOD_MS);
    assert_eq!(
        directory.replace(Vec::new(), MonoMs(10_050)),
        [
            DirectoryChange::Lapsed(id("u-1"), until),
            DirectoryChange::Lapsed(id("u-2"), until)
        ]
    );
    assert_eq!(directory.iter().count(), 2);
    assert_eq!(directory.expire(MonoMs(11_999)), []);
    directory.put(upstream("u-1", false, 1));
    // The upstream whose row was not restored is removed when the grace period ends.
    assert_eq!(directory.expire(until), [DirectoryChange::Gone(id("u-2"))]);
    assert_eq!(directory.iter().count(), 1);
}

/// Guards against requests to an upstream that left while only this process could not reach
/// the store: at the latest 3 s after the end of the cut, it must get none.
#[test]
fn the_grace_period_ends_in_time_if_only_the_path_to_the_store_was_cut() {
    // A call that is lost just before the end of the cut fails 0.7 s later.
    for recovered_at in [10_000, 10_700, 11_100] {
        let mut directory = Directory::new(DirectorySettings::default());
        directory.put(upstream("u-1", false, 1));
        directory.store_recovered(MonoMs(10_000), MonoMs(recovered_at));
        directory.remove(&id("u-1"), MonoMs(recovered_at));
        assert_eq!(serving(&directory, MonoMs(11_900)), ["u-1"]);
        // Without a call of `expire`.
        assert_eq!(serving(&directory, MonoMs(12_750)), [""; 0]);
        assert!(!directory.is_serving(&id("u-1"), MonoMs(12_750)));
    }
}

/// Guards against a grace period that an outage cannot explain: the store may have been back
/// for long, as after a pause of this process.
#[test]
fn a_row_removed_long_after_a_lost_call_has_no_grace_period() {
    let mut directory = Directory::new(DirectorySettings::default());
    directory.put(upstream("u-1", false, 1));
    directory.store_recovered(MonoMs(5_000), MonoMs(10_000));
    assert_eq!(
        directory.remove(&id("u-1"), MonoMs(10_000)),
        Some(DirectoryChange::Gone(id("u-1")))
    );
}

/// Guards against a grace period for upstreams that announced their shutdown, or for
/// rows that are removed without a recent store outage.
#[test]
fn leaving_upstreams_and_removals_without_an_outage_have_no_grace_period() {
    let mut directory = Directory::new(DirectorySettings::default());
    directory.put(upstream("u-1", true, 1));
    directory.put(upstream("u-2", false, 1));
    directory.store_recovered(MonoMs(9_900), MonoMs(10_000));
    assert_eq!(
        directory.remove(&id("u-1"), MonoMs(10_050)),
        Some(DirectoryChange::Gone(id("u-1")))
    );
    assert_eq!(
        directory.remove(&id("u-2"), MonoMs(10_000 + GRACE_PERIOD_MS)),
        Some(DirectoryChange::Gone(id("u-2")))
    );
}

/// Guards against requests to an engine that holds only some layers of a version.
#[test]
fn a_version_is_complete_only_with_all_layers() {
    let state = |from, until| ModelState {
        model: "m".parse().unwrap(),
        layers: vec![LayerSpan {
            from,
            until,
            version: VersionNumber(3),
        }],
    };
    assert_eq!(state(0, 16).complete_version(16), Some(VersionNumber(3)));
    assert_eq!(state(0, 15).complete_version(16), None);
    assert_eq!(state(1, 16).complete_version(16), None);
}

/// Guards against a sound process that counts as gone because an old row or report of its
/// predecessor arrives late.
#[test]
fn only_a_later_process_replaces_an_upstream() {
    let running = upstream("u-1", false, 1_000);
    assert!(running.is_replaced_by(Some(2_000)));
    for started_at_ms in [None, Some(1_000), Some(500)] {
        assert!(!running.is_replaced_by(started_at_ms));
    }
}

/// Guards against requests to upstreams that left and that a copy of the store lists again.
#[test]
fn upstreams_that_left_stay_unusable_when_the_store_comes_back_from_a_copy() {
    let serving = |directory: &Directory| serving(directory, MonoMs(0));
    let without_start = |mut row: Upstream| {
        row.started_at_ms = None;
        row
    };
    let mut copy: Vec<Upstream> = ["leaving", "left", "gone", "stays"]
        .map(|id| upstream(id, false, 1))
        .to_vec();
    copy.push(without_start(upstream("no-start", false, 1)));
    let mut directory = Directory::new(DirectorySettings::default());
    directory.replace(copy.clone(), MonoMs(0));
    for id in ["leaving", "left"] {
        directory.put(upstream(id, true, 1));
    }
    directory.put(without_start(upstream("no-start", true, 1)));
    for gone in ["left", "gone"] {
        directory.remove(&id(gone), MonoMs(5_000));
    }
    directory.replace_restored(copy.clone(), MonoMs(8_000));
    assert_eq!(serving(&directory), ["stays"]);
    // A later read of the same table is no sign of life, a write is, and so is a row that
    // the store keeps. A shutdown that was announced stays.
    directory.replace(copy.clone(), MonoMs(9_000));
    assert_eq!(serving(&directory), ["stays"]);
    for row in copy {
        directory.put(row);
    }
    assert_eq!(serving(&directory), ["gone", "no-start", "stays"]);
    directory.remove(&id("gone"), MonoMs(10_000));
    directory.replace_restored(vec![upstream("gone", false, 1)], MonoMs(11_000));
    assert_eq!(directory.expire(MonoMs(16_999)).len(), 2);
    assert_eq!(serving(&directory), [""; 0]);
    directory.expire(MonoMs(17_000));
    assert_eq!(serving(&directory), ["gone"]);
    // Another process under the same id is usable at once.
    directory.put(upstream("left", false, 2));
    assert_eq!(serving(&directory), ["gone", "left"]);
}

/// Guards against rejections for an upstream that joined after the copy was taken.
#[test]
fn upstreams_missing_in_a_copy_have_a_grace_period_although_no_call_failed() {
    let mut directory = Directory::new(DirectorySettings::default());
    directory.put(upstream("u-1", false, 1));
    let until = MonoMs(10_000 + GRACE_PERIOD_MS);
    assert_eq!(
        directory.replace_restored(Vec::new(), MonoMs(10_000)),
        [DirectoryChange::Lapsed(id("u-1"), until)]
    );
}

/// Guards against an agent that never uses a peer again: it reads the table now and then and
/// hears of no writes.
#[test]
fn an_upstream_whose_row_outlasts_the_return_is_usable_at_the_next_read() {
    let mut directory = Directory::new(DirectorySettings::default());
    let copy = vec![upstream("u-1", false, 1)];
    directory.replace(copy.clone(), MonoMs(0));
    directory.replace(Vec::new(), MonoMs(5_000));
    directory.replace_restored(copy.clone(), MonoMs(8_000));
    directory.replace(copy.clone(), MonoMs(13_000));
    assert!(directory.get(&id("u-1")).unwrap().leaving);
    directory.replace(copy, MonoMs(20_000));
    assert!(!directory.get(&id("u-1")).unwrap().leaving);
}

/// Guards against a crashed upstream that is taken for alive because its successor has another
/// id, and against one that counts as gone because of other rows.
#[test]
fn a_later_process_in_the_place_of_an_upstream_shows_that_it_is_gone() {
    let own = upstream("u-1", false, 100);
    let has_later = |others: &[Upstream]| {
        let mut directory = Directory::new(DirectorySettings::default());
        for other in others {
            directory.put(other.clone());
        }
        directory.has_later_process(&own)
    };
    assert!(has_later(&[upstream("u-1", false, 200)]));
    assert!(has_later(&[own.clone(), upstream("u-2", false, 200)]));
    let elsewhere = Upstream {
        address: "10.0.0.2:80".parse().unwrap(),
        ..upstream("u-2", false, 200)
    };
    let of_another_service = Upstream {
        service: "orders".parse().unwrap(),
        ..upstream("u-2", false, 200)
    };
    let unknown_start = Upstream {
        started_at_ms: None,
        ..upstream("u-2", false, 200)
    };
    let earlier = upstream("u-2", false, 50);
    for other in [elsewhere, of_another_service, unknown_start, earlier] {
        assert!(!has_later(&[own.clone(), other]));
    }
}

//! Recognition of requests that crash engines.

use std::net::{IpAddr, Ipv4Addr};

use masticdock_core::serving::{
    CrashHistory, CrashHistorySettings, CrashRecord, CrashRecords, CrashRecordsSettings,
    EngineCrashes, EngineCrashesSettings, RefutedSuspects, RequestFeature, RequestFeatures,
    UpstreamProcess,
};
use masticdock_core::units::MonoMs;

/// Time between crashes of different engines in these tests, in milliseconds.
const CRASH_INTERVAL_MS: u64 = 200;

fn at(ms: u64) -> MonoMs {
    MonoMs(60_000 + ms)
}

fn part(name: &str) -> RequestFeature {
    RequestFeature::of_part(&"drafts".parse().unwrap(), name)
}

fn whole(body: &str) -> RequestFeature {
    RequestFeature::of_request(
        &"drafts".parse().unwrap(),
        "POST",
        "/draft",
        None,
        body.as_bytes(),
    )
}

/// Returns the features of a request whose prompt has these parts and a last one of its
/// own.
fn request(parts: &[&str], number: u64) -> RequestFeatures {
    let own = format!("own-{number}");
    let mut features: Vec<RequestFeature> = parts.iter().map(|name| part(name)).collect();
    features.push(part(&own));
    RequestFeatures::new(features, whole(&own))
}

fn process(engine: u8) -> UpstreamProcess {
    UpstreamProcess {
        vm: IpAddr::V4(Ipv4Addr::new(10, 0, 0, engine)),
        started_at_ms: 1_000 + u64::from(engine),
    }
}

/// Returns the crash of an engine that interrupted these requests.
fn crash(engine: u8, at: MonoMs, requests: &[RequestFeatures]) -> CrashRecord {
    CrashRecord {
        id: process(engine),
        at,
        suspects: requests
            .iter()
            .flat_map(RequestFeatures::suspects)
            .collect(),
        reviewed: false,
    }
}

/// Returns the history of an entry that has served other requests for a while.
fn history() -> CrashHistory {
    observing_history(CrashHistorySettings::default())
}

fn observing_history(settings: CrashHistorySettings) -> CrashHistory {
    let mut history = CrashHistory::new(settings);
    let other = request(&["other"], 9_999);
    history.record_success(&other, MonoMs(40_000), MonoMs(40_500));
    history
}

fn is_blocked(history: &mut CrashHistory, features: &RequestFeatures, now: MonoMs) -> bool {
    history.refresh(now);
    history.blocked(features).is_some()
}

/// Records `count` crashes by requests with the parts `head` and `bad`, each of which
/// interrupts a sound request with `head` as well; returns the time of the last one.
/// Requests like the sound one have succeeded before.
fn crash_engines(history: &mut CrashHistory, count: u8, from: u8, start: MonoMs) -> MonoMs {
    let mut now = start;
    history.record_success(&request(&["head", "good"], 999), start, start);
    for engine in from..from + count {
        now = now.plus_ms(CRASH_INTERVAL_MS);
        let number = u64::from(engine);
        let guilty = request(&["head", "bad"], number);
        let bystander = request(&["head", "good"], 1_000 + number);
        history.record(&crash(engine, now, &[bystander, guilty]), now);
        history.refresh(now);
    }
    now
}

/// Guards against a part that crashes one engine after another, in requests of which no
/// two are alike.
#[test]
fn a_part_is_blocked_within_five_crashes_and_its_neighbours_are_not() {
    let mut history = history();
    let now = crash_engines(&mut history, 5, 1, at(0));
    // The bystanders were sent again and succeeded.
    for number in 1_001..1_006 {
        history.record_success(&request(&["head", "good"], number), now.plus_ms(1), now);
    }
    assert!(is_blocked(
        &mut history,
        &request(&["head", "bad"], 77),
        now
    ));
    assert!(!is_blocked(
        &mut history,
        &request(&["head", "good"], 78),
        now
    ));
    assert!(!is_blocked(
        &mut history,
        &request(&["head", "new"], 79),
        now
    ));
}

/// Guards against a first part that is blocked because it occurs in every crash, beside
/// two causes and in crashes with other causes.
#[test]
fn a_part_of_most_requests_is_not_blocked_beside_the_causes() {
    let mut history = history();
    let sound = |number| request(&["head", "good"], number);
    history.record_success(&sound(1), at(0), at(900));
    let mut now = at(1_000);
    for round in 0..6 {
        for (index, name) in ["bad-1", "bad-2", "good"].iter().enumerate() {
            now = now.plus_ms(CRASH_INTERVAL_MS);
            let number = round * 3 + index as u64;
            let engine = u8::try_from(number).unwrap();
            let guilty = request(&["head", name], 100 + number);
            history.record(&crash(engine, now, &[guilty, sound(200 + number)]), now);
            // Responses arrive 0.7 s after their requests were sent.
            let sent_at = MonoMs(now.0 - 700);
            history.record_success(&sound(300 + number), sent_at, now);
            assert!(
                !is_blocked(&mut history, &sound(400 + number), now),
                "blocked after {number} crashes"
            );
        }
    }
    now = now.plus_ms(1_300);
    history.record_success(&sound(500), MonoMs(now.0 - 700), now);
    assert!(is_blocked(
        &mut history,
        &request(&["head", "bad-1"], 501),
        now
    ));
    assert!(is_blocked(
        &mut history,
        &request(&["head", "bad-2"], 502),
        now
    ));
    assert!(!is_blocked(&mut history, &sound(503), now));
}

/// Guards against a sound part that is blocked at once when several engines crash for
/// other reasons, before a later request has succeeded.
#[test]
fn a_part_that_succeeded_before_is_not_blocked_before_later_requests_could_succeed() {
    let mut history = history();
    let sound = |number| request(&["head", "good"], number);
    history.record_success(&sound(1), at(0), at(900));
    let mut now = at(1_000);
    for engine in 0..5 {
        now = now.plus_ms(160);
        history.record(&crash(engine, now, &[sound(10 + u64::from(engine))]), now);
        assert!(!is_blocked(&mut history, &sound(50), now));
    }
    history.record_success(&sound(60), now.plus_ms(10), now.plus_ms(700));
    assert!(!is_blocked(&mut history, &sound(61), now.plus_ms(60_000)));
}

/// Guards against a sound part that stays blocked, since no request with it is sent any
/// more, after all engines crashed one after another, each with such a request.
#[test]
fn a_part_of_all_requests_is_not_blocked_after_all_engines_crashed() {
    let restarted = CrashHistory::new(CrashHistorySettings::default());
    let mut observing = history();
    let sound = |number| request(&["head"], number);
    observing.record_success(&sound(1), at(0), at(900));
    for mut history in [observing, restarted] {
        for engine in 0..20 {
            let now = at(1_000 + u64::from(engine) * CRASH_INTERVAL_MS);
            history.record(&crash(engine, now, &[sound(10 + u64::from(engine))]), now);
        }
        let other_service = "pickups".parse().unwrap();
        let other = RequestFeature::of_part(&other_service, "own");
        let other = RequestFeatures::new(vec![other], other);
        for second in 6..60 {
            let now = at(second * 1_000);
            history.record_success(&other, MonoMs(now.0 - 700), now);
            assert!(!is_blocked(&mut history, &sound(50), now));
        }
        // The engines are back.
        let now = at(60_000);
        history.record_success(&request(&["rare"], 70), MonoMs(now.0 - 700), now);
        assert!(!is_blocked(&mut history, &sound(71), now));
        history.record_success(&sound(72), MonoMs(now.0 - 600), now.plus_ms(100));
        assert!(!is_blocked(&mut history, &sound(73), at(120_000)));
    }
}

/// Guards against a part that was sound and is never blocked once it crashes engines.
#[test]
fn a_part_that_succeeded_before_its_first_crash_is_blocked_after_a_while() {
    let mut history = history();
    history.record_success(&request(&["head", "bad"], 1), at(0), at(0));
    let now = crash_engines(&mut history, 5, 1, at(100));
    // A request that was sent before the crashes proves nothing.
    history.record_success(&request(&["head", "bad"], 2), at(90), now);
    history.record_success(&request(&["head", "good"], 3), now.plus_ms(1), now);
    let settled = now.plus_ms(CrashHistorySettings::default().settle_ms);
    assert!(is_blocked(
        &mut history,
        &request(&["head", "bad"], 4),
        settled
    ));
    assert!(!is_blocked(
        &mut history,
        &request(&["head", "good"], 5),
        settled
    ));
}

/// Guards against a loss of power that counts as many crashes of one part.
#[test]
fn engines_that_crash_at_the_same_moment_count_once() {
    let mut history = history();
    for engine in 0..40 {
        let now = at(100 + u64::from(engine % 10) * 10);
        let interrupted = request(&["head"], u64::from(engine));
        history.record(&crash(engine, now, &[interrupted]), now);
    }
    assert!(!is_blocked(
        &mut history,
        &request(&["head"], 77),
        at(10_000)
    ));
}

/// Guards against a part that stays blocked although requests with it succeed.
#[test]
fn a_success_after_the_crashes_unblocks_a_part() {
    let mut history = history();
    let now = crash_engines(&mut history, 5, 1, at(0));
    let features = request(&["head", "bad"], 77);
    assert!(is_blocked(&mut history, &features, now));
    let refuted = history.record_success(&features, now.plus_ms(1), now.plus_ms(900));
    assert_eq!(refuted.len(), 5);
    assert_eq!(refuted[0].features, [part("head"), part("bad")]);
    let later = now.plus_ms(900);
    assert!(!is_blocked(&mut history, &features, later));
    // An agent that has not heard of the success sends its crash again.
    let again = crash(1, at(CRASH_INTERVAL_MS), &[request(&["head", "bad"], 1)]);
    assert!(!history.record(&again, now));
    assert!(!is_blocked(&mut history, &features, later));
}

/// Guards against a part that is unblocked while requests with it keep coming.
#[test]
fn a_blocked_part_stays_blocked_while_others_succeed() {
    let mut history = history();
    let now = crash_engines(&mut history, 5, 1, at(0));
    for second in 1..500 {
        let now = now.plus_ms(second * 1_000);
        let sound = request(&["head", "good"], second);
        assert!(is_blocked(
            &mut history,
            &request(&["head", "bad"], second),
            now
        ));
        history.record_success(&sound, MonoMs(now.0 - 700), now);
        assert!(!is_blocked(&mut history, &sound, now));
    }
}

/// Guards against an entry that restarts, learns of all crashes at once and blocks a part
/// that other entries have found sound.
#[test]
fn crashes_learnt_after_a_restart_block_the_same_part() {
    let mut before = history();
    let mut agents: Vec<EngineCrashes> = Vec::new();
    let mut now = at(0);
    for engine in 1..=9 {
        now = now.plus_ms(CRASH_INTERVAL_MS);
        let number = u64::from(engine);
        let UpstreamProcess { vm, started_at_ms } = process(engine);
        let mut agent = EngineCrashes::new(vm, EngineCrashesSettings::default());
        agent.record_engine(Some(started_at_ms), now);
        // Every second engine crashes for another reason.
        let name = if engine % 2 == 0 { "good" } else { "bad" };
        let interrupted = [
            request(&["head", name], number),
            request(&["head", "good"], 90 + number),
        ];
        for features in interrupted {
            agent.record_suspects(Some(started_at_ms), &features.suspects(), now);
        }
        assert!(agent.record_engine(None, now.plus_ms(100)));
        for record in agent.records() {
            before.record(record, now);
        }
        agents.push(agent);
    }
    let sound = request(&["head", "good"], 500);
    for refuted in before.record_success(&sound, now.plus_ms(1), now.plus_ms(700)) {
        for agent in &mut agents {
            if agent.records().any(|record| record.id == refuted.id) {
                agent.record_refuted(refuted.id, &refuted.features);
            }
        }
    }
    let mut after = CrashHistory::new(CrashHistorySettings::default());
    for record in agents.iter().flat_map(EngineCrashes::records) {
        after.record(record, now);
    }
    let later = now.plus_ms(60_000);
    assert!(!is_blocked(
        &mut after,
        &request(&["head", "good"], 502),
        later
    ));
    let rare = request(&["rare"], 503);
    after.record_success(&rare, MonoMs(later.0 - 700), later);
    let later = later.plus_ms(CrashHistorySettings::default().settle_ms);
    assert!(is_blocked(
        &mut after,
        &request(&["head", "bad"], 501),
        later
    ));
    assert!(!is_blocked(
        &mut after,
        &request(&["head", "good"], 502),
        later
    ));
}

/// Guards against a lost datagram, repeated or reordered ones that change what is blocked.
#[test]
fn records_are_merged_by_the_process_that_crashed() {
    let mut history = history();
    let guilty = |engine| request(&["head", "bad"], u64::from(engine));
    for round in 0..10 {
        for engine in 1..=3 {
            let now = at(u64::from(engine) * 400);
            let is_new = history.record(&crash(engine, now, &[guilty(engine)]), now);
            assert_eq!(is_new, round == 0);
            assert!(!history.record(&crash(engine, now, &[request(&["late"], 7)]), now));
        }
    }
    let with_part = request(&["bad"], 99);
    assert!(!is_blocked(&mut history, &with_part, at(1_200)));
    history.record(&crash(4, at(1_600), &[guilty(4)]), at(1_600));
    assert!(is_blocked(&mut history, &with_part, at(1_600)));
}

/// Guards against one request that crashes each engine that runs it and is sent again.
#[test]
fn a_repeated_request_is_blocked_at_its_third_crash() {
    let mut history = history();
    let bad = request(&["head", "common"], 1);
    for engine in 1..=3 {
        let now = at(u64::from(engine) * 1_000);
        assert!(!is_blocked(&mut history, &bad, now));
        history.record(&crash(engine, now, std::slice::from_ref(&bad)), now);
    }
    assert!(is_blocked(&mut history, &bad, at(3_025)));
    assert!(!is_blocked(
        &mut history,
        &request(&["head", "common"], 2),
        at(3_025)
    ));
    let without_parts = RequestFeatures::new(Vec::new(), whole("x"));
    assert!(!is_blocked(&mut history, &without_parts, at(3_000)));
}

/// Returns the features of a request without a prompt.
fn lookup(path: &str) -> RequestFeatures {
    let service = "pickups".parse().unwrap();
    let whole = RequestFeature::of_request(&service, "GET", path, None, b"");
    RequestFeatures::new(Vec::new(), whole)
}

/// Returns the history of an entry that has served other lookups for a while.
fn history_of_lookups() -> CrashHistory {
    let mut history = CrashHistory::new(CrashHistorySettings::default());
    history.record_success(&lookup("/other"), MonoMs(40_000), MonoMs(40_100));
    history
}

/// Guards against retries that crash a second upstream shortly after the first one and
/// count as the same crash.
#[test]
fn a_crash_by_a_retry_counts_against_a_repeated_request() {
    let mut history = history_of_lookups();
    let bad = lookup("/bad");
    for (engine, ms) in [(1, 0), (2, 60), (3, 3_000)] {
        assert!(!is_blocked(&mut history, &bad, at(ms)));
        history.record(&crash(engine, at(ms), std::slice::from_ref(&bad)), at(ms));
    }
    assert!(is_blocked(&mut history, &bad, at(3_025)));
    assert!(!is_blocked(&mut history, &lookup("/good"), at(3_025)));
}

/// Guards against retries that let a request crash all upstreams of a small service before it
/// is blocked.
#[test]
fn a_request_is_not_retried_after_two_crashes_until_it_succeeds() {
    let mut history = history_of_lookups();
    let bad = lookup("/bad");
    for (engine, ms) in [(1, 0), (2, 10)] {
        assert!(history.allows_retry(&bad));
        history.record(&crash(engine, at(ms), std::slice::from_ref(&bad)), at(ms));
    }
    assert!(!history.allows_retry(&bad));
    assert!(history.allows_retry(&lookup("/good")));
    assert!(!is_blocked(&mut history, &bad, at(1_000)));
    history.record_success(&bad, at(2_000), at(2_100));
    assert!(history.allows_retry(&bad));
}

/// Guards against three upstreams that one request and its retry crash within 0.2 s, after
/// which the whole service is down again and again.
#[test]
fn crashes_one_after_another_block_a_repeated_request_within_a_moment() {
    let mut history = history_of_lookups();
    let bad = lookup("/bad");
    for (engine, ms) in [(1, 0), (2, 56), (3, 139)] {
        history.record(&crash(engine, at(ms), std::slice::from_ref(&bad)), at(ms));
    }
    assert!(is_blocked(&mut history, &bad, at(200)));
}

/// Guards against a repeated request that is blocked because its upstreams all end at the
/// same moment, or crash for another reason while it runs there.
#[test]
fn a_repeated_request_that_succeeds_is_not_blocked() {
    let mut history = history_of_lookups();
    let same_moment = lookup("/first");
    for engine in 1..=20 {
        let now = at(u64::from(engine) * 5);
        history.record(&crash(engine, now, std::slice::from_ref(&same_moment)), now);
    }
    assert!(!is_blocked(&mut history, &same_moment, at(10_000)));
    let popular = lookup("/popular");
    history.record_success(&popular, at(10_000), at(10_050));
    for engine in 21..=60 {
        let now = at(u64::from(engine) * 1_000);
        history.record(&crash(engine, now, std::slice::from_ref(&popular)), now);
        assert!(!is_blocked(&mut history, &popular, now));
        history.record_success(&popular, now.plus_ms(300), now.plus_ms(400));
        assert!(!is_blocked(&mut history, &popular, now.plus_ms(450)));
    }
}

/// Guards against a report that arrives at the keeper of a crash twice, late or after one
/// of its suspects was refuted.
#[test]
fn a_keeper_merges_the_reports_of_several_entries() {
    let mut records = CrashRecords::new(CrashRecordsSettings {
        records_max: 2,
        ..CrashRecordsSettings::default()
    });
    let (bad, good) = (lookup("/bad"), lookup("/good"));
    let first = crash(1, at(0), &[bad.clone(), good.clone()]);
    assert!(records.record(&first, at(10)));
    assert!(!records.record(&first, at(20)));
    assert!(records.record(&crash(1, at(5), &[lookup("/third")]), at(30)));
    assert!(records.record_refuted(first.id, &[good.whole()]));
    assert!(!records.record_refuted(first.id, &[good.whole()]));
    assert!(!records.record(&first, at(40)));
    let kept = records.iter().next().unwrap();
    assert_eq!((kept.at, kept.reviewed), (at(0), true));
    assert!(
        kept.suspects
            .iter()
            .any(|suspect| suspect.feature == bad.whole())
    );
    assert_eq!(kept.suspects.len(), 2);
    for engine in 2..=3 {
        let now = at(u64::from(engine) * 100);
        assert!(records.record(&crash(engine, now, std::slice::from_ref(&bad)), now));
    }
    let ids: Vec<UpstreamProcess> = records.iter().map(|record| record.id).collect();
    assert_eq!(ids, [process(2), process(3)]);
    let retention_ms = CrashRecordsSettings::default().retention_ms;
    records.record(
        &crash(4, at(retention_ms + 500), &[bad]),
        at(retention_ms + 500),
    );
    assert_eq!(records.iter().count(), 1);
}

/// Guards against memory that grows with the crashes of a long disturbance, and against a
/// blocked part that such a disturbance displaces.
#[test]
fn many_crashes_are_bounded_and_do_not_displace_a_blocked_part() {
    let settings = CrashHistorySettings {
        records_max: 16,
        ..CrashHistorySettings::default()
    };
    let mut history = observing_history(settings);
    let mut now = crash_engines(&mut history, 5, 1, at(0));
    for engine in 10..=250 {
        now = now.plus_ms(CRASH_INTERVAL_MS);
        let number = u64::from(engine);
        history.record(&crash(engine, now, &[request(&[], number)]), now);
        history.refresh(now);
    }
    assert!(is_blocked(&mut history, &request(&["bad"], 500), now));
}

/// Returns a history that learns of four crashes long after they happened.
fn history_that_starts_late(reviewed: bool) -> (CrashHistory, MonoMs) {
    let mut history = CrashHistory::new(CrashHistorySettings::default());
    let started_at = at(60_000);
    for engine in 1..=4 {
        let crashed_at = at(10_000).plus_ms(u64::from(engine) * CRASH_INTERVAL_MS);
        let bad = request(&["bad"], u64::from(engine));
        let record = CrashRecord {
            reviewed,
            ..crash(engine, crashed_at, &[bad])
        };
        history.record(&record, started_at);
    }
    (history, started_at)
}

/// Guards against an entry that restarts and lets engines crash until it has observed
/// enough itself, although the other entries know the part and refuted its neighbours.
#[test]
fn crashes_that_others_knew_before_count_at_once() {
    let (mut history, now) = history_that_starts_late(true);
    assert!(is_blocked(&mut history, &request(&["bad"], 77), now));
    assert!(!is_blocked(&mut history, &request(&["good"], 77), now));
}

/// Guards against sound parts that are blocked after a restart of all entries, because
/// nobody could refute them.
#[test]
fn crashes_that_nobody_reviewed_do_not_count_at_once() {
    let (mut history, now) = history_that_starts_late(false);
    assert!(!is_blocked(&mut history, &request(&["bad"], 77), now));
}

/// Guards against a sound part that stays blocked at an entry that sends no request with
/// it any more, although requests with it succeed at others.
#[test]
fn a_success_at_another_entry_unblocks_a_part() {
    let mut history = history();
    let now = crash_engines(&mut history, 5, 1, at(0));
    let features = request(&["head", "bad"], 77);
    assert!(is_blocked(&mut history, &features, now));
    for engine in 1..=5 {
        let refuted = RefutedSuspects {
            id: process(engine),
            features: vec![part("head"), part("bad")],
        };
        history.record_refuted(&refuted, now);
    }
    assert!(!is_blocked(&mut history, &features, now.plus_ms(200)));
}

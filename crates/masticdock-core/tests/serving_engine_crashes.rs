//! Crashes of the engine on one VM, as its agent confirms them.

use std::net::{IpAddr, Ipv4Addr};

use masticdock_core::serving::{
    CrashRecord, EngineCrashes, EngineCrashesSettings, RequestFeature, RequestFeatures, Suspect,
    UpstreamProcess,
};
use masticdock_core::units::MonoMs;

const VM: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));

fn at(ms: u64) -> MonoMs {
    MonoMs(60_000 + ms)
}

fn part(name: &str) -> RequestFeature {
    RequestFeature::of_part(&"drafts".parse().unwrap(), name)
}

/// Returns the features of a request whose prompt has these parts and a last one of its
/// own.
fn request(parts: &[&str], number: u64) -> RequestFeatures {
    let own = format!("own-{number}");
    let mut features: Vec<RequestFeature> = parts.iter().map(|name| part(name)).collect();
    features.push(part(&own));
    let service = "drafts".parse().unwrap();
    let whole = RequestFeature::of_request(&service, "POST", "/draft", None, own.as_bytes());
    RequestFeatures::new(features, whole)
}

/// Guards against lost answers, resets and slow links that count as crashes.
#[test]
fn broken_connections_without_a_crash_are_no_crash() {
    let mut crashes = EngineCrashes::new(VM, EngineCrashesSettings::default());
    let suspects: Vec<Suspect> = request(&["head"], 1).suspects();
    crashes.record_engine(Some(5), at(0));
    for step in 1..50 {
        let now = at(step * 100);
        assert!(!crashes.record_suspects(Some(5), &suspects, now));
        assert!(!crashes.record_engine(Some(5), now));
    }
    assert_eq!(crashes.records().count(), 0);
    // The engine stops long after the last report.
    assert!(!crashes.record_engine(None, at(9_000)));
    assert_eq!(crashes.records().count(), 0);
}

/// Guards against a crash that is missed because the report arrives before or after it is
/// noticed, or because the engine is back before its agent looks.
#[test]
fn suspects_and_the_loss_of_the_process_are_matched_in_either_order() {
    let suspects = request(&["head"], 1).suspects();
    let late = request(&["late"], 2).suspects();
    for successor in [None, Some(9)] {
        let mut crashes = EngineCrashes::new(VM, EngineCrashesSettings::default());
        crashes.record_engine(Some(5), at(0));
        crashes.record_suspects(Some(5), &suspects, at(10));
        crashes.record_suspects(Some(4), &late, at(20));
        assert!(crashes.record_engine(successor, at(100)));
        assert!(!crashes.record_engine(successor, at(200)));
        assert!(
            !crashes.record_suspects(Some(5), &suspects, at(250)),
            "repeated report"
        );
        assert!(crashes.record_suspects(Some(5), &late, at(300)));
        let records: Vec<&CrashRecord> = crashes.records().collect();
        assert_eq!(records.len(), 1);
        assert_eq!(records[0].id.started_at_ms, 5);
        assert_eq!(records[0].at, at(10));
        assert_eq!(
            records[0].suspects,
            [suspects.clone(), late.clone()].concat()
        );
        assert!(!crashes.record_suspects(Some(5), &request(&["x"], 3).suspects(), at(5_000)));
    }
}

/// Guards against a refuted suspect that a repeated report brings back.
#[test]
fn a_refuted_suspect_is_not_added_again() {
    let mut crashes = EngineCrashes::new(VM, EngineCrashesSettings::default());
    let features = request(&["head", "bad"], 1);
    crashes.record_engine(Some(5), at(0));
    crashes.record_suspects(Some(5), &features.suspects(), at(10));
    crashes.record_engine(None, at(100));
    let id = UpstreamProcess {
        vm: VM,
        started_at_ms: 5,
    };
    crashes.record_refuted(id, &[part("head")]);
    assert!(!crashes.record_suspects(Some(5), &features.suspects(), at(200)));
    let record = crashes.records().next().unwrap();
    assert_eq!(record.suspects, features.suspects()[1..]);
}

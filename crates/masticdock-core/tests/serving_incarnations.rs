//! Reports of an engine that restarted while the row of its former incarnation remains.

use masticdock_core::serving::{AgentReport, VersionNumber};

fn report(started_at_ms: Option<u64>) -> AgentReport {
    AgentReport {
        running: 3,
        version: Some(VersionNumber(2)),
        reachable: true,
        started_at_ms,
        ..AgentReport::default()
    }
}

/// Guards against requests to the former incarnation after a loss of power: its row
/// stays in the store for three heartbeats, and each request that names it is rejected
/// by the successor at its address.
#[test]
fn a_report_does_not_apply_to_the_former_incarnation() {
    let former = report(Some(2_000)).for_incarnation(Some(1_000));
    assert!(!former.reachable);
    assert_eq!(former.version, None);
}

/// Guards against an engine that is left out because its row or report lacks the time.
#[test]
fn a_report_applies_to_its_own_incarnation_and_to_an_unknown_one() {
    assert_eq!(report(Some(7)).for_incarnation(Some(7)), report(Some(7)));
    assert_eq!(report(None).for_incarnation(Some(7)), report(None));
    assert_eq!(report(Some(7)).for_incarnation(None), report(Some(7)));
}

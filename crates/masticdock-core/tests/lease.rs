//! Leases: a holder's reliance always ends before an observer may take over.

use masticdock_core::ids::{Fence, VmId};
use masticdock_core::lease::{
    FENCE, HeldLease, STAMP, SlotKey, SlotObservation, SlotRow, SlotWatch, claim_writes,
    release_write, renewal_write,
};
use masticdock_core::table_row::{AttributeValue, RowCondition};
use masticdock_core::units::MonoMs;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const LEASE_MS: u64 = 1_000;

fn key() -> SlotKey {
    SlotKey {
        rollout: "r".parse().unwrap(),
        group: "zone-a".parse().unwrap(),
        index: 3,
    }
}

fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

fn row(renewal: u64) -> SlotRow {
    SlotRow {
        holder: vm("vm-1"),
        fence: Fence(5),
        renewal,
    }
}

/// Calls of the holder or the observer: pause before, time until the effect, time until the answer.
fn calls(len: usize) -> impl Strategy<Value = Vec<(u64, u64, u64)>> {
    prop::collection::vec((0_u64..900, 0_u64..900, 0_u64..900), 1..len)
}

/// Writes as (sent, effective), one row version each, in order.
fn writes_of(calls: &[(u64, u64, u64)]) -> Vec<(u64, u64)> {
    let mut now = 0;
    let mut writes = Vec::new();
    for (pause, effect, answer) in calls {
        let sent = now + pause;
        writes.push((sent, sent + effect));
        now = sent + effect + answer;
    }
    writes
}

/// Reads as (started, version seen, ended).
fn reads_of(calls: &[(u64, u64, u64)], writes: &[(u64, u64)]) -> Vec<(u64, Option<u64>, u64)> {
    let mut now = 0;
    let mut reads = Vec::new();
    for (pause, effect, answer) in calls {
        let started = now + pause;
        let seen_at = started + effect;
        let effective = writes.iter().filter(|(_, at)| *at <= seen_at).count();
        let version = (effective > 0).then_some(effective as u64);
        now = seen_at + answer;
        reads.push((started, version, now));
    }
    reads
}

/// Returns the version on which the observer takes over and the moment at which it decides.
fn take_over(
    reads: &[(u64, Option<u64>, u64)],
    mut observe: impl FnMut(Option<&SlotRow>, MonoMs, MonoMs) -> SlotObservation,
) -> Option<(u64, u64)> {
    for (started, version, ended) in reads {
        let row = version.map(row);
        let seen = observe(row.as_ref(), MonoMs(*started), MonoMs(*ended));
        if seen == SlotObservation::Expired {
            return Some((version.unwrap(), *ended));
        }
    }
    None
}

proptest! {
    #![proptest_config(Config {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(0x6c65_6173),
        failure_persistence: None,
        ..Config::default()
    })]

    // Guards against two VMs that both believe they hold one slot, however long
    // writes and reads take.
    #[test]
    fn reliance_ends_before_a_take_over(holder in calls(8), observer in calls(30)) {
        let writes = writes_of(&holder);
        let reads = reads_of(&observer, &writes);
        let mut watch = SlotWatch::new(LEASE_MS);
        let taken = take_over(&reads, |row, s, e| watch.observe(row, s, e));
        if let Some((version, decided)) = taken {
            // The holder relies on the newest write that took effect before the take-over.
            let index = usize::try_from(version).unwrap() - 1;
            let lease = HeldLease::new(row(version), MonoMs(writes[index].0), LEASE_MS);
            prop_assert!(!lease.is_valid(MonoMs(decided)));
        }
    }

    // A naive observer that looks only at the clock between two reads finds the
    // same or more slots expired, never fewer.
    #[test]
    fn the_watch_is_never_bolder_than_a_naive_one(holder in calls(8), observer in calls(30)) {
        let writes = writes_of(&holder);
        let reads = reads_of(&observer, &writes);
        let mut watch = SlotWatch::new(LEASE_MS);
        let taken = take_over(&reads, |row, s, e| watch.observe(row, s, e));
        let mut seen: Option<(SlotRow, MonoMs)> = None;
        let naive = take_over(&reads, |row, started, ended| {
            let Some(row) = row else { return SlotObservation::Free };
            match &seen {
                Some((same, at)) if same == row && ended.since_ms(*at) >= LEASE_MS => {
                    SlotObservation::Expired
                }
                Some((same, _)) if same == row => SlotObservation::Held,
                _ => {
                    seen = Some((row.clone(), started));
                    SlotObservation::Held
                }
            }
        });
        if let Some((_, decided)) = taken {
            prop_assert!(naive.is_some_and(|(_, earlier)| earlier <= decided));
        }
    }
}

// Shows the fault with a holder that counts from the answer of a slow write and
// an observer that counts from the start of a slow read.
#[test]
fn naive_clocks_let_two_vms_hold_one_slot() {
    let naive_deadline = 950 + LEASE_MS;
    // The write takes effect at 10 and is answered at 950; the reads start at 0 and at 1,000.
    let naive_take_over = LEASE_MS;
    assert!(naive_take_over < naive_deadline, "both hold the slot");
    let lease = HeldLease::new(row(1), MonoMs(0), LEASE_MS);
    let mut watch = SlotWatch::new(LEASE_MS);
    let first = watch.observe(Some(&row(1)), MonoMs(0), MonoMs(20));
    assert_eq!(first, SlotObservation::Held);
    let second = watch.observe(Some(&row(1)), MonoMs(1_000), MonoMs(1_010));
    assert_eq!(second, SlotObservation::Held);
    assert!(!lease.is_valid(MonoMs(1_000)));
}

// Guards against a holder that resumes after a pause and still believes in its lease.
#[test]
fn a_holder_paused_past_its_lease_no_longer_relies_on_it() {
    let mut lease = HeldLease::new(row(1), MonoMs(100), LEASE_MS);
    assert!(lease.is_valid(MonoMs(200)));
    assert!(!lease.renewal_due(MonoMs(200)));
    assert!(lease.renewal_due(MonoMs(500)));
    let resumed = MonoMs(60_000);
    assert!(!lease.is_valid(resumed));
    // An answer that arrives after the pause brings back a lease only for its own time.
    assert!(!lease.record_renewal(row(2), MonoMs(300), resumed));
}

// Guards against a take-over that leaves the former holder's orders acceptable to the engine.
#[test]
fn a_take_over_raises_the_fence_and_depends_on_the_row_seen() {
    let seen = row(4);
    let claim = claim_writes(&key(), &vm("vm-2"), Some(&seen), Some(Fence(9)));
    assert_eq!(claim.row.fence, Fence(10));
    let stamp = RowCondition::Equals(STAMP, AttributeValue::Text(seen.stamp()));
    assert_eq!(claim.writes[0].condition, stamp);
    let fence = RowCondition::Equals(FENCE, AttributeValue::Number(9));
    assert_eq!(claim.writes[1].condition, fence);
    assert_eq!(claim.writes[1].pk, "fence/vm-2");
    assert_eq!(claim.writes[0].pk, "slot/r/zone-a");
}

// Guards against a renewal or release of a slot that another VM has taken over.
#[test]
fn renewal_and_release_depend_on_the_own_row() {
    let held = row(2);
    let own = RowCondition::Equals(STAMP, AttributeValue::Text(held.stamp()));
    let (renewed, write) = renewal_write(&key(), &held);
    assert_eq!(renewed.renewal, 3);
    assert_eq!(write.condition, own);
    let release = release_write(&key(), &held);
    assert_eq!((release.condition, release.attributes), (own, None));
}

//! Leases on slots: the lease of a holder always expires before an observer may
//! take the slot over.

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

/// Generates the timings of table calls in milliseconds: the pause before a call,
/// the time until it takes effect, and the further time until the response.
fn call_timings(len: usize) -> impl Strategy<Value = Vec<(u64, u64, u64)>> {
    prop::collection::vec((0_u64..900, 0_u64..900, 0_u64..900), 1..len)
}

/// Returns the times at which each write is sent and takes effect. Each write
/// creates one row version, in order.
fn simulate_writes(timings: &[(u64, u64, u64)]) -> Vec<(u64, u64)> {
    let mut now = 0;
    let mut writes = Vec::new();
    for (pause, until_effect, until_response) in timings {
        let sent = now + pause;
        writes.push((sent, sent + until_effect));
        now = sent + until_effect + until_response;
    }
    writes
}

/// Returns the start time, the row version read and the end time of each read.
fn simulate_reads(
    timings: &[(u64, u64, u64)],
    writes: &[(u64, u64)],
) -> Vec<(u64, Option<u64>, u64)> {
    let mut now = 0;
    let mut reads = Vec::new();
    for (pause, until_effect, until_response) in timings {
        let started = now + pause;
        let seen_at = started + until_effect;
        let effective = writes.iter().filter(|(_, at)| *at <= seen_at).count();
        let version = (effective > 0).then_some(effective as u64);
        now = seen_at + until_response;
        reads.push((started, version, now));
    }
    reads
}

/// Returns the row version that the observer first finds expired, and the time of
/// that decision.
fn first_takeover(
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

    /// Guards against two VMs that hold the same slot at the same time, however long
    /// writes and reads take.
    #[test]
    fn holder_lease_expires_before_a_takeover(
        holder in call_timings(8),
        observer in call_timings(30),
    ) {
        let writes = simulate_writes(&holder);
        let reads = simulate_reads(&observer, &writes);
        let mut watch = SlotWatch::new(LEASE_MS);
        let takeover = first_takeover(&reads, |row, s, e| watch.observe(row, s, e));
        if let Some((version, decided_at)) = takeover {
            // The lease counts from the last write that took effect before the takeover.
            let index = usize::try_from(version).unwrap() - 1;
            let lease = HeldLease::new(row(version), MonoMs(writes[index].0), LEASE_MS);
            prop_assert!(!lease.is_valid(MonoMs(decided_at)));
        }
    }

    /// Guards against a watch that treats a slot as expired earlier than a naive
    /// observer, which measures from the start of the first read to the end of a
    /// later one.
    #[test]
    fn watch_expires_no_slot_before_a_naive_observer(
        holder in call_timings(8),
        observer in call_timings(30),
    ) {
        let writes = simulate_writes(&holder);
        let reads = simulate_reads(&observer, &writes);
        let mut watch = SlotWatch::new(LEASE_MS);
        let takeover = first_takeover(&reads, |row, s, e| watch.observe(row, s, e));
        let mut seen: Option<(SlotRow, MonoMs)> = None;
        let naive = first_takeover(&reads, |row, started, ended| {
            let Some(row) = row else { return SlotObservation::Free };
            match &seen {
                Some((first_row, at)) if first_row == row && ended.since_ms(*at) >= LEASE_MS => {
                    SlotObservation::Expired
                }
                Some((first_row, _)) if first_row == row => SlotObservation::Held,
                _ => {
                    seen = Some((row.clone(), started));
                    SlotObservation::Held
                }
            }
        });
        if let Some((_, decided_at)) = takeover {
            prop_assert!(naive.is_some_and(|(_, earlier)| earlier <= decided_at));
        }
    }
}

/// Guards against an overlap of two holders that arises if a holder measures its
/// lease from the response to a slow write, and an observer from the start of a
/// slow read.
#[test]
fn lease_and_watch_prevent_the_overlap_of_naive_clocks() {
    let naive_deadline = 950 + LEASE_MS;
    // The write takes effect at 10 ms and its response arrives at 950 ms. The reads
    // start at 0 ms and at 1,000 ms.
    let naive_takeover = LEASE_MS;
    assert!(
        naive_takeover < naive_deadline,
        "naive clocks must let both VMs hold the slot"
    );
    let lease = HeldLease::new(row(1), MonoMs(0), LEASE_MS);
    let mut watch = SlotWatch::new(LEASE_MS);
    let first = watch.observe(Some(&row(1)), MonoMs(0), MonoMs(20));
    assert_eq!(first, SlotObservation::Held);
    let second = watch.observe(Some(&row(1)), MonoMs(1_000), MonoMs(1_010));
    assert_eq!(second, SlotObservation::Held);
    assert!(!lease.is_valid(MonoMs(1_000)));
}

/// Guards against a holder that resumes after a long pause and still treats its
/// lease as valid.
#[test]
fn lease_of_a_holder_paused_past_its_deadline_is_invalid() {
    let mut lease = HeldLease::new(row(1), MonoMs(100), LEASE_MS);
    assert!(lease.is_valid(MonoMs(200)));
    assert!(!lease.renewal_due(MonoMs(200)));
    assert!(lease.renewal_due(MonoMs(500)));
    let resumed = MonoMs(60_000);
    assert!(!lease.is_valid(resumed));
    // A renewal extends the lease from the time at which it was sent, even if its
    // response arrives after the pause.
    assert!(!lease.record_renewal(row(2), MonoMs(300), resumed));
}

/// Guards against a takeover after which the engine still accepts orders of the
/// previous holder.
#[test]
fn takeover_raises_the_fence_and_is_conditional_on_the_observed_row() {
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

/// Guards against a renewal or release of a slot that another VM has taken over.
#[test]
fn renewal_and_release_are_conditional_on_the_held_row() {
    let held = row(2);
    let own = RowCondition::Equals(STAMP, AttributeValue::Text(held.stamp()));
    let (renewed, write) = renewal_write(&key(), &held);
    assert_eq!(renewed.renewal, 3);
    assert_eq!(write.condition, own);
    let release = release_write(&key(), &held);
    assert_eq!((release.condition, release.attributes), (own, None));
}

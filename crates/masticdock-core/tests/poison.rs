//! Compares crash counting with a naive implementation.

use compact_str::format_compact;
use masticdock_core::poison::{
    CrashRecord, CrashTracker, Fingerprint, PoisonPolicy, PoisonVerdict,
};
use masticdock_core::units::UnixMs;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(14),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

const POLICY: PoisonPolicy = PoisonPolicy {
    crash_limit: 3,
    retention_ms: 1_000,
};

fn record() -> impl Strategy<Value = CrashRecord> {
    // Few VMs and times, so that the same crash record occurs more than once.
    (0..3_u8, 0..4_u8, 0..20_u64).prop_map(|(fingerprint, vm, at)| CrashRecord {
        fingerprint: Fingerprint([fingerprint; 16]),
        vm: format_compact!("vm-{vm}"),
        at_unix_ms: UnixMs(at * 100),
    })
}

proptest! {
    #![proptest_config(config())]

    /// Guards against counting a crash twice because gossip delivers its record twice.
    #[test]
    fn each_distinct_crash_counts_once(
        records in prop::collection::vec(record(), 0..40),
        now in 0..4_000_u64,
        expired in any::<bool>(),
    ) {
        let mut tracker = CrashTracker::default();
        for record in &records {
            tracker.record(record);
        }
        if expired {
            tracker.expire(POLICY, UnixMs(now));
        }
        for byte in 0..4 {
            let fingerprint = Fingerprint([byte; 16]);
            let mut distinct: Vec<&CrashRecord> = Vec::new();
            for record in &records {
                let recent = now.saturating_sub(record.at_unix_ms.0) < POLICY.retention_ms;
                if record.fingerprint == fingerprint && recent && !distinct.contains(&record) {
                    distinct.push(record);
                }
            }
            let naive = match distinct.len() {
                0 => PoisonVerdict::Clear,
                1 | 2 => PoisonVerdict::Suspect,
                _ => PoisonVerdict::Rejected,
            };
            prop_assert_eq!(tracker.verdict(fingerprint, POLICY, UnixMs(now)), naive);
        }
    }

    /// Guards against requests that share a fingerprint because the concatenation of
    /// their parts is the same.
    #[test]
    fn fingerprints_are_equal_only_for_equal_parts(a in "[a-c]{0,3}", b in "[a-c]{0,3}", c in "[a-c]{0,3}", d in "[a-c]{0,3}") {
        let left = Fingerprint::of(&a, &b, b"x");
        let right = Fingerprint::of(&c, &d, b"x");
        prop_assert_eq!(left == right, a == c && b == d);
        prop_assert_eq!(left.to_string().parse::<Fingerprint>(), Ok(left));
    }
}

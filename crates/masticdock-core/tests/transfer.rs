//! Transfer decisions against naive versions.

use std::collections::BTreeSet;

use compact_str::{CompactString, format_compact};
use masticdock_core::ids::{Digest, RegionId, ZoneId};
use masticdock_core::rendezvous;
use masticdock_core::transfer::{
    ChunkSet, Fault, LatencyEstimate, Locality, OriginPlan, ReadTime, RegionView, Sender,
    SenderBackoff, TokenBucket, VmLocation, choose_neighbours, hedge_after_ms, pick,
    takeover_after_ms,
};
use masticdock_core::units::{BytesPerSecond, MonoMs, Share};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn check<S: Strategy>(strategy: &S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let mut runner = proptest::test_runner::TestRunner::new_with_rng(config, rng);
    runner.run(strategy, test).unwrap();
}

fn to_set(len: usize, chunks: &BTreeSet<usize>) -> ChunkSet {
    let mut set = ChunkSet::new(len);
    for &chunk in chunks {
        set.insert(chunk);
    }
    set
}

fn chunks(len: usize) -> impl Strategy<Value = BTreeSet<usize>> {
    prop::collection::btree_set(0..len, 0..len)
}

fn digests(count: usize) -> Vec<Digest> {
    (0..count)
        .map(|index| Digest::of(&index.to_le_bytes()))
        .collect()
}

fn names(count: usize) -> Vec<CompactString> {
    (0..count)
        .map(|index| format_compact!("vm-{index}"))
        .collect()
}

/// Guards against bitmaps that lose bits at word or byte borders.
#[test]
fn chunk_set_agrees_with_a_set_of_numbers() {
    let strategy = (1_usize..200).prop_flat_map(|len| (Just(len), chunks(len), chunks(len)));
    check(&strategy, |(len, a, b)| {
        let (set, other) = (to_set(len, &a), to_set(len, &b));
        prop_assert_eq!(&ChunkSet::from_bytes(len, &set.to_bytes()), &set);
        prop_assert_eq!(set.count(), a.len());
        prop_assert_eq!(set.iter().collect::<BTreeSet<_>>(), a.clone());
        let missing: BTreeSet<usize> = (0..len).filter(|chunk| !a.contains(chunk)).collect();
        prop_assert_eq!(set.iter_missing().collect::<BTreeSet<_>>(), missing);
        prop_assert_eq!(set.lacks_any_of(&other), !b.is_subset(&a));
        let mut union = set.clone();
        union.union_with(&other);
        prop_assert_eq!(union.iter().collect::<BTreeSet<_>>(), &a | &b);
        Ok(())
    });
}

/// Guards against a bitmap from a peer that names chunks beyond the manifest.
#[test]
fn bits_beyond_the_manifest_are_ignored() {
    let set = ChunkSet::from_bytes(10, &[0xff; 64]);
    assert_eq!(set.count(), 10);
    assert!(set.is_full());
}

/// Guards against a scheduler that takes a common chunk before a rare one, a
/// far sender before a near one, or one that is not available.
#[test]
fn pick_agrees_with_the_naive_version() {
    let len = 70;
    let sender = (chunks(len), 0_usize..3, any::<bool>(), 0_usize..3);
    let strategy = (
        chunks(len),
        chunks(len),
        prop::collection::vec(sender, 0..8),
        any::<u64>(),
    );
    check(&strategy, |(held, requested, drawn, seed)| {
        let localities = [
            Locality::SameZone,
            Locality::SameRegion,
            Locality::CrossRegion,
        ];
        let sets: Vec<ChunkSet> = drawn.iter().map(|(have, ..)| to_set(len, have)).collect();
        let mut senders = Vec::new();
        for ((_, locality, available, in_flight), have) in drawn.iter().zip(&sets) {
            senders.push(Sender {
                have,
                locality: localities[*locality],
                available: *available,
                in_flight: *in_flight,
            });
        }
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let picked = pick(
            &to_set(len, &held),
            &to_set(len, &requested),
            &senders,
            &mut rng,
        );

        let count = |chunk: usize| drawn.iter().filter(|(h, ..)| h.contains(&chunk)).count();
        let offers = |chunk: usize| {
            let of_chunk = senders.iter().filter(move |s| s.have.contains(chunk));
            of_chunk.filter(|s| s.available)
        };
        let wanted: Vec<usize> = (0..len)
            .filter(|chunk| !held.contains(chunk) && !requested.contains(chunk))
            .filter(|&chunk| offers(chunk).next().is_some())
            .collect();
        let rarest = wanted.iter().map(|&chunk| count(chunk)).min();
        prop_assert_eq!(picked.map(|p| count(p.chunk)), rarest);
        let Some(picked) = picked else {
            return Ok(());
        };
        prop_assert!(wanted.contains(&picked.chunk));
        let best = offers(picked.chunk)
            .map(|s| (s.locality, s.in_flight))
            .min();
        let chosen = &senders[picked.sender];
        prop_assert!(chosen.available && chosen.have.contains(picked.chunk));
        prop_assert_eq!(Some((chosen.locality, chosen.in_flight)), best);
        Ok(())
    });
}

/// Guards against neighbours outside the region, a VM that follows itself, and
/// zones that follow only themselves.
#[test]
fn neighbours_agree_with_the_naive_version() {
    let strategy = (
        prop::collection::vec((0_usize..2, 0_usize..3), 1..40),
        1_usize..12,
    );
    check(&strategy, |(places, limit)| {
        let regions: Vec<RegionId> = ["a", "b"].map(|r| r.parse().unwrap()).to_vec();
        let zones: Vec<ZoneId> = ["x", "y", "z"].map(|z| z.parse().unwrap()).to_vec();
        let ids = names(places.len());
        let mut peers = Vec::new();
        for ((region, zone), id) in places.iter().zip(&ids) {
            peers.push(VmLocation {
                id,
                region: &regions[*region],
                zone: &zones[*zone],
            });
        }
        let own = peers[0];
        let chosen = choose_neighbours(&own, &peers, limit);

        let in_region = |p: &&VmLocation<'_>| p.region == own.region && p.id != own.id;
        let others: Vec<&VmLocation<'_>> = peers.iter().filter(in_region).collect();
        prop_assert_eq!(chosen.len(), others.len().min(limit));
        let distinct: BTreeSet<usize> = chosen.iter().copied().collect();
        prop_assert_eq!(distinct.len(), chosen.len());
        prop_assert!(chosen.iter().all(|&i| in_region(&&peers[i])));
        let far = others.iter().filter(|p| p.zone != own.zone).count();
        let far_chosen = chosen.iter().filter(|&&i| peers[i].zone != own.zone);
        prop_assert!(far_chosen.count() >= far.min(limit / 2));
        Ok(())
    });
}

/// Guards against a bucket that lets more through than rate and burst allow,
/// or that never lets a large message pass.
#[test]
fn pacing_keeps_the_rate() {
    let strategy = (
        1_u64..5_000_000,
        prop::collection::vec(1_u64..2_000_000, 1..40),
    );
    check(&strategy, |(rate, sizes)| {
        let mut bucket = TokenBucket::new(BytesPerSecond(rate), MonoMs(0));
        let mut now = MonoMs(0);
        let mut sent_before = 0;
        for size in sizes {
            now = now.plus_ms(bucket.wait_ms(now));
            prop_assert_eq!(bucket.wait_ms(now), 0);
            // What was sent before this message took at least its time.
            let allowed = u128::from(rate) * u128::from(now.0 + 100);
            prop_assert!(u128::from(sent_before) * 1_000 <= allowed);
            bucket.take(size, now);
            sent_before += size;
        }
        Ok(())
    });
}

/// Guards against a chunk without a reader or with two, against a VM that takes
/// over before its time, and against reads of chunks that the region holds.
#[test]
fn origin_turns_agree_with_the_naive_version() {
    let len = 40;
    let strategy = (1_usize..8, chunks(len), 0_u64..1_000, 0_u64..4_000);
    check(&strategy, |(vms, known, takeover_after_ms, elapsed_ms)| {
        let vms = names(vms);
        let chunks = digests(len);
        let known_set = to_set(len, &known);
        let missing = (0..len).filter(|chunk| !known.contains(chunk));
        let open: Vec<usize> = missing.take(8).collect();
        for own in &vms {
            let mut plan = OriginPlan::new(own, vms.clone(), chunks.clone(), 3, Share::default());
            let view = |now| RegionView {
                held_in_region: &known_set,
                takeover_after_ms,
                now,
            };
            plan.scheduled_reads(&view(MonoMs(5)));
            let turns = plan.scheduled_reads(&view(MonoMs(5 + elapsed_ms)));
            let mut expected = Vec::new();
            for &chunk in &open {
                let key = chunks[chunk];
                let ranked = rendezvous::rank(key.as_bytes(), &vms, CompactString::as_str);
                let rank = ranked.iter().position(|vm| *vm == own).unwrap();
                let wait_ms = takeover_after_ms * rank as u64;
                if wait_ms <= elapsed_ms {
                    expected.push((chunk, ReadTime::Now));
                } else {
                    expected.push((chunk, ReadTime::At(MonoMs(5 + wait_ms))));
                }
            }
            prop_assert_eq!(turns, expected);
        }
        Ok(())
    });
}

fn extra_copies(regions: usize, weighting: u16) -> f64 {
    let chunks = digests(2_000);
    let share = Share::from_milli(weighting);
    let plan = OriginPlan::new("vm-0", names(4), chunks, regions, share);
    let extra: usize = (0..2_000).map(|chunk| plan.extra_readers(chunk)).sum();
    let per_region = u32::try_from(extra).unwrap();
    f64::from(per_region) / 2_000.0 * f64::from(u32::try_from(regions).unwrap())
}

/// Guards against more than four copies, and against a weighting without effect.
#[test]
fn weighting_sets_the_copies() {
    assert!(extra_copies(3, 0) == 0.0);
    assert!((0.4..0.6).contains(&extra_copies(3, 500)));
    assert!((0.7..=1.0).contains(&extra_copies(3, 1_000)));
    assert!((2.7..=3.0).contains(&extra_copies(1, 1_000)));
    assert!(extra_copies(4, 1_000) == 0.0);
    assert!(extra_copies(7, 1_000) == 0.0);
}

/// Guards against a further reader that takes a share of the origin's link while
/// the first one is in time, and against a weighting that changes no deadline.
#[test]
fn a_further_reader_starts_early_and_not_at_once() {
    let chunks = digests(1);
    let vms = names(5);
    let ranked = rendezvous::rank(chunks[0].as_bytes(), &vms, CompactString::as_str);
    let second = ranked[1].clone();
    let turn = |weighting| {
        // One region at full weighting: every chunk has further readers.
        let mut plan = OriginPlan::new(&second, vms.clone(), chunks.clone(), 1, weighting);
        let known = ChunkSet::new(1);
        plan.scheduled_reads(&RegionView {
            held_in_region: &known,
            takeover_after_ms: 9_000,
            now: MonoMs(1),
        })
    };
    assert_eq!(turn(Share::default()), [(0, ReadTime::At(MonoMs(9_001)))]);
    assert_eq!(turn(Share::WHOLE), [(0, ReadTime::At(MonoMs(4_501)))]);
}

/// Guards against further readers that go on while many chunks are taken over.
#[test]
fn further_readers_are_given_up() {
    let chunks = digests(100);
    let mut plan = OriginPlan::new("vm-0", names(4), chunks, 3, Share::WHOLE);
    let before: usize = (0..100).map(|chunk| plan.extra_readers(chunk)).sum();
    assert!(before > 0);
    let known = ChunkSet::new(100);
    for now in [MonoMs(0), MonoMs(1_000)] {
        plan.scheduled_reads(&RegionView {
            held_in_region: &known,
            takeover_after_ms: 500,
            now,
        });
    }
    let after: usize = (0..100).map(|chunk| plan.extra_readers(chunk)).sum();
    assert_eq!(after, 0);
}

/// Guards against a chunk that stays with a VM that is gone.
#[test]
fn next_rank_reads_at_once_when_the_first_is_gone() {
    let chunks = digests(1);
    let vms = names(5);
    let ranked = rendezvous::rank(chunks[0].as_bytes(), &vms, CompactString::as_str);
    let (first, second) = (ranked[0].clone(), ranked[1].clone());
    let mut plan = OriginPlan::new(&second, vms.clone(), chunks, 3, Share::default());
    let known = ChunkSet::new(1);
    let view = RegionView {
        held_in_region: &known,
        takeover_after_ms: 9_000,
        now: MonoMs(1),
    };
    assert_eq!(
        plan.scheduled_reads(&view),
        [(0, ReadTime::At(MonoMs(9_001)))]
    );
    plan.set_region_vms(vms.into_iter().filter(|vm| *vm != first).collect());
    assert_eq!(plan.scheduled_reads(&view), [(0, ReadTime::Now)]);
}

/// Guards against a sender that is asked again at once after a corrupt chunk,
/// and against a pause that never ends.
#[test]
fn penalties_grow_and_end() {
    let mut penalties = SenderBackoff::default();
    penalties.record_fault("a", Fault::Stalled, MonoMs(0));
    assert!(!penalties.is_available("a", MonoMs(1_999)));
    assert!(penalties.is_available("a", MonoMs(2_000)));
    penalties.record_fault("a", Fault::Stalled, MonoMs(2_000));
    assert!(!penalties.is_available("a", MonoMs(5_999)));
    penalties.record_success("a", MonoMs(6_000));
    penalties.record_fault("a", Fault::Corrupt, MonoMs(6_000));
    assert!(!penalties.is_available("a", MonoMs(15_999)));
    for _ in 0..100 {
        penalties.record_fault("a", Fault::Corrupt, MonoMs(16_000));
    }
    assert!(penalties.is_available("a", MonoMs(76_000)));
    assert!(penalties.is_available("b", MonoMs(0)));
}

/// Guards against deadlines below the time that a healthy slow link takes.
#[test]
fn deadlines_follow_measured_times() {
    let mut reply = LatencyEstimate::new(0);
    assert_eq!(hedge_after_ms(reply, 3_000), 3_000);
    for _ in 0..50 {
        reply.record(10_000);
    }
    assert!(hedge_after_ms(reply, 3_000) > 25_000);
    assert!(takeover_after_ms(reply, 3_000) > 20_000);
}

/// Guards against deadlines that grow with each takeover until nobody reads.
#[test]
fn takeovers_do_not_inflate_the_deadline() {
    let mut arrival = LatencyEstimate::new(3_000);
    for _ in 0..20 {
        let late_ms = 3 * takeover_after_ms(arrival, 1_000);
        arrival.record_arrival(late_ms, 1_000);
    }
    assert!(takeover_after_ms(arrival, 1_000) < 15_000);
}

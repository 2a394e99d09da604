//! Transfer decisions, compared with simple reference implementations.

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

fn chunk_set(len: usize, chunks: &BTreeSet<usize>) -> ChunkSet {
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

fn vm_ids(count: usize) -> Vec<CompactString> {
    (0..count)
        .map(|index| format_compact!("vm-{index}"))
        .collect()
}

/// Guards against bitmaps that lose bits at word or byte boundaries.
#[test]
fn chunk_set_matches_a_btree_set() {
    let strategy = (1_usize..200).prop_flat_map(|len| (Just(len), chunks(len), chunks(len)));
    check(&strategy, |(len, a, b)| {
        let (set, other) = (chunk_set(len, &a), chunk_set(len, &b));
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

/// Guards against a bitmap from a peer with bits set beyond the last chunk of
/// the manifest.
#[test]
fn bits_beyond_the_manifest_are_ignored() {
    let set = ChunkSet::from_bytes(10, &[0xff; 64]);
    assert_eq!(set.count(), 10);
    assert!(set.is_full());
}

/// Guards against requests for a common chunk before a rare one, to a sender at
/// a greater network distance than another, or to a sender that is unavailable.
#[test]
fn pick_matches_the_reference_implementation() {
    let len = 70;
    let sender = (chunks(len), 0_usize..3, any::<bool>(), 0_usize..3);
    let strategy = (
        chunks(len),
        chunks(len),
        prop::collection::vec(sender, 0..8),
        any::<u64>(),
    );
    check(&strategy, |(held, requested, specs, seed)| {
        let localities = [
            Locality::SameZone,
            Locality::SameRegion,
            Locality::CrossRegion,
        ];
        let sets: Vec<ChunkSet> = specs
            .iter()
            .map(|(have, ..)| chunk_set(len, have))
            .collect();
        let mut senders = Vec::new();
        for ((_, locality, available, in_flight), have) in specs.iter().zip(&sets) {
            senders.push(Sender {
                have,
                locality: localities[*locality],
                available: *available,
                in_flight: *in_flight,
            });
        }
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let picked = pick(
            &chunk_set(len, &held),
            &chunk_set(len, &requested),
            &senders,
            &mut rng,
        );

        let count = |chunk: usize| specs.iter().filter(|(h, ..)| h.contains(&chunk)).count();
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

/// Guards against neighbours outside the region, a VM that is its own neighbour,
/// and zones whose VMs have neighbours in the same zone only.
#[test]
fn neighbours_match_the_reference_implementation() {
    let strategy = (
        prop::collection::vec((0_usize..2, 0_usize..3), 1..40),
        1_usize..12,
    );
    check(&strategy, |(locations, limit)| {
        let regions: Vec<RegionId> = ["a", "b"].map(|r| r.parse().unwrap()).to_vec();
        let zones: Vec<ZoneId> = ["x", "y", "z"].map(|z| z.parse().unwrap()).to_vec();
        let ids = vm_ids(locations.len());
        let mut peers = Vec::new();
        for ((region, zone), id) in locations.iter().zip(&ids) {
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
        let other_zone = others.iter().filter(|p| p.zone != own.zone).count();
        let chosen_other_zone = chosen.iter().filter(|&&i| peers[i].zone != own.zone);
        prop_assert!(chosen_other_zone.count() >= other_zone.min(limit / 2));
        Ok(())
    });
}

/// Guards against a bucket that exceeds its rate and burst, or that never allows
/// a large message.
#[test]
fn token_bucket_keeps_the_configured_rate() {
    let strategy = (
        1_u64..5_000_000,
        prop::collection::vec(1_u64..2_000_000, 1..40),
    );
    check(&strategy, |(rate, sizes)| {
        let mut bucket = TokenBucket::new(BytesPerSecond(rate), MonoMs(0));
        let mut now = MonoMs(0);
        let mut sent = 0;
        for size in sizes {
            now = now.plus_ms(bucket.wait_ms(now));
            prop_assert_eq!(bucket.wait_ms(now), 0);
            // Everything sent before this message fits into the rate and the burst.
            let allowed = u128::from(rate) * u128::from(now.0 + 100);
            prop_assert!(u128::from(sent) * 1_000 <= allowed);
            bucket.take(size, now);
            sent += size;
        }
        Ok(())
    });
}

/// Guards against a chunk with no reader or with two, a takeover before its time,
/// and origin reads of chunks that the region already holds.
#[test]
fn origin_reads_match_the_reference_implementation() {
    let len = 40;
    let strategy = (1_usize..8, chunks(len), 0_u64..1_000, 0_u64..4_000);
    check(&strategy, |(vms, known, takeover_after_ms, elapsed_ms)| {
        let vms = vm_ids(vms);
        let chunks = digests(len);
        let known_set = chunk_set(len, &known);
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
            let reads = plan.scheduled_reads(&view(MonoMs(5 + elapsed_ms)));
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
            prop_assert_eq!(reads, expected);
        }
        Ok(())
    });
}

fn mean_extra_copies(regions: usize, weighting: u16) -> f64 {
    let chunks = digests(2_000);
    let share = Share::from_milli(weighting);
    let plan = OriginPlan::new("vm-0", vm_ids(4), chunks, regions, share);
    let extra: usize = (0..2_000).map(|chunk| plan.extra_readers(chunk)).sum();
    let per_region = u32::try_from(extra).unwrap();
    f64::from(per_region) / 2_000.0 * f64::from(u32::try_from(regions).unwrap())
}

/// Guards against more than four copies read from the origin, and against an
/// origin weighting without effect.
#[test]
fn origin_weighting_sets_the_number_of_extra_copies() {
    assert!(mean_extra_copies(3, 0) == 0.0);
    assert!((0.4..0.6).contains(&mean_extra_copies(3, 500)));
    assert!((0.7..=1.0).contains(&mean_extra_copies(3, 1_000)));
    assert!((2.7..=3.0).contains(&mean_extra_copies(1, 1_000)));
    assert!(mean_extra_copies(4, 1_000) == 0.0);
    assert!(mean_extra_copies(7, 1_000) == 0.0);
}

/// Guards against an extra reader that takes a share of the origin's link while
/// the first reader is on time, and against a weighting that does not change the
/// start time.
#[test]
fn extra_reader_starts_before_the_takeover_time_but_not_at_once() {
    let chunks = digests(1);
    let vms = vm_ids(5);
    let ranked = rendezvous::rank(chunks[0].as_bytes(), &vms, CompactString::as_str);
    let second = ranked[1].clone();
    let scheduled_read = |weighting| {
        // With one region at full weighting, every chunk has extra readers.
        let mut plan = OriginPlan::new(&second, vms.clone(), chunks.clone(), 1, weighting);
        let known = ChunkSet::new(1);
        plan.scheduled_reads(&RegionView {
            held_in_region: &known,
            takeover_after_ms: 9_000,
            now: MonoMs(1),
        })
    };
    assert_eq!(
        scheduled_read(Share::default()),
        [(0, ReadTime::At(MonoMs(9_001)))]
    );
    assert_eq!(
        scheduled_read(Share::WHOLE),
        [(0, ReadTime::At(MonoMs(4_501)))]
    );
}

/// Guards against extra readers that push the copies read from the origin over
/// their limit while many chunks are taken over.
#[test]
fn extra_readers_stop_when_too_many_chunks_are_overdue() {
    let chunks = digests(100);
    let mut plan = OriginPlan::new("vm-0", vm_ids(4), chunks, 3, Share::WHOLE);
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

/// Guards against a chunk that stays assigned to a VM that left the region.
#[test]
fn next_rank_reads_at_once_after_the_first_rank_leaves() {
    let chunks = digests(1);
    let vms = vm_ids(5);
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

/// Guards against an immediate retry with a sender that sent a corrupt chunk, and
/// against a backoff that never ends.
#[test]
fn backoff_doubles_and_expires() {
    let mut backoff = SenderBackoff::default();
    backoff.record_fault("a", Fault::Stalled, MonoMs(0));
    assert!(!backoff.is_available("a", MonoMs(1_999)));
    assert!(backoff.is_available("a", MonoMs(2_000)));
    backoff.record_fault("a", Fault::Stalled, MonoMs(2_000));
    assert!(!backoff.is_available("a", MonoMs(5_999)));
    backoff.record_success("a", MonoMs(6_000));
    backoff.record_fault("a", Fault::Corrupt, MonoMs(6_000));
    assert!(!backoff.is_available("a", MonoMs(15_999)));
    for _ in 0..100 {
        backoff.record_fault("a", Fault::Corrupt, MonoMs(16_000));
    }
    assert!(backoff.is_available("a", MonoMs(76_000)));
    assert!(backoff.is_available("b", MonoMs(0)));
}

/// Guards against timeouts that are shorter than a reply over a slow but healthy
/// link.
#[test]
fn timeouts_grow_with_measured_latency() {
    let mut reply = LatencyEstimate::new(0);
    assert_eq!(hedge_after_ms(reply, 3_000), 3_000);
    for _ in 0..50 {
        reply.record(10_000);
    }
    assert!(hedge_after_ms(reply, 3_000) > 25_000);
    assert!(takeover_after_ms(reply, 3_000) > 20_000);
}

/// Guards against a takeover time that grows with each takeover until no VM reads
/// the chunk.
#[test]
fn late_arrivals_do_not_inflate_the_takeover_time() {
    let mut arrival = LatencyEstimate::new(3_000);
    for _ in 0..20 {
        let late_ms = 3 * takeover_after_ms(arrival, 1_000);
        arrival.record_arrival(late_ms, 1_000);
    }
    assert!(takeover_after_ms(arrival, 1_000) < 15_000);
}

//! Measures single transfer decisions of one VM at several fleet sizes: the
//! selection of neighbours, the schedule of origin reads and the selection of
//! the next chunk.

use std::hint::black_box;

use compact_str::{CompactString, format_compact};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use masticdock_core::ids::{Digest, RegionId, ZoneId};
use masticdock_core::transfer::{
    ChunkSet, Locality, OriginPlan, RegionView, Sender, VmLocation, choose_neighbours, pick,
};
use masticdock_core::units::{MonoMs, Share};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NEIGHBOURS: usize = 20;
const REGIONS: usize = 3;

fn random_half(chunks: usize, rng: &mut ChaCha8Rng) -> ChunkSet {
    let mut set = ChunkSet::new(chunks);
    for chunk in 0..chunks {
        if rng.random_bool(0.5) {
            set.insert(chunk);
        }
    }
    set
}

fn digests(chunks: usize) -> Vec<Digest> {
    (0..chunks)
        .map(|index| Digest::of(&index.to_le_bytes()))
        .collect()
}

fn bench_pick(c: &mut Criterion) {
    let mut group = c.benchmark_group("pick");
    for chunks in [100, 300, 1_000] {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let held = random_half(chunks, &mut rng);
        let requested = ChunkSet::new(chunks);
        let sets: Vec<ChunkSet> = (0..NEIGHBOURS)
            .map(|_| random_half(chunks, &mut rng))
            .collect();
        let mut senders = Vec::new();
        for have in &sets {
            senders.push(Sender {
                have,
                locality: Locality::SameRegion,
                available: true,
                in_flight: 0,
            });
        }
        group.bench_function(BenchmarkId::from_parameter(chunks), |b| {
            b.iter(|| pick(black_box(&held), &requested, &senders, &mut rng));
        });
    }
    group.finish();
}

fn bench_scheduled_reads(c: &mut Criterion) {
    let mut group = c.benchmark_group("origin_turns_after_a_change_of_vms");
    for (vms, chunks) in [(100, 100), (600, 300), (1_800, 1_000)] {
        let region_vms: Vec<CompactString> = (0..vms / REGIONS)
            .map(|index| format_compact!("vm-{index}"))
            .collect();
        let known = ChunkSet::new(chunks);
        let digests = digests(chunks);
        group.bench_function(BenchmarkId::from_parameter(vms), |b| {
            b.iter(|| {
                let mut plan = OriginPlan::new(
                    "vm-1",
                    region_vms.clone(),
                    digests.clone(),
                    REGIONS,
                    Share::default(),
                );
                plan.scheduled_reads(&RegionView {
                    held_in_region: black_box(&known),
                    takeover_after_ms: 1_000,
                    now: MonoMs(0),
                })
            });
        });
    }
    group.finish();
}

fn bench_neighbours(c: &mut Criterion) {
    let mut group = c.benchmark_group("choose_neighbours");
    for vms in [100, 600, 1_800] {
        let regions: Vec<RegionId> = ["a", "b", "c"].map(|r| r.parse().unwrap()).to_vec();
        let zones: Vec<ZoneId> = ["x", "y", "z"].map(|z| z.parse().unwrap()).to_vec();
        let ids: Vec<CompactString> = (0..vms).map(|i| format_compact!("vm-{i}")).collect();
        let mut peers = Vec::new();
        for (index, id) in ids.iter().enumerate() {
            peers.push(VmLocation {
                id,
                region: &regions[index % REGIONS],
                zone: &zones[index / REGIONS % 3],
            });
        }
        group.bench_function(BenchmarkId::from_parameter(vms), |b| {
            b.iter(|| choose_neighbours(&peers[0], black_box(&peers), 10));
        });
    }
    group.finish();
}

criterion_group!(benches, bench_pick, bench_scheduled_reads, bench_neighbours);
criterion_main!(benches);

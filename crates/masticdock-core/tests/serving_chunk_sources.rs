//! Tests of the selection of chunk and manifest sources, simulated for whole fleets.

use masticdock_core::ids::RegionId;
use masticdock_core::serving::{
    ChunkPeer, ChunkSource, ChunkSourceSelector, is_reader_due, is_region_nearly_complete,
};

const CHUNKS: usize = 48;

struct Fleet {
    peers: Vec<ChunkPeer>,
}

impl Fleet {
    fn new(regions: &[(&str, usize)], complete: &[usize]) -> Self {
        let mut peers: Vec<ChunkPeer> = Vec::new();
        for (region, count) in regions {
            for _ in 0..*count {
                peers.push(ChunkPeer {
                    name: format!("10.0.0.{}", peers.len()).into(),
                    region: region.parse().unwrap(),
                    complete: complete.contains(&peers.len()),
                });
            }
        }
        Self { peers }
    }

    fn with_selector<T>(
        &self,
        own: usize,
        origin: Option<&RegionId>,
        query: impl Fn(&ChunkSourceSelector) -> T,
    ) -> T {
        let others = self.others(own);
        query(&ChunkSourceSelector {
            own_name: &self.peers[own].name,
            region: &self.peers[own].region,
            origin_region: origin,
            peers: &others,
        })
    }

    fn others(&self, own: usize) -> Vec<ChunkPeer> {
        let mut others = self.peers.clone();
        others.remove(own);
        others
    }

    /// Returns the agent that `own` requests a chunk from across regions, or `None` for
    /// the origin.
    fn cross_region_peer(
        &self,
        own: usize,
        origin: Option<&RegionId>,
        chunk: usize,
        attempt: u32,
    ) -> Option<usize> {
        match self.with_selector(own, origin, |selector| {
            selector.cross_region_source(chunk, attempt)
        }) {
            ChunkSource::Origin => None,
            ChunkSource::Peer(index) => Some(if index < own { index } else { index + 1 }),
        }
    }

    /// Returns the agents of a region by their rank as readers of a chunk.
    fn readers(&self, region: &str, chunk: usize) -> Vec<usize> {
        let mut readers: Vec<usize> = (0..self.peers.len())
            .filter(|own| self.peers[*own].region.as_str() == region)
            .collect();
        readers.sort_by_key(|own| self.with_selector(*own, None, |selector| selector.rank(chunk)));
        readers
    }
}

const REGIONS: [(&str, usize); 3] = [("wien", 6), ("tirol", 5), ("steiermark", 5)];

/// Guards against chunks that leave the origin, or cross to a region, more than once.
#[test]
fn each_chunk_leaves_the_origin_once_and_enters_each_region_once() {
    let fleet = Fleet::new(&REGIONS, &[]);
    let origin: RegionId = "tirol".parse().unwrap();
    for chunk in 0..CHUNKS {
        let origin_reader = fleet.readers("tirol", chunk)[0];
        assert_eq!(
            fleet.cross_region_peer(origin_reader, Some(&origin), chunk, 0),
            None
        );
        for region in ["wien", "steiermark"] {
            let reader = fleet.readers(region, chunk)[0];
            // The peer that is asked is the one that reads the chunk from the origin.
            assert_eq!(
                fleet.cross_region_peer(reader, Some(&origin), chunk, 0),
                Some(origin_reader)
            );
        }
    }
}

/// Guards against regions in which two agents, or none, consider themselves the first
/// reader of a chunk.
#[test]
fn the_agents_of_a_region_agree_on_the_ranking_of_readers() {
    let fleet = Fleet::new(&REGIONS, &[]);
    let mut first_reader_counts = vec![0; fleet.peers.len()];
    for chunk in 0..CHUNKS {
        for (region, count) in REGIONS {
            let readers = fleet.readers(region, chunk);
            for (rank, own) in readers.iter().enumerate() {
                assert_eq!(
                    fleet.with_selector(*own, None, |selector| selector.rank(chunk)),
                    rank
                );
            }
            assert_eq!(readers.len(), count);
            first_reader_counts[readers[0]] += 1;
        }
    }
    // No agent is the first reader of more than half of the chunks.
    assert!(
        first_reader_counts
            .iter()
            .all(|times_first| *times_first * 2 <= CHUNKS),
        "{first_reader_counts:?}"
    );
}

/// Guards against load on the origin although another region holds the version.
#[test]
fn peers_of_another_region_with_the_version_are_preferred_to_the_origin() {
    let fleet = Fleet::new(&REGIONS, &[0, 1]);
    let origin: RegionId = "tirol".parse().unwrap();
    for chunk in 0..CHUNKS {
        let reader = fleet.readers("steiermark", chunk)[0];
        let asked = fleet.cross_region_peer(reader, Some(&origin), chunk, 0);
        assert!(
            asked == Some(0) || asked == Some(1),
            "chunk {chunk}: {asked:?}"
        );
    }
}

/// Guards against retries that keep asking the same dead agent.
#[test]
fn failed_attempts_try_other_peers_and_then_the_origin() {
    let fleet = Fleet::new(&REGIONS, &[]);
    let origin: RegionId = "tirol".parse().unwrap();
    for chunk in 0..CHUNKS {
        let reader = fleet.readers("wien", chunk)[0];
        let first = fleet.cross_region_peer(reader, Some(&origin), chunk, 0);
        let second = fleet.cross_region_peer(reader, Some(&origin), chunk, 1);
        assert_ne!(first, second);
        assert_eq!(
            fleet.cross_region_peer(reader, Some(&origin), chunk, 3),
            None
        );
    }
}

/// Guards against a deadlock of agents that all wait for each other when the region of
/// the origin is unknown.
#[test]
fn one_agent_reads_from_the_origin_when_its_region_is_unknown() {
    let fleet = Fleet::new(&REGIONS, &[]);
    for chunk in 0..CHUNKS {
        let from_origin = (0..fleet.peers.len())
            .filter(|own| fleet.cross_region_peer(*own, None, chunk, 0).is_none())
            .count();
        assert_eq!(from_origin, 1, "chunk {chunk}");
    }
    let alone = Fleet::new(&[("wien", 1)], &[]);
    assert_eq!(alone.cross_region_peer(0, None, 0, 0), None);
}

/// Returns the number of agents that request the manifest from the origin on `attempt`.
fn manifest_readers(fleet: &Fleet, attempt: u32) -> usize {
    (0..fleet.peers.len())
        .filter(|own| {
            fleet.with_selector(*own, None, |selector| selector.manifest_source(attempt))
                == ChunkSource::Origin
        })
        .count()
}

/// Guards against a hundred agents that ask an origin limited to 48 connections at once.
#[test]
fn few_agents_read_the_manifest_from_the_origin() {
    let fleet = Fleet::new(&[("a", 25), ("b", 25), ("c", 24), ("d", 24)], &[]);
    for attempt in 0..3 {
        assert_eq!(manifest_readers(&fleet, attempt), 2, "attempt {attempt}");
    }
    // The readers may be dead, so every fourth attempt of each agent asks the origin.
    assert_eq!(manifest_readers(&fleet, 3), 98);
}

/// Guards against a cycle of agents that wait for each other's manifest.
#[test]
fn every_chain_of_manifest_sources_ends_at_the_origin() {
    let fleet = Fleet::new(&[("a", 9), ("b", 3), ("c", 1)], &[]);
    for first in 0..fleet.peers.len() {
        let mut own = first;
        for hop in 0.. {
            assert!(hop <= 2, "agent {first}");
            match fleet.with_selector(own, None, |selector| selector.manifest_source(0)) {
                ChunkSource::Origin => break,
                ChunkSource::Peer(index) if index < own => own = index,
                ChunkSource::Peer(index) => own = index + 1,
            }
        }
    }
}

/// Guards against a region that waits the full timeout of two seconds for a few chunks
/// from a reader with a slow link.
#[test]
fn the_next_reader_takes_over_late_chunks_early() {
    assert!(!is_region_nearly_complete(39, CHUNKS));
    assert!(is_region_nearly_complete(40, CHUNKS));
    // The first reader is always due.
    assert!(is_reader_due(0, 0, None));
    // Until the region is nearly complete the next reader waits for the full timeout.
    assert!(!is_reader_due(1, 1_500, None));
    assert!(!is_reader_due(1, 1_500, Some(499)));
    assert!(is_reader_due(1, 1_500, Some(500)));
    assert!(!is_reader_due(2, 1_500, Some(500)));
    assert!(is_reader_due(1, 2_200, None));
}

/// Guards against a reader that takes over and asks the same slow peer as the reader
/// before it.
#[test]
fn readers_of_a_region_ask_different_peers_in_the_region_of_the_origin() {
    let fleet = Fleet::new(&[("a", 6), ("b", 6)], &[]);
    let origin: RegionId = "a".parse().unwrap();
    for chunk in 0..CHUNKS {
        let mut asked: Vec<usize> = (6..12)
            .filter_map(|own| fleet.cross_region_peer(own, Some(&origin), chunk, 0))
            .collect();
        asked.sort_unstable();
        assert_eq!(asked, [0, 1, 2, 3, 4, 5], "chunk {chunk}");
    }
}

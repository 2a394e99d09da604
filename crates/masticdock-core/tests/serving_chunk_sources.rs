//! Where agents ask for pieces, played over whole fleets.

use masticdock_core::ids::RegionId;
use masticdock_core::serving::{
    ChunkPeer, ChunkSource, ChunkSourceSelector, is_reader_due, is_region_nearly_complete,
};

const PIECES: usize = 48;

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

    fn with<T>(
        &self,
        own: usize,
        origin: Option<&RegionId>,
        ask: impl Fn(&ChunkSourceSelector) -> T,
    ) -> T {
        let others = self.others(own);
        ask(&ChunkSourceSelector {
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

    /// Returns the agent that `own` asks from afar, or `None` for the origin.
    fn far(
        &self,
        own: usize,
        origin: Option<&RegionId>,
        piece: usize,
        attempt: u32,
    ) -> Option<usize> {
        match self.with(own, origin, |sources| {
            sources.cross_region_source(piece, attempt)
        }) {
            ChunkSource::Origin => None,
            ChunkSource::Peer(index) => Some(if index < own { index } else { index + 1 }),
        }
    }

    /// Returns the agents of a region in the order in which they read a piece.
    fn readers(&self, region: &str, piece: usize) -> Vec<usize> {
        let mut readers: Vec<usize> = (0..self.peers.len())
            .filter(|own| self.peers[*own].region.as_str() == region)
            .collect();
        readers.sort_by_key(|own| self.with(*own, None, |sources| sources.rank(piece)));
        readers
    }
}

const REGIONS: [(&str, usize); 3] = [("wien", 6), ("tirol", 5), ("steiermark", 5)];

/// Guards against copies that leave the origin, or cross to a region, more than once.
#[test]
fn each_piece_leaves_the_origin_once_and_enters_each_region_once() {
    let fleet = Fleet::new(&REGIONS, &[]);
    let origin: RegionId = "tirol".parse().unwrap();
    for piece in 0..PIECES {
        let beside_origin = fleet.readers("tirol", piece)[0];
        assert_eq!(fleet.far(beside_origin, Some(&origin), piece, 0), None);
        for region in ["wien", "steiermark"] {
            let reader = fleet.readers(region, piece)[0];
            // The agent that is asked reads the piece from the origin itself.
            assert_eq!(
                fleet.far(reader, Some(&origin), piece, 0),
                Some(beside_origin)
            );
        }
    }
}

/// Guards against two agents of a region that think they come first, or none.
#[test]
fn the_agents_of_a_region_agree_on_the_order_of_readers() {
    let fleet = Fleet::new(&REGIONS, &[]);
    let mut duties = vec![0; fleet.peers.len()];
    for piece in 0..PIECES {
        for (region, count) in REGIONS {
            let readers = fleet.readers(region, piece);
            for (rank, own) in readers.iter().enumerate() {
                assert_eq!(fleet.with(*own, None, |sources| sources.rank(piece)), rank);
            }
            assert_eq!(readers.len(), count);
            duties[readers[0]] += 1;
        }
    }
    // Nobody reads more than half of the pieces for its region.
    assert!(duties.iter().all(|duty| *duty * 2 <= PIECES), "{duties:?}");
}

/// Guards against a region that burdens the origin although another one holds the version.
#[test]
fn holders_of_another_region_go_before_the_origin() {
    let fleet = Fleet::new(&REGIONS, &[0, 1]);
    let origin: RegionId = "tirol".parse().unwrap();
    for piece in 0..PIECES {
        let reader = fleet.readers("steiermark", piece)[0];
        let asked = fleet.far(reader, Some(&origin), piece, 0);
        assert!(
            asked == Some(0) || asked == Some(1),
            "piece {piece}: {asked:?}"
        );
    }
}

/// Guards against asking a dead agent again and again.
#[test]
fn failed_attempts_move_on_to_other_agents_and_end_at_the_origin() {
    let fleet = Fleet::new(&REGIONS, &[]);
    let origin: RegionId = "tirol".parse().unwrap();
    for piece in 0..PIECES {
        let reader = fleet.readers("wien", piece)[0];
        let first = fleet.far(reader, Some(&origin), piece, 0);
        let second = fleet.far(reader, Some(&origin), piece, 1);
        assert_ne!(first, second);
        assert_eq!(fleet.far(reader, Some(&origin), piece, 3), None);
    }
}

/// Guards against agents that all wait for each other where the origin's region is unknown.
#[test]
fn without_the_origins_region_one_agent_reads_from_the_origin() {
    let fleet = Fleet::new(&REGIONS, &[]);
    for piece in 0..PIECES {
        let from_origin = (0..fleet.peers.len())
            .filter(|own| fleet.far(*own, None, piece, 0).is_none())
            .count();
        assert_eq!(from_origin, 1, "piece {piece}");
    }
    let alone = Fleet::new(&[("wien", 1)], &[]);
    assert_eq!(alone.far(0, None, 0, 0), None);
}

/// Counts who asks the origin for the manifest, for one attempt of every agent.
fn manifest_readers(fleet: &Fleet, attempt: u32) -> usize {
    (0..fleet.peers.len())
        .filter(|own| {
            fleet.with(*own, None, |sources| sources.manifest_source(attempt))
                == ChunkSource::Origin
        })
        .count()
}

/// Guards against a hundred agents that ask an origin of 48 connections at once.
#[test]
fn few_agents_read_the_manifest_from_the_origin() {
    let fleet = Fleet::new(&[("a", 25), ("b", 25), ("c", 24), ("d", 24)], &[]);
    for attempt in 0..3 {
        assert_eq!(manifest_readers(&fleet, attempt), 2, "attempt {attempt}");
    }
    // Readers may be dead, so each agent asks the origin once in a while.
    assert_eq!(manifest_readers(&fleet, 3), 98);
}

/// Guards against agents that wait for each other's manifest in a circle.
#[test]
fn every_way_to_the_manifest_ends_at_the_origin() {
    let fleet = Fleet::new(&[("a", 9), ("b", 3), ("c", 1)], &[]);
    for first in 0..fleet.peers.len() {
        let mut own = first;
        for hop in 0.. {
            assert!(hop <= 2, "agent {first}");
            match fleet.with(own, None, |sources| sources.manifest_source(0)) {
                ChunkSource::Origin => break,
                ChunkSource::Peer(index) if index < own => own = index,
                ChunkSource::Peer(index) => own = index + 1,
            }
        }
    }
}

/// Guards against a region that waits two seconds for the few pieces of a reader
/// whose link is squeezed.
#[test]
fn the_next_reader_takes_over_late_pieces_early() {
    assert!(!is_region_nearly_complete(39, PIECES));
    assert!(is_region_nearly_complete(40, PIECES));
    // The first reader always reads.
    assert!(is_reader_due(0, 0, None));
    // While most pieces are on their way the next one waits.
    assert!(!is_reader_due(1, 1_500, None));
    assert!(!is_reader_due(1, 1_500, Some(499)));
    assert!(is_reader_due(1, 1_500, Some(500)));
    assert!(!is_reader_due(2, 1_500, Some(500)));
    assert!(is_reader_due(1, 2_200, None));
}

/// Guards against a reader that takes over and asks the slow peer again.
#[test]
fn readers_of_a_region_ask_different_agents_beside_the_origin() {
    let fleet = Fleet::new(&[("a", 6), ("b", 6)], &[]);
    let origin: RegionId = "a".parse().unwrap();
    for piece in 0..PIECES {
        let mut asked: Vec<usize> = (6..12)
            .filter_map(|own| fleet.far(own, Some(&origin), piece, 0))
            .collect();
        asked.sort_unstable();
        assert_eq!(asked, [0, 1, 2, 3, 4, 5], "piece {piece}");
    }
}

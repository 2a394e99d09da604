//! Where agents ask for pieces, played over whole fleets.

use masticdock_core::ids::RegionId;
use masticdock_core::serving::{PeerPieces, PieceSource, PieceSources};

const PIECES: usize = 48;

struct Fleet {
    peers: Vec<PeerPieces>,
}

impl Fleet {
    fn new(regions: &[(&str, usize)], complete: &[usize]) -> Self {
        let mut peers: Vec<PeerPieces> = Vec::new();
        for (region, count) in regions {
            for _ in 0..*count {
                peers.push(PeerPieces {
                    name: format!("10.0.0.{}", peers.len()).into(),
                    region: region.parse().unwrap(),
                    complete: complete.contains(&peers.len()),
                });
            }
        }
        Self { peers }
    }

    /// Returns the agent that `own` asks, or `None` for the origin.
    fn source(
        &self,
        own: usize,
        origin: Option<&RegionId>,
        piece: usize,
        attempt: u32,
    ) -> Option<usize> {
        let others: Vec<PeerPieces> = self
            .peers
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != own)
            .map(|(_, peer)| peer.clone())
            .collect();
        let sources = PieceSources {
            own: &self.peers[own].name,
            region: &self.peers[own].region,
            origin_region: origin,
            peers: &others,
        };
        match sources.source(piece, attempt) {
            PieceSource::Origin => None,
            PieceSource::Peer(index) => Some(if index < own { index } else { index + 1 }),
        }
    }

    /// Follows the sources of a piece until the origin or a holder.
    fn chain(&self, own: usize, origin: &RegionId, piece: usize) -> Vec<usize> {
        let mut chain = Vec::new();
        let mut at = own;
        while let Some(next) = self.source(at, Some(origin), piece, 0) {
            chain.push(next);
            assert!(
                chain.len() <= 3,
                "the chain of piece {piece} from {own} is {chain:?}"
            );
            if self.peers[next].complete {
                break;
            }
            at = next;
        }
        chain
    }
}

const REGIONS: [(&str, usize); 3] = [("wien", 6), ("tirol", 5), ("steiermark", 5)];

/// Guards against copies that leave the origin, or cross a region, more than once.
#[test]
fn each_piece_leaves_the_origin_once_and_enters_each_region_once() {
    let fleet = Fleet::new(&REGIONS, &[]);
    let origin: RegionId = "tirol".parse().unwrap();
    for piece in 0..PIECES {
        let mut from_origin = 0;
        let mut crossings = 0;
        for own in 0..fleet.peers.len() {
            match fleet.source(own, Some(&origin), piece, 0) {
                None => {
                    assert_eq!(fleet.peers[own].region, origin);
                    from_origin += 1;
                }
                Some(peer) if fleet.peers[peer].region != fleet.peers[own].region => {
                    crossings += 1;
                }
                Some(_) => {}
            }
        }
        assert_eq!((from_origin, crossings), (1, 2), "piece {piece}");
    }
}

/// Guards against agents that wait for each other in a circle.
#[test]
fn every_chain_of_readers_ends() {
    let fleet = Fleet::new(&REGIONS, &[]);
    let origin: RegionId = "tirol".parse().unwrap();
    for own in 0..fleet.peers.len() {
        for piece in 0..PIECES {
            fleet.chain(own, &origin, piece);
        }
    }
}

/// Guards against an added upstream that burdens the origin although neighbours hold the version.
#[test]
fn holders_nearby_serve_an_added_upstream() {
    let holders = [0, 1, 2];
    let fleet = Fleet::new(&REGIONS, &holders);
    let origin: RegionId = "tirol".parse().unwrap();
    let mut asked = [0; 3];
    for piece in 0..PIECES {
        let peer = fleet.source(5, Some(&origin), piece, 0).unwrap();
        assert!(holders.contains(&peer), "piece {piece} is asked of {peer}");
        asked[peer] += 1;
    }
    // No holder serves more than three fifths of the pieces.
    assert!(
        asked.iter().all(|count| *count * 5 < PIECES * 3),
        "{asked:?}"
    );
}

/// Guards against asking a dead reader again and again.
#[test]
fn failed_attempts_move_on_to_other_peers_and_end_at_the_origin() {
    let fleet = Fleet::new(&REGIONS, &[0, 1, 2]);
    let origin: RegionId = "tirol".parse().unwrap();
    for piece in 0..PIECES {
        let first = fleet.source(5, Some(&origin), piece, 0);
        let second = fleet.source(5, Some(&origin), piece, 1);
        assert_ne!(first, second);
        assert_eq!(fleet.source(5, Some(&origin), piece, 3), None);
    }
}

/// Guards against an upstream that is alone and waits for nobody.
#[test]
fn a_single_agent_reads_from_the_origin() {
    let fleet = Fleet::new(&[("wien", 1)], &[]);
    assert_eq!(fleet.source(0, None, 0, 0), None);
}

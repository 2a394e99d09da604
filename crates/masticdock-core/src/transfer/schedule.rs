//! Choice of the next chunk and its sender: rarest first.

use rand::Rng;

use super::{ChunkSet, Locality};

/// A neighbour as the scheduler sees it.
#[derive(Debug, Clone, Copy)]
pub struct Sender<'a> {
    /// Chunks that the neighbour holds.
    pub have: &'a ChunkSet,
    /// How near it is.
    pub locality: Locality,
    /// False while it is paused or has enough requests of this VM; it still
    /// counts for the rarity of its chunks.
    pub available: bool,
    /// Requests of this VM that it has not answered.
    pub in_flight: usize,
}

/// A chunk and the sender to ask for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pick {
    /// Index of the chunk.
    pub chunk: usize,
    /// Index in the list of senders.
    pub sender: usize,
}

/// Chooses a chunk outside `held` and `requested` that the fewest senders hold,
/// and the nearest and least busy available sender of it. Ties are drawn, so
/// that VMs which see the same bitmaps ask for different chunks.
pub fn pick(
    held: &ChunkSet,
    requested: &ChunkSet,
    senders: &[Sender<'_>],
    rng: &mut impl Rng,
) -> Option<Pick> {
    let chunk = rarest(held, requested, senders, rng)?;
    let sender = nearest(chunk, senders, rng)?;
    Some(Pick { chunk, sender })
}

fn rarest(
    held: &ChunkSet,
    requested: &ChunkSet,
    senders: &[Sender<'_>],
    rng: &mut impl Rng,
) -> Option<usize> {
    let mut best = None;
    let mut best_count = usize::MAX;
    let mut ties = 0_u32;
    for (at, (held, requested)) in held.words().iter().zip(requested.words()).enumerate() {
        let mut offered = 0;
        for sender in senders {
            if sender.available {
                offered |= sender.have.words().get(at).copied().unwrap_or(0);
            }
        }
        let mut wanted = offered & !held & !requested;
        while wanted != 0 {
            let chunk = at * 64 + wanted.trailing_zeros() as usize;
            wanted &= wanted - 1;
            let count = holders(chunk, senders);
            if count > best_count {
                continue;
            }
            if count < best_count {
                best_count = count;
                ties = 0;
            }
            ties += 1;
            if rng.random_range(0..ties) == 0 {
                best = Some(chunk);
            }
        }
    }
    best
}

fn holders(chunk: usize, senders: &[Sender<'_>]) -> usize {
    senders
        .iter()
        .filter(|sender| sender.have.contains(chunk))
        .count()
}

fn nearest(chunk: usize, senders: &[Sender<'_>], rng: &mut impl Rng) -> Option<usize> {
    let mut best: Option<usize> = None;
    let mut ties = 0_u32;
    for (index, sender) in senders.iter().enumerate() {
        if !sender.available || !sender.have.contains(chunk) {
            continue;
        }
        let key = (sender.locality, sender.in_flight);
        let best_key = best.map(|at| (senders[at].locality, senders[at].in_flight));
        if best_key.is_some_and(|best_key| key > best_key) {
            continue;
        }
        if best_key != Some(key) {
            ties = 0;
        }
        ties += 1;
        if rng.random_range(0..ties) == 0 {
            best = Some(index);
        }
    }
    best
}

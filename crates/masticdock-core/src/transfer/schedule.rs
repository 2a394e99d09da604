//! Selection of the next chunk to request and its sender, rarest chunk first.

use rand::Rng;

use super::{ChunkSet, Locality};

/// State of a neighbour that the selection takes into account.
#[derive(Debug, Clone, Copy)]
pub struct Sender<'a> {
    /// Chunks that the neighbour holds.
    pub have: &'a ChunkSet,
    /// Network distance to the neighbour.
    pub locality: Locality,
    /// False while the neighbour is backed off or at its limit of requests in
    /// flight from this VM. It still counts towards the rarity of its chunks.
    pub available: bool,
    /// Number of requests in flight from this VM to the neighbour.
    pub in_flight: usize,
}

/// A chunk and the sender to request it from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pick {
    /// Index of the chunk.
    pub chunk: usize,
    /// Index in the list of senders.
    pub sender: usize,
}

/// Selects the chunk outside `held` and `requested` that the fewest senders
/// hold, and the available sender of it with the smallest network distance, then
/// the fewest requests in flight.
///
/// Ties are broken at random, so that VMs that see the same bitmaps request
/// different chunks.
pub fn pick(
    held: &ChunkSet,
    requested: &ChunkSet,
    senders: &[Sender<'_>],
    rng: &mut impl Rng,
) -> Option<Pick> {
    let chunk = rarest_chunk(held, requested, senders, rng)?;
    let sender = best_sender(chunk, senders, rng)?;
    Some(Pick { chunk, sender })
}

fn rarest_chunk(
    held: &ChunkSet,
    requested: &ChunkSet,
    senders: &[Sender<'_>],
    rng: &mut impl Rng,
) -> Option<usize> {
    let mut best = None;
    let mut best_count = usize::MAX;
    let mut ties = 0_u32;
    for (word_index, (held, requested)) in held.words().iter().zip(requested.words()).enumerate() {
        let mut offered = 0;
        for sender in senders {
            if sender.available {
                offered |= sender.have.words().get(word_index).copied().unwrap_or(0);
            }
        }
        let mut candidates = offered & !held & !requested;
        while candidates != 0 {
            let chunk = word_index * 64 + candidates.trailing_zeros() as usize;
            candidates &= candidates - 1;
            let count = count_holders(chunk, senders);
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

fn count_holders(chunk: usize, senders: &[Sender<'_>]) -> usize {
    senders
        .iter()
        .filter(|sender| sender.have.contains(chunk))
        .count()
}

fn best_sender(chunk: usize, senders: &[Sender<'_>], rng: &mut impl Rng) -> Option<usize> {
    let mut best: Option<usize> = None;
    let mut ties = 0_u32;
    for (index, sender) in senders.iter().enumerate() {
        if !sender.available || !sender.have.contains(chunk) {
            continue;
        }
        let key = (sender.locality, sender.in_flight);
        let best_key = best.map(|chosen| (senders[chosen].locality, senders[chosen].in_flight));
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

//! Rendezvous (highest-random-weight) hashing.
//!
//! Processes that know the same candidates rank them for a key in the same order
//! without coordination, and adding or removing a candidate moves only the keys
//! that rank it first.

/// Returns the weight of `candidate` for `key`; the highest weight ranks first.
#[must_use]
pub fn weight(key: &[u8], candidate: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key);
    // The separator makes ("ab", "c") and ("a", "bc") hash differently.
    hasher.update(&[0]);
    hasher.update(candidate.as_bytes());
    let mut truncated = [0; 8];
    truncated.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(truncated)
}

/// Sorts `candidates` by weight for `key`, highest first, and equal weights by name.
pub fn rank<'a, T>(key: &[u8], candidates: &'a [T], name: impl Fn(&T) -> &str) -> Vec<&'a T> {
    let mut weighted: Vec<(u64, &T)> = Vec::with_capacity(candidates.len());
    for candidate in candidates {
        weighted.push((weight(key, name(candidate)), candidate));
    }
    weighted.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| name(a.1).cmp(name(b.1))));
    weighted
        .into_iter()
        .map(|(_, candidate)| candidate)
        .collect()
}

/// Returns the number of candidates that rank before `own` for `key`, or `None`
/// when `own` is not a candidate.
pub fn position<T>(
    key: &[u8],
    candidates: &[T],
    name: impl Fn(&T) -> &str,
    own: &str,
) -> Option<usize> {
    let own_weight = weight(key, own);
    let mut higher_ranked = 0;
    let mut found = false;
    for candidate in candidates {
        let other = name(candidate);
        if other == own {
            found = true;
            continue;
        }
        let other_weight = weight(key, other);
        if other_weight > own_weight || (other_weight == own_weight && other < own) {
            higher_ranked += 1;
        }
    }
    found.then_some(higher_ranked)
}

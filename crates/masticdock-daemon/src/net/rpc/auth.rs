//! Proof that a caller holds the key that all masticdock processes share.

/// Length of the nonce of a challenge, in bytes.
pub(super) const NONCE_LEN: usize = 32;

/// Returns the keyed BLAKE3 hash of the nonce and the caller's id.
pub(super) fn mac(key: &[u8; 32], nonce: &[u8], id: &str) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    // The nonce has a fixed length, so the concatenation of nonce and id is unambiguous.
    hasher.update(nonce);
    hasher.update(id.as_bytes());
    hasher.finalize()
}

/// Checks a MAC in constant time.
pub(super) fn verify(key: &[u8; 32], nonce: &[u8], id: &str, claimed: &[u8]) -> bool {
    let Ok(claimed) = <[u8; 32]>::try_from(claimed) else {
        return false;
    };
    // `blake3::Hash` compares in constant time.
    mac(key, nonce, id) == blake3::Hash::from_bytes(claimed)
}

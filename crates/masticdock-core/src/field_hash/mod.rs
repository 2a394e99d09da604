//! Hash of a list of byte strings.

/// Returns the first `N` bytes, 32 at most, of the hash of `fields`.
pub(crate) fn hash_fields<const N: usize>(fields: &[&[u8]]) -> [u8; N] {
    let mut hasher = blake3::Hasher::new();
    for field in fields {
        // The length prefix keeps different splits of the same bytes distinct.
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    let mut first_bytes = [0; N];
    first_bytes.copy_from_slice(&hasher.finalize().as_bytes()[..N]);
    first_bytes
}

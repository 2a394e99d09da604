//! Reading of files that hold secrets; contents are never logged.

use std::path::Path;

use anyhow::{Context, bail};

/// Context string of the key derivation; changing it locks out all other processes.
const PEER_KEY_CONTEXT: &str = "masticdock 2026-12-04 peer key v1";

/// Shortest accepted peer key, in bytes.
const PEER_KEY_LEN_MIN: usize = 16;

/// Reads the key that all masticdock processes share.
///
/// # Errors
///
/// Fails when the file cannot be read or holds too little.
pub(crate) fn read_peer_key(path: &Path) -> anyhow::Result<[u8; 32]> {
    let content = std::fs::read(path)
        .with_context(|| format!("cannot read security.peer_key_file {}", path.display()))?;
    let content = content.trim_ascii();
    if content.len() < PEER_KEY_LEN_MIN {
        bail!(
            "{} holds fewer than {PEER_KEY_LEN_MIN} bytes; tip: write a long random text",
            path.display()
        );
    }
    Ok(blake3::derive_key(PEER_KEY_CONTEXT, content))
}

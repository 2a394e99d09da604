//! Reading of files that hold secrets; contents are never logged.

#[cfg(test)]
mod tests;

use std::fmt;
use std::fs::File;
use std::io::Read;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

use anyhow::{Context, bail, ensure};
use masticdock_core::ids::OperatorId;

/// Context string of the key derivation; changing it locks out all other processes.
const PEER_KEY_CONTEXT: &str = "masticdock 2026-12-04 peer key v1";

/// Shortest accepted peer key, in bytes.
const PEER_KEY_LEN_MIN: usize = 16;

/// Shortest accepted operator token, in bytes.
const TOKEN_LEN_MIN: usize = 16;

/// Largest file with secrets.
const FILE_BYTES_MAX: u64 = 1 << 20;

/// Permission bits of users other than the owner and the group.
const OTHERS: u32 = 0o007;

/// Reads a file that only its owner and group may access.
fn read(path: &Path, field: &str) -> anyhow::Result<Vec<u8>> {
    let shown = path.display();
    let mut file = File::open(path).with_context(|| format!("cannot read {field} {shown}"))?;
    // The mode is that of the opened file, so a file exchanged meanwhile is not read unchecked.
    let mode = file.metadata()?.permissions().mode();
    ensure!(
        mode & OTHERS == 0,
        "{field} {shown} is open to other users; tip: run `chmod o= {shown}` and replace the secret"
    );
    let mut content = Vec::new();
    file.by_ref()
        .take(FILE_BYTES_MAX)
        .read_to_end(&mut content)
        .with_context(|| format!("cannot read {field} {shown}"))?;
    Ok(content)
}

/// Reads the key that all masticdock processes share.
///
/// # Errors
///
/// Fails when the file cannot be read, is open to other users or holds too little.
pub(crate) fn read_peer_key(path: &Path) -> anyhow::Result<[u8; 32]> {
    let content = read(path, "security.peer_key_file")?;
    let content = content.trim_ascii();
    if content.len() < PEER_KEY_LEN_MIN {
        bail!(
            "{} holds fewer than {PEER_KEY_LEN_MIN} bytes; tip: write a long random text",
            path.display()
        );
    }
    Ok(blake3::derive_key(PEER_KEY_CONTEXT, content))
}

/// Operators and the digests of their tokens.
#[derive(Clone)]
pub(crate) struct OperatorTokens(Vec<(blake3::Hash, OperatorId)>);

impl fmt::Debug for OperatorTokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "OperatorTokens({} tokens)", self.0.len())
    }
}

impl OperatorTokens {
    /// Reads a file with one `operator:token` pair a line; blank lines and
    /// lines that begin with `#` are left out.
    ///
    /// # Errors
    ///
    /// Names the line that is wrong, never its content.
    pub(crate) fn read(path: &Path) -> anyhow::Result<Self> {
        let content = read(path, "operator_tokens_file")?;
        let shown = path.display();
        let Ok(text) = String::from_utf8(content) else {
            bail!("{shown} is not UTF-8 text");
        };
        let mut tokens = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let number = index + 1;
            // The last colon separates, because operators' names may hold colons.
            let Some((operator, token)) = line.rsplit_once(':') else {
                bail!("{shown}:{number}: there is no colon; tip: write `operator:token`");
            };
            let Ok(operator) = operator.parse::<OperatorId>() else {
                bail!(
                    "{shown}:{number}: the operator's name is invalid; tip: use letters, digits and `-`"
                );
            };
            if token.len() < TOKEN_LEN_MIN {
                bail!(
                    "{shown}:{number}: the token has fewer than {TOKEN_LEN_MIN} bytes; tip: use a long random text"
                );
            }
            tokens.push((blake3::hash(token.as_bytes()), operator));
        }
        ensure!(
            !tokens.is_empty(),
            "{shown} holds no token; tip: write `operator:token`"
        );
        Ok(Self(tokens))
    }

    /// Returns the operator who presents `token`.
    ///
    /// Digests are compared, in constant time, so the time tells nothing about the tokens.
    pub(crate) fn operator_of(&self, token: &str) -> Option<OperatorId> {
        let digest = blake3::hash(token.as_bytes());
        let found = self.0.iter().find(|(known, _)| *known == digest)?;
        Some(found.1.clone())
    }
}

//! Reads files that hold secrets; their contents are never logged.

#[cfg(test)]
mod tests;

use std::fmt;
use std::fs::File;
use std::io::Read;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

use anyhow::{Context, bail, ensure};
use masticdock_core::ids::OperatorId;

/// Context string of the key derivation; processes with different context strings cannot
/// authenticate each other.
const PEER_KEY_CONTEXT: &str = "masticdock 2026-12-04 peer key v1";

/// Minimum length of the peer key, in bytes.
const PEER_KEY_LEN_MIN: usize = 16;

/// Minimum length of an operator token, in bytes.
const TOKEN_LEN_MIN: usize = 16;

/// Maximum number of bytes read from a file with secrets.
const FILE_BYTES_MAX: u64 = 1 << 20;

/// Permission bits for users other than the owner and the group.
const OTHER_USERS_MODE: u32 = 0o007;

/// Reads a file with secrets, which only its owner and group may have access to.
fn read(path: &Path, field: &str) -> anyhow::Result<Vec<u8>> {
    let shown = path.display();
    let mut file = File::open(path).with_context(|| format!("cannot read {field} {shown}"))?;
    // The mode is read from the open file, so a file replaced after the check cannot be read
    // unchecked.
    let mode = file.metadata()?.permissions().mode();
    ensure!(
        mode & OTHER_USERS_MODE == 0,
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
/// Fails when the file cannot be read, is accessible to other users or is shorter than
/// [`PEER_KEY_LEN_MIN`].
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

/// Operators with the digests of their tokens.
#[derive(Clone)]
pub(crate) struct OperatorTokens(Vec<(blake3::Hash, OperatorId)>);

impl fmt::Debug for OperatorTokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "OperatorTokens({} tokens)", self.0.len())
    }
}

impl OperatorTokens {
    /// Reads a file with one `operator:token` pair per line; blank lines and lines that begin
    /// with `#` are skipped.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read, is accessible to other users or has a malformed line;
    /// the error names the line, never its content.
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
            // The last colon is the separator, because operator names may contain colons.
            let Some((operator, token)) = line.rsplit_once(':') else {
                bail!("{shown}:{number}: missing colon; tip: write `operator:token`");
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

    /// Returns the operator to whom `token` belongs.
    ///
    /// Digests are compared in constant time, so that timing reveals nothing about the tokens.
    pub(crate) fn operator_of(&self, token: &str) -> Option<OperatorId> {
        let digest = blake3::hash(token.as_bytes());
        let found = self.0.iter().find(|(known, _)| *known == digest)?;
        Some(found.1.clone())
    }
}

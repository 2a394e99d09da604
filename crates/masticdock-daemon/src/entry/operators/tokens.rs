//! Bearer tokens of operators.

use std::path::Path;

use anyhow::{Context as _, bail};
use masticdock_core::ids::OperatorId;

/// Shortest accepted token, in bytes.
const TOKEN_LEN_MIN: usize = 16;

/// Operators by the digest of their token; the tokens themselves are not kept.
pub(super) struct Tokens {
    by_digest: Vec<(blake3::Hash, OperatorId)>,
}

impl Tokens {
    /// Reads a file with one `operator:token` pair a line; `#` starts a comment line.
    pub(super) fn read(path: &Path) -> anyhow::Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("cannot read operator_tokens_file {}", path.display()))?;
        let mut by_digest = Vec::new();
        for (line, number) in text.lines().zip(1..) {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            // An operator id may hold colons, a token may not.
            let Some((operator, token)) = line.rsplit_once(':') else {
                bail!("{}:{number}: no `operator:token` pair", path.display());
            };
            if token.len() < TOKEN_LEN_MIN {
                bail!(
                    "{}:{number}: the token is shorter than {TOKEN_LEN_MIN} bytes; \
                     tip: write a long random text",
                    path.display()
                );
            }
            let operator = operator
                .parse()
                .with_context(|| format!("{}:{number}", path.display()))?;
            by_digest.push((blake3::hash(token.as_bytes()), operator));
        }
        Ok(Self { by_digest })
    }

    /// Returns the operator of a token.
    ///
    /// Digests are compared, in constant time, so timing tells nothing about tokens.
    pub(super) fn operator_of(&self, token: &str) -> Option<OperatorId> {
        let digest = blake3::hash(token.as_bytes());
        let mut found = None;
        for (known, operator) in &self.by_digest {
            if *known == digest {
                found = Some(operator.clone());
            }
        }
        found
    }
}

//! BLAKE3 digests.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::ParseIdError;

/// BLAKE3 digest of a chunk, a manifest or the complete weights of a version.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct Digest([u8; Digest::LEN]);

impl Digest {
    /// Length of a digest, in bytes.
    pub const LEN: usize = 32;

    /// Computes the digest of `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Creates a digest from its raw bytes.
    #[must_use]
    pub const fn from_bytes(bytes: [u8; Self::LEN]) -> Self {
        Self(bytes)
    }

    /// Returns the raw bytes.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; Self::LEN] {
        &self.0
    }
}

impl TryFrom<&[u8]> for Digest {
    type Error = ParseIdError;

    fn try_from(bytes: &[u8]) -> Result<Self, Self::Error> {
        let Ok(raw_bytes) = bytes.try_into() else {
            return Err(ParseIdError::new(
                "digest",
                "",
                "it is not 32 bytes long",
                "pass the whole digest",
            ));
        };
        Ok(Self(raw_bytes))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl FromStr for Digest {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let Ok(hash) = blake3::Hash::from_hex(text) else {
            return Err(ParseIdError::new(
                "digest",
                text,
                "it is not 64 hexadecimal digits",
                "copy the whole BLAKE3 digest",
            ));
        };
        Ok(Self(*hash.as_bytes()))
    }
}

impl TryFrom<CompactString> for Digest {
    type Error = ParseIdError;

    fn try_from(text: CompactString) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Digest> for CompactString {
    fn from(digest: Digest) -> Self {
        compact_str::format_compact!("{digest}")
    }
}

/// Computes a digest incrementally.
#[derive(Debug, Clone, Default)]
pub struct DigestHasher(blake3::Hasher);

impl DigestHasher {
    /// Appends `bytes` to the hashed data.
    pub fn update(&mut self, bytes: &[u8]) {
        self.0.update(bytes);
    }

    /// Returns the digest of the data appended so far.
    #[must_use]
    pub fn finish(&self) -> Digest {
        Digest(*self.0.finalize().as_bytes())
    }
}

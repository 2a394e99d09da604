//! Manifests: what a version or an adapter consists of.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::{Digest, DigestHasher};
use crate::units::ByteCount;

/// Largest number of chunks; keeps have-bitmaps at 1 KiB.
pub const CHUNKS_MAX: usize = 8_192;

/// Lists the chunks of one version or adapter in order.
///
/// Manifests are stored as JSON under `manifests/<digest of the JSON>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Path of the weights at the origin.
    pub object: CompactString,
    /// Size of all weights.
    pub total_bytes: ByteCount,
    /// Size of each chunk but the last.
    pub chunk_bytes: ByteCount,
    /// Digest of each chunk, in order.
    pub chunks: Vec<Digest>,
    /// Digest of the whole weights.
    pub root: Digest,
}

/// Kind of a [`ManifestError`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum ManifestErrorKind {
    /// The stored bytes do not have the digest that names them.
    DigestMismatch,
    /// The bytes are no manifest.
    Malformed,
    /// Sizes and the number of chunks contradict each other.
    SizeMismatch,
}

/// Reports an unusable manifest.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("field `{field}` of the manifest: {message}; tip: publish the version again")]
pub struct ManifestError {
    /// Kind of the error.
    pub kind: ManifestErrorKind,
    /// Field that is wrong.
    pub field: &'static str,
    /// What is wrong with it.
    pub message: String,
}

impl Manifest {
    /// Builds the manifest of `weights` in memory.
    ///
    /// # Panics
    ///
    /// Panics when `chunk_bytes` is 0.
    #[must_use]
    pub fn build(object: &str, weights: &[u8], chunk_bytes: usize) -> Self {
        Self::from_chunks(object, chunk_bytes, weights.chunks(chunk_bytes))
    }

    /// Builds the manifest of weights that are read chunk by chunk.
    ///
    /// Each chunk but the last must hold `chunk_bytes`.
    pub fn from_chunks<C: AsRef<[u8]>>(
        object: &str,
        chunk_bytes: usize,
        chunks: impl IntoIterator<Item = C>,
    ) -> Self {
        let mut digests = Vec::new();
        let mut total_bytes = 0;
        let mut whole = DigestHasher::default();
        for chunk in chunks {
            let chunk = chunk.as_ref();
            digests.push(Digest::of(chunk));
            whole.update(chunk);
            total_bytes += chunk.len() as u64;
        }
        Self {
            object: CompactString::new(object),
            total_bytes: ByteCount(total_bytes),
            chunk_bytes: ByteCount(chunk_bytes as u64),
            chunks: digests,
            root: whole.finish(),
        }
    }

    /// Parses stored bytes and checks them against the digest that names them.
    ///
    /// # Errors
    ///
    /// Names the field that is wrong.
    pub fn parse(bytes: &[u8], digest: &Digest) -> Result<Self, ManifestError> {
        if Digest::of(bytes) != *digest {
            return Err(ManifestError {
                kind: ManifestErrorKind::DigestMismatch,
                field: "manifest",
                message: format!("the stored bytes do not have the digest {digest}"),
            });
        }
        let manifest: Self = serde_json::from_slice(bytes).map_err(|error| ManifestError {
            kind: ManifestErrorKind::Malformed,
            field: "manifest",
            message: error.to_string(),
        })?;
        manifest.check()?;
        Ok(manifest)
    }

    /// Returns the manifest as stored, and its digest.
    #[must_use]
    pub fn encode(&self) -> (Vec<u8>, Digest) {
        // Serialising plain fields to memory does not fail.
        let bytes = serde_json::to_vec(self).unwrap_or_default();
        let digest = Digest::of(&bytes);
        (bytes, digest)
    }

    fn check(&self) -> Result<(), ManifestError> {
        let size_error = |field, message: &str| ManifestError {
            kind: ManifestErrorKind::SizeMismatch,
            field,
            message: message.to_owned(),
        };
        if self.chunk_bytes.0 == 0 {
            return Err(size_error("chunk_bytes", "it is 0"));
        }
        if self.chunks.len() > CHUNKS_MAX {
            return Err(size_error("chunks", "there are more than 8192"));
        }
        let expected = self.total_bytes.0.div_ceil(self.chunk_bytes.0);
        if expected != self.chunks.len() as u64 || self.chunks.is_empty() {
            return Err(size_error(
                "chunks",
                "their number does not match `total_bytes` and `chunk_bytes`",
            ));
        }
        Ok(())
    }

    /// Returns the byte range `(offset, length)` of a chunk.
    #[must_use]
    pub fn range(&self, index: usize) -> (u64, u64) {
        let offset = index as u64 * self.chunk_bytes.0;
        let length = self
            .chunk_bytes
            .0
            .min(self.total_bytes.0.saturating_sub(offset));
        (offset, length)
    }

    /// Checks that chunks in order make up the whole, by size and root digest.
    ///
    /// # Errors
    ///
    /// Names the field that disagrees.
    pub fn verify_chunks<'a>(
        &self,
        chunks: impl Iterator<Item = &'a [u8]>,
    ) -> Result<(), ManifestError> {
        let mut hasher = DigestHasher::default();
        let mut total_bytes = 0;
        for chunk in chunks {
            hasher.update(chunk);
            total_bytes += chunk.len() as u64;
        }
        if total_bytes != self.total_bytes.0 {
            return Err(ManifestError {
                kind: ManifestErrorKind::SizeMismatch,
                field: "total_bytes",
                message: format!("the chunks hold {total_bytes} bytes"),
            });
        }
        if hasher.finish() != self.root {
            return Err(ManifestError {
                kind: ManifestErrorKind::DigestMismatch,
                field: "root",
                message: "the chunks together do not have the root digest".to_owned(),
            });
        }
        Ok(())
    }
}

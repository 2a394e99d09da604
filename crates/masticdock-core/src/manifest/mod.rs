//! Manifests: the chunks and digests of the weights of a version or an adapter.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::{Digest, DigestHasher};
use crate::units::ByteCount;

/// Maximum number of chunks of a manifest. It limits the bitmap of the chunks that
/// a VM holds to 1 KiB.
pub const CHUNKS_MAX: usize = 8_192;

/// List of the chunks of one version or adapter, in order.
///
/// Manifests are stored as JSON under `manifests/<digest of the JSON>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Path of the weights at the origin.
    pub object: CompactString,
    /// Total size of the weights.
    pub total_bytes: ByteCount,
    /// Size of each chunk; the last one may be smaller.
    pub chunk_bytes: ByteCount,
    /// Digest of each chunk, in order.
    pub chunks: Vec<Digest>,
    /// Digest of the complete weights.
    pub root: Digest,
}

/// Kind of a [`ManifestError`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum ManifestErrorKind {
    /// Data does not match its digest.
    DigestMismatch,
    /// The bytes are not a manifest.
    Malformed,
    /// The sizes or the number of chunks are invalid or inconsistent.
    SizeMismatch,
}

/// Error of an invalid manifest or of weights that do not match a manifest.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("field `{field}` of the manifest: {message}; tip: publish the version again")]
pub struct ManifestError {
    /// Kind of the error.
    pub kind: ManifestErrorKind,
    /// Invalid or mismatched field of the manifest.
    pub field: &'static str,
    /// Description of the error.
    pub message: String,
}

impl Manifest {
    /// Builds the manifest of `weights`, which are held in memory.
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
    /// Each chunk except the last must have a size of `chunk_bytes`.
    pub fn from_chunks<C: AsRef<[u8]>>(
        object: &str,
        chunk_bytes: usize,
        chunks: impl IntoIterator<Item = C>,
    ) -> Self {
        let mut digests = Vec::new();
        let mut total_bytes = 0;
        let mut root_hasher = DigestHasher::default();
        for chunk in chunks {
            let chunk = chunk.as_ref();
            digests.push(Digest::of(chunk));
            root_hasher.update(chunk);
            total_bytes += chunk.len() as u64;
        }
        Self {
            object: CompactString::new(object),
            total_bytes: ByteCount(total_bytes),
            chunk_bytes: ByteCount(chunk_bytes as u64),
            chunks: digests,
            root: root_hasher.finish(),
        }
    }

    /// Parses a stored manifest after verifying that its bytes match `digest`.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid field.
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

    /// Returns the manifest in its stored form, and the digest of that form.
    #[must_use]
    pub fn encode(&self) -> (Vec<u8>, Digest) {
        // Serializing plain fields to memory does not fail.
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
            return Err(size_error("chunk_bytes", "must not be 0"));
        }
        if self.chunks.len() > CHUNKS_MAX {
            return Err(size_error("chunks", "more than 8192 chunks"));
        }
        let expected = self.total_bytes.0.div_ceil(self.chunk_bytes.0);
        if expected != self.chunks.len() as u64 || self.chunks.is_empty() {
            return Err(size_error(
                "chunks",
                "the number of chunks does not match `total_bytes` and `chunk_bytes`",
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

    /// Verifies that the chunks, in order, make up the complete weights by size and
    /// root digest.
    ///
    /// # Errors
    ///
    /// Returns an error that names the field that does not match.
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
                message: format!("the chunks have a total size of {total_bytes} bytes"),
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

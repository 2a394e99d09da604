//! Cache of manifests read from the object store.

use std::collections::BTreeMap;
use std::sync::Arc;

use masticdock_core::event;
use masticdock_core::ids::Digest;
use masticdock_core::manifest::Manifest;
use masticdock_core::units::MonoMs;
use masticdock_platform::{PlatformError, PlatformErrorKind};

use super::target::{Target, UnusableError, WeightsRef};
use crate::event_log::log_event;

/// Time after which a failed read is retried.
const READ_RETRY_MS: u64 = 5_000;

/// Reason why a manifest could not be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ManifestFailure {
    /// The stored object is missing or invalid.
    Unusable(UnusableError),
    /// The object store does not answer.
    Unavailable(String),
}

/// Result of one read.
pub(super) type ManifestRead = Result<Arc<Manifest>, ManifestFailure>;

/// Parses and verifies a read from the object store; runs on a worker thread.
///
/// # Errors
///
/// Fails if the object is missing or invalid, or if the object store does not answer.
pub(super) fn check_read(digest: &Digest, read: Result<Vec<u8>, PlatformError>) -> ManifestRead {
    let bytes = read.map_err(|error| match error.kind {
        PlatformErrorKind::NotFound => ManifestFailure::Unusable(UnusableError::new(
            "manifest",
            format!("the object store has no `{}`", object_key(digest)),
        )),
        _ => ManifestFailure::Unavailable(error.to_string()),
    })?;
    let manifest = Manifest::parse(&bytes, digest).map_err(|error| {
        ManifestFailure::Unusable(UnusableError::new(error.field, error.to_string()))
    })?;
    Ok(Arc::new(manifest))
}

/// Returns the key of a manifest in the object store.
pub(super) fn object_key(digest: &Digest) -> String {
    format!("manifests/{digest}")
}

#[derive(Debug)]
enum Entry {
    Reading,
    Cached(Arc<Manifest>),
    Failed(ManifestFailure, MonoMs),
}

/// Result of looking up the manifests of a target.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Lookup {
    /// Reads are in progress.
    Pending,
    /// All manifests are cached and match their resources; the version's comes first.
    Ready(Vec<Arc<Manifest>>),
    /// A manifest is missing or invalid.
    Unusable(UnusableError),
}

/// Cache of the manifests that the agent uses.
#[derive(Debug, Default)]
pub(super) struct ManifestCache {
    entries: BTreeMap<Digest, Entry>,
}

impl ManifestCache {
    /// Looks up the manifests of a target and adds the digests to read to `reads`.
    pub(super) fn lookup(
        &mut self,
        target: &Target,
        now: MonoMs,
        reads: &mut Vec<Digest>,
    ) -> Lookup {
        let mut manifests = Vec::new();
        let mut pending = false;
        for weights in target.all_weights() {
            match self.lookup_one(weights, now, reads) {
                Ok(Some(manifest)) => manifests.push(manifest),
                Ok(None) => pending = true,
                Err(error) => return Lookup::Unusable(error),
            }
        }
        if pending {
            return Lookup::Pending;
        }
        Lookup::Ready(manifests)
    }

    fn lookup_one(
        &mut self,
        weights: &WeightsRef,
        now: MonoMs,
        reads: &mut Vec<Digest>,
    ) -> Result<Option<Arc<Manifest>>, UnusableError> {
        let digest = weights.manifest;
        let due = match self.entries.get(&digest) {
            None => true,
            Some(Entry::Failed(_, retry_at)) => now >= *retry_at,
            Some(Entry::Reading | Entry::Cached(_)) => false,
        };
        if due && !reads.contains(&digest) {
            reads.push(digest);
        }
        match self.entries.get(&digest) {
            Some(Entry::Cached(manifest)) if manifest.total_bytes != weights.size_bytes => {
                let message = format!(
                    "the resource says {} bytes and manifest {digest} says {}",
                    weights.size_bytes.0, manifest.total_bytes.0
                );
                Err(UnusableError::new("size_bytes", message))
            }
            Some(Entry::Cached(manifest)) => Ok(Some(Arc::clone(manifest))),
            Some(Entry::Failed(ManifestFailure::Unusable(error), _)) => Err(error.clone()),
            Some(Entry::Failed(ManifestFailure::Unavailable(_), _) | Entry::Reading) => Ok(None),
            None => {
                self.entries.insert(digest, Entry::Reading);
                Ok(None)
            }
        }
    }

    /// Returns the manifests of a target, or `None` unless all are cached.
    pub(super) fn cached(&self, target: &Target) -> Option<Vec<Arc<Manifest>>> {
        let cached = |weights: &WeightsRef| match self.entries.get(&weights.manifest) {
            Some(Entry::Cached(manifest)) => Some(Arc::clone(manifest)),
            _ => None,
        };
        target.all_weights().map(cached).collect()
    }

    /// Records the result of a read.
    pub(super) fn record(&mut self, digest: Digest, read: ManifestRead, now: MonoMs) {
        let entry = match read {
            Ok(manifest) => Entry::Cached(manifest),
            Err(failure) => {
                let first_failure = !matches!(self.entries.get(&digest), Some(Entry::Failed(..)));
                if let (ManifestFailure::Unavailable(message), true) = (&failure, first_failure) {
                    log_event!(event::MANIFEST_UNAVAILABLE, "manifest {digest}: {message}");
                }
                Entry::Failed(failure, now.plus_ms(READ_RETRY_MS))
            }
        };
        self.entries.insert(digest, entry);
    }

    /// Evicts every manifest for which `keep` returns false.
    pub(super) fn retain(&mut self, keep: impl Fn(&Digest) -> bool) {
        self.entries.retain(|digest, _| keep(digest));
    }
}

//! In-memory chunks of a version while the agent fetches them and serves them to other
//! agents.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use masticdock_adapter::Manifest;
use masticdock_core::ids::ModelId;
use masticdock_core::serving::VersionNumber;
use masticdock_core::transfer::ChunkSet;
use sha2::{Digest, Sha256};
use tokio::sync::Notify;

/// Verified chunks of one version.
#[derive(Debug)]
pub(crate) struct VersionChunks {
    pub(crate) model: ModelId,
    pub(crate) version: VersionNumber,
    pub(crate) manifest: Manifest,
    held: RefCell<Vec<Option<Bytes>>>,
    /// Notified after each inserted chunk.
    pub(crate) arrived: Notify,
}

impl VersionChunks {
    pub(crate) fn new(model: ModelId, version: VersionNumber, manifest: Manifest) -> Rc<Self> {
        let count = manifest.digests.len();
        Rc::new(Self {
            model,
            version,
            manifest,
            held: RefCell::new(vec![None; count]),
            arrived: Notify::new(),
        })
    }

    /// Returns a chunk if it is held.
    pub(crate) fn get(&self, chunk_index: usize) -> Option<Bytes> {
        self.held.borrow().get(chunk_index)?.clone()
    }

    /// Stores a chunk and returns true if its digest matches the manifest.
    pub(crate) fn insert(&self, chunk_index: usize, bytes: Bytes) -> bool {
        if !self.matches(chunk_index, &bytes) {
            return false;
        }
        if let Some(held) = self.held.borrow_mut().get_mut(chunk_index) {
            *held = Some(bytes);
        }
        self.arrived.notify_waiters();
        true
    }

    /// Returns true if `bytes` have the digest that the manifest lists for the chunk.
    pub(crate) fn matches(&self, chunk_index: usize, bytes: &[u8]) -> bool {
        let digest: [u8; 32] = Sha256::digest(bytes).into();
        self.manifest.digests.get(chunk_index) == Some(&digest)
    }

    /// Returns the indices of the held chunks.
    pub(crate) fn held_set(&self) -> ChunkSet {
        let held = self.held.borrow();
        let mut set = ChunkSet::new(held.len());
        for (chunk_index, bytes) in held.iter().enumerate() {
            if bytes.is_some() {
                set.insert(chunk_index);
            }
        }
        set
    }

    /// Returns the number of held chunks.
    pub(crate) fn held_count(&self) -> usize {
        self.held.borrow().iter().flatten().count()
    }

    /// Returns true if every chunk is held.
    pub(crate) fn is_complete(&self) -> bool {
        self.held_count() == self.count()
    }

    /// Returns true if at least two thirds of the chunks are held; the rest then
    /// arrives within about one second.
    pub(crate) fn is_nearly_complete(&self) -> bool {
        self.held_count() * 3 >= self.count() * 2
    }

    /// Returns the number of chunks of the version.
    pub(crate) fn count(&self) -> usize {
        self.manifest.digests.len()
    }
}

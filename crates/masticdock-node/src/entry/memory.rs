//! Buffers of an entry, which are charged to its memory limit until their last byte has been
//! sent.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use masticdock_core::serving::{BufferAccount, BufferAccountSettings, BufferId, MemoryShares};
use tokio::sync::Notify;

use crate::clock;

/// Capacity of a buffer that has just begun, in bytes.
const FIRST_CAPACITY_BYTES: usize = 4 << 10;

/// All buffers of one kind. Shared with buffers in the HTTP library, which requires [`Send`].
#[derive(Debug, Clone)]
pub(crate) struct Buffers(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    account: BufferAccount,
    /// Contents of incomplete buffers.
    filling: HashMap<BufferId, Filling>,
}

#[derive(Debug)]
struct Filling {
    bytes: Vec<u8>,
    evicted: Arc<Notify>,
}

/// Reason why bytes cannot be added to a buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AppendError {
    /// The memory is used up.
    Full,
    /// The buffer made no progress and was evicted in favour of another one.
    Evicted,
}

/// A buffer that is being filled; its memory is released when it is dropped.
#[derive(Debug)]
pub(crate) struct BufferBuilder {
    buffers: Buffers,
    id: BufferId,
    bytes_max: usize,
    evicted: Arc<Notify>,
}

/// Contents of a complete buffer.
#[derive(Debug)]
struct HeldBytes {
    bytes: Vec<u8>,
    buffers: Buffers,
    id: BufferId,
}

impl Buffers {
    /// Creates the buffers of callers' requests, in which stalled bodies are evicted.
    pub(crate) fn of_requests(shares: &MemoryShares) -> Self {
        Self::new(BufferAccountSettings {
            bytes_max: shares.request_bodies_bytes,
            reserve_bytes: shares.short_buffers_bytes,
            ..BufferAccountSettings::default()
        })
    }

    /// Creates the buffers of responses, none of which is evicted.
    pub(crate) fn of_responses(shares: &MemoryShares) -> Self {
        Self::new(BufferAccountSettings {
            bytes_max: shares.responses_bytes,
            reserve_bytes: shares.short_buffers_bytes,
            stall_ms: u64::MAX,
            ..BufferAccountSettings::default()
        })
    }

    fn new(settings: BufferAccountSettings) -> Self {
        Self(Arc::new(Mutex::new(State {
            account: BufferAccount::new(settings),
            filling: HashMap::new(),
        })))
    }

    /// Begins a buffer of at most `bytes_max` bytes.
    pub(crate) fn begin(&self, bytes_max: usize) -> BufferBuilder {
        let evicted = Arc::new(Notify::new());
        let mut state = self.lock();
        let id = state.account.begin(clock::now());
        let filling = Filling {
            bytes: Vec::new(),
            evicted: Arc::clone(&evicted),
        };
        state.filling.insert(id, filling);
        drop(state);
        BufferBuilder {
            buffers: self.clone(),
            id,
            bytes_max,
            evicted,
        }
    }

    /// Holds bytes until they have been sent; returns them if the memory is used up.
    pub(crate) fn hold(&self, bytes: Vec<u8>) -> Result<Bytes, Vec<u8>> {
        let mut state = self.lock();
        let id = state.account.begin(clock::now());
        if !state.account.grow(id, bytes.capacity()) {
            state.account.release(id);
            return Err(bytes);
        }
        state.account.finish(id);
        drop(state);
        let buffers = self.clone();
        Ok(Bytes::from_owner(HeldBytes { bytes, buffers, id }))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Charges a buffer for its next capacity, if need be in place of stalled ones.
    fn grow(&mut self, id: BufferId, capacity_bytes: usize) -> bool {
        while !self.account.grow(id, capacity_bytes) {
            let Some(stalled) = self.account.find_stalled(id, clock::now()) else {
                return false;
            };
            self.account.release(stalled);
            if let Some(evicted) = self.filling.remove(&stalled) {
                evicted.evicted.notify_one();
            }
        }
        true
    }
}

impl BufferBuilder {
    /// Adds bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the buffer cannot grow or was evicted.
    pub(crate) fn append(&self, bytes: &[u8]) -> Result<(), AppendError> {
        let state = &mut *self.buffers.lock();
        let Some(filling) = state.filling.get(&self.id) else {
            return Err(AppendError::Evicted);
        };
        let (length, capacity) = (filling.bytes.len(), filling.bytes.capacity());
        let needed = length + bytes.len();
        let next_capacity = if needed <= capacity {
            capacity
        } else {
            let doubled = (2 * capacity).max(FIRST_CAPACITY_BYTES);
            needed.max(doubled.min(self.bytes_max))
        };
        if next_capacity > capacity && !state.grow(self.id, next_capacity) {
            return Err(AppendError::Full);
        }
        state
            .account
            .record_received(self.id, bytes.len(), clock::now());
        let Some(filling) = state.filling.get_mut(&self.id) else {
            return Err(AppendError::Evicted);
        };
        filling.bytes.reserve_exact(next_capacity - length);
        filling.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the number of bytes received.
    pub(crate) fn len(&self) -> usize {
        let state = self.buffers.lock();
        state
            .filling
            .get(&self.id)
            .map_or(0, |filling| filling.bytes.len())
    }

    /// Returns once the buffer has been evicted.
    pub(crate) async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Returns the contents, which stay charged until their last copy is dropped; returns
    /// `None` if the buffer was evicted.
    pub(crate) fn finish(self) -> Option<Bytes> {
        let mut state = self.buffers.lock();
        let filling = state.filling.remove(&self.id)?;
        state.account.finish(self.id);
        drop(state);
        if filling.bytes.is_empty() {
            self.buffers.lock().account.release(self.id);
            return Some(Bytes::new());
        }
        Some(Bytes::from_owner(HeldBytes {
            bytes: filling.bytes,
            buffers: self.buffers.clone(),
            id: self.id,
        }))
    }
}

impl Drop for BufferBuilder {
    fn drop(&mut self) {
        let mut state = self.buffers.lock();
        // The contents of a complete buffer are released by their owner.
        if state.filling.remove(&self.id).is_some() {
            state.account.release(self.id);
        }
    }
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.buffers.lock().account.release(self.id);
    }
}

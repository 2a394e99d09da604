//! Limit on the bytes of responses that an entry buffers at the same time.

use std::cell::Cell;

/// Share of the memory limit that buffered responses may use, as its divisor.
const MEMORY_DIVISOR: u64 = 4;
/// Bytes of a response that are buffered even when long ones use the whole share.
const SHORT_RESPONSE_BYTES: usize = 4_096;

/// Bytes of all responses that are being buffered.
#[derive(Debug)]
pub(crate) struct ResponseBuffers {
    limit_bytes: usize,
    used_bytes: Cell<usize>,
}

/// Bytes that one response has buffered so far; released when it is dropped.
#[derive(Debug)]
pub(crate) struct BufferedBytes<'a> {
    buffers: &'a ResponseBuffers,
    bytes: usize,
}

impl ResponseBuffers {
    /// Creates the limit for a process with the given memory limit.
    pub(crate) fn new(memory_bytes: u64) -> Self {
        Self {
            limit_bytes: usize::try_from(memory_bytes / MEMORY_DIVISOR).unwrap_or(usize::MAX),
            used_bytes: Cell::new(0),
        }
    }

    /// Begins to buffer a response.
    pub(crate) const fn begin(&self) -> BufferedBytes<'_> {
        BufferedBytes {
            buffers: self,
            bytes: 0,
        }
    }
}

impl BufferedBytes<'_> {
    /// Accounts for further bytes; returns false if they exceed the limit and the response
    /// is not short.
    pub(crate) fn add(&mut self, bytes: usize) -> bool {
        let used = self.buffers.used_bytes.get() + bytes;
        if used > self.buffers.limit_bytes && self.bytes + bytes > SHORT_RESPONSE_BYTES {
            return false;
        }
        self.buffers.used_bytes.set(used);
        self.bytes += bytes;
        true
    }
}

impl Drop for BufferedBytes<'_> {
    fn drop(&mut self) {
        let used = self.buffers.used_bytes.get();
        self.buffers.used_bytes.set(used - self.bytes);
    }
}

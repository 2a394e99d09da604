//! Reader over the chunks of a verified copy.

use std::io::{self, Read};
use std::sync::Arc;

use crate::agent::transfer::VerifiedCopy;

/// Reads the chunks in order without concatenating them.
pub(super) struct ChunkReader {
    copy: Arc<VerifiedCopy>,
    chunk: usize,
    offset: usize,
}

impl ChunkReader {
    pub(super) const fn new(copy: Arc<VerifiedCopy>) -> Self {
        Self {
            copy,
            chunk: 0,
            offset: 0,
        }
    }
}

impl Read for ChunkReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        while let Some(chunk) = self.copy.chunks.get(self.chunk) {
            let rest = &chunk[self.offset..];
            if rest.is_empty() {
                self.chunk += 1;
                self.offset = 0;
                continue;
            }
            let len = rest.len().min(buffer.len());
            buffer[..len].copy_from_slice(&rest[..len]);
            self.offset += len;
            return Ok(len);
        }
        Ok(0)
    }
}

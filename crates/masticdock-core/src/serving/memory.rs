//! Division of a process's memory limit, and the account of the buffers that it holds.
//!
//! Load pattern: more bodies and responses at once than the memory holds, many of which stop
//! short of their end while they stay open.

use std::collections::BTreeMap;

use crate::units::MonoMs;

/// Shares of a process's memory limit, in bytes. The remainder is for the program itself,
/// its tables and memory that the allocator keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryShares {
    /// Bodies of requests.
    pub request_bodies_bytes: usize,
    /// Responses that are buffered or not read by their callers.
    pub responses_bytes: usize,
    /// Short bodies and responses, each.
    pub short_buffers_bytes: usize,
    /// Connections from callers with their input buffers.
    pub connections_bytes: usize,
}

impl MemoryShares {
    /// Divides a memory limit.
    #[must_use]
    pub fn new(memory_bytes: u64) -> Self {
        let unit = usize::try_from(memory_bytes / 32).unwrap_or(usize::MAX / 32);
        Self {
            request_bodies_bytes: 5 * unit,
            responses_bytes: 8 * unit,
            short_buffers_bytes: unit,
            connections_bytes: 12 * unit,
        }
    }
}

/// Settings of a [`BufferAccount`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BufferAccountSettings {
    /// Bytes of all buffers beyond the reserve for short ones.
    pub bytes_max: usize,
    /// Bytes that are reserved for short buffers.
    pub reserve_bytes: usize,
    /// Length up to which a buffer is short, in bytes.
    pub short_bytes_max: usize,
    /// Time in which a buffer receives at least `progress_bytes`, or else may be evicted, in
    /// milliseconds.
    pub stall_ms: u64,
    /// Bytes that count as progress.
    pub progress_bytes: usize,
}

impl Default for BufferAccountSettings {
    fn default() -> Self {
        Self {
            bytes_max: usize::MAX,
            reserve_bytes: 0,
            short_bytes_max: 16 << 10,
            stall_ms: 2_000,
            progress_bytes: 4 << 10,
        }
    }
}

/// Identifies a buffer of a [`BufferAccount`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BufferId(u64);

#[derive(Debug, Clone, Copy)]
struct Buffer {
    capacity_bytes: usize,
    /// False once the buffer is complete.
    is_filling: bool,
    progressed_at: MonoMs,
    /// Bytes received since `progressed_at`.
    received_bytes: usize,
}

/// Memory of all buffers of one kind. A buffer is charged before it grows.
#[derive(Debug)]
pub struct BufferAccount {
    settings: BufferAccountSettings,
    short_used_bytes: usize,
    long_used_bytes: usize,
    next_id: u64,
    buffers: BTreeMap<BufferId, Buffer>,
}

impl BufferAccount {
    /// Creates an account without buffers.
    #[must_use]
    pub const fn new(settings: BufferAccountSettings) -> Self {
        Self {
            settings,
            short_used_bytes: 0,
            long_used_bytes: 0,
            next_id: 0,
            buffers: BTreeMap::new(),
        }
    }

    /// Returns the bytes that all buffers use.
    #[must_use]
    pub const fn used_bytes(&self) -> usize {
        self.short_used_bytes + self.long_used_bytes
    }

    /// Adds an empty buffer.
    pub fn begin(&mut self, now: MonoMs) -> BufferId {
        let id = BufferId(self.next_id);
        self.next_id += 1;
        let buffer = Buffer {
            capacity_bytes: 0,
            is_filling: true,
            progressed_at: now,
            received_bytes: 0,
        };
        self.buffers.insert(id, buffer);
        id
    }

    /// Charges a buffer for its next capacity; returns false, and charges nothing, if that does
    /// not fit.
    pub fn grow(&mut self, id: BufferId, capacity_bytes: usize) -> bool {
        let Some(buffer) = self.buffers.get(&id) else {
            return false;
        };
        let (mut short, mut long) = (self.short_used_bytes, self.long_used_bytes);
        *self.used_by_length(buffer.capacity_bytes, &mut short, &mut long) -= buffer.capacity_bytes;
        let used = self.used_by_length(capacity_bytes, &mut short, &mut long);
        *used = used.saturating_add(capacity_bytes);
        let beyond_reserve = short.saturating_sub(self.settings.reserve_bytes);
        if long.saturating_add(beyond_reserve) > self.settings.bytes_max {
            return false;
        }
        (self.short_used_bytes, self.long_used_bytes) = (short, long);
        if let Some(buffer) = self.buffers.get_mut(&id) {
            buffer.capacity_bytes = capacity_bytes;
        }
        true
    }

    /// Records that a buffer received bytes.
    pub fn record_received(&mut self, id: BufferId, bytes: usize, now: MonoMs) {
        let Some(buffer) = self.buffers.get_mut(&id) else {
            return;
        };
        buffer.received_bytes += bytes;
        if buffer.received_bytes >= self.settings.progress_bytes {
            buffer.received_bytes = 0;
            buffer.progressed_at = now;
        }
    }

    /// Records that a buffer is complete; it is kept until it is released.
    pub fn finish(&mut self, id: BufferId) {
        if let Some(buffer) = self.buffers.get_mut(&id) {
            buffer.is_filling = false;
        }
    }

    /// Removes a buffer.
    pub fn release(&mut self, id: BufferId) {
        let Some(buffer) = self.buffers.remove(&id) else {
            return;
        };
        if buffer.capacity_bytes <= self.settings.short_bytes_max {
            self.short_used_bytes -= buffer.capacity_bytes;
        } else {
            self.long_used_bytes -= buffer.capacity_bytes;
        }
    }

    /// Returns the incomplete buffer that has been without progress for the longest, if it may
    /// be evicted in favour of another one.
    #[must_use]
    pub fn find_stalled(&self, in_favour_of: BufferId, now: MonoMs) -> Option<BufferId> {
        let mut stalled: Option<(MonoMs, BufferId)> = None;
        for (id, buffer) in &self.buffers {
            let holds_memory = buffer.is_filling && buffer.capacity_bytes > 0;
            if *id == in_favour_of
                || !holds_memory
                || now.since_ms(buffer.progressed_at) < self.settings.stall_ms
            {
                continue;
            }
            let candidate = (buffer.progressed_at, *id);
            stalled = Some(stalled.map_or(candidate, |longest| longest.min(candidate)));
        }
        stalled.map(|(_, id)| id)
    }

    const fn used_by_length<'a>(
        &self,
        bytes: usize,
        short: &'a mut usize,
        long: &'a mut usize,
    ) -> &'a mut usize {
        if bytes <= self.settings.short_bytes_max {
            short
        } else {
            long
        }
    }
}

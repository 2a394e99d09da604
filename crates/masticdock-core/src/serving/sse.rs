//! Splits a response body into server-sent events.

/// A complete server-sent event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Bytes of the event, including the blank line that ends it.
    pub bytes: Vec<u8>,
    /// Value of the `id` field, if present.
    pub id: Option<u64>,
}

/// Reason why an event cannot follow those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum EventOrderError {
    /// The event has no id, so its place in the stream is unknown.
    #[error("an event has no id")]
    WithoutId,
    /// Events are missing before this one.
    #[error("events lost: event {id} follows {last_id}")]
    Gap {
        /// Id of the event.
        id: u64,
        /// Id of the last event before it.
        last_id: u64,
    },
}

/// Order of the events of one stream, which several upstreams may send one after another.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EventSequence {
    last_id: Option<u64>,
    /// Id of the last event of the present upstream, even if another one sent it before.
    upstream_last_id: Option<u64>,
    /// True if an upstream began an event after the last one.
    next_has_begun: bool,
}

impl EventSequence {
    /// Creates the sequence of a stream that goes on after the event `last_id`.
    #[must_use]
    pub const fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            upstream_last_id: None,
            next_has_begun: false,
        }
    }

    /// Returns the id of the last event.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Continues the sequence with the events of another upstream.
    pub const fn begin_upstream(&mut self) {
        self.upstream_last_id = None;
    }

    /// Appends an event; returns false if the sequence already contains it.
    ///
    /// # Errors
    ///
    /// Returns an error if the event cannot follow the last one.
    pub fn append(&mut self, event: &StreamEvent) -> Result<bool, EventOrderError> {
        let id = event.id.ok_or(EventOrderError::WithoutId)?;
        self.upstream_last_id = Some(id);
        if let Some(last_id) = self.last_id {
            if id <= last_id {
                return Ok(false);
            }
            if id - last_id > 1 {
                return Err(EventOrderError::Gap { id, last_id });
            }
        }
        self.last_id = Some(id);
        self.next_has_begun = false;
        Ok(true)
    }

    /// Records that the present upstream began the event after the last one.
    pub const fn record_partial_event(&mut self) {
        self.next_has_begun = true;
    }

    /// Returns true if the stream can be complete where the present upstream ends it. An
    /// upstream that resumes a stream after its last event has no further one.
    #[must_use]
    pub fn may_end(&self) -> bool {
        !self.next_has_begun
            && (self.upstream_last_id.is_none() || self.upstream_last_id == self.last_id)
    }
}

/// Incrementally splits the bytes of a stream into complete events.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
}

/// Maximum size of an event, in bytes; engines send no longer ones.
const EVENT_BYTES_MAX: usize = 256 * 1_024;

impl EventSplitter {
    /// Appends bytes and returns the events that they complete; `None` when an event
    /// exceeds the maximum size.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Vec<StreamEvent>> {
        let mut scanned = self.buffer.len().saturating_sub(3);
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(end) = event_end(&self.buffer, scanned.max(start)) {
            let event = &self.buffer[start..end];
            events.push(StreamEvent {
                bytes: event.to_vec(),
                id: event_id(event),
            });
            start = end;
            scanned = end;
        }
        self.buffer.drain(..start);
        (self.buffer.len() <= EVENT_BYTES_MAX).then_some(events)
    }

    /// Returns true when bytes of an incomplete event are buffered.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns the position after the first blank line at or after `from`.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while let Some(found) = bytes[at..].iter().position(|byte| *byte == b'\n') {
        let after = at + found + 1;
        if bytes[after..].starts_with(b"\n") {
            return Some(after + 1);
        }
        if bytes[after..].starts_with(b"\r\n") {
            return Some(after + 2);
        }
        at = after;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    for line in event.split(|byte| *byte == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        return std::str::from_utf8(value).ok()?.trim().parse().ok();
    }
    None
}

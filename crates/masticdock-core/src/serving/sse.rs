//! Splits a response body into server-sent events.

/// A complete server-sent event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Bytes of the event, including the blank line that ends it.
    pub bytes: Vec<u8>,
    /// Value of the `id` field, if present.
    pub id: Option<u64>,
}

impl StreamEvent {
    /// Returns whether the event comes after the event `last_id`. An event without an id has
    /// no position.
    #[must_use]
    pub fn follows(&self, last_id: Option<u64>) -> bool {
        match (self.id, last_id) {
            (Some(id), Some(last_id)) => id > last_id,
            _ => true,
        }
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

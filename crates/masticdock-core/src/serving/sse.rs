//! Events of a stream, cut at their boundaries.

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Bytes of the event with the blank line that ends it.
    pub bytes: Vec<u8>,
    /// Id of the event, when it has one.
    pub id: Option<u64>,
}

/// Cuts the bytes of a stream into complete events.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    rest: Vec<u8>,
}

/// Longest event, in bytes; a longer one is no event of an engine.
const EVENT_BYTES_MAX: usize = 256 * 1_024;

impl EventSplitter {
    /// Adds bytes and returns the events that they complete; `None` when an
    /// event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Vec<StreamEvent>> {
        let mut scanned = self.rest.len().saturating_sub(3);
        self.rest.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(end) = blank_line(&self.rest, scanned.max(start)) {
            let event = &self.rest[start..end];
            events.push(StreamEvent {
                bytes: event.to_vec(),
                id: event_id(event),
            });
            start = end;
            scanned = end;
        }
        self.rest.drain(..start);
        (self.rest.len() <= EVENT_BYTES_MAX).then_some(events)
    }

    /// Returns true when bytes of an incomplete event are left.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.rest.is_empty()
    }
}

/// Returns the position after the first blank line at or behind `from`.
fn blank_line(bytes: &[u8], from: usize) -> Option<usize> {
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

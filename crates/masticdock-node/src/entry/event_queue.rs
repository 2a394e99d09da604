//! Queue of a stream's events for a caller that reads slowly.

use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc::Sender;
use tokio::time::sleep;

use super::answer::Truncated;
use super::state::Entry;

/// Maximum number of events queued for a caller that reads slowly.
pub(super) const EVENT_QUEUE_LENGTH: usize = 8;
/// Length up to which an event is queued behind others, in bytes.
const SHORT_EVENT_BYTES: usize = 4 << 10;
/// Pause before a long event that does not fit into the memory is tried again.
const MEMORY_WAIT: Duration = Duration::from_millis(50);

/// Queues an event for the caller, a long one only once no other is queued and its memory is
/// free; returns false if the caller has left.
pub(super) async fn queue_event(
    entry: &Entry,
    events: &Sender<Result<Bytes, Truncated>>,
    mut bytes: Vec<u8>,
) -> bool {
    if bytes.len() <= SHORT_EVENT_BYTES {
        return events.send(Ok(bytes.into())).await.is_ok();
    }
    let Ok(mut permits) = events.reserve_many(EVENT_QUEUE_LENGTH).await else {
        return false;
    };
    loop {
        bytes = match entry.response_buffers.hold(bytes) {
            Ok(held) => {
                if let Some(permit) = permits.next() {
                    permit.send(Ok(held));
                }
                return true;
            }
            Err(bytes) => bytes,
        };
        entry.connections.close_unread();
        sleep(MEMORY_WAIT).await;
    }
}

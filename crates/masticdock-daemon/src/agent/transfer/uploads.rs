//! Queue of chunks to send to other agents.

use std::collections::VecDeque;
use std::sync::Arc;

use compact_str::CompactString;
use masticdock_core::transfer::TokenBucket;
use masticdock_core::units::{BytesPerSecond, MonoMs};

use crate::net::rpc::{PeerReply, Responder};

/// Maximum number of queued chunks for one receiver, so that one receiver cannot
/// take all slots.
const QUEUED_PER_RECEIVER_MAX: usize = 2;

/// Chunk in the queue.
struct Upload {
    receiver: CompactString,
    data: Arc<[u8]>,
    respond: Responder,
}

/// Sends chunks one after another at a limited rate.
///
/// A chunk that is sent alone arrives earlier than one that shares the link with
/// other chunks.
pub(super) struct UploadQueue {
    bucket: TokenBucket,
    slots: usize,
    queued: VecDeque<Upload>,
}

impl UploadQueue {
    pub(super) const fn new(rate: BytesPerSecond, slots: usize, now: MonoMs) -> Self {
        Self {
            bucket: TokenBucket::new(rate, now),
            slots,
            queued: VecDeque::new(),
        }
    }

    pub(super) fn set_rate(&mut self, rate: BytesPerSecond, now: MonoMs) {
        self.bucket.set_rate(rate, now);
    }

    /// Queues a chunk, or answers the receiver that no slot is free.
    pub(super) fn push(&mut self, receiver: CompactString, data: Arc<[u8]>, respond: Responder) {
        let queued_for_receiver = self
            .queued
            .iter()
            .filter(|upload| upload.receiver == receiver);
        if self.queued.len() >= self.slots || queued_for_receiver.count() >= QUEUED_PER_RECEIVER_MAX
        {
            respond(PeerReply::ChunkBusy);
            return;
        }
        self.queued.push_back(Upload {
            receiver,
            data,
            respond,
        });
    }

    /// Sends the chunks that the rate allows now, and returns the time in milliseconds
    /// until the next one may be sent; `None` if the queue is empty.
    pub(super) fn send_due(&mut self, now: MonoMs) -> Option<u64> {
        while !self.queued.is_empty() {
            let wait_ms = self.bucket.wait_ms(now);
            if wait_ms > 0 {
                return Some(wait_ms);
            }
            let upload = self.queued.pop_front()?;
            self.bucket.take(upload.data.len() as u64, now);
            (upload.respond)(PeerReply::Chunk(upload.data));
        }
        None
    }
}

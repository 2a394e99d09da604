//! Chunks on their way to other agents.

use std::collections::VecDeque;
use std::sync::Arc;

use compact_str::CompactString;
use masticdock_core::transfer::TokenBucket;
use masticdock_core::units::{BytesPerSecond, MonoMs};

use crate::net::rpc::{PeerReply, Responder};

/// Chunks of one receiver that wait at once, so that one receiver cannot take
/// all slots.
const PER_RECEIVER_MAX: usize = 2;

struct Upload {
    receiver: CompactString,
    data: Arc<[u8]>,
    respond: Responder,
}

/// Sends chunks one after the other at a paced rate: a chunk that has the link
/// for itself arrives earlier than one of several that share it.
pub(super) struct UploadQueue {
    bucket: TokenBucket,
    slots: usize,
    waiting: VecDeque<Upload>,
}

impl UploadQueue {
    pub(super) const fn new(rate: BytesPerSecond, slots: usize, now: MonoMs) -> Self {
        Self {
            bucket: TokenBucket::new(rate, now),
            slots,
            waiting: VecDeque::new(),
        }
    }

    pub(super) fn set_rate(&mut self, rate: BytesPerSecond, now: MonoMs) {
        self.bucket.set_rate(rate, now);
    }

    /// Takes a slot, or tells the receiver that all are taken.
    pub(super) fn push(&mut self, receiver: CompactString, data: Arc<[u8]>, respond: Responder) {
        let of_receiver = self
            .waiting
            .iter()
            .filter(|upload| upload.receiver == receiver);
        if self.waiting.len() >= self.slots || of_receiver.count() >= PER_RECEIVER_MAX {
            respond(PeerReply::ChunkBusy);
            return;
        }
        self.waiting.push_back(Upload {
            receiver,
            data,
            respond,
        });
    }

    /// Sends what the rate allows; returns the time until the next chunk may go.
    pub(super) fn send_due(&mut self, now: MonoMs) -> Option<u64> {
        while !self.waiting.is_empty() {
            let wait_ms = self.bucket.wait_ms(now);
            if wait_ms > 0 {
                return Some(wait_ms);
            }
            let upload = self.waiting.pop_front()?;
            self.bucket.take(upload.data.len() as u64, now);
            (upload.respond)(PeerReply::Chunk(upload.data));
        }
        None
    }
}

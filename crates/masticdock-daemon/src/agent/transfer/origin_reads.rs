//! Reads from the origin and, when it fails, from other regions.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use compact_str::CompactString;
use masticdock_core::event;
use masticdock_core::ids::Digest;
use masticdock_core::rendezvous;
use masticdock_core::transfer::{ReadTime, RegionView, takeover_after_ms};
use masticdock_core::units::MonoMs;

use super::TransferPeer;
use super::copy_state::CopyState;
use super::origin::{ORIGIN_READS_MAX, OriginOrder, OriginRange};
use super::worker::{OriginHealth, OriginRead, Worker};
use crate::event_log::log_event;

/// First pause after a failed origin read; doubles with each failure in a row.
const ORIGIN_PAUSE_MS: u64 = 500;

/// Longest pause after failed origin reads.
const ORIGIN_PAUSE_MAX_MS: u64 = 8_000;

/// Failures of origin reads in a row after which other regions are asked.
const REMOTE_AFTER_FAILURES: u32 = 2;

impl Worker {
    pub(super) fn read_origin(&mut self, digest: &Digest, now: MonoMs) {
        let stall_timeout_ms = self.config.settings.stall_timeout_ms;
        let Some(copy) = self.copies.get_mut(digest) else {
            return;
        };
        if !copy.may_read_origin(stall_timeout_ms, now) {
            return;
        }
        let view = RegionView {
            held_in_region: &copy.known,
            takeover_after_ms: takeover_after_ms(copy.arrival, stall_timeout_ms),
            now,
        };
        let turns = copy.plan.scheduled_reads(&view);
        for (index, turn) in turns {
            if turn != ReadTime::Now {
                continue;
            }
            if self.origin_health.retry_at > now {
                self.ask_other_region(digest, index, now);
                continue;
            }
            if self.origin_reads.len() >= ORIGIN_READS_MAX {
                return;
            }
            self.order_read(digest, index);
        }
    }

    fn order_read(&mut self, digest: &Digest, index: usize) {
        let Some(copy) = self.copies.get_mut(digest) else {
            return;
        };
        let chunk = copy.wanted.manifest.chunks[index];
        if copy.held.contains(index) || self.origin_reads.contains_key(&chunk) {
            return;
        }
        copy.requested.insert(index);
        let (offset, length) = copy.wanted.manifest.range(index);
        let cancelled = Arc::new(AtomicBool::new(false));
        let order = OriginOrder {
            chunk,
            range: OriginRange {
                object: copy.wanted.manifest.object.clone(),
                offset,
                length,
            },
            cancelled: Arc::clone(&cancelled),
        };
        let read = OriginRead {
            manifest: *digest,
            cancelled,
        };
        self.origin_reads.insert(chunk, read);
        // The threads that carry out orders end only with this one.
        let _ = self.orders.send(order);
    }

    pub(super) fn take_origin_read(
        &mut self,
        chunk: Digest,
        result: Result<Arc<[u8]>, String>,
        now: MonoMs,
    ) {
        let Some(read) = self.origin_reads.remove(&chunk) else {
            return;
        };
        let message = match result {
            Ok(data) if Digest::of(&data) == chunk => {
                self.origin_health = OriginHealth::default();
                self.store(chunk, data);
                return;
            }
            Ok(_) => {
                log_event!(
                    event::CHUNK_CORRUPT,
                    "chunk {chunk} from the origin does not match its digest"
                );
                "the chunk does not match its digest".to_owned()
            }
            Err(message) => message,
        };
        self.allow_again(&read.manifest, &chunk);
        if read.cancelled.load(Ordering::Relaxed) {
            return;
        }
        log_event!(event::ORIGIN_READ_FAILED, "chunk {chunk}: {message}");
        let health = &mut self.origin_health;
        let pause_ms = ORIGIN_PAUSE_MS << health.failures.min(8);
        health.retry_at = now.plus_ms(pause_ms.min(ORIGIN_PAUSE_MAX_MS));
        health.failures += 1;
        let failures = health.failures;
        let Some(copy) = self.copies.get(&read.manifest) else {
            return;
        };
        let waited_ms = takeover_after_ms(copy.arrival, self.config.settings.stall_timeout_ms);
        let region_is_served = now.since_ms(copy.known_grew_at) < waited_ms;
        if failures >= REMOTE_AFTER_FAILURES && !region_is_served {
            self.origin_health.ask_others = true;
        }
    }

    /// Asks another region for a chunk while the origin delivers nothing to this
    /// one; one chunk at a time, since the link between regions is thin.
    fn ask_other_region(&mut self, digest: &Digest, index: usize, now: MonoMs) {
        if !self.origin_health.ask_others || self.remote_request.is_some() {
            return;
        }
        let Some(copy) = self.copies.get(digest) else {
            return;
        };
        if copy.requested.contains(index) {
            return;
        }
        let chunk = copy.wanted.manifest.chunks[index];
        let Some(peer) = remote_peer(copy, &self.config.own, &chunk, self.remote_attempts) else {
            return;
        };
        self.remote_attempts += 1;
        if self.penalties.is_available(&peer.id, now) {
            self.remote_request = self.request(digest, index, &peer, now);
        }
    }

    /// Gives up origin reads of chunks that no copy needs.
    pub(super) fn cancel_origin_reads(&self, needed: &HashSet<Digest>) {
        for (chunk, read) in &self.origin_reads {
            if !needed.contains(chunk) {
                read.cancelled.store(true, Ordering::Relaxed);
            }
        }
    }
}

/// Returns a VM of another region, the likely origin reader of `chunk` first.
fn remote_peer(
    copy: &CopyState,
    own: &TransferPeer,
    chunk: &Digest,
    attempt: u64,
) -> Option<TransferPeer> {
    let peers = copy.wanted.peers.iter();
    let remote: Vec<&TransferPeer> = peers.filter(|peer| peer.region != own.region).collect();
    let ranked = rendezvous::rank(chunk.as_bytes(), &remote, |peer| {
        CompactString::as_str(&peer.id)
    });
    let count = u64::try_from(ranked.len())
        .ok()
        .filter(|&count| count > 0)?;
    let at = usize::try_from(attempt % count).ok()?;
    Some((*ranked[at]).clone())
}

//! Reads from the origin, and from other regions while the origin fails.

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

/// Backoff after the first failed origin read; doubles with each consecutive failure.
const ORIGIN_BACKOFF_INITIAL_MS: u64 = 500;

/// Maximum backoff after failed origin reads.
const ORIGIN_BACKOFF_MAX_MS: u64 = 8_000;

/// Number of consecutive failed origin reads after which chunks are requested from
/// other regions.
const CROSS_REGION_AFTER_FAILURES: u32 = 2;

impl Worker {
    /// Orders the origin reads of one copy that are due.
    pub(super) fn order_origin_reads(&mut self, digest: &Digest, now: MonoMs) {
        let stall_timeout_ms = self.config.settings.stall_timeout_ms;
        let Some(copy) = self.copies.get_mut(digest) else {
            return;
        };
        if !copy.may_read_origin(stall_timeout_ms, now) {
            return;
        }
        let view = RegionView {
            held_in_region: &copy.region_held,
            takeover_after_ms: takeover_after_ms(copy.arrival_latency, stall_timeout_ms),
            now,
        };
        let scheduled = copy.plan.scheduled_reads(&view);
        for (index, read_time) in scheduled {
            if read_time != ReadTime::Now {
                continue;
            }
            if self.origin_health.retry_at > now {
                self.request_cross_region(digest, index, now);
                continue;
            }
            if self.origin_reads.len() >= ORIGIN_READS_MAX {
                return;
            }
            self.order_origin_read(digest, index);
        }
    }

    /// Orders the read of one chunk unless it is held or already being read.
    fn order_origin_read(&mut self, digest: &Digest, index: usize) {
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
        // The threads that receive the orders outlive this one, so sending cannot fail.
        let _ = self.orders.send(order);
    }

    pub(super) fn on_origin_read(
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
                self.store_chunk(chunk, data);
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
        self.allow_retry(&read.manifest, &chunk);
        if read.cancelled.load(Ordering::Relaxed) {
            return;
        }
        log_event!(event::ORIGIN_READ_FAILED, "chunk {chunk}: {message}");
        let health = &mut self.origin_health;
        let backoff_ms = ORIGIN_BACKOFF_INITIAL_MS << health.failures.min(8);
        health.retry_at = now.plus_ms(backoff_ms.min(ORIGIN_BACKOFF_MAX_MS));
        health.failures += 1;
        let failures = health.failures;
        let Some(copy) = self.copies.get(&read.manifest) else {
            return;
        };
        let takeover_ms =
            takeover_after_ms(copy.arrival_latency, self.config.settings.stall_timeout_ms);
        let region_receives_chunks = now.since_ms(copy.region_held_grew_at) < takeover_ms;
        if failures >= CROSS_REGION_AFTER_FAILURES && !region_receives_chunks {
            self.origin_health.cross_region_allowed = true;
        }
    }

    /// Requests a chunk from another region while the origin delivers nothing to this
    /// one. Only one such request is in flight, because the link between regions is
    /// slow.
    fn request_cross_region(&mut self, digest: &Digest, index: usize, now: MonoMs) {
        if !self.origin_health.cross_region_allowed || self.cross_region_request.is_some() {
            return;
        }
        let Some(copy) = self.copies.get(digest) else {
            return;
        };
        if copy.requested.contains(index) {
            return;
        }
        let chunk = copy.wanted.manifest.chunks[index];
        let Some(peer) =
            cross_region_peer(copy, &self.config.own, &chunk, self.cross_region_attempts)
        else {
            return;
        };
        self.cross_region_attempts += 1;
        if self.sender_backoff.is_available(&peer.id, now) {
            self.cross_region_request = self.request(digest, index, &peer, now);
        }
    }

    /// Cancels origin reads of chunks that no copy needs.
    pub(super) fn cancel_origin_reads(&self, needed: &HashSet<Digest>) {
        for (chunk, read) in &self.origin_reads {
            if !needed.contains(chunk) {
                read.cancelled.store(true, Ordering::Relaxed);
            }
        }
    }
}

/// Returns the VM of another region to request `chunk` from.
///
/// The VMs are tried in the order of their rank for the chunk, because the first
/// ones are likely to have read it from the origin.
fn cross_region_peer(
    copy: &CopyState,
    own: &TransferPeer,
    chunk: &Digest,
    attempt: u64,
) -> Option<TransferPeer> {
    let peers = copy.wanted.peers.iter();
    let other_region_peers: Vec<&TransferPeer> =
        peers.filter(|peer| peer.region != own.region).collect();
    let ranked = rendezvous::rank(chunk.as_bytes(), &other_region_peers, |peer| {
        CompactString::as_str(&peer.id)
    });
    let count = u64::try_from(ranked.len())
        .ok()
        .filter(|&count| count > 0)?;
    let position = usize::try_from(attempt % count).ok()?;
    Some((*ranked[position]).clone())
}

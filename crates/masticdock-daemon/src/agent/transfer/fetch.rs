//! Requests for chunks, and handling of their replies.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use masticdock_core::event;
use masticdock_core::ids::Digest;
use masticdock_core::transfer::{Fault, Pick, Sender, hedge_after_ms, pick};
use masticdock_core::units::MonoMs;

use super::copy_state::Stage;
use super::message::{Message, RequestId};
use super::worker::{ChunkRequest, Worker};
use super::{TransferPeer, VerifiedCopy};
use crate::event_log::log_event;
use crate::net::rpc::{PeerReply, PeerRequest, RpcError, RpcErrorKind};

/// Maximum number of requests in flight from this VM to one neighbour.
const REQUESTS_PER_SENDER_MAX: usize = 2;

/// Timeout of a request for a chunk, as a multiple of the time after which the chunk
/// is requested from a second sender.
const REQUEST_TIMEOUT_FACTOR: u64 = 4;

impl Worker {
    /// Starts the requests and origin reads of one copy that are due.
    pub(super) fn fetch(&mut self, digest: &Digest, now: MonoMs) {
        let Some(copy) = self.copies.get_mut(digest) else {
            return;
        };
        let stall_timeout_ms = self.config.settings.stall_timeout_ms;
        copy.update_region_held(&self.sender_backoff, stall_timeout_ms, now);
        self.request_from_neighbours(digest, now);
        self.order_origin_reads(digest, now);
    }

    fn hedge_after_ms(&self) -> u64 {
        hedge_after_ms(self.reply_latency, self.config.settings.stall_timeout_ms)
    }

    fn request_from_neighbours(&mut self, digest: &Digest, now: MonoMs) {
        let slots = usize::try_from(self.config.settings.download_slots).unwrap_or(1);
        loop {
            let occupied_slots = self.in_flight.values().filter(|request| !request.hedged);
            if occupied_slots.count() >= slots {
                return;
            }
            let Some((index, peer)) = self.pick_sender(digest, None, now) else {
                return;
            };
            self.request(digest, index, &peer, now);
        }
    }

    /// Picks a chunk and a sender. `requested_index` limits the choice to one chunk that
    /// is already requested from another sender.
    fn pick_sender(
        &mut self,
        digest: &Digest,
        requested_index: Option<usize>,
        now: MonoMs,
    ) -> Option<(usize, TransferPeer)> {
        let copy = self.copies.get(digest)?;
        let mut senders = Vec::with_capacity(copy.neighbours.len());
        for neighbour in &copy.neighbours {
            let id = &neighbour.peer.id;
            let requests = self.in_flight.values().filter(|r| r.sender == *id);
            let in_flight_count = requests.count();
            let already_requested = requested_index.is_some_and(|index| {
                let mut requests = self.in_flight.values();
                requests.any(|r| r.index == index && r.manifest == *digest && r.sender == *id)
            });
            senders.push(Sender {
                have: &neighbour.have,
                locality: neighbour.peer_locality,
                available: !already_requested
                    && in_flight_count < REQUESTS_PER_SENDER_MAX
                    && self.sender_backoff.is_available(id, now),
                in_flight: in_flight_count,
            });
        }
        let picked = match requested_index {
            None => pick(&copy.held, &copy.requested, &senders, &mut self.rng),
            Some(index) => senders
                .iter()
                .position(|sender| sender.available && sender.have.contains(index))
                .map(|sender| Pick {
                    chunk: index,
                    sender,
                }),
        }?;
        Some((picked.chunk, copy.neighbours[picked.sender].peer.clone()))
    }

    /// Requests a chunk from a peer.
    pub(super) fn request(
        &mut self,
        manifest: &Digest,
        index: usize,
        peer: &TransferPeer,
        now: MonoMs,
    ) -> Option<RequestId> {
        let timeout_ms = self.hedge_after_ms() * REQUEST_TIMEOUT_FACTOR;
        let id = self.next_request_id();
        let copy = self.copies.get_mut(manifest)?;
        let chunk = copy.wanted.manifest.chunks[index];
        copy.requested.insert(index);
        self.in_flight.insert(
            id,
            ChunkRequest {
                manifest: *manifest,
                index,
                chunk,
                sender: peer.id.clone(),
                sent_at: now,
                hedged: false,
            },
        );
        let results = self.results.clone();
        let on_reply = Box::new(move |result| {
            // The transfer thread runs as long as the process, so sending cannot fail.
            let _ = results.send(Message::ChunkReply {
                request: id,
                result,
            });
        });
        let request = PeerRequest::Chunk {
            digest: chunk,
            manifest: *manifest,
        };
        let timeout = Duration::from_millis(timeout_ms);
        self.rpc.call(peer.peer_addr, request, timeout, on_reply);
        Some(id)
    }

    /// Requests chunks whose sender has stalled from a second sender.
    pub(super) fn hedge_stalled(&mut self, now: MonoMs) {
        let after_ms = self.hedge_after_ms();
        let mut stalled = Vec::new();
        for (id, request) in &self.in_flight {
            if !request.hedged && now.since_ms(request.sent_at) >= after_ms {
                stalled.push((*id, request.manifest, request.index));
            }
        }
        for (id, manifest, index) in stalled {
            let Some(request) = self.in_flight.get_mut(&id) else {
                continue;
            };
            request.hedged = true;
            log_event!(
                event::SENDER_STALLED,
                "{} sent no chunk within {after_ms} ms",
                request.sender
            );
            self.sender_backoff
                .record_fault(&request.sender, Fault::Stalled, now);
            if let Some((_, peer)) = self.pick_sender(&manifest, Some(index), now) {
                self.request(&manifest, index, &peer, now);
                continue;
            }
            if let Some(copy) = self.copies.get_mut(&manifest) {
                copy.requested.remove(index);
            }
        }
    }

    pub(super) fn on_chunk_reply(
        &mut self,
        id: RequestId,
        result: Result<PeerReply, RpcError>,
        now: MonoMs,
    ) {
        let Some(request) = self.in_flight.remove(&id) else {
            return;
        };
        if self.cross_region_request == Some(id) {
            self.cross_region_request = None;
        }
        let sender = &request.sender;
        match result {
            Ok(PeerReply::Chunk(data)) => {
                if Digest::of(&data) == request.chunk {
                    self.reply_latency.record(now.since_ms(request.sent_at));
                    self.sender_backoff.record_success(sender, now);
                    self.store_chunk(request.chunk, data);
                    return;
                }
                log_event!(
                    event::CHUNK_CORRUPT,
                    "chunk {} from {sender} does not match its digest",
                    request.chunk
                );
                self.sender_backoff
                    .record_fault(sender, Fault::Corrupt, now);
            }
            Ok(PeerReply::ChunkBusy) => self.sender_backoff.record_fault(sender, Fault::Busy, now),
            Ok(_) => {
                if let Some(copy) = self.copies.get_mut(&request.manifest)
                    && let Some(neighbour) = copy.neighbour(sender)
                {
                    neighbour.have.remove(request.index);
                }
            }
            Err(error) => {
                log::debug!("chunk request failed: {error}");
                let fault = match error.kind {
                    RpcErrorKind::TimedOut => Fault::Stalled,
                    _ => Fault::Unreachable,
                };
                self.sender_backoff.record_fault(sender, fault, now);
            }
        }
        self.allow_retry(&request.manifest, &request.chunk);
    }

    /// Allows the request for a chunk to be retried unless another request or read of
    /// it is in flight.
    pub(super) fn allow_retry(&mut self, manifest: &Digest, chunk: &Digest) {
        let already_requested = self.in_flight.values().any(|r| r.chunk == *chunk);
        if already_requested || self.origin_reads.contains_key(chunk) {
            return;
        }
        if let Some(copy) = self.copies.get_mut(manifest) {
            copy.mark_unrequested(chunk);
        }
    }

    /// Stores a chunk whose digest is verified, if a copy needs it.
    pub(super) fn store_chunk(&mut self, chunk: Digest, data: Arc<[u8]>) {
        let mut needed = false;
        for copy in self.copies.values_mut() {
            let wanted = matches!(copy.stage, Stage::Fetching | Stage::Verifying);
            if wanted && copy.wanted.manifest.chunks.contains(&chunk) {
                copy.mark_held(&chunk);
                needed = true;
            }
        }
        if let Some(read) = self.origin_reads.get(&chunk) {
            read.cancelled.store(true, Ordering::Relaxed);
        }
        if !needed {
            return;
        }
        self.chunks.insert(chunk, data);
        let digests: Vec<Digest> = self.copies.keys().copied().collect();
        for digest in digests {
            self.verify_when_complete(&digest);
        }
    }

    /// Verifies the root digest of a copy on a separate thread once all its chunks are
    /// held.
    pub(super) fn verify_when_complete(&mut self, digest: &Digest) {
        let Some(copy) = self.copies.get_mut(digest) else {
            return;
        };
        if !matches!(copy.stage, Stage::Fetching) || !copy.held.is_full() {
            return;
        }
        let manifest = Arc::clone(&copy.wanted.manifest);
        let mut chunks = Vec::with_capacity(manifest.chunks.len());
        for chunk in &manifest.chunks {
            let Some(data) = self.chunks.get(chunk) else {
                return;
            };
            chunks.push(Arc::clone(data));
        }
        copy.stage = Stage::Verifying;
        let results = self.results.clone();
        let digest = *digest;
        let verify = move || {
            let verification = manifest.verify_chunks(chunks.iter().map(AsRef::as_ref));
            let result = verification
                .map(|()| Arc::new(VerifiedCopy { manifest, chunks }))
                .map_err(|error| error.to_string());
            let _ = results.send(Message::CopyVerified { digest, result });
        };
        let spawned = thread::Builder::new()
            .name("check".to_owned())
            .spawn(verify);
        if let Err(error) = spawned {
            log::warn!("cannot start the thread that verifies a copy: {error}");
            copy.stage = Stage::Fetching;
        }
    }

    pub(super) fn on_copy_verified(
        &mut self,
        digest: &Digest,
        result: Result<Arc<VerifiedCopy>, String>,
    ) {
        let Some(copy) = self.copies.get_mut(digest) else {
            return;
        };
        // The copy may have been dropped while it was being verified.
        if !matches!(copy.stage, Stage::Verifying) {
            return;
        }
        copy.stage = match result {
            Ok(verified) => {
                log_event!(event::COPY_VERIFIED, "copy {digest}");
                Stage::Verified(verified)
            }
            Err(message) => {
                log_event!(event::COPY_ROOT_MISMATCH, "copy {digest}: {message}");
                Stage::Failed(message)
            }
        };
    }
}

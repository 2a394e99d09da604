//! The transfer thread, which owns all copies and chunks.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use masticdock_core::ids::Digest;
use masticdock_core::transfer::{LatencyEstimate, SenderBackoff};
use masticdock_core::units::{BytesPerSecond, MonoMs};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::copy_state::{CopyState, Stage};
use super::handle::{CopyStatus, StatusTable, TransferConfig};
use super::message::{Message, RequestId};
use super::origin::OriginOrder;
use super::uploads::UploadQueue;
use super::{CopyProgress, WantedCopy};
use crate::net::rpc::{PeerReply, PeerRequest, Responder, RpcHandle};

/// Maximum time between two steps while a copy is being fetched.
const TICK_MS: u64 = 25;

/// Maximum time between two steps while no copy is being fetched.
const IDLE_TICK_MS: u64 = 500;

/// Maximum number of queued messages handled before the next step, so that a flood
/// of calls cannot stop the transfer.
const MESSAGES_PER_STEP_MAX: usize = 64;

/// Request for a chunk that is in flight.
pub(super) struct ChunkRequest {
    pub(super) manifest: Digest,
    pub(super) index: usize,
    pub(super) chunk: Digest,
    pub(super) sender: CompactString,
    pub(super) sent_at: MonoMs,
    /// True once the request counts as stalled and no longer occupies a download slot;
    /// the chunk may then be requested from a second sender.
    pub(super) hedged: bool,
}

/// Read from the origin that is queued or running.
pub(super) struct OriginRead {
    pub(super) manifest: Digest,
    pub(super) cancelled: Arc<AtomicBool>,
}

/// Consecutive failures of origin reads and the resulting backoff.
#[derive(Default)]
pub(super) struct OriginHealth {
    pub(super) failures: u32,
    pub(super) retry_at: MonoMs,
    /// True while the origin delivers nothing to the region, so that chunks may be
    /// requested from other regions.
    pub(super) cross_region_allowed: bool,
}

/// State of the transfer thread.
pub(super) struct Worker {
    pub(super) config: TransferConfig,
    pub(super) rpc: RpcHandle,
    pub(super) orders: Sender<OriginOrder>,
    pub(super) results: Sender<Message>,
    pub(super) status: StatusTable,
    pub(super) started: Instant,
    pub(super) copies: BTreeMap<Digest, CopyState>,
    /// Data of the held chunks of all copies.
    pub(super) chunks: HashMap<Digest, Arc<[u8]>>,
    pub(super) in_flight: BTreeMap<RequestId, ChunkRequest>,
    /// Reads from the origin by chunk.
    pub(super) origin_reads: BTreeMap<Digest, OriginRead>,
    pub(super) origin_health: OriginHealth,
    pub(super) cross_region_attempts: u64,
    /// Request in flight to another region.
    pub(super) cross_region_request: Option<RequestId>,
    pub(super) sender_backoff: SenderBackoff,
    /// Time that senders take to reply with a chunk.
    pub(super) reply_latency: LatencyEstimate,
    /// Chunks to send to VMs of the same region.
    pub(super) uploads: UploadQueue,
    /// Chunks to send to VMs of other regions.
    pub(super) cross_region_uploads: UploadQueue,
    pub(super) last_request: u64,
    pub(super) announce_at: MonoMs,
    pub(super) rng: ChaCha8Rng,
}

impl Worker {
    pub(super) fn new(
        config: TransferConfig,
        rpc: RpcHandle,
        orders: Sender<OriginOrder>,
        results: Sender<Message>,
        status: StatusTable,
    ) -> Self {
        let now = MonoMs(0);
        let links = &config.links;
        let upload_rate = links.vm_rate_bytes_per_s.scaled(links.weights_share);
        let slots = usize::try_from(config.settings.upload_slots).unwrap_or(1);
        // Seeded by VM id, so that VMs that see the same bitmaps pick different chunks.
        let seed = *Digest::of(config.own.id.as_bytes()).as_bytes();
        Self {
            rpc,
            orders,
            results,
            status,
            started: Instant::now(),
            copies: BTreeMap::new(),
            chunks: HashMap::new(),
            in_flight: BTreeMap::new(),
            origin_reads: BTreeMap::new(),
            origin_health: OriginHealth::default(),
            cross_region_attempts: 0,
            cross_region_request: None,
            sender_backoff: SenderBackoff::default(),
            reply_latency: LatencyEstimate::new(0),
            uploads: UploadQueue::new(upload_rate, slots, now),
            cross_region_uploads: UploadQueue::new(BytesPerSecond(0), slots, now),
            last_request: 0,
            announce_at: now,
            rng: ChaCha8Rng::from_seed(seed),
            config,
        }
    }

    pub(super) fn now(&self) -> MonoMs {
        MonoMs(u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    pub(super) fn neighbour_limit(&self) -> usize {
        usize::try_from(self.config.settings.neighbours).unwrap_or(1)
    }

    pub(super) fn next_request_id(&mut self) -> RequestId {
        self.last_request += 1;
        RequestId(self.last_request)
    }

    /// Handles messages until all senders of the channel are dropped.
    pub(super) fn run(&mut self, messages: &Receiver<Message>) {
        let mut wait_ms = IDLE_TICK_MS;
        loop {
            match messages.recv_timeout(Duration::from_millis(wait_ms)) {
                Ok(message) => self.handle_message(message),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for message in messages.try_iter().take(MESSAGES_PER_STEP_MAX) {
                self.handle_message(message);
            }
            wait_ms = self.step();
        }
    }

    fn handle_message(&mut self, message: Message) {
        let now = self.now();
        match message {
            Message::SetWanted(wanted) => self.set_wanted(wanted, now),
            Message::Release(digest) => self.release(&digest, now),
            Message::Call(caller, request, respond) => self.on_call(caller, request, respond, now),
            Message::ChunkReply { request, result } => self.on_chunk_reply(request, result, now),
            Message::AnnounceReply {
                manifest,
                peer,
                result,
            } => self.on_announce_reply(&manifest, &peer, result, now),
            Message::OriginRead { chunk, result } => self.on_origin_read(chunk, result, now),
            Message::CopyVerified { digest, result } => self.on_copy_verified(&digest, result),
        }
    }

    /// Runs all actions that are due, and returns the time in milliseconds until the
    /// next step.
    fn step(&mut self) -> u64 {
        let now = self.now();
        self.end_seeding(now);
        let upload_wait_ms = self.uploads.send_due(now);
        let cross_region_wait_ms = self.cross_region_uploads.send_due(now);
        let fetching: Vec<Digest> = self
            .copies
            .iter()
            .filter(|(_, copy)| matches!(copy.stage, Stage::Fetching))
            .map(|(digest, _)| *digest)
            .collect();
        self.announce_due(&fetching, now);
        self.hedge_stalled(now);
        for digest in &fetching {
            self.fetch(digest, now);
        }
        self.publish_status();
        let tick_ms = if fetching.is_empty() {
            IDLE_TICK_MS
        } else {
            TICK_MS
        };
        [upload_wait_ms, cross_region_wait_ms]
            .into_iter()
            .flatten()
            .fold(tick_ms, u64::min)
    }

    fn set_wanted(&mut self, wanted: Vec<WantedCopy>, now: MonoMs) {
        for (digest, copy) in &mut self.copies {
            if wanted.iter().any(|wanted| wanted.digest == *digest) {
                continue;
            }
            let is_verified = matches!(copy.stage, Stage::Verified(_));
            let seeding_ms = if is_verified {
                self.config.settings.seeding_ms
            } else {
                0
            };
            copy.seed_until.get_or_insert(now.plus_ms(seeding_ms));
            copy.seeding_only = true;
        }
        let limit = self.neighbour_limit();
        for wanted in wanted {
            self.add_or_update_copy(wanted, limit, now);
        }
        self.end_seeding(now);
        self.set_cross_region_rate(now);
        self.prune_sender_backoff();
    }

    /// Adds a wanted copy, or updates it if it exists.
    fn add_or_update_copy(&mut self, wanted: WantedCopy, limit: usize, now: MonoMs) {
        let own = &self.config.own;
        if let Some(copy) = self.copies.get_mut(&wanted.digest) {
            if copy.seeding_only {
                copy.seeding_only = false;
                copy.seed_until = None;
                if matches!(copy.stage, Stage::Dropped) {
                    copy.stage = Stage::Fetching;
                }
            }
            copy.update(wanted, own, limit);
            return;
        }
        let stall_timeout_ms = self.config.settings.stall_timeout_ms;
        let digest = wanted.digest;
        let mut copy = CopyState::new(wanted, own, limit, stall_timeout_ms, now);
        for (index, chunk) in copy.wanted.manifest.chunks.iter().enumerate() {
            if self.chunks.contains_key(chunk) {
                copy.held.insert(index);
            }
        }
        self.copies.insert(digest, copy);
        self.verify_when_complete(&digest);
    }

    /// Drops copies whose seeding period has ended, and chunks that no copy needs.
    fn end_seeding(&mut self, now: MonoMs) {
        let mut any_dropped = false;
        for copy in self.copies.values_mut() {
            let due = copy.seed_until.is_some_and(|until| until <= now);
            if !due || matches!(copy.stage, Stage::Dropped) {
                continue;
            }
            copy.stage = Stage::Dropped;
            copy.held = masticdock_core::transfer::ChunkSet::new(copy.held.capacity());
            copy.requested = copy.held.clone();
            any_dropped = true;
        }
        self.copies
            .retain(|_, copy| !(copy.seeding_only && matches!(copy.stage, Stage::Dropped)));
        if !any_dropped {
            return;
        }
        let mut needed = std::collections::HashSet::new();
        for copy in self.copies.values() {
            if !matches!(copy.stage, Stage::Dropped) {
                needed.extend(copy.wanted.manifest.chunks.iter().copied());
            }
        }
        self.chunks.retain(|digest, _| needed.contains(digest));
        self.cancel_origin_reads(&needed);
    }

    fn release(&mut self, digest: &Digest, now: MonoMs) {
        let seeding_ms = self.config.settings.seeding_ms;
        if let Some(copy) = self.copies.get_mut(digest)
            && matches!(copy.stage, Stage::Verified(_))
        {
            copy.seed_until.get_or_insert(now.plus_ms(seeding_ms));
        }
    }

    /// Divides the share of the inter-region link that weights may use among the VMs
    /// of the region, because other regions may request chunks from each of them.
    fn set_cross_region_rate(&mut self, now: MonoMs) {
        let links = &self.config.links;
        let rate = links
            .inter_region_rate_bytes_per_s
            .scaled(links.inter_region_share);
        let own = &self.config.own.region;
        let vms_max = self
            .copies
            .values()
            .map(|copy| {
                let vms_of_region = copy.wanted.peers.iter().filter(|p| p.region == *own);
                vms_of_region.count()
            })
            .max();
        let vms = vms_max.unwrap_or(1).max(1) as u64;
        self.cross_region_uploads
            .set_rate(BytesPerSecond(rate.0.div_ceil(vms)), now);
    }

    /// Removes the backoff of VMs that are no longer peers of any copy.
    fn prune_sender_backoff(&mut self) {
        let copies = &self.copies;
        self.sender_backoff.retain(|id| {
            copies
                .values()
                .any(|copy| copy.wanted.peers.iter().any(|peer| peer.id == id))
        });
    }

    fn on_call(
        &mut self,
        caller: CompactString,
        request: PeerRequest,
        respond: Responder,
        now: MonoMs,
    ) {
        match request {
            PeerRequest::Chunk { digest, manifest } => {
                self.on_chunk_call(caller, &digest, &manifest, respond);
            }
            PeerRequest::Announce { manifest, have } => {
                let limit = self.neighbour_limit();
                let Some(copy) = self.copies.get_mut(&manifest) else {
                    respond(PeerReply::Announced { have: Vec::new() });
                    return;
                };
                copy.record_bitmap(&caller, &have, &self.config.own, limit, now);
                respond(PeerReply::Announced {
                    have: copy.announced_bitmap(),
                });
            }
            // The caller sees a dropped responder as a failure.
            PeerRequest::ChangesSince(_)
            | PeerRequest::Configuration
            | PeerRequest::Members { .. } => drop(respond),
        }
    }

    fn on_chunk_call(
        &mut self,
        caller: CompactString,
        digest: &Digest,
        manifest: &Digest,
        respond: Responder,
    ) {
        let Some(data) = self.chunks.get(digest) else {
            respond(PeerReply::ChunkAbsent);
            return;
        };
        let data = Arc::clone(data);
        let own = &self.config.own.region;
        let same_region = self.copies.get(manifest).is_some_and(|copy| {
            let mut peers = copy.wanted.peers.iter();
            peers.any(|peer| peer.id == caller && peer.region == *own)
        });
        if same_region {
            self.uploads.push(caller, data, respond);
        } else {
            self.cross_region_uploads.push(caller, data, respond);
        }
    }

    /// Publishes the state of the wanted copies to other threads.
    fn publish_status(&mut self) {
        let mut table = BTreeMap::new();
        for (digest, copy) in &self.copies {
            if copy.seeding_only || matches!(copy.stage, Stage::Dropped) {
                continue;
            }
            let (verified, failure, verified_copy) = match &copy.stage {
                Stage::Verified(verified) => (true, None, Some(Arc::clone(verified))),
                Stage::Failed(message) => (false, Some(message.clone()), None),
                Stage::Fetching | Stage::Verifying | Stage::Dropped => (false, None, None),
            };
            let status = CopyStatus {
                progress: CopyProgress {
                    chunks_held: copy.held.count(),
                    chunks_total: copy.held.capacity(),
                    verified,
                    failure,
                },
                copy: verified_copy,
            };
            table.insert(*digest, status);
        }
        let mut shared = self
            .status
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        *shared = table;
    }
}

//! The transfer thread: owns all copies and chunks.

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

/// Longest wait between two steps while there is something to do.
const TICK_MS: u64 = 25;

/// Wait for messages while no copy is wanted.
const IDLE_TICK_MS: u64 = 500;

/// Messages handled before the next step, so that a flood of calls cannot stop
/// the transfer.
const MESSAGES_PER_STEP: usize = 64;

/// Request to a peer for one chunk.
pub(super) struct InFlight {
    pub(super) manifest: Digest,
    pub(super) index: usize,
    pub(super) chunk: Digest,
    pub(super) sender: CompactString,
    pub(super) sent_at: MonoMs,
    /// True once a second sender was asked; no longer takes a download slot.
    pub(super) hedged: bool,
}

/// Read from the origin that is queued or running.
pub(super) struct OriginRead {
    pub(super) manifest: Digest,
    pub(super) cancelled: Arc<AtomicBool>,
}

/// Failures of origin reads in a row and the pause they cause.
#[derive(Default)]
pub(super) struct OriginHealth {
    pub(super) failures: u32,
    pub(super) retry_at: MonoMs,
    /// True while the origin delivers nothing to the region, so that chunks may
    /// come from other regions.
    pub(super) ask_others: bool,
}

pub(super) struct Worker {
    pub(super) config: TransferConfig,
    pub(super) rpc: RpcHandle,
    pub(super) orders: Sender<OriginOrder>,
    pub(super) results: Sender<Message>,
    pub(super) status: StatusTable,
    pub(super) started: Instant,
    pub(super) copies: BTreeMap<Digest, CopyState>,
    pub(super) chunks: HashMap<Digest, Arc<[u8]>>,
    pub(super) in_flight: BTreeMap<RequestId, InFlight>,
    pub(super) origin_reads: BTreeMap<Digest, OriginRead>,
    pub(super) origin_health: OriginHealth,
    pub(super) remote_attempts: u64,
    /// Request to another region that is not answered yet.
    pub(super) remote_request: Option<RequestId>,
    pub(super) penalties: SenderBackoff,
    pub(super) reply: LatencyEstimate,
    pub(super) uploads: UploadQueue,
    pub(super) remote_uploads: UploadQueue,
    pub(super) next_request: u64,
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
        // VMs that see the same bitmaps have to draw differently.
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
            remote_attempts: 0,
            remote_request: None,
            penalties: SenderBackoff::default(),
            reply: LatencyEstimate::new(0),
            uploads: UploadQueue::new(upload_rate, slots, now),
            remote_uploads: UploadQueue::new(BytesPerSecond(0), slots, now),
            next_request: 0,
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
        self.next_request += 1;
        RequestId(self.next_request)
    }

    /// Handles messages until all senders are gone.
    pub(super) fn run(&mut self, messages: &Receiver<Message>) {
        let mut wait_ms = IDLE_TICK_MS;
        loop {
            match messages.recv_timeout(Duration::from_millis(wait_ms)) {
                Ok(message) => self.take(message),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            for message in messages.try_iter().take(MESSAGES_PER_STEP) {
                self.take(message);
            }
            wait_ms = self.step();
        }
    }

    fn take(&mut self, message: Message) {
        let now = self.now();
        match message {
            Message::SetWanted(wanted) => self.set_wanted(wanted, now),
            Message::Release(digest) => self.release(&digest, now),
            Message::Call(caller, request, respond) => self.answer(caller, request, respond, now),
            Message::ChunkReply { request, result } => self.take_reply(request, result, now),
            Message::AnnounceReply {
                manifest,
                peer,
                result,
            } => self.take_announced(&manifest, &peer, result, now),
            Message::OriginRead { chunk, result } => self.take_origin_read(chunk, result, now),
            Message::Checked { digest, result } => self.take_checked(&digest, result),
        }
    }

    /// Does what is due; returns the time until the next step.
    fn step(&mut self) -> u64 {
        let now = self.now();
        self.end_seeding(now);
        let upload_wait_ms = self.uploads.send_due(now);
        let remote_wait_ms = self.remote_uploads.send_due(now);
        let fetching: Vec<Digest> = self
            .copies
            .iter()
            .filter(|(_, copy)| matches!(copy.stage, Stage::Fetching))
            .map(|(digest, _)| *digest)
            .collect();
        self.announce(&fetching, now);
        self.hedge(now);
        for digest in &fetching {
            self.fetch(digest, now);
        }
        self.publish();
        let tick_ms = if fetching.is_empty() {
            IDLE_TICK_MS
        } else {
            TICK_MS
        };
        [upload_wait_ms, remote_wait_ms]
            .into_iter()
            .flatten()
            .fold(tick_ms, u64::min)
    }

    fn set_wanted(&mut self, wanted: Vec<WantedCopy>, now: MonoMs) {
        for (digest, copy) in &mut self.copies {
            if wanted.iter().any(|wanted| wanted.digest == *digest) {
                continue;
            }
            let seeds = matches!(copy.stage, Stage::Verified(_));
            let seeding_ms = if seeds {
                self.config.settings.seeding_ms
            } else {
                0
            };
            copy.seed_until.get_or_insert(now.plus_ms(seeding_ms));
            copy.unwanted = true;
        }
        let limit = self.neighbour_limit();
        for wanted in wanted {
            self.want(wanted, limit, now);
        }
        self.end_seeding(now);
        self.set_remote_rate(now);
        self.forget_absent_peers();
    }

    fn want(&mut self, wanted: WantedCopy, limit: usize, now: MonoMs) {
        let own = &self.config.own;
        if let Some(copy) = self.copies.get_mut(&wanted.digest) {
            if copy.unwanted {
                copy.unwanted = false;
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
        self.check_when_complete(&digest);
    }

    /// Drops copies whose seeding duty ended, and chunks that no copy needs.
    fn end_seeding(&mut self, now: MonoMs) {
        let mut ended = false;
        for copy in self.copies.values_mut() {
            let due = copy.seed_until.is_some_and(|until| until <= now);
            if !due || matches!(copy.stage, Stage::Dropped) {
                continue;
            }
            copy.stage = Stage::Dropped;
            copy.held = masticdock_core::transfer::ChunkSet::new(copy.held.capacity());
            copy.requested = copy.held.clone();
            ended = true;
        }
        self.copies
            .retain(|_, copy| !(copy.unwanted && matches!(copy.stage, Stage::Dropped)));
        if !ended {
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

    /// Divides the weights' share of the link between regions among the VMs of
    /// the region, since each of them may be asked by another region.
    fn set_remote_rate(&mut self, now: MonoMs) {
        let links = &self.config.links;
        let rate = links
            .inter_region_rate_bytes_per_s
            .scaled(links.inter_region_share);
        let own = &self.config.own.region;
        let largest = self
            .copies
            .values()
            .map(|copy| {
                let of_region = copy.wanted.peers.iter().filter(|p| p.region == *own);
                of_region.count()
            })
            .max();
        let vms = largest.unwrap_or(1).max(1) as u64;
        self.remote_uploads
            .set_rate(BytesPerSecond(rate.0.div_ceil(vms)), now);
    }

    fn forget_absent_peers(&mut self) {
        let copies = &self.copies;
        self.penalties.retain(|id| {
            copies
                .values()
                .any(|copy| copy.wanted.peers.iter().any(|peer| peer.id == id))
        });
    }

    fn answer(
        &mut self,
        caller: CompactString,
        request: PeerRequest,
        respond: Responder,
        now: MonoMs,
    ) {
        match request {
            PeerRequest::Chunk { digest, manifest } => {
                self.answer_chunk(caller, &digest, &manifest, respond);
            }
            PeerRequest::Announce { manifest, have } => {
                let limit = self.neighbour_limit();
                let Some(copy) = self.copies.get_mut(&manifest) else {
                    respond(PeerReply::Announced { have: Vec::new() });
                    return;
                };
                copy.learn(&caller, &have, &self.config.own, limit, now);
                respond(PeerReply::Announced {
                    have: copy.announced(),
                });
            }
            // The caller sees a dropped responder as a failure.
            PeerRequest::ChangesSince(_)
            | PeerRequest::Configuration
            | PeerRequest::Members { .. } => drop(respond),
        }
    }

    fn answer_chunk(
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
        let near = self.copies.get(manifest).is_some_and(|copy| {
            let mut peers = copy.wanted.peers.iter();
            peers.any(|peer| peer.id == caller && peer.region == *own)
        });
        if near {
            self.uploads.push(caller, data, respond);
        } else {
            self.remote_uploads.push(caller, data, respond);
        }
    }

    /// Shows the state of the wanted copies to other threads.
    fn publish(&mut self) {
        let mut table = BTreeMap::new();
        for (digest, copy) in &self.copies {
            if copy.unwanted || matches!(copy.stage, Stage::Dropped) {
                continue;
            }
            let (verified, failure, verified_copy) = match &copy.stage {
                Stage::Verified(verified) => (true, None, Some(Arc::clone(verified))),
                Stage::Failed(message) => (false, Some(message.clone()), None),
                Stage::Fetching | Stage::Checking | Stage::Dropped => (false, None, None),
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

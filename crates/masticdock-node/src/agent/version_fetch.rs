//! Fetches the chunks of a version from peers and from the origin.
//!
//! For each chunk, one agent of each region reads it from another region or from the
//! origin; the other agents read it from a peer of their region that holds it, the
//! rarest chunk first. Slow or dead peers receive few requests. If the agent that
//! should read a chunk does not deliver it in time, the next agent in the ranking reads
//! it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use masticdock_adapter::{CallError, HttpClient, OriginClient};
use masticdock_core::ids::RegionId;
use masticdock_core::serving::{
    ChunkSource, ChunkSourceSelector, ModelTarget, VersionNumber, is_reader_due,
    is_region_nearly_complete,
};
use masticdock_core::transfer::{ChunkSet, Fault, Locality, Sender, SenderBackoff, pick};
use masticdock_core::units::MonoMs;
use tokio::task::JoinSet;

use super::link_speeds::LinkSpeeds;
use super::peer_client::{ChunkReply, read_chunk_from_peer};
use super::peer_server::ChunkRequest;
use super::state::{Agent, Peer};
use super::version_chunks::VersionChunks;
use crate::clock;

/// Limit of concurrent reads from one peer.
const READS_PER_PEER_MAX: usize = 1;
/// Limit of concurrent reads from other regions. Most of them wait at the peer until it
/// holds the chunk.
const CROSS_REGION_READS_MAX: usize = 4;
/// Limit of concurrent reads from the origin, which accepts about 48 connections from
/// all agents together.
const ORIGIN_READS_MAX: usize = 2;
/// Maximum time between checks of the ranking and of the backoff of peers.
const RECHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Number of chunks with a wrong digest after which the manifest is assumed to be
/// wrong.
const MISMATCHES_MAX: u32 = 6;

/// Outcome of the fetch of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FetchOutcome {
    /// All chunks are in memory.
    Complete,
    /// The origin no longer has the version.
    Obsolete,
    /// A newer version superseded this one.
    Replaced,
    /// The chunks of the sources do not match the digests of the manifest.
    Mismatch,
}

/// Completed read of a chunk.
struct FinishedRead {
    chunk_index: usize,
    /// The peer that was read from; `None` for the origin.
    peer: Option<SocketAddr>,
    same_region: bool,
    result: Result<ChunkReply, CallError>,
}

/// Fetch of one version.
struct Fetch {
    agent: Rc<Agent>,
    chunks: Rc<VersionChunks>,
    /// The other agents that the list of upstreams contained at the start of the fetch,
    /// those of the own region first.
    peers: Vec<Peer>,
    /// Number of peers in the own region.
    same_region_count: usize,
    /// Rank of this agent among the readers of its region, by chunk: the number of
    /// agents that read the chunk before it.
    ranks: Vec<usize>,
    origin_region: Option<RegionId>,
    clients: RefCell<HashMap<SocketAddr, Rc<HttpClient>>>,
    origin: Rc<OriginClient>,
    /// Chunks whose read is in flight.
    requested: ChunkSet,
    /// Number of reads in flight, by peer.
    outstanding: HashMap<SocketAddr, usize>,
    same_region_reads: usize,
    cross_region_reads: usize,
    origin_reads: usize,
    /// Number of failed reads from other regions and from the origin, by chunk.
    cross_region_failures: HashMap<usize, u32>,
    peer_backoff: SenderBackoff,
    link_speeds: LinkSpeeds,
    mismatches: u32,
    /// Number of replies of peers that were busy or did not hold the chunk, for the
    /// log.
    busy_count: u32,
    /// Times at which the share of chunks in memory first exceeded 0, 25, 50 and 75
    /// percent, for the log.
    quarter_times: Vec<MonoMs>,
    started_at: MonoMs,
    /// Time at which the region held most of the chunks.
    nearly_complete_at: Option<MonoMs>,
    reads: JoinSet<FinishedRead>,
}

/// Fetches all missing chunks.
pub(crate) async fn fetch_version(
    agent: &Rc<Agent>,
    target: &ModelTarget,
    chunks: &Rc<VersionChunks>,
) -> FetchOutcome {
    let region = &agent.settings.region;
    let mut peers = agent.peers(target, chunks.version);
    peers.sort_by_key(|peer| peer.chunk_peer.region != *region);
    let same_region_count = peers.partition_point(|peer| peer.chunk_peer.region == *region);
    let mut fetch = Fetch {
        agent: Rc::clone(agent),
        chunks: Rc::clone(chunks),
        same_region_count,
        ranks: Vec::new(),
        origin_region: target.origin.zone.as_ref().map(|zone| agent.region(zone)),
        peers,
        clients: RefCell::default(),
        origin: Rc::new(OriginClient::new(target.origin.address)),
        requested: ChunkSet::new(chunks.count()),
        outstanding: HashMap::new(),
        same_region_reads: 0,
        cross_region_reads: 0,
        origin_reads: 0,
        cross_region_failures: HashMap::new(),
        peer_backoff: SenderBackoff::default(),
        link_speeds: LinkSpeeds::default(),
        mismatches: 0,
        busy_count: 0,
        quarter_times: Vec::new(),
        started_at: clock::now(),
        nearly_complete_at: None,
        reads: JoinSet::new(),
    };
    fetch.ranks = fetch.with_source_selector(|selector| {
        (0..chunks.count())
            .map(|chunk_index| selector.rank(chunk_index))
            .collect()
    });
    while !chunks.is_complete() {
        if agent.is_fetch_superseded(target, chunks.version, fetch.started_at) {
            return FetchOutcome::Replaced;
        }
        fetch.start_reads();
        let read = tokio::select! {
            read = fetch.reads.join_next(), if !fetch.reads.is_empty() => read,
            () = agent.peers_changed.notified() => None,
            () = tokio::time::sleep(RECHECK_INTERVAL) => None,
        };
        match read {
            Some(Ok(read)) => {
                if let Some(outcome) = fetch.handle_finished_read(read) {
                    return outcome;
                }
            }
            Some(Err(error)) => {
                log::error!(
                    event = "fetch.failed",
                    error:% = error;
                    "a read task was cancelled or panicked"
                );
            }
            None => {}
        }
    }
    fetch.log_complete();
    FetchOutcome::Complete
}

impl Fetch {
    fn log_complete(&self) {
        let quarter = |index: usize| {
            let at = self.quarter_times.get(index).copied();
            at.map_or(0, |at| at.since_ms(self.started_at))
        };
        log::info!(
            event = "version.fetched",
            weights = self.version().0,
            took_ms = clock::now().since_ms(self.started_at),
            first_ms = quarter(0),
            quarter_ms = quarter(1),
            half_ms = quarter(2),
            three_quarters_ms = quarter(3),
            busy = self.busy_count,
            failed_from_afar = self.cross_region_failures.values().sum::<u32>(),
            reads_at_once = self.agent.read_window.borrow().concurrent_reads();
            "all chunks of a version are in memory"
        );
    }

    fn version(&self) -> VersionNumber {
        self.chunks.version
    }

    /// Returns the peers of the own region.
    fn same_region_peers(&self) -> &[Peer] {
        &self.peers[..self.same_region_count]
    }

    /// Calls `choose` with a selector of sources among the peers.
    fn with_source_selector<T>(&self, choose: impl FnOnce(&ChunkSourceSelector<'_>) -> T) -> T {
        self.agent
            .with_source_selector(&self.peers, self.origin_region.as_ref(), choose)
    }

    /// Starts as many reads as the limits allow.
    fn start_reads(&mut self) {
        let held_in_region = self.held_in_region();
        self.start_cross_region_reads(&held_in_region);
        self.start_same_region_reads(&held_in_region);
    }

    /// Returns the chunks that each peer of the region holds.
    fn held_in_region(&self) -> Vec<ChunkSet> {
        let count = self.chunks.count();
        let announced = self.agent.peer_chunks.borrow();
        let mut held = Vec::with_capacity(self.same_region_count);
        for peer in self.same_region_peers() {
            let mut set = ChunkSet::new(count);
            if peer.chunk_peer.complete {
                for chunk_index in 0..count {
                    set.insert(chunk_index);
                }
            } else if let Some((version, chunks)) = announced.get(&peer.agent.ip())
                && *version == self.version()
                && chunks.capacity() == count
            {
                set.union_with(chunks);
            }
            held.push(set);
        }
        held
    }

    /// Reads from other regions or the origin the chunks that no peer of the region
    /// holds and that this agent is due to read.
    fn start_cross_region_reads(&mut self, held_in_region: &[ChunkSet]) {
        let now = clock::now();
        let mut in_region = self.chunks.held_set();
        for (peer, held) in self.same_region_peers().iter().zip(held_in_region) {
            // A chunk that only a slow peer holds would reach the rest of the region
            // too late.
            if !self.link_speeds.is_slow_peer(&peer.agent)
                && !self.peer_backoff.is_failing(&peer.chunk_peer.name, now)
            {
                in_region.union_with(held);
            }
        }
        let mut held_or_requested = in_region.clone();
        held_or_requested.union_with(&self.requested);
        if self.nearly_complete_at.is_none()
            && is_region_nearly_complete(in_region.count(), self.chunks.count())
        {
            self.nearly_complete_at = Some(now);
        }
        let elapsed_ms = now.since_ms(self.started_at);
        let late_ms = self.nearly_complete_at.map(|at| now.since_ms(at));
        let due: Vec<usize> = held_or_requested
            .iter_missing()
            .filter(|chunk_index| is_reader_due(self.ranks[*chunk_index], elapsed_ms, late_ms))
            .collect();
        if due.is_empty() {
            return;
        }
        for (chunk_index, source) in
            self.with_source_selector(|selector| self.select_cross_region_reads(&due, selector))
        {
            match source {
                ChunkSource::Peer(index) => {
                    self.cross_region_reads += 1;
                    self.read_peer(chunk_index, self.peers[index].agent, false);
                }
                ChunkSource::Origin => {
                    self.origin_reads += 1;
                    self.read_origin(chunk_index);
                }
            }
        }
    }

    /// Returns the chunks of `due` that may be read now, each with its source.
    fn select_cross_region_reads(
        &self,
        due: &[usize],
        selector: &ChunkSourceSelector<'_>,
    ) -> Vec<(usize, ChunkSource)> {
        let mut cross_region_left = CROSS_REGION_READS_MAX.saturating_sub(self.cross_region_reads);
        let mut origin_left = ORIGIN_READS_MAX.saturating_sub(self.origin_reads);
        let mut reads = Vec::new();
        for chunk_index in due {
            if cross_region_left + origin_left == 0 {
                break;
            }
            let attempt = self
                .cross_region_failures
                .get(chunk_index)
                .copied()
                .unwrap_or(0);
            let source = selector.cross_region_source(*chunk_index, attempt);
            let left = match source {
                ChunkSource::Peer(_) => &mut cross_region_left,
                ChunkSource::Origin => &mut origin_left,
            };
            if *left > 0 {
                *left -= 1;
                reads.push((*chunk_index, source));
            }
        }
        reads
    }

    /// Reads the rarest chunks from the peers of the region that hold them.
    fn start_same_region_reads(&mut self, held_in_region: &[ChunkSet]) {
        let reads_max = self.agent.read_window.borrow().concurrent_reads();
        let now = clock::now();
        while self.same_region_reads < reads_max {
            let mut senders = Vec::with_capacity(held_in_region.len());
            for (peer, have) in self.same_region_peers().iter().zip(held_in_region) {
                let outstanding = self.outstanding.get(&peer.agent).copied().unwrap_or(0);
                senders.push(Sender {
                    have,
                    locality: Locality::SameRegion,
                    available: outstanding < READS_PER_PEER_MAX
                        && !self.link_speeds.is_slow_peer(&peer.agent)
                        && self.peer_backoff.is_available(&peer.chunk_peer.name, now),
                    in_flight: outstanding,
                });
            }
            let held = self.chunks.held_set();
            let Some(pick) = pick(&held, &self.requested, &senders, &mut rand::rng()) else {
                return;
            };
            self.same_region_reads += 1;
            self.read_peer(pick.chunk, self.peers[pick.sender].agent, true);
        }
    }

    fn read_peer(&mut self, chunk_index: usize, peer: SocketAddr, same_region: bool) {
        self.requested.insert(chunk_index);
        *self.outstanding.entry(peer).or_default() += 1;
        let client = Rc::clone(
            self.clients
                .borrow_mut()
                .entry(peer)
                .or_insert_with(|| Rc::new(HttpClient::new(peer))),
        );
        let wanted = ChunkRequest {
            model: self.chunks.model.clone(),
            version: self.version(),
            chunk_index,
            region: self.agent.settings.region.clone(),
            // A peer whose row lists the complete version has no chunk to wait for.
            wait: !same_region && !self.claims_all_chunks(peer),
        };
        self.reads.spawn_local(async move {
            FinishedRead {
                chunk_index,
                peer: Some(peer),
                same_region,
                result: read_chunk_from_peer(&client, &wanted).await,
            }
        });
    }

    fn read_origin(&mut self, chunk_index: usize) {
        self.requested.insert(chunk_index);
        let (origin, chunks) = (Rc::clone(&self.origin), Rc::clone(&self.chunks));
        self.reads.spawn_local(async move {
            let result = origin
                .read_chunk(&chunks.model, chunks.version, chunk_index)
                .await;
            FinishedRead {
                chunk_index,
                peer: None,
                same_region: false,
                result: result.map(|bytes| match bytes {
                    Some(bytes) => ChunkReply::Chunk(bytes, Duration::ZERO),
                    None => ChunkReply::Missing,
                }),
            }
        });
    }

    /// Handles the result of a read; returns the outcome of the fetch if the result
    /// ends it.
    fn handle_finished_read(&mut self, read: FinishedRead) -> Option<FetchOutcome> {
        let chunk_index = read.chunk_index;
        self.requested.remove(chunk_index);
        match (read.peer, read.same_region) {
            (None, _) => self.origin_reads -= 1,
            (Some(_), true) => self.same_region_reads -= 1,
            (Some(_), false) => self.cross_region_reads -= 1,
        }
        if let Some(peer) = read.peer
            && let Some(outstanding) = self.outstanding.get_mut(&peer)
        {
            *outstanding = outstanding.saturating_sub(1);
        }
        let fault = match read.result {
            Ok(ChunkReply::Chunk(bytes, body_duration)) => {
                if let Some(peer) = read.peer {
                    self.record_body_duration(peer, body_duration);
                }
                if self.chunks.insert(chunk_index, bytes) {
                    if self.chunks.held_count() * 4 > self.quarter_times.len() * self.chunks.count()
                    {
                        self.quarter_times.push(clock::now());
                    }
                    self.agent.changed.notify_waiters();
                    return None;
                }
                self.mismatches += 1;
                Fault::Corrupt
            }
            Ok(ChunkReply::Missing) if read.peer.is_none() => return Some(FetchOutcome::Obsolete),
            Ok(ChunkReply::Missing) => {
                if let Some(peer) = read.peer
                    && self.mark_incomplete(peer)
                {
                    // The row was stale; the next source in the ranking is tried.
                    return None;
                }
                Fault::Busy
            }
            Ok(ChunkReply::Busy) => Fault::Busy,
            Err(CallError::Timeout(_)) => Fault::Stalled,
            Err(_) => Fault::Unreachable,
        };
        self.record_failure(read.peer, read.same_region, chunk_index, fault);
        (self.mismatches >= MISMATCHES_MAX).then_some(FetchOutcome::Mismatch)
    }

    /// Returns true if the row of a peer claims every chunk.
    fn claims_all_chunks(&self, peer: SocketAddr) -> bool {
        self.peers
            .iter()
            .any(|listed| listed.agent == peer && listed.chunk_peer.complete)
    }

    /// Records that a peer does not hold every chunk; returns false if its row did not
    /// claim so.
    fn mark_incomplete(&mut self, peer: SocketAddr) -> bool {
        let mut was_complete = false;
        for listed in &mut self.peers {
            if listed.agent == peer {
                was_complete |= listed.chunk_peer.complete;
                listed.chunk_peer.complete = false;
            }
        }
        was_complete
    }

    /// Records the transfer time of a chunk.
    fn record_body_duration(&mut self, peer: SocketAddr, body_duration: Duration) {
        self.link_speeds.record_read(peer, body_duration);
        self.peer_backoff
            .record_success(&peer.ip().to_string(), clock::now());
        if self.link_speeds.reflects_own_link(body_duration) {
            let mut read_window = self.agent.read_window.borrow_mut();
            read_window.record(body_duration.as_secs_f64() * 1_000.0, clock::now());
        }
    }

    fn record_failure(
        &mut self,
        peer: Option<SocketAddr>,
        same_region: bool,
        chunk_index: usize,
        fault: Fault,
    ) {
        let from = peer.map_or_else(|| "origin".to_owned(), |peer| peer.ip().to_string());
        if same_region {
            self.peer_backoff.record_fault(&from, fault, clock::now());
        } else {
            *self.cross_region_failures.entry(chunk_index).or_default() += 1;
        }
        if fault == Fault::Busy {
            // This is usual while the region fetches; other peers hold the chunk soon.
            self.busy_count += 1;
            return;
        }
        log::warn!(
            event = "piece.failed",
            piece = chunk_index,
            weights = self.version().0,
            from = from.as_str(),
            near = same_region,
            fault:? = fault;
            "cannot fetch a chunk; trying another source"
        );
    }
}

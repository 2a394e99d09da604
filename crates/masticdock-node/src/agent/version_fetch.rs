//! Fetches the pieces of a version from peers and the origin.
//!
//! For each piece one agent of a region reads it from afar; the others read it
//! from whoever holds it nearby, the rarest piece first. A slow or dead peer is
//! asked for little, and a reader that does not bring its piece is followed by
//! the next one.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use masticdock_adapter::{CallError, HttpClient, OriginClient};
use masticdock_core::ids::RegionId;
use masticdock_core::serving::{
    ChunkSource, ChunkSourceSelector, VersionNumber, is_reader_due, is_region_nearly_complete,
};
use masticdock_core::transfer::{ChunkSet, Fault, Locality, Sender, SenderBackoff, pick};
use masticdock_core::units::MonoMs;
use tokio::task::JoinSet;

use super::link_speeds::LinkSpeeds;
use super::peer_client::{ChunkReply, read_chunk_from_peer};
use super::peer_server::ChunkRequest;
use super::state::{Agent, Peer, TargetModel};
use super::version_chunks::VersionChunks;
use crate::clock;

/// Pieces read from one peer at the same time.
const READS_PER_PEER_MAX: usize = 1;
/// Pieces read from afar at the same time; most wait there for their arrival.
const CROSS_REGION_READS_MAX: usize = 4;
/// Pieces read from the origin at the same time; it accepts some 48 connections
/// from all agents together.
const ORIGIN_READS_MAX: usize = 2;
/// Longest wait before turns and pauses are looked at again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(150);
/// Wrong digests after which the manifest is doubted.
const MISMATCHES_MAX: u32 = 6;

/// How fetching a version ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FetchOutcome {
    /// All pieces are in memory.
    Complete,
    /// The origin no longer has the version.
    Obsolete,
    /// A newer version takes its place.
    Replaced,
    /// Sources do not hold pieces with the digests of the manifest.
    Mismatch,
}

/// A read that ended.
struct FinishedRead {
    chunk_index: usize,
    /// The peer that was asked; `None` for the origin.
    peer: Option<SocketAddr>,
    same_region: bool,
    result: Result<ChunkReply, CallError>,
}

/// A fetch of one version.
struct Fetch {
    agent: Rc<Agent>,
    chunks: Rc<VersionChunks>,
    /// The other agents as the list of upstreams had them at the start, those of
    /// the own region first.
    peers: Vec<Peer>,
    /// Number of peers of the own region.
    same_region_count: usize,
    /// How many agents of the region come before this one, by piece.
    ranks: Vec<usize>,
    origin_region: Option<RegionId>,
    clients: RefCell<HashMap<SocketAddr, Rc<HttpClient>>>,
    origin: Rc<OriginClient>,
    requested: ChunkSet,
    /// Reads that run, by peer.
    outstanding: HashMap<SocketAddr, usize>,
    same_region_reads: usize,
    cross_region_reads: usize,
    origin_reads: usize,
    /// Failed reads from afar, by piece.
    cross_region_failures: HashMap<usize, u32>,
    peer_backoff: SenderBackoff,
    link_speeds: LinkSpeeds,
    mismatches: u32,
    /// Peers that had no room or lacked the piece, for the log.
    busy_count: u32,
    /// When each quarter of the pieces was in memory, for the log.
    quarter_times: Vec<MonoMs>,
    started_at: MonoMs,
    /// When the region held most of the pieces.
    nearly_complete_at: Option<MonoMs>,
    reads: JoinSet<FinishedRead>,
}

/// Fetches every missing piece.
pub(crate) async fn fetch_version(
    agent: &Rc<Agent>,
    target: &TargetModel,
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
                log::error!(event = "fetch.failed", error:% = error; "a read ended early");
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
            "all pieces of a version are in memory"
        );
    }

    fn version(&self) -> VersionNumber {
        self.chunks.version
    }

    /// Returns the peers of the own region.
    fn same_region_peers(&self) -> &[Peer] {
        &self.peers[..self.same_region_count]
    }

    /// Hands the ranking of readers to `ask`.
    fn with_source_selector<T>(&self, choose: impl FnOnce(&ChunkSourceSelector<'_>) -> T) -> T {
        self.agent
            .with_source_selector(&self.peers, self.origin_region.as_ref(), choose)
    }

    /// Starts as many reads as are allowed now.
    fn start_reads(&mut self) {
        let held_in_region = self.held_in_region();
        self.start_cross_region_reads(&held_in_region);
        self.start_same_region_reads(&held_in_region);
    }

    /// Returns what each peer of the region holds.
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

    /// Reads from afar the pieces whose turn it is here and that nobody nearby holds.
    fn start_cross_region_reads(&mut self, held_in_region: &[ChunkSet]) {
        let now = clock::now();
        let mut in_region = self.chunks.held_set();
        for (peer, held) in self.same_region_peers().iter().zip(held_in_region) {
            // What only a slow peer holds reaches the region too late.
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

    /// Returns the pieces of `due` that may be read now, and where from.
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

    /// Reads the rarest pieces from the peers nearby that hold them.
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
            // An agent whose row says that it holds all has nothing to wait for.
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

    /// Takes over what a read brought; returns why the fetch ends, if it does.
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
                    // The row was old; whoever comes next in the ranking is asked.
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

    /// Returns true when the row of a peer says that it holds every piece.
    fn claims_all_chunks(&self, peer: SocketAddr) -> bool {
        self.peers
            .iter()
            .any(|listed| listed.agent == peer && listed.chunk_peer.complete)
    }

    /// Notes that a peer does not hold what its row says; returns false when the
    /// row did not say so.
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

    /// Notes how long the body of a piece took.
    fn record_body_duration(&mut self, peer: SocketAddr, body_duration: Duration) {
        self.link_speeds.record_read(peer, body_duration);
        self.peer_backoff
            .record_success(&peer.ip().to_string(), clock::now());
        if self.link_speeds.reflects_own_link(body_duration) {
            let mut reads = self.agent.read_window.borrow_mut();
            reads.record(body_duration.as_secs_f64() * 1_000.0, clock::now());
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
            // Usual while a region fetches; others hold the piece soon.
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
            "a piece could not be fetched; another source is asked"
        );
    }
}

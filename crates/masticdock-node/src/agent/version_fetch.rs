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

use super::link_speeds::Links;
use super::peer_client::{Brought, from_peer};
use super::peer_server::PieceRequest;
use super::state::{Agent, ModelGoal, Peer};
use super::version_chunks::Pieces;
use crate::clock;

/// Pieces read from one peer at the same time.
const PEER_AT_ONCE: usize = 1;
/// Pieces read from afar at the same time; most wait there for their arrival.
const FAR_AT_ONCE: usize = 4;
/// Pieces read from the origin at the same time; it accepts some 48 connections
/// from all agents together.
const ORIGIN_AT_ONCE: usize = 2;
/// Longest wait before turns and pauses are looked at again.
const LOOK_INTERVAL: Duration = Duration::from_millis(150);
/// Wrong digests after which the manifest is doubted.
const MISMATCHES_MAX: u32 = 6;

/// How fetching a version ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fetched {
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
struct Ended {
    piece: usize,
    /// The peer that was asked; `None` for the origin.
    peer: Option<SocketAddr>,
    near: bool,
    result: Result<Brought, CallError>,
}

/// A fetch of one version.
struct Fetch {
    agent: Rc<Agent>,
    pieces: Rc<Pieces>,
    /// The other agents as the list of upstreams had them at the start, those of
    /// the own region first.
    peers: Vec<Peer>,
    /// Number of peers of the own region.
    near_count: usize,
    /// How many agents of the region come before this one, by piece.
    ranks: Vec<usize>,
    origin_region: Option<RegionId>,
    clients: RefCell<HashMap<SocketAddr, Rc<HttpClient>>>,
    origin: Rc<OriginClient>,
    requested: ChunkSet,
    /// Reads that run, by peer.
    outstanding: HashMap<SocketAddr, usize>,
    near: usize,
    far: usize,
    from_origin: usize,
    /// Failed reads from afar, by piece.
    far_attempts: HashMap<usize, u32>,
    penalties: SenderBackoff,
    links: Links,
    mismatches: u32,
    /// Peers that had no room or lacked the piece, for the log.
    busy: u32,
    /// When each quarter of the pieces was in memory, for the log.
    quarters: Vec<MonoMs>,
    started_at: MonoMs,
    /// When the region held most of the pieces.
    mostly_known_at: Option<MonoMs>,
    reads: JoinSet<Ended>,
}

/// Fetches every missing piece.
pub(crate) async fn fetch(agent: &Rc<Agent>, goal: &ModelGoal, pieces: &Rc<Pieces>) -> Fetched {
    let region = &agent.settings.region;
    let mut peers = agent.peers(goal, pieces.version);
    peers.sort_by_key(|peer| peer.pieces.region != *region);
    let near_count = peers.partition_point(|peer| peer.pieces.region == *region);
    let mut fetch = Fetch {
        agent: Rc::clone(agent),
        pieces: Rc::clone(pieces),
        near_count,
        ranks: Vec::new(),
        origin_region: goal.origin.zone.as_ref().map(|zone| agent.region(zone)),
        peers,
        clients: RefCell::default(),
        origin: Rc::new(OriginClient::new(goal.origin.address)),
        requested: ChunkSet::new(pieces.count()),
        outstanding: HashMap::new(),
        near: 0,
        far: 0,
        from_origin: 0,
        far_attempts: HashMap::new(),
        penalties: SenderBackoff::default(),
        links: Links::default(),
        mismatches: 0,
        busy: 0,
        quarters: Vec::new(),
        started_at: clock::now(),
        mostly_known_at: None,
        reads: JoinSet::new(),
    };
    fetch.ranks = fetch.with_sources(|sources| {
        (0..pieces.count())
            .map(|piece| sources.rank(piece))
            .collect()
    });
    while !pieces.is_complete() {
        if agent.is_replaced(goal, pieces.version, fetch.started_at) {
            return Fetched::Replaced;
        }
        fetch.start_reads();
        let ended = tokio::select! {
            ended = fetch.reads.join_next(), if !fetch.reads.is_empty() => ended,
            () = agent.peers_changed.notified() => None,
            () = tokio::time::sleep(LOOK_INTERVAL) => None,
        };
        match ended {
            Some(Ok(ended)) => {
                if let Some(end) = fetch.take(ended) {
                    return end;
                }
            }
            Some(Err(error)) => {
                log::error!(event = "fetch.failed", error:% = error; "a read ended early");
            }
            None => {}
        }
    }
    fetch.log_complete();
    Fetched::Complete
}

impl Fetch {
    fn log_complete(&self) {
        let quarter = |index: usize| {
            let at = self.quarters.get(index).copied();
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
            busy = self.busy,
            failed_from_afar = self.far_attempts.values().sum::<u32>(),
            reads_at_once = self.agent.reads.borrow().concurrent_reads();
            "all pieces of a version are in memory"
        );
    }

    fn version(&self) -> VersionNumber {
        self.pieces.version
    }

    /// Returns the peers of the own region.
    fn near_peers(&self) -> &[Peer] {
        &self.peers[..self.near_count]
    }

    /// Hands the ranking of readers to `ask`.
    fn with_sources<T>(&self, ask: impl FnOnce(&ChunkSourceSelector<'_>) -> T) -> T {
        self.agent
            .with_sources(&self.peers, self.origin_region.as_ref(), ask)
    }

    /// Starts as many reads as are allowed now.
    fn start_reads(&mut self) {
        let held_nearby = self.held_nearby();
        self.start_far(&held_nearby);
        self.start_near(&held_nearby);
    }

    /// Returns what each peer of the region holds.
    fn held_nearby(&self) -> Vec<ChunkSet> {
        let count = self.pieces.count();
        let told = self.agent.peer_pieces.borrow();
        let mut held = Vec::with_capacity(self.near_count);
        for peer in self.near_peers() {
            let mut set = ChunkSet::new(count);
            if peer.pieces.complete {
                for piece in 0..count {
                    set.insert(piece);
                }
            } else if let Some((version, pieces)) = told.get(&peer.agent.ip())
                && *version == self.version()
                && pieces.capacity() == count
            {
                set.union_with(pieces);
            }
            held.push(set);
        }
        held
    }

    /// Reads from afar the pieces whose turn it is here and that nobody nearby holds.
    fn start_far(&mut self, held_nearby: &[ChunkSet]) {
        let now = clock::now();
        let mut nearby = self.pieces.held_set();
        for (peer, held) in self.near_peers().iter().zip(held_nearby) {
            // What only a slow peer holds reaches the region too late.
            if !self.links.is_slow(&peer.agent)
                && !self.penalties.is_failing(&peer.pieces.name, now)
            {
                nearby.union_with(held);
            }
        }
        let mut known = nearby.clone();
        known.union_with(&self.requested);
        if self.mostly_known_at.is_none()
            && is_region_nearly_complete(nearby.count(), self.pieces.count())
        {
            self.mostly_known_at = Some(now);
        }
        let elapsed_ms = now.since_ms(self.started_at);
        let late_ms = self.mostly_known_at.map(|at| now.since_ms(at));
        let due: Vec<usize> = known
            .iter_missing()
            .filter(|piece| is_reader_due(self.ranks[*piece], elapsed_ms, late_ms))
            .collect();
        if due.is_empty() {
            return;
        }
        for (piece, source) in self.with_sources(|sources| self.far_reads(&due, sources)) {
            match source {
                ChunkSource::Peer(index) => {
                    self.far += 1;
                    self.read_peer(piece, self.peers[index].agent, false);
                }
                ChunkSource::Origin => {
                    self.from_origin += 1;
                    self.read_origin(piece);
                }
            }
        }
    }

    /// Returns the pieces of `due` that may be read now, and where from.
    fn far_reads(
        &self,
        due: &[usize],
        sources: &ChunkSourceSelector<'_>,
    ) -> Vec<(usize, ChunkSource)> {
        let mut far_left = FAR_AT_ONCE.saturating_sub(self.far);
        let mut origin_left = ORIGIN_AT_ONCE.saturating_sub(self.from_origin);
        let mut reads = Vec::new();
        for piece in due {
            if far_left + origin_left == 0 {
                break;
            }
            let attempt = self.far_attempts.get(piece).copied().unwrap_or(0);
            let source = sources.cross_region_source(*piece, attempt);
            let left = match source {
                ChunkSource::Peer(_) => &mut far_left,
                ChunkSource::Origin => &mut origin_left,
            };
            if *left > 0 {
                *left -= 1;
                reads.push((*piece, source));
            }
        }
        reads
    }

    /// Reads the rarest pieces from the peers nearby that hold them.
    fn start_near(&mut self, held_nearby: &[ChunkSet]) {
        let at_once = self.agent.reads.borrow().concurrent_reads();
        let now = clock::now();
        while self.near < at_once {
            let mut senders = Vec::with_capacity(held_nearby.len());
            for (peer, have) in self.near_peers().iter().zip(held_nearby) {
                let outstanding = self.outstanding.get(&peer.agent).copied().unwrap_or(0);
                senders.push(Sender {
                    have,
                    locality: Locality::SameRegion,
                    available: outstanding < PEER_AT_ONCE
                        && !self.links.is_slow(&peer.agent)
                        && self.penalties.is_available(&peer.pieces.name, now),
                    in_flight: outstanding,
                });
            }
            let held = self.pieces.held_set();
            let Some(pick) = pick(&held, &self.requested, &senders, &mut rand::rng()) else {
                return;
            };
            self.near += 1;
            self.read_peer(pick.chunk, self.peers[pick.sender].agent, true);
        }
    }

    fn read_peer(&mut self, piece: usize, peer: SocketAddr, near: bool) {
        self.requested.insert(piece);
        *self.outstanding.entry(peer).or_default() += 1;
        let client = Rc::clone(
            self.clients
                .borrow_mut()
                .entry(peer)
                .or_insert_with(|| Rc::new(HttpClient::new(peer))),
        );
        let wanted = PieceRequest {
            model: self.pieces.model.clone(),
            version: self.version(),
            piece,
            region: self.agent.settings.region.clone(),
            // An agent whose row says that it holds all has nothing to wait for.
            wait: !near && !self.is_complete(peer),
        };
        self.reads.spawn_local(async move {
            Ended {
                piece,
                peer: Some(peer),
                near,
                result: from_peer(&client, &wanted).await,
            }
        });
    }

    fn read_origin(&mut self, piece: usize) {
        self.requested.insert(piece);
        let (origin, pieces) = (Rc::clone(&self.origin), Rc::clone(&self.pieces));
        self.reads.spawn_local(async move {
            let result = origin
                .read_chunk(&pieces.model, pieces.version, piece)
                .await;
            Ended {
                piece,
                peer: None,
                near: false,
                result: result.map(|bytes| match bytes {
                    Some(bytes) => Brought::Piece(bytes, Duration::ZERO),
                    None => Brought::Missing,
                }),
            }
        });
    }

    /// Takes over what a read brought; returns why the fetch ends, if it does.
    fn take(&mut self, ended: Ended) -> Option<Fetched> {
        let piece = ended.piece;
        self.requested.remove(piece);
        match (ended.peer, ended.near) {
            (None, _) => self.from_origin -= 1,
            (Some(_), true) => self.near -= 1,
            (Some(_), false) => self.far -= 1,
        }
        if let Some(peer) = ended.peer
            && let Some(outstanding) = self.outstanding.get_mut(&peer)
        {
            *outstanding = outstanding.saturating_sub(1);
        }
        let fault = match ended.result {
            Ok(Brought::Piece(bytes, took)) => {
                if let Some(peer) = ended.peer {
                    self.note_body(peer, took);
                }
                if self.pieces.insert(piece, bytes) {
                    if self.pieces.held_count() * 4 > self.quarters.len() * self.pieces.count() {
                        self.quarters.push(clock::now());
                    }
                    self.agent.changed.notify_waiters();
                    return None;
                }
                self.mismatches += 1;
                Fault::Corrupt
            }
            Ok(Brought::Missing) if ended.peer.is_none() => return Some(Fetched::Obsolete),
            Ok(Brought::Missing) => {
                if let Some(peer) = ended.peer
                    && self.mark_incomplete(peer)
                {
                    // The row was old; whoever comes next in the ranking is asked.
                    return None;
                }
                Fault::Busy
            }
            Ok(Brought::Busy) => Fault::Busy,
            Err(CallError::Timeout(_)) => Fault::Stalled,
            Err(_) => Fault::Unreachable,
        };
        self.failed(ended.peer, ended.near, piece, fault);
        (self.mismatches >= MISMATCHES_MAX).then_some(Fetched::Mismatch)
    }

    /// Returns true when the row of a peer says that it holds every piece.
    fn is_complete(&self, peer: SocketAddr) -> bool {
        self.peers
            .iter()
            .any(|listed| listed.agent == peer && listed.pieces.complete)
    }

    /// Notes that a peer does not hold what its row says; returns false when the
    /// row did not say so.
    fn mark_incomplete(&mut self, peer: SocketAddr) -> bool {
        let mut was_complete = false;
        for listed in &mut self.peers {
            if listed.agent == peer {
                was_complete |= listed.pieces.complete;
                listed.pieces.complete = false;
            }
        }
        was_complete
    }

    /// Notes how long the body of a piece took.
    fn note_body(&mut self, peer: SocketAddr, took: Duration) {
        self.links.note(peer, took);
        self.penalties
            .record_success(&peer.ip().to_string(), clock::now());
        if self.links.shows_own(took) {
            let mut reads = self.agent.reads.borrow_mut();
            reads.record(took.as_secs_f64() * 1_000.0, clock::now());
        }
    }

    fn failed(&mut self, peer: Option<SocketAddr>, near: bool, piece: usize, fault: Fault) {
        let from = peer.map_or_else(|| "origin".to_owned(), |peer| peer.ip().to_string());
        if near {
            self.penalties.record_fault(&from, fault, clock::now());
        } else {
            *self.far_attempts.entry(piece).or_default() += 1;
        }
        if fault == Fault::Busy {
            // Usual while a region fetches; others hold the piece soon.
            self.busy += 1;
            return;
        }
        log::warn!(
            event = "piece.failed",
            piece = piece,
            weights = self.version().0,
            from = from.as_str(),
            near = near,
            fault:? = fault;
            "a piece could not be fetched; another source is asked"
        );
    }
}

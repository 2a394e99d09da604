//! Fetches the pieces of a version from peers and the origin.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use masticdock_adapter::{CallError, HttpClient, OriginClient};
use masticdock_core::serving::{PieceSource, PieceSources, VersionNumber};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::peer_server::{PIECE_WAIT, PieceRequest};
use super::pieces::Pieces;
use super::state::{Agent, ModelGoal, Peer};

/// Pieces asked for at the same time; most wait at a peer for their arrival.
const PIECES_AT_ONCE: usize = 20;
/// Connections to the origin, which accepts some 48 from all agents together.
const ORIGIN_CONNECTIONS: usize = 2;
/// Time for the body of a piece above which a link is slow: six times that of
/// an idle one.
const SLOW_BODY: Duration = Duration::from_millis(250);
/// Slow peers from which on the own link is taken for the slow one.
const SLOW_PEERS_MAX: usize = 3;
/// Pieces asked for at the same time over a slow link: requests of callers wait
/// behind each of them.
const PIECES_AT_ONCE_SLOW: usize = 2;
/// Pause after a failed attempt, in milliseconds; grows with each.
const PAUSE_MS: u64 = 50;
/// Longest pause after failed attempts, in milliseconds.
const PAUSE_MAX_MS: u64 = 500;
/// Wrong digests of one piece after which the manifest is doubted.
const MISMATCHES_MAX: u32 = 3;

/// How fetching a version ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fetched {
    /// All pieces are in memory.
    Complete,
    /// The origin no longer has the version.
    Obsolete,
    /// No source holds pieces with the digests of the manifest.
    Mismatch,
}

/// Clients that fetching keeps between pieces.
#[derive(Debug)]
struct Sources {
    origin: OriginClient,
    origin_permits: Semaphore,
    peers: RefCell<HashMap<SocketAddr, Rc<HttpClient>>>,
    /// Peers that lacked a piece although their row says that they hold all.
    incomplete: RefCell<HashSet<SocketAddr>>,
    links: RefCell<Links>,
    permits: Semaphore,
}

/// Which links are slow, as the bodies of pieces showed.
#[derive(Debug, Default)]
struct Links {
    slow_peers: HashSet<SocketAddr>,
    fast_peers: HashSet<SocketAddr>,
    own_is_slow: bool,
}

impl Links {
    /// Notes how long the body of a piece of `peer` took.
    fn note(&mut self, peer: SocketAddr, took: Duration) {
        if took < SLOW_BODY {
            self.fast_peers.insert(peer);
            return;
        }
        self.slow_peers.insert(peer);
        // Many slow peers and few fast ones: what they share is this VM's link.
        let fast = self.fast_peers.difference(&self.slow_peers).count();
        if self.slow_peers.len() >= SLOW_PEERS_MAX && self.slow_peers.len() > fast {
            log::info!(
                event = "link.slow",
                slow_peers = self.slow_peers.len(),
                fast_peers = fast;
                "the link of this VM is slow; fewer pieces are asked for at once"
            );
            self.own_is_slow = true;
            self.slow_peers.clear();
        }
    }
}

/// Fetches every missing piece.
pub(crate) async fn fetch(agent: &Rc<Agent>, goal: &ModelGoal, pieces: &Rc<Pieces>) -> Fetched {
    let sources = Rc::new(Sources {
        origin: OriginClient::new(goal.origin.address),
        origin_permits: Semaphore::new(ORIGIN_CONNECTIONS),
        peers: RefCell::default(),
        incomplete: RefCell::default(),
        links: RefCell::default(),
        permits: Semaphore::new(PIECES_AT_ONCE),
    });
    let mut tasks = JoinSet::new();
    for piece in fetch_order(agent, goal, pieces) {
        let (agent, goal) = (Rc::clone(agent), goal.clone());
        let (pieces, sources) = (Rc::clone(pieces), Rc::clone(&sources));
        tasks
            .spawn_local(async move { fetch_piece(&agent, &goal, &pieces, &sources, piece).await });
    }
    while let Some(result) = tasks.join_next().await {
        match result {
            Ok(Fetched::Complete) => {}
            Ok(end) => return end,
            Err(error) => {
                log::error!(event = "fetch.failed", error:% = error; "a fetch task ended early");
                return Fetched::Mismatch;
            }
        }
    }
    Fetched::Complete
}

/// Orders the missing pieces: those that most others wait for first.
fn fetch_order(agent: &Agent, goal: &ModelGoal, pieces: &Pieces) -> Vec<usize> {
    let mut missing: Vec<usize> = (0..pieces.count())
        .filter(|piece| pieces.get(*piece).is_none())
        .collect();
    let own = agent.settings.ip.to_string();
    let peers = agent.peers(goal, pieces.version);
    let listed: Vec<_> = peers.into_iter().map(|peer| peer.pieces).collect();
    let ranking = PieceSources {
        own: &own,
        region: &agent.settings.region,
        origin_region: None,
        peers: &listed,
    };
    missing.sort_by_cached_key(|piece| ranking.rank(*piece));
    missing
}

/// A peer to ask for a piece.
#[derive(Debug, Clone, Copy)]
struct PeerSource {
    address: SocketAddr,
    /// True when it should hold the piece already.
    holds: bool,
}

/// Chooses the source of a piece; `None` is the origin.
fn source(
    agent: &Agent,
    goal: &ModelGoal,
    version: VersionNumber,
    sources: &Sources,
    piece: usize,
    attempt: u32,
) -> Option<PeerSource> {
    let own = agent.settings.ip.to_string();
    let mut peers = agent.peers(goal, version);
    let links = sources.links.borrow();
    let is_fast = |peer: &Peer| !links.slow_peers.contains(&peer.agent);
    if !links.own_is_slow && peers.iter().any(is_fast) {
        peers.retain(is_fast);
    }
    let incomplete = sources.incomplete.borrow();
    for peer in &mut peers {
        peer.pieces.complete &= !incomplete.contains(&peer.agent);
    }
    let listed: Vec<_> = peers.iter().map(|peer| peer.pieces.clone()).collect();
    let origin_region = goal.origin.zone.as_ref().map(|zone| agent.region(zone));
    let ranking = PieceSources {
        own: &own,
        region: &agent.settings.region,
        origin_region: origin_region.as_ref(),
        peers: &listed,
    };
    let PieceSource::Peer(index) = ranking.source(piece, attempt) else {
        return None;
    };
    Some(PeerSource {
        address: peers[index].agent,
        holds: listed[index].complete,
    })
}

async fn fetch_piece(
    agent: &Agent,
    goal: &ModelGoal,
    pieces: &Pieces,
    sources: &Sources,
    piece: usize,
) -> Fetched {
    let mut attempt = 0;
    let mut mismatches = 0;
    loop {
        let permits = if sources.links.borrow().own_is_slow {
            PIECES_AT_ONCE / PIECES_AT_ONCE_SLOW
        } else {
            1
        };
        let permits = u32::try_from(permits).unwrap_or(1);
        let permit = sources.permits.acquire_many(permits).await;
        let peer = source(agent, goal, pieces.version, sources, piece, attempt);
        let result = match peer {
            Some(peer) => from_peer(agent, sources, peer, pieces, piece).await,
            None => from_origin(sources, pieces, piece).await,
        };
        drop(permit);
        let from = peer.map_or_else(|| "origin".to_owned(), |peer| peer.address.to_string());
        match result {
            Ok(Some(bytes)) => {
                if pieces.insert(piece, bytes) {
                    return Fetched::Complete;
                }
                mismatches += 1;
                log::warn!(
                    event = "piece.corrupt",
                    piece = piece,
                    weights = pieces.version.0,
                    from = from.as_str(),
                    attempt = attempt;
                    "a piece does not match its digest; another source is asked"
                );
            }
            Ok(None) if peer.is_none() => return Fetched::Obsolete,
            Ok(None) if peer.is_some_and(|peer| peer.holds) => {
                // Its row is older than its last restart.
                sources
                    .incomplete
                    .borrow_mut()
                    .extend(peer.map(|peer| peer.address));
                continue;
            }
            Ok(None) => log::info!(
                event = "piece.absent",
                piece = piece,
                weights = pieces.version.0,
                from = from.as_str(),
                attempt = attempt;
                "a peer does not hold a piece; another source is asked"
            ),
            Err(error) => log::warn!(
                event = "piece.failed",
                piece = piece,
                weights = pieces.version.0,
                from = from.as_str(),
                attempt = attempt,
                error:% = error;
                "a piece could not be fetched; another source is asked"
            ),
        }
        if mismatches >= MISMATCHES_MAX {
            return Fetched::Mismatch;
        }
        attempt += 1;
        let pause_ms = (PAUSE_MS * u64::from(attempt)).min(PAUSE_MAX_MS);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

async fn from_origin(
    sources: &Sources,
    pieces: &Pieces,
    piece: usize,
) -> Result<Option<Bytes>, CallError> {
    let _permit = sources.origin_permits.acquire().await;
    sources
        .origin
        .piece(&pieces.model, pieces.version, piece)
        .await
}

async fn from_peer(
    agent: &Agent,
    sources: &Sources,
    peer: PeerSource,
    pieces: &Pieces,
    piece: usize,
) -> Result<Option<Bytes>, CallError> {
    let client = Rc::clone(
        sources
            .peers
            .borrow_mut()
            .entry(peer.address)
            .or_insert_with(|| Rc::new(HttpClient::new(peer.address))),
    );
    let wanted = PieceRequest {
        model: pieces.model.clone(),
        version: pieces.version,
        piece,
        region: agent.settings.region.clone(),
        wait: !peer.holds,
    };
    // Sending takes some 50 ms on an idle link and more while others read too.
    let timeout = PIECE_WAIT + Duration::from_millis(1_500);
    let reply = client
        .call(Method::GET, &wanted.path(), Bytes::new(), timeout)
        .await?;
    match reply.status {
        StatusCode::OK => {
            let mut links = sources.links.borrow_mut();
            links.note(peer.address, reply.body_took);
            Ok(Some(reply.body))
        }
        StatusCode::NOT_FOUND => Ok(None),
        status => Err(CallError::Unexpected(status.to_string())),
    }
}

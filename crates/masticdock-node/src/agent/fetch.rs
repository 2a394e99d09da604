//! Fetches the pieces of a version from peers and the origin.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use masticdock_adapter::{CallError, HttpClient, OriginClient};
use masticdock_core::ids::UpstreamId;
use masticdock_core::serving::{PieceSource, PieceSources, VersionNumber};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::peer_server::{PIECE_WAIT, PieceRequest};
use super::pieces::Pieces;
use super::state::{Agent, ModelGoal};

/// Pieces asked for at the same time; most wait at a peer for their arrival.
const PIECES_AT_ONCE: usize = 12;
/// Connections to the origin, which accepts some 48 from all agents together.
const ORIGIN_CONNECTIONS: usize = 2;
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
    permits: Semaphore,
}

/// Fetches every missing piece.
pub(crate) async fn fetch(agent: &Rc<Agent>, goal: &ModelGoal, pieces: &Rc<Pieces>) -> Fetched {
    let sources = Rc::new(Sources {
        origin: OriginClient::new(goal.origin.address),
        origin_permits: Semaphore::new(ORIGIN_CONNECTIONS),
        peers: RefCell::new(HashMap::new()),
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

/// Orders the missing pieces: those that others wait for first.
fn fetch_order(agent: &Agent, goal: &ModelGoal, pieces: &Pieces) -> Vec<usize> {
    let mut own_duty = Vec::new();
    let mut others = Vec::new();
    for piece in 0..pieces.count() {
        if pieces.get(piece).is_some() {
            continue;
        }
        let from_near = match source(agent, goal, pieces.version, piece, 0) {
            Some((PieceSource::Peer(_), peer)) => {
                peer.is_some_and(|(region, _)| region == agent.settings.region)
            }
            _ => false,
        };
        if from_near {
            others.push(piece);
        } else {
            own_duty.push(piece);
        }
    }
    // Agents start at different pieces, so that none of them serves all at once.
    let shift = agent.own_id().map_or(0, |id| {
        masticdock_core::rendezvous::weight(b"shift", id.as_str())
    });
    if !others.is_empty() {
        let count = others.len() as u64;
        others.rotate_left(usize::try_from(shift % count).unwrap_or(0));
    }
    own_duty.extend(others);
    own_duty
}

type PeerAddress = (masticdock_core::ids::RegionId, SocketAddr);

/// Chooses the source of a piece; `None` until the own upstream has registered.
fn source(
    agent: &Agent,
    goal: &ModelGoal,
    version: VersionNumber,
    piece: usize,
    attempt: u32,
) -> Option<(PieceSource, Option<PeerAddress>)> {
    let own: UpstreamId = agent.own_id()?;
    let peers = agent.peers(goal, version);
    let listed: Vec<_> = peers.iter().map(|peer| peer.pieces.clone()).collect();
    let origin_region = goal.origin.zone.as_ref().map(|zone| agent.region(zone));
    let sources = PieceSources {
        own: &own,
        region: &agent.settings.region,
        origin_region: origin_region.as_ref(),
        peers: &listed,
    };
    let source = sources.source(piece, attempt);
    let peer = match source {
        PieceSource::Peer(index) => Some((peers[index].pieces.region.clone(), peers[index].agent)),
        PieceSource::Origin => None,
    };
    Some((source, peer))
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
        let permit = sources.permits.acquire().await;
        let chosen = source(agent, goal, pieces.version, piece, attempt);
        let peer = chosen.and_then(|(_, peer)| peer);
        let result = match &peer {
            Some((region, address)) => {
                let far = *region != agent.settings.region;
                from_peer(sources, *address, pieces, piece, far).await
            }
            None => from_origin(sources, pieces, piece).await,
        };
        drop(permit);
        let from = peer.map_or_else(|| "origin".to_owned(), |(_, address)| address.to_string());
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
            Ok(None) if from == "origin" => return Fetched::Obsolete,
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
    sources: &Sources,
    address: SocketAddr,
    pieces: &Pieces,
    piece: usize,
    far: bool,
) -> Result<Option<Bytes>, CallError> {
    let client = Rc::clone(
        sources
            .peers
            .borrow_mut()
            .entry(address)
            .or_insert_with(|| Rc::new(HttpClient::new(address))),
    );
    let wanted = PieceRequest {
        model: pieces.model.clone(),
        version: pieces.version,
        piece,
        far,
    };
    // Sending takes some 50 ms on an idle link and more while others read too.
    let timeout = PIECE_WAIT + Duration::from_millis(700);
    let reply = client
        .call(Method::GET, &wanted.path(), Bytes::new(), timeout)
        .await?;
    match reply.status {
        StatusCode::OK => Ok(Some(reply.body)),
        StatusCode::NOT_FOUND => Ok(None),
        status => Err(CallError::Unexpected(status.to_string())),
    }
}

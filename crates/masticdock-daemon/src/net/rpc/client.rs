//! Outgoing RPC connections and calls.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use compact_str::CompactString;
use masticdock_core::ids::Revision;
use masticdock_wire::peer_capnp::{authenticator, chunk_result, peer};
use masticdock_wire::{WireError, read_change, read_member, read_stored};
use tokio::net::TcpStream;
use tokio::sync::OnceCell;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use super::counters::{ConnectionState, CountedStream, Lane, TrafficCounters};
use super::{PeerReply, PeerRequest, RpcError, RpcErrorKind, auth, reader_options};

/// Time without a call after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between two checks for idle connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Target {
    addr: SocketAddr,
    lane: Lane,
}

/// Connection that is opened by its first call and reused by later calls.
struct Connection {
    peer: OnceCell<peer::Client>,
    task: RefCell<Option<tokio::task::AbortHandle>>,
    last_used: Cell<Instant>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}

/// Makes calls and keeps their connections for reuse.
pub(super) struct Client {
    own_id: CompactString,
    key: [u8; 32],
    counters: TrafficCounters,
    connections: RefCell<HashMap<Target, Rc<Connection>>>,
}

struct CallError {
    kind: RpcErrorKind,
    message: String,
}

impl From<capnp::Error> for CallError {
    fn from(error: capnp::Error) -> Self {
        let kind = if error.extra.contains(super::UNAUTHENTICATED) {
            RpcErrorKind::Unauthenticated
        } else {
            RpcErrorKind::Broken
        };
        Self {
            kind,
            message: error.to_string(),
        }
    }
}

impl From<capnp::NotInSchema> for CallError {
    fn from(error: capnp::NotInSchema) -> Self {
        capnp::Error::from(error).into()
    }
}

impl From<WireError> for CallError {
    fn from(error: WireError) -> Self {
        Self {
            kind: RpcErrorKind::Broken,
            message: error.to_string(),
        }
    }
}

impl Client {
    pub(super) fn new(own_id: CompactString, key: [u8; 32], counters: TrafficCounters) -> Self {
        Self {
            own_id,
            key,
            counters,
            connections: RefCell::default(),
        }
    }

    /// Makes one call within `timeout`, which includes the time to connect.
    pub(super) async fn call(
        &self,
        addr: SocketAddr,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, RpcError> {
        let lane = match request {
            PeerRequest::Chunk { .. } => Lane::Chunks,
            _ => Lane::Control,
        };
        let target = Target { addr, lane };
        let result = tokio::time::timeout(timeout, self.call_with_retry(target, request)).await;
        let error = match result {
            Ok(Ok(reply)) => return Ok(reply),
            Ok(Err(error)) => error,
            Err(_) => {
                // The connection may be stalled, so the next call opens a new one.
                self.connections.borrow_mut().remove(&target);
                CallError {
                    kind: RpcErrorKind::TimedOut,
                    message: format!("no answer within {} ms", timeout.as_millis()),
                }
            }
        };
        Err(RpcError {
            kind: error.kind,
            peer: addr,
            message: error.message,
        })
    }

    /// Makes a call on the open connection, if there is one; if that turns out to be broken,
    /// retries once on a new connection. All calls to peers are safe to retry.
    async fn call_with_retry(
        &self,
        target: Target,
        request: &PeerRequest,
    ) -> Result<PeerReply, CallError> {
        let (connection, reused) = self.connection(target);
        match self.call_on(&connection, target, request).await {
            Err(error) if error.kind == RpcErrorKind::Broken && reused => {
                self.remove_connection(target, &connection);
            }
            Err(error) => {
                self.remove_connection(target, &connection);
                return Err(error);
            }
            Ok(reply) => return Ok(reply),
        }
        let (connection, _) = self.connection(target);
        let result = self.call_on(&connection, target, request).await;
        if result.is_err() {
            self.remove_connection(target, &connection);
        }
        result
    }

    fn connection(&self, target: Target) -> (Rc<Connection>, bool) {
        let mut connections = self.connections.borrow_mut();
        if let Some(connection) = connections.get(&target) {
            return (Rc::clone(connection), connection.peer.initialized());
        }
        let connection = Rc::new(Connection {
            peer: OnceCell::new(),
            task: RefCell::default(),
            last_used: Cell::new(Instant::now()),
        });
        connections.insert(target, Rc::clone(&connection));
        (connection, false)
    }

    fn remove_connection(&self, target: Target, connection: &Rc<Connection>) {
        let mut connections = self.connections.borrow_mut();
        let is_current = connections
            .get(&target)
            .is_some_and(|current| Rc::ptr_eq(current, connection));
        if is_current {
            connections.remove(&target);
        }
    }

    async fn call_on(
        &self,
        connection: &Connection,
        target: Target,
        request: &PeerRequest,
    ) -> Result<PeerReply, CallError> {
        connection.last_used.set(Instant::now());
        let peer = connection
            .peer
            .get_or_try_init(|| self.connect(target, &connection.task))
            .await?;
        let reply = send(peer, request).await;
        connection.last_used.set(Instant::now());
        reply
    }

    async fn connect(
        &self,
        target: Target,
        task: &RefCell<Option<tokio::task::AbortHandle>>,
    ) -> Result<peer::Client, CallError> {
        let stream = TcpStream::connect(target.addr)
            .await
            .map_err(|error| CallError {
                kind: RpcErrorKind::Unreachable,
                message: error.to_string(),
            })?;
        let _ = stream.set_nodelay(true);
        let state = ConnectionState::new(target.lane, self.counters.clone());
        let (read, write) = stream.into_split();
        let network = twoparty::VatNetwork::new(
            CountedStream::new(read.compat(), Rc::clone(&state)),
            CountedStream::new(write.compat_write(), state),
            rpc_twoparty_capnp::Side::Client,
            reader_options(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let bootstrap: authenticator::Client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
        let running = tokio::task::spawn_local(async move {
            if let Err(error) = system.await {
                log::debug!("an RPC connection ended: {error}");
            }
        });
        task.replace(Some(running.abort_handle()));
        self.authenticate(&bootstrap).await
    }

    async fn authenticate(
        &self,
        bootstrap: &authenticator::Client,
    ) -> Result<peer::Client, CallError> {
        let challenge = bootstrap.challenge_request().send().promise.await?;
        let mac = auth::mac(&self.key, challenge.get()?.get_nonce()?, &self.own_id);
        let mut request = bootstrap.authenticate_request();
        request.get().set_id(self.own_id.as_str());
        request.get().set_mac(mac.as_bytes());
        let answer = request.send().promise.await?;
        Ok(answer.get()?.get_peer()?)
    }

    /// Closes connections without a call for [`IDLE_TIMEOUT`]; runs until the RPC thread ends.
    pub(super) async fn close_idle_connections(&self) {
        loop {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
            // A call in flight holds a second reference to its connection.
            self.connections.borrow_mut().retain(|_, connection| {
                Rc::strong_count(connection) > 1
                    || connection.last_used.get().elapsed() < IDLE_TIMEOUT
            });
        }
    }
}

async fn send(peer: &peer::Client, request: &PeerRequest) -> Result<PeerReply, CallError> {
    match request {
        PeerRequest::ChangesSince(revision) => changes_since(peer, *revision).await,
        PeerRequest::Configuration => configuration(peer).await,
        PeerRequest::Members { offset } => members(peer, *offset).await,
        PeerRequest::Chunk { digest, manifest } => {
            let mut call = peer.chunk_request();
            call.get().set_digest(digest.as_bytes());
            call.get().set_manifest(manifest.as_bytes());
            let answer = call.send().promise.await?;
            Ok(match answer.get()?.get_result()?.which()? {
                chunk_result::Data(data) => PeerReply::Chunk(data?.into()),
                chunk_result::Absent(()) => PeerReply::ChunkAbsent,
                chunk_result::Busy(()) => PeerReply::ChunkBusy,
            })
        }
        PeerRequest::Announce { manifest, have } => {
            let mut call = peer.announce_request();
            call.get().set_manifest(manifest.as_bytes());
            call.get().set_have(have);
            let answer = call.send().promise.await?;
            Ok(PeerReply::Announced {
                have: answer.get()?.get_have()?.to_vec(),
            })
        }
    }
}

async fn changes_since(peer: &peer::Client, revision: Revision) -> Result<PeerReply, CallError> {
    let mut call = peer.changes_since_request();
    call.get().set_revision(revision.0);
    let answer = call.send().promise.await?;
    let answer = answer.get()?;
    let mut changes = Vec::new();
    for change in answer.get_changes()? {
        changes.push(read_change(change)?);
    }
    Ok(PeerReply::Changes {
        head: Revision(answer.get_head()),
        changes,
        complete: answer.get_complete(),
    })
}

async fn configuration(peer: &peer::Client) -> Result<PeerReply, CallError> {
    let answer = peer.configuration_request().send().promise.await?;
    let answer = answer.get()?;
    let mut resources = Vec::new();
    for resource in answer.get_resources()? {
        resources.push(read_stored(resource)?);
    }
    Ok(PeerReply::Configuration {
        head: Revision(answer.get_head()),
        resources,
    })
}

async fn members(peer: &peer::Client, offset: u32) -> Result<PeerReply, CallError> {
    let mut call = peer.members_request();
    call.get().set_offset(offset);
    let answer = call.send().promise.await?;
    let answer = answer.get()?;
    let mut members = Vec::new();
    for update in answer.get_updates()? {
        members.push(read_member(update)?);
    }
    Ok(PeerReply::Members {
        members,
        total: answer.get_total(),
    })
}

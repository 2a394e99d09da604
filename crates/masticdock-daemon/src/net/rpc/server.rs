//! Incoming RPC connections and calls.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use capnp::capability::Rc as CapRc;
use capnp_rpc::{RpcSystem, new_client, rpc_twoparty_capnp, twoparty};
use compact_str::CompactString;
use futures::channel::oneshot;
use masticdock_core::ids::{Digest, Revision};
use masticdock_wire::peer_capnp::{authenticator, peer};
use masticdock_wire::{write_change, write_member, write_stored};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use super::counters::{ConnectionState, CountedStream, Lane, TrafficCounters};
use super::{PeerHandler, PeerReply, PeerRequest, auth, reader_options};

/// Maximum number of open connections; each may hold one message in memory.
const CONNECTIONS_MAX: usize = 1_024;

/// Time between two checks for idle connections; one without traffic since the previous check is
/// closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_mins(1);

/// Delay after a failed `accept`, which usually means that the process is out of file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

pub(super) struct Server {
    pub(super) key: [u8; 32],
    pub(super) handler: PeerHandler,
    pub(super) counters: TrafficCounters,
}

/// Accepts connections until the RPC thread ends.
pub(super) async fn accept_connections(listener: TcpListener, server: Rc<Server>) {
    let open = Rc::new(());
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("cannot accept an RPC connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if Rc::strong_count(&open) > CONNECTIONS_MAX {
            log::warn!("rejected an RPC connection: {CONNECTIONS_MAX} are open");
            continue;
        }
        let open = Rc::clone(&open);
        let server = Rc::clone(&server);
        tokio::task::spawn_local(async move {
            serve_connection(stream, server).await;
            drop(open);
        });
    }
}

async fn serve_connection(stream: TcpStream, server: Rc<Server>) {
    // Without `TCP_NODELAY`, small control messages would wait for an acknowledgement.
    let _ = stream.set_nodelay(true);
    let state = ConnectionState::new(Lane::Control, server.counters.clone());
    let (read, write) = stream.into_split();
    let network = twoparty::VatNetwork::new(
        CountedStream::new(read.compat(), Rc::clone(&state)),
        CountedStream::new(write.compat_write(), Rc::clone(&state)),
        rpc_twoparty_capnp::Side::Server,
        reader_options(),
    );
    let bootstrap: authenticator::Client = new_client(AuthenticatorServer {
        server,
        state: Rc::clone(&state),
        nonce: RefCell::new(None),
    });
    let system = RpcSystem::new(Box::new(network), Some(bootstrap.client));
    tokio::select! {
        result = system => {
            if let Err(error) = result {
                log::debug!("an RPC connection ended: {error}");
            }
        }
        () = wait_until_idle(&state) => log::debug!("closed an idle RPC connection"),
    }
}

async fn wait_until_idle(state: &ConnectionState) {
    let mut bytes_before = state.bytes.get();
    loop {
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        let now = state.bytes.get();
        if now == bytes_before {
            return;
        }
        bytes_before = now;
    }
}

struct AuthenticatorServer {
    server: Rc<Server>,
    state: Rc<ConnectionState>,
    /// Removed by the first attempt to authenticate, so that a recorded MAC cannot be replayed.
    nonce: RefCell<Option<[u8; auth::NONCE_LEN]>>,
}

impl authenticator::Server for AuthenticatorServer {
    async fn challenge(
        self: CapRc<Self>,
        _: authenticator::ChallengeParams,
        mut results: authenticator::ChallengeResults,
    ) -> Result<(), capnp::Error> {
        let nonce: [u8; auth::NONCE_LEN] = rand::random();
        results.get().set_nonce(&nonce);
        self.nonce.replace(Some(nonce));
        Ok(())
    }

    async fn authenticate(
        self: CapRc<Self>,
        params: authenticator::AuthenticateParams,
        mut results: authenticator::AuthenticateResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let id = params.get_id()?.to_str()?;
        let Some(nonce) = self.nonce.take() else {
            return Err(self.server.reject());
        };
        if !auth::verify(&self.server.key, &nonce, id, params.get_mac()?) {
            return Err(self.server.reject());
        }
        results.get().set_peer(new_client(PeerServer {
            caller: CompactString::new(id),
            server: Rc::clone(&self.server),
            state: Rc::clone(&self.state),
        }));
        Ok(())
    }
}

impl Server {
    fn reject(&self) -> capnp::Error {
        self.counters.rejected.inc();
        capnp::Error::failed(super::UNAUTHENTICATED.to_owned())
    }
}

struct PeerServer {
    caller: CompactString,
    server: Rc<Server>,
    state: Rc<ConnectionState>,
}

impl PeerServer {
    async fn answer(&self, request: PeerRequest) -> Result<PeerReply, capnp::Error> {
        let (sender, receiver) = oneshot::channel();
        let responder = Box::new(move |reply| {
            // The send fails if the caller has disconnected in the meantime.
            let _ = sender.send(reply);
        });
        (self.server.handler)(self.caller.clone(), request, responder);
        receiver
            .await
            .map_err(|_| capnp::Error::overloaded("the request was not answered".to_owned()))
    }
}

fn mismatched_reply() -> capnp::Error {
    capnp::Error::failed("the handler gave an answer to another request".to_owned())
}

fn list_len(len: usize) -> Result<u32, capnp::Error> {
    u32::try_from(len).map_err(|_| capnp::Error::failed("the list is too long".to_owned()))
}

fn failed(error: &masticdock_wire::WireError) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}

fn digest(bytes: &[u8]) -> Result<Digest, capnp::Error> {
    Digest::try_from(bytes).map_err(|error| capnp::Error::failed(error.to_string()))
}

impl peer::Server for PeerServer {
    async fn changes_since(
        self: CapRc<Self>,
        params: peer::ChangesSinceParams,
        mut results: peer::ChangesSinceResults,
    ) -> Result<(), capnp::Error> {
        let revision = Revision(params.get()?.get_revision());
        let reply = self.answer(PeerRequest::ChangesSince(revision)).await?;
        let PeerReply::Changes {
            head,
            changes,
            complete,
        } = reply
        else {
            return Err(mismatched_reply());
        };
        let mut results = results.get();
        results.set_head(head.0);
        results.set_complete(complete);
        let mut list = results.init_changes(list_len(changes.len())?);
        for (index, change) in (0..).zip(&changes) {
            write_change(change, list.reborrow().get(index)).map_err(|error| failed(&error))?;
        }
        Ok(())
    }

    async fn configuration(
        self: CapRc<Self>,
        _: peer::ConfigurationParams,
        mut results: peer::ConfigurationResults,
    ) -> Result<(), capnp::Error> {
        let reply = self.answer(PeerRequest::Configuration).await?;
        let PeerReply::Configuration { head, resources } = reply else {
            return Err(mismatched_reply());
        };
        let mut results = results.get();
        results.set_head(head.0);
        let mut list = results.init_resources(list_len(resources.len())?);
        for (index, stored) in (0..).zip(&resources) {
            write_stored(stored, list.reborrow().get(index)).map_err(|error| failed(&error))?;
        }
        Ok(())
    }

    async fn chunk(
        self: CapRc<Self>,
        params: peer::ChunkParams,
        mut results: peer::ChunkResults,
    ) -> Result<(), capnp::Error> {
        self.state.lane.set(Lane::Chunks);
        let params = params.get()?;
        let request = PeerRequest::Chunk {
            digest: digest(params.get_digest()?)?,
            manifest: digest(params.get_manifest()?)?,
        };
        let mut result = results.get().init_result();
        match self.answer(request).await? {
            PeerReply::Chunk(data) => result.set_data(&data),
            PeerReply::ChunkAbsent => result.set_absent(()),
            PeerReply::ChunkBusy => result.set_busy(()),
            _ => return Err(mismatched_reply()),
        }
        Ok(())
    }

    async fn announce(
        self: CapRc<Self>,
        params: peer::AnnounceParams,
        mut results: peer::AnnounceResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let request = PeerRequest::Announce {
            manifest: digest(params.get_manifest()?)?,
            have: params.get_have()?.to_vec(),
        };
        let PeerReply::Announced { have } = self.answer(request).await? else {
            return Err(mismatched_reply());
        };
        results.get().set_have(&have);
        Ok(())
    }

    async fn members(
        self: CapRc<Self>,
        params: peer::MembersParams,
        mut results: peer::MembersResults,
    ) -> Result<(), capnp::Error> {
        let offset = params.get()?.get_offset();
        let PeerReply::Members { members, total } =
            self.answer(PeerRequest::Members { offset }).await?
        else {
            return Err(mismatched_reply());
        };
        let mut results = results.get();
        results.set_total(total);
        let mut list = results.init_updates(list_len(members.len())?);
        for (index, member) in (0..).zip(&members) {
            write_member(member, list.reborrow().get(index));
        }
        Ok(())
    }
}

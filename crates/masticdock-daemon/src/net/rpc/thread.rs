//! Start-up and event loop of the RPC thread.

use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use anyhow::Context as _;
use compact_str::CompactString;
use tokio::sync::mpsc;

use super::client::Client;
use super::counters::TrafficCounters;
use super::server::{Server, accept_connections};
use super::{OnReply, PeerHandler, PeerRequest, RpcError, RpcErrorKind, RpcHandle};

struct Call {
    to: SocketAddr,
    request: PeerRequest,
    timeout: Duration,
    on_reply: OnReply,
}

/// Opens the listener and starts the RPC thread.
///
/// # Errors
///
/// Fails when the address cannot be bound, or the thread or its event loop cannot be started.
pub(crate) fn spawn(
    listen: SocketAddr,
    own_id: CompactString,
    key: [u8; 32],
    handler: PeerHandler,
) -> anyhow::Result<RpcHandle> {
    let listener = TcpListener::bind(listen)
        .with_context(|| format!("cannot listen for RPC on {listen}; tip: check `peer_addr`"))?;
    spawn_on(listener, own_id, key, handler)
}

/// Starts the RPC thread on an open listener.
///
/// # Errors
///
/// Fails when the thread or its event loop cannot be started.
pub(crate) fn spawn_on(
    listener: TcpListener,
    own_id: CompactString,
    key: [u8; 32],
    handler: PeerHandler,
) -> anyhow::Result<RpcHandle> {
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the event loop of the RPC thread")?;
    let counters = TrafficCounters::new();
    let server_counters = counters.clone();
    let client_counters = counters.clone();
    let (sender, receiver) = mpsc::unbounded_channel::<Call>();
    thread::Builder::new()
        .name("rpc".to_owned())
        .spawn(move || {
            let server = Rc::new(Server {
                key,
                handler,
                counters: server_counters,
            });
            let client = Rc::new(Client::new(own_id, key, client_counters));
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, run(listener, server, client, receiver));
        })
        .context("cannot start the RPC thread")?;
    let call = move |to, request, timeout, on_reply| {
        let call = Call {
            to,
            request,
            timeout,
            on_reply,
        };
        if let Err(mpsc::error::SendError(call)) = sender.send(call) {
            (call.on_reply)(Err(RpcError {
                kind: RpcErrorKind::Broken,
                peer: call.to,
                message: "the RPC thread has ended".to_owned(),
            }));
        }
    };
    Ok(RpcHandle::with_counters(call, counters))
}

async fn run(
    listener: TcpListener,
    server: Rc<Server>,
    client: Rc<Client>,
    mut calls: mpsc::UnboundedReceiver<Call>,
) {
    match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => {
            tokio::task::spawn_local(accept_connections(listener, server));
        }
        Err(error) => log::error!("cannot register the RPC listener: {error}"),
    }
    let idle_client = Rc::clone(&client);
    tokio::task::spawn_local(async move { idle_client.close_idle_connections().await });
    while let Some(call) = calls.recv().await {
        let client = Rc::clone(&client);
        tokio::task::spawn_local(async move {
            let result = client.call(call.to, &call.request, call.timeout).await;
            (call.on_reply)(result);
        });
    }
}

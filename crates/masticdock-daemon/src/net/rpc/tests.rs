//! Tests of RPC between two processes over loopback connections.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crossbeam::channel;
use masticdock_core::ids::Digest;

use super::{
    PeerHandler, PeerReply, PeerRequest, RpcError, RpcErrorKind, RpcHandle, spawn, spawn_on,
};

const KEY: [u8; 32] = [7; 32];
const TIMEOUT: Duration = Duration::from_secs(20);

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

fn echo() -> PeerHandler {
    Arc::new(|caller, request, respond| match request {
        PeerRequest::Announce { have, .. } => respond(PeerReply::Announced {
            have: [caller.as_bytes(), &have].concat(),
        }),
        PeerRequest::Chunk { digest, .. } => {
            respond(PeerReply::Chunk(vec![digest.as_bytes()[0]; 9 << 20].into()));
        }
        _ => drop(respond),
    })
}

fn call(rpc: &RpcHandle, to: SocketAddr, request: PeerRequest) -> Result<PeerReply, RpcError> {
    let (sender, receiver) = channel::bounded(1);
    let on_reply = Box::new(move |result| sender.send(result).unwrap());
    rpc.call(to, request, TIMEOUT, on_reply);
    receiver.recv().unwrap()
}

fn announce(have: &[u8]) -> PeerRequest {
    PeerRequest::Announce {
        manifest: Digest::of(b"m"),
        have: have.to_vec(),
    }
}

/// Guards against a traversal limit below the size of a chunk and against chunk bytes that are
/// counted as control bytes.
#[test]
fn chunk_arrives_and_is_counted_separately() {
    let (socket, addr) = listener();
    let _server = spawn_on(socket, "b".into(), KEY, echo()).unwrap();
    let rpc = spawn("127.0.0.1:0".parse().unwrap(), "a".into(), KEY, echo()).unwrap();

    let reply = call(&rpc, addr, announce(b"xyz")).unwrap();
    let expected = PeerReply::Announced {
        have: b"axyz".to_vec(),
    };
    assert_eq!(reply, expected);

    let request = PeerRequest::Chunk {
        digest: Digest::from_bytes([3; 32]),
        manifest: Digest::of(b"m"),
    };
    let reply = call(&rpc, addr, request).unwrap();
    assert_eq!(reply, PeerReply::Chunk(vec![3; 9 << 20].into()));
    assert!(rpc.counters().control_received().get() < 4_096);
    assert!(rpc.counters().chunks_received.get() > 9 << 20);
}

/// Guards against a server that answers callers without the shared key or does
/// not count them.
#[test]
fn wrong_key_is_rejected() {
    let (socket, addr) = listener();
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&calls);
    let handler: PeerHandler = Arc::new(move |_, _, respond| {
        counted.fetch_add(1, Ordering::SeqCst);
        respond(PeerReply::ChunkAbsent);
    });
    let server = spawn_on(socket, "b".into(), KEY, handler).unwrap();
    let rpc = spawn("127.0.0.1:0".parse().unwrap(), "a".into(), [8; 32], echo()).unwrap();

    let error = call(&rpc, addr, announce(b"")).unwrap_err();

    assert_eq!(error.kind, RpcErrorKind::Unauthenticated);
    assert_eq!(calls.load(Ordering::SeqCst), 0);
    assert_eq!(server.counters().rejected.get(), 1);
}

/// Guards against a client that keeps a broken connection for reuse: the first connection to this
/// address is closed after it was authenticated.
#[test]
fn broken_connection_is_replaced() {
    let (socket, addr) = listener();
    let (relay, relay_addr) = listener();
    let _server = spawn_on(socket, "b".into(), KEY, echo()).unwrap();
    let (close_sender, close_signal) = channel::bounded::<()>(1);
    std::thread::spawn(move || {
        for round in 0..2 {
            let (client, _) = relay.accept().unwrap();
            let server = std::net::TcpStream::connect(addr).unwrap();
            copy(&client, &server);
            copy(&server, &client);
            if round == 0 {
                close_signal.recv().unwrap();
                client.shutdown(std::net::Shutdown::Both).unwrap();
            }
        }
    });
    let rpc = spawn("127.0.0.1:0".parse().unwrap(), "a".into(), KEY, echo()).unwrap();

    assert!(call(&rpc, relay_addr, announce(b"1")).is_ok());
    close_sender.send(()).unwrap();
    assert!(call(&rpc, relay_addr, announce(b"2")).is_ok());
}

fn copy(from: &std::net::TcpStream, to: &std::net::TcpStream) {
    let (mut from, mut to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
    std::thread::spawn(move || std::io::copy(&mut from, &mut to));
}

/// Guards against a call that never ends when no process listens on the address.
#[test]
fn unreachable_peer_is_reported() {
    let (socket, addr) = listener();
    drop(socket);
    let rpc = spawn("127.0.0.1:0".parse().unwrap(), "a".into(), KEY, echo()).unwrap();

    let error = call(&rpc, addr, announce(b"")).unwrap_err();

    assert_eq!(error.kind, RpcErrorKind::Unreachable);
}

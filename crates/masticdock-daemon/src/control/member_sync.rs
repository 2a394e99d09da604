//! Thread that reads the whole member list of another process.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crossbeam::channel::unbounded;
use masticdock_core::membership::{Liveness, Member};
use rand::Rng;
use rand::seq::IteratorRandom;

use super::{ControlHandle, ControlMsg};
use crate::net::rpc::{PeerReply, PeerRequest, RpcHandle};

/// Timeout of one call to a peer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two attempts until one succeeds.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reads after a successful one; repairs updates that gossip lost.
///
/// A list of 3,100 members is about 0.6 MB, so one read an hour costs about 0.2 KB/s.
const SYNC_INTERVAL: Duration = Duration::from_hours(1);

/// Starts the thread.
///
/// # Errors
///
/// Fails when the thread cannot be started.
pub(super) fn spawn(
    rpc: RpcHandle,
    seed_addrs: Vec<SocketAddr>,
    own_id: String,
    control: ControlHandle,
) -> anyhow::Result<()> {
    thread::Builder::new()
        .name("member-sync".to_owned())
        .spawn(move || {
            loop {
                let synced = sync_once(&rpc, &seed_addrs, &own_id, &control);
                let base = if synced {
                    SYNC_INTERVAL
                } else {
                    RETRY_INTERVAL
                };
                // Jitter spreads the reads of processes that started at the same time.
                thread::sleep(base.mul_f64(rand::rng().random_range(0.75..1.25)));
            }
        })?;
    Ok(())
}

fn sync_once(
    rpc: &RpcHandle,
    seed_addrs: &[SocketAddr],
    own_id: &str,
    control: &ControlHandle,
) -> bool {
    let snapshot = control.snapshot();
    let members = snapshot.members.iter();
    let alive = members.filter(|m| m.id != own_id && m.liveness == Liveness::Alive);
    let mut peers: Vec<SocketAddr> = alive.map(|member| member.peer_addr).collect();
    if peers.is_empty() {
        peers.extend_from_slice(seed_addrs);
    }
    let Some(peer) = peers.into_iter().choose(&mut rand::rng()) else {
        return false;
    };
    let mut offset = 0;
    loop {
        let Some((page, total)) = read_page(rpc, peer, offset) else {
            return false;
        };
        let len = u32::try_from(page.len()).unwrap_or(u32::MAX);
        control.send(ControlMsg::Members(page));
        offset = offset.saturating_add(len);
        if len == 0 || offset >= total {
            return true;
        }
    }
}

fn read_page(rpc: &RpcHandle, peer: SocketAddr, offset: u32) -> Option<(Vec<Member>, u32)> {
    let (sender, receiver) = unbounded();
    let on_reply = move |reply| {
        let _ = sender.send(reply);
    };
    let request = PeerRequest::Members { offset };
    rpc.call(peer, request, CALL_TIMEOUT, Box::new(on_reply));
    match receiver.recv_timeout(CALL_TIMEOUT) {
        Ok(Ok(PeerReply::Members { members, total })) => Some((members, total)),
        _ => None,
    }
}

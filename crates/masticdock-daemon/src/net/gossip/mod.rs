//! Gossip over UDP.
//!
//! One thread receives and authenticates datagrams and passes their messages to the control thread,
//! which alone acts on them and sends through [`GossipSender`].

mod datagram;
mod sender;
#[cfg(test)]
mod tests;

use std::net::{SocketAddr, UdpSocket};
use std::thread;

use anyhow::Context as _;
use masticdock_core::membership::GossipMessage;
use prometheus::{IntCounter, Registry};

pub(crate) use sender::GossipSender;

use crate::net::rpc::TrafficCounters;
use datagram::{DATAGRAM_BYTES_MAX, open};

/// Size of the IPv4 and UDP headers of a datagram, for the byte counters.
const HEADER_BYTES: u64 = 28;

/// Opens the socket and starts the thread that receives datagrams.
///
/// `deliver` runs on that thread for each authentic datagram and must not block.
///
/// # Errors
///
/// Fails when the address cannot be bound, the counter is registered already, or the thread cannot
/// be started.
pub(crate) fn spawn(
    listen: SocketAddr,
    key: [u8; 32],
    counters: &TrafficCounters,
    registry: &Registry,
    deliver: impl Fn(SocketAddr, GossipMessage) + Send + 'static,
) -> anyhow::Result<GossipSender> {
    let socket = UdpSocket::bind(listen)
        .with_context(|| format!("cannot listen for gossip on {listen}; tip: check `peer_addr`"))?;
    let rejected = IntCounter::new(
        "masticdock_gossip_refused_total",
        "Datagrams refused for a wrong MAC or malformed content.",
    )?;
    registry.register(Box::new(rejected.clone()))?;
    let receiver = Receiver {
        socket: socket.try_clone()?,
        key,
        received: counters.control_received().clone(),
        rejected,
    };
    thread::Builder::new()
        .name("gossip".to_owned())
        .spawn(move || receiver.run(&deliver))?;
    Ok(GossipSender::new(
        socket,
        key,
        counters.control_sent().clone(),
    ))
}

struct Receiver {
    socket: UdpSocket,
    key: [u8; 32],
    received: IntCounter,
    rejected: IntCounter,
}

impl Receiver {
    fn run(&self, deliver: &dyn Fn(SocketAddr, GossipMessage)) {
        // One byte more than the maximum, so that longer datagrams are detected.
        let mut buffer = [0; DATAGRAM_BYTES_MAX + 1];
        loop {
            let (len, from) = match self.socket.recv_from(&mut buffer) {
                Ok(received) => received,
                Err(error) => {
                    // An ICMP "port unreachable" message for a sent datagram is reported here.
                    log::debug!("cannot receive gossip: {error}");
                    continue;
                }
            };
            self.received.inc_by(len as u64 + HEADER_BYTES);
            match open(&self.key, &buffer[..len]) {
                Ok(message) => deliver(from, message),
                Err(error) => {
                    self.rejected.inc();
                    log::debug!("rejected gossip datagram from {from}: {error}");
                }
            }
        }
    }
}

//! Sending of gossip datagrams.

use std::net::UdpSocket;

use masticdock_core::membership::OutgoingDatagram;
use prometheus::IntCounter;

use super::HEADER_BYTES;
use super::datagram::seal_to_fit;

/// Sends gossip datagrams and counts their bytes.
#[derive(Debug)]
pub(crate) struct GossipSender {
    socket: UdpSocket,
    key: [u8; 32],
    sent: IntCounter,
}

impl GossipSender {
    pub(super) const fn new(socket: UdpSocket, key: [u8; 32], sent: IntCounter) -> Self {
        Self { socket, key, sent }
    }

    /// Sends datagrams without retry: gossip tolerates the loss of one that cannot be sent.
    pub(crate) fn send(&self, outgoing: &[OutgoingDatagram]) {
        for out in outgoing {
            let datagram = seal_to_fit(&self.key, &out.message);
            match self.socket.send_to(&datagram, out.to) {
                Ok(len) => self.sent.inc_by(len as u64 + HEADER_BYTES),
                Err(error) => log::debug!("cannot send gossip to {}: {error}", out.to),
            }
        }
    }
}

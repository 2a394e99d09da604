//! Encoding and authentication of gossip datagrams: a MAC followed by the packed message.

use masticdock_core::membership::GossipMessage;
use masticdock_wire::{WireError, decode_gossip, encode_gossip};

/// Maximum size of a datagram; fits into one frame of every network in use, so that it is never
/// fragmented.
pub(super) const DATAGRAM_BYTES_MAX: usize = 1_200;
/// Length of the keyed BLAKE3 MAC that precedes the message.
const MAC_BYTES: usize = 32;

/// Reason for which a received datagram is rejected.
#[derive(Debug, thiserror::Error)]
pub(super) enum OpenError {
    /// The datagram is shorter than a MAC or longer than allowed.
    #[error("length is not between {MAC_BYTES} and {DATAGRAM_BYTES_MAX} bytes")]
    Length,
    /// The sender does not hold the shared key, or the datagram is corrupt.
    #[error("wrong MAC; tip: check that all processes use the same `peer_key_file`")]
    Mac,
    /// The message is malformed.
    #[error(transparent)]
    Wire(#[from] WireError),
}

/// Checks the length and the MAC of a datagram and decodes its message.
pub(super) fn open(key: &[u8; 32], datagram: &[u8]) -> Result<GossipMessage, OpenError> {
    if datagram.len() < MAC_BYTES || datagram.len() > DATAGRAM_BYTES_MAX {
        return Err(OpenError::Length);
    }
    let (mac, body) = datagram.split_at(MAC_BYTES);
    let expected = blake3::keyed_hash(key, body);
    // `Hash` compares in constant time.
    if expected != *mac {
        return Err(OpenError::Mac);
    }
    Ok(decode_gossip(body)?)
}

fn seal(key: &[u8; 32], message: &GossipMessage) -> Vec<u8> {
    let body = encode_gossip(message);
    let mut datagram = Vec::with_capacity(MAC_BYTES + body.len());
    datagram.extend_from_slice(blake3::keyed_hash(key, &body).as_bytes());
    datagram.extend_from_slice(&body);
    datagram
}

/// Drops the last record of the kind that matters least for convergence: demands first, then member
/// updates, then crashes. Returns false when none is left.
fn drop_record(message: &mut GossipMessage) -> bool {
    message.demands.pop().is_some()
        || message.updates.pop().is_some()
        || message.crashes.pop().is_some()
}

/// Encodes and authenticates a message, without the records that do not fit into one datagram.
pub(super) fn seal_to_fit(key: &[u8; 32], message: &GossipMessage) -> Vec<u8> {
    let datagram = seal(key, message);
    if datagram.len() <= DATAGRAM_BYTES_MAX {
        return datagram;
    }
    let mut truncated = message.clone();
    while drop_record(&mut truncated) {
        let datagram = seal(key, &truncated);
        if datagram.len() <= DATAGRAM_BYTES_MAX {
            return datagram;
        }
    }
    datagram
}

//! Detects slow links by the time that the transfer of a chunk takes.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Transfer time of a chunk from which on a link is slow: six times that on an idle
/// link.
const SLOW_BODY_DURATION: Duration = Duration::from_millis(250);
/// Number of slow peers from which on the link of this VM may be the slow one.
const SLOW_PEERS_FOR_SLOW_OWN_LINK: usize = 3;

/// Links that are slow, according to the transfer times of chunks.
#[derive(Debug, Default)]
pub(crate) struct LinkSpeeds {
    slow_peers: HashSet<SocketAddr>,
    fast_peers: HashSet<SocketAddr>,
    own_link_slow: bool,
}

impl LinkSpeeds {
    /// Records the transfer time of a chunk from `peer`.
    pub(crate) fn record_read(&mut self, peer: SocketAddr, body_duration: Duration) {
        if body_duration < SLOW_BODY_DURATION {
            self.fast_peers.insert(peer);
            self.slow_peers.remove(&peer);
            return;
        }
        self.slow_peers.insert(peer);
        // If more peers are slow than fast, the cause is the link that they share: the
        // one of this VM.
        let fast_count = self.fast_peers.difference(&self.slow_peers).count();
        if self.slow_peers.len() >= SLOW_PEERS_FOR_SLOW_OWN_LINK
            && self.slow_peers.len() > fast_count
        {
            self.own_link_slow = true;
        }
    }

    /// Returns true if the link of `peer` is slow, unless the cause is the link of this
    /// VM.
    pub(crate) fn is_slow_peer(&self, peer: &SocketAddr) -> bool {
        self.slow_peers.contains(peer) && !self.own_link_slow
    }

    /// Returns true if a transfer time reflects the link of this VM. That of a slow
    /// peer does not, unless the link of this VM is known to be slow.
    pub(crate) fn reflects_own_link(&self, body_duration: Duration) -> bool {
        body_duration < SLOW_BODY_DURATION || self.own_link_slow
    }
}

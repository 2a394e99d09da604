//! Slow links, told apart by the time that bodies of pieces take.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for the body of a piece above which a link is slow: six times that of
/// an idle one.
const SLOW_BODY_DURATION: Duration = Duration::from_millis(250);
/// Slow peers from which on the own link is taken for the slow one.
const SLOW_PEERS_FOR_SLOW_OWN_LINK: usize = 3;

/// Which links are slow, as the bodies of pieces showed.
#[derive(Debug, Default)]
pub(crate) struct LinkSpeeds {
    slow_peers: HashSet<SocketAddr>,
    fast_peers: HashSet<SocketAddr>,
    own_link_slow: bool,
}

impl LinkSpeeds {
    /// Notes how long the body of a piece of `peer` took.
    pub(crate) fn record_read(&mut self, peer: SocketAddr, body_duration: Duration) {
        if body_duration < SLOW_BODY_DURATION {
            self.fast_peers.insert(peer);
            self.slow_peers.remove(&peer);
            return;
        }
        self.slow_peers.insert(peer);
        // Many slow peers and few fast ones: what they share is this VM's link.
        let fast_count = self.fast_peers.difference(&self.slow_peers).count();
        if self.slow_peers.len() >= SLOW_PEERS_FOR_SLOW_OWN_LINK
            && self.slow_peers.len() > fast_count
        {
            self.own_link_slow = true;
        }
    }

    /// Returns true for a peer whose link is slow, unless it is the own one.
    pub(crate) fn is_slow_peer(&self, peer: &SocketAddr) -> bool {
        self.slow_peers.contains(peer) && !self.own_link_slow
    }

    /// Returns true when the time of a body says something of the own link, which
    /// that of a single slow peer does not.
    pub(crate) fn reflects_own_link(&self, body_duration: Duration) -> bool {
        body_duration < SLOW_BODY_DURATION || self.own_link_slow
    }
}

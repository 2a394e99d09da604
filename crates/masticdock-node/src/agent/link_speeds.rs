//! Slow links, told apart by the time that bodies of pieces take.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for the body of a piece above which a link is slow: six times that of
/// an idle one.
const SLOW_BODY: Duration = Duration::from_millis(250);
/// Slow peers from which on the own link is taken for the slow one.
const SLOW_PEERS_MAX: usize = 3;

/// Which links are slow, as the bodies of pieces showed.
#[derive(Debug, Default)]
pub(crate) struct Links {
    slow_peers: HashSet<SocketAddr>,
    fast_peers: HashSet<SocketAddr>,
    own_is_slow: bool,
}

impl Links {
    /// Notes how long the body of a piece of `peer` took.
    pub(crate) fn note(&mut self, peer: SocketAddr, took: Duration) {
        if took < SLOW_BODY {
            self.fast_peers.insert(peer);
            self.slow_peers.remove(&peer);
            return;
        }
        self.slow_peers.insert(peer);
        // Many slow peers and few fast ones: what they share is this VM's link.
        let fast = self.fast_peers.difference(&self.slow_peers).count();
        if self.slow_peers.len() >= SLOW_PEERS_MAX && self.slow_peers.len() > fast {
            self.own_is_slow = true;
        }
    }

    /// Returns true for a peer whose link is slow, unless it is the own one.
    pub(crate) fn is_slow(&self, peer: &SocketAddr) -> bool {
        self.slow_peers.contains(peer) && !self.own_is_slow
    }

    /// Returns true when the time of a body says something of the own link, which
    /// that of a single slow peer does not.
    pub(crate) fn shows_own(&self, took: Duration) -> bool {
        took < SLOW_BODY || self.own_is_slow
    }
}

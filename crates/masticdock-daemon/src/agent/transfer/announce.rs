//! Exchange of bitmaps of held chunks with neighbours.

use std::time::Duration;

use compact_str::CompactString;
use masticdock_core::ids::Digest;
use masticdock_core::transfer::Fault;
use masticdock_core::units::MonoMs;

use super::message::Message;
use super::worker::Worker;
use crate::net::rpc::{PeerReply, PeerRequest, RpcError};

impl Worker {
    /// Exchanges bitmaps with the neighbour whose last exchange is the oldest, once per
    /// announcement interval for all copies together.
    pub(super) fn announce_due(&mut self, fetching: &[Digest], now: MonoMs) {
        if now < self.announce_at {
            return;
        }
        let mut oldest = None;
        for digest in fetching {
            let Some(copy) = self.copies.get(digest) else {
                continue;
            };
            for neighbour in &copy.neighbours {
                let id = &neighbour.peer.id;
                // The bitmap of a complete neighbour does not change.
                if neighbour.announcing
                    || neighbour.have.is_full()
                    || self.sender_backoff.is_failing(id, now)
                {
                    continue;
                }
                let key = (neighbour.exchanged_at, id, digest);
                if oldest.is_none_or(|oldest| key < oldest) {
                    oldest = Some(key);
                }
            }
        }
        let Some((_, id, digest)) = oldest else {
            return;
        };
        let (id, digest) = (id.clone(), *digest);
        self.announce_at = now.plus_ms(self.config.settings.announce_interval_ms);
        self.announce_to(&digest, &id);
    }

    fn announce_to(&mut self, digest: &Digest, id: &str) {
        let Some(copy) = self.copies.get_mut(digest) else {
            return;
        };
        let have = copy.announced_bitmap();
        let Some(neighbour) = copy.neighbour(id) else {
            return;
        };
        neighbour.announcing = true;
        let addr = neighbour.peer.peer_addr;
        let peer = neighbour.peer.id.clone();
        let manifest = *digest;
        let results = self.results.clone();
        let on_reply = Box::new(move |result| {
            let _ = results.send(Message::AnnounceReply {
                manifest,
                peer,
                result,
            });
        });
        let request = PeerRequest::Announce { manifest, have };
        let timeout = Duration::from_millis(self.config.settings.stall_timeout_ms);
        self.rpc.call(addr, request, timeout, on_reply);
    }

    pub(super) fn on_announce_reply(
        &mut self,
        manifest: &Digest,
        peer: &CompactString,
        result: Result<PeerReply, RpcError>,
        now: MonoMs,
    ) {
        let limit = self.neighbour_limit();
        let Some(copy) = self.copies.get_mut(manifest) else {
            return;
        };
        if let Some(neighbour) = copy.neighbour(peer) {
            neighbour.announcing = false;
            neighbour.exchanged_at = Some(now);
        }
        match result {
            Ok(PeerReply::Announced { have }) => {
                copy.record_bitmap(peer, &have, &self.config.own, limit, now);
            }
            Ok(_) => log::debug!("reply from {peer} does not match the announcement"),
            Err(error) => {
                log::debug!("announcement failed: {error}");
                self.sender_backoff
                    .record_fault(peer, Fault::Unreachable, now);
            }
        }
    }
}

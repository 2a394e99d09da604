//! Adoption of a configuration from peers while the table is down.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crossbeam::channel::unbounded;
use masticdock_core::config_log::{ConfigState, PeerRevision, choose_peer};
use masticdock_core::ids::{Revision, ZoneId};
use masticdock_core::membership::{Liveness, Member};
use rand::seq::SliceRandom;

use super::Snapshot;
use crate::net::rpc::{PeerReply, PeerRequest, RpcHandle};

/// Peers asked in each availability zone.
const PEERS_PER_ZONE: usize = 3;
/// Availability zones that must answer, when as many are known.
const ZONES_NEEDED: usize = 2;
/// Time for the answers of all peers.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

fn peers_by_zone(snapshot: &Snapshot, own_id: &str) -> BTreeMap<ZoneId, Vec<Member>> {
    let mut zones: BTreeMap<ZoneId, Vec<Member>> = BTreeMap::new();
    for member in snapshot.members.iter() {
        if member.id == own_id || member.liveness != Liveness::Alive {
            continue;
        }
        zones
            .entry(member.zone.clone())
            .or_default()
            .push(member.clone());
    }
    let mut rng = rand::rng();
    for members in zones.values_mut() {
        members.shuffle(&mut rng);
        members.truncate(PEERS_PER_ZONE);
    }
    zones
}

/// Asks peers of several availability zones and takes the highest revision.
///
/// Returns `None` when too few zones answered or no peer holds a configuration.
pub(super) fn adopt_from_peers(
    rpc: &RpcHandle,
    snapshot: &Snapshot,
    own_id: &str,
) -> Option<ConfigState> {
    let zones = peers_by_zone(snapshot, own_id);
    let zones_needed = zones.len().min(ZONES_NEEDED);
    let peers: Vec<Member> = zones.into_values().flatten().collect();
    let offers = collect_offers(rpc, &peers);
    let best = choose_peer(&offers, zones_needed)?;
    let state = fetch(rpc, best.peer)?;
    // The peer may have moved on since its offer, but never back.
    (state.revision() >= best.revision).then_some(state)
}

fn collect_offers(rpc: &RpcHandle, peers: &[Member]) -> Vec<PeerRevision<SocketAddr>> {
    let (sender, receiver) = unbounded();
    for peer in peers {
        let sender = sender.clone();
        let (address, zone) = (peer.peer_addr, peer.zone.clone());
        // No change lies above the highest number, so the answer is the revision alone.
        let request = PeerRequest::ChangesSince(Revision(u64::MAX));
        let on_reply = move |reply| {
            if let Ok(PeerReply::Changes { head, .. }) = reply {
                let offer = PeerRevision {
                    peer: address,
                    zone,
                    revision: head,
                };
                let _ = sender.send(offer);
            }
        };
        rpc.call(address, request, ANSWER_TIMEOUT, Box::new(on_reply));
    }
    drop(sender);
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let mut offers = Vec::new();
    let mut answered = BTreeSet::new();
    while let Ok(offer) = receiver.recv_deadline(deadline) {
        if answered.insert(offer.peer) {
            offers.push(offer);
        }
    }
    offers
}

fn fetch(rpc: &RpcHandle, peer: SocketAddr) -> Option<ConfigState> {
    let (sender, receiver) = unbounded();
    let on_reply = move |reply| {
        let _ = sender.send(reply);
    };
    rpc.call(
        peer,
        PeerRequest::Configuration,
        ANSWER_TIMEOUT,
        Box::new(on_reply),
    );
    match receiver.recv_timeout(ANSWER_TIMEOUT) {
        Ok(Ok(PeerReply::Configuration { head, resources })) => {
            Some(ConfigState::from_resources(head, resources))
        }
        _ => None,
    }
}

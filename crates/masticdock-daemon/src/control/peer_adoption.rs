//! Adoption of a configuration from peers while the table service is unavailable.

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

/// Maximum number of peers asked in each availability zone.
const PEERS_PER_ZONE: usize = 3;
/// Number of availability zones that must answer, or all known zones if there are fewer.
const ZONES_MIN: usize = 2;
/// Timeout for the answers of all peers to one round of calls.
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

/// Asks peers in several availability zones and returns the configuration of the highest revision.
///
/// Returns `None` when too few zones answered, no peer holds a configuration, or the peer with the
/// highest revision does not hand it over.
pub(super) fn adopt_from_peers(
    rpc: &RpcHandle,
    snapshot: &Snapshot,
    own_id: &str,
) -> Option<ConfigState> {
    let zones = peers_by_zone(snapshot, own_id);
    let zones_min = zones.len().min(ZONES_MIN);
    let peers: Vec<Member> = zones.into_values().flatten().collect();
    let peer_revisions = collect_peer_revisions(rpc, &peers);
    let best = choose_peer(&peer_revisions, zones_min)?;
    let state = fetch_configuration(rpc, best.peer)?;
    // The peer's revision may have risen since its answer, but must not have fallen.
    (state.revision() >= best.revision).then_some(state)
}

fn collect_peer_revisions(rpc: &RpcHandle, peers: &[Member]) -> Vec<PeerRevision<SocketAddr>> {
    let (sender, receiver) = unbounded();
    for peer in peers {
        let sender = sender.clone();
        let (address, zone) = (peer.peer_addr, peer.zone.clone());
        // No change is above the highest possible revision, so the answer holds the head revision
        // and no changes.
        let request = PeerRequest::ChangesSince(Revision(u64::MAX));
        let on_reply = move |reply| {
            if let Ok(PeerReply::Changes { head, .. }) = reply {
                let peer_revision = PeerRevision {
                    peer: address,
                    zone,
                    revision: head,
                };
                let _ = sender.send(peer_revision);
            }
        };
        rpc.call(address, request, ANSWER_TIMEOUT, Box::new(on_reply));
    }
    drop(sender);
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let mut peer_revisions = Vec::new();
    let mut answered = BTreeSet::new();
    while let Ok(peer_revision) = receiver.recv_deadline(deadline) {
        if answered.insert(peer_revision.peer) {
            peer_revisions.push(peer_revision);
        }
    }
    peer_revisions
}

fn fetch_configuration(rpc: &RpcHandle, peer: SocketAddr) -> Option<ConfigState> {
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

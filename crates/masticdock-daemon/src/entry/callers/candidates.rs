//! Agents that can take requests of a service, according to a snapshot.

use std::net::SocketAddr;

use masticdock_core::ids::VersionId;
use masticdock_core::membership::{Liveness, Member, Phase, Role};
use masticdock_core::resource::{Service, ServiceKind};
use masticdock_core::router::Candidate;

use crate::control::Snapshot;

/// Returns the agents that can take requests of `service`.
///
/// Suspect agents are candidates only while no agent is alive.
pub(super) fn candidates(service: &Service, snapshot: &Snapshot) -> Vec<(Candidate, SocketAddr)> {
    for liveness in [Liveness::Alive, Liveness::Suspect] {
        let mut found = Vec::new();
        for member in snapshot.members.iter() {
            if member.liveness != liveness || !accepts_requests(member, service, snapshot) {
                continue;
            }
            let Some(addr) = member.traffic_addr else {
                continue;
            };
            let candidate = Candidate {
                id: member.id.clone(),
                region: member.region.clone(),
                zone: member.zone.clone(),
                version: member.status.serving_version.clone(),
            };
            found.push((candidate, addr));
        }
        if !found.is_empty() {
            return found;
        }
    }
    Vec::new()
}

/// Returns true when an agent is not leaving and serves `service`.
fn accepts_requests(member: &Member, service: &Service, snapshot: &Snapshot) -> bool {
    if member.role != Role::Agent
        || member.status.leaving
        || snapshot.marked_leaving.contains(&member.id)
        || !member.status.services.contains(&service.name)
    {
        return false;
    }
    if service.upstream == ServiceKind::Plain {
        return true;
    }
    let not_serving = matches!(member.status.phase, Phase::Draining | Phase::Loading);
    member.status.serving_version.is_some() && !not_serving
}

/// Returns true when an agent that takes no requests at present may take those of `service` again,
/// with the required version if there is one.
pub(super) fn may_return(
    service: &Service,
    required_version: Option<&VersionId>,
    snapshot: &Snapshot,
) -> bool {
    let assigned = |version: &VersionId| {
        let mut rollouts = snapshot.config.rollouts();
        rollouts.any(|(_, rollout)| rollout.version == *version)
    };
    snapshot.members.iter().any(|member| {
        member.role == Role::Agent
            && member.liveness != Liveness::Left
            && !member.status.leaving
            && member.status.services.contains(&service.name)
            && required_version.is_none_or(|version| match &member.status.serving_version {
                Some(serving) => serving == version,
                None => assigned(version),
            })
    })
}

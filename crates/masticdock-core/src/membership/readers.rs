//! Selection of the processes that read from the platform for their availability zone.

use super::{Liveness, Member};
use crate::rendezvous;

/// Returns true when `own` is one of the `count` readers of its availability zone.
///
/// Readers are the highest-ranked live members of the zone in the rendezvous
/// order of `purpose`. Views of the members differ briefly after a failure, and a
/// zone may then have one reader more or fewer, which is harmless because reads
/// have no side effects.
#[must_use]
pub fn is_reader(purpose: &[u8], members: &[Member], own: &Member, count: usize) -> bool {
    let mut live: Vec<&Member> = Vec::new();
    for member in members {
        let is_candidate = member.id == own.id || member.liveness == Liveness::Alive;
        if is_candidate && member.zone == own.zone {
            live.push(member);
        }
    }
    let position = rendezvous::position(purpose, &live, |member| member.id.as_str(), &own.id);
    position.is_none_or(|position| position < count)
}

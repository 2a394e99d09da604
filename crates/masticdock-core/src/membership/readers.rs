//! Choice of the processes that read the platform for their availability zone.

use super::{Liveness, Member};
use crate::rendezvous;

/// Returns true when `own` is among the `count` readers of its availability zone.
///
/// Every process ranks the live members of its zone alike. Views differ for
/// moments after a failure; then a zone has one reader more or fewer, which is
/// harmless because reads change nothing.
#[must_use]
pub fn is_reader(purpose: &[u8], members: &[Member], own: &Member, count: usize) -> bool {
    let mut live: Vec<&Member> = Vec::new();
    for member in members {
        let counts = member.id == own.id || member.liveness == Liveness::Alive;
        if counts && member.zone == own.zone {
            live.push(member);
        }
    }
    let position = rendezvous::position(purpose, &live, |member| member.id.as_str(), &own.id);
    position.is_none_or(|position| position < count)
}

//! Members of the fleet as one process sees them.

mod member;

pub use member::{Liveness, Member, MemberStatus, Phase, Role};

//! Members of the fleet as one process sees them.
//!
//! [`Swim`] probes members in the manner of SWIM and spreads updates by gossip.
//! It performs no I/O: it is given datagrams and the time and returns datagrams.

mod fresh;
mod member;
mod merge;
mod message;
mod probe;
mod readers;
mod region;
mod swim;
mod view;

pub use fresh::{FreshQueue, send_limit};
pub use member::{Liveness, Member, MemberStatus, Phase, Role};
pub use merge::merge;
pub use message::{GossipKind, GossipMessage, OutgoingDatagram, StatusUpdate};
pub use readers::is_reader;
pub use region::{RegionContacts, RegionCount, count_region};
pub use swim::{MembershipEvent, Swim, SwimConfig};
pub use view::FleetMember;

//! Membership of the fleet, from the point of view of one process.
//!
//! [`Swim`] implements the SWIM protocol: it detects failures by probing members,
//! and disseminates updates by gossip. It performs no I/O; its caller passes in
//! received datagrams and the current time, and sends the datagrams it returns.

mod fleet_member;
mod gossip_queue;
mod member;
mod merge;
mod message;
mod probe;
mod readers;
mod region;
mod swim;

pub use fleet_member::FleetMember;
pub use gossip_queue::{GossipQueue, send_limit};
pub use member::{Liveness, Member, MemberStatus, Phase, Role};
pub use merge::merge;
pub use message::{GossipKind, GossipMessage, OutgoingDatagram, StatusUpdate};
pub use readers::is_reader;
pub use region::{PartitionDetector, RegionMemberCounts, count_region_members};
pub use swim::{MembershipEvent, Swim, SwimConfig};

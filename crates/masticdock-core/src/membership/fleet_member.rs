//! Members as the platform's fleet view lists them.

use std::net::SocketAddr;

use compact_str::CompactString;

use super::{Liveness, Member, MemberStatus, Role};
use crate::ids::{BootEpoch, Incarnation, RegionId, ZoneId};

/// VM that the fleet view lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetMember {
    /// Id of the VM.
    pub id: CompactString,
    /// Role of the process on the VM.
    pub role: Role,
    /// True when the platform is about to remove the VM.
    pub leaving: bool,
    /// Region of the VM.
    pub region: RegionId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Address for gossip and RPC between peers.
    pub peer_addr: SocketAddr,
    /// Address on which an agent takes requests; `None` for entries.
    pub traffic_addr: Option<SocketAddr>,
}

impl FleetMember {
    /// Returns a member with the fields that the fleet view holds.
    ///
    /// Its boot epoch is 0, so the first gossip from the process itself replaces it.
    #[must_use]
    pub fn to_member(&self) -> Member {
        Member {
            id: self.id.clone(),
            role: self.role,
            liveness: Liveness::Alive,
            incarnation: Incarnation(0),
            boot_epoch: BootEpoch(0),
            region: self.region.clone(),
            zone: self.zone.clone(),
            peer_addr: self.peer_addr,
            traffic_addr: self.traffic_addr,
            status: MemberStatus {
                leaving: self.leaving,
                ..MemberStatus::default()
            },
        }
    }
}

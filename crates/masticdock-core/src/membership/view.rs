//! Members as the fleet view lists them.

use std::net::SocketAddr;

use compact_str::CompactString;

use super::{Liveness, Member, MemberStatus, Role};
use crate::ids::{BootEpoch, Incarnation, RegionId, ZoneId};

/// One VM of the fleet view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetMember {
    /// Id of the VM.
    pub id: CompactString,
    /// Role of its process.
    pub role: Role,
    /// True when the platform will take the VM away.
    pub leaving: bool,
    /// Region.
    pub region: RegionId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address for gossip and RPC.
    pub peer_addr: SocketAddr,
    /// Address for requests, of agents only.
    pub traffic_addr: Option<SocketAddr>,
}

impl FleetMember {
    /// Returns the member as far as the fleet view knows it.
    ///
    /// Boot epoch 0 lets the first gossip from the process itself replace it.
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

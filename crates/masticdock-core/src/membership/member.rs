//! What is known about one member.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::{BootEpoch, Incarnation, RegionId, RolloutId, ServiceId, VersionId, ZoneId};

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Takes requests from callers.
    Entry,
    /// Runs beside one upstream.
    Agent,
}

/// Liveness of a member as judged by probing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// Answers probes.
    Alive,
    /// Missed probes; is declared dead unless it refutes in time.
    Suspect,
    /// Declared dead.
    Dead,
    /// Left by itself.
    Left,
}

/// Position of a VM in the switch state chart.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// No version is wanted.
    #[default]
    Idle,
    /// Reads chunks of the wanted version.
    Fetching,
    /// Holds the whole verified version.
    Verified,
    /// Ends the requests in progress.
    Draining,
    /// The engine loads the version.
    Loading,
    /// Serves the wanted version.
    Serving,
    /// The engine could not load the version or crashed on it.
    Failed,
}

impl Phase {
    /// Returns true while the VM is out of service for a switch.
    #[must_use]
    pub const fn is_switching(self) -> bool {
        matches!(self, Self::Draining | Self::Loading)
    }
}

/// Part of a member that the member itself changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Raised by the member with each change of the fields below.
    pub seq: u64,
    /// Position in the switch state chart.
    pub phase: Phase,
    /// Version in service.
    pub serving_version: Option<VersionId>,
    /// True when the upstream takes no new work.
    pub leaving: bool,
    /// Services that this upstream answers for.
    pub services: Vec<ServiceId>,
    /// Rollout and version that failed on this VM.
    pub failed: Option<(RolloutId, VersionId)>,
}

/// One process of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// VM id of an agent or entry id of an entry.
    pub id: CompactString,
    /// Role of the process.
    pub role: Role,
    /// Liveness.
    pub liveness: Liveness,
    /// Orders statements about liveness within one boot.
    pub incarnation: Incarnation,
    /// Tells restarts of the process apart; the higher one is the newer.
    pub boot_epoch: BootEpoch,
    /// Region.
    pub region: RegionId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address for gossip (UDP) and Cap'n Proto RPC (TCP).
    pub peer_addr: SocketAddr,
    /// HTTP address on which an agent takes requests.
    pub traffic_addr: Option<SocketAddr>,
    /// Status as published by the member itself.
    pub status: MemberStatus,
}

//! A member of the fleet and its status.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::{BootEpoch, Incarnation, RegionId, RolloutId, ServiceId, VersionId, ZoneId};

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Takes requests from callers and routes them to upstreams.
    Entry,
    /// Runs next to one upstream, on the same VM.
    Agent,
}

/// Liveness of a member, as determined by probing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// Answers probes.
    Alive,
    /// Did not answer a probe; is declared dead unless it refutes the suspicion in time.
    Suspect,
    /// Declared dead.
    Dead,
    /// Announced that it left the fleet.
    Left,
}

/// Phase of the switch of a VM to the version that it should serve.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// The VM has no version to serve.
    #[default]
    Idle,
    /// Fetches the chunks of the version.
    Fetching,
    /// Holds all chunks of the version, verified.
    Verified,
    /// Waits for the requests in flight to end.
    Draining,
    /// The engine loads the version.
    Loading,
    /// Serves the version.
    Serving,
    /// The engine could not load the version or crashed on it.
    Failed,
}

impl Phase {
    /// Returns true while the VM takes no requests because it switches versions.
    #[must_use]
    pub const fn is_switching(self) -> bool {
        matches!(self, Self::Draining | Self::Loading)
    }
}

/// Part of a member's record that only the member itself changes, except `leaving`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Sequence number, raised by the member with each change of the fields below.
    pub seq: u64,
    /// Phase of the current version switch.
    pub phase: Phase,
    /// Version that the upstream serves.
    pub serving_version: Option<VersionId>,
    /// True when the member takes no new requests because it is about to leave.
    pub leaving: bool,
    /// Services whose requests the upstream takes.
    pub services: Vec<ServiceId>,
    /// Rollout and version whose switch failed on this VM.
    pub failed: Option<(RolloutId, VersionId)>,
}

/// One process of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id of the VM for an agent, id of the entry for an entry.
    pub id: CompactString,
    /// Role of the process.
    pub role: Role,
    /// Liveness of the process.
    pub liveness: Liveness,
    /// Incarnation number (SWIM): orders updates of the liveness within one boot.
    pub incarnation: Incarnation,
    /// Distinguishes restarts of the process; a higher one is newer.
    pub boot_epoch: BootEpoch,
    /// Region of the process.
    pub region: RegionId,
    /// Availability zone of the process.
    pub zone: ZoneId,
    /// Address for gossip (UDP) and Cap'n Proto RPC (TCP).
    pub peer_addr: SocketAddr,
    /// HTTP address on which an agent takes requests.
    pub traffic_addr: Option<SocketAddr>,
    /// Status published by the member itself.
    pub status: MemberStatus,
}

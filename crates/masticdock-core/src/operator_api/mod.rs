//! Bodies of the operators' HTTP interface, shared by the daemon and the command line.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /v1/changes` | [`ChangeRequest`] | [`ChangeAnswer`] |
//! | `GET /v1/resources?kind=K&name=N` | | [`ResourceList`] |
//! | `GET /v1/vms` | | [`VmList`] |
//! | `GET /v1/rollouts/<name>/status` | | [`RolloutStatus`] |
//! | `GET /v1/audit?after=REVISION&limit=N` | | [`AuditPage`] |
//!
//! Each call carries `Authorization: Bearer <token>`. A failed call answers with
//! a [`Problem`] as `application/problem+json` (RFC 9457).

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::config_log::AcceptedChange;
use crate::ids::{ChangeId, RegionId, Revision, RolloutId, ServiceId, VersionId, VmId, ZoneId};
use crate::membership::{Liveness, Phase};
use crate::resource::{Labels, Resource, ResourceChange};

/// Proposes a change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Id made by the client; a repeated request with the same id has one effect.
    pub change_id: ChangeId,
    /// Revision that the operator looked at; `None` takes the newest one.
    #[serde(default)]
    pub expected_revision: Option<Revision>,
    /// True to check the change without making it.
    #[serde(default)]
    pub dry_run: bool,
    /// Resources that change, in order.
    pub changes: Vec<ResourceChange>,
}

/// Answers an accepted [`ChangeRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeAnswer {
    /// Revision made by the change, or the revision checked against for a dry run.
    pub revision: Revision,
    /// What the operator should know, for example a selector that matches nothing.
    #[serde(default)]
    pub warnings: Vec<String>,
    /// VMs that each rollout of the change selects.
    #[serde(default)]
    pub matched: Vec<(RolloutId, Vec<VmId>)>,
}

/// A resource with its revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ResourceEntry {
    /// Revision that last changed the resource.
    pub revision: Revision,
    /// The resource.
    pub resource: Resource,
}

/// Resources at one revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ResourceList {
    /// Revision of the configuration.
    pub revision: Revision,
    /// The resources, by kind and name.
    pub resources: Vec<ResourceEntry>,
}

/// One VM as an entry sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The VM.
    pub id: VmId,
    /// Region.
    pub region: RegionId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Liveness.
    pub liveness: Liveness,
    /// Position in the switch state chart.
    pub phase: Phase,
    /// Version in service.
    pub serving_version: Option<VersionId>,
    /// True when the VM takes no new work.
    pub leaving: bool,
    /// Labels, those given by operators included.
    pub labels: Labels,
    /// Services that the upstream answers for.
    pub services: Vec<ServiceId>,
}

/// All VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The VMs, by id.
    pub vms: Vec<VmEntry>,
}

/// Whether a rollout goes on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum RolloutState {
    /// VMs still fetch or switch.
    Progressing,
    /// Every selected VM serves the version.
    Complete,
    /// An operator paused it.
    Paused,
    /// It halted by itself.
    Halted {
        /// Why, in a sentence for an engineer new to the fleet.
        reason: String,
    },
}

/// Progress of a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// The rollout.
    pub rollout: RolloutId,
    /// Version that it brings.
    pub version: VersionId,
    /// Whether it goes on.
    #[serde(flatten)]
    pub state: RolloutState,
    /// VMs selected, those leaving or dead left out.
    pub selected: u32,
    /// Selected VMs that serve the version.
    pub serving: u32,
    /// Selected VMs that read weights.
    pub fetching: u32,
    /// Selected VMs that hold the version and wait for a switch slot.
    pub verified: u32,
    /// Selected VMs that drain or load.
    pub switching: u32,
    /// Selected VMs that failed on the version.
    pub failed: Vec<VmId>,
}

/// Page of the audit trail.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AuditPage {
    /// Accepted changes in order, each with who, when and what.
    pub changes: Vec<AcceptedChange>,
}

/// Failed call, RFC 9457.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// Stable name: `conflict`, `invalid`, `not-found`, `unauthorized`,
    /// `table-unavailable`, `outcome-unknown`, `too-large`.
    #[serde(rename = "type")]
    pub type_name: CompactString,
    /// Short text, the same for each problem of the type.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What is wrong with this call.
    #[serde(default)]
    pub detail: String,
    /// Field that is wrong.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// What the reader can do about it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tip: Option<String>,
    /// The change that got in the way, for type `conflict`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub other_change: Option<AcceptedChange>,
}

//! Resource kinds and their fields.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::Labels;
use crate::ids::{AdapterId, Digest, ModelId, RolloutId, ServiceId, VersionId, VmId, WorkspaceId};
use crate::units::{ByteCount, Share};

/// Model; the weights belong to its versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the model.
    pub name: ModelId,
    /// Free text for operators.
    #[serde(default)]
    pub description: CompactString,
}

/// Version of a model, described by a manifest in the object store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Name of the version, unique in the fleet.
    pub name: VersionId,
    /// Model to which the version belongs.
    pub model: ModelId,
    /// Digest of the manifest, which is stored as `manifests/<digest>`.
    pub manifest: Digest,
    /// Total size of the weights.
    pub size_bytes: ByteCount,
}

/// Adapter, which is loaded only together with its base version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Name of the adapter, unique in the fleet.
    pub name: AdapterId,
    /// Version to which the adapter is applied.
    pub base: VersionId,
    /// Digest of the manifest.
    pub manifest: Digest,
    /// Total size of the weights.
    pub size_bytes: ByteCount,
}

/// Assigns a version to the VMs that a label selector matches.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// Name of the rollout.
    pub name: RolloutId,
    /// Label selector, for example `fleet=assistant, zone in (a, b)`.
    pub selector: CompactString,
    /// Target version.
    pub version: VersionId,
    /// Adapters to load with the version.
    #[serde(default)]
    pub adapters: Vec<AdapterId>,
    /// Minimum share of each group (rollout and availability zone) that keeps serving.
    #[serde(default = "default_min_serving_share")]
    pub min_serving_share: Share,
    /// Trade-off between origin traffic and duration: 0 minimizes the bytes read from the
    /// origin, 1 minimizes the duration of the transfer.
    #[serde(default)]
    pub origin_weighting: Share,
    /// Number of VMs that may fail to load the version before the rollout halts.
    #[serde(default = "default_max_load_failures")]
    pub max_load_failures: u32,
    /// Whether an operator paused the rollout; no further VM switches while it is paused.
    #[serde(default)]
    pub paused: bool,
    /// Version to which `rollout undo` returns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub previous_version: Option<VersionId>,
}

const fn default_min_serving_share() -> Share {
    Share::from_milli(750)
}

const fn default_max_load_failures() -> u32 {
    2
}

/// Kind of the upstreams of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engine that streams tokens.
    Engine,
    /// Plain HTTP service.
    Plain,
}

/// Service that callers address by path.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service; callers post to `/v1/<name>`.
    pub name: ServiceId,
    /// Kind of the upstreams.
    pub upstream: ServiceKind,
    /// Whether a request may be executed more than once; if not, it needs an `Idempotency-Key`.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// Timeout of a request, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

const fn default_idempotent() -> bool {
    true
}

const fn default_timeout_ms() -> u64 {
    120_000
}

/// Workspace (a customer) with its limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceId,
    /// Digest of the bearer token that its callers present.
    pub token_digest: Digest,
    /// Limit of requests per second across all entries; 0 means no limit.
    #[serde(default)]
    pub rate_per_s: u32,
    /// Limit of requests in progress across all entries; 0 means no limit.
    #[serde(default)]
    pub concurrency: u32,
    /// Weight of the workspace in fair sharing when capacity is short.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

const fn default_weight() -> u32 {
    1
}

/// Labels assigned to a VM by an operator; they override labels with the same key from the fleet
/// view.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmLabels {
    /// VM that the labels belong to.
    pub name: VmId,
    /// Labels by key.
    pub labels: Labels,
}

/// Administrative state that an operator sets on a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mark {
    /// The VM accepts no new work and no weights, and may return to service.
    Leaving,
    /// The VM accepts no new work, completes the work in progress and stops.
    Stopping,
}

/// Marks a VM as leaving or stopping; deleting the resource removes the mark.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmMark {
    /// VM that is marked.
    pub name: VmId,
    /// Mark of the VM.
    pub mark: Mark,
}

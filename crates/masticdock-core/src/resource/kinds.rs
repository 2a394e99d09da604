//! Fields of each kind of resource.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::Labels;
use crate::ids::{AdapterId, Digest, ModelId, RolloutId, ServiceId, VersionId, VmId, WorkspaceId};
use crate::units::{ByteCount, Share};

/// A model; its versions carry the weights.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name of the model.
    pub name: ModelId,
    /// Free text for operators.
    #[serde(default)]
    pub description: CompactString,
}

/// A version of a model, described by a manifest in the object store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// Name of the version, unique in the fleet.
    pub name: VersionId,
    /// Model that this is a version of.
    pub model: ModelId,
    /// Digest of the manifest, which is stored as `manifests/<digest>`.
    pub manifest: Digest,
    /// Size of the weights.
    pub size_bytes: ByteCount,
}

/// An adapter, loaded only together with its base version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Name of the adapter, unique in the fleet.
    pub name: AdapterId,
    /// Version that the adapter modifies.
    pub base: VersionId,
    /// Digest of the manifest.
    pub manifest: Digest,
    /// Size of the weights.
    pub size_bytes: ByteCount,
}

/// States which version belongs on the VMs that a selector matches.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// Name of the rollout.
    pub name: RolloutId,
    /// Label selector, for example `fleet=assistant, zone in (a, b)`.
    pub selector: CompactString,
    /// Version to serve.
    pub version: VersionId,
    /// Adapters to load with the version.
    #[serde(default)]
    pub adapters: Vec<AdapterId>,
    /// Share of each group (rollout and availability zone) that keeps serving.
    #[serde(default = "default_min_serving_share")]
    pub min_serving_share: Share,
    /// Weighting: 0 reads the fewest origin bytes, 1 takes the shortest time.
    #[serde(default)]
    pub origin_weighting: Share,
    /// Number of VMs that may fail on the version before the rollout halts.
    #[serde(default = "default_max_load_failures")]
    pub max_load_failures: u32,
    /// True while an operator holds the rollout; no further VM switches.
    #[serde(default)]
    pub paused: bool,
    /// Version that `rollout undo` returns to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub previous_version: Option<VersionId>,
}

const fn default_min_serving_share() -> Share {
    Share::from_milli(750)
}

const fn default_max_load_failures() -> u32 {
    2
}

/// Kind of upstream behind a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// A model engine that streams tokens.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// A service that callers address by path.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service; callers post to `/v1/<name>`.
    pub name: ServiceId,
    /// Kind of its upstreams.
    pub upstream: ServiceKind,
    /// False when calls may not be repeated; they then need an `Idempotency-Key`.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// Longest time for an answer, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

const fn default_idempotent() -> bool {
    true
}

const fn default_timeout_ms() -> u64 {
    120_000
}

/// A workspace (a customer) with its limits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceId,
    /// Digest of the bearer token that its callers present.
    pub token_digest: Digest,
    /// Requests per second over all entries; 0 means no limit.
    #[serde(default)]
    pub rate_per_s: u32,
    /// Requests in progress over all entries; 0 means no limit.
    #[serde(default)]
    pub concurrency: u32,
    /// Weight in the fair share when capacity is short.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

const fn default_weight() -> u32 {
    1
}

/// Labels that an operator gave a VM; they replace labels of the same key from the fleet view.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmLabels {
    /// The VM.
    pub name: VmId,
    /// Labels by key.
    pub labels: Labels,
}

/// What an operator intends with a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mark {
    /// Takes no new work and no weights, and may come back.
    Leaving,
    /// Takes no new work, ends the work in progress and stops.
    Stopping,
}

/// Marks a VM as leaving or stopping; deleting the mark takes it back.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmMark {
    /// The VM.
    pub name: VmId,
    /// The mark.
    pub mark: Mark,
}

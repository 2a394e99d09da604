//! Resource files that the operator applies.

use masticdock_core::ids::Digest;
use masticdock_core::resource::Resource;

/// Access token of the callers' workspace.
pub(super) const CALLER_TOKEN: &str = "demo-caller-token";

/// Returns the path of generated weights as it appears in the origin's statistics.
pub(super) fn origin_path(version: &str, size_bytes: u64) -> String {
    format!("/generated/{size_bytes}/{version}")
}

/// Returns the model, the services and the callers' workspace as YAML.
pub(super) fn services() -> String {
    let token_digest = Digest::of(CALLER_TOKEN.as_bytes());
    format!(
        "kind: model
name: assistant
---
kind: service
name: assistant
upstream: engine
timeout_ms: 30000
---
kind: service
name: orders
upstream: plain
idempotent: false
timeout_ms: 10000
---
kind: workspace
name: alpenruh
token_digest: {token_digest}
"
    )
}

/// Returns a version and its rollout as YAML.
///
/// # Errors
///
/// Returns an error if the version cannot be serialized as YAML.
pub(super) fn rollout(version: &Resource, name: &str) -> anyhow::Result<String> {
    let version = serde_yaml_ng::to_string(version)?;
    Ok(format!(
        "{version}---
kind: rollout
name: assistant
selector: fleet=assistant
version: {name}
min_serving_share: 0.5
origin_weighting: 0
"
    ))
}

//! Handlers of `GET` requests.

use compact_str::CompactString;
use masticdock_core::ids::{Revision, RolloutId};
use masticdock_core::membership::{Member, Role};
use masticdock_core::operator_api::{AuditPage, ResourceEntry, ResourceList, VmEntry, VmList};
use masticdock_core::resource::ResourceKind;
use masticdock_core::rollout::{Fleet, RolloutSet, status};
use url::Url;

use super::response::{ApiResult, encode_json};
use super::{Shared, problems};
use crate::control::Snapshot;

/// Maximum number of rows of an audit page.
const AUDIT_ROWS_MAX: usize = 1_000;
/// Number of rows of an audit page when the request gives no limit.
const AUDIT_ROWS_DEFAULT: usize = 100;

/// Returns the fleet as recorded in `snapshot`.
pub(super) fn fleet_of(snapshot: &Snapshot) -> Fleet<'_> {
    Fleet {
        config: &snapshot.config,
        members: &snapshot.members,
        labels: &snapshot.labels,
        marked_leaving: &snapshot.marked_leaving,
    }
}

fn query_parameter(url: &Url, name: &str) -> Option<String> {
    let mut pairs = url.query_pairs();
    pairs
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}

pub(super) fn resources(shared: &Shared, url: &Url) -> ApiResult {
    let snapshot = shared.control.snapshot();
    let kind = query_parameter(url, "kind");
    let kind: Option<ResourceKind> = match kind {
        None => None,
        Some(text) => Some(text.parse().map_err(|error| problems::invalid(&error))?),
    };
    let name = query_parameter(url, "name");
    let mut matching = Vec::new();
    for (key, stored) in snapshot.config.iter() {
        let wanted_kind = kind.is_none_or(|kind| kind == key.kind);
        let wanted_name = name.as_ref().is_none_or(|name| *name == key.name);
        if wanted_kind && wanted_name {
            matching.push(ResourceEntry {
                revision: stored.revision,
                resource: stored.resource.clone(),
            });
        }
    }
    if let Some(name) = name.filter(|_| matching.is_empty()) {
        let kind = kind.map_or("resource", ResourceKind::as_str);
        return Err(problems::not_found(&format!("there is no {kind} `{name}`")));
    }
    encode_json(&ResourceList {
        revision: snapshot.config.revision(),
        resources: matching,
    })
}

pub(super) fn vms(shared: &Shared) -> ApiResult {
    let snapshot = shared.control.snapshot();
    let agents = snapshot.members.iter().filter(|m| m.role == Role::Agent);
    let vms = agents.filter_map(|member| vm_entry(&snapshot, member));
    encode_json(&VmList { vms: vms.collect() })
}

fn vm_entry(snapshot: &Snapshot, member: &Member) -> Option<VmEntry> {
    Some(VmEntry {
        id: member.id.parse().ok()?,
        region: member.region.clone(),
        zone: member.zone.clone(),
        liveness: member.liveness,
        phase: member.status.phase,
        serving_version: member.status.serving_version.clone(),
        leaving: member.status.leaving || snapshot.marked_leaving.contains(&member.id),
        labels: snapshot.labels.get(&member.id).cloned().unwrap_or_default(),
        services: member.status.services.clone(),
    })
}

pub(super) fn rollout_status(shared: &Shared, name: &str) -> ApiResult {
    let missing = || problems::not_found(&format!("there is no rollout `{name}`"));
    let rollout: RolloutId = CompactString::new(name).try_into().map_err(|_| missing())?;
    let snapshot = shared.control.snapshot();
    let rollouts = RolloutSet::new(&snapshot.config);
    let status = status(&fleet_of(&snapshot), &rollouts, &rollout);
    encode_json(&status.ok_or_else(missing)?)
}

pub(super) fn audit(shared: &Shared, url: &Url) -> ApiResult {
    let number = |name: &str, default: u64| match query_parameter(url, name) {
        None => Ok(default),
        Some(text) => text
            .parse()
            .map_err(|_| problems::malformed(&format!("`{name}` is no number: `{text}`"))),
    };
    let after = number("after", 0)?;
    let limit = number("limit", AUDIT_ROWS_DEFAULT as u64)?;
    let limit =
        usize::try_from(limit).map_or(AUDIT_ROWS_MAX, |limit| limit.clamp(1, AUDIT_ROWS_MAX));
    let changes = shared
        .table
        .audit_after(Revision(after), limit)
        .map_err(|error| problems::table_unavailable(error.to_string()))?;
    encode_json(&AuditPage { changes })
}

//! Calls to the operators' interface, and changes of the fleet view.

use anyhow::{Context, bail};
use masticdock_core::ids::{ChangeId, Digest};
use masticdock_core::operator_api::{ChangeAnswer, ChangeRequest, Problem};
use masticdock_core::resource::{Resource, ResourceChange, Service, ServiceKind, Workspace};
use serde::de::DeserializeOwned;
use serde_json::json;

use super::settings::OPERATOR_TOKEN;
use super::{CALL_TIMEOUT, Fleet};

impl Fleet {
    /// Returns an `Authorization` header value that the operators' interface accepts.
    #[must_use]
    pub fn operator_authorization() -> String {
        format!("Bearer {OPERATOR_TOKEN}")
    }

    /// Sends a change to one entry; the inner error is the reason why the entry rejected it.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not answer.
    pub fn propose(
        &self,
        entry: usize,
        request: &ChangeRequest,
    ) -> anyhow::Result<Result<ChangeAnswer, Problem>> {
        let addr = self
            .entries
            .get(entry)
            .context("entry index out of range")?;
        let response = attohttpc::post(format!("http://{}/v1/changes", addr.operators))
            .timeout(CALL_TIMEOUT)
            .header("Authorization", Self::operator_authorization())
            .json(request)?
            .send()?;
        let accepted = response.is_success();
        let text = response.text()?;
        if accepted {
            return Ok(Ok(serde_json::from_str(&text)?));
        }
        let problem = serde_json::from_str(&text);
        Ok(Err(problem.with_context(|| {
            format!("malformed error response: {text}")
        })?))
    }

    /// Sends changes to the first entry that answers, all under one change id.
    ///
    /// # Errors
    ///
    /// Returns an error if the change is rejected or no entry answers.
    pub fn change(&mut self, changes: Vec<ResourceChange>) -> anyhow::Result<ChangeAnswer> {
        self.changes += 1;
        let id = format!("bench-{}-{}", std::process::id(), self.changes);
        let request = ChangeRequest {
            change_id: id.parse::<ChangeId>()?,
            expected_revision: None,
            dry_run: false,
            changes,
        };
        let mut last_error = None;
        for entry in 0..self.entries.len() {
            match self.propose(entry, &request) {
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err(problem)) => bail!("change rejected: {problem:?}"),
                Err(error) => last_error = Some(error),
            }
        }
        Err(last_error.context("the fleet has no entries")?)
    }

    /// Creates or replaces resources.
    ///
    /// # Errors
    ///
    /// See [`Fleet::change`].
    pub fn put(&mut self, resources: Vec<Resource>) -> anyhow::Result<ChangeAnswer> {
        let changes = resources.into_iter().map(ResourceChange::Put).collect();
        self.change(changes)
    }

    /// Reads JSON from the operators' interface of an entry, for example `/v1/vms`.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry rejects the call or does not answer.
    pub fn operator_get<T: DeserializeOwned>(&self, entry: usize, path: &str) -> anyhow::Result<T> {
        let addr = self
            .entries
            .get(entry)
            .context("entry index out of range")?;
        let response = attohttpc::get(format!("http://{}{path}", addr.operators))
            .timeout(CALL_TIMEOUT)
            .header("Authorization", Self::operator_authorization())
            .send()?;
        let status = response.status();
        let text = response.text()?;
        if status != 200 {
            bail!("status {status}: {text}");
        }
        Ok(serde_json::from_str(&text)?)
    }

    /// Sets the state of a VM in the fleet view to `live` or `leaving`.
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet view does not answer.
    pub fn set_fleet_state(&mut self, id: &str, state: &str) -> anyhow::Result<()> {
        for vm in &mut self.fleet_list {
            if vm["id"] == id {
                vm["state"] = json!(state);
            }
        }
        self.put_fleet_list()
    }

    /// Removes a VM from the fleet view.
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet view does not answer.
    pub fn remove_from_fleet_view(&mut self, id: &str) -> anyhow::Result<()> {
        self.fleet_list.retain(|vm| vm["id"] != id);
        self.put_fleet_list()
    }
}

/// Returns a workspace without limits whose callers authenticate with `token`.
///
/// # Errors
///
/// Returns an error if `name` is not a valid name.
pub fn workspace(name: &str, token: &str) -> anyhow::Result<Resource> {
    Ok(Resource::Workspace(Workspace {
        name: name.parse()?,
        token_digest: Digest::of(token.as_bytes()),
        rate_per_s: 0,
        concurrency: 0,
        weight: 1,
    }))
}

/// Returns a service with a timeout of 30 s.
///
/// # Errors
///
/// Returns an error if `name` is not a valid name.
pub fn service(name: &str, upstream: ServiceKind, idempotent: bool) -> anyhow::Result<Resource> {
    Ok(Resource::Service(Service {
        name: name.parse()?,
        upstream,
        idempotent,
        timeout_ms: 30_000,
    }))
}

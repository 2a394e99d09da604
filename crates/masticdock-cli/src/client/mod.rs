//! Client of the operators' HTTP interface.

use std::time::Duration;

use attohttpc::{ErrorKind, ProxySettings, RequestBuilder};
use compact_str::format_compact;
use masticdock_core::ids::{ChangeId, Revision, RolloutId};
use masticdock_core::operator_api::{
    AuditPage, ChangeAnswer, ChangeRequest, Problem, ResourceList, RolloutStatus, VmList,
};
use masticdock_core::resource::{ResourceChange, ResourceKind};
use serde::de::DeserializeOwned;

use crate::cli::Access;
use crate::error::{CliError, CliErrorKind};

/// Time for one call; longer than the entry's own time for the table.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Times a change is sent whose answer was lost. The entry knows the change by
/// its id, so repeating it has no second effect.
const CHANGE_ATTEMPTS: u32 = 3;

/// Sends calls to one entry.
pub(crate) struct Client {
    server: String,
    token: String,
}

enum CallError {
    /// No answer came.
    Lost(CliError),
    /// The entry answered with a problem, or nothing was sent.
    Final(CliError),
}

impl From<CallError> for CliError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::Lost(error) | CallError::Final(error) => error,
        }
    }
}

impl Client {
    /// Reads the token and makes a client; nothing is sent.
    pub(crate) fn new(access: &Access) -> Result<Self, CliError> {
        let Some(server) = &access.server else {
            return Err(CliError::usage("no server is given")
                .with_tip("pass `--server URL` or set MASTICDOCK_SERVER"));
        };
        let Some(path) = &access.token_file else {
            return Err(CliError::usage("no token file is given")
                .with_tip("pass `--token-file FILE` or set MASTICDOCK_TOKEN_FILE"));
        };
        let token = std::fs::read_to_string(path).map_err(|error| {
            CliError::usage(format!(
                "cannot read token file {}: {error}",
                path.display()
            ))
        })?;
        Ok(Self {
            server: server.trim_end_matches('/').to_owned(),
            token: token.trim().to_owned(),
        })
    }

    /// Proposes a change, repeated under the same id while answers are lost.
    pub(crate) fn change(
        &self,
        changes: Vec<ResourceChange>,
        expected_revision: Option<Revision>,
        dry_run: bool,
    ) -> Result<ChangeAnswer, CliError> {
        let request = ChangeRequest {
            change_id: new_change_id(),
            expected_revision,
            dry_run,
            changes,
        };
        let mut attempt = 1;
        loop {
            let builder = self.prepare(attohttpc::post(format!("{}/v1/changes", self.server)));
            let builder = builder.json(&request).map_err(|error| {
                CliError::new(
                    CliErrorKind::Failed,
                    format!("cannot encode the change: {error}"),
                )
            })?;
            match self.answer(builder.send()) {
                Err(CallError::Lost(error)) if attempt < CHANGE_ATTEMPTS => {
                    log::warn!("{error}; sending change {} again", request.change_id);
                    attempt += 1;
                }
                Err(CallError::Lost(error)) => {
                    return Err(error.with_tip(format!(
                        "the outcome is unknown; look for change {} in `masticdock audit`",
                        request.change_id
                    )));
                }
                other => return other.map_err(CliError::from),
            }
        }
    }

    /// Reads the resources of a kind, or one of them.
    pub(crate) fn resources(
        &self,
        kind: ResourceKind,
        name: Option<&str>,
    ) -> Result<ResourceList, CliError> {
        let mut builder = attohttpc::get(format!("{}/v1/resources", self.server));
        builder = builder.param("kind", kind);
        if let Some(name) = name {
            builder = builder.param("name", name);
        }
        self.get(builder)
    }

    /// Reads all VMs.
    pub(crate) fn vms(&self) -> Result<VmList, CliError> {
        self.get(attohttpc::get(format!("{}/v1/vms", self.server)))
    }

    /// Reads the progress of a rollout.
    pub(crate) fn rollout_status(&self, name: &RolloutId) -> Result<RolloutStatus, CliError> {
        self.get(attohttpc::get(format!(
            "{}/v1/rollouts/{name}/status",
            self.server
        )))
    }

    /// Reads a page of the audit trail.
    pub(crate) fn audit(&self, after: u64, limit: u32) -> Result<AuditPage, CliError> {
        let builder = attohttpc::get(format!("{}/v1/audit", self.server));
        self.get(builder.param("after", after).param("limit", limit))
    }

    fn get<T: DeserializeOwned>(&self, builder: RequestBuilder) -> Result<T, CliError> {
        self.answer(self.prepare(builder).send())
            .map_err(CliError::from)
    }

    fn prepare(&self, builder: RequestBuilder) -> RequestBuilder {
        builder
            .bearer_auth(&self.token)
            .connect_timeout(CALL_TIMEOUT)
            .read_timeout(CALL_TIMEOUT)
            .timeout(CALL_TIMEOUT)
            .follow_redirects(false)
            .proxy_settings(ProxySettings::builder().build())
    }

    fn answer<T: DeserializeOwned>(
        &self,
        sent: attohttpc::Result<attohttpc::Response>,
    ) -> Result<T, CallError> {
        let response = sent.map_err(|error| self.lost(&error))?;
        let status = response.status();
        let text = response.text_utf8().map_err(|error| self.lost(&error))?;
        if status.is_success() {
            return serde_json::from_str(&text).map_err(|error| {
                CallError::Final(
                    CliError::new(
                        CliErrorKind::Failed,
                        format!(
                            "the answer of {} cannot be understood: {error}",
                            self.server
                        ),
                    )
                    .with_tip("use the `masticdock` of the same release as the entry"),
                )
            });
        }
        let problem = serde_json::from_str(&text).unwrap_or_else(|_| Problem {
            title: format!("{} answered with status {}", self.server, status.as_u16()),
            status: status.as_u16(),
            detail: text.chars().take(200).collect(),
            ..Problem::default()
        });
        Err(CallError::Final(CliError::from_problem(problem)))
    }

    fn lost(&self, error: &attohttpc::Error) -> CallError {
        let message = format!("no answer from {}: {error}", self.server);
        let unavailable = CliError::new(CliErrorKind::Unavailable, message);
        let refused = matches!(
            error.kind(),
            ErrorKind::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused
        );
        if refused {
            return CallError::Final(
                unavailable.with_tip("check `--server`; any entry of the fleet will do"),
            );
        }
        CallError::Lost(unavailable)
    }
}

fn new_change_id() -> ChangeId {
    let text = format_compact!("change-{:032x}", rand::random::<u128>());
    // The text consists of letters, digits and a dash, so it is a valid id.
    match text.parse() {
        Ok(id) => id,
        Err(error) => unreachable!("{error}"),
    }
}

//! Client of the operator HTTP API.

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

/// Timeout of one request; longer than the entry's own timeout for the table service.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of attempts to send a change when the response is lost. The entry
/// deduplicates changes by id, so a retry has no second effect.
const CHANGE_ATTEMPTS_MAX: u32 = 3;

/// Sends requests to one entry.
pub(crate) struct Client {
    server: String,
    token: String,
}

enum RequestError {
    /// No response was received, so the outcome is unknown.
    NoResponse(CliError),
    /// The entry responded with a problem or an undecodable body, or nothing was
    /// sent because the connection was refused.
    Final(CliError),
}

impl From<RequestError> for CliError {
    fn from(error: RequestError) -> Self {
        match error {
            RequestError::NoResponse(error) | RequestError::Final(error) => error,
        }
    }
}

impl Client {
    /// Reads the token file and returns a client, without sending a request.
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

    /// Proposes a change and retries it under the same id if the response is lost.
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
            let builder = self.configure(attohttpc::post(format!("{}/v1/changes", self.server)));
            let builder = builder.json(&request).map_err(|error| {
                CliError::new(
                    CliErrorKind::Failed,
                    format!("cannot encode the change: {error}"),
                )
            })?;
            match self.decode_response(builder.send()) {
                Err(RequestError::NoResponse(error)) if attempt < CHANGE_ATTEMPTS_MAX => {
                    log::warn!("{error}; retrying change {}", request.change_id);
                    attempt += 1;
                }
                Err(RequestError::NoResponse(error)) => {
                    return Err(error.with_tip(format!(
                        "the outcome is unknown; look for change {} in `masticdock audit`",
                        request.change_id
                    )));
                }
                other => return other.map_err(CliError::from),
            }
        }
    }

    /// Returns all resources of a kind, or the one with the given name.
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

    /// Returns all VMs.
    pub(crate) fn vms(&self) -> Result<VmList, CliError> {
        self.get(attohttpc::get(format!("{}/v1/vms", self.server)))
    }

    /// Returns the progress of a rollout.
    pub(crate) fn rollout_status(&self, name: &RolloutId) -> Result<RolloutStatus, CliError> {
        self.get(attohttpc::get(format!(
            "{}/v1/rollouts/{name}/status",
            self.server
        )))
    }

    /// Returns a page of the audit log.
    pub(crate) fn audit(&self, after: u64, limit: u32) -> Result<AuditPage, CliError> {
        let builder = attohttpc::get(format!("{}/v1/audit", self.server));
        self.get(builder.param("after", after).param("limit", limit))
    }

    fn get<T: DeserializeOwned>(&self, builder: RequestBuilder) -> Result<T, CliError> {
        self.decode_response(self.configure(builder).send())
            .map_err(CliError::from)
    }

    fn configure(&self, builder: RequestBuilder) -> RequestBuilder {
        builder
            .bearer_auth(&self.token)
            .connect_timeout(REQUEST_TIMEOUT)
            .read_timeout(REQUEST_TIMEOUT)
            .timeout(REQUEST_TIMEOUT)
            .follow_redirects(false)
            .proxy_settings(ProxySettings::builder().build())
    }

    fn decode_response<T: DeserializeOwned>(
        &self,
        result: attohttpc::Result<attohttpc::Response>,
    ) -> Result<T, RequestError> {
        let response = result.map_err(|error| self.no_response(&error))?;
        let status = response.status();
        let text = response
            .text_utf8()
            .map_err(|error| self.no_response(&error))?;
        if status.is_success() {
            return serde_json::from_str(&text).map_err(|error| {
                RequestError::Final(
                    CliError::new(
                        CliErrorKind::Failed,
                        format!("cannot decode the response of {}: {error}", self.server),
                    )
                    .with_tip("use the `masticdock` release that matches the entry"),
                )
            });
        }
        let problem = serde_json::from_str(&text).unwrap_or_else(|_| Problem {
            title: format!("{} responded with status {}", self.server, status.as_u16()),
            status: status.as_u16(),
            detail: text.chars().take(200).collect(),
            ..Problem::default()
        });
        Err(RequestError::Final(CliError::from_problem(problem)))
    }

    fn no_response(&self, error: &attohttpc::Error) -> RequestError {
        let message = format!("no response from {}: {error}", self.server);
        let unavailable = CliError::new(CliErrorKind::Unavailable, message);
        let refused = matches!(
            error.kind(),
            ErrorKind::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused
        );
        if refused {
            return RequestError::Final(
                unavailable.with_tip("check `--server`; any entry of the fleet can be used"),
            );
        }
        RequestError::NoResponse(unavailable)
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

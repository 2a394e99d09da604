//! Names of headers and access to them.

use std::str::FromStr;

use tiny_http::Header;

/// Names of the headers that masticdock defines or reads.
pub(crate) mod header_name {
    /// Credentials of a caller.
    pub(crate) const AUTHORIZATION: &str = "Authorization";
    /// Key of a non-idempotent request.
    pub(crate) const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
    /// Caller's mark: `true` or `false`.
    pub(crate) const IDEMPOTENT: &str = "X-Masticdock-Idempotent";
    /// Remaining time for the answer, in milliseconds.
    pub(crate) const DEADLINE_MS: &str = "X-Masticdock-Deadline-Ms";
    /// `high`, `normal` or `low`.
    pub(crate) const PRIORITY: &str = "X-Masticdock-Priority";
    /// Wanted version in requests, answering version in responses.
    pub(crate) const VERSION: &str = "X-Masticdock-Version";
    /// Identifies a request in logs, from the caller to the upstream.
    pub(crate) const REQUEST_ID: &str = "X-Request-Id";
    /// Workspace of the caller, set by the entry.
    pub(crate) const WORKSPACE: &str = "X-Masticdock-Workspace";
    /// Index of the first token wanted.
    pub(crate) const RESUME_FROM: &str = "X-Masticdock-Resume-From";
    /// Set when the request is suspected to crash upstreams.
    pub(crate) const SUSPECT: &str = "X-Masticdock-Suspect";
    /// Keyed digest over the request from an entry.
    pub(crate) const AUTH: &str = "X-Masticdock-Auth";
    /// Time of sending in milliseconds since the Unix epoch.
    pub(crate) const SENT_AT: &str = "X-Masticdock-Sent-At";
    /// Load of the upstream as JSON.
    pub(crate) const LOAD: &str = "X-Masticdock-Load";
}

/// Returns the value of the first header with this name.
pub(crate) fn header_value<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    for header in headers {
        if header.field.as_str().as_str().eq_ignore_ascii_case(name) {
            return Some(header.value.as_str());
        }
    }
    None
}

/// Parses the value of a header; `Err` names the header.
pub(crate) fn parse_header<T: FromStr>(
    headers: &[Header],
    name: &'static str,
) -> Result<Option<T>, &'static str> {
    let Some(text) = header_value(headers, name) else {
        return Ok(None);
    };
    text.trim().parse().map(Some).map_err(|_| name)
}

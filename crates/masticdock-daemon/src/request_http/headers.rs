//! Names and parsing of HTTP headers.

use std::str::FromStr;

use tiny_http::Header;

/// Names of the HTTP headers that masticdock defines or reads.
pub(crate) mod header_name {
    /// Bearer token of a caller or an operator.
    pub(crate) const AUTHORIZATION: &str = "Authorization";
    /// Idempotency key of a non-idempotent request.
    pub(crate) const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
    /// Whether the caller declares the request idempotent: `true` or `false`.
    pub(crate) const IDEMPOTENT: &str = "X-Masticdock-Idempotent";
    /// Time left to answer the request, in milliseconds.
    pub(crate) const DEADLINE_MS: &str = "X-Masticdock-Deadline-Ms";
    /// Priority of the request: `high`, `normal` or `low`.
    pub(crate) const PRIORITY: &str = "X-Masticdock-Priority";
    /// Required model version in requests; version that produced the answer in responses.
    pub(crate) const VERSION: &str = "X-Masticdock-Version";
    /// Request id that is passed on from the caller to the upstream and appears in logs.
    pub(crate) const REQUEST_ID: &str = "X-Request-Id";
    /// Workspace of the caller; set by the entry.
    pub(crate) const WORKSPACE: &str = "X-Masticdock-Workspace";
    /// Index of the first token to send when a stream is resumed.
    pub(crate) const RESUME_FROM: &str = "X-Masticdock-Resume-From";
    /// `true` when the request is suspected of crashing upstreams.
    pub(crate) const SUSPECT: &str = "X-Masticdock-Suspect";
    /// Message authentication code of a request from an entry.
    pub(crate) const AUTH: &str = "X-Masticdock-Auth";
    /// Time at which the entry sent the request, in milliseconds since the Unix epoch.
    pub(crate) const SENT_AT: &str = "X-Masticdock-Sent-At";
    /// Load report of the upstream, as JSON.
    pub(crate) const LOAD: &str = "X-Masticdock-Load";
}

/// Returns the value of the first header with this name, ignoring ASCII case.
pub(crate) fn header_value<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    for header in headers {
        if header.field.as_str().as_str().eq_ignore_ascii_case(name) {
            return Some(header.value.as_str());
        }
    }
    None
}

/// Parses the value of an optional header.
///
/// # Errors
///
/// Returns the name of the header when its value cannot be parsed.
pub(crate) fn parse_header<T: FromStr>(
    headers: &[Header],
    name: &'static str,
) -> Result<Option<T>, &'static str> {
    let Some(text) = header_value(headers, name) else {
        return Ok(None);
    };
    text.trim().parse().map(Some).map_err(|_| name)
}

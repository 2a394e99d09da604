//! HTTP calls whose errors tell whether the call may have taken effect.

use std::fmt;
use std::io::ErrorKind;
use std::time::Duration;

use attohttpc::{ProxySettings, RequestBuilder};

/// Timeouts of calls to the platform.
#[derive(Debug, Clone, Copy)]
pub struct HttpSettings {
    /// Timeout of a whole call, in milliseconds.
    pub timeout_ms: u64,
}

impl Default for HttpSettings {
    fn default() -> Self {
        Self { timeout_ms: 2_000 }
    }
}

/// Kind of a [`PlatformError`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum PlatformErrorKind {
    /// The call did not reach the service; it had no effect.
    NotSent,
    /// The call may have taken effect: the response was lost or reports an internal
    /// error.
    OutcomeUnknown,
    /// The service rejected the call because of its rate limit; it had no effect.
    Throttled,
    /// The conditions of the writes with these indexes failed; the call had no effect.
    ConditionFailed(Vec<usize>),
    /// The object does not exist.
    NotFound,
    /// The service rejected the call; it had no effect.
    Rejected,
    /// The response cannot be decoded.
    Malformed,
}

/// Error of a failed call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformError {
    /// Kind of the error.
    pub kind: PlatformErrorKind,
    /// Name of the call.
    pub call: &'static str,
    /// Description of the failure.
    pub message: String,
}

impl PlatformError {
    pub(crate) fn new(
        kind: PlatformErrorKind,
        call: &'static str,
        message: impl Into<String>,
    ) -> Self {
        Self {
            kind,
            call,
            message: message.into(),
        }
    }

    /// Returns true if the call certainly had no effect.
    #[must_use]
    pub const fn had_no_effect(&self) -> bool {
        !matches!(
            self.kind,
            PlatformErrorKind::OutcomeUnknown | PlatformErrorKind::Malformed
        )
    }

    pub(crate) fn from_http(call: &'static str, error: &attohttpc::Error) -> Self {
        let kind = match error.kind() {
            // Only these errors are known to occur before the request is sent. A
            // timeout can occur later, so its outcome counts as unknown.
            attohttpc::ErrorKind::Io(io) => match io.kind() {
                ErrorKind::ConnectionRefused
                | ErrorKind::HostUnreachable
                | ErrorKind::NetworkUnreachable
                | ErrorKind::AddrNotAvailable => PlatformErrorKind::NotSent,
                _ => PlatformErrorKind::OutcomeUnknown,
            },
            attohttpc::ErrorKind::InvalidBaseUrl
            | attohttpc::ErrorKind::InvalidUrlHost
            | attohttpc::ErrorKind::InvalidUrlPort => PlatformErrorKind::NotSent,
            _ => PlatformErrorKind::OutcomeUnknown,
        };
        Self::new(kind, call, error.to_string())
    }

    pub(crate) fn from_status(call: &'static str, status: u16, body: &str) -> Self {
        let kind = match status {
            404 => PlatformErrorKind::NotFound,
            429 | 503 => PlatformErrorKind::Throttled,
            400..=499 => PlatformErrorKind::Rejected,
            _ => PlatformErrorKind::OutcomeUnknown,
        };
        let excerpt: String = body.chars().take(200).collect();
        Self::new(kind, call, format!("status {status}: {excerpt}"))
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} failed: {}", self.call, self.message)
    }
}

impl std::error::Error for PlatformError {}

/// Applies the timeouts and disables redirects and proxies.
pub(crate) fn prepare(builder: RequestBuilder, settings: HttpSettings) -> RequestBuilder {
    let timeout = Duration::from_millis(settings.timeout_ms);
    builder
        .connect_timeout(timeout)
        .read_timeout(timeout)
        .timeout(timeout)
        .follow_redirects(false)
        .proxy_settings(ProxySettings::builder().build())
}

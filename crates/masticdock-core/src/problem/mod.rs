//! Failures of requests as RFC 9457 problem details.

mod kind;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

pub use kind::ProblemKind;

use crate::poison::CrashRecord;

/// Whether a failed request may have been executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The request was not executed.
    NotRun,
    /// The request may have been executed.
    Unknown,
}

impl RunState {
    /// Returns the name of the state as written in problems and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// Prefix of every problem type; the slug of the kind follows it.
const TYPE_PREFIX: &str = "urn:masticdock:problem:";

/// Media type of problem details (RFC 9457).
pub const PROBLEM_MEDIA_TYPE: &str = "application/problem+json";

/// Failure of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "ProblemJson", into = "ProblemJson")]
pub struct Problem {
    /// Kind, which determines type, title and status.
    pub kind: ProblemKind,
    /// Whether the request may have been executed.
    pub run_state: RunState,
    /// What happened and what the caller can do about it.
    pub detail: CompactString,
    /// Time after which the caller may retry, in seconds.
    pub retry_after_s: Option<u64>,
    /// Crash of the upstream, reported to the entry by the agent of the upstream.
    pub crash: Option<CrashRecord>,
}

impl Problem {
    /// Creates a problem for a request that was not executed.
    #[must_use]
    pub fn not_run(kind: ProblemKind, detail: impl Into<CompactString>) -> Self {
        Self::new(kind, RunState::NotRun, detail.into())
    }

    /// Creates a problem for a request that may have been executed.
    #[must_use]
    pub fn unknown(kind: ProblemKind, detail: impl Into<CompactString>) -> Self {
        Self::new(kind, RunState::Unknown, detail.into())
    }

    const fn new(kind: ProblemKind, run_state: RunState, detail: CompactString) -> Self {
        Self {
            kind,
            run_state,
            detail,
            retry_after_s: None,
            crash: None,
        }
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub const fn with_retry_after_s(mut self, seconds: u64) -> Self {
        self.retry_after_s = Some(seconds);
        self
    }

    /// Attaches the crash of the upstream.
    #[must_use]
    pub fn with_crash(mut self, crash: CrashRecord) -> Self {
        self.crash = Some(crash);
        self
    }

    /// Serializes the problem to JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        // Serialization of a struct of strings and numbers does not fail.
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// JSON form of a [`Problem`], with the members of RFC 9457.
#[derive(Serialize, Deserialize)]
struct ProblemJson {
    r#type: CompactString,
    #[serde(default)]
    title: CompactString,
    #[serde(default)]
    status: u16,
    detail: CompactString,
    run_state: RunState,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    retry_after_s: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    crash: Option<CrashRecord>,
}

impl From<Problem> for ProblemJson {
    fn from(problem: Problem) -> Self {
        Self {
            r#type: compact_str::format_compact!("{TYPE_PREFIX}{}", problem.kind.slug()),
            title: CompactString::const_new(problem.kind.title()),
            status: problem.kind.status(),
            detail: problem.detail,
            run_state: problem.run_state,
            retry_after_s: problem.retry_after_s,
            crash: problem.crash,
        }
    }
}

impl TryFrom<ProblemJson> for Problem {
    type Error = String;

    fn try_from(json: ProblemJson) -> Result<Self, Self::Error> {
        let slug = json.r#type.strip_prefix(TYPE_PREFIX).unwrap_or("");
        let Some(kind) = ProblemKind::from_slug(slug) else {
            return Err(format!("unknown problem type `{}`", json.r#type));
        };
        Ok(Self {
            kind,
            run_state: json.run_state,
            detail: json.detail,
            retry_after_s: json.retry_after_s,
            crash: json.crash,
        })
    }
}

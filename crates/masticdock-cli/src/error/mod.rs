//! Error type of the command line and its exit statuses.

use std::fmt;
use std::process::ExitCode;

use masticdock_core::operator_api::Problem;

/// Kind of a [`CliError`]; determines the exit status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CliErrorKind {
    /// The arguments or an input file are invalid.
    Usage,
    /// The request was rejected or failed.
    Failed,
    /// The change conflicts with another one.
    Conflict,
    /// The resource does not exist.
    NotFound,
    /// The entry or the table service does not respond, or the outcome is unknown.
    Unavailable,
}

/// Reason for the failure of a command.
#[derive(Debug)]
pub(crate) struct CliError {
    pub(crate) kind: CliErrorKind,
    pub(crate) message: String,
    pub(crate) tip: Option<String>,
}

impl CliError {
    pub(crate) fn new(kind: CliErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            tip: None,
        }
    }

    pub(crate) fn usage(message: impl Into<String>) -> Self {
        Self::new(CliErrorKind::Usage, message)
    }

    #[must_use]
    pub(crate) fn with_tip(mut self, tip: impl Into<String>) -> Self {
        self.tip = Some(tip.into());
        self
    }

    pub(crate) fn from_problem(problem: Problem) -> Self {
        let kind = match problem.type_name.as_str() {
            "conflict" => CliErrorKind::Conflict,
            "not-found" => CliErrorKind::NotFound,
            "table-unavailable" | "outcome-unknown" => CliErrorKind::Unavailable,
            _ => CliErrorKind::Failed,
        };
        let mut message = problem.title;
        if let Some(field) = &problem.field
            && !problem.detail.contains(&format!("`{field}`"))
        {
            message = format!("{message}: field `{field}`");
        }
        if !problem.detail.is_empty() {
            message = format!("{message}: {}", problem.detail);
        }
        if let Some(other) = problem.other_change {
            let keys: Vec<String> = other
                .changes
                .iter()
                .map(|change| format!("\n    {}", change.key()))
                .collect();
            message = format!(
                "{message}\n\n  revision {} by {} changed:{}",
                other.revision,
                other.operator,
                keys.concat()
            );
        }
        Self {
            kind,
            message,
            tip: problem.tip,
        }
    }

    /// Returns the error as printed to standard error.
    pub(crate) fn render(&self) -> String {
        match &self.tip {
            Some(tip) => format!("error: {}\n\n  tip: {tip}", self.message),
            None => format!("error: {}", self.message),
        }
    }

    pub(crate) fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self.kind {
            CliErrorKind::Failed => 1,
            CliErrorKind::Usage => 2,
            CliErrorKind::Conflict => 3,
            CliErrorKind::NotFound => 4,
            CliErrorKind::Unavailable => 5,
        })
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for CliError {}

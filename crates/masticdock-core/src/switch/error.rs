//! Errors in a state chart.

use std::fmt;

/// Kind of a [`ChartError`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum ChartErrorKind {
    /// The text is not a chart.
    Malformed,
    /// A state is not one of the seven known ones, or one of these is missing.
    UnknownState,
    /// An event does not exist.
    UnknownEvent,
    /// An action does not exist.
    UnknownAction,
    /// A timeout does not exist, or a state has only one of a timeout and a
    /// transition for its expiry.
    InvalidTimeout,
    /// A state neither handles nor ignores an event.
    UnhandledEvent,
    /// A state both handles and ignores an event.
    ConflictingEvent,
    /// No sequence of events leads to a state.
    Unreachable,
}

/// Error in a state chart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChartError {
    kind: ChartErrorKind,
    location: String,
    message: String,
}

impl ChartError {
    pub(super) fn new(
        kind: ChartErrorKind,
        location: impl Into<String>,
        message: impl Into<String>,
    ) -> Self {
        Self {
            kind,
            location: location.into(),
            message: message.into(),
        }
    }

    /// Returns the kind of the error.
    #[must_use]
    pub const fn kind(&self) -> ChartErrorKind {
        self.kind
    }

    /// Returns the invalid state or part of the chart.
    #[must_use]
    pub fn location(&self) -> &str {
        &self.location
    }
}

impl fmt::Display for ChartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "invalid state chart at `{}`: {}",
            self.location, self.message
        )
    }
}

impl std::error::Error for ChartError {}

//! Errors of a state chart.

use std::fmt;

/// Kind of a [`ChartError`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum ChartErrorKind {
    /// The text is no chart.
    Malformed,
    /// A state is not one of the seven, or is missing.
    UnknownState,
    /// An event does not exist.
    UnknownEvent,
    /// An action does not exist.
    UnknownAction,
    /// A time-out does not exist, or its edge and its name do not come together.
    InvalidTimeout,
    /// A state neither handles nor ignores an event.
    UnhandledEvent,
    /// A state both handles and ignores an event.
    ConflictingEvent,
    /// No sequence of events leads to a state.
    Unreachable,
}

/// Reports a chart that cannot be interpreted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChartError {
    kind: ChartErrorKind,
    place: String,
    message: String,
}

impl ChartError {
    pub(super) fn new(
        kind: ChartErrorKind,
        place: impl Into<String>,
        message: impl Into<String>,
    ) -> Self {
        Self {
            kind,
            place: place.into(),
            message: message.into(),
        }
    }

    /// Returns the kind.
    #[must_use]
    pub const fn kind(&self) -> ChartErrorKind {
        self.kind
    }

    /// Returns the state, or the part of the chart, that is wrong.
    #[must_use]
    pub fn place(&self) -> &str {
        &self.place
    }
}

impl fmt::Display for ChartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "state chart, {}: {}", self.place, self.message)
    }
}

impl std::error::Error for ChartError {}

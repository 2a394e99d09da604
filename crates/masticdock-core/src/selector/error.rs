//! Errors of the selector parser.

use std::fmt;

/// Kind of a [`SelectorError`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum SelectorErrorKind {
    /// The selector has no requirement.
    Empty,
    /// The selector is longer than [`super::SELECTOR_LEN_MAX`].
    TooLong,
    /// A label key is missing.
    MissingKey,
    /// A label value is missing.
    MissingValue,
    /// The values of `in` or `notin` are not a list in parentheses.
    MissingList,
    /// A different character or word is expected at the position.
    Unexpected,
}

/// Error returned when text is not a valid selector.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SelectorError {
    pub(super) kind: SelectorErrorKind,
    pub(super) position: usize,
    pub(super) message: String,
    pub(super) tip: &'static str,
}

impl SelectorError {
    /// Returns the kind of the error.
    #[must_use]
    pub const fn kind(&self) -> SelectorErrorKind {
        self.kind
    }

    /// Returns the position of the error in the text, in characters, counted from 1.
    #[must_use]
    pub const fn position(&self) -> usize {
        self.position
    }

    /// Returns the description of the error at the position.
    #[must_use]
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns a suggestion for a correction.
    #[must_use]
    pub const fn tip(&self) -> &'static str {
        self.tip
    }
}

impl fmt::Display for SelectorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "position {} of the selector: {}; tip: {}",
            self.position, self.message, self.tip
        )
    }
}

impl std::error::Error for SelectorError {}

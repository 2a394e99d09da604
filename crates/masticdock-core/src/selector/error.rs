//! Errors of selectors.

use std::fmt;

/// Kind of a [`SelectorError`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum SelectorErrorKind {
    /// The selector has no requirement.
    Empty,
    /// The selector is longer than [`super::SELECTOR_LEN_MAX`].
    TooLong,
    /// A key is missing.
    MissingKey,
    /// A value is missing.
    MissingValue,
    /// The list of `in` or `notin` is not in parentheses.
    MissingList,
    /// Another character or word is expected at the position.
    Unexpected,
}

/// Reports text that is no selector.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SelectorError {
    pub(super) kind: SelectorErrorKind,
    pub(super) position: usize,
    pub(super) message: String,
    pub(super) tip: &'static str,
}

impl SelectorError {
    /// Returns the kind.
    #[must_use]
    pub const fn kind(&self) -> SelectorErrorKind {
        self.kind
    }

    /// Returns the position in the text, in characters and counted from 1.
    #[must_use]
    pub const fn position(&self) -> usize {
        self.position
    }

    /// Returns what is wrong at the position.
    #[must_use]
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns what the reader can do about it.
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

//! Errors in the conversion of messages.

use std::fmt;

/// Kind of a [`WireError`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum WireErrorKind {
    /// The bytes are not a valid Cap'n Proto message.
    Malformed,
    /// A field holds a value that its type does not accept.
    InvalidField,
}

/// Error in the conversion of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireError {
    kind: WireErrorKind,
    field: &'static str,
    message: String,
}

impl WireError {
    /// Creates an error for an invalid value of `field`.
    #[must_use]
    pub fn invalid(field: &'static str, error: &impl fmt::Display) -> Self {
        Self {
            kind: WireErrorKind::InvalidField,
            field,
            message: error.to_string(),
        }
    }

    /// Returns the kind of the error.
    #[must_use]
    pub const fn kind(&self) -> WireErrorKind {
        self.kind
    }
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "field `{}`: {}", self.field, self.message)?;
        f.write_str("; tip: check that both processes run the same release")
    }
}

impl std::error::Error for WireError {}

impl From<capnp::Error> for WireError {
    fn from(error: capnp::Error) -> Self {
        Self {
            kind: WireErrorKind::Malformed,
            field: "message",
            message: error.to_string(),
        }
    }
}

impl From<capnp::NotInSchema> for WireError {
    fn from(error: capnp::NotInSchema) -> Self {
        Self::invalid("enum", &error)
    }
}

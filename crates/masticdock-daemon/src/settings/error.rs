//! Errors in settings files.

use std::fmt;
use std::path::PathBuf;

/// Kind of a [`SettingsError`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SettingsErrorKind {
    /// The file cannot be read.
    Unreadable,
    /// The file is not valid YAML or has an unknown or missing field.
    Malformed,
    /// A value is outside its range.
    OutOfRange,
    /// Two values contradict each other.
    Contradiction,
}

/// Error in a settings file; the daemon does not start with such a file.
#[derive(Debug, Clone)]
pub(crate) struct SettingsError {
    pub(crate) kind: SettingsErrorKind,
    pub(crate) path: PathBuf,
    /// Line in the file, counted from 1; `None` when the line is unknown.
    pub(crate) line: Option<usize>,
    /// Dotted path of the field; empty when unknown.
    pub(crate) field: String,
    pub(crate) message: String,
    pub(crate) tip: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.path.display())?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if !self.field.is_empty() {
            write!(f, ": field `{}`", self.field)?;
        }
        write!(f, ": {}", self.message)?;
        if !self.tip.is_empty() {
            write!(f, "; tip: {}", self.tip)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

//! Rows and conditional writes of the table service, independent of its protocol.

use compact_str::{CompactString, format_compact};

/// Value of an attribute of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttributeValue {
    /// Text.
    Text(String),
    /// Unsigned integer.
    Number(u64),
}

/// Condition on the stored row under which a write takes effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowCondition {
    /// The write is unconditional.
    Always,
    /// The row does not exist.
    Absent,
    /// The named attribute exists and has this value.
    Equals(&'static str, AttributeValue),
}

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowWrite {
    /// Partition key.
    pub pk: CompactString,
    /// Sort key.
    pub sk: CompactString,
    /// Attributes of the new row; `None` deletes the row.
    pub attributes: Option<Vec<(&'static str, AttributeValue)>>,
    /// Condition on the stored row.
    pub condition: RowCondition,
}

/// Error returned when a row of the table is malformed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("row `{row}` of the table cannot be read: {message}")]
pub struct RowError {
    /// Partition key and sort key of the row, joined by `/`.
    pub row: CompactString,
    /// Description of the error.
    pub message: String,
}

impl RowError {
    /// Creates an error about the row with these keys.
    pub fn new(pk: &str, sk: &str, message: impl Into<String>) -> Self {
        Self {
            row: format_compact!("{pk}/{sk}"),
            message: message.into(),
        }
    }
}

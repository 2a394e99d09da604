//! Rows and conditional writes of the table service, free of its protocol.

use compact_str::{CompactString, format_compact};

/// Value of one attribute of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttributeValue {
    /// Text.
    Text(String),
    /// Number.
    Number(u64),
}

/// Condition of a write on the stored row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RowCondition {
    /// No condition.
    Always,
    /// The row does not exist.
    Absent,
    /// The attribute has this value.
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

/// Reports a row that cannot be understood.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("row `{row}` of the table cannot be read: {message}")]
pub struct RowError {
    /// Keys of the row.
    pub row: CompactString,
    /// What is wrong.
    pub message: String,
}

impl RowError {
    /// Makes an error about the row with these keys.
    pub fn new(pk: &str, sk: &str, message: impl Into<String>) -> Self {
        Self {
            row: format_compact!("{pk}/{sk}"),
            message: message.into(),
        }
    }
}

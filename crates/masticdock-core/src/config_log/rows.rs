//! Rows of the table service that hold the configuration.

use compact_str::{CompactString, ToCompactString, format_compact};

use super::{AcceptedChange, StoredResource};
use crate::ids::{ChangeId, Revision};
use crate::resource::{Resource, ResourceChange, ResourceKey};
use crate::table_row::{AttributeValue, RowCondition, RowError, RowWrite};

/// Partition with the head revision.
pub const PK_CONFIG: &str = "config";
/// Sort key of the head revision.
pub const SK_HEAD: &str = "head";
/// Partition with the accepted changes.
pub const PK_LOG: &str = "log";
/// Partition with the audit trail.
pub const PK_AUDIT: &str = "audit";
/// Partition that maps change ids to revisions.
pub const PK_CHANGE: &str = "change";
/// Partition with the newest state of each resource.
pub const PK_RESOURCE: &str = "resource";
/// Attribute with a revision.
pub const ATTR_REVISION: &str = "revision";
/// Attribute with JSON.
pub const ATTR_BODY: &str = "body";

/// Returns the sort key of a revision; its order as text is the order of revisions.
#[must_use]
pub fn revision_sort_key(revision: Revision) -> CompactString {
    format_compact!("{:020}", revision.0)
}

/// Reads a row of the log or of the audit trail.
///
/// # Errors
///
/// Fails when `body` is no change.
pub fn change_from_row(sk: &str, body: &str) -> Result<AcceptedChange, RowError> {
    serde_json::from_str(body).map_err(|error| RowError::new(PK_LOG, sk, error.to_string()))
}

/// Reads a resource row.
///
/// # Errors
///
/// Fails when `body` is no resource.
pub fn resource_from_row(sk: &str, revision: u64, body: &str) -> Result<StoredResource, RowError> {
    let resource: Resource = serde_json::from_str(body)
        .map_err(|error| RowError::new(PK_RESOURCE, sk, error.to_string()))?;
    Ok(StoredResource {
        revision: Revision(revision),
        resource,
    })
}

fn json(value: &impl serde::Serialize) -> String {
    // These types have text keys only, so encoding them cannot fail.
    serde_json::to_string(value).unwrap_or_default()
}

fn put(
    pk: &'static str,
    sk: CompactString,
    fields: Vec<(&'static str, AttributeValue)>,
    condition: RowCondition,
) -> RowWrite {
    RowWrite {
        pk: CompactString::const_new(pk),
        sk,
        attributes: Some(fields),
        condition,
    }
}

fn head_write(change: &AcceptedChange) -> RowWrite {
    let expected = change.revision.0 - 1;
    let condition = if expected == 0 {
        RowCondition::Absent
    } else {
        RowCondition::Equals(ATTR_REVISION, AttributeValue::Number(expected))
    };
    put(
        PK_CONFIG,
        CompactString::const_new(SK_HEAD),
        vec![(ATTR_REVISION, AttributeValue::Number(change.revision.0))],
        condition,
    )
}

fn change_id_write(id: &ChangeId, revision: Revision) -> RowWrite {
    put(
        PK_CHANGE,
        id.to_compact_string(),
        vec![(ATTR_REVISION, AttributeValue::Number(revision.0))],
        RowCondition::Absent,
    )
}

fn record_write(pk: &'static str, change: &AcceptedChange) -> RowWrite {
    put(
        pk,
        revision_sort_key(change.revision),
        vec![
            (ATTR_REVISION, AttributeValue::Number(change.revision.0)),
            ("previous", AttributeValue::Number(change.revision.0 - 1)),
            (
                "change_id",
                AttributeValue::Text(change.change_id.to_string()),
            ),
            (
                "operator",
                AttributeValue::Text(change.operator.to_string()),
            ),
            (
                "accepted_at_unix_ms",
                AttributeValue::Number(change.accepted_at_unix_ms.0),
            ),
            (ATTR_BODY, AttributeValue::Text(json(change))),
        ],
        RowCondition::Absent,
    )
}

fn resource_write(revision: Revision, key: &ResourceKey, last: &ResourceChange) -> RowWrite {
    let fields = match last {
        ResourceChange::Put(resource) => Some(vec![
            (ATTR_REVISION, AttributeValue::Number(revision.0)),
            (ATTR_BODY, AttributeValue::Text(json(resource))),
        ]),
        ResourceChange::Delete(_) => None,
    };
    RowWrite {
        pk: CompactString::const_new(PK_RESOURCE),
        sk: key.to_compact_string(),
        attributes: fields,
        condition: RowCondition::Always,
    }
}

/// Index of the head write in [`transaction`].
pub const HEAD_WRITE_INDEX: usize = 0;
/// Index of the write of the change id in [`transaction`].
pub const CHANGE_ID_WRITE_INDEX: usize = 1;

/// Returns the writes of one transaction that makes `change` accepted.
///
/// The head and the change id come first; a failed condition of the head means
/// that another change was accepted, one of the change id that this one was.
#[must_use]
pub fn transaction(change: &AcceptedChange) -> Vec<RowWrite> {
    let mut writes = vec![
        head_write(change),
        change_id_write(&change.change_id, change.revision),
        record_write(PK_LOG, change),
        record_write(PK_AUDIT, change),
    ];
    // A transaction may write each row once, so the last entry of a resource wins.
    let mut last = std::collections::BTreeMap::new();
    for entry in &change.changes {
        last.insert(entry.key(), entry);
    }
    for (key, entry) in last {
        writes.push(resource_write(change.revision, &key, entry));
    }
    writes
}

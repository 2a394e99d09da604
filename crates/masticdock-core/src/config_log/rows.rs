//! Layout of the configuration in the table service.

use compact_str::{CompactString, ToCompactString, format_compact};

use super::{AcceptedChange, StoredResource};
use crate::ids::{ChangeId, Revision};
use crate::resource::{Resource, ResourceChange, ResourceKey};
use crate::table_row::{AttributeValue, RowCondition, RowError, RowWrite};

/// Partition key of the row with the head revision.
pub const PK_CONFIG: &str = "config";
/// Sort key of the row with the head revision.
pub const SK_HEAD: &str = "head";
/// Partition key of the log of accepted changes.
pub const PK_LOG: &str = "log";
/// Partition key of the audit trail.
pub const PK_AUDIT: &str = "audit";
/// Partition key of the rows that map change ids to revisions.
pub const PK_CHANGE: &str = "change";
/// Partition key of the rows with the current state of each resource.
pub const PK_RESOURCE: &str = "resource";
/// Attribute that holds a revision.
pub const ATTR_REVISION: &str = "revision";
/// Attribute that holds a change or a resource as JSON.
pub const ATTR_BODY: &str = "body";

/// Returns the sort key of a revision, padded so that text order equals revision order.
#[must_use]
pub fn revision_sort_key(revision: Revision) -> CompactString {
    format_compact!("{:020}", revision.0)
}

/// Parses a row of the log or of the audit trail.
///
/// # Errors
///
/// Returns an error if `body` is not the JSON of a change or its revision is not that of the row.
pub fn change_from_row(sk: &str, body: &str) -> Result<AcceptedChange, RowError> {
    let change: AcceptedChange =
        serde_json::from_str(body).map_err(|error| RowError::new(PK_LOG, sk, error.to_string()))?;
    if revision_sort_key(change.revision) != sk {
        let message = format!("it holds revision {}", change.revision);
        return Err(RowError::new(PK_LOG, sk, message));
    }
    Ok(change)
}

/// Parses a resource row.
///
/// # Errors
///
/// Returns an error if `body` is not the JSON of a resource.
pub fn resource_from_row(sk: &str, revision: u64, body: &str) -> Result<StoredResource, RowError> {
    let resource: Resource = serde_json::from_str(body)
        .map_err(|error| RowError::new(PK_RESOURCE, sk, error.to_string()))?;
    Ok(StoredResource {
        revision: Revision(revision),
        resource,
    })
}

fn to_json(value: &impl serde::Serialize) -> String {
    // Serialization fails only for maps with non-string keys, which these types do not have.
    serde_json::to_string(value).unwrap_or_default()
}

fn put_write(
    pk: &'static str,
    sk: CompactString,
    attributes: Vec<(&'static str, AttributeValue)>,
    condition: RowCondition,
) -> RowWrite {
    RowWrite {
        pk: CompactString::const_new(pk),
        sk,
        attributes: Some(attributes),
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
    put_write(
        PK_CONFIG,
        CompactString::const_new(SK_HEAD),
        vec![(ATTR_REVISION, AttributeValue::Number(change.revision.0))],
        condition,
    )
}

fn change_id_write(id: &ChangeId, revision: Revision) -> RowWrite {
    put_write(
        PK_CHANGE,
        id.to_compact_string(),
        vec![(ATTR_REVISION, AttributeValue::Number(revision.0))],
        RowCondition::Absent,
    )
}

fn record_write(pk: &'static str, change: &AcceptedChange) -> RowWrite {
    put_write(
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
            (ATTR_BODY, AttributeValue::Text(to_json(change))),
        ],
        RowCondition::Absent,
    )
}

fn resource_write(revision: Revision, key: &ResourceKey, last_change: &ResourceChange) -> RowWrite {
    let attributes = match last_change {
        ResourceChange::Put(resource) => Some(vec![
            (ATTR_REVISION, AttributeValue::Number(revision.0)),
            (ATTR_BODY, AttributeValue::Text(to_json(resource))),
        ]),
        ResourceChange::Delete(_) => None,
    };
    RowWrite {
        pk: CompactString::const_new(PK_RESOURCE),
        sk: key.to_compact_string(),
        attributes,
        condition: RowCondition::Always,
    }
}

/// Index of the head write in the result of [`transaction`].
pub const HEAD_WRITE_INDEX: usize = 0;
/// Index of the change id write in the result of [`transaction`].
pub const CHANGE_ID_WRITE_INDEX: usize = 1;

/// Returns the writes of the transaction that commits `change`.
///
/// A failed condition at [`HEAD_WRITE_INDEX`] means that another change was
/// accepted first; one at [`CHANGE_ID_WRITE_INDEX`] means that this change was
/// accepted already.
#[must_use]
pub fn transaction(change: &AcceptedChange) -> Vec<RowWrite> {
    let mut writes = vec![
        head_write(change),
        change_id_write(&change.change_id, change.revision),
        record_write(PK_LOG, change),
        record_write(PK_AUDIT, change),
    ];
    // A transaction may write each row only once, so the last change of a resource wins.
    let mut last_by_key = std::collections::BTreeMap::new();
    for resource_change in &change.changes {
        last_by_key.insert(resource_change.key(), resource_change);
    }
    for (key, resource_change) in last_by_key {
        writes.push(resource_write(change.revision, &key, resource_change));
    }
    writes
}

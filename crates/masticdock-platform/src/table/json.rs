//! JSON encoding of the table protocol.

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::{Map, Value as Json, json};

use super::{Condition, Item, ItemKey, Value, Write};
use crate::http::{PlatformError, PlatformErrorKind};

pub(super) fn malformed(message: &str) -> PlatformError {
    PlatformError::new(PlatformErrorKind::Malformed, "table read", message)
}

pub(super) fn encode_key(key: &ItemKey) -> Json {
    json!({ "pk": { "S": key.pk }, "sk": { "S": key.sk } })
}

fn encode_value(value: &Value) -> Json {
    match value {
        Value::Text(text) => json!({ "S": text }),
        Value::Number(number) => json!({ "N": number.to_string() }),
    }
}

fn encode_item(item: &Item) -> Json {
    let mut fields = Map::new();
    for (name, value) in &item.attributes {
        fields.insert(name.to_string(), encode_value(value));
    }
    fields.insert("pk".to_owned(), json!({ "S": item.key.pk }));
    fields.insert("sk".to_owned(), json!({ "S": item.key.sk }));
    Json::Object(fields)
}

/// Answer to a query whose items are decoded one by one, so that an odd one does not hide the others.
#[derive(Deserialize)]
pub(super) struct QueryAnswer<'a> {
    #[serde(borrow, rename = "Items")]
    pub(super) items: Vec<&'a RawValue>,
}

/// Answer to the read of an item.
#[derive(Deserialize)]
pub(super) struct GetAnswer<'a> {
    #[serde(borrow, default, rename = "Item")]
    pub(super) item: Option<&'a RawValue>,
}

/// Highest number that is read. All numbers in the table count upwards from 0, so a higher one is of
/// another writer, and none that is read overflows when the next one is written.
const NUMBER_MAX: u64 = u64::MAX / 2;

fn decode_value(value: &RawValue) -> Option<Value> {
    let value: Json = serde_json::from_str(value.get()).ok()?;
    if let Some(text) = value.get("S").and_then(Json::as_str) {
        return Some(Value::Text(text.to_owned()));
    }
    let number = value.get("N")?.as_str()?.parse().ok()?;
    (number <= NUMBER_MAX).then_some(Value::Number(number))
}

/// Decodes an item. Attributes that are neither text nor a number in range are left out.
pub(super) fn decode_item(item: &RawValue) -> Result<Item, PlatformError> {
    let fields: BTreeMap<CompactString, &RawValue> =
        serde_json::from_str(item.get()).map_err(|error| malformed(&error.to_string()))?;
    let mut attributes = BTreeMap::new();
    for (name, value) in fields {
        if let Some(value) = decode_value(value) {
            attributes.insert(name, value);
        }
    }
    let mut key_part = |name: &str| match attributes.remove(name) {
        Some(Value::Text(text)) => Ok(CompactString::from(text)),
        _ => Err(malformed("an item has no key")),
    };
    let key = ItemKey {
        pk: key_part("pk")?,
        sk: key_part("sk")?,
    };
    Ok(Item { key, attributes })
}

fn add_condition(target: &mut Map<String, Json>, condition: &Condition) {
    let (expression, field) = match condition {
        Condition::Always => return,
        Condition::Absent => ("attribute_not_exists(pk)", None),
        Condition::Equals(name, value) => ("#c = :c", Some((name, value))),
        Condition::AbsentOrEquals(name, value) => {
            ("attribute_not_exists(pk) OR #c = :c", Some((name, value)))
        }
    };
    target.insert("ConditionExpression".to_owned(), json!(expression));
    let Some((name, value)) = field else {
        return;
    };
    target.insert("ExpressionAttributeNames".to_owned(), json!({ "#c": name }));
    target.insert(
        "ExpressionAttributeValues".to_owned(),
        json!({ ":c": encode_value(value) }),
    );
}

pub(super) fn encode_write(table: &str, write: &Write) -> Json {
    let mut fields = Map::new();
    fields.insert("TableName".to_owned(), json!(table));
    let (operation, condition) = match write {
        Write::Put { item, condition } => {
            fields.insert("Item".to_owned(), encode_item(item));
            ("Put", condition)
        }
        Write::Delete { key, condition } => {
            fields.insert("Key".to_owned(), encode_key(key));
            ("Delete", condition)
        }
        Write::Check { key, condition } => {
            fields.insert("Key".to_owned(), encode_key(key));
            ("ConditionCheck", condition)
        }
    };
    add_condition(&mut fields, condition);
    json!({ operation: fields })
}

pub(super) fn decode_error(operation: &'static str, status: u16, text: &str) -> PlatformError {
    let json: Json = serde_json::from_str(text).unwrap_or_default();
    let type_name = json
        .get("__type")
        .and_then(Json::as_str)
        .unwrap_or_default();
    let type_name = type_name.rsplit('#').next().unwrap_or_default();
    match type_name {
        "TransactionCanceledException" => {}
        "ProvisionedThroughputExceededException" | "ThrottlingException" => {
            return PlatformError::new(PlatformErrorKind::Throttled, operation, type_name);
        }
        _ => return PlatformError::from_status(operation, status, text),
    }
    let mut failed_writes = Vec::new();
    let reasons = json.get("CancellationReasons").and_then(Json::as_array);
    for (index, reason) in reasons.into_iter().flatten().enumerate() {
        if reason.get("Code").and_then(Json::as_str) == Some("ConditionalCheckFailed") {
            failed_writes.push(index);
        }
    }
    if failed_writes.is_empty() {
        // The transaction was cancelled because of a concurrent transaction or
        // throttling; nothing was written.
        return PlatformError::new(PlatformErrorKind::Throttled, operation, type_name);
    }
    PlatformError::new(
        PlatformErrorKind::ConditionFailed(failed_writes),
        operation,
        "a condition failed",
    )
}

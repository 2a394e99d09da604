//! Client of the transactional table service.
//!
//! Uses a subset of the `DynamoDB` JSON 1.0 protocol: `GetItem`, `Query` and
//! `TransactWriteItems`. Requests are not signed.

mod json;
mod rows;

use std::collections::BTreeMap;

use compact_str::CompactString;
use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::{Value as Json, json};

use crate::http::{HttpSettings, PlatformError, PlatformErrorKind, prepare};

/// Key of an item.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ItemKey {
    /// Partition key.
    pub pk: CompactString,
    /// Sort key.
    pub sk: CompactString,
}

impl ItemKey {
    /// Creates a key.
    #[must_use]
    pub fn new(pk: impl Into<CompactString>, sk: impl Into<CompactString>) -> Self {
        Self {
            pk: pk.into(),
            sk: sk.into(),
        }
    }
}

/// Value of an attribute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Value {
    /// Text.
    Text(String),
    /// Number.
    Number(u64),
}

impl Value {
    /// Returns the text, or `None` for a number.
    #[must_use]
    pub fn as_text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            Self::Number(_) => None,
        }
    }

    /// Returns the number, or `None` for a text.
    #[must_use]
    pub const fn as_number(&self) -> Option<u64> {
        match self {
            Self::Text(_) => None,
            Self::Number(number) => Some(*number),
        }
    }
}

/// Item of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Key of the item.
    pub key: ItemKey,
    /// Attributes other than the key.
    pub attributes: BTreeMap<CompactString, Value>,
}

impl Item {
    /// Creates an item without attributes.
    #[must_use]
    pub const fn new(key: ItemKey) -> Self {
        Self {
            key,
            attributes: BTreeMap::new(),
        }
    }

    /// Adds a text attribute.
    #[must_use]
    pub fn with_text(mut self, name: &str, text: impl Into<String>) -> Self {
        self.attributes
            .insert(CompactString::new(name), Value::Text(text.into()));
        self
    }

    /// Adds a number attribute.
    #[must_use]
    pub fn with_number(mut self, name: &str, number: u64) -> Self {
        self.attributes
            .insert(CompactString::new(name), Value::Number(number));
        self
    }

    /// Returns the value of a text attribute.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        self.attributes.get(name)?.as_text()
    }

    /// Returns the value of a number attribute.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.attributes.get(name)?.as_number()
    }
}

/// Condition of a write, evaluated against the stored item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// No condition.
    Always,
    /// The item does not exist.
    Absent,
    /// The attribute has this value.
    Equals(CompactString, Value),
    /// The item does not exist or the attribute has this value.
    AbsentOrEquals(CompactString, Value),
}

/// Write in a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Creates or replaces an item.
    Put {
        /// New item.
        item: Item,
        /// Condition on the stored item.
        condition: Condition,
    },
    /// Deletes an item.
    Delete {
        /// Key of the item.
        key: ItemKey,
        /// Condition on the stored item.
        condition: Condition,
    },
    /// Changes nothing; the transaction fails unless the condition holds.
    Check {
        /// Key of the item.
        key: ItemKey,
        /// Condition on the stored item.
        condition: Condition,
    },
}

/// Page of the items of a partition.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Items that could be decoded.
    pub items: Vec<Item>,
    /// Sort key after which the next page begins; `None` for the last page.
    pub next: Option<CompactString>,
}

/// Client of a table.
#[derive(Debug, Clone)]
pub struct TableClient {
    url: String,
    table: String,
    http: HttpSettings,
}

impl TableClient {
    /// Creates a client without sending a request.
    #[must_use]
    pub fn new(url: impl Into<String>, table: impl Into<String>, http: HttpSettings) -> Self {
        Self {
            url: url.into(),
            table: table.into(),
            http,
        }
    }

    /// Reads an item with strong consistency.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not answer, rejects the call, or sends
    /// a response that cannot be decoded.
    pub fn get(&self, key: &ItemKey) -> Result<Option<Item>, PlatformError> {
        let body = json!({
            "TableName": self.table,
            "Key": json::encode_key(key),
            "ConsistentRead": true,
        });
        let answer = self.call("GetItem", &body)?;
        let answer: json::GetAnswer = decode("GetItem", &answer)?;
        answer.item.map(json::decode_item).transpose()
    }

    /// Reads up to `limit` items of a partition with sort keys greater than `after`,
    /// in the order of their sort keys, without those that cannot be decoded.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not answer, rejects the call, or sends
    /// a response that cannot be decoded.
    pub fn query_after(
        &self,
        pk: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Item>, PlatformError> {
        self.query_page(pk, after, limit).map(|page| page.items)
    }

    /// Reads a page like [`Self::query_after`] does and tells where the next one begins.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Self::query_after`].
    pub fn query_page(&self, pk: &str, after: &str, limit: usize) -> Result<Page, PlatformError> {
        let mut body = json!({
            "TableName": self.table,
            "KeyConditionExpression": "pk = :pk AND sk > :after",
            "ExpressionAttributeValues": { ":pk": { "S": pk }, ":after": { "S": after } },
            "Limit": limit,
            "ConsistentRead": true,
        });
        if after.is_empty() {
            // The protocol does not allow empty key values, so the first page has no lower
            // bound.
            body["KeyConditionExpression"] = json!("pk = :pk");
            body["ExpressionAttributeValues"] = json!({ ":pk": { "S": pk } });
        }
        let answer = self.call("Query", &body)?;
        let answer: json::QueryAnswer = decode("Query", &answer)?;
        let mut items: Vec<Item> = Vec::with_capacity(answer.items.len());
        for item in &answer.items {
            match json::decode_item(item) {
                Ok(item) => items.push(item),
                Err(error) => log::warn!("an item of partition {pk} is passed over: {error}"),
            }
        }
        let is_full = answer.items.len() >= limit;
        let next = items.last().map(|item| item.key.sk.clone());
        Ok(Page {
            items,
            next: next.filter(|_| is_full),
        })
    }

    /// Reads all items of a partition, page by page.
    ///
    /// # Errors
    ///
    /// Returns an error if the service does not answer, rejects the call, or sends
    /// a response that cannot be decoded.
    pub fn query_all(&self, pk: &str) -> Result<Vec<Item>, PlatformError> {
        /// Maximum number of items read by a call.
        const PAGE_ITEMS: usize = 500;
        let mut items: Vec<Item> = Vec::new();
        let mut after = CompactString::default();
        loop {
            let page = self.query_page(pk, &after, PAGE_ITEMS)?;
            items.extend(page.items);
            match page.next {
                Some(next) => after = next,
                None => return Ok(items),
            }
        }
    }

    /// Applies either all writes or none.
    ///
    /// For ten minutes, a retry with the same `token` and the same writes has no
    /// further effect.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails. [`PlatformErrorKind::ConditionFailed`]
    /// lists the writes whose condition failed. After
    /// [`PlatformErrorKind::OutcomeUnknown`] the caller has to read the items to
    /// learn whether the writes were applied.
    pub fn transact(&self, writes: &[Write], token: &str) -> Result<(), PlatformError> {
        let mut items = Vec::with_capacity(writes.len());
        for write in writes {
            items.push(json::encode_write(&self.table, write));
        }
        let body = json!({ "TransactItems": items, "ClientRequestToken": token });
        let answer = self.call("TransactWriteItems", &body)?;
        decode("TransactWriteItems", &answer).map(|_: IgnoredAny| ())
    }

    fn call(&self, operation: &'static str, body: &Json) -> Result<String, PlatformError> {
        let from_http = |error: attohttpc::Error| PlatformError::from_http(operation, &error);
        let response = prepare(attohttpc::post(&self.url), self.http)
            .header("X-Amz-Target", format!("DynamoDB_20120810.{operation}"))
            .bytes(body.to_string())
            .header("Content-Type", "application/x-amz-json-1.0")
            .send()
            .map_err(from_http)?;
        let status = response.status().as_u16();
        let text = response.text_utf8().map_err(from_http)?;
        if status != 200 {
            return Err(json::decode_error(operation, status, &text));
        }
        Ok(text)
    }
}

fn decode<'a, T: Deserialize<'a>>(
    operation: &'static str,
    text: &'a str,
) -> Result<T, PlatformError> {
    serde_json::from_str(text).map_err(|error| {
        PlatformError::new(PlatformErrorKind::Malformed, operation, error.to_string())
    })
}

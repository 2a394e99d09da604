//! Stores items and applies transactions.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use serde_json::{Value as Json, json};

use super::condition::evaluate;
use super::{Rejection, TableStats};

/// Time for which a `ClientRequestToken` makes a retry idempotent.
const TOKEN_RETENTION: Duration = Duration::from_mins(10);
/// Maximum length of a `ClientRequestToken`, in bytes.
const TOKEN_BYTES_MAX: usize = 36;
/// Maximum number of writes in one transaction.
const WRITES_MAX: usize = 100;
/// Maximum size of an item.
const ITEM_BYTES_MAX: usize = 400 << 10;

type Key = (String, String, String);

/// Effect of one write on its item.
enum Effect {
    Put(Json),
    Delete,
    CheckOnly,
}

struct ParsedWrite<'a> {
    key: Key,
    effect: Effect,
    fields: &'a Json,
}

/// Items by table, partition key and sort key, and recent request tokens.
#[derive(Default)]
pub(super) struct Store {
    items: BTreeMap<Key, Json>,
    tokens: HashMap<String, (Instant, Json)>,
    stats: TableStats,
}

impl Store {
    pub(super) fn stats(&self) -> TableStats {
        self.stats.clone()
    }

    pub(super) fn get(&mut self, body: &Json) -> Result<Json, Rejection> {
        let key = key_of(&body["TableName"], &body["Key"])?;
        self.stats.gets += 1;
        Ok(self
            .items
            .get(&key)
            .map_or_else(|| json!({}), |item| json!({ "Item": item })))
    }

    pub(super) fn query(&mut self, body: &Json) -> Result<Json, Rejection> {
        let expression = text(&body["KeyConditionExpression"], "KeyConditionExpression")?;
        let limit = body["Limit"].as_u64().unwrap_or(u64::MAX);
        let mut found = Vec::new();
        let mut last_key = None;
        let partition = partition_of(body)?;
        let first: Key = (partition.0.clone(), partition.1.clone(), String::new());
        for (key, item) in self.items.range(first..) {
            if (&key.0, &key.1) != (&partition.0, &partition.1) {
                break;
            }
            if !evaluate(expression, body, Some(item))? {
                continue;
            }
            if found.len() as u64 == limit {
                last_key = found
                    .last()
                    .map(|item: &&Json| json!({ "pk": item["pk"], "sk": item["sk"] }));
                break;
            }
            found.push(item);
        }
        self.stats.queries += 1;
        let mut answer = json!({ "Count": found.len(), "Items": found });
        if let Some(last_key) = last_key {
            answer["LastEvaluatedKey"] = last_key;
        }
        Ok(answer)
    }

    pub(super) fn transact(&mut self, body: &Json) -> Result<Json, Rejection> {
        let result = self.try_transact(body);
        match &result {
            Ok(0) => {}
            Ok(_) => self.stats.applied += 1,
            Err(_) => self.stats.refused += 1,
        }
        let written = result?;
        self.stats.items_written += written;
        Ok(json!({}))
    }

    /// Applies a transaction and returns the number of writes, or 0 for a retry.
    fn try_transact(&mut self, body: &Json) -> Result<u64, Rejection> {
        let writes = parse_writes(body)?;
        let token = body["ClientRequestToken"].as_str();
        if let Some(token) = token
            && self.is_retry(token, &body["TransactItems"])?
        {
            return Ok(0);
        }
        self.check_conditions(&writes)?;
        let count = writes.len() as u64;
        for write in writes {
            match write.effect {
                Effect::Put(item) => {
                    self.items.insert(write.key, item);
                }
                Effect::Delete => {
                    self.items.remove(&write.key);
                }
                Effect::CheckOnly => {}
            }
        }
        if let Some(token) = token {
            let call = (Instant::now(), body["TransactItems"].clone());
            self.tokens.insert(token.to_owned(), call);
        }
        Ok(count)
    }

    fn is_retry(&mut self, token: &str, items: &Json) -> Result<bool, Rejection> {
        if token.is_empty() || token.len() > TOKEN_BYTES_MAX {
            return Err(Rejection::validation(
                "ClientRequestToken must have 1 to 36 characters",
            ));
        }
        self.tokens
            .retain(|_, (at, _)| at.elapsed() < TOKEN_RETENTION);
        let Some((_, previous_items)) = self.tokens.get(token) else {
            return Ok(false);
        };
        if previous_items == items {
            return Ok(true);
        }
        Err(Rejection {
            type_name: "IdempotentParameterMismatchException",
            message: "the token was used with other writes".to_owned(),
            reasons: None,
        })
    }

    fn check_conditions(&self, writes: &[ParsedWrite<'_>]) -> Result<(), Rejection> {
        let mut reasons = Vec::with_capacity(writes.len());
        let mut failed = false;
        for write in writes {
            let expression = write.fields["ConditionExpression"].as_str();
            let item = self.items.get(&write.key);
            let condition_met = match expression {
                Some(expression) => evaluate(expression, write.fields, item)?,
                None => true,
            };
            failed |= !condition_met;
            reasons.push(if condition_met {
                json!({ "Code": "None" })
            } else {
                json!({ "Code": "ConditionalCheckFailed", "Message": "The conditional request failed" })
            });
        }
        if !failed {
            return Ok(());
        }
        Err(Rejection {
            type_name: "TransactionCanceledException",
            message: "Transaction cancelled, please refer cancellation reasons".to_owned(),
            reasons: Some(reasons),
        })
    }
}

/// Returns a string attribute, which has to be present and not empty.
fn text<'a>(json: &'a Json, name: &str) -> Result<&'a str, Rejection> {
    match json.as_str() {
        Some(text) if !text.is_empty() => Ok(text),
        _ => Err(Rejection::validation(format!("{name} is missing or empty"))),
    }
}

fn key_of(table: &Json, key: &Json) -> Result<Key, Rejection> {
    Ok((
        text(table, "TableName")?.to_owned(),
        text(&key["pk"]["S"], "pk")?.to_owned(),
        text(&key["sk"]["S"], "sk")?.to_owned(),
    ))
}

/// Returns the table and the partition key of a query, given as `pk = :value`.
fn partition_of(body: &Json) -> Result<(String, String), Rejection> {
    let expression = text(&body["KeyConditionExpression"], "KeyConditionExpression")?;
    for term in expression.split(" AND ") {
        let Some(("pk", placeholder)) = term.trim().split_once(" = ") else {
            continue;
        };
        let values = &body["ExpressionAttributeValues"];
        for value in values.as_object().into_iter().flatten() {
            text(&value.1["S"], value.0)?;
        }
        let table = text(&body["TableName"], "TableName")?;
        let pk = text(&values[placeholder]["S"], "pk")?;
        return Ok((table.to_owned(), pk.to_owned()));
    }
    Err(Rejection::validation("the query names no partition key"))
}

fn parse_writes(body: &Json) -> Result<Vec<ParsedWrite<'_>>, Rejection> {
    let items = body["TransactItems"].as_array();
    let items = items.map(Vec::as_slice).unwrap_or_default();
    if items.is_empty() || items.len() > WRITES_MAX {
        return Err(Rejection::validation("a transaction has 1 to 100 writes"));
    }
    let mut writes = Vec::with_capacity(items.len());
    let mut keys = BTreeSet::new();
    for item in items {
        let write = parse_write(item)?;
        if !keys.insert(write.key.clone()) {
            return Err(Rejection::validation(
                "Transaction request cannot include multiple operations on one item",
            ));
        }
        writes.push(write);
    }
    Ok(writes)
}

fn parse_write(write: &Json) -> Result<ParsedWrite<'_>, Rejection> {
    if let Some(fields) = write.get("Put") {
        let item = &fields["Item"];
        if item.to_string().len() > ITEM_BYTES_MAX {
            return Err(Rejection::validation("Item size has exceeded the maximum"));
        }
        return Ok(ParsedWrite {
            key: key_of(&fields["TableName"], item)?,
            effect: Effect::Put(item.clone()),
            fields,
        });
    }
    let (fields, effect) = if let Some(fields) = write.get("Delete") {
        (fields, Effect::Delete)
    } else if let Some(fields) = write.get("ConditionCheck") {
        text(&fields["ConditionExpression"], "ConditionExpression")?;
        (fields, Effect::CheckOnly)
    } else {
        return Err(Rejection::validation("unknown kind of write"));
    };
    Ok(ParsedWrite {
        key: key_of(&fields["TableName"], &fields["Key"])?,
        effect,
        fields,
    })
}

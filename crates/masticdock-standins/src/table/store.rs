//! Items and transactions.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use serde_json::{Value as Json, json};

use super::condition::holds;
use super::{Refusal, TableStats};

/// Time for which a `ClientRequestToken` makes a repeated call idempotent.
const TOKEN_LIFE: Duration = Duration::from_mins(10);
/// Longest `ClientRequestToken`.
const TOKEN_LEN_MAX: usize = 36;
/// Most writes of one transaction.
const WRITES_MAX: usize = 100;
/// Largest item.
const ITEM_BYTES_MAX: usize = 400 << 10;

type Key = (String, String, String);

/// What one write does to its item.
enum Effect {
    Put(Json),
    Delete,
    Nothing,
}

struct PlannedWrite<'a> {
    key: Key,
    effect: Effect,
    fields: &'a Json,
}

/// All items, by table, partition key and sort key.
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

    pub(super) fn get(&mut self, body: &Json) -> Result<Json, Refusal> {
        let key = key_of(&body["TableName"], &body["Key"])?;
        self.stats.gets += 1;
        Ok(self
            .items
            .get(&key)
            .map_or_else(|| json!({}), |item| json!({ "Item": item })))
    }

    pub(super) fn query(&mut self, body: &Json) -> Result<Json, Refusal> {
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
            if !holds(expression, body, Some(item))? {
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

    pub(super) fn transact(&mut self, body: &Json) -> Result<Json, Refusal> {
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

    /// Applies a transaction; returns the number of writes, 0 for a repeated call.
    fn try_transact(&mut self, body: &Json) -> Result<u64, Refusal> {
        let writes = plan(body)?;
        let token = body["ClientRequestToken"].as_str();
        if let Some(token) = token
            && self.is_repeated(token, &body["TransactItems"])?
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
                Effect::Nothing => {}
            }
        }
        if let Some(token) = token {
            let call = (Instant::now(), body["TransactItems"].clone());
            self.tokens.insert(token.to_owned(), call);
        }
        Ok(count)
    }

    fn is_repeated(&mut self, token: &str, items: &Json) -> Result<bool, Refusal> {
        if token.is_empty() || token.len() > TOKEN_LEN_MAX {
            return Err(Refusal::validation(
                "ClientRequestToken must have 1 to 36 characters",
            ));
        }
        self.tokens.retain(|_, (at, _)| at.elapsed() < TOKEN_LIFE);
        let Some((_, earlier)) = self.tokens.get(token) else {
            return Ok(false);
        };
        if earlier == items {
            return Ok(true);
        }
        Err(Refusal {
            type_name: "IdempotentParameterMismatchException",
            message: "the token was used with other writes".to_owned(),
            reasons: None,
        })
    }

    fn check_conditions(&self, writes: &[PlannedWrite<'_>]) -> Result<(), Refusal> {
        let mut reasons = Vec::with_capacity(writes.len());
        let mut failed = false;
        for write in writes {
            let expression = write.fields["ConditionExpression"].as_str();
            let item = self.items.get(&write.key);
            let met = match expression {
                Some(expression) => holds(expression, write.fields, item)?,
                None => true,
            };
            failed |= !met;
            reasons.push(if met {
                json!({ "Code": "None" })
            } else {
                json!({ "Code": "ConditionalCheckFailed", "Message": "The conditional request failed" })
            });
        }
        if !failed {
            return Ok(());
        }
        Err(Refusal {
            type_name: "TransactionCanceledException",
            message: "Transaction cancelled, please refer cancellation reasons".to_owned(),
            reasons: Some(reasons),
        })
    }
}

fn text<'a>(json: &'a Json, what: &str) -> Result<&'a str, Refusal> {
    match json.as_str() {
        Some(text) if !text.is_empty() => Ok(text),
        _ => Err(Refusal::validation(format!("{what} is missing or empty"))),
    }
}

fn key_of(table: &Json, key: &Json) -> Result<Key, Refusal> {
    Ok((
        text(table, "TableName")?.to_owned(),
        text(&key["pk"]["S"], "pk")?.to_owned(),
        text(&key["sk"]["S"], "sk")?.to_owned(),
    ))
}

/// Returns the table and the partition key that a query names as `pk = :value`.
fn partition_of(body: &Json) -> Result<(String, String), Refusal> {
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
    Err(Refusal::validation("the query names no partition key"))
}

fn plan(body: &Json) -> Result<Vec<PlannedWrite<'_>>, Refusal> {
    let items = body["TransactItems"].as_array();
    let items = items.map(Vec::as_slice).unwrap_or_default();
    if items.is_empty() || items.len() > WRITES_MAX {
        return Err(Refusal::validation("a transaction has 1 to 100 writes"));
    }
    let mut writes = Vec::with_capacity(items.len());
    let mut keys = BTreeSet::new();
    for item in items {
        let write = plan_write(item)?;
        if !keys.insert(write.key.clone()) {
            return Err(Refusal::validation(
                "Transaction request cannot include multiple operations on one item",
            ));
        }
        writes.push(write);
    }
    Ok(writes)
}

fn plan_write(write: &Json) -> Result<PlannedWrite<'_>, Refusal> {
    if let Some(fields) = write.get("Put") {
        let item = &fields["Item"];
        if item.to_string().len() > ITEM_BYTES_MAX {
            return Err(Refusal::validation("Item size has exceeded the maximum"));
        }
        return Ok(PlannedWrite {
            key: key_of(&fields["TableName"], item)?,
            effect: Effect::Put(item.clone()),
            fields,
        });
    }
    let (fields, effect) = if let Some(fields) = write.get("Delete") {
        (fields, Effect::Delete)
    } else if let Some(fields) = write.get("ConditionCheck") {
        text(&fields["ConditionExpression"], "ConditionExpression")?;
        (fields, Effect::Nothing)
    } else {
        return Err(Refusal::validation("unknown kind of write"));
    };
    Ok(PlannedWrite {
        key: key_of(&fields["TableName"], &fields["Key"])?,
        effect,
        fields,
    })
}

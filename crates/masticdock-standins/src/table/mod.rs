//! Table service: `GetItem`, `Query` and `TransactWriteItems` of the
//! `DynamoDB` JSON 1.0 protocol, in memory.
//!
//! `GET /stats` answers [`TableStats`].

mod condition;
mod store;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use serde_json::{Value as Json, json};

use crate::Running;
use crate::faults::FaultControl;
use crate::http::{self, Call};
use store::Store;

/// Calls that the table answered.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableStats {
    /// Reads by `GetItem`.
    pub gets: u64,
    /// Reads by `Query`.
    pub queries: u64,
    /// Transactions that were applied.
    pub applied: u64,
    /// Transactions that were cancelled or invalid.
    pub refused: u64,
    /// Items written by the applied transactions.
    pub items_written: u64,
}

/// Refusal of a call: the type name, the message and the cancellation reasons.
pub(crate) struct Refusal {
    type_name: &'static str,
    message: String,
    reasons: Option<Vec<Json>>,
}

impl Refusal {
    pub(crate) fn validation(message: impl Into<String>) -> Self {
        Self {
            type_name: "ValidationException",
            message: message.into(),
            reasons: None,
        }
    }
}

/// Starts a table service.
///
/// # Errors
///
/// Fails when the address cannot be bound.
pub fn spawn(addr: SocketAddr) -> io::Result<Running> {
    let faults = Arc::new(FaultControl::default());
    let store = Mutex::new(Store::default());
    let handler = Arc::new(move |call| handle(call, &store));
    let addr = http::spawn(addr, &faults, handler)?;
    Ok(Running { addr, faults })
}

fn handle(mut call: Call, store: &Mutex<Store>) {
    if call.method == "GET" && call.path == "/stats" {
        let stats = store.lock().unwrap_or_else(PoisonError::into_inner).stats();
        return call.answer_json(200, &stats);
    }
    let target = call.header("X-Amz-Target").unwrap_or_default();
    let result = match call.json() {
        Ok(body) => {
            let mut store = store.lock().unwrap_or_else(PoisonError::into_inner);
            run(&mut store, &target, &body)
        }
        Err(error) => Err(Refusal {
            type_name: "SerializationException",
            message: error,
            reasons: None,
        }),
    };
    let (status, body) = match result {
        Ok(body) => (200, body),
        Err(refusal) => (400, encode_refusal(&refusal)),
    };
    let headers = [("Content-Type", "application/x-amz-json-1.0".to_owned())];
    call.answer_with(status, &headers, body.to_string().as_bytes(), &|_| {});
}

fn run(store: &mut Store, target: &str, body: &Json) -> Result<Json, Refusal> {
    match target.strip_prefix("DynamoDB_20120810.") {
        Some("GetItem") => store.get(body),
        Some("Query") => store.query(body),
        Some("TransactWriteItems") => store.transact(body),
        _ => Err(Refusal {
            type_name: "UnknownOperationException",
            message: format!("no operation `{target}`"),
            reasons: None,
        }),
    }
}

fn encode_refusal(refusal: &Refusal) -> Json {
    let mut body = json!({
        "__type": format!("com.amazonaws.dynamodb.v20120810#{}", refusal.type_name),
        "message": refusal.message,
    });
    if let Some(reasons) = &refusal.reasons {
        body["CancellationReasons"] = json!(reasons);
    }
    body
}

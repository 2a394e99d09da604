//! In-memory table service with `GetItem`, `Query` and `TransactWriteItems` of the
//! `DynamoDB` JSON 1.0 protocol.
//!
//! `GET /stats` returns [`TableStats`].

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

/// Counts of the operations of a table service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableStats {
    /// `GetItem` operations.
    pub gets: u64,
    /// `Query` operations.
    pub queries: u64,
    /// Transactions that were applied.
    pub applied: u64,
    /// Transactions that were rejected as cancelled or invalid.
    pub refused: u64,
    /// Items written by the applied transactions.
    pub items_written: u64,
}

/// Error response to an operation: the error type, the message and the cancellation
/// reasons.
pub(crate) struct Rejection {
    type_name: &'static str,
    message: String,
    reasons: Option<Vec<Json>>,
}

impl Rejection {
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
/// Returns an error if the address cannot be bound.
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
        Err(error) => Err(Rejection {
            type_name: "SerializationException",
            message: error,
            reasons: None,
        }),
    };
    let (status, body) = match result {
        Ok(body) => (200, body),
        Err(rejection) => (400, encode_rejection(&rejection)),
    };
    let headers = [("Content-Type", "application/x-amz-json-1.0".to_owned())];
    call.answer_with(status, &headers, body.to_string().as_bytes(), &|_| {});
}

fn run(store: &mut Store, target: &str, body: &Json) -> Result<Json, Rejection> {
    match target.strip_prefix("DynamoDB_20120810.") {
        Some("GetItem") => store.get(body),
        Some("Query") => store.query(body),
        Some("TransactWriteItems") => store.transact(body),
        _ => Err(Rejection {
            type_name: "UnknownOperationException",
            message: format!("no operation `{target}`"),
            reasons: None,
        }),
    }
}

fn encode_rejection(rejection: &Rejection) -> Json {
    let mut body = json!({
        "__type": format!("com.amazonaws.dynamodb.v20120810#{}", rejection.type_name),
        "message": rejection.message,
    });
    if let Some(reasons) = &rejection.reasons {
        body["CancellationReasons"] = json!(reasons);
    }
    body
}

//! Plain service: `POST` to any path runs a request and echoes its body.
//!
//! `GET /ledger` returns the [`crate::LedgerPage`] of all runs.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::{Value as Json, json};

use crate::Running;
use crate::faults::FaultControl;
use crate::http::{self, Call};
use crate::ledger::{Ledger, Outcome};

/// Starts a plain service that takes `work_ms` for each request.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn spawn(addr: SocketAddr, work_ms: u64) -> io::Result<Running> {
    let faults = Arc::new(FaultControl::default());
    let ledger = Ledger::default();
    let work = Duration::from_millis(work_ms);
    let handler = Arc::new(move |call: Call| match call.method.as_str() {
        "GET" if call.path == "/ledger" => call.answer_json(200, &ledger.page()),
        "GET" => call.answer(200, "text/plain", b"ok\n"),
        "POST" => run(call, &ledger, work),
        _ => call.answer(405, "text/plain", b""),
    });
    let addr = http::spawn(addr, &faults, handler)?;
    Ok(Running { addr, faults })
}

fn run(mut call: Call, ledger: &Ledger, work: Duration) {
    let body = match call.body() {
        Ok(body) => body,
        Err(error) => return call.answer(400, "text/plain", error.to_string().as_bytes()),
    };
    let parsed: Json = serde_json::from_slice(&body).unwrap_or_default();
    let user = parsed["user"].as_str().unwrap_or_default().to_owned();
    let (index, count) = ledger.begin(&call, user, "", 0);
    thread::sleep(work);
    ledger.end(index, Outcome::Complete, 0);
    let echo = json!({
        "path": call.path,
        "request_id": call.header("X-Request-Id"),
        "key": call.header("Idempotency-Key"),
        "count": count,
        "echo": String::from_utf8_lossy(&body),
    });
    call.answer_json(200, &echo);
}

//! Fleet view: `GET` returns the list of VMs with an `ETag`; tests replace it by `PUT`,
//! which takes effect after a lag.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::Running;
use crate::faults::FaultControl;
use crate::http::{self, Call};

/// Starts a fleet view that returns a new list `lag_ms` after its `PUT`.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn spawn(addr: SocketAddr, lag_ms: u64) -> io::Result<Running> {
    let faults = Arc::new(FaultControl::default());
    // Lists that are not superseded yet, each with the time at which it takes effect.
    let lists: Mutex<Vec<(Instant, Vec<u8>)>> =
        Mutex::new(vec![(Instant::now(), br#"{"vms":[]}"#.to_vec())]);
    let lag = Duration::from_millis(lag_ms);
    let handler = Arc::new(move |mut call: Call| match call.method.as_str() {
        "GET" => read(call, &lists),
        "PUT" => match call.body() {
            Ok(list) => {
                let mut lists = lists.lock().unwrap_or_else(PoisonError::into_inner);
                lists.push((Instant::now() + lag, list));
                drop(lists);
                call.answer(200, "text/plain", b"");
            }
            Err(error) => call.answer(400, "text/plain", error.to_string().as_bytes()),
        },
        _ => call.answer(405, "text/plain", b""),
    });
    let addr = http::spawn(addr, &faults, handler)?;
    Ok(Running { addr, faults })
}

fn read(call: Call, lists: &Mutex<Vec<(Instant, Vec<u8>)>>) {
    let mut lists = lists.lock().unwrap_or_else(PoisonError::into_inner);
    let now = Instant::now();
    while lists.len() > 1 && lists[1].0 <= now {
        lists.remove(0);
    }
    let list = lists[0].1.clone();
    drop(lists);
    let etag = format!("\"{}\"", &blake3::hash(&list).to_hex()[..16]);
    if call.header("If-None-Match").as_deref() == Some(etag.as_str()) {
        return call.answer_with(304, &[("ETag", etag)], b"", &|_| {});
    }
    let headers = [
        ("Content-Type", "application/json".to_owned()),
        ("ETag", etag),
    ];
    call.answer_with(200, &headers, &list, &|_| {});
}

//! In-memory object store with S3 path-style `GET` and `PUT`.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use crate::Running;
use crate::faults::FaultControl;
use crate::http::{self, Call};

type Objects = Mutex<BTreeMap<String, Arc<Vec<u8>>>>;

/// Starts an object store.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn spawn(addr: SocketAddr) -> io::Result<Running> {
    let faults = Arc::new(FaultControl::default());
    let objects = Objects::default();
    let handler = Arc::new(move |call| handle(call, &objects));
    let addr = http::spawn(addr, &faults, handler)?;
    Ok(Running { addr, faults })
}

fn handle(mut call: Call, objects: &Objects) {
    match call.method.as_str() {
        "GET" => {
            let objects = objects.lock().unwrap_or_else(PoisonError::into_inner);
            let found = objects.get(&call.path).cloned();
            drop(objects);
            match found {
                Some(bytes) => call.answer(200, "application/octet-stream", &bytes),
                None => call.answer(
                    404,
                    "application/xml",
                    b"<Error><Code>NoSuchKey</Code></Error>",
                ),
            }
        }
        "PUT" => match call.body() {
            Ok(bytes) => {
                let mut objects = objects.lock().unwrap_or_else(PoisonError::into_inner);
                objects.insert(call.path.clone(), Arc::new(bytes));
                drop(objects);
                call.answer(200, "application/xml", b"");
            }
            Err(error) => call.answer(400, "text/plain", error.to_string().as_bytes()),
        },
        _ => call.answer(405, "text/plain", b""),
    }
}

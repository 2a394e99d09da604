//! Weight origin: `GET` with `Range`, a limit on the total rate, and byte counts.
//!
//! `PUT /<object>` stores weights. Weights at `/generated/<size>/<name>` are derived
//! from the path and need not be stored, see [`generated`].
//! `GET /stats` returns [`OriginStats`]; `DELETE /stats` resets the counts to 0.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};

use crate::Running;
use crate::faults::FaultControl;
use crate::http::{self, Call};
use crate::pacer::Pacer;

/// Counts of the reads from the origin.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginStats {
    /// Body bytes sent.
    pub read_bytes: u64,
    /// Reads started.
    pub reads: u64,
    /// Body bytes sent, by object.
    pub objects: BTreeMap<String, u64>,
}

/// Returns `length` bytes, starting at `offset`, of the weights
/// `/generated/<size>/<name>`.
#[must_use]
pub fn generated(path: &str, offset: u64, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    let mut reader = blake3::Hasher::new().update(path.as_bytes()).finalize_xof();
    reader.set_position(offset);
    reader.fill(&mut bytes);
    bytes
}

struct Origin {
    objects: Mutex<BTreeMap<String, Arc<Vec<u8>>>>,
    stats: Mutex<OriginStats>,
    pacer: Pacer,
}

/// Starts an origin; a rate of 0 means no limit.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn spawn(addr: SocketAddr, rate_bytes_per_s: u64) -> io::Result<Running> {
    let faults = Arc::new(FaultControl::default());
    let origin = Origin {
        objects: Mutex::default(),
        stats: Mutex::default(),
        pacer: Pacer::new(rate_bytes_per_s),
    };
    let handler = Arc::new(move |call| origin.handle(call));
    let addr = http::spawn(addr, &faults, handler)?;
    Ok(Running { addr, faults })
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Origin {
    fn handle(&self, mut call: Call) {
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/stats") => {
                let stats = lock(&self.stats).clone();
                call.answer_json(200, &stats);
            }
            ("DELETE", "/stats") => {
                *lock(&self.stats) = OriginStats::default();
                call.answer(200, "text/plain", b"");
            }
            ("GET", _) => self.read(call),
            ("PUT", _) => match call.body() {
                Ok(bytes) => {
                    lock(&self.objects).insert(call.path.clone(), Arc::new(bytes));
                    call.answer(200, "text/plain", b"");
                }
                Err(error) => call.answer(400, "text/plain", error.to_string().as_bytes()),
            },
            _ => call.answer(405, "text/plain", b""),
        }
    }

    fn size_of(&self, path: &str) -> Option<u64> {
        if let Some(suffix) = path.strip_prefix("/generated/") {
            return suffix.split('/').next()?.parse().ok();
        }
        let objects = lock(&self.objects);
        objects.get(path).map(|bytes| bytes.len() as u64)
    }

    fn bytes(&self, path: &str, offset: u64, length: usize) -> Vec<u8> {
        if path.starts_with("/generated/") {
            return generated(path, offset, length);
        }
        let object = lock(&self.objects).get(path).cloned().unwrap_or_default();
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        object[offset..offset + length].to_vec()
    }

    fn read(&self, call: Call) {
        let Some(size) = self.size_of(&call.path) else {
            return call.answer(404, "text/plain", b"no such object");
        };
        let range = call.header("Range");
        let Some((first, last)) = parse_range(range.as_deref(), size) else {
            let headers = [("Content-Range", format!("bytes */{size}"))];
            return call.answer_with(416, &headers, b"", &|_| {});
        };
        let length = usize::try_from(last + 1 - first).unwrap_or(usize::MAX);
        let body = self.bytes(&call.path, first, length);
        let path = call.path.clone();
        lock(&self.stats).reads += 1;
        let pace = |bytes: usize| {
            self.pacer.pace(bytes);
            let mut stats = lock(&self.stats);
            stats.read_bytes += bytes as u64;
            *stats.objects.entry(path.clone()).or_default() += bytes as u64;
        };
        let mut headers = vec![("Content-Type", "application/octet-stream".to_owned())];
        let mut status = 200;
        if range.is_some() {
            status = 206;
            headers.push(("Content-Range", format!("bytes {first}-{last}/{size}")));
        }
        call.answer_with(status, &headers, &body, &pace);
    }
}

/// Returns the offsets of the first and last byte of a `Range` header, given as
/// `bytes=FIRST-LAST` or `bytes=FIRST-`; without a header, those of the object.
fn parse_range(range: Option<&str>, size: u64) -> Option<(u64, u64)> {
    let end = size.checked_sub(1)?;
    let Some(range) = range else {
        return Some((0, end));
    };
    let (first, last) = range.strip_prefix("bytes=")?.split_once('-')?;
    let first: u64 = first.parse().ok()?;
    let last: u64 = if last.is_empty() {
        end
    } else {
        last.parse().ok()?
    };
    if first > last || first > end {
        return None;
    }
    Some((first, last.min(end)))
}

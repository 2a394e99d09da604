//! Threads that read chunks from the origin.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use crossbeam::channel::{Receiver, Sender};
use masticdock_core::ids::Digest;
use masticdock_core::transfer::TokenBucket;
use masticdock_core::units::{BytesPerSecond, MonoMs};
use masticdock_platform::OriginClient;

use super::message::Message;

/// Range of an object at the origin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct OriginRange {
    pub(super) object: CompactString,
    pub(super) offset: u64,
    pub(super) length: u64,
}

/// Called with the length in bytes of each slice read; returns false to cancel the
/// read.
pub(super) type OnSlice<'a> = &'a mut dyn FnMut(usize) -> bool;

/// Reads one range from the origin, and blocks until it is read.
pub(super) type OriginReader =
    Arc<dyn Fn(&OriginRange, OnSlice<'_>) -> Result<Vec<u8>, String> + Send + Sync>;

/// Returns a reader that uses `client`.
pub(super) fn reader_from_client(client: OriginClient, stall_timeout: Duration) -> OriginReader {
    Arc::new(move |range, on_slice| {
        client
            .read_paced(
                &range.object,
                range.offset,
                range.length,
                stall_timeout,
                on_slice,
            )
            .map_err(|error| error.to_string())
    })
}

/// Order to read one chunk.
pub(super) struct OriginOrder {
    pub(super) chunk: Digest,
    pub(super) range: OriginRange,
    /// Set to true when the chunk is no longer needed.
    pub(super) cancelled: Arc<AtomicBool>,
}

/// Maximum number of concurrent reads from the origin.
pub(super) const ORIGIN_READS_MAX: usize = 2;

/// Starts the threads that run orders until the sender of orders is dropped. Each
/// thread gets an equal part of `rate`.
pub(super) fn spawn_readers(
    orders: &Receiver<OriginOrder>,
    results: &Sender<Message>,
    origin_reader: &OriginReader,
    rate: BytesPerSecond,
) -> std::io::Result<()> {
    let rate = BytesPerSecond(rate.0 / ORIGIN_READS_MAX as u64);
    for index in 0..ORIGIN_READS_MAX {
        let orders = orders.clone();
        let results = results.clone();
        let origin_reader = Arc::clone(origin_reader);
        thread::Builder::new()
            .name(format!("origin-{index}"))
            .spawn(move || run_orders(&orders, &results, &origin_reader, rate))?;
    }
    Ok(())
}

fn run_orders(
    orders: &Receiver<OriginOrder>,
    results: &Sender<Message>,
    origin_reader: &OriginReader,
    rate: BytesPerSecond,
) {
    let started = Instant::now();
    let now = || MonoMs(u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX));
    let mut bucket = TokenBucket::new(rate, now());
    for order in orders {
        if order.cancelled.load(Ordering::Relaxed) {
            let message = Message::OriginRead {
                chunk: order.chunk,
                result: Err("read cancelled before it started".to_owned()),
            };
            if results.send(message).is_err() {
                return;
            }
            continue;
        }
        let cancelled = Arc::clone(&order.cancelled);
        let mut on_slice = |bytes: usize| {
            bucket.take(bytes as u64, now());
            thread::sleep(Duration::from_millis(bucket.wait_ms(now())));
            !cancelled.load(Ordering::Relaxed)
        };
        let result = origin_reader(&order.range, &mut on_slice);
        let message = Message::OriginRead {
            chunk: order.chunk,
            result: result.map(Arc::from),
        };
        if results.send(message).is_err() {
            return;
        }
    }
}

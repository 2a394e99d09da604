//! Heartbeats on event streams that have no data to send.

use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;
use std::time::{Duration, Instant};

use super::{EventWriter, StreamEvent};

/// Time without an event after which a heartbeat is written.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

struct Stream {
    writer: Option<EventWriter>,
    written_at: Instant,
}

struct RegisteredStream {
    stream: Mutex<Stream>,
    disconnected: AtomicBool,
}

impl RegisteredStream {
    fn lock(&self) -> MutexGuard<'_, Stream> {
        self.stream.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes heartbeats to all registered streams from one thread.
#[derive(Default)]
pub(crate) struct Heartbeats {
    streams: Mutex<HashMap<u64, Arc<RegisteredStream>>>,
    next_id: AtomicU64,
}

impl Heartbeats {
    /// Starts the heartbeat thread, which ends when all handles are dropped.
    pub(crate) fn spawn() -> io::Result<Arc<Self>> {
        let heartbeats = Arc::<Self>::default();
        let weak = Arc::downgrade(&heartbeats);
        thread::Builder::new()
            .name("heartbeat".to_owned())
            .spawn(move || heartbeat_loop(&weak))?;
        Ok(heartbeats)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Arc<RegisteredStream>>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends heartbeats on a stream until the returned handle is dropped.
    pub(crate) fn register(self: &Arc<Self>, writer: EventWriter) -> HeartbeatStream {
        let registered = Arc::new(RegisteredStream {
            stream: Mutex::new(Stream {
                writer: Some(writer),
                written_at: Instant::now(),
            }),
            disconnected: AtomicBool::new(false),
        });
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        self.lock().insert(id, Arc::clone(&registered));
        HeartbeatStream {
            heartbeats: Arc::clone(self),
            id,
            registered,
        }
    }
}

fn heartbeat_loop(weak: &Weak<Heartbeats>) {
    loop {
        thread::sleep(HEARTBEAT_INTERVAL / 2);
        let Some(heartbeats) = weak.upgrade() else {
            return;
        };
        let all_registered: Vec<Arc<RegisteredStream>> =
            heartbeats.lock().values().cloned().collect();
        for registered in all_registered {
            // A locked stream is being written to and needs no heartbeat.
            let Ok(mut stream) = registered.stream.try_lock() else {
                continue;
            };
            if stream.written_at.elapsed() < HEARTBEAT_INTERVAL {
                continue;
            }
            stream.written_at = Instant::now();
            let Some(writer) = &mut stream.writer else {
                continue;
            };
            if writer.write(&StreamEvent::Heartbeat).is_err() {
                registered.disconnected.store(true, Ordering::Relaxed);
            }
        }
    }
}

/// An event stream with automatic heartbeats.
pub(crate) struct HeartbeatStream {
    heartbeats: Arc<Heartbeats>,
    id: u64,
    registered: Arc<RegisteredStream>,
}

impl HeartbeatStream {
    /// Returns true once a write failed because the receiver disconnected.
    pub(crate) fn is_disconnected(&self) -> bool {
        self.registered.disconnected.load(Ordering::Relaxed)
    }

    /// Writes one event; a failed write is reported by [`Self::is_disconnected`].
    pub(crate) fn write(&self, event: &StreamEvent) {
        let mut stream = self.registered.lock();
        stream.written_at = Instant::now();
        let Some(writer) = &mut stream.writer else {
            return;
        };
        if let Err(error) = writer.write(event) {
            log::debug!("cannot write to the event stream; the receiver disconnected: {error}");
            self.registered.disconnected.store(true, Ordering::Relaxed);
        }
    }

    /// Writes the last event and closes the stream.
    pub(crate) fn finish(&self, event: &StreamEvent) {
        let Some(writer) = self.registered.lock().writer.take() else {
            return;
        };
        if let Err(error) = writer.finish(event) {
            log::debug!("cannot write the last event; the receiver disconnected: {error}");
        }
    }
}

impl Drop for HeartbeatStream {
    fn drop(&mut self) {
        self.heartbeats.lock().remove(&self.id);
    }
}

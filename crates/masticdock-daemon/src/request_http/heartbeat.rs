//! Signs of life on event streams whose sender waits.

use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;
use std::time::{Duration, Instant};

use super::{EventWriter, StreamEvent};

/// Time without an event after which a sign of life is written.
const INTERVAL: Duration = Duration::from_millis(250);

struct Stream {
    writer: Option<EventWriter>,
    written_at: Instant,
}

struct Entry {
    stream: Mutex<Stream>,
    gone: AtomicBool,
}

impl Entry {
    fn lock(&self) -> MutexGuard<'_, Stream> {
        self.stream.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes signs of life on all registered streams, on one thread.
#[derive(Default)]
pub(crate) struct Heartbeats {
    streams: Mutex<HashMap<u64, Arc<Entry>>>,
    next: AtomicU64,
}

impl Heartbeats {
    /// Starts the thread.
    pub(crate) fn spawn() -> io::Result<Arc<Self>> {
        let heartbeats = Arc::<Self>::default();
        let weak = Arc::downgrade(&heartbeats);
        thread::Builder::new()
            .name("heartbeat".to_owned())
            .spawn(move || beat(&weak))?;
        Ok(heartbeats)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Arc<Entry>>> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps a stream alive until the returned one ends.
    pub(crate) fn register(self: &Arc<Self>, writer: EventWriter) -> HeartbeatStream {
        let entry = Arc::new(Entry {
            stream: Mutex::new(Stream {
                writer: Some(writer),
                written_at: Instant::now(),
            }),
            gone: AtomicBool::new(false),
        });
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        self.lock().insert(number, Arc::clone(&entry));
        HeartbeatStream {
            heartbeats: Arc::clone(self),
            number,
            entry,
        }
    }
}

fn beat(weak: &Weak<Heartbeats>) {
    loop {
        thread::sleep(INTERVAL / 2);
        let Some(heartbeats) = weak.upgrade() else {
            return;
        };
        let entries: Vec<Arc<Entry>> = heartbeats.lock().values().cloned().collect();
        for entry in entries {
            // A locked stream is being written to.
            let Ok(mut stream) = entry.stream.try_lock() else {
                continue;
            };
            if stream.written_at.elapsed() < INTERVAL {
                continue;
            }
            stream.written_at = Instant::now();
            let Some(writer) = &mut stream.writer else {
                continue;
            };
            if writer.write(&StreamEvent::Heartbeat).is_err() {
                entry.gone.store(true, Ordering::Relaxed);
            }
        }
    }
}

/// An event stream that shows signs of life.
pub(crate) struct HeartbeatStream {
    heartbeats: Arc<Heartbeats>,
    number: u64,
    entry: Arc<Entry>,
}

impl HeartbeatStream {
    /// Returns true once a write showed that the receiver went away.
    pub(crate) fn is_disconnected(&self) -> bool {
        self.entry.gone.load(Ordering::Relaxed)
    }

    /// Writes one event; a failure shows in [`Self::is_disconnected`].
    pub(crate) fn write(&self, event: &StreamEvent) {
        let mut stream = self.entry.lock();
        stream.written_at = Instant::now();
        let Some(writer) = &mut stream.writer else {
            return;
        };
        if let Err(error) = writer.write(event) {
            log::debug!("the receiver of a stream went away: {error}");
            self.entry.gone.store(true, Ordering::Relaxed);
        }
    }

    /// Writes the last event.
    pub(crate) fn finish(&self, event: &StreamEvent) {
        let Some(writer) = self.entry.lock().writer.take() else {
            return;
        };
        if let Err(error) = writer.finish(event) {
            log::debug!("the receiver of a stream went away before its end: {error}");
        }
    }
}

impl Drop for HeartbeatStream {
    fn drop(&mut self) {
        self.heartbeats.lock().remove(&self.number);
    }
}

//! Log lines as JSON objects on standard output.
//!
//! Lines are buffered in memory and written by one thread, so that a stalled reader of
//! standard output never blocks a request. When the buffer is full, lines are dropped
//! and counted; part of it is reserved for warnings and errors.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::Duration;

use log::kv::{Error, Key, Value, VisitSource};
use log::{Level, Log, Metadata, Record};

use crate::clock;

/// Maximum size of the buffer, in bytes: one second of lines at the highest rate.
const BUFFER_BYTES_MAX: usize = 512 * 1_024;
/// Buffer size above which info lines are dropped, in bytes, so that warnings and errors
/// still fit.
const INFO_BYTES_MAX: usize = 384 * 1_024;
/// Interval between writes; lines are batched to save wake-ups.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Logger that writes JSON lines to standard output.
#[derive(Debug)]
pub(crate) struct JsonLog {
    node: String,
    buffer: Mutex<Buffer>,
}

static LOG: OnceLock<JsonLog> = OnceLock::new();

/// Installs the logger of this process and starts its writer thread.
pub(crate) fn install(node: &str) -> &'static JsonLog {
    let log = LOG.get_or_init(|| JsonLog {
        node: node.to_owned(),
        buffer: Mutex::new(Buffer::default()),
    });
    // A second call keeps the first logger, which also writes to standard output.
    if log::set_logger(log).is_ok() {
        log::set_max_level(log::LevelFilter::Info);
        let writer = std::thread::Builder::new().name("log".to_owned());
        let started = writer.stack_size(64 * 1_024).spawn(move || {
            loop {
                std::thread::sleep(WRITE_INTERVAL);
                log.flush();
            }
        });
        if let Err(error) = started {
            eprintln!("cannot start the log writer thread: {error}");
        }
    }
    log
}

impl JsonLog {
    /// Writes the buffered lines.
    pub(crate) fn flush(&self) {
        let (mut bytes, dropped) = {
            let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
            (
                std::mem::take(&mut buffer.bytes),
                std::mem::take(&mut buffer.dropped),
            )
        };
        if dropped > 0 {
            let line = format!(
                "{{\"unix_ms\":{},\"node\":{},\"level\":\"warn\",\"event\":\"log.dropped\",\"lines\":{dropped}}}\n",
                clock::unix_ms(),
                serde_json::Value::from(self.node.as_str())
            );
            bytes.extend_from_slice(line.as_bytes());
        }
        if bytes.is_empty() {
            return;
        }
        // If standard output is closed, the error cannot be reported anywhere.
        let _ = std::io::stdout().lock().write_all(&bytes);
    }
}

struct Fields<'a>(&'a mut BTreeMap<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = if let Some(number) = value.to_u64() {
            number.into()
        } else if let Some(number) = value.to_i64() {
            number.into()
        } else if let Some(number) = value.to_f64() {
            // One decimal is precise enough for milliseconds.
            ((number * 10.0).round() / 10.0).into()
        } else if let Some(boolean) = value.to_bool() {
            boolean.into()
        } else {
            value.to_string().into()
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}

impl Log for JsonLog {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= Level::Info
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let limit = if record.level() <= Level::Warn {
            BUFFER_BYTES_MAX
        } else {
            INFO_BYTES_MAX
        };
        let mut buffer = self.buffer.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() >= limit {
            buffer.dropped += 1;
            return;
        }
        let mut fields = BTreeMap::new();
        // The visitor returns no errors.
        let _ = record.key_values().visit(&mut Fields(&mut fields));
        fields.insert("unix_ms".to_owned(), clock::unix_ms().into());
        fields.insert("mono_ms".to_owned(), clock::now().0.into());
        fields.insert("node".to_owned(), self.node.as_str().into());
        fields.insert(
            "level".to_owned(),
            record.level().as_str().to_ascii_lowercase().into(),
        );
        fields.insert("text".to_owned(), record.args().to_string().into());
        // A map of plain JSON values always serialises.
        let _ = serde_json::to_writer(&mut buffer.bytes, &fields);
        buffer.bytes.push(b'\n');
    }

    fn flush(&self) {
        Self::flush(self);
    }
}

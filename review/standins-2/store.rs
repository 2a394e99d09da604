//! Stand-in for the platform's store: rows, and a feed of their changes.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, json_response, query};

/// Store that runs in threads of this process.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Rows>, Condvar)>);

#[derive(Default)]
struct Rows {
    /// Encoded value and version by table and key.
    rows: BTreeMap<(String, String), (String, u64)>,
    /// Version, table and key of each change.
    changes: Vec<(u64, String, String)>,
    version: u64,
}

impl Store {
    /// Starts a store that listens on `address`.
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self::default();
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row, as an operator or an upstream does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.change(table, key, |rows, version| {
            let row = (encode_base64(value.as_bytes()), version);
            rows.insert((table.to_owned(), key.to_owned()), row);
        });
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.change(table, key, |rows, _| {
            rows.remove(&(table.to_owned(), key.to_owned()));
        });
    }

    fn change(
        &self,
        table: &str,
        key: &str,
        apply: impl FnOnce(&mut BTreeMap<(String, String), (String, u64)>, u64),
    ) {
        let (rows, changed) = &*self.0;
        let mut rows = rows.lock().unwrap_or_else(PoisonError::into_inner);
        rows.version += 1;
        let version = rows.version;
        apply(&mut rows.rows, version);
        rows.changes
            .push((version, table.to_owned(), key.to_owned()));
        changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(reader) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reader);
        while let Some(head) = Head::read(&mut reader) {
            let path = head.path();
            let body = if path.starts_with("/v1/rows-get?") {
                self.read_rows(path)
            } else if path.starts_with("/v1/rows-feed?") {
                self.read_changes(path)
            } else {
                None
            };
            let response = match body {
                Some(body) => json_response(200, "Store-Era: 1\r\n", &body),
                None => json_response(404, "Store-Era: 1\r\n", "{}"),
            };
            if stream.write_all(&response).is_err() {
                return;
            }
        }
    }

    fn read_rows(&self, path: &str) -> Option<String> {
        let table = query(path, "table-name")?;
        let from = query(path, "from").unwrap_or_default().replace("%00", "\0");
        let target = query(path, "target");
        let rows = self.0.0.lock().unwrap_or_else(PoisonError::into_inner);
        let in_range = rows.rows.keys().filter(|(row_table, key)| {
            row_table == table && *key >= from && target.is_none_or(|target| key.as_str() < target)
        });
        let listed: Vec<String> = in_range.map(|(_, key)| rows.row(table, key)).collect();
        Some(format!(
            r#"{{"rows":[{}],"has-more":false,"row-version":{},"now-ms":1}}"#,
            listed.join(","),
            rows.version
        ))
    }

    fn read_changes(&self, path: &str) -> Option<String> {
        let table = query(path, "table-name")?;
        let after: u64 = query(path, "after")?.parse().ok()?;
        let wait_ms: u64 = query(path, "wait-ms")?.parse().ok()?;
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let (rows, changed) = &*self.0;
        let mut rows = rows.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let mut keys: Vec<&String> = Vec::new();
            for (version, row_table, key) in &rows.changes {
                if *version > after && row_table == table && !keys.contains(&key) {
                    keys.push(key);
                }
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if !keys.is_empty() || left.is_zero() {
                let listed: Vec<String> = keys.iter().map(|key| rows.row(table, key)).collect();
                return Some(format!(
                    r#"{{"rows":[{}],"row-version":{},"now-ms":1}}"#,
                    listed.join(","),
                    rows.version
                ));
            }
            let waited = changed.wait_timeout(rows, left);
            rows = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl Rows {
    /// Returns a row in the form of the store's replies, marked as deleted if absent.
    fn row(&self, table: &str, key: &str) -> String {
        let found = self.rows.get(&(table.to_owned(), key.to_owned()));
        let Some((value, version)) = found else {
            return format!(r#"{{"table-name":"{table}","part":"","key":"{key}","deleted":true}}"#);
        };
        format!(
            r#"{{"table-name":"{table}","part":"","key":"{key}","value":"{value}","row-version":{version}}}"#
        )
    }
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut encoded = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0;
        for index in 0..3 {
            bits = bits << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index > group.len() {
                encoded.push('=');
                continue;
            }
            let digit = bits >> (18 - 6 * index) & 63;
            encoded.push(char::from(DIGITS[digit as usize]));
        }
    }
    encoded
}

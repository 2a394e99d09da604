//! Stand-in for a consumer: sends one request on a channel of its own and reads the answer.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{HOST, Head, read_chunk};

/// Longest time that a caller waits for further bytes.
const PATIENCE: Duration = Duration::from_secs(10);

/// A request of a caller.
pub struct CallerRequest<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    /// Further header lines, each with its end of line.
    pub headers: &'a str,
    pub body: &'a [u8],
}

/// What a caller got.
pub struct Answer {
    pub status: u16,
    pub is_sealed: bool,
    pub body: Vec<u8>,
    /// True if the framing says that the body is whole.
    pub is_complete: bool,
    /// Longest time without a byte, from the request on.
    pub longest_gap: Duration,
}

/// Channel of a caller, which can carry several requests.
pub struct Channel(BufReader<TcpStream>);

/// Sends a request on a channel of its own and reads its answer; `None` if the channel ended
/// without a head.
pub fn call(entry: SocketAddr, request: &CallerRequest<'_>) -> Option<Answer> {
    Channel::open(entry)?.call(request)
}

impl Channel {
    pub fn open(entry: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(entry).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        Some(Self(BufReader::new(stream)))
    }

    /// Sends a request and reads its answer; `None` if the channel ended without a head.
    pub fn call(&mut self, request: &CallerRequest<'_>) -> Option<Answer> {
        let reader = &mut self.0;
        let CallerRequest {
            method,
            path,
            id,
            deadline_ms,
            headers,
            body,
        } = request;
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n{headers}Content-Length: {length}\r\n\r\n"
        );
        reader.get_mut().write_all(head.as_bytes()).ok()?;
        reader.get_mut().write_all(body).ok()?;
        let mut last_at = Instant::now();
        let mut longest_gap = Duration::ZERO;
        let head = Head::read(reader)?;
        let mut arrived = |now: Instant| {
            longest_gap = longest_gap.max(now - last_at);
            last_at = now;
        };
        arrived(Instant::now());
        let mut body = Vec::new();
        let mut is_complete = false;
        if head.header("transfer-encoding").is_some() {
            while let Ok(Some(chunk)) = read_chunk(reader) {
                arrived(Instant::now());
                if chunk.is_empty() {
                    is_complete = true;
                    break;
                }
                body.extend(chunk);
            }
        } else if let Some(length) = head.header("content-length") {
            body.resize(length.parse().ok()?, 0);
            is_complete = reader.read_exact(&mut body).is_ok();
        } else {
            is_complete = reader.read_to_end(&mut body).is_ok();
        }
        Some(Answer {
            status: head.status(),
            is_sealed: head.header("x-response-seal").is_some(),
            body,
            is_complete,
            longest_gap,
        })
    }
}

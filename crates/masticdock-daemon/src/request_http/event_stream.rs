//! Encoding and decoding of the server-sent events between engine, agent and entry.

use std::io::{self, BufRead, BufReader, Read};

use compact_str::CompactString;
use masticdock_core::ids::VersionId;
use masticdock_core::problem::Problem;
use serde::{Deserialize, Serialize};

/// Maximum size of one event of an agent, in bytes: that of a whole response, escaped as JSON.
pub(crate) const AGENT_EVENT_BYTES_MAX: u64 = 96 << 20;
/// Maximum size of one event of an engine, in bytes: it holds one token.
pub(crate) const ENGINE_EVENT_BYTES_MAX: u64 = 256 << 10;

/// One token of a completion.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TokenEvent {
    /// Position in the completion, from 0.
    pub(crate) index: u64,
    /// Text of the token.
    pub(crate) text: CompactString,
    /// Model version that generated the token.
    pub(crate) version: VersionId,
}

/// Complete response of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlainResponse {
    /// HTTP status.
    pub(crate) status: u16,
    /// Media type.
    pub(crate) content_type: String,
    /// Response body as text.
    pub(crate) body: String,
}

impl PlainResponse {
    /// Returns whether the status is one of a final response: HTTP defines 200 to 599, and
    /// informational responses end no request.
    pub(crate) const fn is_final(&self) -> bool {
        matches!(self.status, 200..=599)
    }
}

/// One event of an event stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StreamEvent {
    /// A token.
    Token(TokenEvent),
    /// The complete response of a plain service.
    Response(PlainResponse),
    /// The request failed.
    Problem(Box<Problem>),
    /// The sender is alive but has no data to send.
    Heartbeat,
    /// The response is complete; always the last event.
    Done,
}

impl StreamEvent {
    /// Encodes the event as it is written to the stream.
    pub(crate) fn encode(&self) -> String {
        let json = |value: serde_json::Result<String>| value.unwrap_or_default();
        match self {
            Self::Token(token) => format!("data: {}\n\n", json(serde_json::to_string(token))),
            Self::Response(response) => {
                let data = json(serde_json::to_string(response));
                format!("event: answer\ndata: {data}\n\n")
            }
            Self::Problem(problem) => format!("event: error\ndata: {}\n\n", problem.to_json()),
            Self::Heartbeat => ":\n\n".to_owned(),
            Self::Done => "data: [DONE]\n\n".to_owned(),
        }
    }
}

fn malformed(reason: impl std::fmt::Display) -> io::Error {
    io::Error::new(
        io::ErrorKind::InvalidData,
        format!("malformed event stream: {reason}"),
    )
}

fn decode(event_name: &str, data: &str) -> io::Result<StreamEvent> {
    match event_name {
        "" if data == "[DONE]" => Ok(StreamEvent::Done),
        "" => serde_json::from_str(data)
            .map(StreamEvent::Token)
            .map_err(malformed),
        "answer" => {
            let response: PlainResponse = serde_json::from_str(data).map_err(malformed)?;
            if !response.is_final() {
                return Err(malformed(format_args!(
                    "response with status {}",
                    response.status
                )));
            }
            Ok(StreamEvent::Response(response))
        }
        "error" => serde_json::from_str(data)
            .map(|problem| StreamEvent::Problem(Box::new(problem)))
            .map_err(malformed),
        other => Err(malformed(format_args!("unknown event `{other}`"))),
    }
}

/// Decodes events from a response body.
pub(crate) struct EventReader<R: Read> {
    lines: BufReader<R>,
    event_bytes_max: u64,
}

impl<R: Read> EventReader<R> {
    /// Creates a reader of `body` whose events have at most `event_bytes_max` bytes each.
    pub(crate) fn new(body: R, event_bytes_max: u64) -> Self {
        Self {
            lines: BufReader::new(body),
            event_bytes_max,
        }
    }

    /// Reads the next event.
    ///
    /// # Errors
    ///
    /// Returns an error when the stream ends before [`StreamEvent::Done`] or is malformed, or
    /// when an event is too long.
    pub(crate) fn next_event(&mut self) -> io::Result<StreamEvent> {
        let mut event_name = String::new();
        let mut data = String::new();
        let mut comment = false;
        let mut bytes_left = self.event_bytes_max;
        loop {
            let mut line = String::new();
            let read = self.lines.by_ref().take(bytes_left).read_line(&mut line)?;
            bytes_left = bytes_left.saturating_sub(read as u64);
            if !line.ends_with('\n') {
                return Err(if bytes_left == 0 {
                    malformed("an event is too long")
                } else {
                    io::ErrorKind::UnexpectedEof.into()
                });
            }
            let line = line.trim_end_matches(['\n', '\r']);
            if line.is_empty() {
                if !data.is_empty() {
                    return decode(&event_name, &data);
                }
                if comment {
                    return Ok(StreamEvent::Heartbeat);
                }
                continue;
            }
            if line.starts_with(':') {
                comment = true;
                continue;
            }
            let (field, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match field {
                "event" => value.clone_into(&mut event_name),
                "data" => data.push_str(value),
                _ => {}
            }
        }
    }
}

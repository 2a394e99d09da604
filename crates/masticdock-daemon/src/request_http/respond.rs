//! Writing of complete responses and event streams.

use std::io::{self, Write};

use masticdock_core::problem::{PROBLEM_MEDIA_TYPE, Problem};
use tiny_http::{Header, Request, Response, StatusCode};

use super::StreamEvent;

fn header(name: &str, value: &str) -> Option<Header> {
    Header::from_bytes(name, value).ok()
}

/// Sends a response with a complete body.
pub(crate) fn respond(
    request: Request,
    status: u16,
    content_type: &str,
    headers: &[(&str, String)],
    body: Vec<u8>,
) {
    let mut response = Response::from_data(body).with_status_code(status);
    if let Some(header) = header("Content-Type", content_type) {
        response.add_header(header);
    }
    for (name, value) in headers {
        if let Some(header) = header(name, value) {
            response.add_header(header);
        }
    }
    if let Err(error) = request.respond(response) {
        log::debug!("cannot deliver the response: {error}");
    }
}

/// Sends a problem as the response.
pub(crate) fn respond_problem(request: Request, problem: &Problem, headers: &[(&str, String)]) {
    let mut all_headers = headers.to_vec();
    if let Some(seconds) = problem.retry_after_s {
        all_headers.push(("Retry-After", seconds.to_string()));
    }
    let body = problem.to_json().into_bytes();
    respond(
        request,
        problem.kind.status(),
        PROBLEM_MEDIA_TYPE,
        &all_headers,
        body,
    );
}

/// Sends a problem as the response and tells the sender to close the connection.
///
/// Writes to the connection directly because `tiny_http` leaves out a `Connection` header.
pub(crate) fn respond_problem_and_close(request: Request, problem: &Problem) {
    let status = StatusCode(problem.kind.status());
    let body = problem.to_json();
    let response = format!(
        "HTTP/1.1 {} {}\r\nContent-Type: {PROBLEM_MEDIA_TYPE}\r\nContent-Length: {}\r\n\
         Connection: close\r\n\r\n{body}",
        status.0,
        status.default_reason_phrase(),
        body.len(),
    );
    let mut writer = request.into_writer();
    let written = writer.write_all(response.as_bytes());
    if let Err(error) = written.and_then(|()| writer.flush()) {
        log::debug!("cannot deliver the response: {error}");
    }
}

/// Writes an event stream and flushes it after each event.
pub(crate) struct EventWriter {
    writer: Box<dyn Write + Send>,
}

impl EventWriter {
    /// Writes the response head.
    ///
    /// Writes to the connection directly because `tiny_http` buffers a streamed `Response` in its
    /// chunked encoder.
    ///
    /// # Errors
    ///
    /// Returns an error when the receiver disconnected.
    pub(crate) fn begin(request: Request, headers: &[(&str, String)]) -> io::Result<Self> {
        let mut head = String::from(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
             Cache-Control: no-store\r\nTransfer-Encoding: chunked\r\n",
        );
        for (name, value) in headers {
            // Skips values with line breaks to prevent header injection.
            if value.contains(['\r', '\n']) {
                continue;
            }
            head.push_str(name);
            head.push_str(": ");
            head.push_str(value);
            head.push_str("\r\n");
        }
        head.push_str("\r\n");
        let mut writer = request.into_writer();
        writer.write_all(head.as_bytes())?;
        Ok(Self { writer })
    }

    /// Writes one event and flushes it.
    ///
    /// # Errors
    ///
    /// Returns an error when the receiver disconnected.
    pub(crate) fn write(&mut self, event: &StreamEvent) -> io::Result<()> {
        let text = event.encode();
        write!(self.writer, "{:x}\r\n{text}\r\n", text.len())?;
        self.writer.flush()
    }

    /// Writes the last event and ends the body.
    ///
    /// # Errors
    ///
    /// Returns an error when the receiver disconnected.
    pub(crate) fn finish(mut self, event: &StreamEvent) -> io::Result<()> {
        let text = event.encode();
        write!(self.writer, "{:x}\r\n{text}\r\n0\r\n\r\n", text.len())?;
        self.writer.flush()
    }
}

//! HTTP server of the stand-ins, built on `tiny_http`.
//!
//! Responses are written through `Request::into_writer`, because a streamed
//! `tiny_http::Response` is buffered in its chunked encoder.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tiny_http::{Request, Server};

use crate::faults::{Draw, Fault, FaultControl};

/// Maximum number of bytes read of a request body.
const BODY_BYTES_MAX: u64 = 1 << 30;
/// Maximum number of concurrent calls to one stand-in.
const CALLS_MAX: usize = 2_048;
/// Stack size of a thread that handles one call.
const HANDLER_STACK_BYTES: usize = 256 << 10;
/// Interval at which the server checks whether to close the listener.
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(20);

pub(crate) type Handler = Arc<dyn Fn(Call) + Send + Sync>;

/// One request to a stand-in, with the means to respond to it.
pub(crate) struct Call {
    request: Request,
    pub(crate) method: String,
    pub(crate) path: String,
    faults: Arc<FaultControl>,
    draw: Draw,
}

/// Binds `addr` with `TCP_NODELAY`, which accepted connections inherit on Linux.
///
/// Without it, Nagle's algorithm delays an event of a stream until the previous one is
/// acknowledged.
pub(crate) fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(addr)?;
    // The option applies to any socket, but the standard library has a setter only for
    // `TcpStream`.
    let socket = TcpStream::from(OwnedFd::from(listener));
    socket.set_nodelay(true)?;
    Ok(TcpListener::from(OwnedFd::from(socket)))
}

/// Binds `addr` and handles calls on threads until the process exits.
pub(crate) fn spawn(
    addr: SocketAddr,
    faults: &Arc<FaultControl>,
    handler: Handler,
) -> io::Result<SocketAddr> {
    let listener = bind(addr)?;
    let bound = listener.local_addr()?;
    let faults = Arc::clone(faults);
    thread::spawn(move || serve_while(listener, &faults, &handler, &|| true));
    Ok(bound)
}

/// Handles calls while `keep_open` returns true, then closes the listener.
pub(crate) fn serve_while(
    listener: TcpListener,
    faults: &Arc<FaultControl>,
    handler: &Handler,
    keep_open: &dyn Fn() -> bool,
) {
    let server = match Server::from_listener(listener, None) {
        Ok(server) => server,
        Err(error) => {
            log::error!("cannot start the HTTP server: {error}");
            return;
        }
    };
    let running = Arc::new(AtomicUsize::new(0));
    while keep_open() {
        match server.recv_timeout(ACCEPT_POLL_INTERVAL) {
            Ok(Some(request)) => spawn_handler(request, faults, handler, &running),
            Ok(None) => {}
            Err(error) => log::warn!("cannot accept a request: {error}"),
        }
    }
    while let Ok(Some(request)) = server.try_recv() {
        drop(request.into_writer());
    }
}

fn spawn_handler(
    request: Request,
    faults: &Arc<FaultControl>,
    handler: &Handler,
    running: &Arc<AtomicUsize>,
) {
    if running.fetch_add(1, Ordering::Relaxed) >= CALLS_MAX {
        running.fetch_sub(1, Ordering::Relaxed);
        let _unused = request.respond(tiny_http::Response::empty(503));
        return;
    }
    let faults = Arc::clone(faults);
    let handler = Arc::clone(handler);
    let count = Arc::clone(running);
    let spawned = thread::Builder::new()
        .stack_size(HANDLER_STACK_BYTES)
        .spawn(move || {
            dispatch(request, faults, &handler);
            count.fetch_sub(1, Ordering::Relaxed);
        });
    if let Err(error) = spawned {
        running.fetch_sub(1, Ordering::Relaxed);
        log::error!("cannot start a thread: {error}");
    }
}

fn dispatch(request: Request, faults: Arc<FaultControl>, handler: &Handler) {
    let method = request.method().to_string();
    let path = request
        .url()
        .split('?')
        .next()
        .unwrap_or_default()
        .to_owned();
    let mut call = Call {
        request,
        method,
        path,
        faults,
        draw: Draw::default(),
    };
    match (call.method.as_str(), call.path.as_str()) {
        ("POST", "/faults") => return set_faults(call),
        ("GET", "/faults") => {
            let faults = call.faults.get();
            return call.answer_json(200, &faults);
        }
        ("GET", "/ledger" | "/stats") => return handler(call),
        _ => {}
    }
    let target = call.header("X-Amz-Target").unwrap_or_default();
    let draw = call
        .faults
        .draw(&format!("{} {} {target}", call.method, call.path));
    thread::sleep(Duration::from_millis(draw.delay_ms));
    if draw.fault == Fault::Unavailable {
        return call.answer(503, "text/plain", b"unavailable by fault control");
    }
    if draw.fault == Fault::LoseRequest {
        return call.break_connection();
    }
    call.draw = draw;
    handler(call);
}

fn set_faults(mut call: Call) {
    match call.json() {
        Ok(faults) => {
            call.faults.set(faults);
            call.answer(200, "text/plain", b"");
        }
        Err(error) => call.answer(400, "text/plain", error.as_bytes()),
    }
}

impl Call {
    /// Returns the value of a request header.
    pub(crate) fn header(&self, name: &str) -> Option<String> {
        let headers = self.request.headers();
        let header = headers
            .iter()
            .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name))?;
        Some(header.value.as_str().to_owned())
    }

    pub(crate) fn body(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        self.request
            .as_reader()
            .take(BODY_BYTES_MAX)
            .read_to_end(&mut body)?;
        Ok(body)
    }

    pub(crate) fn json<T: DeserializeOwned>(&mut self) -> Result<T, String> {
        let body = self.body().map_err(|error| error.to_string())?;
        serde_json::from_slice(&body).map_err(|error| error.to_string())
    }

    /// Returns whether a stall is injected into this call.
    pub(crate) const fn stalls(&self) -> bool {
        matches!(self.draw.fault, Fault::Stall)
    }

    /// Closes the connection without a response.
    pub(crate) fn break_connection(self) {
        drop(self.request.into_writer());
    }

    pub(crate) fn answer_json<T: Serialize>(self, status: u16, body: &T) {
        let body = serde_json::to_vec(body).unwrap_or_default();
        self.answer(status, "application/json", &body);
    }

    pub(crate) fn answer(self, status: u16, content_type: &str, body: &[u8]) {
        let headers = [("Content-Type", content_type.to_owned())];
        self.answer_with(status, &headers, body, &|_| {});
    }

    /// Sends a response with `headers`; calls `pace` with the length of each slice of the
    /// body before the slice is sent.
    pub(crate) fn answer_with(
        self,
        status: u16,
        headers: &[(&str, String)],
        body: &[u8],
        pace: &dyn Fn(usize),
    ) {
        /// Maximum number of bytes per write.
        const SLICE_BYTES: usize = 16 << 10;
        if self.draw.fault == Fault::LoseAnswer {
            return self.break_connection();
        }
        let (draw, faults) = (self.draw, self.faults);
        let mut writer = self.request.into_writer();
        let mut send = || -> io::Result<()> {
            write_head(&mut writer, status, headers)?;
            write!(writer, "Content-Length: {}\r\n\r\n", body.len())?;
            let mut body = body.to_vec();
            let middle = body.len() / 2;
            if draw.fault == Fault::Corrupt && !body.is_empty() {
                body[middle] ^= 1;
            }
            let end = if draw.fault == Fault::Stall {
                middle
            } else {
                body.len()
            };
            for slice in body[..end].chunks(SLICE_BYTES) {
                pace(slice.len());
                writer.write_all(slice)?;
            }
            writer.flush()
        };
        if let Err(error) = send() {
            log::debug!("caller disconnected: {error}");
            return;
        }
        if draw.fault == Fault::Stall {
            faults.wait_until_replaced(draw.generation);
        }
    }

    /// Starts a response with chunked transfer encoding.
    pub(crate) fn stream(self, content_type: &str) -> io::Result<Stream> {
        let mut writer = self.request.into_writer();
        let headers = [("Content-Type", content_type.to_owned())];
        write_head(&mut writer, 200, &headers)?;
        writer.write_all(b"Transfer-Encoding: chunked\r\n\r\n")?;
        writer.flush()?;
        Ok(Stream {
            writer,
            faults: self.faults,
            draw: self.draw,
        })
    }
}

fn write_head(writer: &mut dyn Write, status: u16, headers: &[(&str, String)]) -> io::Result<()> {
    let reason = tiny_http::StatusCode(status).default_reason_phrase();
    write!(
        writer,
        "HTTP/1.1 {status} {reason}\r\nConnection: close\r\n"
    )?;
    for (name, value) in headers {
        write!(writer, "{name}: {value}\r\n")?;
    }
    Ok(())
}

/// A response with chunked transfer encoding; dropping it unfinished breaks the
/// connection.
pub(crate) struct Stream {
    writer: Box<dyn Write + Send>,
    faults: Arc<FaultControl>,
    draw: Draw,
}

impl Stream {
    /// Sends `data` as one transfer chunk, without buffering.
    pub(crate) fn send(&mut self, data: &[u8]) -> io::Result<()> {
        let mut chunk = Vec::with_capacity(data.len() + 16);
        write!(chunk, "{:x}\r\n", data.len())?;
        chunk.extend_from_slice(data);
        chunk.extend_from_slice(b"\r\n");
        self.writer.write_all(&chunk)?;
        self.writer.flush()
    }

    /// Sends no more bytes until the faults are replaced.
    pub(crate) fn stall(&self) {
        self.faults.wait_until_replaced(self.draw.generation);
    }

    /// Returns whether the loss of the response is injected after the request ran.
    pub(crate) const fn is_lost(&self) -> bool {
        matches!(self.draw.fault, Fault::LoseAnswer)
    }

    /// Ends the response.
    pub(crate) fn finish(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }
}

//! HTTP listener of the stand-ins, on `tiny_http`.
//!
//! Answers are written through `Request::into_writer`, because a streamed
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

use crate::faults::{Draw, FaultControl, Hit};

/// Largest accepted request body.
const BODY_BYTES_MAX: u64 = 1 << 30;
/// Calls handled at once by one stand-in.
const CALLS_MAX: usize = 2_048;
/// Stack of a thread that handles one call.
const STACK_BYTES: usize = 256 << 10;
/// Time between two looks at whether the listener stays open.
const ACCEPT_POLL: Duration = Duration::from_millis(20);

pub(crate) type Handler = Arc<dyn Fn(Call) + Send + Sync>;

/// One call to a stand-in.
pub(crate) struct Call {
    request: Request,
    pub(crate) method: String,
    pub(crate) path: String,
    faults: Arc<FaultControl>,
    draw: Draw,
}

/// Binds `addr` with `TCP_NODELAY`, which accepted connections inherit on Linux.
///
/// Without it an event of a stream waits for the acknowledgement of the one before.
pub(crate) fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(addr)?;
    // The option is per socket; only `TcpStream` has a setter in the standard library.
    let socket = TcpStream::from(OwnedFd::from(listener));
    socket.set_nodelay(true)?;
    Ok(TcpListener::from(OwnedFd::from(socket)))
}

/// Binds `addr` and handles calls on threads until the process ends.
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

/// Handles calls while `open` returns true, then closes the listener.
pub(crate) fn serve_while(
    listener: TcpListener,
    faults: &Arc<FaultControl>,
    handler: &Handler,
    open: &dyn Fn() -> bool,
) {
    let server = match Server::from_listener(listener, None) {
        Ok(server) => server,
        Err(error) => {
            log::error!("cannot serve: {error}");
            return;
        }
    };
    let running = Arc::new(AtomicUsize::new(0));
    while open() {
        match server.recv_timeout(ACCEPT_POLL) {
            Ok(Some(request)) => start(request, faults, handler, &running),
            Ok(None) => {}
            Err(error) => log::warn!("cannot accept: {error}"),
        }
    }
    while let Ok(Some(request)) = server.try_recv() {
        drop(request.into_writer());
    }
}

fn start(
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
        .stack_size(STACK_BYTES)
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
    if draw.hit == Hit::Unavailable {
        return call.answer(503, "text/plain", b"unavailable by fault control");
    }
    if draw.hit == Hit::LoseRequest {
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
    /// Returns a header of the request.
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

    /// Returns whether this call is to stall.
    pub(crate) const fn stalls(&self) -> bool {
        matches!(self.draw.hit, Hit::Stall)
    }

    /// Closes the connection without an answer.
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

    /// Answers with headers; calls `pace` before each slice of the body is sent.
    pub(crate) fn answer_with(
        self,
        status: u16,
        headers: &[(&str, String)],
        body: &[u8],
        pace: &dyn Fn(usize),
    ) {
        /// Bytes sent at once.
        const SLICE_BYTES: usize = 16 << 10;
        if self.draw.hit == Hit::LoseAnswer {
            return self.break_connection();
        }
        let (draw, faults) = (self.draw, self.faults);
        let mut writer = self.request.into_writer();
        let mut send = || -> io::Result<()> {
            write_head(&mut writer, status, headers)?;
            write!(writer, "Content-Length: {}\r\n\r\n", body.len())?;
            let mut body = body.to_vec();
            let middle = body.len() / 2;
            if draw.hit == Hit::Corrupt && !body.is_empty() {
                body[middle] ^= 1;
            }
            let end = if draw.hit == Hit::Stall {
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
            log::debug!("the caller is gone: {error}");
            return;
        }
        if draw.hit == Hit::Stall {
            faults.wait_changed(draw.generation);
        }
    }

    /// Starts a chunked answer.
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

/// A chunked answer; dropping it unfinished breaks the connection.
pub(crate) struct Stream {
    writer: Box<dyn Write + Send>,
    faults: Arc<FaultControl>,
    draw: Draw,
}

impl Stream {
    /// Sends one piece at once.
    pub(crate) fn send(&mut self, piece: &[u8]) -> io::Result<()> {
        let mut chunk = Vec::with_capacity(piece.len() + 16);
        write!(chunk, "{:x}\r\n", piece.len())?;
        chunk.extend_from_slice(piece);
        chunk.extend_from_slice(b"\r\n");
        self.writer.write_all(&chunk)?;
        self.writer.flush()
    }

    /// Sends no more bytes until the faults are replaced.
    pub(crate) fn stall(&self) {
        self.faults.wait_changed(self.draw.generation);
    }

    /// Returns whether the answer is lost after the effect.
    pub(crate) const fn is_lost(&self) -> bool {
        matches!(self.draw.hit, Hit::LoseAnswer)
    }

    /// Ends the answer.
    pub(crate) fn finish(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }
}

//! Connections from callers: timeouts for slow and idle ones, and graceful shutdown.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use masticdock_core::serving::{
    ConnectionPhase, ConnectionTimeout, ConnectionTimer, RequestLimits,
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

use super::request::handle_request;
use super::state::Entry;
use crate::{clock, http_server};

/// File descriptors reserved for upstreams, the store and files.
const RESERVED_DESCRIPTORS: usize = 1_000;
/// Minimum buffer size of a connection; hyper accepts no smaller one.
const BUFFER_BYTES_MIN: usize = 8_192;

/// A connection from a caller.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    timer: Cell<ConnectionTimer>,
    /// Requests a graceful shutdown of the connection.
    close: Notify,
    /// Closes the connection at once.
    abort: Notify,
}

/// Marks a connection as in use until it is dropped.
#[derive(Debug)]
pub(crate) struct InUseGuard(Rc<CallerConnection>);

impl InUseGuard {
    pub(crate) fn begin(connection: &Rc<CallerConnection>) -> Self {
        connection.enter(ConnectionPhase::Active);
        Self(Rc::clone(connection))
    }
}

impl Drop for InUseGuard {
    fn drop(&mut self) {
        self.0.enter(ConnectionPhase::Idle);
    }
}

impl CallerConnection {
    fn phase(&self) -> ConnectionPhase {
        self.timer.get().phase()
    }

    fn enter(&self, phase: ConnectionPhase) {
        self.update_timer(|timer| timer.enter(phase, clock::now()));
    }

    fn update_timer(&self, change: impl FnOnce(&mut ConnectionTimer)) {
        let mut timer = self.timer.get();
        change(&mut timer);
        self.timer.set(timer);
    }
}

/// All connections from callers.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    open: RefCell<Vec<Weak<CallerConnection>>>,
}

impl Connections {
    fn register(&self, limits: &RequestLimits) -> Rc<CallerConnection> {
        let connection = Rc::new(CallerConnection {
            timer: Cell::new(ConnectionTimer::new(limits, clock::now())),
            close: Notify::new(),
            abort: Notify::new(),
        });
        self.open.borrow_mut().push(Rc::downgrade(&connection));
        connection
    }

    fn live(&self) -> Vec<Rc<CallerConnection>> {
        let mut open = self.open.borrow_mut();
        open.retain(|connection| connection.strong_count() > 0);
        open.iter().filter_map(Weak::upgrade).collect()
    }

    /// Returns the number of registered connections; closed ones count until the next
    /// cleanup.
    pub(crate) fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Returns the number of connections on which a request is being read or served.
    pub(crate) fn in_use(&self) -> usize {
        let is_idle =
            |connection: &Rc<CallerConnection>| connection.phase() == ConnectionPhase::Idle;
        self.live()
            .iter()
            .filter(|connection| !is_idle(connection))
            .count()
    }

    /// Closes connections that exceed the idle timeout or the request head timeout.
    pub(crate) fn close_expired(&self, limits: &RequestLimits) {
        let now = clock::now();
        for connection in self.live() {
            match connection.timer.get().exceeded(limits, now) {
                Some(ConnectionTimeout::Idle) => connection.close.notify_one(),
                Some(ConnectionTimeout::Head) => connection.abort.notify_one(),
                None => {}
            }
        }
    }

    /// Closes idle connections now and the others after their response.
    pub(crate) fn close_all(&self) {
        for connection in self.live() {
            connection.close.notify_one();
        }
    }
}

/// Accepts connections until the task is aborted.
pub(crate) async fn accept(entry: Rc<Entry>, listener: TcpListener) {
    loop {
        let stream = http_server::accept(&listener).await;
        let open_max = entry
            .settings
            .file_descriptors_max
            .saturating_sub(RESERVED_DESCRIPTORS);
        if entry.connections.count() >= open_max && entry.connections.live().len() >= open_max {
            log::warn!(event = "connection.refused", open = open_max; "connection limit reached; a caller's connection is closed");
            continue;
        }
        spawn_local(serve(Rc::clone(&entry), stream));
    }
}

async fn serve(entry: Rc<Entry>, stream: TcpStream) {
    let limits = entry.limits();
    let connection = entry.connections.register(&limits);
    let io = TokioIo::new(PhaseTrackingStream {
        stream,
        connection: Rc::clone(&connection),
    });
    let request_connection = Rc::clone(&connection);
    let service = service_fn(move |request| {
        let connection = Rc::clone(&request_connection);
        let in_use = InUseGuard::begin(&connection);
        let entry = Rc::clone(&entry);
        async move {
            let response = handle_request(Rc::clone(&entry), request, in_use).await;
            connection.update_timer(|timer| timer.respond(&entry.limits()));
            Ok::<_, Infallible>(response)
        }
    });
    let mut serving = std::pin::pin!(
        http1::Builder::new()
            .max_buf_size(limits.head_bytes_max.max(BUFFER_BYTES_MIN))
            .header_read_timeout(None)
            .serve_connection(io, service)
    );
    loop {
        tokio::select! {
            result = &mut serving => {
                if let Err(error) = result {
                    log::debug!("caller connection failed: {error}");
                }
                return;
            }
            () = connection.close.notified() => serving.as_mut().graceful_shutdown(),
            () = connection.abort.notified() => {
                log::info!(event = "connection.slow_head"; "request head not received in time; the connection is closed");
                return;
            }
        }
    }
}

/// Stream that sets the connection's phase when a request head begins to arrive.
#[derive(Debug)]
struct PhaseTrackingStream {
    stream: TcpStream,
    connection: Rc<CallerConnection>,
}

impl AsyncRead for PhaseTrackingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before && self.connection.phase() == ConnectionPhase::Idle {
            self.connection.enter(ConnectionPhase::Head);
        }
        result
    }
}

impl AsyncWrite for PhaseTrackingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }
}

//! Connections of callers: limits on slow and idle ones, and graceful closing.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use masticdock_core::serving::RequestLimits;
use masticdock_core::units::MonoMs;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

use super::request::handle;
use super::state::Entry;
use crate::{clock, http_server};

/// Descriptors kept for upstreams, the store and files.
const DESCRIPTORS_RESERVED: usize = 1_000;
/// Smallest buffer of a connection; the library accepts no smaller one.
const BUFFER_BYTES_MIN: usize = 8_192;

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Waits for a request.
    Idle,
    /// Part of a request head has arrived.
    Head,
    /// A request is answered.
    InUse,
}

/// One connection of a caller.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    phase: Cell<Phase>,
    since: Cell<MonoMs>,
    close: Notify,
    abort: Notify,
}

/// Marks a connection as in use until it is dropped.
#[derive(Debug)]
pub(crate) struct InUse(Rc<CallerConnection>);

impl InUse {
    pub(crate) fn begin(connection: &Rc<CallerConnection>) -> Self {
        connection.set(Phase::InUse);
        Self(Rc::clone(connection))
    }
}

impl Drop for InUse {
    fn drop(&mut self) {
        self.0.set(Phase::Idle);
    }
}

impl CallerConnection {
    fn set(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(clock::now());
    }
}

/// All connections of callers.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    open: RefCell<Vec<Weak<CallerConnection>>>,
}

impl Connections {
    fn register(&self) -> Rc<CallerConnection> {
        let connection = Rc::new(CallerConnection {
            phase: Cell::new(Phase::Idle),
            since: Cell::new(clock::now()),
            close: Notify::new(),
            abort: Notify::new(),
        });
        self.open.borrow_mut().push(Rc::downgrade(&connection));
        connection
    }

    fn all(&self) -> Vec<Rc<CallerConnection>> {
        let mut open = self.open.borrow_mut();
        open.retain(|connection| connection.strong_count() > 0);
        open.iter().filter_map(Weak::upgrade).collect()
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Returns the number of connections on which a request is answered or read.
    pub(crate) fn in_use(&self) -> usize {
        let busy = |connection: &Rc<CallerConnection>| connection.phase.get() != Phase::Idle;
        self.all()
            .iter()
            .filter(|connection| busy(connection))
            .count()
    }

    /// Closes connections that are idle or send a head for too long.
    pub(crate) fn sweep(&self, limits: &RequestLimits) {
        let now = clock::now();
        for connection in self.all() {
            let age_ms = now.since_ms(connection.since.get());
            match connection.phase.get() {
                Phase::Idle if age_ms >= limits.idle_timeout_ms => connection.close.notify_one(),
                Phase::Head if age_ms >= limits.head_timeout_ms => connection.abort.notify_one(),
                _ => {}
            }
        }
    }

    /// Closes idle connections now and the others after their answer.
    pub(crate) fn close_all(&self) {
        for connection in self.all() {
            connection.close.notify_one();
        }
    }
}

/// Accepts connections for ever.
pub(crate) async fn accept(entry: Rc<Entry>, listener: TcpListener) {
    loop {
        let stream = http_server::accept(&listener).await;
        let open_max = entry
            .settings
            .file_descriptors_max
            .saturating_sub(DESCRIPTORS_RESERVED);
        if entry.connections.count() >= open_max && entry.connections.all().len() >= open_max {
            log::warn!(event = "connection.refused", open = open_max; "too many connections of callers");
            continue;
        }
        spawn_local(serve(Rc::clone(&entry), stream));
    }
}

async fn serve(entry: Rc<Entry>, stream: TcpStream) {
    let connection = entry.connections.register();
    let limits = entry.limits();
    let io = TokioIo::new(WatchedStream {
        stream,
        connection: Rc::clone(&connection),
    });
    let of_requests = Rc::clone(&connection);
    let service = service_fn(move |request| {
        let in_use = InUse::begin(&of_requests);
        let entry = Rc::clone(&entry);
        async move { Ok::<_, Infallible>(handle(entry, request, in_use).await) }
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
                    log::debug!("connection of a caller ended: {error}");
                }
                return;
            }
            () = connection.close.notified() => serving.as_mut().graceful_shutdown(),
            () = connection.abort.notified() => {
                log::info!(event = "connection.slow_head"; "a request head took too long; the connection is closed");
                return;
            }
        }
    }
}

/// Stream that notes when the head of a request begins.
#[derive(Debug)]
struct WatchedStream {
    stream: TcpStream,
    connection: Rc<CallerConnection>,
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before && self.connection.phase.get() == Phase::Idle {
            self.connection.set(Phase::Head);
        }
        result
    }
}

impl AsyncWrite for WatchedStream {
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

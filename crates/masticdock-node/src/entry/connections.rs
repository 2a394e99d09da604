//! Connections from callers: timeouts for slow and idle ones, and graceful shutdown.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::poll_fn;
use std::rc::{Rc, Weak};

use http::Request;
use http::header::{CONNECTION, HeaderValue};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use masticdock_core::serving::{
    ConnectionPhase, ConnectionTimeout, ConnectionTimer, RequestLimits,
};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

use super::caller_stream::CallerStream;
use super::request::handle_request;
use super::state::Entry;
use crate::metrics::metrics;
use crate::{clock, http_server};

/// File descriptors reserved for upstreams, the store and files.
const RESERVED_DESCRIPTORS: usize = 1_000;
/// Memory that a connection from a caller uses, in bytes.
const CONNECTION_BYTES: usize = 16 << 10;
/// Time without progress after which a response counts as unread while memory is short, in
/// milliseconds.
const UNREAD_MS: u64 = 2_000;
/// Minimum buffer size of a connection; hyper accepts no smaller one.
const BUFFER_BYTES_MIN: usize = 8_192;

/// A connection from a caller.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    timer: Cell<ConnectionTimer>,
    /// True if the body of the latest request may not have been read to its end.
    unread_body: Cell<bool>,
    /// True once the connection is to be closed after the request in progress, if any.
    closing: Cell<bool>,
    /// True once the connection is to be closed in the middle of a response that is not read.
    abandoned: Cell<bool>,
    /// Requests a check whether to close the connection or to change its limits.
    check: Notify,
}

/// Marks a connection as in use until it is dropped and what was responded has been sent.
#[derive(Debug)]
pub(crate) struct InUseGuard(Rc<CallerConnection>);

impl InUseGuard {
    pub(crate) fn begin(connection: &Rc<CallerConnection>, has_body: bool) -> Self {
        connection.enter(ConnectionPhase::Active);
        connection.unread_body.set(has_body);
        Self(Rc::clone(connection))
    }

    /// Records that the body of the request has been read.
    pub(crate) fn end_body(&self) {
        self.0.unread_body.set(false);
    }
}

impl Drop for InUseGuard {
    fn drop(&mut self) {
        self.0.enter(ConnectionPhase::Sending);
    }
}

impl CallerConnection {
    pub(super) fn phase(&self) -> ConnectionPhase {
        self.timer.get().phase()
    }

    pub(super) fn enter(&self, phase: ConnectionPhase) {
        self.abandoned.set(false);
        self.update_timer(|timer| timer.enter(phase, clock::now()));
    }

    /// Returns whether the connection is between two requests and to be closed.
    fn is_due(&self, limits: &RequestLimits) -> bool {
        let is_idle = self.phase() == ConnectionPhase::Idle;
        let exceeded = self.timer.get().exceeded(limits, clock::now());
        let is_expired = exceeded.is_some_and(|timeout| timeout != ConnectionTimeout::Unread);
        is_expired || is_idle && self.closing.get()
    }

    /// Returns whether the caller leaves its response unread for too long.
    fn is_unread(&self, limits: &RequestLimits) -> bool {
        let exceeded = self.timer.get().exceeded(limits, clock::now());
        self.abandoned.get() || exceeded == Some(ConnectionTimeout::Unread)
    }

    /// Records that a part of a response has been sent.
    pub(super) fn record_sent(&self) {
        if self.phase() == ConnectionPhase::Sending {
            self.enter(ConnectionPhase::Sending);
        }
    }

    /// Returns whether the HTTP server has to give the connection back.
    fn needs_check(&self, limits: &RequestLimits) -> bool {
        let needs_check = self.is_due(limits) || self.timer.get().is_outdated(limits);
        needs_check && !self.unread_body.get()
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
            unread_body: Cell::new(false),
            closing: Cell::new(false),
            abandoned: Cell::new(false),
            check: Notify::new(),
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

    /// Returns the number of connections on which a request is being read or served, or its
    /// response being sent.
    pub(crate) fn in_use(&self) -> usize {
        let is_idle =
            |connection: &Rc<CallerConnection>| connection.phase() == ConnectionPhase::Idle;
        self.live()
            .iter()
            .filter(|connection| !is_idle(connection))
            .count()
    }

    /// Closes connections that exceed the idle timeout or the request head timeout, and
    /// applies the limit on request heads to the others.
    pub(crate) fn apply_limits(&self, limits: &RequestLimits) {
        for connection in self.live() {
            if connection.needs_check(limits) || connection.is_unread(limits) {
                connection.check.notify_one();
            }
        }
    }

    /// Closes connections whose callers do not read their responses, to make room for others.
    pub(crate) fn close_unread(&self) {
        let now = clock::now();
        for connection in self.live() {
            if connection.timer.get().is_unread_for(UNREAD_MS, now) {
                connection.abandoned.set(true);
                connection.check.notify_one();
            }
        }
    }

    /// Closes idle connections now and the others after their response. Returns whether none
    /// is open.
    pub(crate) fn close_all(&self) -> bool {
        let connections = self.live();
        for connection in &connections {
            connection.closing.set(true);
            connection.check.notify_one();
        }
        connections.is_empty()
    }
}

/// Accepts connections until the task is aborted.
pub(crate) async fn accept(entry: Rc<Entry>, listener: Rc<TcpListener>) {
    let by_descriptors = entry
        .settings
        .file_descriptors_max
        .saturating_sub(RESERVED_DESCRIPTORS);
    let by_memory = entry.memory_shares.connections_bytes / CONNECTION_BYTES;
    let open_max = by_descriptors.min(by_memory);
    let mut logged_at = None;
    loop {
        let stream = http_server::accept(&listener).await;
        if entry.connections.count() >= open_max && entry.connections.live().len() >= open_max {
            metrics()
                .connections_closed
                .with_label_values(&["limit"])
                .inc();
            let now = clock::now();
            if logged_at.is_none_or(|logged_at| now.since_ms(logged_at) >= 1_000) {
                logged_at = Some(now);
                log::warn!(event = "connection.refused", open = open_max; "connection limit reached; a caller's connection is closed");
            }
            continue;
        }
        spawn_local(serve(Rc::clone(&entry), stream));
    }
}

async fn serve(entry: Rc<Entry>, stream: TcpStream) {
    let connection = entry.connections.register(&entry.limits());
    let mut stream = CallerStream::new(stream, Rc::clone(&connection));
    while let Some(returned) = serve_requests(&entry, &connection, stream).await {
        stream = returned;
        let is_head = connection.phase() == ConnectionPhase::Head;
        // A part of a head that was read before the timeout is not progress.
        let has_input = stream.has_unread() || !is_head && stream.has_unparsed();
        if !connection.is_due(&entry.limits()) || has_input {
            continue;
        }
        if is_head {
            log::info!(event = "connection.slow_head"; "request head not received in time; the connection is closed");
            return;
        }
        close(stream).await;
        return;
    }
}

/// Serves requests until the connection ends. Returns its stream if the connection is
/// between two requests and due to be closed, or if its limits have changed.
async fn serve_requests(
    entry: &Rc<Entry>,
    connection: &Rc<CallerConnection>,
    stream: CallerStream,
) -> Option<CallerStream> {
    let limits = entry.limits();
    connection.update_timer(|timer| timer.set_head_bytes_max(&limits));
    let service = service_fn(|request: Request<Incoming>| {
        let in_use = InUseGuard::begin(connection, !request.body().is_end_stream());
        Box::pin(async move {
            let mut response = handle_request(Rc::clone(entry), request, in_use).await;
            connection.update_timer(|timer| timer.respond(&entry.limits()));
            if connection.closing.get() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        })
    });
    let mut server = http1::Builder::new()
        .max_buf_size(limits.head_bytes_max.max(BUFFER_BYTES_MIN))
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service);
    loop {
        tokio::select! {
            biased;
            result = poll_fn(|context| server.poll_without_shutdown(context)) => {
                match result {
                    Ok(()) => close(CallerStream::take_back(server.into_parts())).await,
                    Err(error) => log::debug!("caller connection failed: {error}"),
                }
                return None;
            }
            () = connection.check.notified() => {
                if connection.is_unread(&entry.limits()) {
                    metrics().connections_closed.with_label_values(&["unread"]).inc();
                    return None;
                }
                if connection.needs_check(&entry.limits()) {
                    return Some(CallerStream::take_back(server.into_parts()));
                }
            }
        }
    }
}

async fn close(mut stream: CallerStream) {
    if let Err(error) = stream.shutdown().await {
        log::debug!("cannot close a caller connection: {error}");
    }
}

//! HTTP listener that handles requests on a thread pool, within limits.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;

use anyhow::{Context as _, anyhow};
use masticdock_core::problem::{Problem, ProblemKind};
use tiny_http::{Request, Server};

use super::{respond_problem, respond_problem_and_close};
use crate::settings::HttpLimits;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Minimum number of threads that wait for requests.
const WAITING_THREADS_MIN: usize = 4;

/// Maximum number of threads that wait for requests; surplus threads end.
const WAITING_THREADS_MAX: usize = 32;

/// Request limits of one listener.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HandlerLimits {
    /// Maximum size of a request body.
    pub(crate) body_bytes_max: usize,
    /// Maximum total size of the request line and headers.
    pub(crate) header_bytes_max: usize,
    /// Maximum number of requests in flight.
    pub(crate) requests_max: usize,
}

impl From<&HttpLimits> for HandlerLimits {
    fn from(limits: &HttpLimits) -> Self {
        let size = |value: u64| usize::try_from(value).unwrap_or(usize::MAX);
        Self {
            body_bytes_max: size(limits.body_bytes_max),
            header_bytes_max: size(limits.header_bytes_max),
            requests_max: size(limits.connections_max),
        }
    }
}

/// Counts the requests in flight.
#[derive(Debug, Default)]
pub(crate) struct InFlightCount {
    count: AtomicUsize,
    lock: Mutex<()>,
    idle: Condvar,
}

impl InFlightCount {
    /// Returns the number of requests in flight.
    pub(crate) fn get(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Counts one more request until the returned guard is dropped.
    pub(crate) fn enter(self: &Arc<Self>) -> InFlightGuard {
        self.count.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(Arc::clone(self))
    }

    #[cfg(test)]
    /// Waits until no request is in flight; returns false when `timeout` expires first.
    pub(crate) fn wait_idle(&self, timeout: std::time::Duration) -> bool {
        let guard = self.lock.lock().unwrap_or_else(PoisonError::into_inner);
        let (_guard, result) = self
            .idle
            .wait_timeout_while(guard, timeout, |()| self.get() > 0)
            .unwrap_or_else(PoisonError::into_inner);
        !result.timed_out()
    }
}

/// Counts one request in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<InFlightCount>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let _guard = self.0.lock.lock().unwrap_or_else(PoisonError::into_inner);
        self.0.count.fetch_sub(1, Ordering::SeqCst);
        self.0.idle.notify_all();
    }
}

/// Handle of a running listener.
#[derive(Debug, Clone)]
pub(crate) struct Listener {
    addr: SocketAddr,
    in_flight_count: Arc<InFlightCount>,
    draining: Arc<AtomicBool>,
}

impl Listener {
    /// Listens on `addr` and calls `handle` for each request on a pool thread.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub(crate) fn spawn(
        name: &'static str,
        addr: SocketAddr,
        limits: HandlerLimits,
        handle: impl Fn(Request) + Send + Sync + 'static,
    ) -> anyhow::Result<Self> {
        let socket =
            bind(addr).with_context(|| format!("cannot listen on {name} address {addr}"))?;
        let server = Server::from_listener(socket, None)
            .map_err(|error| anyhow!("cannot listen on {name} address {addr}: {error}"))?;
        let addr = server.server_addr().to_ip().unwrap_or(addr);
        let listener = Self {
            addr,
            in_flight_count: Arc::default(),
            draining: Arc::default(),
        };
        let running = listener.clone();
        thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || Pool::run(server, running, limits, handle))?;
        Ok(listener)
    }

    #[cfg(test)]
    /// Returns the bound address.
    pub(crate) const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of requests in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight_count.get()
    }

    /// Rejects new requests from now on.
    pub(crate) fn begin_drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    #[cfg(test)]
    /// Waits until no request is in flight; returns false when `timeout` expires first.
    pub(crate) fn wait_idle(&self, timeout: std::time::Duration) -> bool {
        self.in_flight_count.wait_idle(timeout)
    }
}

/// Binds with `TCP_NODELAY`, which accepted connections inherit on Linux. Without it, a small
/// event is held back until the previous one is acknowledged.
fn bind(addr: SocketAddr) -> io::Result<std::net::TcpListener> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .build()?;
    let _entered = runtime.enter();
    let socket = match addr {
        SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4()?,
        SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(addr)?;
    let listener = socket.listen(BACKLOG)?.into_std()?;
    listener.set_nonblocking(false)?;
    Ok(listener)
}

/// Threads that both receive and handle requests. Without a hand-over to a worker, a request
/// waits for only one thread to wake up.
struct Pool<H> {
    server: Server,
    listener: Listener,
    limits: HandlerLimits,
    handle: H,
    waiting: AtomicUsize,
}

impl<H: Fn(Request) + Send + Sync + 'static> Pool<H> {
    fn run(server: Server, listener: Listener, limits: HandlerLimits, handle: H) {
        let pool = Arc::new(Self {
            server,
            listener,
            limits,
            handle,
            waiting: AtomicUsize::new(0),
        });
        for _ in 1..WAITING_THREADS_MIN {
            pool.add_thread();
        }
        pool.receive_requests(false);
    }

    fn add_thread(self: &Arc<Self>) {
        let pool = Arc::clone(self);
        let spawned = thread::Builder::new()
            .name("request".to_owned())
            .spawn(move || pool.receive_requests(true));
        if let Err(error) = spawned {
            log::error!("cannot start a request thread: {error}");
        }
    }

    fn receive_requests(self: &Arc<Self>, may_end: bool) {
        loop {
            if self.waiting.fetch_add(1, Ordering::SeqCst) >= WAITING_THREADS_MAX && may_end {
                self.waiting.fetch_sub(1, Ordering::SeqCst);
                return;
            }
            let received = self.server.recv();
            let still_waiting = self.waiting.fetch_sub(1, Ordering::SeqCst) - 1;
            let Ok(request) = received else {
                log::error!(
                    "listener {} failed; the request thread stops",
                    self.listener.addr
                );
                return;
            };
            // The handler blocks this thread, so enough others must wait for requests.
            if still_waiting < WAITING_THREADS_MIN {
                self.add_thread();
            }
            self.dispatch(request);
        }
    }

    fn dispatch(&self, request: Request) {
        // Counts the request before it reads the flag, so that a drain cannot see an idle
        // listener while a request is about to be handled.
        let _guard = self.listener.in_flight_count.enter();
        if self.listener.draining.load(Ordering::SeqCst) {
            let detail = "this process stops; send the request to another one";
            let problem = Problem::not_run(ProblemKind::Stopping, detail);
            return respond_problem_and_close(request, &problem);
        }
        if self.listener.in_flight() > self.limits.requests_max {
            let detail = "send fewer requests at once or use another entry";
            let problem = Problem::not_run(ProblemKind::TooManyConnections, detail);
            return reject(request, &problem.with_retry_after_s(1));
        }
        (self.handle)(request);
    }
}

fn reject(request: Request, problem: &Problem) {
    respond_problem(request, problem, &[]);
}

/// Reason why a request could not be read.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The headers or the body exceed the limit.
    TooLarge(Problem),
    /// The sender disconnected.
    Disconnected(io::Error),
}

/// Reads the request body and enforces the size limits.
///
/// # Errors
///
/// Returns an error when a limit is exceeded or the sender disconnected.
pub(crate) fn read_body(
    request: &mut Request,
    limits: HandlerLimits,
) -> Result<Vec<u8>, ReadError> {
    let mut header_bytes = request.url().len();
    for header in request.headers() {
        header_bytes += header.field.as_str().as_str().len() + header.value.as_str().len() + 4;
    }
    if header_bytes > limits.header_bytes_max {
        return Err(ReadError::TooLarge(Problem::not_run(
            ProblemKind::HeaderTooLarge,
            compact_str::format_compact!("send at most {} bytes", limits.header_bytes_max),
        )));
    }
    let too_large = || {
        ReadError::TooLarge(Problem::not_run(
            ProblemKind::BodyTooLarge,
            compact_str::format_compact!("send at most {} bytes", limits.body_bytes_max),
        ))
    };
    let content_length = request.body_length();
    if content_length.is_some_and(|length| length > limits.body_bytes_max) {
        return Err(too_large());
    }
    let mut body = Vec::with_capacity(content_length.unwrap_or(0));
    request
        .as_reader()
        .take(limits.body_bytes_max as u64 + 1)
        .read_to_end(&mut body)
        .map_err(ReadError::Disconnected)?;
    if body.len() > limits.body_bytes_max {
        return Err(too_large());
    }
    if content_length.is_some_and(|length| length != body.len()) {
        return Err(ReadError::Disconnected(io::ErrorKind::UnexpectedEof.into()));
    }
    Ok(body)
}

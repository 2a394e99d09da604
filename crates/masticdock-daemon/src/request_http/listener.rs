//! Listener that handles requests on a pool of threads, within limits.

use std::io::{self, Read};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;

use anyhow::{Context as _, anyhow};
use masticdock_core::problem::{Problem, ProblemKind};
use tiny_http::{Request, Server};

use super::respond_problem;
use crate::settings::HttpLimits;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Threads that wait for requests, at least.
const WAITING_MIN: usize = 4;

/// Threads that wait for requests, at most; those beyond end.
const WAITING_MAX: usize = 32;

/// Limits of one listener.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HandlerLimits {
    /// Largest request body.
    pub(crate) body_bytes_max: usize,
    /// Largest total of the request headers.
    pub(crate) header_bytes_max: usize,
    /// Requests handled at once.
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

/// Counts requests that are being handled.
#[derive(Debug, Default)]
pub(crate) struct ActiveCount {
    count: AtomicUsize,
    lock: Mutex<()>,
    idle: Condvar,
}

impl ActiveCount {
    /// Returns the number of requests that are being handled.
    pub(crate) fn get(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Counts one more request until the guard is dropped.
    pub(crate) fn enter(self: &Arc<Self>) -> ActiveGuard {
        self.count.fetch_add(1, Ordering::SeqCst);
        ActiveGuard(Arc::clone(self))
    }

    #[cfg(test)]
    /// Waits until no request is handled; returns false when `timeout` passed first.
    pub(crate) fn wait_idle(&self, timeout: std::time::Duration) -> bool {
        let guard = self.lock.lock().unwrap_or_else(PoisonError::into_inner);
        let (_guard, result) = self
            .idle
            .wait_timeout_while(guard, timeout, |()| self.get() > 0)
            .unwrap_or_else(PoisonError::into_inner);
        !result.timed_out()
    }
}

/// One request that is being handled.
#[derive(Debug)]
pub(crate) struct ActiveGuard(Arc<ActiveCount>);

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        let _guard = self.0.lock.lock().unwrap_or_else(PoisonError::into_inner);
        self.0.count.fetch_sub(1, Ordering::SeqCst);
        self.0.idle.notify_all();
    }
}

/// A running listener.
#[derive(Debug, Clone)]
pub(crate) struct Listener {
    addr: SocketAddr,
    active: Arc<ActiveCount>,
    stopping: Arc<AtomicBool>,
}

impl Listener {
    /// Opens `addr` and runs `handle` for each request on a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
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
            active: Arc::default(),
            stopping: Arc::default(),
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

    /// Returns the number of requests that are being handled.
    pub(crate) fn in_flight(&self) -> usize {
        self.active.get()
    }

    /// Refuses new requests from now on.
    pub(crate) fn begin_drain(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    #[cfg(test)]
    /// Waits until no request is handled; returns false when `timeout` passed first.
    pub(crate) fn wait_idle(&self, timeout: std::time::Duration) -> bool {
        self.active.wait_idle(timeout)
    }
}

/// Binds with `TCP_NODELAY`, which accepted connections inherit on Linux: without
/// it, a small event waits for the acknowledgement of the one before.
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

/// Threads that take requests from the server and handle them themselves: a
/// request waits for one thread to wake, not for two.
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
        for _ in 1..WAITING_MIN {
            pool.add_thread();
        }
        pool.take_requests(false);
    }

    fn add_thread(self: &Arc<Self>) {
        let pool = Arc::clone(self);
        let spawned = thread::Builder::new()
            .name("request".to_owned())
            .spawn(move || pool.take_requests(true));
        if let Err(error) = spawned {
            log::error!("cannot start a thread for requests: {error}");
        }
    }

    fn take_requests(self: &Arc<Self>, may_end: bool) {
        loop {
            if self.waiting.fetch_add(1, Ordering::SeqCst) >= WAITING_MAX && may_end {
                self.waiting.fetch_sub(1, Ordering::SeqCst);
                return;
            }
            let received = self.server.recv();
            let left = self.waiting.fetch_sub(1, Ordering::SeqCst) - 1;
            let Ok(request) = received else {
                log::error!("the listener {} ended", self.listener.addr);
                return;
            };
            // Handling blocks this thread, so others must be there to take requests.
            if left < WAITING_MIN {
                self.add_thread();
            }
            self.take(request);
        }
    }

    fn take(&self, request: Request) {
        // Counted before the flag is read, so a drain that saw no request misses none.
        let _guard = self.listener.active.enter();
        if self.listener.stopping.load(Ordering::SeqCst) {
            let detail = "this process stops; send the request to another one";
            return refuse(request, &Problem::not_run(ProblemKind::Stopping, detail));
        }
        if self.listener.in_flight() > self.limits.requests_max {
            let detail = "send fewer requests at once or use another entry";
            let problem = Problem::not_run(ProblemKind::TooManyConnections, detail);
            return refuse(request, &problem.with_retry_after_s(1));
        }
        (self.handle)(request);
    }
}

fn refuse(request: Request, problem: &Problem) {
    respond_problem(request, problem, &[]);
}

/// Why a request could not be read.
#[derive(Debug)]
pub(crate) enum ReadError {
    /// The headers or the body are over the limit.
    TooLarge(Problem),
    /// The sender went away.
    Disconnected(io::Error),
}

/// Reads the body within the limits.
///
/// # Errors
///
/// Fails when a limit is exceeded or the sender went away.
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
    let announced = request.body_length();
    if announced.is_some_and(|length| length > limits.body_bytes_max) {
        return Err(too_large());
    }
    let mut body = Vec::with_capacity(announced.unwrap_or(0));
    request
        .as_reader()
        .take(limits.body_bytes_max as u64 + 1)
        .read_to_end(&mut body)
        .map_err(ReadError::Disconnected)?;
    if body.len() > limits.body_bytes_max {
        return Err(too_large());
    }
    if announced.is_some_and(|length| length != body.len()) {
        return Err(ReadError::Disconnected(io::ErrorKind::UnexpectedEof.into()));
    }
    Ok(body)
}

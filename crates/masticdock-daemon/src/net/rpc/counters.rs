//! Byte and rejection counters of RPC connections.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use futures::io::{AsyncRead, AsyncWrite};
use prometheus::{IntCounter, IntCounterVec, Opts, Registry};

/// Kind of traffic on a connection; chunks have separate connections, so that a chunk on a slow
/// link does not delay control messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Lane {
    /// Everything but chunks.
    Control,
    /// Chunks and the calls for them.
    Chunks,
}

/// Counts bytes on RPC connections by lane and direction, and rejected callers; cheap to clone.
#[derive(Debug, Clone)]
pub(crate) struct TrafficCounters {
    control: IntCounterVec,
    chunks: IntCounterVec,
    control_sent: IntCounter,
    control_received: IntCounter,
    chunks_sent: IntCounter,
    pub(super) chunks_received: IntCounter,
    pub(super) rejected: IntCounter,
}

const SENT: &str = "sent";
const RECEIVED: &str = "received";

fn by_direction(name: &str, help: &str) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), &["direction"])
        .expect("names of metrics are constants")
}

impl TrafficCounters {
    pub(super) fn new() -> Self {
        let control = by_direction(
            "masticdock_control_bytes_total",
            "Bytes of control messages over RPC and gossip.",
        );
        let chunks = by_direction(
            "masticdock_chunk_bytes_total",
            "Bytes on connections that carry chunks between agents.",
        );
        let rejected = IntCounter::new(
            "masticdock_rpc_refused_total",
            "RPC callers refused because they do not hold the shared key.",
        )
        .expect("names of metrics are constants");
        Self {
            rejected,
            control_sent: control.with_label_values(&[SENT]),
            control_received: control.with_label_values(&[RECEIVED]),
            chunks_sent: chunks.with_label_values(&[SENT]),
            chunks_received: chunks.with_label_values(&[RECEIVED]),
            control,
            chunks,
        }
    }

    /// Registers the counters.
    ///
    /// # Errors
    ///
    /// Fails when the counters are registered already.
    pub(crate) fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        registry.register(Box::new(self.control.clone()))?;
        registry.register(Box::new(self.chunks.clone()))?;
        registry.register(Box::new(self.rejected.clone()))
    }

    /// Returns the counter of control bytes sent; gossip adds its datagrams here.
    pub(crate) const fn control_sent(&self) -> &IntCounter {
        &self.control_sent
    }

    /// Returns the counter of control bytes received; gossip adds its datagrams here.
    pub(crate) const fn control_received(&self) -> &IntCounter {
        &self.control_received
    }

    const fn sent(&self, lane: Lane) -> &IntCounter {
        match lane {
            Lane::Control => &self.control_sent,
            Lane::Chunks => &self.chunks_sent,
        }
    }

    const fn received(&self, lane: Lane) -> &IntCounter {
        match lane {
            Lane::Control => &self.control_received,
            Lane::Chunks => &self.chunks_received,
        }
    }
}

/// Lane and transferred bytes of one connection.
#[derive(Debug)]
pub(super) struct ConnectionState {
    pub(super) lane: Cell<Lane>,
    pub(super) bytes: Cell<u64>,
    counters: TrafficCounters,
}

impl ConnectionState {
    pub(super) fn new(lane: Lane, counters: TrafficCounters) -> Rc<Self> {
        Rc::new(Self {
            lane: Cell::new(lane),
            bytes: Cell::new(0),
            counters,
        })
    }

    fn add(&self, counter: &IntCounter, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes as u64);
        counter.inc_by(bytes as u64);
    }
}

/// Wraps one half of a connection and counts its bytes.
pub(super) struct CountedStream<S> {
    inner: S,
    state: Rc<ConnectionState>,
}

impl<S> CountedStream<S> {
    pub(super) const fn new(inner: S, state: Rc<ConnectionState>) -> Self {
        Self { inner, state }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_read(cx, buf);
        if let Poll::Ready(Ok(bytes)) = &result {
            let counter = self.state.counters.received(self.state.lane.get());
            self.state.add(counter, *bytes);
        }
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(cx, buf);
        if let Poll::Ready(Ok(bytes)) = &result {
            let counter = self.state.counters.sent(self.state.lane.get());
            self.state.add(counter, *bytes);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

//! Stream of a connection from a caller, which outlives the HTTP server on it.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::server::conn::http1::Parts;
use hyper_util::rt::TokioIo;
use masticdock_core::serving::ConnectionPhase;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::connections::CallerConnection;

/// Stream that sets the connection's phase when a request head begins to arrive and when a
/// response has been sent.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    /// Input that an HTTP server has read without parsing it; the next one reads it first.
    unparsed: Bytes,
    connection: Rc<CallerConnection>,
}

impl CallerStream {
    pub(super) const fn new(stream: TcpStream, connection: Rc<CallerConnection>) -> Self {
        Self {
            stream,
            unparsed: Bytes::new(),
            connection,
        }
    }

    /// Returns the stream of a server that stopped between two requests.
    pub(super) fn take_back<S>(server: Parts<TokioIo<Self>, S>) -> Self {
        Self {
            unparsed: server.read_buf,
            ..server.io.into_inner()
        }
    }

    /// Returns whether a server has read bytes without parsing them.
    pub(super) fn has_unparsed(&self) -> bool {
        !self.unparsed.is_empty()
    }

    /// Returns whether the caller has sent bytes that no server has read. Asks the socket
    /// itself, since the event loop may not have seen its latest events yet.
    pub(super) fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        peeked.is_ok_and(|bytes| bytes > 0)
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = if self.unparsed.is_empty() {
            Pin::new(&mut self.stream).poll_read(context, buffer)
        } else {
            let length = self.unparsed.len().min(buffer.remaining());
            buffer.put_slice(&self.unparsed.split_to(length));
            Poll::Ready(Ok(()))
        };
        if buffer.filled().len() > before && self.connection.phase() == ConnectionPhase::Idle {
            self.connection.enter(ConnectionPhase::Head);
        }
        result
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        if result.is_ready() {
            self.connection.record_sent();
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(context);
        // The HTTP server flushes the stream only once it has written its buffer.
        if result.is_ready() && self.connection.phase() == ConnectionPhase::Sending {
            self.connection.enter(ConnectionPhase::Idle);
        }
        result
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
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        if result.is_ready() {
            self.connection.record_sent();
        }
        result
    }
}

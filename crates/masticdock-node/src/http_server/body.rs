//! Response bodies that are buffered or streamed from a channel.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc::Receiver;

/// A body that holds `guard` until it is dropped. An error from the channel aborts the
/// body, so that the receiver does not take it for complete.
#[derive(Debug)]
pub struct ResponseBody<E, G = ()> {
    source: Source<E>,
    _guard: G,
}

#[derive(Debug)]
enum Source<E> {
    Buffered(Full<Bytes>),
    Streamed(Receiver<Result<Bytes, E>>),
}

impl<E, G> ResponseBody<E, G> {
    /// Creates a body that is complete.
    pub const fn buffered(body: Full<Bytes>, guard: G) -> Self {
        Self {
            source: Source::Buffered(body),
            _guard: guard,
        }
    }

    /// Creates a body that consists of the data received from a channel.
    pub const fn streamed(receiver: Receiver<Result<Bytes, E>>, guard: G) -> Self {
        Self {
            source: Source::Streamed(receiver),
            _guard: guard,
        }
    }
}

impl<E, G: Unpin> Body for ResponseBody<E, G> {
    type Data = Bytes;
    type Error = E;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, E>>> {
        match &mut self.source {
            Source::Buffered(body) => {
                let frame = Pin::new(body).poll_frame(context);
                frame.map(|frame| frame.map(|frame| frame.map_err(|never| match never {})))
            }
            Source::Streamed(receiver) => {
                let next = receiver.poll_recv(context);
                next.map(|item| item.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Buffered(body) => body.is_end_stream(),
            Source::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Buffered(body) => body.size_hint(),
            Source::Streamed(_) => SizeHint::default(),
        }
    }
}

//! Bodies that are whole or whose parts follow.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc::Receiver;

/// A body that keeps `guard` until it is dropped. An error in place of a part
/// ends it so that it does not look complete.
#[derive(Debug)]
pub struct PartsBody<E, G = ()> {
    source: Source<E>,
    _guard: G,
}

#[derive(Debug)]
enum Source<E> {
    Whole(Full<Bytes>),
    Parts(Receiver<Result<Bytes, E>>),
}

impl<E, G> PartsBody<E, G> {
    /// Makes a whole body.
    pub const fn whole(body: Full<Bytes>, guard: G) -> Self {
        Self {
            source: Source::Whole(body),
            _guard: guard,
        }
    }

    /// Makes a body of parts in the order in which they arrive.
    pub const fn parts(parts: Receiver<Result<Bytes, E>>, guard: G) -> Self {
        Self {
            source: Source::Parts(parts),
            _guard: guard,
        }
    }
}

impl<E, G: Unpin> Body for PartsBody<E, G> {
    type Data = Bytes;
    type Error = E;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, E>>> {
        match &mut self.source {
            Source::Whole(body) => {
                let frame = Pin::new(body).poll_frame(context);
                frame.map(|frame| frame.map(|frame| frame.map_err(|never| match never {})))
            }
            Source::Parts(parts) => {
                let part = parts.poll_recv(context);
                part.map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Whole(body) => body.is_end_stream(),
            Source::Parts(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Whole(body) => body.size_hint(),
            Source::Parts(_) => SizeHint::default(),
        }
    }
}

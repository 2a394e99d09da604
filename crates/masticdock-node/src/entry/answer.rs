//! Answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use masticdock_adapter::retry_after;
use tokio::sync::mpsc::Receiver;

use super::connections::InUse;

/// Ends a response that had begun, so that it does not look complete.
#[derive(Debug, thiserror::Error)]
#[error("the response was cut")]
pub(crate) struct Cut;

/// Body of an answer; the caller's connection counts as in use while it lives.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    source: Source,
    _in_use: InUse,
}

#[derive(Debug)]
enum Source {
    Whole(Full<Bytes>),
    Events(Receiver<Result<Bytes, Cut>>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match &mut self.source {
            Source::Whole(body) => {
                let frame = Pin::new(body).poll_frame(context);
                frame.map(|frame| frame.map(|frame| frame.map_err(|never| match never {})))
            }
            Source::Events(events) => {
                let event = events.poll_recv(context);
                event.map(|event| event.map(|event| event.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Whole(body) => body.is_end_stream(),
            Source::Events(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Whole(body) => body.size_hint(),
            Source::Events(_) => SizeHint::default(),
        }
    }
}

/// Makes an answer of a whole body.
pub(crate) fn whole(head: Response<()>, body: Bytes, in_use: InUse) -> Response<AnswerBody> {
    head.map(|()| AnswerBody {
        source: Source::Whole(Full::new(body)),
        _in_use: in_use,
    })
}

/// Makes an answer whose events follow.
pub(crate) fn events(
    head: Response<()>,
    events: Receiver<Result<Bytes, Cut>>,
    in_use: InUse,
) -> Response<AnswerBody> {
    head.map(|()| AnswerBody {
        source: Source::Events(events),
        _in_use: in_use,
    })
}

/// Makes an answer of the entry itself.
pub(crate) fn own(
    status: StatusCode,
    retry_after_ms: Option<u64>,
    in_use: InUse,
) -> Response<AnswerBody> {
    let mut head = Response::new(());
    *head.status_mut() = status;
    if let Some(delay_ms) = retry_after_ms {
        let (name, value) = retry_after(delay_ms);
        head.headers_mut().insert(name, value);
    }
    whole(head, Bytes::new(), in_use)
}

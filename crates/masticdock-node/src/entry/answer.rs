//! Answers to callers.

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use masticdock_adapter::retry_after_header;
use tokio::sync::mpsc::Receiver;

use super::connections::InUse;
use crate::http_server::PartsBody;

/// Ends a response that had begun, so that it does not look complete.
#[derive(Debug, thiserror::Error)]
#[error("the response was cut")]
pub(crate) struct Cut;

/// Body of an answer; the caller's connection counts as in use while it lives.
pub(crate) type AnswerBody = PartsBody<Cut, InUse>;

/// Makes an answer of a whole body.
pub(crate) fn whole(head: Response<()>, body: Bytes, in_use: InUse) -> Response<AnswerBody> {
    head.map(|()| AnswerBody::whole(Full::new(body), in_use))
}

/// Makes an answer whose events follow.
pub(crate) fn events(
    head: Response<()>,
    events: Receiver<Result<Bytes, Cut>>,
    in_use: InUse,
) -> Response<AnswerBody> {
    head.map(|()| AnswerBody::parts(events, in_use))
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
        let (name, value) = retry_after_header(delay_ms);
        head.headers_mut().insert(name, value);
    }
    whole(head, Bytes::new(), in_use)
}

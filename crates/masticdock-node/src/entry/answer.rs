//! Responses to callers.

use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::{Response, StatusCode};
use http_body_util::Full;
use masticdock_adapter::retry_after_header;
use tokio::sync::mpsc::Receiver;

use super::connections::InUseGuard;
use crate::http_server::ResponseBody;

/// Body error that aborts a response in progress, so that the caller does not take
/// it for complete.
#[derive(Debug, thiserror::Error)]
#[error("response truncated")]
pub(crate) struct Truncated;

/// Body of a response; the caller's connection counts as in use until it is dropped.
pub(crate) type CallerResponseBody = ResponseBody<Truncated, InUseGuard>;

/// Creates a response with a complete body.
pub(crate) fn buffered(
    head: Response<()>,
    body: Bytes,
    in_use: InUseGuard,
) -> Response<CallerResponseBody> {
    head.map(|()| CallerResponseBody::buffered(Full::new(body), in_use))
}

/// Creates a response whose body is received from `events`.
pub(crate) fn event_stream(
    mut head: Response<()>,
    events: Receiver<Result<Bytes, Truncated>>,
    in_use: InUseGuard,
) -> Response<CallerResponseBody> {
    // The length of the first upstream's body; another one may resume the stream.
    head.headers_mut().remove(CONTENT_LENGTH);
    head.map(|()| CallerResponseBody::streamed(events, in_use))
}

/// Creates a response of the entry itself, which has no body.
pub(crate) fn empty(
    status: StatusCode,
    retry_after_ms: Option<u64>,
    in_use: InUseGuard,
) -> Response<CallerResponseBody> {
    let mut head = Response::new(());
    *head.status_mut() = status;
    if let Some(delay_ms) = retry_after_ms {
        let (name, value) = retry_after_header(delay_ms);
        head.headers_mut().insert(name, value);
    }
    buffered(head, Bytes::new(), in_use)
}

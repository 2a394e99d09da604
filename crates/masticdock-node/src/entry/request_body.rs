//! Bodies of callers' requests.

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, EXPECT};
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use super::body::discard_rest;
use super::connections::InUseGuard;
use super::memory::AppendError;
use super::state::Entry;

/// Range of the `Retry-After` delay while bodies use up their share of the memory, in
/// milliseconds.
const NO_ROOM_RETRY_AFTER_MS: (u64, u64) = (900, 1_900);

/// Rejection of a request whose body is not held.
#[derive(Debug)]
pub(super) struct BodyRejection {
    pub(super) status: StatusCode,
    pub(super) reason: &'static str,
    pub(super) retry_after_ms: Option<u64>,
}

impl BodyRejection {
    const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after_ms: None,
        }
    }
}

/// Reads the body of a request within the limits of one body and of all that are held.
///
/// # Errors
///
/// Returns a rejection if the body is too large, too slow or incomplete, or if there is no
/// memory for it.
pub(super) async fn read_body(
    entry: &Entry,
    headers: &HeaderMap,
    mut body: Incoming,
    bytes_max: usize,
    deadline: Instant,
) -> Result<Bytes, BodyRejection> {
    let too_large = BodyRejection::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large");
    let declared = declared_length(headers);
    if declared.is_some_and(|length| length > bytes_max) {
        return Err(too_large);
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let received = entry.request_buffers.begin(declared.unwrap_or(bytes_max));
    let mut length = 0;
    let read = async {
        while let Some(frame) = body.frame().await {
            let unreadable = BodyRejection::new(StatusCode::BAD_REQUEST, "body_unreadable");
            let Ok(bytes) = frame.map_err(|_| unreadable)?.into_data() else {
                continue;
            };
            length += bytes.len();
            if length > bytes_max {
                return Err(too_large);
            }
            // The received bytes are copied, since each chunk keeps a whole input buffer.
            received.append(&bytes).map_err(|error| match error {
                AppendError::Evicted => body_too_slow(),
                AppendError::Full => BodyRejection {
                    status: StatusCode::SERVICE_UNAVAILABLE,
                    reason: "body_without_room",
                    retry_after_ms: Some(no_room_retry_after_ms()),
                },
            })?;
        }
        Ok(())
    };
    let result = tokio::select! {
        biased;
        () = received.evicted() => Err(body_too_slow()),
        result = timeout_at(deadline, read) => result.unwrap_or_else(|_| Err(body_too_slow())),
    };
    match result {
        Ok(()) => received.finish().ok_or_else(body_too_slow),
        Err(rejection) => {
            drop(received);
            if rejection.status == StatusCode::SERVICE_UNAVAILABLE {
                discard_rest(body, bytes_max).await;
            }
            Err(rejection)
        }
    }
}

fn declared_length(headers: &HeaderMap) -> Option<usize> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

const fn body_too_slow() -> BodyRejection {
    BodyRejection::new(StatusCode::REQUEST_TIMEOUT, "body_too_slow")
}

fn no_room_retry_after_ms() -> u64 {
    let (min_ms, max_ms) = NO_ROOM_RETRY_AFTER_MS;
    rand::random_range(min_ms..=max_ms)
}

/// Reads the body of a request that is rejected, so that the caller, which may not read the
/// response before, can send it and use the connection again.
pub(super) async fn discard_body(
    entry: &Entry,
    headers: &HeaderMap,
    body: Incoming,
    in_use: &InUseGuard,
) {
    let bytes_max = entry.limits().body_bytes_max;
    // A caller that expects a response sends the body only when asked to.
    if headers.contains_key(EXPECT)
        || declared_length(headers).is_some_and(|length| length > bytes_max)
    {
        return;
    }
    if discard_rest(body, bytes_max).await {
        in_use.end_body();
    }
}

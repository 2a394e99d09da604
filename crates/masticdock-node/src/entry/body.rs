//! Bodies of responses that are not streams.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use masticdock_adapter::{Connection, UpstreamHead};
use masticdock_core::ids::UpstreamId;
use tokio::time::{sleep, timeout};

use super::state::Entry;

/// Maximum size of a response that is not a stream, in bytes.
const RESPONSE_BYTES_MAX: usize = 16 << 20;
/// Maximum size of the body of a rejection that is read to reuse its connection, in bytes.
const UNUSED_BODY_BYTES_MAX: usize = 4 << 10;
/// Maximum time for reading the body of a rejection.
const UNUSED_BODY_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum time for reading the body of a request that is rejected.
const REJECTED_BODY_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay in which connections with unread responses are closed.
const UNREAD_CLOSE_DELAY: Duration = Duration::from_millis(20);

/// Buffers the body of a response, within the limits of one response and of all that the
/// entry buffers at the same time.
pub(super) async fn collect_body(entry: &Entry, mut body: Incoming) -> Result<Bytes, String> {
    let received = entry.response_buffers.begin(RESPONSE_BYTES_MAX);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if received.len() + bytes.len() > RESPONSE_BYTES_MAX {
            return Err("the response exceeds the size limit".to_owned());
        }
        if received.append(&bytes).is_ok() {
            continue;
        }
        entry.connections.close_unread();
        sleep(UNREAD_CLOSE_DELAY).await;
        if received.append(&bytes).is_err() {
            return Err("buffered responses exceed their share of the memory".to_owned());
        }
    }
    received
        .finish()
        .ok_or_else(|| "the response is not held any more".to_owned())
}

/// Discards the rest of a body, up to a size and for a short time; returns whether it has been
/// read to its end.
pub(super) async fn discard_rest(mut body: Incoming, bytes_max: usize) -> bool {
    let discard = async {
        let mut received = 0;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return false;
            };
            received += frame.data_ref().map_or(0, Bytes::len);
            if received > bytes_max {
                return false;
            }
        }
        true
    };
    timeout(REJECTED_BODY_TIMEOUT, discard)
        .await
        .unwrap_or(false)
}

/// Returns a connection to the pool once a short body has been read; closes it if the
/// body is long or slow.
pub(super) async fn reuse_after_body(
    entry: Rc<Entry>,
    upstream: UpstreamId,
    connection: Connection,
    body: Incoming,
    head: UpstreamHead,
) {
    let body = Limited::new(body, UNUSED_BODY_BYTES_MAX).collect();
    if timeout(UNUSED_BODY_TIMEOUT, body)
        .await
        .is_ok_and(|body| body.is_ok())
    {
        entry
            .pools
            .put_back(&upstream, connection, head.idle_timeout_ms);
    }
}

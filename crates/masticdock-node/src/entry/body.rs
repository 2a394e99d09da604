//! Bodies of responses that are not streams.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use masticdock_adapter::{Connection, UpstreamHead};
use masticdock_core::ids::UpstreamId;
use tokio::time::timeout;

use super::state::Entry;

/// Maximum size of a response that is not a stream, in bytes.
const RESPONSE_BYTES_MAX: usize = 16 << 20;
/// Maximum size of the body of a rejection that is read to reuse its connection, in bytes.
const UNUSED_BODY_BYTES_MAX: usize = 4 << 10;
/// Maximum time for reading the body of a rejection.
const UNUSED_BODY_TIMEOUT: Duration = Duration::from_millis(200);

/// Buffers the body of a response, within the limits of one response and of all that the
/// entry buffers at the same time.
pub(super) async fn collect_body(entry: &Entry, mut body: Incoming) -> Result<Bytes, String> {
    let mut received = BytesMut::new();
    let mut buffered = entry.buffers.begin();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if received.len() + bytes.len() > RESPONSE_BYTES_MAX {
            return Err("the response exceeds the size limit".to_owned());
        }
        if !buffered.add(bytes.len()) {
            return Err("buffered responses exceed their share of the memory".to_owned());
        }
        received.extend_from_slice(&bytes);
    }
    Ok(received.freeze())
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

//! Heads of upstreams' responses: what they tell, and whether they end a request.

use compact_str::{CompactString, format_compact};
use http::{HeaderMap, Response, StatusCode};
use masticdock_adapter::{
    UpstreamHead, UpstreamTarget, is_hop_by_hop, is_internal_response_header,
};
use masticdock_core::serving::ResponseIdentity;
use masticdock_core::units::MonoMs;

use super::request::Call;
use super::state::Entry;
use crate::clock;

/// Checks that a response ends the request that was sent; returns why it may not do so.
pub(super) fn check_head(
    call: &Call,
    status: StatusCode,
    head: &UpstreamHead,
    is_reused: bool,
) -> Result<(), CompactString> {
    // No caller's request to switch protocols is passed on, and HTTP defines no statuses above
    // 599.
    if !(200..=599).contains(&status.as_u16()) {
        return Err(format_compact!(
            "status {} ends no request",
            status.as_str()
        ));
    }
    let identity = ResponseIdentity {
        sent_id: &call.head.request_id,
        named_id: head.request_id.as_deref(),
        reused_connection: is_reused,
        not_executed: head.not_executed,
    };
    if !identity.is_certain() {
        return Err("the response may belong to another request".into());
    }
    Ok(())
}

/// Records what a response tells of its upstream's load.
pub(super) fn record_head(entry: &Entry, target: &UpstreamTarget, head: &UpstreamHead) {
    let now = clock::now();
    record_slowness(entry, target, head, now);
    entry.with_load(&target.id, |load| {
        load.record_activity(now);
        if let Some((running, waiting)) = head.load {
            load.record_answer_load(running, waiting, now);
        }
    });
}

/// Records the slowness that an answer tells; an invalid figure is logged and ignored.
fn record_slowness(entry: &Entry, target: &UpstreamTarget, head: &UpstreamHead, now: MonoMs) {
    let Some(slowness) = head.slowness else {
        return;
    };
    let is_logged = entry.with_load(&target.id, |load| match slowness {
        Ok(slowness) => {
            load.told_slowness.record_answer(slowness, now);
            false
        }
        Err(_) => load.told_slowness.record_invalid(now),
    });
    if let (true, Err(error)) = (is_logged, slowness) {
        log::warn!(
            event = "slowness.invalid",
            upstream = target.id.as_str(),
            error:% = error;
            "ignored the slowness that an upstream tells; check the upstream's load figures"
        );
    }
}

/// Returns the response head without hop-by-hop and internal headers.
pub(super) fn forwarded_head(status: StatusCode, headers: &HeaderMap) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = status;
    for (name, value) in headers {
        if !is_hop_by_hop(name) && !is_internal_response_header(name) {
            head.headers_mut().append(name, value.clone());
        }
    }
    head
}

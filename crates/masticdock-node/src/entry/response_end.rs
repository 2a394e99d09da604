//! Ends of responses that nothing but the end of their connection marks.
//!
//! A process that crashes closes its connections, which looks like the end of such a response.
//! The response counts as whole only if the process of its upstream is known to outlive it.

use std::io::ErrorKind;

use masticdock_adapter::CallError;
use masticdock_core::serving::Upstream;
use masticdock_core::units::MonoMs;
use tokio::time::sleep;

use super::crashes::{PROBE_PAUSES, PROBE_TIMEOUT};
use super::state::Entry;
use crate::{clock, pauses};

/// Shortest pause of this process after which another one may listen at the address of an
/// upstream that crashed meanwhile, in milliseconds.
const RESTART_MIN_MS: u64 = 1_000;
/// Time after a pause in which this process reads what arrived before, in milliseconds.
const CATCH_UP_MS: u64 = 1_000;

/// Returns whether an upstream outlives its response to a request sent at `sent_at`, which has
/// just ended with its connection.
pub(super) async fn outlives_response(entry: &Entry, upstream: &Upstream, sent_at: MonoMs) -> bool {
    let ended_at = clock::now();
    let recent = MonoMs(ended_at.0.saturating_sub(CATCH_UP_MS));
    let pause = pauses::longest_after(sent_at.max(recent))
        .filter(|pause| pause.duration_ms() >= RESTART_MIN_MS);
    // The response may have ended at any time of the pause.
    let ended_after = pause.map_or(ended_at, |pause| pause.began_at);
    for wait in PROBE_PAUSES {
        // The connections of a process do not close at exactly the same time.
        sleep(wait).await;
        if is_replaced(entry, upstream) {
            return false;
        }
        if entry.pools.has_idle_since(&upstream.id, ended_after) {
            return true;
        }
        match entry.pools.open(upstream.address, PROBE_TIMEOUT).await {
            Ok(connection) if pause.is_none() => {
                entry.pools.put_back(&upstream.id, connection, None);
                return true;
            }
            Ok(_) => return false,
            Err(CallError::Connect(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return false;
            }
            Err(_) => {}
        }
    }
    // An upstream that cannot be reached has not closed the connection either.
    pause.is_none()
}

/// Returns whether a row or an agent names a later process in the place of an upstream.
pub(super) fn is_replaced(entry: &Entry, upstream: &Upstream) -> bool {
    let catalog = entry.catalog.borrow();
    let reports = entry.reports.borrow();
    let reported = reports.get(&upstream.id);
    catalog.directory.has_later_process(upstream)
        || upstream.is_replaced_by(reported.and_then(|(report, _)| report.started_at_ms))
}

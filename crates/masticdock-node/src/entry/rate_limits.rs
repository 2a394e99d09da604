//! Limits that upstreams name in their answers, shared with the other entries.

use std::rc::Rc;

use masticdock_adapter::UpstreamHead;
use masticdock_core::serving::Upstream;
use masticdock_core::units::MonoMs;
use tokio::task::spawn_local;

use super::agents::{relays, send_repeatedly};
use super::state::Entry;
use crate::clock;
use crate::datagram::{Datagram, Limited};

/// Records the limit that an upstream names in the answer to a request, and tells the other
/// entries of one that it did not name before.
pub(crate) fn record_answer(
    entry: &Rc<Entry>,
    upstream: &Upstream,
    head: &UpstreamHead,
    sent_at: MonoMs,
) {
    // An answer to a request that did not run may come from a queue that does not tell the
    // limit.
    if head.rate_limit.is_none() && head.not_executed {
        return;
    }
    let now = clock::now();
    let entries = entry.entry_count.get();
    let changed = entry.with_load(&upstream.id, |load| {
        let limit = &mut load.rate_limit;
        limit.record_answer(head.rate_limit, entries, sent_at, now, rand::random())
    });
    if !changed {
        return;
    }
    log_limit(entry, upstream, "answer");
    if let Some(rate) = head.rate_limit {
        let process = upstream.process();
        let limited = Datagram::Limited(Limited { process, rate });
        let agents = relays(entry, process.vm);
        spawn_local(send_repeatedly(Rc::clone(entry), limited, agents));
    }
}

/// Records a limit that an upstream named to another entry.
pub(crate) fn record_elsewhere(entry: &Entry, limited: Limited) {
    let catalog = entry.catalog.borrow();
    let mut upstreams = catalog.directory.iter();
    let Some(upstream) = upstreams.find(|upstream| upstream.process() == limited.process) else {
        return;
    };
    let entries = entry.entry_count.get();
    let changed = entry.with_load(&upstream.id, |load| {
        let limit = &mut load.rate_limit;
        limit.record_elsewhere(limited.rate, entries, clock::now(), rand::random())
    });
    if changed {
        log_limit(entry, upstream, "entry");
    }
}

fn log_limit(entry: &Entry, upstream: &Upstream, from: &'static str) {
    let rate = entry.with_load(&upstream.id, |load| load.rate_limit.rate());
    log::info!(
        event = "upstream.limited",
        upstream = upstream.id.as_str(),
        limit:% = rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string()),
        from = from,
        entries = entry.entry_count.get();
        "an upstream changed the limit on the requests of all entries"
    );
}

//! Limits the requests of this entry to cold upstreams.

use std::cell::RefCell;
use std::collections::HashMap;

use masticdock_core::ids::{ServiceId, UpstreamId};
use masticdock_core::serving::{
    ColdSlowdown, ColdStartPace, ColdStartProfile, ColdStartShare, DirectoryChange, Upstream,
    sharing_entries,
};
use masticdock_core::units::MonoMs;

use super::state::Entry;
use crate::clock;
use crate::metrics::metrics;

/// What this entry knows of the starts of upstreams.
#[derive(Debug, Default)]
pub(crate) struct ColdStarts {
    shares: RefCell<HashMap<UpstreamId, ColdStartShare>>,
    slowdowns: RefCell<HashMap<ServiceId, ColdSlowdown>>,
}

impl ColdStarts {
    fn with_share<T>(&self, id: &UpstreamId, change: impl FnOnce(&mut ColdStartShare) -> T) -> T {
        change(self.shares.borrow_mut().entry(id.clone()).or_default())
    }
}

/// Records starts of upstreams and how long their rows say that they stay cold.
pub(crate) fn record_changes(entry: &Entry, changes: &[DirectoryChange]) {
    for change in changes {
        match change {
            DirectoryChange::Joined(upstream) => {
                record_start(entry, upstream, "joined");
                record_row(entry, upstream);
            }
            DirectoryChange::Updated(upstream) => record_row(entry, upstream),
            DirectoryChange::Gone(id) => {
                entry.cold_starts.shares.borrow_mut().remove(id);
            }
            DirectoryChange::Leaving(_) | DirectoryChange::Lapsed(..) => {}
        }
    }
}

fn record_row(entry: &Entry, upstream: &Upstream) {
    let Some(left_ms) = upstream.cold_left_ms else {
        return;
    };
    let is_new = entry.cold_starts.with_share(&upstream.id, |share| {
        share.record_cold_left(left_ms, clock::now(), rand::random())
    });
    if is_new {
        log_cold(entry, upstream, "row", left_ms);
    }
}

/// Records that an upstream started or returned, for the reason `from`.
pub(crate) fn record_start(entry: &Entry, upstream: &Upstream, from: &'static str) {
    entry.cold_starts.with_share(&upstream.id, |share| {
        share.record_start(clock::now(), rand::random());
    });
    let profile = profile(entry, &upstream.service);
    log_cold(
        entry,
        upstream,
        from,
        profile.map_or(0, |profile| profile.duration_ms),
    );
}

/// Records a failed connection to an upstream, which may be starting again.
pub(crate) fn record_unreachable(entry: &Entry, upstream: &Upstream) {
    entry.cold_starts.with_share(&upstream.id, |share| {
        share.record_unreachable(clock::now());
    });
}

/// Records a response of an upstream. The first one after a failed connection shows its
/// return.
pub(crate) fn record_response(entry: &Entry, upstream: &Upstream) {
    let returned = entry.cold_starts.with_share(&upstream.id, |share| {
        share.record_response(clock::now(), rand::random())
    });
    if let Some(profile) = profile(entry, &upstream.service)
        && returned
    {
        log_cold(entry, upstream, "connection", profile.duration_ms);
    }
}

/// Returns when this entry may send the next request to an upstream that is cold, unless it
/// may do so now.
pub(crate) fn blocked_until(entry: &Entry, upstream: &Upstream, now: MonoMs) -> Option<MonoMs> {
    let pace = pace(entry, upstream)?;
    let shares = entry.cold_starts.shares.borrow();
    let until = shares.get(&upstream.id)?.blocked_until(&pace, now)?;
    metrics().cold_start_skips.inc();
    Some(until)
}

/// Claims a request to an upstream before its connection is acquired; returns false if this
/// entry may not send it now.
pub(crate) fn try_claim(entry: &Entry, upstream: &Upstream) -> bool {
    let Some(pace) = pace(entry, upstream) else {
        return true;
    };
    (entry.cold_starts).with_share(&upstream.id, |share| share.try_claim(&pace, clock::now()))
}

/// Returns whether a request that was claimed at `claimed_at` may be sent now.
pub(crate) fn may_send(entry: &Entry, upstream: &Upstream, claimed_at: MonoMs) -> bool {
    let Some(pace) = pace(entry, upstream) else {
        return true;
    };
    entry.cold_starts.with_share(&upstream.id, |share| {
        share.may_send(&pace, claimed_at, clock::now())
    })
}

/// Records the time to the first event at an upstream.
pub(crate) fn record_latency(
    entry: &Entry,
    upstream: &Upstream,
    first_event_ms: f64,
    predicted_ms: f64,
) {
    if !is_cold(entry, upstream, clock::now()) {
        return;
    }
    let mut slowdowns = entry.cold_starts.slowdowns.borrow_mut();
    let slowdown = slowdowns.entry(upstream.service.clone()).or_default();
    slowdown.record(first_event_ms, predicted_ms);
}

/// Returns the factor by which an upstream is slower because it is cold.
pub(crate) fn slowdown(entry: &Entry, upstream: &Upstream, now: MonoMs) -> f64 {
    if !is_cold(entry, upstream, now) {
        return 1.0;
    }
    let slowdowns = entry.cold_starts.slowdowns.borrow();
    let slowdown = slowdowns.get(&upstream.service).copied();
    slowdown.unwrap_or_default().factor()
}

/// Updates the number of cold upstreams in the metrics.
pub(crate) fn update_gauge(entry: &Entry) {
    let now = clock::now();
    let catalog = entry.catalog.borrow();
    let mut cold = 0;
    for upstream in catalog.directory.iter() {
        cold += i64::from(is_cold(entry, upstream, now));
    }
    metrics().cold_upstreams.set(cold);
}

fn is_cold(entry: &Entry, upstream: &Upstream, now: MonoMs) -> bool {
    let Some(profile) = profile(entry, &upstream.service) else {
        return false;
    };
    let shares = entry.cold_starts.shares.borrow();
    let share = shares.get(&upstream.id);
    share.is_some_and(|share| share.is_cold(profile.duration_ms, now))
}

fn profile(entry: &Entry, service: &ServiceId) -> Option<ColdStartProfile> {
    let configuration = entry.configuration()?;
    configuration.services.get(service)?.cold_start
}

/// Returns the pace of requests to an upstream, or `None` if it tolerates any.
fn pace(entry: &Entry, upstream: &Upstream) -> Option<ColdStartPace> {
    let profile = profile(entry, &upstream.service)?;
    let entries = entries_at(entry, upstream);
    let bounds = entry.settings.bounds.cold_start;
    Some(ColdStartPace::new(profile, bounds, entries))
}

/// Returns the number of entries among which the rate of an upstream is divided. The agent
/// of an engine counts the entries that it hears, this one among them once its report has
/// arrived; those of other agents have to do for an upstream without one.
fn entries_at(entry: &Entry, upstream: &Upstream) -> u32 {
    let known = entry.entry_count.get();
    let configuration = entry.configuration();
    let service = configuration
        .as_ref()
        .and_then(|configuration| configuration.services.get(&upstream.service));
    if service.is_none_or(|service| service.engine.is_none()) {
        return sharing_entries(known, entry.entry_count.is_reported());
    }
    let reports = entry.reports.borrow();
    let Some((report, reported_at)) = reports.get(&upstream.id) else {
        return sharing_entries(known, false);
    };
    let shares = entry.cold_starts.shares.borrow();
    let failed_at = (shares.get(&upstream.id)).and_then(ColdStartShare::failed_at);
    let counted = failed_at.is_none_or(|failed_at| *reported_at > failed_at);
    sharing_entries(known.max(report.entries), counted)
}

fn log_cold(entry: &Entry, upstream: &Upstream, from: &'static str, left_ms: u64) {
    let Some(profile) = profile(entry, &upstream.service) else {
        return;
    };
    log::info!(
        event = "upstream.cold",
        upstream = upstream.id.as_str(),
        from = from,
        left_ms = left_ms,
        tolerated:% = profile.rate,
        entries = entries_at(entry, upstream);
        "an upstream is cold; its requests are limited"
    );
}

//! Upstreams to which a request may be sent at the moment: by region and zone, and by what they
//! asked for in their answers.
//!
//! They are checked when an upstream is chosen, and again before the request is sent, since a
//! connection takes time to open. A request that outlasts a change of the configuration keeps to
//! the restrictions of both.

use std::collections::BTreeSet;
use std::rc::Rc;

use masticdock_adapter::{RequestedPause, Withdrawal};
use masticdock_core::ids::UpstreamId;
use masticdock_core::serving::{
    AllowedRegions, ClosedProcesses, Eligibility, Ineligible, PAUSE_MAX_MS, Upstream,
};

use super::request::Call;
use super::state::Entry;
use crate::clock;
use crate::tables::Catalog;

/// Returns what decides which upstreams may get a request.
pub(super) fn eligibility<'a>(
    entry: &'a Entry,
    catalog: &'a Catalog,
    closed: &'a ClosedProcesses,
    allowed: &'a AllowedRegions,
) -> Eligibility<'a> {
    Eligibility {
        allowed,
        regions: &entry.settings.regions,
        evacuated: &catalog.evacuated,
        closed,
    }
}

/// Returns the regions in which a request may be served by the configuration under which it
/// arrived and by the one in force.
pub(super) fn allowed_regions(entry: &Entry, call: &Call) -> AllowedRegions {
    let arrived = &call.allowed_regions;
    let current = entry.configuration();
    let Some(current) = current.filter(|current| !Rc::ptr_eq(current, &call.configuration)) else {
        return arrived.clone();
    };
    let key = call.head.api_key.as_deref();
    match current.allowed_regions(&call.host, call.path.path(), key) {
        Some(now) => arrived.intersection(&now),
        None => arrived.clone(),
    }
}

/// Checks, before a request is sent, whether its upstream may still get it.
pub(super) fn may_send(entry: &Entry, call: &Call, upstream: &Upstream) -> bool {
    let allowed = allowed_regions(entry, call);
    let (catalog, closed) = (entry.catalog.borrow(), entry.closed.borrow());
    let eligibility = eligibility(entry, &catalog, &closed, &allowed);
    let now = clock::now();
    let reason = match eligibility.check(upstream, now) {
        Err(reason) => reason.as_str(),
        // It may have left while the connection was opened.
        Ok(()) if !catalog.directory.is_serving(&upstream.id, now) => "upstream_gone",
        Ok(()) => return true,
    };
    log::info!(
        event = "attempt.ineligible",
        request_id = call.head.request_id.as_str(),
        upstream = upstream.id.as_str(),
        zone = upstream.zone.as_str(),
        reason = reason;
        "an upstream must no longer get a request; it is not sent"
    );
    false
}

/// Returns whether the service has an upstream that may get a request, now or after a pause,
/// apart from the `excluded` ones.
pub(super) fn has_upstream(entry: &Entry, call: &Call, excluded: &[UpstreamId]) -> bool {
    let allowed = allowed_regions(entry, call);
    let (catalog, closed) = (entry.catalog.borrow(), entry.closed.borrow());
    let eligibility = eligibility(entry, &catalog, &closed, &allowed);
    let now = clock::now();
    let mut serving = catalog.directory.serving(&call.service, now);
    serving.any(|upstream| {
        let checked = eligibility.check(upstream, now);
        !excluded.contains(&upstream.id) && matches!(checked, Ok(()) | Err(Ineligible::Paused(_)))
    })
}

/// Records what an upstream asks for in an answer: that it gets nothing more because it leaves,
/// or nothing for a while.
pub(super) fn record_answer(entry: &Entry, upstream: &Upstream, withdrawal: Withdrawal) {
    let now = clock::now();
    if withdrawal.leaving && entry.closed.borrow_mut().record_leaving(upstream, now) {
        entry.pools.close_idle(&upstream.id);
        log::info!(
            event = "upstream.announced_leaving",
            upstream = upstream.id.as_str(),
            started_at_ms = upstream.started_at_ms.unwrap_or(0);
            "an upstream said in an answer that it leaves; it gets nothing more"
        );
    }
    let Some(pause) = withdrawal.pause else {
        return;
    };
    let pause_ms = match pause {
        RequestedPause::Time(pause_ms) => Some(pause_ms),
        RequestedPause::Unreadable => None,
    };
    let mut closed = entry.closed.borrow_mut();
    let until = closed.record_pause(upstream, pause_ms, now, rand::random());
    if pause_ms.is_none_or(|pause_ms| pause_ms > PAUSE_MAX_MS) {
        log::warn!(
            event = "pause.odd",
            upstream = upstream.id.as_str(),
            used_ms = PAUSE_MAX_MS;
            "the pause that an upstream asks for cannot be read or is too long; the longest one is used"
        );
    }
    log::info!(
        event = "upstream.paused",
        upstream = upstream.id.as_str(),
        pause_ms = until.since_ms(now);
        "a rejecting upstream asked for a pause"
    );
}

/// Logs the regions that a new configuration names and the settings do not.
pub(super) fn check_restrictions(entry: &Entry) {
    let Some(configuration) = entry.configuration() else {
        return;
    };
    let version = configuration.version;
    if entry.restrictions_checked.replace(version) == version {
        return;
    }
    let mut unknown = BTreeSet::new();
    for (owner, allowed) in configuration.region_restrictions() {
        let AllowedRegions::Only(regions) = allowed else {
            continue;
        };
        for region in regions {
            let is_known = entry.settings.regions.values().any(|known| known == region);
            if !is_known && unknown.insert(region) {
                log::warn!(
                    event = "region.unknown",
                    region = region.as_str(),
                    owner = owner,
                    configuration = version;
                    "a restriction names a region without a zone; no upstream is there"
                );
            }
        }
    }
}

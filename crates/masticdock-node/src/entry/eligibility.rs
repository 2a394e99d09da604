//! Regions and zones in which a request may be served at the moment.
//!
//! They are checked when an upstream is chosen, and again before the request is sent, since a
//! connection takes time to open. A request that outlasts a change of the configuration keeps to
//! the restrictions of both.

use std::collections::BTreeSet;
use std::rc::Rc;

use masticdock_core::ids::UpstreamId;
use masticdock_core::serving::{AllowedRegions, Eligibility, Upstream};

use super::request::Call;
use super::state::Entry;
use crate::tables::Catalog;

/// Returns what decides which upstreams may get a request.
pub(super) fn eligibility<'a>(
    entry: &'a Entry,
    catalog: &'a Catalog,
    allowed: &'a AllowedRegions,
) -> Eligibility<'a> {
    Eligibility {
        allowed,
        regions: &entry.settings.regions,
        evacuated: &catalog.evacuated,
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
    let catalog = entry.catalog.borrow();
    let Err(reason) = eligibility(entry, &catalog, &allowed).check(&upstream.zone) else {
        return true;
    };
    log::info!(
        event = "attempt.ineligible",
        request_id = call.head.request_id.as_str(),
        upstream = upstream.id.as_str(),
        zone = upstream.zone.as_str(),
        reason = reason.as_str();
        "an upstream must no longer get a request; it is not sent"
    );
    false
}

/// Returns whether the service has an upstream that may get a request, apart from the
/// `excluded` ones.
pub(super) fn has_upstream(entry: &Entry, call: &Call, excluded: &[UpstreamId]) -> bool {
    let allowed = allowed_regions(entry, call);
    let catalog = entry.catalog.borrow();
    let eligibility = eligibility(entry, &catalog, &allowed);
    let mut serving = catalog.directory.serving(&call.service);
    serving.any(|upstream| {
        !excluded.contains(&upstream.id) && eligibility.check(&upstream.zone).is_ok()
    })
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

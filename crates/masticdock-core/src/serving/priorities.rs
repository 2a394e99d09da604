//! Priorities of the requests for each service.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::ServiceId;

use super::configuration::Route;

/// Returns the services whose routes have different priorities.
pub(super) fn prioritized_services(routes: &[Route]) -> BTreeSet<ServiceId> {
    let mut priorities: BTreeMap<&ServiceId, BTreeSet<u8>> = BTreeMap::new();
    for route in routes {
        for backend in &route.backends {
            let of_service = priorities.entry(&backend.service).or_default();
            of_service.insert(route.priority);
        }
    }
    let mixed = priorities.into_iter().filter(|(_, own)| own.len() > 1);
    mixed.map(|(service, _)| service.clone()).collect()
}

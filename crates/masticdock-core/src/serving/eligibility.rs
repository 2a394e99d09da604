//! Upstreams that a request may be sent to, by their availability zone and by what they asked
//! for in their answers.
//!
//! Load pattern: a route or workspace has to be served in some regions only, and its upstreams
//! there are full while others elsewhere are idle. Placement sees the allowed upstreams only, so
//! that the request is rejected at once instead of leaving its regions.
//!
//! Failure: a zone is evacuated while the load of the others leaves no room. Nothing new is
//! sent there, and what the others cannot take is rejected at once. The rows that evacuate
//! zones vanish for some seconds when the store comes back from a copy that is older; these
//! zones stay evacuated until operators have had time to write the rows again.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{RegionId, ZoneId};
use crate::units::MonoMs;

use super::closed_processes::ClosedProcesses;
use super::configuration::{Configuration, RouteMatch};
use super::directory::Upstream;

/// Time after the return of the store from a copy for which a zone stays evacuated without a
/// row, in milliseconds; longer than operators take to write lost rows again.
const REWRITE_MS: u64 = 4_000;

/// Regions in which requests may be served.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum AllowedRegions {
    /// No region is excluded.
    #[default]
    Any,
    /// Only these regions; none if the set is empty.
    Only(BTreeSet<RegionId>),
}

impl AllowedRegions {
    /// Returns the restriction that a list stands for; an empty list is none.
    #[must_use]
    pub fn listed(regions: BTreeSet<RegionId>) -> Self {
        if regions.is_empty() {
            Self::Any
        } else {
            Self::Only(regions)
        }
    }

    /// Returns a restriction that no region meets.
    #[must_use]
    pub const fn nowhere() -> Self {
        Self::Only(BTreeSet::new())
    }

    /// Returns the regions that both restrictions allow.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Any, restriction) | (restriction, Self::Any) => restriction.clone(),
            (Self::Only(own), Self::Only(others)) => {
                Self::Only(own.intersection(others).cloned().collect())
            }
        }
    }

    /// Returns whether an upstream may be used whose region is `region`, or unknown.
    #[must_use]
    pub fn allows(&self, region: Option<&RegionId>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(regions) => region.is_some_and(|region| regions.contains(region)),
        }
    }
}

impl Configuration {
    /// Returns the regions in which a request may be served: those that its route and its
    /// workspace both allow; `None` if the configuration does not allow the request.
    #[must_use]
    pub fn allowed_regions(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Option<AllowedRegions> {
        let RouteMatch::Route { route, workspace } = self.find(host, path, key) else {
            return None;
        };
        let of_route = &route.allowed_regions;
        Some(workspace.map_or_else(
            || of_route.clone(),
            |workspace| of_route.intersection(&workspace.allowed_regions),
        ))
    }

    /// Returns the restrictions to regions with the names of their routes and workspaces.
    pub fn region_restrictions(&self) -> impl Iterator<Item = (&str, &AllowedRegions)> {
        let routes = self.routes.values().flatten();
        let of_routes = routes.map(|route| (route.name.as_str(), &route.allowed_regions));
        let workspaces = self.workspaces.values();
        of_routes
            .chain(workspaces.map(|workspace| (workspace.id.as_str(), &workspace.allowed_regions)))
    }
}

/// Why an upstream must not get a request, the most lasting reason first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ineligible {
    /// It is outside the allowed regions.
    Region,
    /// Its zone is evacuated.
    Evacuated,
    /// It said in an answer that it leaves.
    Leaving,
    /// It asked in an answer for a pause until the given time.
    Paused(MonoMs),
}

impl Ineligible {
    /// Returns the reason as it is logged.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Region => "region_not_allowed",
            Self::Evacuated => "zone_evacuated",
            Self::Leaving => "upstream_leaving",
            Self::Paused(_) => "upstream_paused",
        }
    }

    /// Returns whether only operators can change it.
    #[must_use]
    pub const fn is_by_operators(self) -> bool {
        matches!(self, Self::Region | Self::Evacuated)
    }
}

/// What decides whether upstreams may get a request.
#[derive(Debug, Clone, Copy)]
pub struct Eligibility<'a> {
    /// Regions in which the request may be served.
    pub allowed: &'a AllowedRegions,
    /// Region of each zone.
    pub regions: &'a BTreeMap<ZoneId, RegionId>,
    /// Zones that are evacuated now.
    pub evacuated: &'a EvacuatedZones,
    /// Processes that want no requests of this entry.
    pub closed: &'a ClosedProcesses,
}

impl Eligibility<'_> {
    /// Checks whether an upstream may get the request.
    ///
    /// # Errors
    ///
    /// Returns the reason if it may not.
    pub fn check(&self, upstream: &Upstream, now: MonoMs) -> Result<(), Ineligible> {
        let zone = &upstream.zone;
        if !self.allowed.allows(self.regions.get(zone)) {
            return Err(Ineligible::Region);
        }
        if self.evacuated.contains(zone) {
            return Err(Ineligible::Evacuated);
        }
        self.closed.check(upstream, now)
    }
}

/// Change of the evacuated zones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The zone is evacuated from now on.
    Evacuated(ZoneId),
    /// The row is missing since the store came back from a copy; the zone stays evacuated
    /// until the given time unless the row is written again.
    Held(ZoneId, MonoMs),
    /// The zone may be used again.
    Ended(ZoneId),
}

/// Zones whose upstreams get nothing new.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuatedZones {
    /// Evacuated zones; those whose row is missing, with the time until which they stay so.
    zones: BTreeMap<ZoneId, Option<MonoMs>>,
}

impl EvacuatedZones {
    /// Returns whether a zone is evacuated.
    #[must_use]
    pub fn contains(&self, zone: &ZoneId) -> bool {
        self.zones.contains_key(zone)
    }

    /// Returns the evacuated zones.
    pub fn iter(&self) -> impl Iterator<Item = &ZoneId> {
        self.zones.keys()
    }

    /// Records the row that evacuates a zone.
    pub fn put(&mut self, zone: ZoneId) -> Option<EvacuationChange> {
        let previous = self.zones.insert(zone.clone(), None);
        previous
            .is_none()
            .then_some(EvacuationChange::Evacuated(zone))
    }

    /// Records that the row of a zone was removed.
    pub fn remove(&mut self, zone: &ZoneId) -> Option<EvacuationChange> {
        self.zones.remove(zone)?;
        Some(EvacuationChange::Ended(zone.clone()))
    }

    /// Replaces the zones by those whose rows are in the table. A zone whose row is missing in
    /// the table of a store that was restored stays evacuated for a while.
    pub fn replace(
        &mut self,
        listed: &BTreeSet<ZoneId>,
        is_restored: bool,
        now: MonoMs,
    ) -> Vec<EvacuationChange> {
        let mut changes = Vec::new();
        let missing: Vec<ZoneId> = self
            .zones
            .keys()
            .filter(|zone| !listed.contains(*zone))
            .cloned()
            .collect();
        for zone in missing {
            let held_until = self.zones.get(&zone).copied().flatten();
            if held_until.is_some_and(|until| now < until) {
                continue;
            }
            if is_restored {
                let until = now.plus_ms(REWRITE_MS);
                self.zones.insert(zone.clone(), Some(until));
                changes.push(EvacuationChange::Held(zone, until));
                continue;
            }
            changes.extend(self.remove(&zone));
        }
        for zone in listed {
            changes.extend(self.put(zone.clone()));
        }
        changes
    }

    /// Ends the evacuations whose rows were not written again in time.
    pub fn expire(&mut self, now: MonoMs) -> Vec<EvacuationChange> {
        let mut changes = Vec::new();
        self.zones.retain(|zone, held_until| {
            let is_over = held_until.is_some_and(|until| until <= now);
            if is_over {
                changes.push(EvacuationChange::Ended(zone.clone()));
            }
            !is_over
        });
        changes
    }
}

//! Zones that operators evacuate, as the operators' table last had them.

use std::collections::BTreeSet;

use masticdock_core::ids::ZoneId;
use masticdock_core::serving::EvacuationChange;

use super::Catalog;
use crate::clock;
use crate::metrics::metrics;

/// Zone that a row names, and whether the row exists.
pub(super) type EvacuationRow = (ZoneId, bool);

impl Catalog {
    /// Replaces the evacuated zones by those of a snapshot.
    pub(super) fn replace_evacuations(&mut self, rows: Vec<EvacuationRow>, is_restored: bool) {
        let existing = rows.into_iter().filter(|(_, exists)| *exists);
        let listed: BTreeSet<ZoneId> = existing.map(|(zone, _)| zone).collect();
        let changes = self.evacuated.replace(&listed, is_restored, clock::now());
        report(&changes);
    }

    /// Applies rows that were written or removed.
    pub(super) fn apply_evacuations(&mut self, rows: Vec<EvacuationRow>) {
        for (zone, exists) in rows {
            let change = if exists {
                self.evacuated.put(zone)
            } else {
                self.evacuated.remove(&zone)
            };
            report(change.as_slice());
        }
    }

    /// Ends the evacuations whose rows were lost and not written again.
    pub(crate) fn expire_evacuations(&mut self) {
        report(&self.evacuated.expire(clock::now()));
    }
}

/// Logs changes and updates the metric.
fn report(changes: &[EvacuationChange]) {
    let gauge = |zone: &ZoneId, evacuated| {
        let zones = &metrics().evacuated_zones;
        zones.with_label_values(&[zone.as_str()]).set(evacuated);
    };
    for change in changes {
        match change {
            EvacuationChange::Evacuated(zone) => {
                gauge(zone, 1);
                log::warn!(
                    event = "zone.evacuated",
                    zone = zone.as_str();
                    "a zone is evacuated; its upstreams get no new requests"
                );
            }
            EvacuationChange::Held(zone, until) => log::warn!(
                event = "zone.held",
                zone = zone.as_str(),
                until_ms = until.0;
                "the row that evacuates a zone is missing after the store came back from a copy; waiting for it to be written again"
            ),
            EvacuationChange::Ended(zone) => {
                gauge(zone, 0);
                log::info!(
                    event = "zone.returned",
                    zone = zone.as_str();
                    "a zone is no longer evacuated"
                );
            }
        }
    }
}

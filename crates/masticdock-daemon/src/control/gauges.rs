//! Gauges of the control thread.

use masticdock_core::membership::Liveness;
use prometheus::{IntGauge, IntGaugeVec, Opts, Registry};

use super::Snapshot;

/// Gauges that are set from each published snapshot.
pub(super) struct ControlGauges {
    revision: IntGauge,
    members: IntGaugeVec,
    partitioned_region_ids: IntGauge,
    leaving: IntGauge,
}

const fn liveness_label(liveness: Liveness) -> &'static str {
    match liveness {
        Liveness::Alive => "alive",
        Liveness::Suspect => "suspect",
        Liveness::Dead => "dead",
        Liveness::Left => "left",
    }
}

const LIVENESS_VALUES: [Liveness; 4] = [
    Liveness::Alive,
    Liveness::Suspect,
    Liveness::Dead,
    Liveness::Left,
];

impl ControlGauges {
    pub(super) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let gauges = Self {
            revision: IntGauge::new(
                "masticdock_config_revision",
                "Configuration revision in force; 0 before one was adopted.",
            )?,
            members: IntGaugeVec::new(
                Opts::new("masticdock_members", "Members by liveness."),
                &["liveness"],
            )?,
            partitioned_region_ids: IntGauge::new(
                "masticdock_cut_regions",
                "Regions marked as cut.",
            )?,
            leaving: IntGauge::new(
                "masticdock_leaving",
                "1 when this process takes no new work.",
            )?,
        };
        registry.register(Box::new(gauges.revision.clone()))?;
        registry.register(Box::new(gauges.members.clone()))?;
        registry.register(Box::new(gauges.partitioned_region_ids.clone()))?;
        registry.register(Box::new(gauges.leaving.clone()))?;
        Ok(gauges)
    }

    pub(super) fn set(&self, snapshot: &Snapshot) {
        let gauge_value = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        let revision = snapshot.config.revision().0;
        self.revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
        self.partitioned_region_ids
            .set(gauge_value(snapshot.partitioned_region_ids.len()));
        self.leaving.set(i64::from(snapshot.leaving));
        for liveness in LIVENESS_VALUES {
            let members = snapshot.members.iter();
            let count = members.filter(|m| m.liveness == liveness).count();
            let members = self.members.with_label_values(&[liveness_label(liveness)]);
            members.set(gauge_value(count));
        }
    }
}

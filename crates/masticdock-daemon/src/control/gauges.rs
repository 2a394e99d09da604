//! Metrics of the control thread.

use masticdock_core::membership::Liveness;
use prometheus::{IntGauge, IntGaugeVec, Opts, Registry};

use super::Snapshot;

/// Gauges that follow the snapshots.
pub(super) struct ControlGauges {
    revision: IntGauge,
    members: IntGaugeVec,
    cut_regions: IntGauge,
    leaving: IntGauge,
}

const fn label(liveness: Liveness) -> &'static str {
    match liveness {
        Liveness::Alive => "alive",
        Liveness::Suspect => "suspect",
        Liveness::Dead => "dead",
        Liveness::Left => "left",
    }
}

const LIVENESS: [Liveness; 4] = [
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
            cut_regions: IntGauge::new("masticdock_cut_regions", "Regions marked as cut.")?,
            leaving: IntGauge::new(
                "masticdock_leaving",
                "1 when this process takes no new work.",
            )?,
        };
        registry.register(Box::new(gauges.revision.clone()))?;
        registry.register(Box::new(gauges.members.clone()))?;
        registry.register(Box::new(gauges.cut_regions.clone()))?;
        registry.register(Box::new(gauges.leaving.clone()))?;
        Ok(gauges)
    }

    pub(super) fn set(&self, snapshot: &Snapshot) {
        let gauge = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        let revision = snapshot.config.revision().0;
        self.revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
        self.cut_regions.set(gauge(snapshot.cut_regions.len()));
        self.leaving.set(i64::from(snapshot.leaving));
        for liveness in LIVENESS {
            let members = snapshot.members.iter();
            let count = members.filter(|m| m.liveness == liveness).count();
            let members = self.members.with_label_values(&[label(liveness)]);
            members.set(gauge(count));
        }
    }
}

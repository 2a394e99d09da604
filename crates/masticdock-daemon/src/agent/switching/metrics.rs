//! Metrics of switching.

use masticdock_core::membership::Phase;
use prometheus::{IntCounter, IntGaugeVec, Opts, Registry};

/// Counters and gauges of one agent.
#[derive(Debug, Clone)]
pub(super) struct SwitchingMetrics {
    phase: IntGaugeVec,
    pub(super) switches: IntCounter,
    pub(super) orders: IntCounter,
    pub(super) orders_withheld: IntCounter,
    pub(super) failures: IntCounter,
    pub(super) crashes: IntCounter,
    pub(super) slots_lost: IntCounter,
}

const PHASES: [(Phase, &str); 7] = [
    (Phase::Idle, "idle"),
    (Phase::Fetching, "fetching"),
    (Phase::Verified, "verified"),
    (Phase::Draining, "draining"),
    (Phase::Loading, "loading"),
    (Phase::Serving, "serving"),
    (Phase::Failed, "failed"),
];

impl SwitchingMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails if a name is already registered.
    pub(super) fn register(registry: &Registry) -> prometheus::Result<Self> {
        let counter = |name: &str, help: &str| -> prometheus::Result<IntCounter> {
            let counter = IntCounter::new(format!("masticdock_switch_{name}_total"), help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let phase = IntGaugeVec::new(
            Opts::new(
                "masticdock_switch_phase",
                "1 for the state of this VM's chart, 0 for the others",
            ),
            &["phase"],
        )?;
        registry.register(Box::new(phase.clone()))?;
        Ok(Self {
            phase,
            switches: counter("switches", "Switches to a version that ended in service")?,
            orders: counter("orders", "Load orders decided on")?,
            orders_withheld: counter(
                "orders_withheld",
                "Load orders withheld because the lease had ended",
            )?,
            failures: counter("failures", "Versions that failed on this VM")?,
            crashes: counter("engine_crashes", "Times the engine lost its version")?,
            slots_lost: counter("slots_lost", "Slot leases that ended before the order")?,
        })
    }

    pub(super) fn set_phase(&self, current: Phase) {
        for (phase, name) in PHASES {
            self.phase
                .with_label_values(&[name])
                .set(i64::from(phase == current));
        }
    }
}

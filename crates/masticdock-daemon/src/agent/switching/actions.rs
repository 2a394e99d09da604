//! Actions of the state chart, carried out by the driver.

use masticdock_core::event;
use masticdock_core::switch::{SwitchAction, SwitchEvent};
use masticdock_core::units::MonoMs;
use masticdock_platform::{LoadOrder, LoadOrderAdapter};

use super::driver::{Driver, Failure, Goal, OrderState, Purpose};
use super::message::{Command, ExpiringOrder};
use super::target::WeightsRef;
use crate::event_log::log_event;

/// Time after which a failed restore of the lost version is retried.
const RESTORE_RETRY_MS: u64 = 10_000;

/// Period after a switch in which a crash counts against the version.
///
/// Later crashes have other causes; the fleet sees dozens of them a day.
const CRASH_PROBATION_MS: u64 = 600_000;

impl Driver {
    /// Passes an event to the state machine and carries out the resulting actions.
    pub(super) fn handle_event(&mut self, event: SwitchEvent, now: MonoMs) {
        for action in self.machine.handle(event, now) {
            self.perform(action, now);
        }
    }

    fn perform(&mut self, action: SwitchAction, now: MonoMs) {
        match action {
            SwitchAction::StartFetch => self.start_fetch(),
            SwitchAction::StartRestore => self.start_restore(),
            SwitchAction::DropCopies => self.drop_copies(),
            SwitchAction::CloseGate => self.set_gate_open(false),
            SwitchAction::OpenGate => self.set_gate_open(true),
            SwitchAction::OrderLoad => self.order_load(now),
            SwitchAction::ReleaseSlot => self.release_slot(),
            SwitchAction::ReportFailure => self.report_failure(now),
            SwitchAction::ReportCrash => self.report_crash(now),
        }
    }

    fn start_fetch(&mut self) {
        self.goal = self.next_goal.take();
        if let Some(goal) = &self.goal {
            let version = &goal.target.version;
            log_event!(
                event::WEIGHTS_FETCHING,
                "version {version} is assigned to this VM"
            );
        }
    }

    fn start_restore(&mut self) {
        let Some(target) = self.lost.clone() else {
            return;
        };
        let assigned_then = self.assigned_target().cloned();
        self.goal = Some(Goal {
            target,
            purpose: Purpose::Restore(assigned_then),
        });
    }

    fn drop_copies(&mut self) {
        self.goal = None;
        self.requested_copies.clear();
        (self.transfer.set_wanted)(Vec::new());
    }

    /// Opens or closes the gate immediately, so that the next actions can rely on it.
    pub(super) fn set_gate_open(&mut self, gate_open: bool) {
        self.gate_open = gate_open;
        self.sync_gate();
    }

    fn release_slot(&mut self) {
        let permit = self.permit.take();
        if permit.is_some_and(|permit| permit.lease.is_some()) {
            self.commands.push(Command::Release);
        }
    }

    fn order_load(&mut self, now: MonoMs) {
        self.order_outcome_unknown = false;
        self.metrics.orders.inc();
        self.send_order(now);
    }

    /// Hands the order to the worker thread, which checks the lease again.
    pub(super) fn send_order(&mut self, now: MonoMs) {
        let (Some(order), Some(permit)) = (self.load_order(), &self.permit) else {
            self.order = OrderState::Retry(now);
            return;
        };
        let valid_until = permit.valid_until;
        self.commands
            .push(Command::Order(ExpiringOrder { order, valid_until }));
        self.order = OrderState::Sending;
    }

    fn load_order(&self) -> Option<LoadOrder> {
        let goal = self.goal.as_ref()?;
        let permit = self.permit.as_ref()?;
        let manifests = self.manifests.cached(&goal.target)?;
        let (base, others) = manifests.split_first()?;
        let mut adapters = Vec::with_capacity(others.len());
        for ((name, weights), manifest) in goal.target.adapters.iter().zip(others) {
            adapters.push(LoadOrderAdapter {
                name: name.clone(),
                weights_url: self.weights_url(weights),
                root: manifest.root,
                size_bytes: manifest.total_bytes,
            });
        }
        Some(LoadOrder {
            fence: permit.fence,
            version: goal.target.version.clone(),
            weights_url: self.weights_url(&goal.target.weights),
            root: base.root,
            size_bytes: base.total_bytes,
            adapters,
        })
    }

    fn weights_url(&self, weights: &WeightsRef) -> String {
        format!("{}/weights/{}", self.config.weights_url, weights.manifest)
    }

    fn report_failure(&mut self, now: MonoMs) {
        let Some(goal) = &self.goal else {
            return;
        };
        self.metrics.failures.inc();
        log_event!(
            event::VERSION_FAILED,
            "version {}: {}",
            goal.target.version,
            self.failure_reason
        );
        match &goal.purpose {
            Purpose::Switch(assigned) => {
                self.failure = Some(Failure {
                    rollout: assigned.rollout.name.clone(),
                    target: goal.target.clone(),
                });
            }
            Purpose::Restore(_) => self.restore_retry_at = now.plus_ms(RESTORE_RETRY_MS),
        }
    }

    fn report_crash(&mut self, now: MonoMs) {
        let on_probation = now.since_ms(self.serving_since) < CRASH_PROBATION_MS;
        let Some(assigned) = self.assigned_or_halted() else {
            return;
        };
        if !on_probation || self.lost.as_ref() != Some(&assigned.target) {
            return;
        }
        self.failure = Some(Failure {
            rollout: assigned.rollout.name.clone(),
            target: assigned.target.clone(),
        });
    }
}

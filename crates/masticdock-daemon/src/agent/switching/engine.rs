//! Driver steps for engine status reports and load orders.

use masticdock_core::event;
use masticdock_core::membership::Phase;
use masticdock_core::switch::SwitchEvent;
use masticdock_core::units::MonoMs;
use masticdock_platform::{EngineStatus, PlatformError};

use super::driver::{Driver, OrderState, Purpose};
use super::engine_view::{EngineChange, LoadStatus};
use super::message::OrderResult;
use super::target::Target;
use crate::event_log::log_event;

/// Time after which an order that did not reach the engine is retried.
const ORDER_RETRY_MS: u64 = 500;

/// Time after which a VM whose order was rejected requests another fencing number.
const REJECTED_RETRY_MS: u64 = 2_000;

impl Driver {
    pub(super) fn on_order_result(&mut self, result: OrderResult, now: MonoMs) {
        match result {
            OrderResult::Accepted => {
                self.mark_lost();
                self.engine.invalidate();
                self.order = OrderState::AwaitingLoad;
                if let Some(goal) = &self.goal {
                    let version = &goal.target.version;
                    log_event!(
                        event::LOAD_ORDERED,
                        "the engine is loading version {version}"
                    );
                }
            }
            OrderResult::Unknown(message) => {
                log::debug!("outcome of the load order is unknown, retrying: {message}");
                self.mark_lost();
                self.engine.invalidate();
                self.order_outcome_unknown = true;
                self.order = OrderState::Retry(now.plus_ms(ORDER_RETRY_MS));
            }
            OrderResult::NotSent(message) => {
                log::debug!("load order not sent, retrying: {message}");
                self.order = OrderState::Retry(now.plus_ms(ORDER_RETRY_MS));
            }
            OrderResult::Withheld => {
                self.metrics.orders_withheld.inc();
                log_event!(
                    event::ORDER_WITHHELD,
                    "the lease ended before the order was sent"
                );
                self.abandon_order(now);
            }
            OrderResult::RejectedByEngine(message) => {
                log_event!(event::ORDER_REJECTED, "{message}");
                self.last_fence = None;
                self.claim_retry_at = now.plus_ms(REJECTED_RETRY_MS);
                self.abandon_order(now);
            }
        }
    }

    /// Abandons an order, unless the engine may have accepted an earlier attempt.
    fn abandon_order(&mut self, now: MonoMs) {
        if self.order_outcome_unknown {
            self.order = OrderState::AwaitingLoad;
            return;
        }
        self.order = OrderState::None;
        self.handle_event(SwitchEvent::OrderRefused, now);
    }

    /// Retries an order that did not reach the engine.
    pub(super) fn retry_order(&mut self, now: MonoMs) {
        let OrderState::Retry(at) = self.order else {
            return;
        };
        if self.machine.phase() != Phase::Loading || now < at {
            return;
        }
        let valid = self.permit.as_ref().is_some_and(|it| now < it.valid_until);
        if !valid {
            log_event!(
                event::ORDER_WITHHELD,
                "the lease ended before the order was sent"
            );
            return self.abandon_order(now);
        }
        self.send_order(now);
    }

    /// Records that the engine no longer holds its version.
    fn mark_lost(&mut self) {
        if let Some(held) = self.held.take() {
            self.lost = Some(held);
        }
    }

    pub(super) fn on_engine_status(
        &mut self,
        report: Result<EngineStatus, PlatformError>,
        now: MonoMs,
    ) {
        if self.engine.record(report) == EngineChange::Restarted {
            self.on_engine_restart(now);
        }
        match self.machine.phase() {
            Phase::Loading => self.check_load(now),
            _ if self.held.is_some() => self.check_held(now),
            _ => self.check_lost(now),
        }
    }

    fn on_engine_restart(&mut self, now: MonoMs) {
        if self.machine.phase() != Phase::Loading {
            if self.held.is_some() {
                self.on_crash("the engine restarted or refuses connections", now);
            }
            return;
        }
        self.mark_lost();
        if self.order == OrderState::AwaitingLoad {
            "the engine stopped during the load".clone_into(&mut self.failure_reason);
            self.handle_event(SwitchEvent::EngineCrashed, now);
        }
    }

    fn on_crash(&mut self, cause: &str, now: MonoMs) {
        self.mark_lost();
        self.metrics.crashes.inc();
        if let Some(lost) = &self.lost {
            log_event!(
                event::ENGINE_LOST_VERSION,
                "the engine lost version {}: {cause}",
                lost.version
            );
        }
        self.handle_event(SwitchEvent::EngineCrashed, now);
    }

    fn load_status(&self, target: &Target) -> Option<LoadStatus> {
        let manifests = self.manifests.cached(target)?;
        self.engine.load_status(target, &manifests)
    }

    /// Checks whether a load in progress has ended.
    fn check_load(&mut self, now: MonoMs) {
        let Some(goal) = self.goal.clone() else {
            return;
        };
        let Some(load_status) = self.load_status(&goal.target) else {
            return;
        };
        if matches!(self.order, OrderState::Retry(_)) && self.order_outcome_unknown {
            let accepted = matches!(load_status, LoadStatus::Loaded | LoadStatus::Loading);
            if accepted {
                self.order = OrderState::AwaitingLoad;
            }
        }
        if self.order != OrderState::AwaitingLoad {
            return;
        }
        match load_status {
            LoadStatus::Loaded => self.on_loaded(&goal.target, &goal.purpose, now),
            LoadStatus::Corrupt(reason) | LoadStatus::Failed(reason) => {
                self.failure_reason = reason;
                self.handle_event(SwitchEvent::LoadFailed, now);
            }
            LoadStatus::NotLoaded | LoadStatus::Loading => {}
        }
    }

    fn on_loaded(&mut self, target: &Target, purpose: &Purpose, now: MonoMs) {
        match purpose {
            Purpose::Switch(assigned) => {
                log_event!(
                    event::VERSION_SERVING,
                    "version {} of rollout {}",
                    target.version,
                    assigned.rollout.name
                );
                self.metrics.switches.inc();
                self.failure = None;
            }
            Purpose::Restore(_) => {
                log_event!(event::VERSION_RESTORED, "version {}", target.version);
            }
        }
        for weights in target.all_weights() {
            (self.transfer.release)(&weights.manifest);
        }
        self.order = OrderState::None;
        self.lost = None;
        self.held = Some(target.clone());
        self.serving_since = now;
        self.handle_event(SwitchEvent::EngineReady, now);
    }

    /// Checks that the engine still holds the version that it serves.
    fn check_held(&mut self, now: MonoMs) {
        let Some(held) = self.held.clone() else {
            return;
        };
        let lost = match self.load_status(&held) {
            None | Some(LoadStatus::Loaded) => return,
            Some(LoadStatus::NotLoaded) => "the engine reports another version or none".to_owned(),
            Some(LoadStatus::Loading) => "the engine started an unexpected load".to_owned(),
            Some(LoadStatus::Corrupt(reason) | LoadStatus::Failed(reason)) => reason,
        };
        self.on_crash(&lost, now);
    }

    /// Resumes the lost version if the engine holds it again; otherwise requests a restore.
    fn check_lost(&mut self, now: MonoMs) {
        let Some(lost) = self.lost.clone() else {
            return;
        };
        let phase = self.machine.phase();
        match self.load_status(&lost) {
            Some(LoadStatus::Loaded) => self.on_recovered(lost, now),
            Some(LoadStatus::Loading) => {}
            _ if matches!(phase, Phase::Idle | Phase::Failed) && now >= self.restore_retry_at => {
                self.handle_event(SwitchEvent::RestoreNeeded, now);
            }
            _ => {}
        }
    }

    fn on_recovered(&mut self, target: Target, now: MonoMs) {
        log_event!(event::VERSION_RESTORED, "version {}", target.version);
        self.lost = None;
        self.held = Some(target);
        let restoring = self
            .goal
            .as_ref()
            .is_some_and(|goal| matches!(goal.purpose, Purpose::Restore(_)));
        match self.machine.phase() {
            Phase::Idle | Phase::Failed => self.handle_event(SwitchEvent::EngineReady, now),
            _ if restoring => self.handle_event(SwitchEvent::WantHeld, now),
            _ => self.set_gate_open(true),
        }
    }
}

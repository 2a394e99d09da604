//! Steps of the driver that follow the engine and its orders.

use masticdock_core::event;
use masticdock_core::membership::Phase;
use masticdock_core::switch::SwitchEvent;
use masticdock_core::units::MonoMs;
use masticdock_platform::{EngineStatus, PlatformError};

use super::driver::{Driver, OrderState, Purpose};
use super::engine_view::{EngineChange, Holding};
use super::message::OrderResult;
use super::target::Target;
use crate::event_log::log_event;

/// Time after which an order that did not reach the engine is sent again.
const ORDER_RETRY_MS: u64 = 500;

/// Time after which a refused VM asks for another fencing number.
const REFUSED_RETRY_MS: u64 = 2_000;

impl Driver {
    pub(super) fn on_ordered(&mut self, result: OrderResult, now: MonoMs) {
        match result {
            OrderResult::Taken => {
                self.lose_held();
                self.engine.forget();
                self.order = OrderState::Out;
                if let Some(goal) = &self.goal {
                    let version = &goal.target.version;
                    log_event!(event::LOAD_ORDERED, "the engine loads version {version}");
                }
            }
            OrderResult::Unknown(message) => {
                log::debug!("the load order may have been lost: {message}");
                self.lose_held();
                self.engine.forget();
                self.order_uncertain = true;
                self.order = OrderState::Retry(now.plus_ms(ORDER_RETRY_MS));
            }
            OrderResult::NotSent(message) => {
                log::debug!("the load order was not sent: {message}");
                self.order = OrderState::Retry(now.plus_ms(ORDER_RETRY_MS));
            }
            OrderResult::Withheld => {
                self.metrics.orders_withheld.inc();
                log_event!(event::ORDER_WITHHELD, "the lease ended before the order");
                self.end_order(now);
            }
            OrderResult::Refused(message) => {
                log_event!(event::ORDER_REJECTED, "{message}");
                self.last_fence = None;
                self.claim_again_at = now.plus_ms(REFUSED_RETRY_MS);
                self.end_order(now);
            }
        }
    }

    /// Gives an order up, unless the engine may have taken it earlier.
    fn end_order(&mut self, now: MonoMs) {
        if self.order_uncertain {
            self.order = OrderState::Out;
            return;
        }
        self.order = OrderState::None;
        self.feed(SwitchEvent::OrderRefused, now);
    }

    /// Sends an order again that did not reach the engine.
    pub(super) fn follow_order(&mut self, now: MonoMs) {
        let OrderState::Retry(at) = self.order else {
            return;
        };
        if self.machine.phase() != Phase::Loading || now < at {
            return;
        }
        let valid = self.permit.as_ref().is_some_and(|it| now < it.valid_until);
        if !valid {
            log_event!(event::ORDER_WITHHELD, "the lease ended before the order");
            return self.end_order(now);
        }
        self.send_order(now);
    }

    /// Notes that the engine no longer holds what it held.
    fn lose_held(&mut self) {
        if let Some(held) = self.held.take() {
            self.lost = Some(held);
        }
    }

    pub(super) fn on_engine(&mut self, report: Result<EngineStatus, PlatformError>, now: MonoMs) {
        if self.engine.take(report) == EngineChange::Restarted {
            self.on_restart(now);
        }
        match self.machine.phase() {
            Phase::Loading => self.watch_load(now),
            _ if self.held.is_some() => self.watch_held(now),
            _ => self.watch_lost(now),
        }
    }

    fn on_restart(&mut self, now: MonoMs) {
        if self.machine.phase() != Phase::Loading {
            if self.held.is_some() {
                self.on_crash("it restarted or refuses connections", now);
            }
            return;
        }
        self.lose_held();
        if self.order == OrderState::Out {
            "the engine stopped while it loaded".clone_into(&mut self.failure_reason);
            self.feed(SwitchEvent::EngineCrashed, now);
        }
    }

    fn on_crash(&mut self, what: &str, now: MonoMs) {
        self.lose_held();
        self.metrics.crashes.inc();
        if let Some(lost) = &self.lost {
            log_event!(
                event::ENGINE_LOST_VERSION,
                "the engine lost version {}: {what}",
                lost.version
            );
        }
        self.feed(SwitchEvent::EngineCrashed, now);
    }

    fn holding(&self, target: &Target) -> Option<Holding> {
        let manifests = self.manifests.known(target)?;
        self.engine.holding(target, &manifests)
    }

    /// Waits for the end of a load.
    fn watch_load(&mut self, now: MonoMs) {
        let Some(goal) = self.goal.clone() else {
            return;
        };
        let Some(holding) = self.holding(&goal.target) else {
            return;
        };
        if matches!(self.order, OrderState::Retry(_)) && self.order_uncertain {
            let taken = matches!(holding, Holding::Yes | Holding::Loading);
            if taken {
                self.order = OrderState::Out;
            }
        }
        if self.order != OrderState::Out {
            return;
        }
        match holding {
            Holding::Yes => self.on_loaded(&goal.target, &goal.purpose, now),
            Holding::Corrupt(reason) | Holding::Failed(reason) => {
                self.failure_reason = reason;
                self.feed(SwitchEvent::LoadFailed, now);
            }
            Holding::No | Holding::Loading => {}
        }
    }

    fn on_loaded(&mut self, target: &Target, purpose: &Purpose, now: MonoMs) {
        match purpose {
            Purpose::Switch(wanted) => {
                log_event!(
                    event::VERSION_SERVING,
                    "version {} of rollout {}",
                    target.version,
                    wanted.rollout.name
                );
                self.metrics.switches.inc();
                self.failure = None;
            }
            Purpose::Restore(_) => {
                log_event!(event::VERSION_RESTORED, "version {}", target.version);
            }
        }
        for weights in target.parts() {
            (self.transfer.release)(&weights.manifest);
        }
        self.order = OrderState::None;
        self.lost = None;
        self.held = Some(target.clone());
        self.serving_since = now;
        self.feed(SwitchEvent::EngineReady, now);
    }

    /// Makes sure that the engine still holds what it serves.
    fn watch_held(&mut self, now: MonoMs) {
        let Some(held) = self.held.clone() else {
            return;
        };
        let lost = match self.holding(&held) {
            None | Some(Holding::Yes) => return,
            Some(Holding::No) => "it reports another version or none".to_owned(),
            Some(Holding::Loading) => "it loads something else".to_owned(),
            Some(Holding::Corrupt(reason) | Holding::Failed(reason)) => reason,
        };
        self.on_crash(&lost, now);
    }

    /// Goes back to the version held before, or has it read again.
    fn watch_lost(&mut self, now: MonoMs) {
        let Some(lost) = self.lost.clone() else {
            return;
        };
        let phase = self.machine.phase();
        match self.holding(&lost) {
            Some(Holding::Yes) => self.on_recovered(lost, now),
            Some(Holding::Loading) => {}
            _ if matches!(phase, Phase::Idle | Phase::Failed) && now >= self.restore_again_at => {
                self.feed(SwitchEvent::RestoreNeeded, now);
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
            Phase::Idle | Phase::Failed => self.feed(SwitchEvent::EngineReady, now),
            _ if restoring => self.feed(SwitchEvent::WantHeld, now),
            _ => self.set_open(true),
        }
    }
}

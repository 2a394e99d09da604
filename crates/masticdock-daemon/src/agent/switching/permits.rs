//! Driver steps for slots, fencing numbers and the drain.

use masticdock_core::event;
use masticdock_core::ids::Fence;
use masticdock_core::lease::SlotKey;
use masticdock_core::membership::Phase;
use masticdock_core::switch::SwitchEvent;
use masticdock_core::units::MonoMs;

use super::driver::{Driver, Permit, Purpose};
use super::message::{ClaimResult, Command, RenewResult};
use crate::event_log::log_event;

/// Time after which a claim is retried if another VM holds the slot or the table
/// service does not answer.
const CLAIM_RETRY_MS: u64 = 1_000;

/// Time between two evaluations of a group that has no VM to spare.
const GROUP_RETRY_MS: u64 = 250;

impl Driver {
    /// Acquires, renews or gives up the permission to send a load order.
    pub(super) fn update_permit(&mut self, now: MonoMs) {
        match self.machine.phase() {
            Phase::Verified => self.acquire_permit(now),
            Phase::Draining => self.update_drain(now),
            Phase::Loading => self.renew_when_due(now),
            _ => {}
        }
    }

    fn acquire_permit(&mut self, now: MonoMs) {
        if self.table_call_in_flight || now < self.claim_retry_at {
            return;
        }
        let Some(goal) = self.goal.clone() else {
            return;
        };
        if let Purpose::Switch(assigned) = &goal.purpose {
            if assigned.rollout.paused {
                return;
            }
            if self.held.is_some() {
                return self.claim_slot(assigned, now);
            }
        }
        // A VM that is out of service needs a fencing number but no slot.
        if let (Some(fence), true) = (self.last_fence, self.lost.is_some()) {
            // The table may be unavailable; the last number issued is still the highest.
            return self.grant_without_slot(fence, now, now);
        }
        self.table_call_in_flight = true;
        self.commands.push(Command::IssueFence);
    }

    fn claim_slot(&mut self, assigned: &super::assignment::AssignedVersion, now: MonoMs) {
        let group = self
            .evaluator
            .refresh_group(&self.snapshot, &assigned.rollout, now)
            .clone();
        // The table limits the VMs that switch. VMs that are out of service for
        // another reason hold no slot, so the limit of the group counts them too.
        if group.out_of_service >= group.slots {
            self.claim_retry_at = now.plus_ms(GROUP_RETRY_MS);
            return;
        }
        self.table_call_in_flight = true;
        self.claim_rollout = Some(assigned.rollout.name.clone());
        self.commands.push(Command::Claim(SlotKey {
            rollout: assigned.rollout.name.clone(),
            group: self.config.zone.clone(),
            index: group.slot_index,
        }));
    }

    /// Returns true if the VM still needs the slot that it claimed last.
    fn is_claim_current(&self) -> bool {
        let rollout = match self.goal.as_ref().map(|goal| &goal.purpose) {
            Some(Purpose::Switch(assigned)) => Some(&assigned.rollout.name),
            _ => None,
        };
        self.machine.phase() == Phase::Verified
            && self.held.is_some()
            && rollout == self.claim_rollout.as_ref()
    }

    pub(super) fn on_claim_result(&mut self, result: ClaimResult, now: MonoMs) {
        self.table_call_in_flight = false;
        match result {
            ClaimResult::Held(lease) => {
                let is_current = self.is_claim_current();
                self.last_fence = Some(lease.row().fence);
                if !is_current || !lease.is_valid(now) {
                    self.commands.push(Command::Release);
                    return;
                }
                log_event!(
                    event::SLOT_CLAIMED,
                    "fencing number {}, {} requests in progress",
                    lease.row().fence,
                    self.gate.in_progress()
                );
                self.permit = Some(Permit {
                    fence: lease.row().fence,
                    valid_until: lease.deadline(),
                    lease: Some(lease),
                });
                self.handle_event(SwitchEvent::SlotGranted, now);
            }
            ClaimResult::HeldByOther => self.claim_retry_at = now.plus_ms(CLAIM_RETRY_MS),
            ClaimResult::Unavailable(message) => {
                self.claim_retry_at = now.plus_ms(CLAIM_RETRY_MS);
                self.log_once(event::SLOT_TABLE_UNAVAILABLE, message);
            }
        }
    }

    pub(super) fn on_fence_result(&mut self, result: Result<(Fence, MonoMs), String>, now: MonoMs) {
        self.table_call_in_flight = false;
        match result {
            Ok((fence, started)) => {
                self.last_fence = Some(fence);
                if self.machine.phase() == Phase::Verified && self.held.is_none() {
                    self.grant_without_slot(fence, started, now);
                }
            }
            Err(message) => {
                self.claim_retry_at = now.plus_ms(CLAIM_RETRY_MS);
                self.log_once(event::SLOT_TABLE_UNAVAILABLE, message);
            }
        }
    }

    fn grant_without_slot(&mut self, fence: Fence, started: MonoMs, now: MonoMs) {
        self.permit = Some(Permit {
            fence,
            valid_until: started.plus_ms(self.config.slot_lease_ms),
            lease: None,
        });
        self.handle_event(SwitchEvent::SlotGranted, now);
    }

    pub(super) fn on_renew_result(&mut self, result: RenewResult, now: MonoMs) {
        self.table_call_in_flight = false;
        match result {
            RenewResult::Held(lease) => {
                if let Some(permit) = &mut self.permit {
                    permit.valid_until = lease.deadline();
                    permit.lease = Some(lease);
                }
            }
            RenewResult::Lost => {
                if let Some(permit) = &mut self.permit {
                    permit.valid_until = now;
                    permit.lease = None;
                }
            }
            RenewResult::Unavailable(message) => {
                self.renew_retry_at = now.plus_ms(CLAIM_RETRY_MS);
                self.log_once(event::SLOT_TABLE_UNAVAILABLE, message);
            }
        }
    }

    fn update_drain(&mut self, now: MonoMs) {
        let valid = self.permit.as_ref().is_some_and(|it| now < it.valid_until);
        if !valid {
            log_event!(
                event::SLOT_LOST,
                "{} requests were still in progress",
                self.gate.in_progress()
            );
            self.metrics.slots_lost.inc();
            self.commands.push(Command::Release);
            self.permit = None;
            return self.handle_event(SwitchEvent::SlotLost, now);
        }
        if self.gate.in_progress() == 0 {
            return self.handle_event(SwitchEvent::Drained, now);
        }
        self.renew_when_due(now);
    }

    fn renew_when_due(&mut self, now: MonoMs) {
        if self.table_call_in_flight || now < self.renew_retry_at {
            return;
        }
        let lease = self.permit.as_ref().and_then(|it| it.lease.as_ref());
        if lease.is_some_and(|lease| lease.renewal_due(now)) {
            self.table_call_in_flight = true;
            self.commands.push(Command::Renew);
        }
    }
}

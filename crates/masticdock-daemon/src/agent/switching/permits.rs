//! Slots, fencing numbers and the drain.

use masticdock_core::event;
use masticdock_core::ids::Fence;
use masticdock_core::lease::SlotKey;
use masticdock_core::membership::Phase;
use masticdock_core::switch::SwitchEvent;
use masticdock_core::units::MonoMs;

use super::driver::{Driver, Permit, Purpose};
use super::message::{ClaimResult, Command, RenewResult};
use crate::event_log::log_event;

/// Time between two looks at a slot that another VM holds.
const CLAIM_RETRY_MS: u64 = 1_000;

/// Time between two looks at a group with no VM to spare.
const GROUP_RETRY_MS: u64 = 250;

impl Driver {
    /// Claims, renews or gives up the leave to order a load.
    pub(super) fn follow_permit(&mut self, now: MonoMs) {
        match self.machine.phase() {
            Phase::Verified => self.seek_permit(now),
            Phase::Draining => self.follow_drain(now),
            Phase::Loading => self.renew_when_due(now),
            _ => {}
        }
    }

    fn seek_permit(&mut self, now: MonoMs) {
        if self.table_busy || now < self.claim_again_at {
            return;
        }
        let Some(goal) = self.goal.clone() else {
            return;
        };
        if let Purpose::Switch(wanted) = &goal.purpose {
            if wanted.rollout.paused {
                return;
            }
            if self.held.is_some() {
                return self.claim_slot(wanted, now);
            }
        }
        // The VM is out of service already: it needs a fencing number and no slot.
        if let (Some(fence), true) = (self.last_fence, self.lost.is_some()) {
            // The table may be down; the number issued last is still the highest.
            return self.grant_without_slot(fence, now, now);
        }
        self.table_busy = true;
        self.commands.push(Command::RaiseFence);
    }

    fn claim_slot(&mut self, wanted: &super::assignment::Wanted, now: MonoMs) {
        let group = self
            .evaluator
            .newest_group(&self.snapshot, &wanted.rollout, now)
            .clone();
        // The table limits the VMs that switch. VMs that are out of service for
        // another reason hold no slot, so the group's share counts them too.
        if group.out_of_service >= group.slots {
            self.claim_again_at = now.plus_ms(GROUP_RETRY_MS);
            return;
        }
        self.table_busy = true;
        self.claiming = Some(wanted.rollout.name.clone());
        self.commands.push(Command::Claim(SlotKey {
            rollout: wanted.rollout.name.clone(),
            group: self.config.zone.clone(),
            index: group.slot_index,
        }));
    }

    /// Returns true when the slot asked for last is still the one to have.
    fn waits_for_claim(&self) -> bool {
        let rollout = match self.goal.as_ref().map(|goal| &goal.purpose) {
            Some(Purpose::Switch(wanted)) => Some(&wanted.rollout.name),
            _ => None,
        };
        self.machine.phase() == Phase::Verified
            && self.held.is_some()
            && rollout == self.claiming.as_ref()
    }

    pub(super) fn on_claimed(&mut self, result: ClaimResult, now: MonoMs) {
        self.table_busy = false;
        match result {
            ClaimResult::Held(lease) => {
                let waits = self.waits_for_claim();
                self.last_fence = Some(lease.row().fence);
                if !waits || !lease.is_valid(now) {
                    self.commands.push(Command::Release);
                    return;
                }
                log_event!(
                    event::SLOT_CLAIMED,
                    "fence {}, {} requests in progress",
                    lease.row().fence,
                    self.gate.in_progress()
                );
                self.permit = Some(Permit {
                    fence: lease.row().fence,
                    valid_until: lease.deadline(),
                    lease: Some(lease),
                });
                self.feed(SwitchEvent::SlotGranted, now);
            }
            ClaimResult::Taken => self.claim_again_at = now.plus_ms(CLAIM_RETRY_MS),
            ClaimResult::Unavailable(message) => {
                self.claim_again_at = now.plus_ms(CLAIM_RETRY_MS);
                self.complain(event::SLOT_TABLE_UNAVAILABLE, message);
            }
        }
    }

    pub(super) fn on_fenced(&mut self, result: Result<(Fence, MonoMs), String>, now: MonoMs) {
        self.table_busy = false;
        match result {
            Ok((fence, started)) => {
                self.last_fence = Some(fence);
                if self.machine.phase() == Phase::Verified && self.held.is_none() {
                    self.grant_without_slot(fence, started, now);
                }
            }
            Err(message) => {
                self.claim_again_at = now.plus_ms(CLAIM_RETRY_MS);
                self.complain(event::SLOT_TABLE_UNAVAILABLE, message);
            }
        }
    }

    fn grant_without_slot(&mut self, fence: Fence, started: MonoMs, now: MonoMs) {
        self.permit = Some(Permit {
            fence,
            valid_until: started.plus_ms(self.config.slot_lease_ms),
            lease: None,
        });
        self.feed(SwitchEvent::SlotGranted, now);
    }

    pub(super) fn on_renewed(&mut self, result: RenewResult, now: MonoMs) {
        self.table_busy = false;
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
                self.renew_again_at = now.plus_ms(CLAIM_RETRY_MS);
                self.complain(event::SLOT_TABLE_UNAVAILABLE, message);
            }
        }
    }

    fn follow_drain(&mut self, now: MonoMs) {
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
            return self.feed(SwitchEvent::SlotLost, now);
        }
        if self.gate.in_progress() == 0 {
            return self.feed(SwitchEvent::Drained, now);
        }
        self.renew_when_due(now);
    }

    fn renew_when_due(&mut self, now: MonoMs) {
        if self.table_busy || now < self.renew_again_at {
            return;
        }
        let lease = self.permit.as_ref().and_then(|it| it.lease.as_ref());
        if lease.is_some_and(|lease| lease.renewal_due(now)) {
            self.table_busy = true;
            self.commands.push(Command::Renew);
        }
    }
}

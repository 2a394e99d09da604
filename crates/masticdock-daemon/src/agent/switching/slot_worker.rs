//! Slots and fencing numbers in the table; runs on a worker thread.

use masticdock_core::ids::{Fence, VmId};
use masticdock_core::lease::{self, HeldLease, SlotKey, SlotObservation, SlotRow, SlotWatch};
use masticdock_core::table_row::{AttributeValue, RowCondition, RowWrite};
use masticdock_core::units::MonoMs;
use masticdock_platform::{Item, ItemKey, PlatformError, PlatformErrorKind, Write};

use super::message::{ClaimResult, RenewResult};

type Get = dyn Fn(&ItemKey) -> Result<Option<Item>, PlatformError> + Send;
type Transact = dyn Fn(&[Write], &str) -> Result<(), PlatformError> + Send;

/// Interface to the table service.
pub(super) struct TablePort {
    /// Reads one item.
    pub(super) get: Box<Get>,
    /// Applies all writes or none; the token makes a retried call idempotent.
    pub(super) transact: Box<Transact>,
    /// Reads the monotonic clock.
    pub(super) clock: Box<dyn Fn() -> MonoMs + Send>,
}

/// Slot that this VM holds.
struct HeldSlot {
    key: SlotKey,
    lease: HeldLease,
    started: MonoMs,
}

impl HeldSlot {
    fn set_row(&mut self, row: SlotRow, lease_ms: u64) {
        self.lease = HeldLease::new(row, self.started, lease_ms);
    }
}

/// Claims, renews and releases the slot of one VM.
pub(super) struct SlotWorker {
    port: TablePort,
    vm: VmId,
    lease_ms: u64,
    watch: Option<(SlotKey, SlotWatch)>,
    held: Option<HeldSlot>,
}

impl SlotWorker {
    pub(super) const fn new(port: TablePort, vm: VmId, lease_ms: u64) -> Self {
        Self {
            port,
            vm,
            lease_ms,
            watch: None,
            held: None,
        }
    }

    /// Claims a slot if it is free or its lease has expired.
    pub(super) fn claim(&mut self, key: &SlotKey) -> ClaimResult {
        match self.try_claim(key) {
            Ok(result) => result,
            Err(error) => ClaimResult::Unavailable(error.to_string()),
        }
    }

    fn try_claim(&mut self, key: &SlotKey) -> Result<ClaimResult, PlatformError> {
        let read_started = (self.port.clock)();
        let row = self.read_slot(key)?;
        let read_ended = (self.port.clock)();
        let observed = self
            .watch(key)
            .observe(row.as_ref(), read_started, read_ended);
        let observed_row = match observed {
            SlotObservation::Free => None,
            SlotObservation::Held => return Ok(ClaimResult::HeldByOther),
            SlotObservation::Expired => row,
        };
        let engine_fence = self.read_fence()?;
        let claim = lease::claim_writes(key, &self.vm, observed_row.as_ref(), engine_fence);
        let result = self.write(&claim.writes, &claim.row.stamp());
        let held = match result {
            Ok(()) => true,
            // The response was lost, or an earlier claim of the same row took
            // effect late: the row shows whether the slot is held.
            Err(error) if is_condition_failed(&error) || !error.had_no_effect() => {
                self.read_slot(key)?.as_ref() == Some(&claim.row)
            }
            Err(error) => return Err(error),
        };
        if !held {
            return Ok(ClaimResult::HeldByOther);
        }
        // An earlier claim that took effect late did so after this read started,
        // so the lease counts from the start of the read.
        let lease = HeldLease::new(claim.row, read_started, self.lease_ms);
        self.held = Some(HeldSlot {
            key: key.clone(),
            lease: lease.clone(),
            started: read_started,
        });
        Ok(ClaimResult::Held(lease))
    }

    /// Renews the lease of the held slot.
    pub(super) fn renew(&mut self) -> RenewResult {
        let Some(mut held_slot) = self.held.take() else {
            return RenewResult::Lost;
        };
        let result = self.try_renew(&mut held_slot);
        let lease = held_slot.lease.clone();
        match result {
            Ok(false) => return RenewResult::Lost,
            Ok(true) => self.held = Some(held_slot),
            Err(error) => {
                self.held = Some(held_slot);
                return RenewResult::Unavailable(error.to_string());
            }
        }
        RenewResult::Held(lease)
    }

    fn try_renew(&self, held_slot: &mut HeldSlot) -> Result<bool, PlatformError> {
        let (renewed, write) = lease::renewal_write(&held_slot.key, held_slot.lease.row());
        let write_started = (self.port.clock)();
        match self.write(&[write], &renewed.stamp()) {
            Ok(()) => {
                held_slot.started = write_started;
                held_slot.set_row(renewed, self.lease_ms);
                return Ok(true);
            }
            Err(error) if is_condition_failed(&error) || !error.had_no_effect() => {}
            Err(error) => return Err(error),
        }
        // An earlier renewal whose response was lost may have taken effect at any
        // time since, so the row is adopted but the lease is not extended.
        let Some(row) = self.read_slot(&held_slot.key)? else {
            return Ok(false);
        };
        if row.holder != self.vm || row.fence != held_slot.lease.row().fence {
            return Ok(false);
        }
        held_slot.set_row(row, self.lease_ms);
        Ok(true)
    }

    /// Releases the held slot; if the write fails, the lease expires.
    pub(super) fn release(&mut self) {
        let Some(HeldSlot { key, lease, .. }) = self.held.take() else {
            return;
        };
        let write = lease::release_write(&key, lease.row());
        let token = format!("release {}", lease.row().stamp());
        if let Err(error) = self.write(&[write], &token) {
            log::debug!(
                "failed to release slot {}, its lease will expire: {error}",
                key.pk()
            );
        }
    }

    /// Issues the next fencing number for the engine of this VM.
    ///
    /// # Errors
    ///
    /// Fails if the table service does not answer or another agent issued the same
    /// number first.
    pub(super) fn issue_fence(&self) -> Result<(Fence, MonoMs), String> {
        let to_message = |error: PlatformError| error.to_string();
        let current = self.read_fence().map_err(to_message)?;
        let fence = current.unwrap_or_default().next();
        let write = RowWrite {
            pk: lease::fence_pk(&self.vm),
            sk: lease::SK_ENGINE.into(),
            attributes: Some(vec![(lease::FENCE, AttributeValue::Number(fence.0))]),
            condition: match current {
                None => RowCondition::Absent,
                Some(current) => {
                    RowCondition::Equals(lease::FENCE, AttributeValue::Number(current.0))
                }
            },
        };
        let write_started = (self.port.clock)();
        let token = format!("fence {} {fence}", self.vm);
        self.write(&[write], &token).map_err(to_message)?;
        Ok((fence, write_started))
    }

    fn watch(&mut self, key: &SlotKey) -> &mut SlotWatch {
        let same = self.watch.as_ref().is_some_and(|(other, _)| other == key);
        if !same {
            self.watch = None;
        }
        let lease_ms = self.lease_ms;
        let (_, watch) = self
            .watch
            .get_or_insert_with(|| (key.clone(), SlotWatch::new(lease_ms)));
        watch
    }

    fn write(&self, writes: &[RowWrite], token: &str) -> Result<(), PlatformError> {
        let writes: Vec<Write> = writes.iter().map(Write::from).collect();
        (self.port.transact)(&writes, &hash_token(token))
    }

    fn read_slot(&self, key: &SlotKey) -> Result<Option<SlotRow>, PlatformError> {
        let Some(item) = (self.port.get)(&ItemKey::new(key.pk(), key.sk()))? else {
            return Ok(None);
        };
        let row = SlotRow::from_attributes(
            key,
            item.text(lease::HOLDER),
            item.number(lease::FENCE),
            item.number(lease::RENEWAL),
        );
        row.map(Some).map_err(|error| malformed(error.to_string()))
    }

    fn read_fence(&self) -> Result<Option<Fence>, PlatformError> {
        let key = ItemKey::new(lease::fence_pk(&self.vm), lease::SK_ENGINE);
        let Some(item) = (self.port.get)(&key)? else {
            return Ok(None);
        };
        let number = item.number(lease::FENCE);
        let missing = || {
            malformed(format!(
                "number `{}` is missing in {}",
                lease::FENCE,
                key.pk
            ))
        };
        number.map(Fence).ok_or_else(missing).map(Some)
    }
}

/// Hashes a token to the 36 characters that the table protocol allows.
fn hash_token(text: &str) -> String {
    let digest = masticdock_core::ids::Digest::of(text.as_bytes()).to_string();
    digest[..36].to_owned()
}

fn is_condition_failed(error: &PlatformError) -> bool {
    matches!(error.kind, PlatformErrorKind::ConditionFailed(_))
}

fn malformed(message: String) -> PlatformError {
    PlatformError {
        kind: PlatformErrorKind::Malformed,
        call: "slot read",
        message,
    }
}

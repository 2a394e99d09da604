//! Slots and fencing numbers in the table; runs on a worker thread.

use masticdock_core::ids::{Fence, VmId};
use masticdock_core::lease::{self, HeldLease, SlotKey, SlotObservation, SlotRow, SlotWatch};
use masticdock_core::table_row::{AttributeValue, RowCondition, RowWrite};
use masticdock_core::units::MonoMs;
use masticdock_platform::{Item, ItemKey, PlatformError, PlatformErrorKind, Write};

use super::message::{ClaimResult, RenewResult};

type Get = dyn Fn(&ItemKey) -> Result<Option<Item>, PlatformError> + Send;
type Transact = dyn Fn(&[Write], &str) -> Result<(), PlatformError> + Send;

/// Calls to the table service.
pub(super) struct TablePort {
    /// Reads one item.
    pub(super) get: Box<Get>,
    /// Applies all writes or none; the text makes a repeated call idempotent.
    pub(super) transact: Box<Transact>,
    /// Reads the monotonic clock.
    pub(super) clock: Box<dyn Fn() -> MonoMs + Send>,
}

/// Slot that is held.
struct Holding {
    key: SlotKey,
    lease: HeldLease,
    started: MonoMs,
}

impl Holding {
    fn set_row(&mut self, row: SlotRow, lease_ms: u64) {
        self.lease = HeldLease::new(row, self.started, lease_ms);
    }
}

/// Claims, renews and frees the slot of one VM.
pub(super) struct SlotWorker {
    port: TablePort,
    vm: VmId,
    lease_ms: u64,
    watch: Option<(SlotKey, SlotWatch)>,
    held: Option<Holding>,
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

    /// Claims a slot when it is free or its lease has expired.
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
        let seen = match observed {
            SlotObservation::Free => None,
            SlotObservation::Held => return Ok(ClaimResult::Taken),
            SlotObservation::Expired => row,
        };
        let engine_fence = self.read_fence()?;
        let claim = lease::claim_writes(key, &self.vm, seen.as_ref(), engine_fence);
        let result = self.write(&claim.writes, &claim.row.stamp());
        let held = match result {
            Ok(()) => true,
            // The answer was lost, or an earlier claim of the same row took
            // effect late: the row tells whether the slot is held.
            Err(error) if lost_race(&error) || !error.had_no_effect() => {
                self.read_slot(key)?.as_ref() == Some(&claim.row)
            }
            Err(error) => return Err(error),
        };
        if !held {
            return Ok(ClaimResult::Taken);
        }
        // A late earlier claim took effect after this read started at the earliest.
        let lease = HeldLease::new(claim.row, read_started, self.lease_ms);
        self.held = Some(Holding {
            key: key.clone(),
            lease: lease.clone(),
            started: read_started,
        });
        Ok(ClaimResult::Held(lease))
    }

    /// Renews the slot that is held.
    pub(super) fn renew(&mut self) -> RenewResult {
        let Some(mut holding) = self.held.take() else {
            return RenewResult::Lost;
        };
        let result = self.try_renew(&mut holding);
        let lease = holding.lease.clone();
        match result {
            Ok(false) => return RenewResult::Lost,
            Ok(true) => self.held = Some(holding),
            Err(error) => {
                self.held = Some(holding);
                return RenewResult::Unavailable(error.to_string());
            }
        }
        RenewResult::Held(lease)
    }

    fn try_renew(&self, holding: &mut Holding) -> Result<bool, PlatformError> {
        let (renewed, write) = lease::renewal_write(&holding.key, holding.lease.row());
        let write_started = (self.port.clock)();
        match self.write(&[write], &renewed.stamp()) {
            Ok(()) => {
                holding.started = write_started;
                holding.set_row(renewed, self.lease_ms);
                return Ok(true);
            }
            Err(error) if lost_race(&error) || !error.had_no_effect() => {}
            Err(error) => return Err(error),
        }
        // An earlier renewal whose answer was lost may have taken effect at any
        // time since, so the row is taken over but the time is not extended.
        let Some(row) = self.read_slot(&holding.key)? else {
            return Ok(false);
        };
        if row.holder != self.vm || row.fence != holding.lease.row().fence {
            return Ok(false);
        }
        holding.set_row(row, self.lease_ms);
        Ok(true)
    }

    /// Frees the slot; when that fails, its lease expires.
    pub(super) fn release(&mut self) {
        let Some(Holding { key, lease, .. }) = self.held.take() else {
            return;
        };
        let write = lease::release_write(&key, lease.row());
        let token = format!("release {}", lease.row().stamp());
        if let Err(error) = self.write(&[write], &token) {
            log::debug!("slot {} was not freed and expires: {error}", key.pk());
        }
    }

    /// Issues the next fencing number of the VM's engine.
    pub(super) fn raise_fence(&self) -> Result<(Fence, MonoMs), String> {
        let text = |error: PlatformError| error.to_string();
        let old = self.read_fence().map_err(text)?;
        let fence = old.unwrap_or_default().next();
        let write = RowWrite {
            pk: lease::fence_pk(&self.vm),
            sk: lease::SK_ENGINE.into(),
            attributes: Some(vec![(lease::FENCE, AttributeValue::Number(fence.0))]),
            condition: match old {
                None => RowCondition::Absent,
                Some(old) => RowCondition::Equals(lease::FENCE, AttributeValue::Number(old.0)),
            },
        };
        let write_started = (self.port.clock)();
        let token = format!("fence {} {fence}", self.vm);
        self.write(&[write], &token).map_err(text)?;
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
        (self.port.transact)(&writes, &short_token(token))
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
        let missing = || malformed(format!("no number `{}` in {}", lease::FENCE, key.pk));
        number.map(Fence).ok_or_else(missing).map(Some)
    }
}

/// Shortens a token to the 36 characters that the table protocol allows.
fn short_token(text: &str) -> String {
    let digest = masticdock_core::ids::Digest::of(text.as_bytes()).to_string();
    digest[..36].to_owned()
}

fn lost_race(error: &PlatformError) -> bool {
    matches!(error.kind, PlatformErrorKind::ConditionFailed(_))
}

fn malformed(message: String) -> PlatformError {
    PlatformError {
        kind: PlatformErrorKind::Malformed,
        call: "slot read",
        message,
    }
}

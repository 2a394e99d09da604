//! Fakes of the table, the engine and the transfer.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use compact_str::CompactString;
use masticdock_core::ids::{Digest, Fence, VersionId};
use masticdock_platform::{
    Condition, EngineState, EngineStatus, Item, ItemKey, LoadOrder, PlatformError,
    PlatformErrorKind, Write,
};

use super::super::TransferPort;
use crate::agent::transfer::{CopyProgress, WantedCopy};

pub(super) fn platform_error(kind: PlatformErrorKind) -> PlatformError {
    PlatformError {
        kind,
        call: "fake",
        message: "fake".to_owned(),
    }
}

/// Table that evaluates the conditions that slots use.
#[derive(Default)]
pub(super) struct FakeTable {
    pub(super) items: BTreeMap<ItemKey, Item>,
    pub(super) unavailable: bool,
    /// True for a naive table that checks no condition and returns no slot.
    pub(super) grants_all: bool,
    pub(super) reads: u32,
}

impl FakeTable {
    pub(super) fn get(&mut self, key: &ItemKey) -> Result<Option<Item>, PlatformError> {
        self.reads += 1;
        if self.unavailable {
            return Err(platform_error(PlatformErrorKind::NotSent));
        }
        if self.grants_all && key.pk.starts_with("slot/") {
            return Ok(None);
        }
        Ok(self.items.get(key).cloned())
    }

    fn condition_holds(&self, key: &ItemKey, condition: &Condition) -> bool {
        let stored = self.items.get(key);
        match condition {
            Condition::Always => true,
            Condition::Absent => stored.is_none(),
            Condition::Equals(name, value) => {
                stored.and_then(|item| item.attributes.get(name)) == Some(value)
            }
            Condition::AbsentOrEquals(name, value) => {
                stored.is_none_or(|item| item.attributes.get(name) == Some(value))
            }
        }
    }

    pub(super) fn transact(&mut self, writes: &[Write]) -> Result<(), PlatformError> {
        if self.unavailable {
            return Err(platform_error(PlatformErrorKind::NotSent));
        }
        for write in writes {
            let (key, condition) = match write {
                Write::Put { item, condition } => (&item.key, condition),
                Write::Delete { key, condition } | Write::Check { key, condition } => {
                    (key, condition)
                }
            };
            if !self.grants_all && !self.condition_holds(key, condition) {
                return Err(platform_error(PlatformErrorKind::ConditionFailed(vec![0])));
            }
        }
        for write in writes {
            match write {
                Write::Put { item, .. } => {
                    self.items.insert(item.key.clone(), item.clone());
                }
                Write::Delete { key, .. } => {
                    self.items.remove(key);
                }
                Write::Check { .. } => {}
            }
        }
        Ok(())
    }
}

/// Engine that completes a load when the test calls `finish_load`.
pub(super) struct FakeEngine {
    pub(super) status: EngineStatus,
    pub(super) checks_fence: bool,
    pub(super) orders: Vec<LoadOrder>,
    pub(super) failing_versions: BTreeSet<VersionId>,
    /// Root digest that the engine reports instead of the correct one.
    pub(super) wrong_root: Option<Digest>,
}

impl FakeEngine {
    pub(super) fn new() -> Self {
        Self {
            status: EngineStatus {
                boot: "1".into(),
                state: EngineState::Empty,
                version: None,
                root: None,
                adapters: Vec::new(),
                fence: Fence(0),
                in_progress: 0,
                queued: 0,
                reason: CompactString::default(),
            },
            checks_fence: true,
            orders: Vec::new(),
            failing_versions: BTreeSet::new(),
            wrong_root: None,
        }
    }

    pub(super) fn load(&mut self, order: &LoadOrder) -> Result<(), PlatformError> {
        if self.checks_fence {
            if order.fence < self.status.fence {
                return Err(platform_error(PlatformErrorKind::Rejected));
            }
            self.status.fence = order.fence;
        }
        self.orders.push(order.clone());
        self.status.state = EngineState::Loading;
        self.status.version = Some(order.version.clone());
        self.status.root = None;
        Ok(())
    }

    pub(super) fn finish_load(&mut self) {
        let Some(order) = self.orders.last() else {
            return;
        };
        if self.failing_versions.contains(&order.version) {
            self.status.state = EngineState::Failed;
            self.status.reason = "out of memory".into();
            return;
        }
        self.status.state = EngineState::Ready;
        self.status.root = Some(self.wrong_root.unwrap_or(order.root));
        self.status.adapters = order
            .adapters
            .iter()
            .map(|adapter| (adapter.name.clone(), adapter.root))
            .collect();
    }

    pub(super) fn restart(&mut self) {
        let boot = format!("{}+", self.status.boot);
        self.status = Self::new().status;
        self.status.boot = boot.into();
    }
}

#[derive(Default)]
pub(super) struct FakeTransfer {
    pub(super) wanted: Vec<WantedCopy>,
    /// Digests of all copies that were wanted at any time.
    pub(super) ever_wanted: BTreeSet<Digest>,
    pub(super) verified: BTreeSet<Digest>,
}

pub(super) fn transfer_port(transfer: &Arc<Mutex<FakeTransfer>>) -> TransferPort {
    let (setter, reader) = (Arc::clone(transfer), Arc::clone(transfer));
    TransferPort {
        set_wanted: Arc::new(move |wanted| {
            let mut transfer = setter.lock().unwrap();
            transfer
                .ever_wanted
                .extend(wanted.iter().map(|copy| copy.digest));
            transfer.wanted = wanted;
        }),
        progress: Arc::new(move |digest| {
            let transfer = reader.lock().unwrap();
            if !transfer.wanted.iter().any(|copy| copy.digest == *digest) {
                return None;
            }
            Some(CopyProgress {
                chunks_held: 0,
                chunks_total: 1,
                verified: transfer.verified.contains(digest),
                failure: None,
            })
        }),
        release: Arc::new(|_| {}),
    }
}

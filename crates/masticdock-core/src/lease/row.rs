//! Rows of slots and fences and the writes that change them.

use compact_str::{CompactString, ToCompactString, format_compact};

use crate::ids::{Fence, RolloutId, VmId, ZoneId};
use crate::table_row::{AttributeValue, RowCondition, RowError, RowWrite};

/// Attribute with the VM that holds a slot.
pub const HOLDER: &str = "holder";
/// Attribute with a fencing number.
pub const FENCE: &str = "fence";
/// Attribute with the renewal counter of a slot.
pub const RENEWAL: &str = "renewal";
/// Attribute that joins holder, fence and renewal counter.
pub const STAMP: &str = "stamp";
/// Start of the partition key of a VM's fence.
pub const PK_FENCE_PREFIX: &str = "fence/";
/// Sort key of the fence of a VM's engine.
pub const SK_ENGINE: &str = "engine";

/// Names one slot of a group.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotKey {
    /// Rollout.
    pub rollout: RolloutId,
    /// Availability zone of the group.
    pub group: ZoneId,
    /// Index of the slot within the group.
    pub index: u32,
}

impl SlotKey {
    /// Returns the partition key.
    #[must_use]
    pub fn pk(&self) -> CompactString {
        format_compact!("slot/{}/{}", self.rollout, self.group)
    }

    /// Returns the sort key.
    #[must_use]
    pub fn sk(&self) -> CompactString {
        self.index.to_compact_string()
    }
}

/// Row of a slot that is held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotRow {
    /// VM that holds the slot.
    pub holder: VmId,
    /// Fencing number of the claim.
    pub fence: Fence,
    /// Raised with each renewal.
    pub renewal: u64,
}

impl SlotRow {
    /// Returns the text that conditions compare.
    #[must_use]
    pub fn stamp(&self) -> String {
        format!("{} {} {}", self.holder, self.fence, self.renewal)
    }

    /// Reads a row from its attributes.
    ///
    /// # Errors
    ///
    /// Fails when an attribute is missing or malformed.
    pub fn from_attributes(
        key: &SlotKey,
        holder: Option<&str>,
        fence: Option<u64>,
        renewal: Option<u64>,
    ) -> Result<Self, RowError> {
        let wrong = |message: String| RowError::new(&key.pk(), &key.sk(), message);
        let holder = holder.ok_or_else(|| wrong(format!("no text `{HOLDER}`")))?;
        Ok(Self {
            holder: holder.parse().map_err(|e| wrong(format!("{e}")))?,
            fence: Fence(fence.ok_or_else(|| wrong(format!("no number `{FENCE}`")))?),
            renewal: renewal.ok_or_else(|| wrong(format!("no number `{RENEWAL}`")))?,
        })
    }

    fn fields(&self) -> Vec<(&'static str, AttributeValue)> {
        vec![
            (HOLDER, AttributeValue::Text(self.holder.to_string())),
            (FENCE, AttributeValue::Number(self.fence.0)),
            (RENEWAL, AttributeValue::Number(self.renewal)),
            (STAMP, AttributeValue::Text(self.stamp())),
        ]
    }
}

/// Returns the partition key of a VM's fence.
#[must_use]
pub fn fence_pk(vm: &VmId) -> CompactString {
    format_compact!("{PK_FENCE_PREFIX}{vm}")
}

/// Claim of a slot, ready to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Row as it stands once the claim took effect.
    pub row: SlotRow,
    /// Writes of the transaction.
    pub writes: Vec<RowWrite>,
}

fn stamp_condition(seen: Option<&SlotRow>) -> RowCondition {
    match seen {
        None => RowCondition::Absent,
        Some(row) => RowCondition::Equals(STAMP, AttributeValue::Text(row.stamp())),
    }
}

/// Returns the transaction by which `vm` claims a slot.
///
/// `seen` is the row as observed: `None` when free, else an expired one.
/// `engine_fence` is the VM's fence row as read, `None` when absent. When the
/// answer is lost, the caller reads the slot row back: the claim holds only if
/// the row equals [`Claim::row`].
#[must_use]
pub fn claim_writes(
    key: &SlotKey,
    vm: &VmId,
    seen: Option<&SlotRow>,
    engine_fence: Option<Fence>,
) -> Claim {
    let slot_fence = seen.map_or(Fence(0), |row| row.fence);
    let fence = engine_fence.unwrap_or(Fence(0)).max(slot_fence).next();
    let row = SlotRow {
        holder: vm.clone(),
        fence,
        renewal: 0,
    };
    let slot = RowWrite {
        pk: key.pk(),
        sk: key.sk(),
        attributes: Some(row.fields()),
        condition: stamp_condition(seen),
    };
    let engine = RowWrite {
        pk: fence_pk(vm),
        sk: CompactString::const_new(SK_ENGINE),
        attributes: Some(vec![(FENCE, AttributeValue::Number(fence.0))]),
        condition: match engine_fence {
            None => RowCondition::Absent,
            Some(old) => RowCondition::Equals(FENCE, AttributeValue::Number(old.0)),
        },
    };
    Claim {
        row,
        writes: vec![slot, engine],
    }
}

/// Returns the row after a renewal and the write that makes it.
#[must_use]
pub fn renewal_write(key: &SlotKey, held: &SlotRow) -> (SlotRow, RowWrite) {
    let renewed = SlotRow {
        renewal: held.renewal + 1,
        ..held.clone()
    };
    let write = RowWrite {
        pk: key.pk(),
        sk: key.sk(),
        attributes: Some(renewed.fields()),
        condition: stamp_condition(Some(held)),
    };
    (renewed, write)
}

/// Returns the write that frees a slot.
#[must_use]
pub fn release_write(key: &SlotKey, held: &SlotRow) -> RowWrite {
    RowWrite {
        pk: key.pk(),
        sk: key.sk(),
        attributes: None,
        condition: stamp_condition(Some(held)),
    }
}

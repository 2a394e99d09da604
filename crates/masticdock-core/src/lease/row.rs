//! Rows of slots and fences, and the conditional writes that change them.

use compact_str::{CompactString, ToCompactString, format_compact};

use crate::ids::{Fence, RolloutId, VmId, ZoneId};
use crate::table_row::{AttributeValue, RowCondition, RowError, RowWrite};

/// Attribute that holds the id of the VM that holds a slot.
pub const HOLDER: &str = "holder";
/// Attribute that holds a fencing number.
pub const FENCE: &str = "fence";
/// Attribute that holds the renewal counter of a slot.
pub const RENEWAL: &str = "renewal";
/// Attribute that concatenates holder, fence and renewal counter.
pub const STAMP: &str = "stamp";
/// Prefix of the partition key of a VM's fence.
pub const PK_FENCE_PREFIX: &str = "fence/";
/// Sort key of the row with the fence of a VM's engine.
pub const SK_ENGINE: &str = "engine";

/// Identifies one slot of a rollout in a group of VMs.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotKey {
    /// Rollout that the slot belongs to.
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
    /// Number of renewals since the claim.
    pub renewal: u64,
}

impl SlotRow {
    /// Returns the value of the attribute [`STAMP`], which write conditions compare.
    #[must_use]
    pub fn stamp(&self) -> String {
        format!("{} {} {}", self.holder, self.fence, self.renewal)
    }

    /// Parses a row from its attributes.
    ///
    /// # Errors
    ///
    /// Returns an error if an attribute is missing or malformed.
    pub fn from_attributes(
        key: &SlotKey,
        holder: Option<&str>,
        fence: Option<u64>,
        renewal: Option<u64>,
    ) -> Result<Self, RowError> {
        let row_error = |message: String| RowError::new(&key.pk(), &key.sk(), message);
        let holder =
            holder.ok_or_else(|| row_error(format!("missing text attribute `{HOLDER}`")))?;
        Ok(Self {
            holder: holder.parse().map_err(|e| row_error(format!("{e}")))?,
            fence: Fence(
                fence.ok_or_else(|| row_error(format!("missing number attribute `{FENCE}`")))?,
            ),
            renewal: renewal
                .ok_or_else(|| row_error(format!("missing number attribute `{RENEWAL}`")))?,
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

/// Returns the partition key of the fence of `vm`.
#[must_use]
pub fn fence_pk(vm: &VmId) -> CompactString {
    format_compact!("{PK_FENCE_PREFIX}{vm}")
}

/// Transaction that claims a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Slot row after the claim has taken effect.
    pub row: SlotRow,
    /// Writes of the transaction.
    pub writes: Vec<RowWrite>,
}

fn stamp_condition(observed: Option<&SlotRow>) -> RowCondition {
    match observed {
        None => RowCondition::Absent,
        Some(row) => RowCondition::Equals(STAMP, AttributeValue::Text(row.stamp())),
    }
}

/// Returns the transaction by which `vm` claims a slot.
///
/// `observed` is the observed slot row: `None` if the slot is free, otherwise an
/// expired row. `engine_fence` is the current fence of the VM's engine, `None` if
/// its row is absent. If the response to the transaction is lost, the caller must
/// read the slot row back: the claim took effect only if the row equals
/// [`Claim::row`].
#[must_use]
pub fn claim_writes(
    key: &SlotKey,
    vm: &VmId,
    observed: Option<&SlotRow>,
    engine_fence: Option<Fence>,
) -> Claim {
    let slot_fence = observed.map_or(Fence(0), |row| row.fence);
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
        condition: stamp_condition(observed),
    };
    let engine = RowWrite {
        pk: fence_pk(vm),
        sk: CompactString::const_new(SK_ENGINE),
        attributes: Some(vec![(FENCE, AttributeValue::Number(fence.0))]),
        condition: match engine_fence {
            None => RowCondition::Absent,
            Some(current) => RowCondition::Equals(FENCE, AttributeValue::Number(current.0)),
        },
    };
    Claim {
        row,
        writes: vec![slot, engine],
    }
}

/// Returns the slot row after a renewal and the write that renews it.
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

/// Returns the write that releases a slot.
#[must_use]
pub fn release_write(key: &SlotKey, held: &SlotRow) -> RowWrite {
    RowWrite {
        pk: key.pk(),
        sk: key.sk(),
        attributes: None,
        condition: stamp_condition(Some(held)),
    }
}

//! Changes as they stand in the log.

use serde::{Deserialize, Serialize};

use crate::ids::{ChangeId, OperatorId, Revision};
use crate::resource::ResourceChange;
use crate::units::UnixMs;

/// A change that the table service accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AcceptedChange {
    /// Revision that the change made.
    pub revision: Revision,
    /// Id made by the client that proposed it.
    pub change_id: ChangeId,
    /// Operator who proposed it.
    pub operator: OperatorId,
    /// Time of acceptance.
    pub accepted_at_unix_ms: UnixMs,
    /// Resources that changed, applied in order.
    pub changes: Vec<ResourceChange>,
}

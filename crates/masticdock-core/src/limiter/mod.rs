//! Rate and concurrency limits of workspaces, shared by all entries, and load shedding.

mod admission;
mod bucket;
mod shares;

pub use admission::{Admission, AdmissionInput, Priority, ShedReason, admit, fair_shares};
pub use bucket::RequestTokenBucket;
pub use shares::{DemandMeter, entry_share};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::WorkspaceId;

/// Demand of one workspace, measured at one entry and gossiped to the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandRecord {
    /// Id of the entry that measured the demand.
    pub entry: CompactString,
    /// Workspace whose demand this is.
    pub workspace: WorkspaceId,
    /// Sequence number, raised with each record of this entry for this workspace.
    pub seq: u64,
    /// Requests per second, in thousandths.
    pub rate_milli: u64,
    /// Concurrency that the workspace demands: requests in flight and recently rejected.
    pub in_progress: u32,
}

//! Limits of workspaces, held across entries, and shedding of load.

mod admission;
mod bucket;
mod shares;

pub use admission::{Admission, AdmissionInput, Priority, ShedReason, admit, fair_shares};
pub use bucket::RequestTokenBucket;
pub use shares::{DemandMeter, entry_share};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::ids::WorkspaceId;

/// Demand of one workspace as one entry sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandRecord {
    /// The entry.
    pub entry: CompactString,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Raised with each record of the entry for the workspace.
    pub seq: u64,
    /// Requests per second, in thousandths.
    pub rate_milli: u64,
    /// Requests in progress.
    pub in_progress: u32,
}

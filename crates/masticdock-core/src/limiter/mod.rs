//! Limits of workspaces, held across entries.

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

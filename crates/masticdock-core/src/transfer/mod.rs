//! Decisions of the transfer of weights: which VM reads which chunk from the
//! origin, which chunk to request from which neighbour, and when to hedge a
//! request with a second sender.

mod backoff;
mod chunk_set;
mod estimate;
mod neighbours;
mod origin_plan;
mod pacing;
mod schedule;
mod window;

pub use backoff::{Fault, SenderBackoff};
pub use chunk_set::ChunkSet;
pub use estimate::{LatencyEstimate, hedge_after_ms, takeover_after_ms};
pub use neighbours::{Locality, VmLocation, choose_neighbours, locality};
pub use origin_plan::{OriginPlan, ReadTime, RegionView};
pub use pacing::{LinkPacer, TokenBucket, cross_region_rate};
pub use schedule::{Pick, Sender, pick};
pub use window::{ReadWindow, ReadWindowSettings};

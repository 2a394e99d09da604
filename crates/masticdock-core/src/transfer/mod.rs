//! Decisions of the transfer of weights: who reads which chunk from the origin,
//! which chunk to ask which neighbour for, and when to ask a second sender.

mod chunk_set;
mod estimate;
mod neighbours;
mod origin_plan;
mod pacing;
mod penalty;
mod schedule;
mod window;

pub use chunk_set::ChunkSet;
pub use estimate::{Estimate, hedge_after_ms, takeover_after_ms};
pub use neighbours::{Place, Tier, choose_neighbours, tier};
pub use origin_plan::{OriginPlan, OriginView, Turn};
pub use pacing::{LinkPacer, TokenBucket, region_share};
pub use penalty::{Fault, Penalties};
pub use schedule::{Pick, Sender, pick};
pub use window::{ReadWindow, ReadWindowSettings};

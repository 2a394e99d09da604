//! Decisions of a process that serves requests from the platform's store:
//! routing, membership, placement, admission, repeats and the switch of weights.

mod configuration;
mod directory;
mod entry_turns;
mod events;
mod load;
mod piece_sources;
mod placement;
mod repeat;
mod retry_after;
mod returning;
mod switch_plan;
mod versions;

pub use configuration::{
    Backend, Configuration, EngineProfile, Origin, RequestKind, RequestLimits, Route, RouteMatch,
    Service, Workspace,
};
pub use directory::{Directory, DirectoryChange, LayerSpan, ModelState, Upstream};
pub use entry_turns::EntryStagger;
pub use events::{EventSplitter, StreamEvent};
pub use load::{AgentReport, UpstreamLoad};
pub use piece_sources::{
    ChunkPeer, ChunkSource, ChunkSourceSelector, is_reader_due, is_region_nearly_complete,
};
pub use placement::{Candidate, Placement, PlacementRules, RequestSize, place};
pub use repeat::{
    AttemptHistory, AttemptOutcome, FinalResponse, NextStep, WindowedRetryBudget,
    WindowedRetryBudgetSettings, next_step,
};
pub use retry_after::{RetryAfter, RetryAfterSettings};
pub use returning::DeadlineEstimate;
pub use switch_plan::{SwitchPlan, SwitchTiming};
pub use versions::{VersionNumber, VersionTimeline};

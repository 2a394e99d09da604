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
pub use entry_turns::EntryTurns;
pub use events::{EventSplitter, StreamEvent};
pub use load::{AgentReport, UpstreamLoad};
pub use piece_sources::{PeerPieces, PieceSource, PieceSources, is_mostly_known, is_readers_turn};
pub use placement::{Candidate, Placement, PlacementRules, RequestSize, place};
pub use repeat::{
    Attempt, AttemptEnd, FinalAnswer, NextStep, RepeatBudget, RepeatBudgetSettings, next_step,
};
pub use retry_after::{RetryAfter, RetryAfterSettings};
pub use returning::UsualDeadline;
pub use switch_plan::{SwitchPlan, SwitchTiming};
pub use versions::{VersionNumber, VersionTimeline};

//! Decision logic for serving requests with state from the platform's store:
//! routing, upstream membership, placement, admission, retries, recognition of
//! requests that crash engines, chunk sources and the switch to new versions of the weights.

mod admission;
mod attempts;
mod chunk_sources;
mod closed_processes;
mod cold_start;
mod configuration;
mod configuration_check;
mod configuration_order;
mod connection_timer;
mod crashes;
mod deadline_estimate;
mod directory;
mod eligibility;
mod load;
mod loaded_weights;
mod memory;
mod observation;
mod pauses;
mod placement;
mod places;
mod poll_pace;
mod prefill_backlog;
mod priorities;
mod rate_limit;
mod retry_after;
mod slowness;
mod sse;
mod store_position;
mod store_reads;
mod stream_progress;
mod switch_plan;
mod versions;
mod waits;

pub use admission::{
    AdmissionQueue, AdmissionRequest, AdmissionSettings, AdmissionTicket, RequestTimes, Urgency,
};
pub use attempts::{
    AttemptHistory, AttemptOutcome, FinalResponse, NextStep, ResponseIdentity, RetryDenial,
    WindowedRetryBudget, WindowedRetryBudgetSettings, check_retry, connect_timeout_ms, next_step,
};
pub use chunk_sources::{
    ChunkPeer, ChunkSource, ChunkSourceSelector, is_reader_due, is_region_nearly_complete,
};
pub use closed_processes::{ClosedProcesses, PAUSE_MAX_MS};
pub use cold_start::{
    ColdSlowdown, ColdStartBounds, ColdStartPace, ColdStartProfile, ColdStartShare, sharing_entries,
};
pub use configuration::{
    Backend, Configuration, EngineProfile, ModelTarget, Origin, RequestKind, RequestLimits, Route,
    RouteMatch, Service, UnreadableEntries, Workspace,
};
pub use configuration_check::{
    DeclaredConfiguration, DeclaredLimits, DeclaredRoute, DeclaredWorkspace, Finding, Severity,
    check_configuration, compare_configurations,
};
pub use configuration_order::{
    ConfigurationDecision, ConfigurationId, ConfigurationOrder, ConfigurationOrderSettings,
    ConfigurationSource, ConfigurationStamp,
};
pub use connection_timer::{ConnectionPhase, ConnectionTimeout, ConnectionTimer};
pub use crashes::{
    BlockedFeature, CRASH_SUSPICION_MS, CrashHistory, CrashHistorySettings, CrashRecord,
    CrashRecords, CrashRecordsSettings, EngineCrashes, EngineCrashesSettings, RefutedSuspects,
    RequestFeature, RequestFeatures, Suspect, UpstreamProcess, WHOLE_REQUEST_DEPTH,
};
pub use deadline_estimate::DeadlineEstimate;
pub use directory::{
    Directory, DirectoryChange, DirectorySettings, LayerSpan, ModelState, Upstream,
};
pub use eligibility::{AllowedRegions, Eligibility, EvacuatedZones, EvacuationChange, Ineligible};
pub use load::{AgentReport, UpstreamLoad};
pub use loaded_weights::{LoadId, LoadState, LoadedWeights, LoadedWeightsSettings, StageRead};
pub use memory::{BufferAccount, BufferAccountSettings, BufferId, MemoryShares};
pub use observation::{ChangeAge, PollReply, TableObservation};
pub use pauses::{Pause, PauseDetector, PauseSettings};
pub use placement::{Candidate, Placement, PlacementRules, RequestSize, place};
pub use places::{EngineRoom, PlaceRotation, PlaceRules};
pub use poll_pace::{PollLimits, change_age, poll_pause};
pub use prefill_backlog::PrefillBacklog;
pub use rate_limit::RateLimitShare;
pub use retry_after::{RetryAfter, RetryAfterSettings};
pub use slowness::{Slowness, SlownessError, ToldSlowness};
pub use sse::{EventOrderError, EventSequence, EventSplitter, StreamEvent};
pub use store_position::{StoreEra, StorePosition};
pub use store_reads::{StoreReadSchedule, StoreReadSettings};
pub use stream_progress::{StreamProgress, StreamProgressSettings};
pub use switch_plan::{SwitchPlan, SwitchTiming};
pub use versions::{
    BeginMargins, BeginWindow, PathDelays, VersionLimits, VersionNumber, VersionTimeline,
};

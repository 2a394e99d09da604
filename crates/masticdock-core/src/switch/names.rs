//! Names of the states, events, actions and timeouts in the chart.

use crate::membership::Phase;

/// Defines an enum whose variants the chart refers to by name.
macro_rules! chart_names {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name {
            $($(#[$variant_doc])* $variant,)*
        }

        impl $name {
            /// All variants, in order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant),*];

            /// Returns the name that the chart uses.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }

            pub(super) fn from_name(text: &str) -> Option<Self> {
                Self::ALL.iter().copied().find(|it| it.as_str() == text)
            }
        }
    };
}

chart_names!(
    /// Event on a VM.
    SwitchEvent {
        /// The configuration requires weights that the engine does not hold.
        WantNew = "want_new",
        /// The configuration requires the weights that the engine holds.
        WantHeld = "want_held",
        /// No rollout requires a version on this VM, or the rollout that does is
        /// halted.
        WantNone = "want_none",
        /// All required copies are complete and verified.
        CopiesVerified = "copies_verified",
        /// A required copy cannot be completed.
        CopiesFailed = "copies_failed",
        /// The VM holds a slot and may go out of service.
        SlotGranted = "slot_granted",
        /// The lease of the slot expired before the order was sent.
        SlotLost = "slot_lost",
        /// No request is in progress, and no new request is admitted.
        Drained = "drained",
        /// The order was dropped because the lease expired, or the engine rejected
        /// it because of a stale fencing number.
        OrderRefused = "order_refused",
        /// The engine holds an intact version according to its root digest.
        EngineReady = "engine_ready",
        /// The engine failed to load the version, or its root digest does not match.
        LoadFailed = "load_failed",
        /// The engine restarted and holds no version.
        EngineCrashed = "engine_crashed",
        /// The engine lost the version that it held before a failed load.
        RestoreNeeded = "restore_needed",
        /// The timeout of the state expired.
        TimedOut = "timed_out",
    }
);

chart_names!(
    /// Action that the agent performs on a transition.
    SwitchAction {
        /// Sets the target to the required version and fetches its weights.
        StartFetch = "start_fetch",
        /// Sets the target to the version that the engine held before, and fetches
        /// its weights.
        StartRestore = "start_restore",
        /// Clears the target and drops its copies.
        DropCopies = "drop_copies",
        /// Stops admitting requests.
        CloseGate = "close_gate",
        /// Admits requests for the version that the engine holds.
        OpenGate = "open_gate",
        /// Sends the engine the order to load the target.
        OrderLoad = "order_load",
        /// Releases the switch slot.
        ReleaseSlot = "release_slot",
        /// Publishes that the target failed on this VM.
        ReportFailure = "report_failure",
        /// Publishes that the engine crashed while serving its version.
        ReportCrash = "report_crash",
    }
);

chart_names!(
    /// Timeout that the chart refers to; the settings define its duration.
    SwitchTimeout {
        /// Maximum time for requests in progress to end.
        Drain = "drain",
        /// Maximum time for an engine to load a version.
        Load = "load",
    }
);

/// All states, in the order of their discriminants.
pub(super) const PHASES: [Phase; 7] = [
    Phase::Idle,
    Phase::Fetching,
    Phase::Verified,
    Phase::Draining,
    Phase::Loading,
    Phase::Serving,
    Phase::Failed,
];

pub(super) const fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Idle => "idle",
        Phase::Fetching => "fetching",
        Phase::Verified => "verified",
        Phase::Draining => "draining",
        Phase::Loading => "loading",
        Phase::Serving => "serving",
        Phase::Failed => "failed",
    }
}

pub(super) fn phase_from_name(text: &str) -> Option<Phase> {
    PHASES.into_iter().find(|phase| phase_name(*phase) == text)
}

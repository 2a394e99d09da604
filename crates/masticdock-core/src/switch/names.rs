//! Events, actions and time-outs that the chart names.

use crate::membership::Phase;

/// Defines an enum whose values the chart refers to by name.
macro_rules! chart_names {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name {
            $($(#[$variant_doc])* $variant,)*
        }

        impl $name {
            /// All values, in the order of the declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant),*];

            /// Returns the name in the chart.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }

            pub(super) fn find(text: &str) -> Option<Self> {
                Self::ALL.iter().copied().find(|it| it.as_str() == text)
            }
        }
    };
}

chart_names!(
    /// What happened to a VM.
    SwitchEvent {
        /// The configuration wants weights that the engine does not hold.
        WantNew = "want_new",
        /// The configuration wants what the engine holds.
        WantHeld = "want_held",
        /// No rollout wants a version here, or the one that does is halted.
        WantNone = "want_none",
        /// Every wanted copy is complete and verified.
        CopiesVerified = "copies_verified",
        /// A copy cannot be completed.
        CopiesFailed = "copies_failed",
        /// The VM may go out of service.
        SlotGranted = "slot_granted",
        /// The lease of the slot lapsed before the order.
        SlotLost = "slot_lost",
        /// No request is in progress and none can start.
        Drained = "drained",
        /// The order was dropped for a lapsed lease or refused for an old fencing number.
        OrderRefused = "order_refused",
        /// The engine holds an intact version, by its own root digest.
        EngineReady = "engine_ready",
        /// The engine could not load, or its root digest disagrees.
        LoadFailed = "load_failed",
        /// The engine restarted and holds nothing.
        EngineCrashed = "engine_crashed",
        /// The engine lost the version it held before a failed load.
        RestoreNeeded = "restore_needed",
        /// The time-out of the state passed.
        TimedOut = "timed_out",
    }
);

chart_names!(
    /// What the agent does on an edge, in the order of the chart.
    SwitchAction {
        /// Makes the wanted version the target and reads its weights.
        StartFetch = "start_fetch",
        /// Makes the version held before the target and reads its weights.
        StartRestore = "start_restore",
        /// Gives up the target and its copies.
        DropCopies = "drop_copies",
        /// Admits no new request.
        CloseGate = "close_gate",
        /// Admits requests again, with the version that the engine holds.
        OpenGate = "open_gate",
        /// Orders the engine to load the target.
        OrderLoad = "order_load",
        /// Gives the switch slot back.
        ReleaseSlot = "release_slot",
        /// Publishes that the target failed on this VM.
        ReportFailure = "report_failure",
        /// Publishes that the engine crashed on the version that it served.
        ReportCrash = "report_crash",
    }
);

chart_names!(
    /// Durations that the chart names and the settings give.
    SwitchTimeout {
        /// Longest time in which requests in progress end.
        Drain = "drain",
        /// Longest time in which an engine loads.
        Load = "load",
    }
);

/// All states, in the order of their indices.
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

pub(super) fn find_phase(text: &str) -> Option<Phase> {
    PHASES.into_iter().find(|phase| phase_name(*phase) == text)
}

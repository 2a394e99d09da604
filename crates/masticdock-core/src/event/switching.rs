//! Events 5000 to 5999: switching of versions.

super::events! {
    /// A VM serves a new version.
    VERSION_SERVING = 5000, Info, "this VM serves a new version", "none";
    /// A VM reads the weights of a version.
    WEIGHTS_FETCHING = 5001, Info, "this VM reads the weights of a version", "none";
    /// A VM holds complete verified weights.
    WEIGHTS_VERIFIED = 5002, Info, "this VM holds the complete verified weights of a version and waits for a switch slot", "none; with no event 5003 for long, see whether the rollout is paused or the table is down";
    /// A VM may go out of service.
    SLOT_CLAIMED = 5003, Info, "this VM holds a switch slot and ends its requests in progress", "none";
    /// The engine was ordered to load a version.
    LOAD_ORDERED = 5004, Info, "the engine was ordered to load a version", "none; event 5000 or 5200 follows";
    /// The engine held an intact version when the agent started.
    VERSION_ALREADY_LOADED = 5005, Info, "the engine held an intact version already when the agent started", "none";
    /// The VM no longer switches to the version that it wanted.
    SWITCH_ABANDONED = 5006, Info, "this VM no longer switches to a version, because the configuration changed or the rollout halted", "none";
    /// The VM serves the version from before a failure.
    VERSION_RESTORED = 5007, Info, "this VM serves the version again that it served before a failure", "none";
    /// The wanted version cannot be used.
    VERSION_UNUSABLE = 5100, Error, "the wanted version cannot be used; this VM keeps what it serves", "correct the field named, or publish the version again";
    /// The object store does not answer.
    MANIFEST_UNAVAILABLE = 5101, Warn, "a manifest cannot be read, because the object store does not answer; the agent tries again", "look at the object store when this lasts";
    /// Two rollouts match one VM.
    ROLLOUTS_OVERLAP = 5102, Warn, "several rollouts match this VM; the one with the lowest revision gets it", "narrow one of the selectors";
    /// The table service does not answer.
    SLOT_TABLE_UNAVAILABLE = 5103, Warn, "this VM waits with its switch, because the table service does not answer", "look at the table service when this lasts";
    /// A switch slot was lost before the order.
    SLOT_LOST = 5104, Warn, "the lease of the switch slot ended before the engine got its order; this VM serves on and claims another slot", "none; when it recurs, compare slot_lease_ms with the time requests take";
    /// An order was withheld.
    ORDER_WITHHELD = 5105, Warn, "a load order was withheld, because the lease ended between decision and order", "none; the agent was paused or slow";
    /// The engine refused an order.
    ORDER_REJECTED = 5106, Warn, "the engine refused a load order, because it has seen a higher fencing number", "see whether a second agent runs for this VM";
    /// Requests in progress did not end.
    DRAIN_TIMED_OUT = 5107, Warn, "requests in progress did not end in time; none was cut, and this VM serves on and tries again", "look for requests that never end";
    /// A rollout halted.
    ROLLOUT_HALTED = 5108, Warn, "a rollout halted by itself; this VM does not switch", "read the reason, then undo the rollout or apply a version that loads";
    /// The engine holds something unknown.
    ENGINE_UNKNOWN_VERSION = 5109, Warn, "the engine holds a version that cannot be checked; it serves nothing until a rollout brings it a version", "apply the version that the engine holds, or a rollout for this VM";
    /// A version failed on a VM.
    VERSION_FAILED = 5200, Error, "a version cannot be served on this VM", "read the reason; correct the version or undo the rollout";
    /// The engine lost the version that it served.
    ENGINE_LOST_VERSION = 5201, Error, "the engine stopped or lost its version; this VM loads the version it held again", "read the engine's own log when it recurs";
    /// The listener for weights failed.
    WEIGHTS_READ_FAILED = 5202, Warn, "the engine's read of weights ended early", "none; the engine reads again or reports a failed load";
}

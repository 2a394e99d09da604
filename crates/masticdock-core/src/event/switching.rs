//! Events 5000 to 5999: switching a VM from one version to another.

super::events! {
    /// A VM serves a new version.
    VERSION_SERVING = 5000, Info, "this VM serves a new version", "none";
    /// A VM fetches the weights of a version.
    WEIGHTS_FETCHING = 5001, Info, "this VM fetches the weights of a version", "none";
    /// A VM holds the complete, verified weights of a version.
    WEIGHTS_VERIFIED = 5002, Info, "this VM holds the complete, verified weights of a version and waits for a switch slot", "none; if event 5003 does not follow for long, check whether the rollout is paused or the table service is unavailable";
    /// A VM claimed a switch slot and may go out of service.
    SLOT_CLAIMED = 5003, Info, "this VM holds a switch slot and completes its requests in progress", "none";
    /// The engine was ordered to load a version.
    LOAD_ORDERED = 5004, Info, "the engine was ordered to load a version", "none; event 5000 or 5200 follows";
    /// The engine held an intact version when the agent started.
    VERSION_ALREADY_LOADED = 5005, Info, "the engine already held an intact version when the agent started", "none";
    /// A VM abandoned the switch to a version.
    SWITCH_ABANDONED = 5006, Info, "this VM abandoned the switch to a version, because the configuration changed or the rollout halted", "none";
    /// A VM serves the version from before a failure again.
    VERSION_RESTORED = 5007, Info, "this VM serves the version again that it served before a failure", "none";
    /// The target version cannot be used.
    VERSION_UNUSABLE = 5100, Error, "the target version cannot be used; this VM keeps serving its current version", "correct the field named, or publish the version again";
    /// The object store does not answer.
    MANIFEST_UNAVAILABLE = 5101, Warn, "a manifest cannot be read, because the object store does not answer; the agent retries", "check the object store if this persists";
    /// Several rollouts match one VM.
    ROLLOUTS_OVERLAP = 5102, Warn, "several rollouts match this VM; the one with the lowest revision applies", "narrow one of the selectors";
    /// The table service does not answer a call for a switch slot.
    SLOT_TABLE_UNAVAILABLE = 5103, Warn, "this VM postpones its switch, because the table service does not answer", "check the table service if this persists";
    /// The lease of a switch slot ended before the load order.
    SLOT_LOST = 5104, Warn, "the lease of the switch slot ended before the engine received its order; this VM continues to serve and claims another slot", "none; if it recurs, compare slot_lease_ms with the duration of requests";
    /// A load order was withheld.
    ORDER_WITHHELD = 5105, Warn, "a load order was withheld, because the lease ended between the decision and the order", "none; the agent was paused or slow";
    /// The engine rejected a load order.
    ORDER_REJECTED = 5106, Warn, "the engine rejected a load order, because it has seen a higher fencing number", "check whether a second agent runs for this VM";
    /// Requests in progress did not end within the drain timeout.
    DRAIN_TIMED_OUT = 5107, Warn, "requests in progress did not end in time; none was cut off, and this VM continues to serve and retries the switch", "look for requests that never end";
    /// A rollout halted.
    ROLLOUT_HALTED = 5108, Warn, "a rollout halted automatically; this VM does not switch", "read the reason, then undo the rollout or apply a version that loads";
    /// The engine holds a version that cannot be checked.
    ENGINE_UNKNOWN_VERSION = 5109, Warn, "the engine holds a version that cannot be checked; this VM serves nothing until a rollout assigns it a version", "apply the version that the engine holds, or a rollout for this VM";
    /// A version failed on a VM.
    VERSION_FAILED = 5200, Error, "a version cannot be served on this VM", "read the reason; correct the version or undo the rollout";
    /// The engine lost the version that it served.
    ENGINE_LOST_VERSION = 5201, Error, "the engine stopped or lost its version; this VM loads the version again", "read the log of the engine if it recurs";
    /// A read of weights by the engine ended early.
    WEIGHTS_READ_FAILED = 5202, Warn, "a read of weights by the engine ended early", "none; the engine reads again or reports a failed load";
}

//! Events 6000 to 6999: requests.

super::events! {
    /// A request ended with an unknown outcome.
    REQUEST_OUTCOME_UNKNOWN = 6000, Warn, "a request ended with an unknown outcome", "look at the upstream named; the caller was told";
    /// An engine crashed with requests in progress.
    ENGINE_CRASHED = 6001, Error, "an engine crashed with requests in progress", "look at the engine's log; each request in progress counts one death";
    /// A request is refused because it crashes upstreams.
    CRASHING_REQUEST_REJECTED = 6002, Warn, "a request is refused for an hour because it crashed too many upstreams", "find the caller by workspace and report the fingerprint to the engine's maintainers";
    /// Requests are shed.
    REQUESTS_SHED = 6003, Warn, "requests are shed because capacity is short", "add upstreams or lower the limits of the workspaces named";
    /// The retry budget is used up.
    RETRY_BUDGET_EXHAUSTED = 6004, Warn, "the retry budget is used up; failures reach callers", "look for failing upstreams; retries return with successes";
    /// The table cannot record request keys.
    REQUEST_KEYS_UNAVAILABLE = 6005, Error, "non-idempotent requests are refused because the table does not answer", "none; the table service must return";
    /// A stream broke and was resumed elsewhere.
    STREAM_RESUMED = 6006, Info, "a broken stream was resumed on another upstream with the same version", "none";
}

//! Events 6000 to 6999: requests.

super::events! {
    /// The outcome of a request is unknown.
    REQUEST_OUTCOME_UNKNOWN = 6000, Warn, "a request ended with an unknown outcome", "check the upstream named; the caller was informed";
    /// An engine crashed with requests in progress.
    ENGINE_CRASHED = 6001, Error, "an engine crashed with requests in progress", "check the log of the engine; the crash is counted for each request in progress";
    /// A request is rejected because it crashed too many upstreams.
    CRASHING_REQUEST_REJECTED = 6002, Warn, "a request is rejected for an hour, because it crashed too many upstreams", "find the caller by workspace and report the fingerprint to the maintainers of the engine";
    /// Requests are shed.
    REQUESTS_SHED = 6003, Warn, "requests are shed, because capacity is short", "add upstreams or lower the limits of the workspaces named";
    /// The retry budget is exhausted.
    RETRY_BUDGET_EXHAUSTED = 6004, Warn, "the retry budget is exhausted; failures are passed to callers", "look for failing upstreams; retries resume as requests succeed";
    /// The table service cannot record idempotency keys.
    REQUEST_KEYS_UNAVAILABLE = 6005, Error, "non-idempotent requests are rejected, because the table service does not answer", "none; ends when the table service is available again";
    /// A broken stream was resumed on another upstream.
    STREAM_RESUMED = 6006, Info, "a broken stream was resumed on another upstream with the same version", "none";
}

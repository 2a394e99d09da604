//! Kinds of request failures, with their stable problem types.

/// Defines [`ProblemKind`] from the slug, HTTP status and title of each kind.
macro_rules! kinds {
    ($($(#[$doc:meta])* $name:ident, $slug:literal, $status:literal, $title:literal;)*) => {
        /// Kind of a problem; its slug is the stable last part of the problem type.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        #[non_exhaustive]
        pub enum ProblemKind {
            $($(#[$doc])* $name,)*
        }

        impl ProblemKind {
            /// All kinds in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            /// Returns the stable last part of the problem type.
            #[must_use]
            pub const fn slug(self) -> &'static str {
                match self { $(Self::$name => $slug,)* }
            }

            /// Returns the HTTP status code.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Returns the title.
            #[must_use]
            pub const fn title(self) -> &'static str {
                match self { $(Self::$name => $title,)* }
            }
        }
    };
}

kinds! {
    /// The request is malformed.
    BadRequest, "bad-request", 400, "The request is malformed";
    /// The credentials are missing or unknown.
    Unauthorized, "unauthorized", 401, "The credentials are missing or unknown";
    /// The service does not exist.
    UnknownService, "unknown-service", 404, "The service does not exist";
    /// Only POST is accepted.
    MethodNotAllowed, "method-not-allowed", 405, "The method is not allowed";
    /// The body exceeds the size limit.
    BodyTooLarge, "body-too-large", 413, "The body is too large";
    /// The headers exceed the size limit.
    HeaderTooLarge, "header-too-large", 431, "The headers are too large";
    /// A non-idempotent request has no `Idempotency-Key`.
    KeyRequired, "idempotency-key-required", 400, "The request needs an Idempotency-Key";
    /// The `Idempotency-Key` was used for another request.
    KeyReused, "idempotency-key-reused", 422, "The Idempotency-Key belongs to another request";
    /// An earlier attempt with the same `Idempotency-Key` has not ended.
    RequestInProgress, "request-in-progress", 409, "An attempt with this key is in progress";
    /// The workspace exceeds its rate limit.
    RateLimited, "rate-limited", 429, "The workspace is over its rate limit";
    /// The workspace exceeds its limit of requests in progress.
    ConcurrencyLimited, "concurrency-limited", 429, "The workspace has too many requests in progress";
    /// Capacity is short and other requests were preferred.
    Overloaded, "overloaded", 503, "Capacity is short";
    /// The response is predicted to arrive after the deadline.
    DeadlineUnreachable, "deadline-unreachable", 503, "The deadline cannot be met";
    /// The deadline passed.
    DeadlineExceeded, "deadline-exceeded", 504, "The deadline passed";
    /// The listener reached its limit of concurrent connections.
    TooManyConnections, "too-many-connections", 503, "The listener is at its limit";
    /// The process is shutting down.
    Stopping, "stopping", 503, "The process takes no new requests";
    /// The entry has not loaded a configuration yet.
    NotReady, "not-ready", 503, "The entry is not ready";
    /// No upstream can take the request.
    NoUpstream, "no-upstream", 503, "No upstream can take the request";
    /// No upstream serves the requested version.
    VersionUnavailable, "version-unavailable", 503, "No upstream serves the wanted version";
    /// The upstream serves no version.
    NotServing, "not-serving", 503, "The upstream is not serving";
    /// The upstream is draining for a version switch.
    Draining, "draining", 503, "The upstream drains";
    /// The upstream is leaving.
    Leaving, "leaving", 503, "The upstream is leaving";
    /// The upstream serves another version.
    WrongVersion, "wrong-version", 503, "The upstream serves another version";
    /// The table service cannot record the `Idempotency-Key`.
    TableUnavailable, "table-unavailable", 503, "The key cannot be recorded";
    /// The request crashed too many upstreams and is rejected.
    CrashingRequest, "crashing-request", 422, "The request crashes upstreams";
    /// The upstream is already running another request that is suspected of crashing upstreams.
    SuspectRunning, "suspect-running", 503, "Another suspect runs on the upstream";
    /// The upstream crashed while it ran the request.
    UpstreamCrashed, "upstream-crashed", 502, "The upstream crashed";
    /// The upstream cannot be reached.
    UpstreamUnreachable, "upstream-unreachable", 502, "The upstream cannot be reached";
    /// The upstream sent no data within the stall timeout.
    UpstreamStalled, "upstream-stalled", 504, "The upstream sent nothing for too long";
    /// The upstream returned an error or a malformed response.
    UpstreamError, "upstream-error", 502, "The upstream failed";
    /// The stream broke and could not be resumed on the same version.
    StreamBroken, "stream-broken", 502, "The stream broke and could not be resumed";
    /// The outcome of an earlier attempt is unknown.
    OutcomeUnknown, "outcome-unknown", 502, "The outcome is unknown";
    /// The retry budget is exhausted.
    RetryBudgetExhausted, "retry-budget-exhausted", 503, "The retry budget is used up";
}

impl ProblemKind {
    /// Returns the kind with the slug, or `None` if there is none.
    #[must_use]
    pub fn from_slug(slug: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|kind| kind.slug() == slug)
    }
}

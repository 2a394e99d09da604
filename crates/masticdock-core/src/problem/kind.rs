//! Kinds of problems with their stable types.

/// Defines the kinds with slug, status and title.
macro_rules! kinds {
    ($($(#[$doc:meta])* $name:ident, $slug:literal, $status:literal, $title:literal;)*) => {
        /// Kind of a problem; the slug is the stable part of its type.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        #[non_exhaustive]
        pub enum ProblemKind {
            $($(#[$doc])* $name,)*
        }

        impl ProblemKind {
            /// All kinds.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            /// Returns the stable part of the problem type.
            #[must_use]
            pub const fn slug(self) -> &'static str {
                match self { $(Self::$name => $slug,)* }
            }

            /// Returns the HTTP status.
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
    /// The body is over the limit.
    BodyTooLarge, "body-too-large", 413, "The body is too large";
    /// The headers are over the limit.
    HeaderTooLarge, "header-too-large", 431, "The headers are too large";
    /// A non-idempotent request has no key.
    KeyRequired, "idempotency-key-required", 400, "The request needs an Idempotency-Key";
    /// The key was used for another request.
    KeyReused, "idempotency-key-reused", 422, "The Idempotency-Key belongs to another request";
    /// The key is claimed by an attempt that has not ended.
    RequestInProgress, "request-in-progress", 409, "An attempt with this key is in progress";
    /// The workspace is over its rate.
    RateLimited, "rate-limited", 429, "The workspace is over its rate limit";
    /// The workspace is over its concurrency.
    ConcurrencyLimited, "concurrency-limited", 429, "The workspace has too many requests in progress";
    /// Capacity is short and the request lost to others.
    Overloaded, "overloaded", 503, "Capacity is short";
    /// The answer would come after the deadline.
    DeadlineUnreachable, "deadline-unreachable", 503, "The deadline cannot be met";
    /// The deadline passed.
    DeadlineExceeded, "deadline-exceeded", 504, "The deadline passed";
    /// The listener has too many requests at once.
    TooManyConnections, "too-many-connections", 503, "The listener is at its limit";
    /// The process stops.
    Stopping, "stopping", 503, "The process takes no new requests";
    /// The entry holds no configuration yet.
    NotReady, "not-ready", 503, "The entry is not ready";
    /// No upstream can take the request.
    NoUpstream, "no-upstream", 503, "No upstream can take the request";
    /// No upstream serves the wanted version.
    VersionUnavailable, "version-unavailable", 503, "No upstream serves the wanted version";
    /// The upstream holds no version.
    NotServing, "not-serving", 503, "The upstream is not serving";
    /// The upstream drains before a switch.
    Draining, "draining", 503, "The upstream drains";
    /// The upstream is leaving.
    Leaving, "leaving", 503, "The upstream is leaving";
    /// The upstream serves another version.
    WrongVersion, "wrong-version", 503, "The upstream serves another version";
    /// The table cannot record the key.
    TableUnavailable, "table-unavailable", 503, "The key cannot be recorded";
    /// The request crashed too many upstreams.
    CrashingRequest, "crashing-request", 422, "The request crashes upstreams";
    /// Another suspect runs on the upstream.
    SuspectRunning, "suspect-running", 503, "Another suspect runs on the upstream";
    /// The upstream died while it ran the request.
    UpstreamCrashed, "upstream-crashed", 502, "The upstream crashed";
    /// The upstream cannot be reached.
    UpstreamUnreachable, "upstream-unreachable", 502, "The upstream cannot be reached";
    /// The upstream sent nothing for too long.
    UpstreamStalled, "upstream-stalled", 504, "The upstream sent nothing for too long";
    /// The upstream answered with an error or garbage.
    UpstreamError, "upstream-error", 502, "The upstream failed";
    /// The stream broke and could not be resumed on the same version.
    StreamBroken, "stream-broken", 502, "The stream broke and could not be resumed";
    /// The outcome of an earlier attempt is unknown.
    OutcomeUnknown, "outcome-unknown", 502, "The outcome is unknown";
    /// The retry budget is used up.
    RetryBudgetExhausted, "retry-budget-exhausted", 503, "The retry budget is used up";
}

impl ProblemKind {
    /// Returns the kind with the slug.
    #[must_use]
    pub fn from_slug(slug: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|kind| kind.slug() == slug)
    }
}

//! Attempts of a request, and the decision to retry within a retry budget.
//!
//! The budget of each entry is its share of one budget for all entries.

use std::collections::VecDeque;

use crate::units::MonoMs;

use super::configuration::RequestKind;

/// How an attempt at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Nothing was sent, because no connection was established or it was too late for the
    /// upstream's version.
    NotSent,
    /// The upstream stated that it did not run the request.
    NotExecuted,
    /// The upstream responded with a server error; the request ran.
    ServerError,
    /// The connection closed or delivered an invalid response.
    Broken,
    /// The upstream sent nothing within the timeout.
    Silent,
    /// The response was not needed or cannot continue the caller's stream.
    Discarded,
}

impl AttemptOutcome {
    /// Returns true when the request may have run.
    #[must_use]
    pub const fn may_have_run(self) -> bool {
        matches!(
            self,
            Self::ServerError | Self::Broken | Self::Silent | Self::Discarded
        )
    }

    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NotExecuted => "not_executed",
            Self::ServerError => "server_error",
            Self::Broken => "broken",
            Self::Silent => "silent",
            Self::Discarded => "discarded",
        }
    }
}

/// What shows whether a response answers the request that was sent last on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseIdentity<'a> {
    /// Id of the request; empty if the caller gave it none.
    pub sent_id: &'a str,
    /// Id that the response names.
    pub named_id: Option<&'a str>,
    /// True if the connection carried other requests before.
    pub reused_connection: bool,
    /// True if the response states that the request was not executed.
    pub not_executed: bool,
}

impl ResponseIdentity<'_> {
    /// Returns true if the response cannot be a copy of another request's response.
    #[must_use]
    pub fn is_certain(&self) -> bool {
        match self.named_id {
            Some(named_id) => named_id == self.sent_id,
            // Upstreams repeat the id of a request, so that a refusal without one may have
            // been written before the request arrived.
            None => !self.reused_connection && (!self.not_executed || self.sent_id.is_empty()),
        }
    }
}

/// Summary of the attempts of one request so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Number of upstreams that the request was sent to.
    pub sent: u32,
    /// Number of upstreams among them that did not run it.
    pub rejected: u32,
    /// Number of attempts that failed before anything was sent.
    pub not_sent: u32,
    /// True once any attempt may have run the request.
    pub may_have_run: bool,
    /// True once an attempt got no response, so that its request may still arrive.
    pub may_arrive_late: bool,
    /// True once response bytes were sent to the caller.
    pub response_started: bool,
}

impl AttemptHistory {
    /// Records the outcome of an attempt.
    pub fn record(&mut self, outcome: AttemptOutcome) {
        if outcome == AttemptOutcome::NotSent {
            self.not_sent += 1;
        } else {
            self.sent += 1;
        }
        self.rejected += u32::from(outcome == AttemptOutcome::NotExecuted);
        self.may_have_run |= outcome.may_have_run();
        self.may_arrive_late |= outcome == AttemptOutcome::Silent;
    }

    /// Returns whether the request was sent as often as it may be. The rest of a stream may be
    /// sent once more for each rejection, to an upstream that rejected it, since the caller has
    /// no other way to it.
    fn has_used_attempts(&self, attempts_max: u32) -> bool {
        let excused = if self.response_started {
            self.rejected.min(attempts_max)
        } else {
            0
        };
        self.sent.saturating_sub(excused) >= attempts_max
    }
}

/// Response to the caller of a request whose last attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalResponse {
    /// Rejected: the request has not run and will not run.
    NotRun,
    /// Failed with an unknown outcome.
    Failed,
    /// The connection of the caller is closed, because the response had started.
    Aborted,
    /// The error response of the upstream is forwarded unchanged.
    Forwarded,
}

/// What follows an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// The request is retried.
    Retry,
    /// The request ends.
    End(FinalResponse),
}

/// Maximum number of attempts that fail without a connection.
const CONNECT_FAILURES_MAX: u32 = 3;

/// Timeouts for connecting to an upstream, by the number of failed connections of the
/// request, in milliseconds. A healthy upstream accepts within a few milliseconds, while
/// a lost packet delays the connection by a second, and a queue on the link of its VM by
/// some hundred milliseconds. Nothing was sent by then, so another upstream can take the
/// request at once; if that is slow as well, the cause is probably shared and patience
/// helps more.
const CONNECT_TIMEOUTS_MS: [u64; CONNECT_FAILURES_MAX as usize] = [120, 250, 400];

/// Returns the timeout for the next connection of a request, in milliseconds.
#[must_use]
pub fn connect_timeout_ms(history: &AttemptHistory) -> u64 {
    let failures = history.not_sent.min(CONNECT_FAILURES_MAX - 1);
    CONNECT_TIMEOUTS_MS[failures as usize]
}

/// Minimum remaining time for another attempt, in milliseconds.
const ATTEMPT_TIME_MIN_MS: u64 = 100;

/// Reason why a request is never sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDenial {
    /// The request may have run and must not run twice.
    NotRepeatable,
    /// All attempts are used.
    AttemptsUsed,
    /// Too little time remains.
    NoTimeLeft,
}

impl RetryDenial {
    /// Returns the name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRepeatable => "not_repeatable",
            Self::AttemptsUsed => "attempts_used",
            Self::NoTimeLeft => "no_time_left",
        }
    }
}

/// Checks whether a request may be sent again after the attempts in `history`, apart from
/// the retry budget and the capacity of upstreams, which change.
///
/// # Errors
///
/// Returns a [`RetryDenial`] that holds for the rest of the request.
pub fn check_retry(
    kind: RequestKind,
    attempts_max: u32,
    history: &AttemptHistory,
    remaining_ms: u64,
) -> Result<(), RetryDenial> {
    if history.may_have_run && !kind.is_safe_to_retry() {
        return Err(RetryDenial::NotRepeatable);
    }
    if history.has_used_attempts(attempts_max) || history.not_sent >= CONNECT_FAILURES_MAX {
        return Err(RetryDenial::AttemptsUsed);
    }
    if remaining_ms < ATTEMPT_TIME_MIN_MS {
        return Err(RetryDenial::NoTimeLeft);
    }
    Ok(())
}

/// Decides what follows an attempt; `history` includes it.
pub fn next_step(
    kind: RequestKind,
    attempts_max: u32,
    history: &AttemptHistory,
    outcome: AttemptOutcome,
    remaining_ms: u64,
    mut try_spend: impl FnMut() -> bool,
) -> NextStep {
    let response = if history.response_started {
        FinalResponse::Aborted
    } else if outcome == AttemptOutcome::ServerError {
        FinalResponse::Forwarded
    } else if history.may_have_run {
        FinalResponse::Failed
    } else {
        FinalResponse::NotRun
    };
    if check_retry(kind, attempts_max, history, remaining_ms).is_err() {
        return NextStep::End(response);
    }
    // The first send after failed connections is not a retry.
    if history.sent > 0 && !try_spend() {
        return NextStep::End(response);
    }
    NextStep::Retry
}

/// Settings of a [`WindowedRetryBudget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowedRetryBudgetSettings {
    /// Retries allowed per request of the window, for all entries together.
    pub ratio: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
    /// Retries allowed beyond the ratio in a window; this entry's share.
    pub slack: u32,
    /// Longest time until a request arrives at an upstream that does not respond, in
    /// milliseconds: it may be paused, or the path to it cut.
    pub arrival_delay_max_ms: u64,
}

impl Default for WindowedRetryBudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.15,
            window_ms: 10_000,
            slack: 10,
            arrival_delay_max_ms: 10_000,
        }
    }
}

/// Width of the buckets in which requests and retries are counted, in milliseconds.
const BUCKET_MS: u64 = 500;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

/// Retry budget of one service over a sliding window.
///
/// The limit holds for the arrivals at upstreams. A retry counts for a window from its
/// response on, since it has arrived by then. Without a response it counts for longer, so that
/// late arrivals of one window do not add up with the retries of the next.
#[derive(Debug, Clone)]
pub struct WindowedRetryBudget {
    settings: WindowedRetryBudgetSettings,
    /// Requests, and retries that have arrived.
    buckets: VecDeque<Bucket>,
    /// Times at which the retries without a response were sent.
    unanswered: VecDeque<MonoMs>,
}

impl WindowedRetryBudget {
    /// Creates a budget without recorded requests.
    #[must_use]
    pub const fn new(settings: WindowedRetryBudgetSettings) -> Self {
        Self {
            settings,
            buckets: VecDeque::new(),
            unanswered: VecDeque::new(),
        }
    }

    fn bucket(&mut self, now: MonoMs) -> &mut Bucket {
        let index = now.0 / BUCKET_MS;
        let window_buckets = self.settings.window_ms / BUCKET_MS;
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.index + window_buckets < index)
        {
            self.buckets.pop_front();
        }
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.index < index)
        {
            self.buckets.push_back(Bucket {
                index,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Counts a request from a caller.
    pub fn record_request(&mut self, now: MonoMs) {
        self.bucket(now).requests += 1;
    }

    /// Returns whether the window has a retry left.
    pub fn has_left(&mut self, now: MonoMs) -> bool {
        self.bucket(now);
        let counted_ms =
            (self.settings.window_ms).saturating_add(self.settings.arrival_delay_max_ms);
        while self
            .unanswered
            .front()
            .is_some_and(|sent_at| now.since_ms(*sent_at) > counted_ms)
        {
            self.unanswered.pop_front();
        }
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let arrived: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let unanswered = u32::try_from(self.unanswered.len()).unwrap_or(u32::MAX);
        let allowed = self.settings.ratio * f64::from(requests) + f64::from(self.settings.slack);
        f64::from(arrived) + f64::from(unanswered) + 1.0 <= allowed
    }

    /// Spends one retry; returns false when the window has none left.
    pub fn try_spend(&mut self, now: MonoMs) -> bool {
        if !self.has_left(now) {
            return false;
        }
        self.unanswered.push_back(now);
        true
    }

    /// Records the response to a retry, all earlier attempts of which have arrived. Counts it
    /// in place of the oldest unanswered retry, which only lets the budget be spent later.
    pub fn record_response(&mut self, now: MonoMs) {
        if self.unanswered.pop_front().is_some() {
            self.bucket(now).retries += 1;
        }
    }
}

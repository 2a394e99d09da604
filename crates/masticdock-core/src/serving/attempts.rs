//! Whether an attempt is followed by another one, within one budget for all entries.

use std::collections::VecDeque;

use crate::units::MonoMs;

use super::configuration::RequestKind;

/// How an attempt at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Nothing was sent: no connection came about.
    NotSent,
    /// The upstream said that it did not run the request.
    NotExecuted,
    /// The upstream answered with an error of its own; the request ran.
    ServerError,
    /// The connection ended, or answered with bytes that are no response.
    Broken,
    /// The upstream sent nothing in time.
    Silent,
}

impl AttemptOutcome {
    /// Returns true when the request may have run.
    #[must_use]
    pub const fn may_have_run(self) -> bool {
        matches!(self, Self::ServerError | Self::Broken | Self::Silent)
    }

    /// Returns the name used in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NotExecuted => "not_executed",
            Self::ServerError => "server_error",
            Self::Broken => "broken",
            Self::Silent => "silent",
        }
    }
}

/// Attempts of one request so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Upstreams that the request was sent to.
    pub sent: u32,
    /// Attempts that ended before anything was sent.
    pub not_sent: u32,
    /// True once some attempt may have run the request.
    pub may_have_run: bool,
    /// True once response bytes reached the caller.
    pub response_started: bool,
}

impl AttemptHistory {
    /// Counts the end of an attempt.
    pub fn record(&mut self, end: AttemptOutcome) {
        if end == AttemptOutcome::NotSent {
            self.not_sent += 1;
        } else {
            self.sent += 1;
        }
        self.may_have_run |= end.may_have_run();
    }
}

/// Answer that ends a request without a response of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalResponse {
    /// Rejected: it has not run and never will.
    NotRun,
    /// Failed with an unknown outcome.
    Failed,
    /// The connection of the caller is closed, because a response had begun.
    Aborted,
    /// The response of the upstream is passed on as it is.
    Forwarded,
}

/// What follows an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Another attempt.
    Retry,
    /// The request ends.
    End(FinalResponse),
}

/// Attempts without a connection after which a request ends.
const UNSENT_MAX: u32 = 3;

/// Shortest remaining time in which another attempt is worth starting, in milliseconds.
const ATTEMPT_MS_MIN: u64 = 100;

/// Decides what follows an attempt; `attempt` includes it.
pub fn next_step(
    kind: RequestKind,
    attempts_max: u32,
    attempt: &AttemptHistory,
    end: AttemptOutcome,
    left_ms: u64,
    mut try_spend: impl FnMut() -> bool,
) -> NextStep {
    let answer = if attempt.response_started {
        FinalResponse::Aborted
    } else if end == AttemptOutcome::ServerError {
        FinalResponse::Forwarded
    } else if attempt.may_have_run {
        FinalResponse::Failed
    } else {
        FinalResponse::NotRun
    };
    if attempt.may_have_run && !kind.is_safe_to_retry() {
        return NextStep::End(answer);
    }
    if attempt.sent >= attempts_max || attempt.not_sent >= UNSENT_MAX || left_ms < ATTEMPT_MS_MIN {
        return NextStep::End(answer);
    }
    // The first send after failed connections is no repeat.
    if attempt.sent > 0 && !try_spend() {
        return NextStep::End(answer);
    }
    NextStep::Retry
}

/// Settings of the budget of repeats.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowedRetryBudgetSettings {
    /// Repeats for each request of the window, all entries together.
    pub ratio: f64,
    /// Window, in milliseconds.
    pub window_ms: u64,
    /// Repeats allowed beyond the ratio in a window; the part of this entry.
    pub slack: u32,
}

impl Default for WindowedRetryBudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.15,
            window_ms: 10_000,
            slack: 10,
        }
    }
}

/// Width of the buckets in which requests and repeats are counted, in milliseconds.
const BUCKET_MS: u64 = 500;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    index: u64,
    requests: u32,
    repeats: u32,
}

/// Sliding budget of repeats to one service.
#[derive(Debug, Clone)]
pub struct WindowedRetryBudget {
    settings: WindowedRetryBudgetSettings,
    buckets: VecDeque<Bucket>,
}

impl WindowedRetryBudget {
    /// Makes an empty budget.
    #[must_use]
    pub const fn new(settings: WindowedRetryBudgetSettings) -> Self {
        Self {
            settings,
            buckets: VecDeque::new(),
        }
    }

    fn bucket(&mut self, now: MonoMs) -> &mut Bucket {
        let index = now.0 / BUCKET_MS;
        let kept = self.settings.window_ms / BUCKET_MS;
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.index + kept < index)
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
                repeats: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: MonoMs) {
        self.bucket(now).requests += 1;
    }

    /// Takes one repeat; returns false when the window has none left.
    pub fn try_spend(&mut self, now: MonoMs) -> bool {
        self.bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        let allowed = self.settings.ratio * f64::from(requests) + f64::from(self.settings.slack);
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.bucket(now).repeats += 1;
        true
    }
}

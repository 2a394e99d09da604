//! Retry policy: decides whether a failed attempt is retried.

mod budget;

pub use budget::RetryBudget;

use crate::problem::{ProblemKind, RunState};
use crate::units::MonoMs;

/// Failed attempts of one request so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestProgress {
    /// Failed attempts that an upstream may have admitted.
    pub attempts: u32,
    /// Failed attempts that upstreams rejected without running the request.
    pub rejections: u32,
    /// Tokens delivered to the caller.
    pub delivered_tokens: u64,
    /// True once an attempt failed whose upstream may have run the request.
    pub may_have_run: bool,
    /// Deadline set by the caller.
    pub deadline: MonoMs,
}

impl RequestProgress {
    /// Returns the state of a request before its first attempt.
    #[must_use]
    pub const fn new(deadline: MonoMs) -> Self {
        Self {
            attempts: 0,
            rejections: 0,
            delivered_tokens: 0,
            may_have_run: false,
            deadline,
        }
    }

    /// Records a failed attempt.
    pub fn record_failure(&mut self, failed_state: RunState) {
        match failed_state {
            RunState::NotRun => self.rejections += 1,
            RunState::Unknown => {
                self.attempts += 1;
                self.may_have_run = true;
            }
        }
    }

    /// Decides whether the request waits while no upstream can take it.
    ///
    /// A response that has begun is lost when the request gives up, so it waits until its deadline
    /// as long as an upstream may return. A caller that got nothing is told soon, because it can
    /// send the request elsewhere; `waits_left` tells whether it waits once more.
    #[must_use]
    pub const fn waits_for_upstream(&self, waits_left: bool, may_return: bool) -> bool {
        waits_left || (self.delivered_tokens > 0 && may_return)
    }

    /// Returns true when the request waits for what stands against a retry to pass: the retry budget
    /// fills up again, and a response that has begun would be lost.
    #[must_use]
    pub const fn outlasts(&self, reason: NoRetryReason) -> bool {
        self.delivered_tokens > 0 && matches!(reason, NoRetryReason::BudgetExhausted)
    }

    /// Returns true when a request with an idempotency key, of which an attempt may have run, asks for
    /// the outcome of that attempt again: it is still in progress, or its record cannot be read.
    #[must_use]
    pub const fn asks_again(&self, kind: ProblemKind) -> bool {
        let is_open = matches!(
            kind,
            ProblemKind::RequestInProgress | ProblemKind::TableUnavailable
        );
        self.may_have_run && is_open
    }

    /// Returns the run state to report when the last attempt ended in `last`.
    ///
    /// Once any attempt may have run the request, the result is unknown: an
    /// upstream that rejects a later attempt does not know about earlier ones.
    #[must_use]
    pub const fn run_state(&self, last: RunState) -> RunState {
        if self.may_have_run {
            return RunState::Unknown;
        }
        last
    }
}

/// Limits on retries of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Most attempts that an upstream may have admitted, the first one included.
    pub attempts_max: u32,
    /// Number of rejections at which a request is no longer retried.
    pub rejections_max: u32,
    /// No retry starts unless more than this time is left before the deadline.
    pub remaining_ms_min: u64,
}

/// Reason for which a failed attempt is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoRetryReason {
    /// Any other attempt would fail in the same way.
    Terminal,
    /// The limit on attempts or on rejections is reached.
    AttemptsExhausted,
    /// Too little time is left before the deadline.
    DeadlineTooClose,
    /// The retry budget is exhausted.
    BudgetExhausted,
}

/// Returns true when a retry at another upstream cannot change the outcome.
#[must_use]
pub const fn is_terminal(kind: ProblemKind) -> bool {
    matches!(
        kind,
        ProblemKind::BadRequest
            | ProblemKind::Unauthorized
            | ProblemKind::UnknownService
            | ProblemKind::BodyTooLarge
            | ProblemKind::HeaderTooLarge
            | ProblemKind::KeyRequired
            | ProblemKind::KeyReused
            | ProblemKind::CrashingRequest
            | ProblemKind::DeadlineExceeded
            | ProblemKind::TableUnavailable
            | ProblemKind::OutcomeUnknown
    )
}

/// Returns true when a retry is left after an attempt that starts now and ends without an outcome.
///
/// Silence of an upstream is a reason to give up an attempt only then.
#[must_use]
pub const fn is_retry_left(
    progress: &RequestProgress,
    policy: RetryPolicy,
    budget: &RetryBudget,
) -> bool {
    progress.attempts.saturating_add(1) < policy.attempts_max && budget.remaining() > 0
}

/// Decides whether a failed attempt is retried, and charges the retry to `budget`.
///
/// `progress` already includes the failed attempt. Retrying a rejected attempt
/// costs no budget, because the upstream did no work for it. The limit on rejections is for requests
/// of which the caller has nothing: a response that has begun would be lost.
///
/// # Errors
///
/// Returns the reason for which the attempt is not retried.
pub fn check_retry(
    progress: &RequestProgress,
    failed_state: RunState,
    kind: ProblemKind,
    policy: RetryPolicy,
    budget: &mut RetryBudget,
    now: MonoMs,
) -> Result<(), NoRetryReason> {
    if is_terminal(kind) {
        return Err(NoRetryReason::Terminal);
    }
    let rejected = progress.rejections >= policy.rejections_max && progress.delivered_tokens == 0;
    if progress.attempts >= policy.attempts_max || rejected {
        return Err(NoRetryReason::AttemptsExhausted);
    }
    if now.plus_ms(policy.remaining_ms_min) >= progress.deadline {
        return Err(NoRetryReason::DeadlineTooClose);
    }
    if failed_state == RunState::Unknown && !budget.try_spend() {
        return Err(NoRetryReason::BudgetExhausted);
    }
    Ok(())
}

//! Whether a failed attempt is followed by another one.

mod budget;

pub use budget::RetryBudget;

use crate::problem::{ProblemKind, RunState};
use crate::units::MonoMs;

/// What happened to a request so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestProgress {
    /// Attempts that an upstream admitted or may have admitted.
    pub attempts: u32,
    /// Attempts that upstreams refused without running anything.
    pub rejections: u32,
    /// Tokens that reached the caller.
    pub delivered_tokens: u64,
    /// True once some attempt may have run the request.
    pub may_have_run: bool,
    /// Deadline of the caller.
    pub deadline: MonoMs,
}

impl RequestProgress {
    /// Starts a request.
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

    /// Counts a failed attempt.
    pub fn record_failure(&mut self, failed: RunState) {
        match failed {
            RunState::NotRun => self.rejections += 1,
            RunState::Unknown => {
                self.attempts += 1;
                self.may_have_run = true;
            }
        }
    }

    /// Returns what the caller is told when the request ends with `last`.
    ///
    /// One attempt that may have run makes the whole request unknown: a later
    /// upstream that refuses speaks for itself alone.
    #[must_use]
    pub const fn run_state(&self, last: RunState) -> RunState {
        if self.may_have_run {
            return RunState::Unknown;
        }
        last
    }
}

/// Limits of retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Attempts for one request, the first one included.
    pub attempts_max: u32,
    /// Refusals after which a request is given up.
    pub rejections_max: u32,
    /// Time before the deadline in which no attempt starts any more.
    pub remaining_ms_min: u64,
}

/// Why a request is not tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoRetryReason {
    /// Another attempt would meet the same answer.
    Terminal,
    /// The number of attempts is used up.
    AttemptsExhausted,
    /// The deadline is too near.
    DeadlineTooClose,
    /// The retry budget is used up.
    BudgetExhausted,
}

/// Returns true when no other upstream can answer better.
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

/// Decides whether a failed attempt is followed by another one.
///
/// `progress` includes the failed attempt. A refusal costs no budget, because
/// the upstream spent nothing on it.
///
/// # Errors
///
/// Returns why the request is given up.
pub fn check_retry(
    progress: &RequestProgress,
    failed: RunState,
    kind: ProblemKind,
    rules: RetryPolicy,
    budget: &mut RetryBudget,
    now: MonoMs,
) -> Result<(), NoRetryReason> {
    if is_terminal(kind) {
        return Err(NoRetryReason::Terminal);
    }
    if progress.attempts >= rules.attempts_max || progress.rejections >= rules.rejections_max {
        return Err(NoRetryReason::AttemptsExhausted);
    }
    if now.plus_ms(rules.remaining_ms_min) >= progress.deadline {
        return Err(NoRetryReason::DeadlineTooClose);
    }
    if failed == RunState::Unknown && !budget.try_spend() {
        return Err(NoRetryReason::BudgetExhausted);
    }
    Ok(())
}

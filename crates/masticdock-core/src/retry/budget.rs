//! Retry budget: limits retries to a ratio of successful requests.

const MILLI_PER_RETRY: u64 = 1_000;

/// Retries allowed before the first success is recorded.
const INITIAL_RETRIES: u64 = 10;

/// Most retries that can be saved up; bounds the burst of retries when upstreams
/// fail after a long period without failures.
const SAVED_RETRIES_MAX: u64 = 100;

/// Allows retries in proportion to successes, so that retries do not multiply
/// the load on failing upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    per_success_milli: u64,
    credit_milli: u64,
}

impl RetryBudget {
    /// Creates a budget that allows `percent` retries for every 100 successes.
    #[must_use]
    pub const fn new(percent: u64) -> Self {
        Self {
            per_success_milli: percent * MILLI_PER_RETRY / 100,
            credit_milli: INITIAL_RETRIES * MILLI_PER_RETRY,
        }
    }

    /// Records a successful request.
    pub fn record_success(&mut self) {
        let credit = self.credit_milli + self.per_success_milli;
        self.credit_milli = credit.min(SAVED_RETRIES_MAX * MILLI_PER_RETRY);
    }

    /// Takes one retry out of the budget; returns false when the budget is exhausted.
    pub const fn try_spend(&mut self) -> bool {
        if self.credit_milli < MILLI_PER_RETRY {
            return false;
        }
        self.credit_milli -= MILLI_PER_RETRY;
        true
    }

    /// Returns the number of whole retries that the budget still allows.
    #[must_use]
    pub const fn remaining(&self) -> u64 {
        self.credit_milli / MILLI_PER_RETRY
    }
}

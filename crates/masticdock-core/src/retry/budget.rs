//! Budget of retries as a ratio of successes.

/// Credit of one retry.
const RETRY_MILLI: u64 = 1_000;

/// Retries allowed before the first success.
const INITIAL_RETRIES: u64 = 10;

/// Retries that can be saved up; bounds the surge after a long calm.
const SAVED_RETRIES_MAX: u64 = 100;

/// Allows retries in proportion to successes, so that retries cannot multiply
/// the load of upstreams that fail.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RetryBudget {
    per_success_milli: u64,
    credit_milli: u64,
}

impl RetryBudget {
    /// Makes a budget of `percent` retries for each 100 successes.
    #[must_use]
    pub const fn new(percent: u64) -> Self {
        Self {
            per_success_milli: percent * RETRY_MILLI / 100,
            credit_milli: INITIAL_RETRIES * RETRY_MILLI,
        }
    }

    /// Counts a success.
    pub fn record_success(&mut self) {
        let credit = self.credit_milli + self.per_success_milli;
        self.credit_milli = credit.min(SAVED_RETRIES_MAX * RETRY_MILLI);
    }

    /// Takes one retry; returns false when none is left.
    pub const fn try_spend(&mut self) -> bool {
        if self.credit_milli < RETRY_MILLI {
            return false;
        }
        self.credit_milli -= RETRY_MILLI;
        true
    }

    /// Returns the whole retries that are left.
    #[must_use]
    pub const fn remaining(&self) -> u64 {
        self.credit_milli / RETRY_MILLI
    }
}

//! Retry budgets and backoff.
//!
//! Retries happen in one layer only, at the home instance, and only for operations that have provably not run. Each
//! success adds a fraction of a retry to the budget, so retries can't multiply the load when most requests fail.

use rand::RngExt;

/// Number of successes that pay for one retry.
const SUCCESSES_PER_RETRY: u32 = 5;
/// Maximum number of retries in the budget.
const MAX_RETRIES: u32 = 50;

/// Retry budget.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// Number of unspent successes.
    balance: u32,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { balance: MAX_RETRIES * SUCCESSES_PER_RETRY }
    }
}

impl RetryBudget {
    /// Records a successful request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + 1).min(MAX_RETRIES * SUCCESSES_PER_RETRY);
    }

    /// Withdraws one retry. Returns false if the budget is exhausted.
    pub fn try_withdraw(&mut self) -> bool {
        let has = self.balance >= SUCCESSES_PER_RETRY;
        if has {
            self.balance -= SUCCESSES_PER_RETRY;
        }
        has
    }
}

/// Exponential backoff with equal jitter: each delay is random between half of the current maximum and the maximum.
#[derive(Clone, Debug)]
pub struct Backoff {
    base: u64,
    cap: u64,
    attempt: u32,
}

impl Backoff {
    /// Creates a backoff whose first delay is at most `base` milliseconds, and whose later delays are at most `cap`
    /// milliseconds.
    pub fn new(base: u64, cap: u64) -> Backoff {
        Backoff { base, cap, attempt: 0 }
    }

    /// Returns the next delay, in milliseconds.
    pub fn next_delay(&mut self, rng: &mut impl rand::Rng) -> u64 {
        let max = self.base.saturating_mul(1 << self.attempt.min(16)).min(self.cap).max(1);
        self.attempt += 1;
        rng.random_range(max / 2..=max)
    }

    /// Restarts from the first delay, after a success.
    pub fn reset(&mut self) {
        self.attempt = 0;
    }
}

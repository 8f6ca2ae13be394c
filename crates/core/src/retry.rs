//! Budgets and backoff of retries.
//!
//! Retries happen in one layer, at the home, and only for what is provably unrun. Each success earns a
//! share of a retry, so that retries can't multiply load when most requests fail.

use rand::RngExt;

/// Successes that earn one retry.
const PRICE: u32 = 5;
/// Most retries saved up.
const MOST: u32 = 50;

/// A budget of retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    /// In successes.
    saved: u32,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { saved: MOST * PRICE }
    }
}

impl RetryBudget {
    /// A request succeeded.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + 1).min(MOST * PRICE);
    }

    /// Takes one retry if there is one.
    pub fn try_withdraw(&mut self) -> bool {
        let has = self.saved >= PRICE;
        if has {
            self.saved -= PRICE;
        }
        has
    }
}

/// Exponential backoff with full jitter.
#[derive(Clone, Debug)]
pub struct Backoff {
    base: u64,
    cap: u64,
    step: u32,
}

impl Backoff {
    /// Waits of at most `base` milliseconds first and `cap` milliseconds in the end.
    pub fn new(base: u64, cap: u64) -> Backoff {
        Backoff { base, cap, step: 0 }
    }

    /// The next wait, in milliseconds.
    pub fn next_delay(&mut self, rng: &mut impl rand::Rng) -> u64 {
        let top = self.base.saturating_mul(1 << self.step.min(16)).min(self.cap).max(1);
        self.step += 1;
        rng.random_range(top / 2..=top)
    }

    /// Begins anew after a success.
    pub fn reset(&mut self) {
        self.step = 0;
    }
}

//! Results of claims.

use {
    crate::retry_after::RetryAfter,
    serde::{Deserialize, Serialize},
};

/// Maximum delay stated to a caller, in microseconds: one hour.
pub const MAX_RETRY_AFTER: u64 = 3_600_000_000;

/// Result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// Some or all of the claimed operations may run.
    Granted {
        /// Number of operations that may run, at most the number claimed.
        count: u32,
        /// Delay before they may run, in microseconds.
        after: u64,
        /// Retry times of the remaining operations.
        rest: RetrySchedule,
    },
    /// No operation may run.
    Refused(RetrySchedule),
}

impl Grant {
    /// Returns the result for the operation with index `n` of a claim for several.
    pub fn nth(self, n: u32) -> Grant {
        match self {
            Grant::Granted { count, rest, .. } if n >= count => Grant::Refused(rest.skip(n - count)),
            Grant::Refused(schedule) => Grant::Refused(schedule.skip(n)),
            granted => granted,
        }
    }
}

/// Retry times of operations that were refused together, in microseconds from now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetrySchedule {
    /// Delay until the first retry.
    pub after: u64,
    /// Interval between two retries.
    pub step: u64,
    /// True if tokens are available but reserved for other operations.
    pub reserved: bool,
}

impl RetrySchedule {
    /// Returns a schedule in which all operations retry at the same time.
    pub const fn at(after: u64) -> RetrySchedule {
        RetrySchedule { after, step: 0, reserved: false }
    }

    /// Returns the schedule without its first `n` retries.
    pub fn skip(self, n: u32) -> RetrySchedule {
        let after = self.after.saturating_add(self.step.saturating_mul(n.into())).min(MAX_RETRY_AFTER);
        RetrySchedule { after, ..self }
    }

    /// Returns the retry time of the operation with index `n`, whose caller waits `remaining` microseconds at most, or
    /// without a limit if that is `None`.
    pub fn retry_after(self, n: u32, remaining: Option<u64>) -> RetryAfter {
        let RetrySchedule { after, .. } = self.skip(n);
        match remaining {
            Some(remaining) if after > remaining => RetryAfter::TooLate { after },
            _ => RetryAfter::Room { after },
        }
    }
}

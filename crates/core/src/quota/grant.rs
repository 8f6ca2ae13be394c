//! What becomes of a claim.

use {
    crate::retry_after::RetryAfter,
    serde::{Deserialize, Serialize},
};

/// No caller is told a later time than this, in microseconds: an hour.
pub const MAX_RETRY_AFTER: u64 = 3_600_000_000;

/// The outcome of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Grant {
    /// So many operations may run, after a pause in microseconds.
    Granted {
        /// Operations, as many as were asked for or fewer.
        count: u32,
        /// The pause.
        after: u64,
        /// When the others may come back.
        rest: RetrySchedule,
    },
    /// None.
    Refused(RetrySchedule),
}

impl Grant {
    /// What a grant for several means for one of them.
    pub fn nth(self, n: u32) -> Grant {
        match self {
            Grant::Granted { count, rest, .. } if n >= count => Grant::Refused(rest.skip(n - count)),
            Grant::Refused(places) => Grant::Refused(places.skip(n)),
            granted => granted,
        }
    }
}

/// When those who were refused together may come back. Times are microseconds from now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetrySchedule {
    /// There is room for the first one then.
    pub after: u64,
    /// Between two of them.
    pub step: u64,
    /// Whether there are tokens, which are kept for others.
    pub reserved: bool,
}

impl RetrySchedule {
    /// The same time for all.
    pub const fn at(after: u64) -> RetrySchedule {
        RetrySchedule { after, step: 0, reserved: false }
    }

    /// The same for those after the first ones.
    pub fn skip(self, n: u32) -> RetrySchedule {
        let after = self.after.saturating_add(self.step.saturating_mul(n.into())).min(MAX_RETRY_AFTER);
        RetrySchedule { after, ..self }
    }

    /// What one of them is told that has some time left, or any.
    pub fn retry_after(self, n: u32, left: Option<u64>) -> RetryAfter {
        let RetrySchedule { after, .. } = self.skip(n);
        match left {
            Some(left) if after > left => RetryAfter::TooLate { after },
            _ => RetryAfter::Room { after },
        }
    }
}

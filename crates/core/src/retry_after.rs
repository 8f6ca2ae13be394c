//! When callers that were refused may come back.
//!
//! Callers that are all told the same moment come back together, and all but the first are refused again. Each one gets
//! a place of its own in the time when there will be room.
//!
//! Times are microseconds.

use {
    crate::Time,
    serde::{Deserialize, Serialize},
};

/// What a refused caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryAfter {
    /// There will be room for this caller after so long.
    Room {
        /// From now.
        after: Time,
    },
    /// There will be none while its answer is still of use to it.
    TooLate {
        /// From now, when there will be room all the same.
        after: Time,
    },
}

impl RetryAfter {
    /// The pause, in either case.
    pub fn after(self) -> Time {
        match self {
            RetryAfter::Room { after } | RetryAfter::TooLate { after } => after,
        }
    }
}

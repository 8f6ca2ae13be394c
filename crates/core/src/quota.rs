//! Usage limits of organisations, enforced across all instances.
//!
//! The limit of an organisation is a token bucket with a rate in operations per second and a burst. Every instance
//! owns an equal share of every limit. The share of one instance may be only a few operations per minute, too little
//! to serve callers, so instances lend their shares for a short time to a single instance, the [`Limiter`] of the
//! organisation's hash slot, which grants tokens to all of them. A share fills only one bucket at a time. The sum of
//! all grants is therefore bounded by what the shares have accrued, even if instances disagree about the limiter of a
//! slot or the network is partitioned.
//!
//! | item | purpose |
//! | --- | --- |
//! | [`Lender`] | loans of an instance's own shares |
//! | [`Limiter`] | loans received by an instance, and the buckets that they fill |
//! | [`RenewalScheduler`] | times of messages to limiters, and the duration of loans |
//! | [`Demand`] | size and urgency of a claim |
//! | [`RetrySchedule`] | times at which refused callers may retry |
//!
//! If an organisation claims more tokens than accrue, tokens are reserved for more urgent operations, and a minimum for
//! the least urgent ones. A reservation only refuses claims and never changes the level of a bucket.
//!
//! Invariant: in any window, the tokens granted by all limiters together are at most the rate times the window, plus
//! the burst, plus [`Limits::margin`], plus the tokens that accrue within [`MAX_DELAY`]. Each start of a limiter
//! process in the window adds the margin once more. Each start of a lender process adds the tokens that its share
//! accrues within one loan of the previous process if that process had lent the share to an instance other than the
//! preferred limiter; loans of the previous process may have been longer than those of the new one.
//!
//! A loan lasts [`MIN_LOAN_DURATION`], and longer in a large fleet. The lender states the duration in each message
//! and counts it from the time of sending. The limiter counts it from the earlier time that it had reported to the
//! lender, so the loan always expires at the limiter first. The duration used by a lender never decreases, so no
//! earlier message can lend a share for longer than a later one.

mod grant;
mod lender;
mod limiter;
mod renewal;
mod reserve;
mod urgency;

pub use self::{
    grant::{Grant, MAX_RETRY_AFTER, RetrySchedule},
    lender::Lender,
    limiter::{Limiter, Offer, OfferReply},
    renewal::{
        MAX_LOAN_DURATION, MAX_MESSAGE_RATE, MIN_RENEWAL_INTERVAL, MIN_REPLY_TIMEOUT, RenewalScheduler,
    },
    urgency::{Demand, Urgency},
};

use {
    serde::{Deserialize, Serialize},
    xxhash_rust::xxh3::xxh3_64,
};

/// Number of hash slots over which organisations are distributed. Each slot has its own limiter, so an instance sends
/// messages to at most this number of others in each interval of its [`RenewalScheduler`], whatever the fleet's size.
pub const SLOTS: usize = 8;

/// Minimum duration of a loan, in microseconds. The shares lent to a limiter that fails are unavailable for
/// this long.
pub const MIN_LOAN_DURATION: u64 = 1_500_000;

/// Maximum time by which a token is granted before it accrues, in microseconds. The caller waits in order during that
/// time instead of retrying.
pub const MAX_DELAY: u64 = 60_000;

/// Microseconds in a second.
const SECOND: f64 = 1e6;

/// Returns the hash slot of an organisation.
pub fn slot(organisation: &str) -> usize {
    xxh3_64(organisation.as_bytes()) as usize % SLOTS
}

/// Set of hash slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotSet(u8);

impl SlotSet {
    /// Adds a slot.
    pub fn insert(&mut self, slot: usize) {
        self.0 |= 1 << slot;
    }

    /// Returns true if the set contains the slot.
    pub fn contains(self, slot: usize) -> bool {
        self.0 & (1 << slot) != 0
    }

    /// Returns true if the set contains no slot.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }
}

/// Limit of an organisation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Operations per second.
    pub rate: f64,
    /// Operations that may run at once after a pause.
    pub burst: f64,
    /// Operations tolerated above rate and burst, for a full bucket and for each new limiter. Independent of the limit.
    pub margin: f64,
}

/// Time on the clock of one limiter. Other instances only store and return the value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timestamp {
    /// Identifier of the limiter's process, which differs after each restart of an instance.
    pub process: u64,
    /// Microseconds of that process's monotonic clock.
    pub at: u64,
}

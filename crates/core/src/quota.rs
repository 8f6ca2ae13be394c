//! Usage limits of organisations over all instances.
//!
//! An organisation's limit is a token bucket: so many operations a second, and a burst. Every instance owns an even
//! share of every limit. A share of a few operations a minute serves nobody, so instances lend theirs, for a short
//! term, to one that grants tokens to all: the [`Limiter`] of the organisation's slot. What is granted anywhere adds up
//! to what shares have filled, whoever believes to be whose limiter and however the network is cut: a share fills in
//! one place at a time.
//!
//! | part | holds |
//! | --- | --- |
//! | [`Lender`] | where the shares of an instance are |
//! | [`Limiter`] | what was lent to an instance, and the buckets that it fills |
//! | [`RenewalScheduler`] | when an instance speaks to which limiter, and for how long it lends |
//! | [`Demand`] | what is claimed, and how urgent it is |
//! | [`RetrySchedule`] | when those may come back that were refused |
//!
//! Where more is claimed than comes in, tokens are kept for more urgent operations, and a part for the least urgent ones.
//! That only refuses, and changes nothing of what a bucket holds.
//!
//! What must hold, in any window: tokens granted by all limiters together stay within the rate times the window, the
//! burst, [`Limits::margin`], and the tokens that come in within [`MAX_DELAY`]. Each start of a limiter's process in the
//! window adds the margin once more, and each start of a lender's the tokens of its share within a term of its earlier
//! process, which may have been longer than the new one's, if that was with another than the usual limiter.
//!
//! The term is [`MIN_LOAN_DURATION`], and longer in a large fleet. The lender names it in each message and counts it from the time it
//! sends that, the limiter from the earlier moment that it told: the limiter's is over first, whatever the term. A
//! lender's terms never fall, so that none of its messages can lend for longer than a later one.

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

/// Organisations are dealt to so many slots, each with a limiter of its own. An instance speaks to as many others in each
/// period of its [`RenewalScheduler`], whatever the fleet's size.
pub const SLOTS: usize = 8;

/// How long a share is lent at least, in microseconds. A limiter that is lost takes its shares with it for as long.
pub const MIN_LOAN_DURATION: u64 = 1_500_000;

/// A token may be granted this long before it comes in, in microseconds: its caller waits meanwhile, in order, in place
/// of asking again.
pub const MAX_DELAY: u64 = 60_000;

/// Microseconds in a second.
const SECOND: f64 = 1e6;

/// The slot of an organisation.
pub fn slot(organisation: &str) -> usize {
    xxh3_64(organisation.as_bytes()) as usize % SLOTS
}

/// A set of slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotSet(u8);

impl SlotSet {
    /// Adds a slot.
    pub fn insert(&mut self, slot: usize) {
        self.0 |= 1 << slot;
    }

    /// Whether a slot is among them.
    pub fn contains(self, slot: usize) -> bool {
        self.0 & (1 << slot) != 0
    }

    /// Whether there is none.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }
}

/// An organisation's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Operations a second.
    pub rate: f64,
    /// Operations at once after a pause.
    pub burst: f64,
    /// Operations above these that are tolerated, whatever the limit, for a full bucket and for each new limiter.
    pub margin: f64,
}

/// A moment on a limiter's clock, which it alone can read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timestamp {
    /// Tells apart the processes that an instance has run as.
    pub process: u64,
    /// Microseconds of that process's monotonic clock.
    pub at: u64,
}

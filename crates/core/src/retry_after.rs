//! Retry times of refused callers.
//!
//! Callers that are given the same retry time come back together, and all but the first are refused again. Each caller
//! is therefore given a time of its own, within the period in which tokens will be available.
//!
//! Times are microseconds.

use {
    crate::quota::{MAX_RETRY_AFTER, RetrySchedule, Urgency},
    pondtrack_proto::Name,
    serde::{Deserialize, Serialize},
};

/// Minimum lifetime of a cached refusal.
const MIN_TTL: u64 = 5_000;
/// Maximum lifetime of a cached refusal. A limit may be raised, or another limiter may take over.
const MAX_TTL: u64 = 200_000;
/// Maximum lateness of a retry that still counts as the scheduled one. It covers the network delay and a busy instance.
const MAX_LATENESS: u64 = 50_000;
/// Maximum number of scheduled retries stored for an organisation's operations of one priority.
const MAX_RETRIES: usize = 256;

/// Retry time given to a refused caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetryAfter {
    /// A token will be available for this caller after a delay.
    Room {
        /// Delay from now.
        after: u64,
    },
    /// No token will be available before the caller's deadline.
    TooLate {
        /// Delay from now until a token is available.
        after: u64,
    },
}

impl RetryAfter {
    /// Returns the delay until a token is available.
    pub fn delay(self) -> u64 {
        match self {
            RetryAfter::Room { after } | RetryAfter::TooLate { after } => after,
        }
    }
}

/// Refusal of an organisation's operations of one priority.
#[derive(Clone, Debug)]
struct Refusal {
    organisation: Name,
    priority: Option<u8>,
    /// Time until which callers are refused without a claim to the limiter.
    until: u64,
    /// Last retry time that was given.
    last: u64,
    /// Interval between two retry times.
    step: u64,
    /// Scheduled retries.
    retries: Vec<u64>,
}

impl Refusal {
    /// Returns true if the refusal has expired and no retry is scheduled.
    fn is_expired(&mut self, now: u64) -> bool {
        self.retries.retain(|retry| retry + MAX_LATENESS > now);
        self.until <= now && self.retries.is_empty()
    }

    /// Returns the retry time of a caller, and stores it unless it is after the caller's deadline.
    fn schedule(&mut self, retry: u64, remaining: u64, now: u64) -> RetryAfter {
        // Callers receive milliseconds. Rounding down would let them arrive before the token is available.
        let after = (retry - now).next_multiple_of(1_000);
        if after > remaining {
            return RetryAfter::TooLate { after };
        }
        self.last = self.last.max(retry);
        if self.retries.len() < MAX_RETRIES {
            self.retries.push(retry);
        }
        RetryAfter::Room { after }
    }
}

/// Refusals cached by an instance. Callers that retry too early are refused locally and cause no messages to limiters.
#[derive(Clone, Debug, Default)]
pub struct RefusalCache {
    /// Sorted by organisation and priority.
    refusals: Vec<Refusal>,
}

impl RefusalCache {
    /// Returns the retry time of a caller, or `None` if the limiter has to decide. That is the case for a caller that
    /// arrives when a scheduled retry is due, because it may be the scheduled one.
    pub fn lookup(&mut self, organisation: &Name, urgency: Option<Urgency>, now: u64) -> Option<RetryAfter> {
        let at = self.find(organisation, urgency).ok()?;
        let refusal = &mut self.refusals[at];
        if refusal.is_expired(now) {
            self.refusals.remove(at);
            return None;
        }
        if let Some(due) = refusal.retries.iter().position(|retry| *retry <= now) {
            refusal.retries.remove(due);
            return None;
        }
        if refusal.until <= now {
            return None;
        }
        match urgency {
            None => Some(RetryAfter::Room { after: refusal.until - now }),
            Some(u) => Some(refusal.schedule(refusal.last.max(now) + refusal.step, u.remaining, now)),
        }
    }

    /// Stores a refusal by a limiter, and returns the retry time of the caller.
    pub fn insert(
        &mut self,
        organisation: &Name,
        urgency: Option<Urgency>,
        schedule: RetrySchedule,
        now: u64,
    ) -> RetryAfter {
        let priority = urgency.map(|u| u.priority);
        let until = now + schedule.after.clamp(MIN_TTL, MAX_TTL);
        let at = self.find(organisation, urgency).unwrap_or_else(|at| {
            let organisation = organisation.clone();
            let new = Refusal { organisation, priority, until, last: 0, step: 0, retries: Vec::new() };
            self.refusals.insert(at, new);
            at
        });
        let refusal = &mut self.refusals[at];
        refusal.until = until;
        refusal.step = schedule.step.min(MAX_RETRY_AFTER);
        match urgency {
            None => RetryAfter::Room { after: schedule.after },
            Some(urgency) => {
                let retry = now + schedule.skip(0).after;
                let response = refusal.schedule(retry, urgency.remaining, now);
                // If this caller can't wait for the retry time, the next caller gets it, and no earlier one.
                refusal.last = refusal.last.max(retry.saturating_sub(refusal.step));
                response
            }
        }
    }

    /// Removes expired refusals.
    pub fn evict_expired(&mut self, now: u64) {
        self.refusals.retain_mut(|refusal| !refusal.is_expired(now));
    }

    fn find(&self, organisation: &Name, urgency: Option<Urgency>) -> Result<usize, usize> {
        let key = (organisation, urgency.map(|u| u.priority));
        self.refusals.binary_search_by(|refusal| (&refusal.organisation, refusal.priority).cmp(&key))
    }
}

//! Time budget of a statement for its waits before it is sent to a server.
//!
//! All waits of a statement draw on one budget. It is derived from the caller's response time objective and not from the
//! route's timeout: a caller that is rejected early can still retry elsewhere in time. Where callers don't compete for
//! quotas, each wait has a limit of its own, derived from the route's timeout.
//!
//! Times are in microseconds.

use {
    crate::Time,
    strum::{Display, EnumIter, IntoStaticStr},
};

/// Deadline of the wait for a quota, in percent of the objective. All other waits come after this one.
const QUOTA_PERCENT: Time = 50;
/// Deadline of the wait for evidence, in percent of the objective. The state of a group is known within a few milliseconds,
/// or this instance can't learn it; the remaining time lets another instance answer.
const EVIDENCE_PERCENT: Time = 75;
/// Deadline of the wait for a permit or a connection, in percent of the objective. A statement that has waited past the
/// objective is late at any instance: a short further wait serves it sooner than a backoff and a place at the end of
/// another queue.
const PERMIT_PERCENT: Time = 150;
/// Deadline of the wait for a primary, and for a permit and a connection at the primary found after that, in percent of the
/// objective. A failover is short, and no other instance has a primary meanwhile. Callers give up after a few objectives,
/// and three attempts of this length cover these.
const PRIMARY_PERCENT: Time = 200;
/// Deadline of the wait for a permit or a connection, in percent of the route's timeout, in [`Mode::PerWait`]. Callers make
/// three attempts and give up after about three such limits.
const PER_WAIT_PERMIT_PERCENT: Time = 40;
/// Deadline of any other wait, in percent of the route's timeout, in [`Mode::PerWait`].
const PER_WAIT_PERCENT: Time = 100;

/// Reason for which a statement waits before it is sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Wait {
    /// A token of the organisation's quota.
    Quota,
    /// The log position that a server must have reached.
    Evidence,
    /// A primary that responds.
    Primary,
    /// A permit to run at a server.
    #[strum(serialize = "turn")]
    Permit,
    /// A connection to a server.
    Connection,
}

/// Times of a request from which a [`Budget`] is derived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeLimits {
    /// Arrival time of the statement.
    pub arrived_at: Time,
    /// Response time objective of the caller.
    pub objective: Time,
    /// Timeout of the route.
    pub timeout: Time,
}

/// Rule by which the deadlines of waits are derived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Each wait has a deadline of its own, derived from the route's timeout.
    PerWait,
    /// All waits share one budget, derived from the objective.
    Objective,
    /// As [`Mode::Objective`], after a failover that has used up the time for a permit.
    Failover,
}

/// Time budget of one statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    limits: TimeLimits,
    mode: Mode,
}

impl Budget {
    /// Creates the budget of a statement that has just arrived.
    pub fn new(limits: TimeLimits, mode: Mode) -> Budget {
        Budget { limits, mode }
    }

    /// Returns the time at which a wait ends.
    pub fn deadline(&self, wait: Wait) -> Time {
        let TimeLimits { arrived_at, objective, timeout } = self.limits;
        let (total, percent) = match (self.mode, wait) {
            (Mode::PerWait, Wait::Permit | Wait::Connection) => (timeout, PER_WAIT_PERMIT_PERCENT),
            (Mode::PerWait, Wait::Quota | Wait::Evidence | Wait::Primary) => (timeout, PER_WAIT_PERCENT),
            (Mode::Objective, Wait::Quota) => (objective, QUOTA_PERCENT),
            (Mode::Objective, Wait::Evidence) => (objective, EVIDENCE_PERCENT),
            (Mode::Objective, Wait::Permit | Wait::Connection) => (objective, PERMIT_PERCENT),
            (Mode::Objective, Wait::Primary) | (Mode::Failover, _) => (objective, PRIMARY_PERCENT),
        };
        arrived_at + (total * percent / 100).min(timeout)
    }

    /// Returns true if a wait of the expected duration, starting now, ends before its deadline.
    pub fn allows(&self, wait: Wait, expected: Time, now: Time) -> bool {
        now + expected <= self.deadline(wait)
    }

    /// Returns true if a statement that was not sent to a server must not be retried.
    pub fn is_exhausted(&self, now: Time) -> bool {
        let last = match self.mode {
            Mode::PerWait => Wait::Primary,
            Mode::Objective | Mode::Failover => Wait::Permit,
        };
        now >= self.deadline(last)
    }

    /// Returns the budget after a primary was found. If that took all the time for a permit, the deadline is extended: the
    /// statement can be served now, if late, and a rejection would come at just that moment.
    pub fn after_primary_found(self, now: Time) -> Budget {
        match self.mode {
            Mode::Objective if now >= self.deadline(Wait::Permit) => Budget { mode: Mode::Failover, ..self },
            Mode::Objective | Mode::Failover | Mode::PerWait => self,
        }
    }
}

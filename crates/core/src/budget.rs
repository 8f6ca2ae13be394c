//! How long a statement may wait before a server has it.
//!
//! All of its waits draw on one budget, which comes from what its caller hopes for and not from the longest time that its
//! route allows: a caller that is refused while there is time can still try elsewhere. Where callers don't compete for
//! quotas, each wait has a limit of its own, which comes from the route's.
//!
//! Times are microseconds.

use {
    crate::Time,
    strum::{Display, EnumIter, IntoStaticStr},
};

/// Until when a statement waits for its quota, in percent of the objective: all else comes after it.
const QUOTA: Time = 50;
/// The same for evidence: a group's state takes a few milliseconds to learn, or this instance can't learn it. What is left
/// lets another instance answer in time.
const EVIDENCE: Time = 75;
/// The same for a turn or a connection. What waits past the objective can only be late, at whichever instance: it is served
/// sooner by a short further wait than by a pause and a place at the end of the next queue.
const TURN: Time = 150;
/// The same for a primary, and then for a turn and a connection at it: a change of primary is over soon, and no other instance
/// has a primary meanwhile. Callers give up after some objectives, and three tries of this length cover these.
const PRIMARY: Time = 200;
/// Until when a statement waits for a turn or a connection, in percent of the route's limit, where waits have limits of their
/// own: callers try three times and give up after about three such limits.
const HOLD: Time = 40;
/// Until when it waits there for anything else.
const WHOLE: Time = 100;

/// What a statement waits for before a server has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Wait {
    /// A token of its organisation's quota.
    Quota,
    /// What the log of a server has to hold.
    Evidence,
    /// A primary that answers.
    Primary,
    /// A turn at a server.
    #[strum(serialize = "turn")]
    Permit,
    /// A connection to a server.
    Connection,
}

/// The limits from which a budget is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeLimits {
    /// When the statement arrived.
    pub arrived_at: Time,
    /// The response time that its caller hopes for.
    pub objective: Time,
    /// The longest time that its route allows.
    pub timeout: Time,
}

/// What waits are measured by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Each wait by itself, by the route's limit.
    PerWait,
    /// All together, by the objective.
    Objective,
    /// The same after a change of primary that has used up the objective.
    Failover,
}

/// How long one statement may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    allowance: TimeLimits,
    rule: Mode,
}

impl Budget {
    /// Of a statement that has just arrived.
    pub fn new(allowance: TimeLimits, rule: Mode) -> Budget {
        Budget { allowance, rule }
    }

    /// Until when it waits for something.
    pub fn deadline(&self, wait: Wait) -> Time {
        let TimeLimits { arrived_at, objective, timeout } = self.allowance;
        let (whole, percent) = match (self.rule, wait) {
            (Mode::PerWait, Wait::Permit | Wait::Connection) => (timeout, HOLD),
            (Mode::PerWait, Wait::Quota | Wait::Evidence | Wait::Primary) => (timeout, WHOLE),
            (Mode::Objective, Wait::Quota) => (objective, QUOTA),
            (Mode::Objective, Wait::Evidence) => (objective, EVIDENCE),
            (Mode::Objective, Wait::Permit | Wait::Connection) => (objective, TURN),
            (Mode::Objective, Wait::Primary) | (Mode::Failover, _) => (objective, PRIMARY),
        };
        arrived_at + (whole * percent / 100).min(timeout)
    }

    /// Whether a wait that is expected to take so long from now fits.
    pub fn allows(&self, wait: Wait, expected: Time, now: Time) -> bool {
        now + expected <= self.deadline(wait)
    }

    /// Whether a statement that no server has is not tried again.
    pub fn is_exhausted(&self, now: Time) -> bool {
        let last = match self.rule {
            Mode::PerWait => Wait::Primary,
            Mode::Objective | Mode::Failover => Wait::Permit,
        };
        now >= self.deadline(last)
    }

    /// A primary was found. Where that took all the time for a turn, a refusal would come just as the statement could be
    /// served, if late.
    pub fn after_primary_found(self, now: Time) -> Budget {
        match self.rule {
            Mode::Objective if now >= self.deadline(Wait::Permit) => Budget { rule: Mode::Failover, ..self },
            Mode::Objective | Mode::Failover | Mode::PerWait => self,
        }
    }
}

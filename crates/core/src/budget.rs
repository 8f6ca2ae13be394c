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
    Turn,
    /// A connection to a server.
    Connection,
}

/// The limits from which a budget is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    /// When the statement arrived.
    pub arrived: Time,
    /// The response time that its caller hopes for.
    pub objective: Time,
    /// The longest time that its route allows.
    pub limit: Time,
}

/// What waits are measured by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Each wait by itself, by the route's limit.
    Limit,
    /// All together, by the objective.
    Objective,
    /// The same after a change of primary that has used up the objective.
    Change,
}

/// How long one statement may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    allowance: Allowance,
    rule: Rule,
}

impl Budget {
    /// Of a statement that has just arrived.
    pub fn new(allowance: Allowance, rule: Rule) -> Budget {
        Budget { allowance, rule }
    }

    /// Until when it waits for something.
    pub fn until(&self, wait: Wait) -> Time {
        let Allowance { arrived, objective, limit } = self.allowance;
        let (whole, percent) = match (self.rule, wait) {
            (Rule::Limit, Wait::Turn | Wait::Connection) => (limit, HOLD),
            (Rule::Limit, Wait::Quota | Wait::Evidence | Wait::Primary) => (limit, WHOLE),
            (Rule::Objective, Wait::Quota) => (objective, QUOTA),
            (Rule::Objective, Wait::Evidence) => (objective, EVIDENCE),
            (Rule::Objective, Wait::Turn | Wait::Connection) => (objective, TURN),
            (Rule::Objective, Wait::Primary) | (Rule::Change, _) => (objective, PRIMARY),
        };
        arrived + (whole * percent / 100).min(limit)
    }

    /// Whether a wait that is expected to take so long from now fits.
    pub fn allows(&self, wait: Wait, expected: Time, now: Time) -> bool {
        now + expected <= self.until(wait)
    }

    /// Whether a statement that no server has is not tried again.
    pub fn is_spent(&self, now: Time) -> bool {
        let last = match self.rule {
            Rule::Limit => Wait::Primary,
            Rule::Objective | Rule::Change => Wait::Turn,
        };
        now >= self.until(last)
    }

    /// A primary was found. Where that took all the time for a turn, a refusal would come just as the statement could be
    /// served, if late.
    pub fn found_primary(self, now: Time) -> Budget {
        match self.rule {
            Rule::Objective if now >= self.until(Wait::Turn) => Budget { rule: Rule::Change, ..self },
            Rule::Objective | Rule::Change | Rule::Limit => self,
        }
    }
}

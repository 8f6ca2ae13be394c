//! How long a statement may wait before a server has it.
//!
//! All of its waits draw on one budget, which comes from what its caller hopes for and not from the longest time that its
//! route allows: a caller that is refused while there is time can still try elsewhere.
//!
//! Times are microseconds.

use {
    crate::Time,
    strum::{Display, EnumIter, IntoStaticStr},
};

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

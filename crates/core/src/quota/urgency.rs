//! How urgent the operations are that claim an organisation's tokens.

use serde::{Deserialize, Serialize};

/// What a limiter knows of the caller behind a claim. Claims with the same urgency may be put together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Urgency {
    /// The route's rank; 0 goes first.
    pub priority: u8,
    /// For how much longer a grant helps the caller, in microseconds from the moment that the claim was sent.
    pub left: u64,
}

/// Operations of an organisation that want to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// How many there are.
    pub count: u32,
    /// How urgent they are.
    pub urgency: Urgency,
}

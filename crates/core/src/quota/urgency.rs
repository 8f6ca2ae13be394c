//! How urgent the operations are that claim an organisation's tokens.

use serde::{Deserialize, Serialize};

/// What a limiter knows of the caller behind a claim. Claims with the same urgency may be put together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Urgency {
    /// The route's rank; 0 goes first.
    pub priority: u8,
    /// For how much longer a grant helps the caller, in microseconds from the moment that the claim was sent.
    #[serde(rename = "left")]
    pub remaining: u64,
}

/// Operations of an organisation that want to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// How many there are.
    pub count: u32,
    /// How urgent they are; none where operations aren't told apart, and tokens go in order of arrival.
    pub urgency: Option<Urgency>,
}

impl Demand {
    /// Operations that aren't told apart from others.
    pub fn unprioritised(count: u32) -> Demand {
        Demand { count, urgency: None }
    }

    /// Operations of one urgency.
    pub fn prioritised(count: u32, priority: u8, remaining: u64) -> Demand {
        Demand { count, urgency: Some(Urgency { priority, remaining }) }
    }
}

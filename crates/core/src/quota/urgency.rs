//! Size and urgency of claims.

use serde::{Deserialize, Serialize};

/// Priority and remaining time of the caller behind a claim. Claims of equal urgency may be combined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Urgency {
    /// Priority of the route. 0 is the most urgent.
    pub priority: u8,
    /// Time for which a grant is still of use to the caller, in microseconds from the sending of the claim.
    #[serde(rename = "left")]
    pub remaining: u64,
}

/// Operations of an organisation for which tokens are claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Number of operations.
    pub count: u32,
    /// Urgency of the operations. `None` if operations are not prioritised, and tokens are granted in order of arrival.
    pub urgency: Option<Urgency>,
}

impl Demand {
    /// Creates a demand without a priority.
    pub fn unprioritised(count: u32) -> Demand {
        Demand { count, urgency: None }
    }

    /// Creates a demand of one priority, with the remaining time of its callers in microseconds.
    pub fn prioritised(count: u32, priority: u8, remaining: u64) -> Demand {
        Demand { count, urgency: Some(Urgency { priority, remaining }) }
    }
}

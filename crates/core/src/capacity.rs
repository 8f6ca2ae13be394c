//! What an instance can carry, beside others.

use serde::{Deserialize, Serialize};

/// The resources of an instance, as its settings state them. They rise in the order of the fields: the scarcest one beside
/// what the work needs decides how much an instance takes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Capacity {
    /// Processor time, in thousandths of a core.
    pub processor: u32,
    /// Memory, in megabytes.
    pub memory: u32,
    /// Descriptors.
    pub descriptors: u32,
    /// Its network link, in megabits a second.
    pub link: u32,
}

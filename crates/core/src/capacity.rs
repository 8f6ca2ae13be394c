//! Capacity of an instance relative to others.

use serde::{Deserialize, Serialize};

/// Maximum weight of an instance, relative to the smallest one. When a strong instance is lost, everything that was placed
/// on it moves to others at once, and callers wait meanwhile.
pub const MAX_WEIGHT: f64 = 8.0;

/// Resources of an instance, as stated in its settings; 0 if not stated. Compared in the order of the fields. The resource
/// that is the scarcest relative to the needs of the work limits how much an instance can take on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Capacity {
    /// Processor time, in thousandths of a core.
    pub processor: u32,
    /// Memory, in megabytes.
    pub memory: u32,
    /// Maximum number of file descriptors.
    pub descriptors: u32,
    /// Bandwidth of the network link, in megabits per second.
    pub link: u32,
}

/// Minimum capacity that any instance states, for the resources that determine placement; 0 if no instance states it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MinCapacity {
    processor: u32,
    link: u32,
}

impl MinCapacity {
    /// Returns the minimum of the given capacities.
    pub fn of(all: impl Iterator<Item = Capacity> + Clone) -> MinCapacity {
        let min = |field: fn(Capacity) -> u32| all.clone().map(field).filter(|n| *n > 0).min().unwrap_or(0);
        MinCapacity { processor: min(|c| c.processor), link: min(|c| c.link) }
    }

    /// Returns the placement weight of an instance, where the smallest instance has weight 1. The scarcer of processor and
    /// link determines the weight. An instance that states neither counts as the smallest one, and so does an instance that
    /// states only one of them where others state both.
    pub fn weight(self, capacity: Option<Capacity>) -> f64 {
        let Some(c) = capacity else { return 1.0 };
        let stated = [(c.processor, self.processor), (c.link, self.link)].into_iter().filter(|r| r.1 > 0);
        let ratios = stated.map(|(n, min)| f64::from(n.max(min)) / f64::from(min));
        ratios.reduce(f64::min).unwrap_or(1.0).min(MAX_WEIGHT)
    }
}

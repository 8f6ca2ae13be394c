//! What an instance can carry, beside others.

use serde::{Deserialize, Serialize};

/// An instance is chosen at most so many times as often as the smallest one: the loss of a strong one moves what it was
/// chosen for to others all at once, and callers wait meanwhile.
pub const MAX_WEIGHT: f64 = 8.0;

/// The resources of an instance, as its settings state them; 0 is none that is stated. They rise in the order of the
/// fields: the scarcest one beside what the work needs decides how much an instance takes on.
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

/// The least that any instance states of what decides about placement; 0 where none states it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MinCapacity {
    processor: u32,
    link: u32,
}

impl MinCapacity {
    /// The least of these.
    pub fn of(all: impl Iterator<Item = Capacity> + Clone) -> MinCapacity {
        let least = |of: fn(Capacity) -> u32| all.clone().map(of).filter(|it| *it > 0).min().unwrap_or(0);
        MinCapacity { processor: least(|it| it.processor), link: least(|it| it.link) }
    }

    /// How often an instance is chosen, where the smallest one is chosen once: by its processor or its link, whichever
    /// is scarcer. One that states neither counts as the smallest, and so does one that states only one where others
    /// state both.
    pub fn weight(self, it: Option<Capacity>) -> f64 {
        let Some(it) = it else { return 1.0 };
        let stated = [(it.processor, self.processor), (it.link, self.link)].into_iter().filter(|it| it.1 > 0);
        let times = stated.map(|(it, least)| f64::from(it.max(least)) / f64::from(least));
        times.reduce(f64::min).unwrap_or(1.0).min(MAX_WEIGHT)
    }
}

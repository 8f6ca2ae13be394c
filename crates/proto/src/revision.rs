//! Revisions of the platform's store.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Bits of the number; the era has the rest.
const NUMBER_BITS: u32 = 40;

/// A state of the store. The era counts how often the store came back from an older copy; the number counts its changes, and
/// goes back with the copy. A later era is newer, whatever the number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision(u64);

impl Revision {
    /// The state after so many changes in an era.
    pub fn new(era: u64, number: u64) -> Revision {
        let most = (1 << NUMBER_BITS) - 1;
        Revision(era << NUMBER_BITS | number.min(most))
    }

    /// How often the store had come back from an older copy.
    pub fn era(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// What the store itself calls the revision.
    pub fn number(self) -> u64 {
        self.0 & ((1 << NUMBER_BITS) - 1)
    }

    /// A number that is higher for a newer state.
    pub fn order(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era(), self.number())
    }
}

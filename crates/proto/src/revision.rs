//! Revisions of the platform's store.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Bits of the change number; the remaining bits hold the era.
const NUMBER_BITS: u32 = 40;

/// State of the store. The era counts how often the store was restored from an older copy. The number counts the
/// changes, and goes back with a restore. A revision of a later era is newer, whatever its number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision(u64);

impl Revision {
    /// Creates the revision after `number` changes in an era.
    pub fn new(era: u64, number: u64) -> Revision {
        let max_number = (1 << NUMBER_BITS) - 1;
        Revision(era << NUMBER_BITS | number.min(max_number))
    }

    /// Returns the number of restores from an older copy.
    pub fn era(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// Returns the revision number of the store itself.
    pub fn number(self) -> u64 {
        self.0 & ((1 << NUMBER_BITS) - 1)
    }

    /// Returns a number that is higher for a newer state.
    pub fn as_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era(), self.number())
    }
}

//! Names, terms and log positions.

use {
    arcstr::ArcStr,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// A shared immutable name of a group, server, instance or availability zone.
pub type Name = ArcStr;

/// A term of a group: one primary at most writes in one term.
///
/// Source: the group's servers; a new one comes from a grant on the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term(pub u64);

/// A position in a group's log, counted in entries from 1; 0 is the empty log.
///
/// Source: the group's servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lsn(pub u64);

/// One run of a server's process. A server that starts again under its id holds and knows nothing of the runs before.
///
/// Source: the server's entry in the directory. Clocks may be set back, so a later run may state an earlier start: runs are
/// told apart, and not put in order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Incarnation {
    /// The entry doesn't state a start: the id alone tells the server apart.
    #[default]
    Unstated,
    /// The process started at this time, in Unix milliseconds.
    Started(u64),
}

/// A position together with the term it was observed in.
///
/// Ordered by term first, which is the order in which a promotion prefers logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Mark {
    /// The term in which the position was observed.
    pub term: Term,
    /// The position.
    pub lsn: Lsn,
}

impl Mark {
    /// Makes a mark from plain numbers.
    pub const fn new(term: u64, lsn: u64) -> Mark {
        Mark { term: Term(term), lsn: Lsn(lsn) }
    }

    /// Raises both parts to at least those of `other`.
    ///
    /// Parts rise on their own: an acknowledged position is part of every later term's log, so
    /// the highest position seen has to be reached in the highest term seen.
    pub fn raise(&mut self, other: Mark) {
        self.term = self.term.max(other.term);
        self.lsn = self.lsn.max(other.lsn);
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Incarnation::Unstated => f.write_str("unstated"),
            Incarnation::Started(at) => at.fmt(f),
        }
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for Lsn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for Mark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.term, self.lsn)
    }
}

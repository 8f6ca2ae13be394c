//! Names, terms and log positions.

use {
    arcstr::ArcStr,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Immutable, reference-counted name of a group, server, instance or availability zone.
pub type Name = ArcStr;

/// Term of a group. Each term has at most one primary that accepts writes.
///
/// Reported by the servers of the group; a new term is granted by the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Term(pub u64);

/// Log sequence number: a position in a group's log, counted in entries from 1. 0 is the empty log.
///
/// Reported by the servers of the group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lsn(pub u64);

/// One run of a server process. After a restart under the same id, a server has lost the state of its earlier runs.
///
/// Reported by the server's entry in the directory. A clock may be set back, so a later run may report an earlier
/// start: incarnations are compared for equality only, and their order has no meaning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Incarnation {
    /// The entry does not report a start time: the id alone identifies the server.
    #[default]
    Unstated,
    /// Start time of the process, in Unix milliseconds.
    Started(u64),
}

/// Log position with the term in which it was observed.
///
/// Ordered by term first, then by LSN, as promotion ranks the logs of replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LogPosition {
    /// Term in which the position was observed.
    pub term: Term,
    /// Log sequence number.
    pub lsn: Lsn,
}

impl LogPosition {
    /// Creates a log position from plain numbers.
    pub const fn new(term: u64, lsn: u64) -> LogPosition {
        LogPosition { term: Term(term), lsn: Lsn(lsn) }
    }

    /// Raises the term and the LSN independently to at least those of `other`.
    ///
    /// An acknowledged entry is part of the log in every later term, so a reader must reach the highest LSN seen in the
    /// highest term seen.
    pub fn advance(&mut self, other: LogPosition) {
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

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.term, self.lsn)
    }
}

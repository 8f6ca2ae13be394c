//! The server that leads a term while the term's primary is unreachable.
//!
//! An unreachable server may be the primary, or a replica that confirms another server's commits. The two are told
//! apart by the leader of the term: either the one that was recorded while the primary was reachable, or, if no
//! promotion was ever ordered in the group, the one listed in the directory. Only a promotion makes a server's own
//! statement of its role outdated.

use {
    pondtrack_proto::{Name, Term},
    serde::{Deserialize, Serialize},
};

/// The recorded leader of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The term.
    pub term: Term,
    /// The server that led the term; none if the term's primary was never seen.
    pub server: Option<Name>,
}

impl LeaderRecord {
    /// Returns true if `other` supersedes this record: it is of a later term, or names the leader of the same term
    /// where this record doesn't.
    pub fn is_older_than(&self, other: &LeaderRecord) -> bool {
        (self.term, self.server.is_some()) < (other.term, other.server.is_some())
    }
}

/// The facts known about a group whose primary is unreachable.
#[derive(Clone, Copy, Debug)]
pub struct LeaderEvidence<'a> {
    /// The newest term reported by any server.
    pub term: Term,
    /// The recorded leader.
    pub record: Option<&'a LeaderRecord>,
    /// True if every promotion so far was ordered after the leader of its group had been recorded.
    pub complete: bool,
    /// Servers of the group that are listed as the primary in the directory.
    pub claimants: &'a [Name],
}

impl LeaderEvidence<'_> {
    /// Returns the server that leads the term; none if that isn't proven.
    pub fn leader(&self) -> Option<&Name> {
        match (self.record, self.claimants) {
            (Some(record), _) if record.term == self.term => record.server.as_ref(),
            (None, [claim]) if self.complete => Some(claim),
            _ => None,
        }
    }
}

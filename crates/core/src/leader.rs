//! Who leads a term whose primary gives no answer.
//!
//! A server that doesn't answer may be the primary, or a replica that confirms another one's commits. The two are told
//! apart by who led the term: as it was recorded when the primary was seen, or, where no promotion was ever ordered,
//! by the directory, as only a promotion makes what a server says of its role out of date.

use {
    pondtrack_proto::{Name, Term},
    serde::{Deserialize, Serialize},
};

/// What was recorded of a group's primary.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leader {
    /// The term.
    pub term: Term,
    /// The server that led it; none where the term's primary was never seen.
    pub server: Option<Name>,
}

impl Leader {
    /// Whether `other` tells more: of a later term, or who led the same one.
    pub fn is_older(&self, other: &Leader) -> bool {
        (self.term, self.server.is_some()) < (other.term, other.server.is_some())
    }
}

/// What is known of a group whose primary gives no answer.
#[derive(Clone, Copy, Debug)]
pub struct Evidence<'a> {
    /// The newest term that any server showed.
    pub term: Term,
    /// What was recorded.
    pub record: Option<&'a Leader>,
    /// Whether every promotion so far was ordered after its group had a record.
    pub complete: bool,
    /// Servers of the group that call themselves the primary in the directory.
    pub claims: &'a [Name],
}

impl Evidence<'_> {
    /// The server that leads the term, if that is proved.
    pub fn leader(&self) -> Option<&Name> {
        match (self.record, self.claims) {
            (Some(it), _) if it.term == self.term => it.server.as_ref(),
            (None, [claim]) if self.complete => Some(claim),
            _ => None,
        }
    }
}

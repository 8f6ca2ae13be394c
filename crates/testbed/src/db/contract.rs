//! Roles, terms and logs of a server, free of I/O; the model checker drives this very code.

use {
    pondtrack_edge::contract::Role,
    pondtrack_proto::{LogPosition, Lsn, Term},
    snafu::Snafu,
};

/// Why an order is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Refused {
    /// A higher term is known, or this one is settled.
    #[snafu(display("term {known} is known"))]
    Term {
        /// The known term.
        known: Term,
    },
    /// Only a server fenced for the term is promoted.
    #[snafu(display("not fenced for this term; term {known} is known"))]
    NotFenced {
        /// The known term.
        known: Term,
    },
}

/// A server's role, term and log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Contract {
    /// Its role.
    pub role: Role,
    /// The highest term it knows.
    pub term: Term,
    /// The term of each entry.
    pub log: Vec<Term>,
    /// Entries dropped, in all.
    pub dropped: u64,
}

impl Contract {
    /// The last entry.
    pub fn last(&self) -> LogPosition {
        self.entry(Lsn(self.log.len() as u64))
    }

    /// An entry's mark; that of position 0, or of one beyond the end, has term 0.
    pub fn entry(&self, lsn: Lsn) -> LogPosition {
        let at = (lsn.0 as usize).checked_sub(1);
        let term = at.and_then(|at| self.log.get(at)).copied().unwrap_or_default();
        LogPosition { term, lsn }
    }

    /// Takes nothing from a lower term any longer.
    pub fn fence(&mut self, term: Term) -> Result<(), Refused> {
        let again = term == self.term && self.role == Role::Fenced;
        if term <= self.term && !again {
            return Err(Refused::Term { known: self.term });
        }
        self.term = term;
        self.role = Role::Fenced;
        Ok(())
    }

    /// Becomes the primary; hands back the position of the term's first entry, if it is new.
    pub fn promote(&mut self, term: Term) -> Result<Option<Lsn>, Refused> {
        match self.role {
            Role::Primary if term == self.term => Ok(None),
            Role::Fenced if term == self.term => {
                self.role = Role::Primary;
                Ok(Some(self.append()))
            }
            _ => Err(Refused::NotFenced { known: self.term }),
        }
    }

    /// Follows the primary of a term.
    pub fn follow(&mut self, term: Term) -> Result<(), Refused> {
        let own = term == self.term && self.role == Role::Primary;
        if term < self.term || own {
            return Err(Refused::Term { known: self.term });
        }
        self.term = term;
        self.role = Role::Replica;
        Ok(())
    }

    /// Writes an entry as the primary.
    pub fn append(&mut self) -> Lsn {
        debug_assert_eq!(self.role, Role::Primary, "only a primary writes");
        self.log.push(self.term);
        Lsn(self.log.len() as u64)
    }

    /// Whether entries of the primary of `term` may be taken now.
    pub fn takes(&self, term: Term) -> bool {
        self.role == Role::Replica && self.term == term
    }

    /// Takes an entry that follows the last one.
    pub fn receive(&mut self, term: Term) -> Lsn {
        self.log.push(term);
        Lsn(self.log.len() as u64)
    }

    /// Drops the entries after a position.
    pub fn truncate(&mut self, end: Lsn) {
        let before = self.log.len();
        self.log.truncate(end.0 as usize);
        self.dropped += (before - self.log.len()) as u64;
    }

    /// The last position at which both logs agree.
    ///
    /// Equal terms at a position mean equal logs up to it, as a term has one primary.
    pub fn common(&self, other: &[Term]) -> Lsn {
        let n = self.log.len().min(other.len());
        let at = (0..n).rev().find(|at| self.log[*at] == other[*at]);
        Lsn(at.map_or(0, |at| at as u64 + 1))
    }
}

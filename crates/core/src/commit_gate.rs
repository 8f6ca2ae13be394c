//! Quorum acknowledgement: commits are acknowledged once a majority has received them.
//!
//! A server counts for a position if it reports the gate's term, and the last entry of its log was written in that term
//! and is at or after the position. Entries of a term come from the term's primary alone, so the log of such a server
//! is identical to the primary's up to its last entry. Any later promotion fences a majority, which has a server in
//! common with the majority counted here, and promotes the server with the highest log.
//!
//! An entry received from the primary of a later term does not count, although the entry is the same: a server with a
//! shorter log of a term in between could still be promoted and drop the entry. The exhaustive model check in `testbed`
//! found that case.

use pondtrack_proto::{LogPosition, Lsn, Term};

/// Identifier of a pending acknowledgement, unique within a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Status of a requested acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AckStatus {
    /// The acknowledgement may be sent.
    Ready,
    /// The acknowledgement is pending under this ticket.
    Pending(Ticket),
    /// The term has ended; the next primary must be queried to determine if the commit survived.
    Superseded,
}

/// Pending acknowledgements of one group, and the log positions of its servers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CommitGate {
    quorum: usize,
    term: Term,
    logs: Vec<LogPosition>,
    /// Pending acknowledgements, sorted by position.
    waiting: Vec<(Lsn, Ticket)>,
    next_ticket: u64,
}

impl CommitGate {
    /// Creates a gate for `servers` servers, of which `quorum` make a majority.
    pub fn new(servers: usize, quorum: usize) -> CommitGate {
        CommitGate {
            quorum,
            term: Term(0),
            logs: vec![LogPosition::default(); servers],
            waiting: Vec::new(),
            next_ticket: 0,
        }
    }

    /// Grows the gate to `servers` servers; never shrinks it.
    pub fn grow(&mut self, servers: usize) {
        self.logs.resize(servers.max(self.logs.len()), LogPosition::default());
    }

    /// Discards the position of a server that has lost its log or restarted.
    pub fn reset_server(&mut self, server: usize) {
        self.logs[server] = LogPosition::default();
    }

    /// Returns the term whose commits are acknowledged.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the number of pending acknowledgements.
    pub fn pending(&self) -> usize {
        self.waiting.len()
    }

    /// Advances to a higher term; returns the tickets that are superseded. Does nothing if `term` isn't higher.
    pub fn begin_term(&mut self, term: Term) -> Vec<Ticket> {
        if term <= self.term {
            return Vec::new();
        }
        self.term = term;
        self.waiting.drain(..).map(|w| w.1).collect()
    }

    /// Records the last entry of the log of a server that reports `term`; returns the tickets that may be acknowledged.
    pub fn observe(&mut self, server: usize, term: Term, last: LogPosition) -> Vec<Ticket> {
        if term != self.term || last.term != term {
            return Vec::new();
        }
        // Responses on several connections may arrive out of order; within a term a log only grows.
        self.logs[server] = self.logs[server].max(last);
        let committed = self.commit_lsn();
        let n = self.waiting.partition_point(|w| w.0 <= committed);
        self.waiting.drain(..n).map(|w| w.1).collect()
    }

    /// Returns the highest position of the term that a majority has received; 0 if there is none.
    pub fn commit_lsn(&self) -> Lsn {
        let mut in_term: Vec<Lsn> =
            self.logs.iter().filter(|log| log.term == self.term).map(|log| log.lsn).collect();
        in_term.sort_unstable_by(|a, b| b.cmp(a));
        in_term.get(self.quorum - 1).copied().unwrap_or_default()
    }

    /// Requests the acknowledgement of a commit that the primary of `term` wrote at `lsn`.
    pub fn request_ack(&mut self, term: Term, lsn: Lsn) -> AckStatus {
        if term < self.term {
            return AckStatus::Superseded;
        }
        if term == self.term && lsn <= self.commit_lsn() && lsn > Lsn(0) {
            return AckStatus::Ready;
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let at = self.waiting.partition_point(|w| w.0 <= lsn);
        self.waiting.insert(at, (lsn, ticket));
        AckStatus::Pending(ticket)
    }

    /// Removes a pending acknowledgement whose caller has stopped waiting.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.retain(|w| w.1 != ticket);
    }
}

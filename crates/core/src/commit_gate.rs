//! Acknowledgements wait until a majority has received what they stand for.
//!
//! A server counts for a position when it says so in the gate's term, and the last entry of its log was
//! written in that term and stands at or after the position. Entries of a term come from that term's
//! primary only, so such a log holds everything before its last entry exactly as the primary does. Any
//! later promotion fences a majority, which shares a server with the one counted here, and takes the
//! highest log among it.
//!
//! An entry that a server got from a later term's primary does not count, although it is the same: a
//! server with a shorter log of a term in between would still win against it. The exhaustive walk in
//! `testbed` found that.

use pondtrack_proto::{LogPosition, Lsn, Term};

/// Names a held acknowledgement; unique for the life of a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What becomes of an acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AckStatus {
    /// It may go out.
    Ready,
    /// It waits under this ticket.
    Pending(Ticket),
    /// Its term is over; whether it lasts has to be asked of the next primary.
    Superseded,
}

/// The gate of one group.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CommitGate {
    quorum: usize,
    term: Term,
    logs: Vec<LogPosition>,
    held: Vec<(Lsn, Ticket)>,
    next: u64,
}

impl CommitGate {
    /// A gate over `servers` servers, of which `quorum` make a majority.
    pub fn new(servers: usize, quorum: usize) -> CommitGate {
        CommitGate {
            quorum,
            term: Term(0),
            logs: vec![LogPosition::default(); servers],
            held: Vec::new(),
            next: 0,
        }
    }

    /// Makes room for another server of the group.
    pub fn grow(&mut self, servers: usize) {
        self.logs.resize(servers.max(self.logs.len()), LogPosition::default());
    }

    /// A server no longer holds what it showed: it has lost its log, or started again.
    pub fn reset_server(&mut self, server: usize) {
        self.logs[server] = LogPosition::default();
    }

    /// The term whose commits it lets out.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Acknowledgements held.
    pub fn pending(&self) -> usize {
        self.held.len()
    }

    /// Moves to a higher term; hands back the tickets that are now broken.
    pub fn begin_term(&mut self, term: Term) -> Vec<Ticket> {
        if term <= self.term {
            return Vec::new();
        }
        self.term = term;
        self.held.drain(..).map(|it| it.1).collect()
    }

    /// A server that knows `term` shows the last entry of its log; hands back the tickets that may go out.
    pub fn observe(&mut self, server: usize, term: Term, last: LogPosition) -> Vec<Ticket> {
        if term != self.term || last.term != term {
            return Vec::new();
        }
        // Answers on several connections overtake each other; within a term a log only grows.
        self.logs[server] = self.logs[server].max(last);
        let durable = self.commit_lsn();
        let n = self.held.partition_point(|it| it.0 <= durable);
        self.held.drain(..n).map(|it| it.1).collect()
    }

    /// The highest position of the term that a majority holds; 0 when there is none.
    pub fn commit_lsn(&self) -> Lsn {
        let mut in_term: Vec<Lsn> =
            self.logs.iter().filter(|it| it.term == self.term).map(|it| it.lsn).collect();
        in_term.sort_unstable_by(|a, b| b.cmp(a));
        in_term.get(self.quorum - 1).copied().unwrap_or_default()
    }

    /// Asks to acknowledge what the primary of `term` wrote up to `lsn`.
    pub fn request_ack(&mut self, term: Term, lsn: Lsn) -> AckStatus {
        if term < self.term {
            return AckStatus::Superseded;
        }
        if term == self.term && lsn <= self.commit_lsn() && lsn > Lsn(0) {
            return AckStatus::Ready;
        }
        let ticket = Ticket(self.next);
        self.next += 1;
        let at = self.held.partition_point(|it| it.0 <= lsn);
        self.held.insert(at, (lsn, ticket));
        AckStatus::Pending(ticket)
    }

    /// Forgets an acknowledgement nobody waits for any longer.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.held.retain(|it| it.1 != ticket);
    }
}

//! Staleness of replica reads.
//!
//! If the primary's response to a query sent at time *s* shows position *p*, then everything acknowledged before *s* is
//! at or before *p*. A replica that has applied *p* is therefore complete as of *s*, provided that the primary was
//! still the primary then. A majority confirms that by reporting the same term in responses to queries sent at *s* or
//! later. Only this instance's monotonic clock is used; the caller chooses its unit.

use {
    crate::Time,
    pondtrack_proto::{LogPosition, Lsn, Term},
    std::collections::VecDeque,
};

/// Maximum number of observations kept; at one every 50 ms they cover about a minute.
const MAX_OBSERVATIONS: usize = 1_200;

/// Returns the age of a status report for a request that arrived at `arrived`; the report's query was sent at `asked`.
/// Both times are of the reporting instance's clock.
pub fn age(arrived: Time, asked: Time) -> Time {
    arrived.saturating_sub(asked)
}

/// Returns a lower bound of the time at which the query of a status report of this age was sent, on the clock of the
/// instance that requested the report at `sent`: the request was sent before it arrived at the reporting instance. None
/// if the time lies before that clock's start.
pub fn asked_at(sent: Time, age: Time) -> Option<Time> {
    sent.checked_sub(age).filter(|at| *at > 0)
}

/// Evidence of the freshness of one group's servers.
#[derive(Clone, Debug)]
pub struct Freshness {
    quorum: usize,
    term: Term,
    /// Positions of the primary by the time of the query, in that order.
    positions: VecDeque<(Time, LogPosition)>,
    /// Time of the last query in whose response each server reported the term.
    confirmed: Vec<Option<Time>>,
}

impl Freshness {
    /// Creates the state without evidence.
    pub fn new(servers: usize, quorum: usize) -> Freshness {
        Freshness { quorum, term: Term(0), positions: VecDeque::new(), confirmed: vec![None; servers] }
    }

    /// Advances to a later term and discards the evidence of earlier ones. Does nothing if `term` isn't later.
    pub fn begin_term(&mut self, term: Term) {
        if term > self.term {
            self.term = term;
            self.confirmed.fill(None);
            self.positions.clear();
        }
    }

    /// Records that a server reported `term` in the response to a query sent at `sent`.
    pub fn confirm(&mut self, server: usize, term: Term, sent: Time) {
        self.begin_term(term);
        if term == self.term {
            let confirmed = &mut self.confirmed[server];
            *confirmed = Some(confirmed.map_or(sent, |old| old.max(sent)));
        }
    }

    /// Grows the state to `servers` servers; never shrinks it.
    pub fn grow(&mut self, servers: usize) {
        self.confirmed.resize(servers.max(self.confirmed.len()), None);
    }

    /// Discards the confirmation of a server that has lost its log or restarted.
    pub fn reset_server(&mut self, server: usize) {
        self.confirmed[server] = None;
    }

    /// Discards the primary's positions after it has lost its log or another server has become the term's primary.
    pub fn reset_primary(&mut self) {
        self.positions.clear();
    }

    /// Records that the primary of `term` was at position `at` in the response to a query sent at `sent`.
    pub fn observe(&mut self, term: Term, at: LogPosition, sent: Time) {
        if term != self.term || self.positions.back().is_some_and(|p| p.0 > sent) {
            return;
        }
        match self.positions.back_mut() {
            // The same position in a later response makes the servers that hold it fresher.
            Some(last) if last.1 == at => last.0 = sent,
            _ => self.positions.push_back((sent, at)),
        }
        if self.positions.len() > MAX_OBSERVATIONS {
            self.positions.pop_front();
        }
    }

    /// Returns the time as of which a server of `term` that has applied `applied` is complete; none if that isn't
    /// known.
    pub fn as_of(&self, term: Term, applied: Lsn) -> Option<Time> {
        if term != self.term {
            return None;
        }
        let confirmed = self.confirmed_at()?;
        let n = self.positions.partition_point(|p| p.1.lsn <= applied);
        let usable = self.positions.iter().take(n).rev();
        usable.map(|p| p.0).find(|at| *at <= confirmed)
    }

    /// Returns the lowest known position that includes everything acknowledged before `since`, with the time of its
    /// query; none if there is none that a majority has confirmed.
    pub fn required_position(&self, since: Time) -> Option<(Time, LogPosition)> {
        let confirmed = self.confirmed_at()?;
        let n = self.positions.partition_point(|p| p.0 < since);
        self.positions.get(n).filter(|p| p.0 <= confirmed).copied()
    }

    /// Returns the time of the last query for the primary's position that was answered.
    pub fn observed_at(&self) -> Option<Time> {
        self.positions.back().map(|p| p.0)
    }

    /// Returns the latest time at or after which a majority is known to have been in the term.
    pub fn confirmed_at(&self) -> Option<Time> {
        let mut times: Vec<Time> = self.confirmed.iter().flatten().copied().collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(self.quorum - 1).copied()
    }
}

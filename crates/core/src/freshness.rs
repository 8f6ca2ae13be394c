//! How old a replica's answer is.
//!
//! An answer of the primary to a question sent at time *s* shows a position *p*: everything acknowledged
//! before *s* stands at or before *p*. A replica that has applied *p* is therefore as fresh as *s*, if
//! the primary was still the primary then, which a majority confirms by naming the same term in answers
//! to questions sent at *s* or later. Only this instance's monotonic clock is used; its unit is the owner's.

use {
    crate::Time,
    pondtrack_proto::{LogPosition, Lsn, Term},
    std::collections::VecDeque,
};

/// Observations kept; at one every 50 ms they reach back about a minute.
const KEPT: usize = 1_200;

/// How old an account that was asked for at `asked` is for whoever asked for it at `came`, on the clock of the one that tells
/// it.
pub fn age(came: Time, asked: Time) -> Time {
    came.saturating_sub(asked)
}

/// When an account of this age was asked for, or later, on the clock of the one that asked for it at `sent`: the question
/// was sent before it came. None for a time before that clock began.
pub fn asked_at(sent: Time, age: Time) -> Option<Time> {
    sent.checked_sub(age).filter(|at| *at > 0)
}

/// The evidence of one group's freshness.
#[derive(Clone, Debug)]
pub struct Freshness {
    quorum: usize,
    term: Term,
    seen: VecDeque<(Time, LogPosition)>,
    confirmed: Vec<Option<Time>>,
}

impl Freshness {
    /// No evidence yet.
    pub fn new(servers: usize, quorum: usize) -> Freshness {
        Freshness { quorum, term: Term(0), seen: VecDeque::new(), confirmed: vec![None; servers] }
    }

    /// A later term has begun: what was known of earlier ones no longer counts.
    pub fn begin_term(&mut self, term: Term) {
        if term > self.term {
            self.term = term;
            self.confirmed.fill(None);
            self.seen.clear();
        }
    }

    /// A server named `term` in the answer to a question sent at `sent`.
    pub fn confirm(&mut self, server: usize, term: Term, sent: Time) {
        self.begin_term(term);
        if term == self.term {
            let it = &mut self.confirmed[server];
            *it = Some(it.map_or(sent, |old| old.max(sent)));
        }
    }

    /// Makes room for another server of the group.
    pub fn grow(&mut self, servers: usize) {
        self.confirmed.resize(servers.max(self.confirmed.len()), None);
    }

    /// A server's word no longer counts: it has lost its log, or started again.
    pub fn reset_server(&mut self, server: usize) {
        self.confirmed[server] = None;
    }

    /// What the primary showed no longer counts: it has lost its log, or another one leads the term.
    pub fn reset_primary(&mut self) {
        self.seen.clear();
    }

    /// The primary of `term` showed the position `at` in the answer to a question sent at `sent`.
    pub fn observe(&mut self, term: Term, at: LogPosition, sent: Time) {
        if term != self.term || self.seen.back().is_some_and(|it| it.0 > sent) {
            return;
        }
        match self.seen.back_mut() {
            // The same position seen later makes what holds it fresher.
            Some(it) if it.1 == at => it.0 = sent,
            _ => self.seen.push_back((sent, at)),
        }
        if self.seen.len() > KEPT {
            self.seen.pop_front();
        }
    }

    /// The time as of which a server of `term` that has applied `applied` is complete.
    pub fn as_of(&self, term: Term, applied: Lsn) -> Option<Time> {
        if term != self.term {
            return None;
        }
        let confirmed = self.confirmed_at()?;
        let n = self.seen.partition_point(|it| it.1.lsn <= applied);
        let usable = self.seen.iter().take(n).rev();
        usable.map(|it| it.0).find(|at| *at <= confirmed)
    }

    /// The lowest position that holds everything acknowledged before `since`, and when it was asked for.
    pub fn required_position(&self, since: Time) -> Option<(Time, LogPosition)> {
        let confirmed = self.confirmed_at()?;
        let n = self.seen.partition_point(|it| it.0 < since);
        self.seen.get(n).filter(|it| it.0 <= confirmed).copied()
    }

    /// When the primary was last asked for its position, as far as it has answered.
    pub fn observed_at(&self) -> Option<Time> {
        self.seen.back().map(|it| it.0)
    }

    /// The latest time at or after which a majority is known to have held the term.
    pub fn confirmed_at(&self) -> Option<Time> {
        let mut times: Vec<Time> = self.confirmed.iter().flatten().copied().collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(self.quorum - 1).copied()
    }
}

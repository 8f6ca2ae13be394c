//! What a server counts for after it came back under its id, holding nothing.
//!
//! Two promises rested on what it has forgotten: commits that were acknowledged because it had received them, and its
//! being stopped from receiving, on which a change of primary rests. So it confirms nothing of a term that may have been about
//! to end when it came back; and until a replica has received all that the primary held after that, what was
//! acknowledged with its word may be held by the primary alone.
//!
//! Which runs of a server there were is told by the directory, and by a log that is shorter than it was. Both ways of coming
//! back, with the log and without, are handled alike: only what a server shows in its present run counts.

use {
    crate::Time,
    pondtrack_proto::{LogPosition, Term},
};

/// A server that came back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Recovery {
    /// When it was known to be back.
    since: Time,
    /// How long a change of primary takes at most from its order to stop a replica to its end.
    change: Time,
    /// The newest term that was known when it was first heard.
    term: Option<Term>,
    /// What the primary held after it came back.
    goal: Option<LogPosition>,
    /// Whether a replica has received that much.
    whole: bool,
}

/// Another replica's account of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Witness {
    /// When it was asked.
    pub asked: Time,
    /// The newest term that it knows.
    pub term: Term,
    /// Whether it receives from the term's primary.
    pub receives: bool,
}

impl Recovery {
    /// A server that was known to be back at `since`; a change of primary takes `change` at most.
    pub fn new(since: Time, change: Time) -> Recovery {
        Recovery { since, change, term: None, goal: None, whole: false }
    }

    /// It was heard; `newest` is the newest term that any server showed so far, itself included.
    pub fn heard(&mut self, newest: Term) {
        self.term = self.term.or(Some(newest));
    }

    /// The primary held `at` when it was asked at `asked`.
    pub fn led(&mut self, at: LogPosition, asked: Time) {
        if asked >= self.since {
            self.goal = self.goal.or(Some(at));
        }
    }

    /// A replica that follows the newest primary ends its log at `at`.
    pub fn received(&mut self, at: LogPosition) {
        self.whole |= self.goal.is_some_and(|goal| at >= goal);
    }

    /// Whether all that was acknowledged with the word of its earlier runs is known to be held by a replica.
    pub fn is_whole(&self) -> bool {
        self.whole
    }

    /// When the other replicas may be asked whether the term has outlasted every change under way.
    pub fn over_at(&self) -> Time {
        self.since + self.change
    }

    /// Whether its word counts in a term: in those that began after it was first heard, as whoever ends these has to stop it in
    /// its present run; in an earlier one once no change can be under way that had stopped it before, and every other replica
    /// shows since then that none has come about. `others` are the other replicas; none for one that wasn't heard.
    pub fn counts(&self, term: Term, others: impl IntoIterator<Item = Option<Witness>>) -> bool {
        let outlasted = |it: Witness| it.asked >= self.over_at() && it.term == term && it.receives;
        match self.term {
            Some(first) if term > first => true,
            Some(_) => others.into_iter().all(|it| it.is_some_and(outlasted)),
            None => false,
        }
    }
}

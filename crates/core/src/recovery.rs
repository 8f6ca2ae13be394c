//! Quorum eligibility of a server that restarted under its id with an empty log.
//!
//! Two guarantees depend on state that such a server has lost: commits that were acknowledged because the server had
//! received them, and the order to stop receiving, on which a failover relies. Therefore its confirmations don't count
//! in a term that may have been about to end when it restarted. In addition, entries acknowledged on its confirmation
//! may be held by the primary alone until a replica has received everything that the primary held after the restart.
//!
//! Restarts are reported by the directory, or detected by a log that is shorter than before. Restarts with and without
//! the log are handled alike: only what a server reports in its current run counts.

use {
    crate::Time,
    pondtrack_proto::{LogPosition, Term},
};

/// Recovery state of a restarted server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Recovery {
    /// The time at which the restart became known.
    restarted_at: Time,
    /// Maximum duration of a failover, from its order to stop a replica to its end.
    max_failover: Time,
    /// The newest term known when the server was first reached.
    first_term: Option<Term>,
    /// The primary's position after the restart.
    goal: Option<LogPosition>,
    /// True if a replica has received everything up to the goal.
    recovered: bool,
}

/// State reported by another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaReport {
    /// The time at which the query was sent.
    pub asked_at: Time,
    /// The newest term known to the replica.
    pub term: Term,
    /// True if the replica receives from the term's primary.
    pub receiving: bool,
}

impl Recovery {
    /// Creates the state of a server whose restart became known at `restarted_at`; a failover takes at most
    /// `max_failover`.
    pub fn new(restarted_at: Time, max_failover: Time) -> Recovery {
        Recovery { restarted_at, max_failover, first_term: None, goal: None, recovered: false }
    }

    /// Records a response of the server; `newest` is the newest term reported by any server so far, this one included.
    pub fn observe_term(&mut self, newest: Term) {
        self.first_term = self.first_term.or(Some(newest));
    }

    /// Records the primary's position `at`, given in the response to a query sent at `asked`.
    pub fn observe_primary(&mut self, at: LogPosition, asked: Time) {
        if asked >= self.restarted_at {
            self.goal = self.goal.or(Some(at));
        }
    }

    /// Records that the log of a replica of the newest primary ends at `at`.
    pub fn observe_replica(&mut self, at: LogPosition) {
        self.recovered |= self.goal.is_some_and(|goal| at >= goal);
    }

    /// Returns true if everything acknowledged on the confirmations of the server's earlier runs is known to be held by
    /// a replica.
    pub fn is_recovered(&self) -> bool {
        self.recovered
    }

    /// Returns the time by which every failover that was in progress at the restart has ended. Queries sent to the
    /// other replicas from then on show whether the term has outlasted all of them.
    pub fn failover_deadline(&self) -> Time {
        self.restarted_at + self.max_failover
    }

    /// Returns true if the server's confirmations count toward the quorum in `term`.
    ///
    /// They count in terms that began after the server was first reached, because ending such a term requires stopping
    /// the server in its current run. In the term known at that time, or an earlier one, they count only once no
    /// failover that had stopped the server before the restart can be in progress, and every other replica has reported
    /// since then that none has succeeded. `others` are the reports of the other replicas; none for a replica that
    /// wasn't reached.
    pub fn counts_for_quorum(
        &self,
        term: Term,
        others: impl IntoIterator<Item = Option<ReplicaReport>>,
    ) -> bool {
        let outlasted = |report: ReplicaReport| {
            report.asked_at >= self.failover_deadline() && report.term == term && report.receiving
        };
        match self.first_term {
            Some(first) if term > first => true,
            Some(_) => others.into_iter().all(|report| report.is_some_and(outlasted)),
            None => false,
        }
    }
}

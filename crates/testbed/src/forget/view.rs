//! What an instance of the walk knows of the group, kept as `pondtrack-engine` does.

use {
    super::{Bounds, CHANGE, RUNS, SERVERS},
    pondtrack_core::{
        commit_gate::CommitGate,
        primary_claim::{ClaimStatus, PrimaryClaim},
        recovery::{Recovery, ReplicaReport},
    },
    pondtrack_proto::{LogPosition, Term},
};

/// A server's account of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Status {
    pub(super) primary: bool,
    pub(super) term: u8,
    pub(super) at: LogPosition,
    pub(super) stopped: bool,
    pub(super) asked: u64,
}

/// What an instance knows of the group, as `engine::group` keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct View {
    pub(super) term: Term,
    pub(super) gate: CommitGate,
    pub(super) claim: PrimaryClaim,
    pub(super) primary: Option<usize>,
    pub(super) leader: Option<(Term, usize)>,
    pub(super) runs: [usize; SERVERS],
    pub(super) recovery: [Option<Recovery>; SERVERS],
    pub(super) seen: [Option<Status>; SERVERS],
}

impl View {
    pub(super) fn new() -> View {
        View {
            term: Term(0),
            gate: CommitGate::new(SERVERS * RUNS, 1),
            claim: PrimaryClaim::default(),
            primary: None,
            leader: None,
            runs: [0; SERVERS],
            recovery: [None; SERVERS],
            seen: [None; SERVERS],
        }
    }

    /// Its place in the group's evidence.
    pub(super) fn slot(&self, server: usize) -> usize {
        server + SERVERS * self.runs[server]
    }

    /// The directory tells that a server has started again.
    pub(super) fn restarted(&mut self, server: usize, run: usize, now: u64) {
        self.gate.reset_server(self.slot(server));
        self.runs[server] = run;
        self.recovery[server] = Some(Recovery::new(now, CHANGE));
        self.seen[server] = None;
        if self.primary == Some(server) {
            self.primary = None;
        }
    }

    pub(super) fn saw(&mut self, server: usize, it: Status, bounds: Bounds) {
        let old = self.seen[server].replace(it);
        if !bounds.by_id && old.is_some_and(|old| old.term == it.term && it.at.lsn < old.at.lsn) {
            let run = self.runs[server];
            self.restarted(server, run, it.asked);
            self.seen[server] = Some(it);
        }
        let term = Term(it.term.into());
        if term > self.term {
            self.term = term;
            self.gate.begin_term(term);
            self.claim = PrimaryClaim::default();
            self.primary = None;
        }
        let newest = self.term;
        if let Some(recovery) = &mut self.recovery[server] {
            recovery.observe_term(newest);
        }
        let leads = term == self.term && it.primary;
        if term == self.term {
            self.judge_claim(server, it);
        }
        let believed = bounds.no_claim || self.claim.status() != ClaimStatus::LogLost;
        match self.primary {
            _ if leads && believed => {
                self.primary = Some(server);
                self.leader = Some((term, self.slot(server)));
            }
            Some(at) if at == server => self.primary = None,
            _ => {}
        }
        let led = self.leader == Some((term, self.slot(server)));
        if !it.primary && !it.stopped && !led && self.counts(server, bounds) {
            self.gate.observe(self.slot(server), term, it.at);
        }
    }

    /// The same for the holder, of whose evidence only what a change of primary begins with is kept.
    pub(super) fn decide(&mut self, server: usize, it: Status, bounds: Bounds) {
        self.saw(server, it, bounds);
        let View { gate, claim, seen, .. } = View::new();
        (self.gate, self.claim, self.seen) = (gate, claim, seen);
    }

    pub(super) fn judge_claim(&mut self, server: usize, it: Status) {
        match it.primary {
            true => self.claim.observe_primary(self.slot(server), it.at.lsn, it.asked),
            false if it.at.term == self.term => self.claim.observe_replica(it.at.lsn, it.asked),
            false => {}
        }
        for recovery in self.recovery.iter_mut().flatten() {
            match it.primary {
                true => recovery.observe_primary(it.at, it.asked),
                false => recovery.observe_replica(it.at),
            }
        }
    }

    /// Whether a replica's word counts in the newest term.
    pub(super) fn counts(&self, server: usize, bounds: Bounds) -> bool {
        let Some(recovery) = self.recovery[server].filter(|_| !bounds.no_bar) else { return true };
        let leads = |it: usize| self.primary == Some(it) || self.leader == Some((self.term, self.slot(it)));
        let others = (0..SERVERS).filter(|it| *it != server && !leads(*it));
        let witness = |it: usize| {
            let it = self.seen[it]?;
            Some(ReplicaReport {
                asked_at: it.asked,
                term: Term(it.term.into()),
                receiving: !it.primary && !it.stopped,
            })
        };
        recovery.counts_for_quorum(self.term, others.map(witness))
    }

    pub(super) fn holds(&self, bounds: Bounds) -> bool {
        bounds.no_claim || self.claim.status() == ClaimStatus::Valid
    }

    /// A replica that came back with nothing, and hasn't all that the primary held since.
    pub(super) fn is_unrecovered(&self) -> bool {
        let leads = |it: usize| self.leader.is_some_and(|leader| leader.1 % SERVERS == it);
        (0..SERVERS).any(|it| !leads(it) && self.recovery[it].is_some_and(|it| !it.is_recovered()))
    }
}

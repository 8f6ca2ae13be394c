//! Evaluation of the statuses that servers report.

use {
    super::Group,
    crate::{
        instance::{Micros, micros},
        model::{Role, Status},
        settings::MAX_FAILOVER_TIME,
        upstream::Upstream,
    },
    pondtrack_core::{
        former_primary::{self, Member},
        primary_claim::ClaimStatus,
        recovery::{Recovery, ReplicaReport},
    },
    pondtrack_proto::{LogPosition, Name, Term},
    std::rc::Rc,
};

impl Group {
    /// The last known leader, if it led in the current term and has not been removed.
    pub fn current_leader(&self) -> Option<Rc<Upstream>> {
        let (term, index) = self.leader.get()?;
        let server = self.servers.borrow()[index].clone();
        (term == self.term.get() && !server.is_removed()).then_some(server)
    }

    /// Number of restarts and log losses of servers that this instance has noticed.
    pub fn evidence_resets(&self) -> u64 {
        self.evidence_resets.get()
    }

    /// Returns true if the server claims to be the primary of the current term and has lost its log.
    pub fn has_lost_log(&self, server: &Upstream) -> bool {
        let claim = self.claim.get();
        claim.claimant() == Some(server.index) && claim.status() == ClaimStatus::LogLost
    }

    /// Discards the evidence from a server.
    pub(super) fn reset_evidence(&self, server: &Upstream, now: Micros) {
        self.evidence_resets.set(self.evidence_resets.get() + 1);
        server.replayed.take();
        self.freshness.borrow_mut().reset_server(server.index);
        self.gate.borrow_mut().reset_server(server.index);
        if self.primary.get() == Some(server.index) {
            self.freshness.borrow_mut().reset_primary();
            self.clear_primary(now);
        }
    }

    /// Evaluates the response of a server to a status request that this instance sent at `sent`.
    pub fn observe_status(&self, server: &Upstream, status: Status, sent: Micros, now: Micros) {
        server.record_contact(now);
        if server.is_outdated(status, sent) {
            // The next response shows whether this one was overtaken or the log has become shorter.
            return server.request_status();
        }
        self.apply_status(server, status, sent, now);
    }

    /// Evaluates the status of a server that another instance reported, requested from the server at `sent` or later.
    ///
    /// Ignores a status that adds nothing to the known one. A report is no evidence that the server answers this instance.
    pub(super) fn observe_relayed_status(
        &self,
        server: &Upstream,
        status: Status,
        sent: Micros,
        now: Micros,
    ) {
        if server.is_update(status, sent) {
            self.apply_status(server, status, sent, now);
        }
    }

    fn apply_status(&self, server: &Upstream, status: Status, sent: Micros, now: Micros) {
        if server.shows_log_loss(status, sent) {
            self.record_log_loss(server, status, now);
        }
        server.status.set(Some((sent, status)));
        server.status_at.set(now);
        if status.role == Role::Replica {
            let mut lag = server.lag.get();
            lag.observe_reported(status.lag * 1_000, now);
            server.lag.set(lag);
        }
        if status.term > self.term.get() {
            self.begin_term(status.term, now);
        }
        server.update_recovery(|recovery| recovery.observe_term(self.term.get()));
        let leads = self.evaluate_claim(server, status, sent, now);
        match self.primary.get() {
            _ if leads => self.set_primary(server.index, now),
            Some(index) if index == server.index => self.clear_primary(now),
            _ => {}
        }
        if leads {
            self.freshness.borrow_mut().observe(status.term, status.received, sent);
        }
        let led = self.leader.get() == Some((status.term, server.index));
        let receiving = status.role == Role::Replica && status.paused.is_none() && !led;
        if (receiving && self.counts_for_quorum(server, status.term)) || self.is_single_server() {
            self.freshness.borrow_mut().confirm(server.index, status.term, sent);
            self.gate.borrow_mut().observe(server.index, status.term, status.received);
        }
        self.changed.notify_waiters();
    }

    /// What is known of a server's terms.
    fn term_member(&self, server: &Upstream) -> Member {
        let leaders = [self.leader.get(), self.former_leader.get()];
        let led = leaders.into_iter().flatten().find(|known| known.1 == server.index).map(|known| known.0);
        Member { term: server.status().map(|known| known.1.term), led }
    }

    /// Returns true if a server may still be in an earlier term than the group's.
    pub(super) fn may_be_behind(&self, server: &Upstream) -> bool {
        self.term_member(server).may_be_behind(self.term.get())
    }

    /// Returns true if commits may only be acknowledged once reads at a server reflect them.
    fn must_replay(&self, server: &Upstream) -> bool {
        let servers = self.servers();
        let Some(at) = servers.iter().position(|s| s.index == server.index) else { return false };
        let members: Vec<Member> = servers.iter().map(|s| self.term_member(s)).collect();
        former_primary::must_replay(self.term.get(), &members, at)
    }

    /// Returns the servers whose reads have to reflect the commit at `position` before it is acknowledged, and aren't known to.
    pub(super) fn servers_to_replay(&self, position: LogPosition) -> Vec<Rc<Upstream>> {
        let mut servers = self.servers();
        // A process that has ended serves no reads.
        servers.retain(|s| s.replayed.get() < position && s.refused_since().is_none() && self.must_replay(s));
        servers
    }

    /// Handles a log that is shorter than it was in the same term, or shorter than the log of one of its own replicas.
    ///
    /// The server counts as having lost everything it held before, even if its directory entry shows no restart.
    pub(super) fn record_log_loss(&self, server: &Upstream, status: Status, now: Micros) {
        let id = server.entry().id.clone();
        let (group, term) = (self.name.as_str(), status.term.0);
        log::warn!(group, server = id.as_str(), term, position = status.received.lsn.0; "has lost its log");
        self.reset_evidence(server, now);
        server.recovery.set(Some(Recovery::new(now, micros(MAX_FAILOVER_TIME))));
        server.log_lost_at.set(now);
    }

    /// Returns true if the server is the primary of the current term: it says so, and its log is not known to be shorter
    /// than a replica's.
    pub(super) fn evaluate_claim(
        &self,
        server: &Upstream,
        status: Status,
        sent: Micros,
        now: Micros,
    ) -> bool {
        if status.term != self.term.get() {
            return false;
        }
        let (leads, received) = (status.role == Role::Primary, status.received);
        let mut claim = self.claim.get();
        let before = claim.status();
        match status.role {
            Role::Primary => claim.observe_primary(server.index, received.lsn, sent),
            // Log records received in earlier terms may still be discarded.
            Role::Replica if received.term == status.term => claim.observe_replica(received.lsn, now),
            Role::Replica => {}
        }
        self.claim.set(claim);
        for known in self.servers.borrow().iter() {
            known.update_recovery(|recovery| match status.role {
                Role::Primary => recovery.observe_primary(received, sent),
                Role::Replica => recovery.observe_replica(received),
            });
        }
        match claim.status() {
            ClaimStatus::Valid => return leads,
            ClaimStatus::Unverified => self.recheck_primary(now),
            ClaimStatus::LogLost if before != ClaimStatus::LogLost => {
                self.record_log_loss(server, status, now)
            }
            ClaimStatus::LogLost => {}
        }
        leads && claim.status() == ClaimStatus::Unverified
    }

    /// Requests the primary's status again, because a replica has received more than the primary's last status shows.
    pub(super) fn recheck_primary(&self, now: Micros) {
        if let Some(primary) = self.primary() {
            primary.request_status_since(now);
        }
    }

    /// Returns true if no replica's log contradicts the primary's claim.
    pub(super) fn is_claim_valid(&self) -> bool {
        self.claim.get().status() == ClaimStatus::Valid
    }

    /// Returns true if a replica's confirmations count towards the quorum in `term`.
    pub fn counts_for_quorum(&self, server: &Upstream, term: Term) -> bool {
        let Some(recovery) = server.recovery.get() else { return true };
        let leads = |index| self.leader.get() == Some((term, index)) || self.primary.get() == Some(index);
        let servers = self.servers();
        let others = servers.iter().filter(|other| other.index != server.index && !leads(other.index));
        let report = |other: &Rc<Upstream>| {
            let (asked_at, status) = other.status()?;
            let receiving = status.role == Role::Replica && status.paused.is_none();
            Some(ReplicaReport { asked_at, term: status.term, receiving })
        };
        recovery.counts_for_quorum(term, others.map(report))
    }

    /// Returns the name of a replica that has restarted or lost its log and not recovered.
    ///
    /// Commits that were acknowledged on that replica's confirmation may be held by the primary alone.
    pub fn unrecovered_replica(&self) -> Option<Name> {
        let servers = self.servers.borrow();
        let leader = self.leader.get().map(|known| servers[known.1].entry().id.clone());
        let unrecovered =
            |s: &Upstream| !s.is_removed() && s.recovery.get().is_some_and(|r| !r.is_recovered());
        let server = servers.iter().find(|s| unrecovered(s) && Some(&s.entry().id) != leader.as_ref())?;
        Some(server.entry().id.clone())
    }

    /// Records the log position that the primary returned with the result of a statement sent at `sent`.
    pub fn observe_position(&self, server: &Upstream, position: LogPosition, sent: Micros) {
        if self.primary.get() == Some(server.index) {
            self.freshness.borrow_mut().observe(self.term.get(), position, sent);
        }
    }

    /// Handles the response of a server that it isn't the primary.
    pub fn handle_not_primary(&self, server: &Upstream, now: Micros) {
        if self.primary.get() == Some(server.index) {
            self.clear_primary(now);
            self.request_statuses(now);
        }
    }

    pub(super) fn begin_term(&self, term: Term, now: Micros) {
        self.term.set(term);
        self.freshness.borrow_mut().begin_term(term);
        self.gate.borrow_mut().begin_term(term);
        self.claim.take();
        self.clear_primary(now);
    }

    pub(super) fn set_primary(&self, index: usize, now: Micros) {
        let leader = (self.term.get(), index);
        if let Some(known) = self.leader.replace(Some(leader)).filter(|known| known.0 < leader.0) {
            self.former_leader.set(Some(known));
        }
        if self.primary.replace(Some(index)) == Some(index) {
            return;
        }
        let gap = self.primary_lost_at.take().map_or(0, |lost_at| now.saturating_sub(lost_at));
        let id = self.servers.borrow()[index].entry().id.clone();
        log::info!(group = self.name.as_str(), server = id.as_str(), term = self.term.get().0, absent_ms = gap / 1_000; "primary found");
    }

    pub(super) fn clear_primary(&self, now: Micros) {
        self.primary.set(None);
        self.primary_lost_at.set(self.primary_lost_at.get().or(Some(now)));
    }

    pub(super) fn is_single_server(&self) -> bool {
        self.servers.borrow().iter().filter(|s| !s.is_removed()).count() == 1
    }
}

//! What servers show of themselves, and what it counts for.

use {
    super::Group,
    crate::{
        instance::{Micros, micros},
        model::{Role, Status},
        settings::MAX_FAILOVER_TIME,
        upstream::Upstream,
    },
    pondtrack_core::{
        primary_claim::ClaimStatus,
        recovery::{Recovery, ReplicaReport},
    },
    pondtrack_proto::{LogPosition, Name, Term},
    std::rc::Rc,
};

impl Group {
    /// The server that was last seen to lead, if it did so in the newest term and is still listed.
    pub fn current_leader(&self) -> Option<Rc<Upstream>> {
        let (term, at) = self.leader.get()?;
        let it = self.servers.borrow()[at].clone();
        (term == self.term.get() && !it.is_removed()).then_some(it)
    }

    /// How often a server started again or lost its log, as far as is known here.
    pub fn evidence_resets(&self) -> u64 {
        self.evidence_resets.get()
    }

    /// Whether a server calls itself the primary of the newest term and has lost its log.
    pub fn has_lost_log(&self, it: &Upstream) -> bool {
        let claim = self.claim.get();
        claim.claimant() == Some(it.index) && claim.status() == ClaimStatus::LogLost
    }

    /// What a server showed no longer counts.
    pub(super) fn reset_evidence(&self, it: &Upstream, now: Micros) {
        self.evidence_resets.set(self.evidence_resets.get() + 1);
        self.freshness.borrow_mut().reset_server(it.index);
        self.gate.borrow_mut().reset_server(it.index);
        if self.primary.get() == Some(it.index) {
            self.freshness.borrow_mut().reset_primary();
            self.clear_primary(now);
        }
    }

    /// A server gave its account of itself in the answer to a question sent at `sent`.
    pub fn observe_status(&self, it: &Upstream, status: Status, sent: Micros, now: Micros) {
        it.record_contact(now);
        if it.is_outdated(status, sent) {
            // The next answer shows whether its log is shorter now.
            return it.request_status();
        }
        self.apply_status(it, status, sent, now);
    }

    /// Another instance told a server's account of itself, which had been asked for at `sent` or later. It shows nothing of
    /// whether this instance would have an answer, and changes nothing unless it adds to what is known.
    pub(super) fn observe_relayed_status(&self, it: &Upstream, status: Status, sent: Micros, now: Micros) {
        if it.is_update(status, sent) {
            self.apply_status(it, status, sent, now);
        }
    }

    fn apply_status(&self, it: &Upstream, status: Status, sent: Micros, now: Micros) {
        if it.shows_log_loss(status, sent) {
            self.record_log_loss(it, status, now);
        }
        it.status.set(Some((sent, status)));
        it.status_at.set(now);
        if status.role == Role::Replica {
            let mut lag = it.lag.get();
            lag.observe_reported(status.lag * 1_000, now);
            it.lag.set(lag);
        }
        if status.term > self.term.get() {
            self.begin_term(status.term, now);
        }
        it.update_recovery(|recovery| recovery.observe_term(self.term.get()));
        let leads = self.evaluate_claim(it, status, sent, now);
        match self.primary.get() {
            _ if leads => self.set_primary(it.index, now),
            Some(at) if at == it.index => self.clear_primary(now),
            _ => {}
        }
        if leads {
            self.freshness.borrow_mut().observe(status.term, status.received, sent);
        }
        let led = self.leader.get() == Some((status.term, it.index));
        let receives = status.role == Role::Replica && status.paused.is_none() && !led;
        if (receives && self.counts_for_quorum(it, status.term)) || self.is_single_server() {
            self.freshness.borrow_mut().confirm(it.index, status.term, sent);
            self.gate.borrow_mut().observe(it.index, status.term, status.received);
        }
        self.changed.notify_waiters();
    }

    /// A server's log is shorter than it was in the same term, or than a replica's of its own: it holds nothing of before,
    /// whatever the directory says.
    pub(super) fn record_log_loss(&self, it: &Upstream, status: Status, now: Micros) {
        let id = it.entry().id.clone();
        let (group, term) = (self.name.as_str(), status.term.0);
        log::warn!(group, server = id.as_str(), term, position = status.received.lsn.0; "has lost its log");
        self.reset_evidence(it, now);
        it.recovery.set(Some(Recovery::new(now, micros(MAX_FAILOVER_TIME))));
        it.log_lost_at.set(now);
    }

    /// Whether a server is the primary of the newest term: by its own word, unless its log lacks what a replica has.
    pub(super) fn evaluate_claim(&self, it: &Upstream, status: Status, sent: Micros, now: Micros) -> bool {
        if status.term != self.term.get() {
            return false;
        }
        let (leads, at) = (status.role == Role::Primary, status.received);
        let mut claim = self.claim.get();
        let before = claim.status();
        match status.role {
            Role::Primary => claim.observe_primary(it.index, at.lsn, sent),
            // What it received in earlier terms may have to be dropped.
            Role::Replica if at.term == status.term => claim.observe_replica(at.lsn, now),
            Role::Replica => {}
        }
        self.claim.set(claim);
        for known in self.servers.borrow().iter() {
            known.update_recovery(|recovery| match status.role {
                Role::Primary => recovery.observe_primary(at, sent),
                Role::Replica => recovery.observe_replica(at),
            });
        }
        match claim.status() {
            ClaimStatus::Valid => return leads,
            ClaimStatus::Unverified => self.recheck_primary(now),
            ClaimStatus::LogLost if before != ClaimStatus::LogLost => self.record_log_loss(it, status, now),
            ClaimStatus::LogLost => {}
        }
        leads && claim.status() == ClaimStatus::Unverified
    }

    /// Asks the primary again, as a replica has more than it showed.
    pub(super) fn recheck_primary(&self, now: Micros) {
        if let Some(it) = self.primary() {
            it.request_status_since(now);
        }
    }

    /// Whether nothing speaks against the primary.
    pub(super) fn is_claim_valid(&self) -> bool {
        self.claim.get().status() == ClaimStatus::Valid
    }

    /// Whether a replica's word counts in a term.
    pub fn counts_for_quorum(&self, it: &Upstream, term: Term) -> bool {
        let Some(recovery) = it.recovery.get() else { return true };
        let leads = |index| self.leader.get() == Some((term, index)) || self.primary.get() == Some(index);
        let servers = self.servers();
        let others = servers.iter().filter(|other| other.index != it.index && !leads(other.index));
        let witness = |other: &Rc<Upstream>| {
            let (asked, status) = other.status()?;
            let receives = status.role == Role::Replica && status.paused.is_none();
            Some(ReplicaReport { asked_at: asked, term: status.term, receiving: receives })
        };
        recovery.counts_for_quorum(term, others.map(witness))
    }

    /// A replica that came back with nothing, where what was acknowledged with its word may be held by the primary alone.
    pub fn unrecovered_replica(&self) -> Option<Name> {
        let servers = self.servers.borrow();
        let led = self.leader.get().map(|it| servers[it.1].entry().id.clone());
        let unrecovered =
            |it: &Upstream| !it.is_removed() && it.recovery.get().is_some_and(|it| !it.is_recovered());
        let it = servers.iter().find(|it| unrecovered(it) && Some(&it.entry().id) != led.as_ref())?;
        Some(it.entry().id.clone())
    }

    /// The primary showed a position after a statement sent at `sent`.
    pub fn observe_position(&self, it: &Upstream, at: LogPosition, sent: Micros) {
        if self.primary.get() == Some(it.index) {
            self.freshness.borrow_mut().observe(self.term.get(), at, sent);
        }
    }

    /// A server says that it isn't the primary.
    pub fn handle_not_primary(&self, it: &Upstream, now: Micros) {
        if self.primary.get() == Some(it.index) {
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
        self.leader.set(Some((self.term.get(), index)));
        if self.primary.replace(Some(index)) == Some(index) {
            return;
        }
        let gap = self.primary_lost_at.take().map_or(0, |at| now.saturating_sub(at));
        let id = self.servers.borrow()[index].entry().id.clone();
        log::info!(group = self.name.as_str(), server = id.as_str(), term = self.term.get().0, absent_ms = gap / 1_000; "primary found");
    }

    pub(super) fn clear_primary(&self, now: Micros) {
        self.primary.set(None);
        self.primary_lost_at.set(self.primary_lost_at.get().or(Some(now)));
    }

    pub(super) fn is_single_server(&self) -> bool {
        self.servers.borrow().iter().filter(|it| !it.is_removed()).count() == 1
    }
}

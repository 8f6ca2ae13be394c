//! A group's servers, and what is known about them.
//!
//! Here is what callers wait for: a server that holds a position, a confirmed term, a commit that a replica has. Which servers
//! there are is in `group/discovery.rs`, what they show of themselves in `group/evidence.rs`.
//!
//! Evidence is what a server showed in the answer to a question, as of the question's sending. A replica
//! that receives in a term confirms that the term's primary had not been replaced at that time: whoever
//! replaces it first stops all other replicas from receiving (see [`crate::failover`]).

use {
    self::status_reports::StatusQueries,
    crate::{
        instance::{Instance, Micros, micros},
        settings::{
            EVIDENCE_REFRESH_PERCENT, LAG_FACTOR, MAX_REPLICATION_POLL, MIN_REPLICATION_POLL, ORDER_TIMEOUT,
            PRIMARY_POLL_INTERVAL, SERVER_EXPIRY, STATUS_HEDGE_DELAY,
        },
        upstream::Upstream,
    },
    pondtrack_core::{
        balance::ServerLoad, commit_gate::CommitGate, freshness::Freshness, leader::LeaderRecord,
        primary_claim::PrimaryClaim,
    },
    pondtrack_proto::{LogPosition, Lsn, Name, Term},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{Instant, sleep, timeout, timeout_at},
    },
};

mod discovery;
mod evidence;
pub mod status_reports;

/// Replicas that have to confirm a term, or hold a commit.
const REPLICAS: usize = 1;

/// A group of servers.
pub struct Group {
    /// Its name.
    pub name: Name,
    /// Since when this instance knows it.
    known_since: Micros,
    /// Woken when something about the group has changed.
    pub changed: Notify,
    servers: RefCell<Vec<Rc<Upstream>>>,
    term: Cell<Term>,
    primary: Cell<Option<usize>>,
    /// Who was last seen to lead, and in which term: its word doesn't count beside its own commits.
    leader: Cell<Option<(Term, usize)>>,
    primary_lost_at: Cell<Option<Micros>>,
    /// Whether the term's primary holds what its replicas have.
    claim: Cell<PrimaryClaim>,
    /// How often a server started again or lost its log.
    evidence_resets: Cell<u64>,
    freshness: RefCell<Freshness>,
    gate: RefCell<CommitGate>,
    /// Questions about it to other instances.
    queries: StatusQueries,
}

impl Group {
    /// A group of which no server is known.
    pub fn new(name: Name, now: Micros) -> Group {
        Group {
            name,
            known_since: now,
            changed: Notify::new(),
            servers: RefCell::default(),
            term: Cell::default(),
            primary: Cell::default(),
            leader: Cell::default(),
            primary_lost_at: Cell::default(),
            claim: Cell::default(),
            evidence_resets: Cell::default(),
            freshness: RefCell::new(Freshness::new(0, REPLICAS)),
            gate: RefCell::new(CommitGate::new(0, REPLICAS)),
            queries: StatusQueries::default(),
        }
    }

    /// Its servers that have not left.
    pub fn servers(&self) -> Vec<Rc<Upstream>> {
        self.servers.borrow().iter().filter(|it| !it.is_removed()).cloned().collect()
    }

    /// Whether it has been known for so long that a server whose entry had lapsed before is listed again, if it lives. One
    /// whose entry lapses later stays listed for as long.
    pub fn is_settled(&self, now: Micros) -> bool {
        now.saturating_sub(self.known_since) >= micros(SERVER_EXPIRY)
    }

    /// The newest term that any server showed.
    pub fn term(&self) -> Term {
        self.term.get()
    }

    /// Its primary, as far as it is known.
    pub fn primary(&self) -> Option<Rc<Upstream>> {
        let at = self.primary.get()?;
        self.servers.borrow().get(at).filter(|it| !it.is_removed()).cloned()
    }

    /// Who was last seen to lead, and in which term.
    pub fn leader(&self) -> Option<LeaderRecord> {
        let (term, at) = self.leader.get()?;
        let server = self.servers.borrow()[at].entry().id.clone();
        Some(LeaderRecord { term, server: Some(server) })
    }

    /// Since when no primary is known.
    pub fn primary_lost_at(&self) -> Option<Micros> {
        self.primary_lost_at.get()
    }

    /// Whether the account of any of its servers was ever wanted here.
    pub fn is_used(&self) -> bool {
        self.servers.borrow().iter().any(|it| it.in_use.get())
    }

    /// Whether it is in use and has no primary that answers here.
    pub fn lacks_primary(&self) -> bool {
        self.is_used() && self.primary().is_none_or(|it| it.unanswered_since().is_some())
    }

    /// Asks every server for its account of itself that wasn't asked at `since` or later.
    pub fn request_statuses(&self, since: Micros) {
        for it in self.servers() {
            it.request_status_since(since);
        }
    }

    /// Asks the replica that is likely to answer first, unless it owes an answer to a question since then.
    fn request_replica_status(&self, inst: &Instance, since: Micros) {
        let now = inst.now();
        let servers = self.servers();
        let replicas = servers.iter().filter(|it| self.primary.get() != Some(it.index) || servers.len() == 1);
        let quiet = |it: &Upstream| {
            let paused = it.status.get().is_some_and(|it| it.1.paused.is_some());
            it.unanswered_since.get().is_some() || paused || !self.counts_for_quorum(it, self.term.get())
        };
        let best = replicas
            .min_by_key(|it| (quiet(it), it.avoid_until.get() > now, self.server_load(inst, it, now).cost()));
        if let Some(it) = best {
            it.request_status_since(since);
        }
    }

    fn server_load(&self, inst: &Instance, it: &Upstream, now: Micros) -> ServerLoad {
        ServerLoad {
            expected_latency: it.latency.get().get(now),
            in_flight: it.permits.in_flight(),
            is_remote: it.entry().zone != inst.settings.zone,
            is_primary: self.primary.get() == Some(it.index),
        }
    }

    /// Chooses a server for a read whose position was reached by the primary at `since`.
    ///
    /// Replicas that are unlikely to hold the position are left out, and servers in `tried` come last.
    pub fn select_server(&self, inst: &Instance, since: Micros, tried: &[usize]) -> Option<Rc<Upstream>> {
        let now = inst.now();
        let age = now.saturating_sub(since) as f64;
        let caught_up = |it: &Upstream| {
            self.primary.get() == Some(it.index) || age >= it.lag.get().get(now) as f64 * LAG_FACTOR
        };
        let servers = self.servers();
        let usable = |it: &&Rc<Upstream>| {
            caught_up(it) && it.unanswered_since.get().is_none() && it.accepts_work(inst)
        };
        servers
            .iter()
            .filter(usable)
            .min_by_key(|it| {
                let again = tried.iter().filter(|n| **n == it.index).count();
                let rest =
                    (it.avoid_until.get() > now, !it.pool.is_available() || !it.permits.has_free_permit());
                (it.entry().draining, again, rest, self.server_load(inst, it, now).cost())
            })
            .cloned()
    }

    /// The position that holds everything acknowledged longer ago than `age`, and since when it is known
    /// to. Evidence is renewed if it is getting old; none if that fails before the end.
    pub async fn required_position(
        &self,
        inst: &Instance,
        age: Duration,
        end: Instant,
    ) -> Option<(Micros, LogPosition)> {
        let age = micros(age);
        loop {
            let changed = self.changed.notified();
            let now = inst.now();
            let needed = self
                .freshness
                .borrow()
                .required_position(now.saturating_sub(age))
                .filter(|_| self.is_claim_valid());
            self.refresh_evidence(inst, now, age, needed.is_some());
            if needed.is_some() {
                return needed;
            }
            if Instant::now() >= end {
                return None;
            }
            // What is not answered is asked again by `renew`.
            let _ = timeout_at(end.min(Instant::now() + STATUS_HEDGE_DELAY), changed).await;
        }
    }

    /// Has evidence that is getting too old for `age`, or is not `enough`, renewed.
    fn refresh_evidence(&self, inst: &Instance, now: Micros, age: Micros, enough: bool) {
        let limit = now.saturating_sub(age * EVIDENCE_REFRESH_PERCENT / 100);
        let (observed, confirmed) = {
            let it = self.freshness.borrow();
            (it.observed_at().unwrap_or_default(), it.confirmed_at().unwrap_or_default())
        };
        match self.primary() {
            Some(it) if observed < limit || observed == 0 => it.request_status_since(limit),
            Some(_) => {}
            None => self.request_statuses(now.saturating_sub(micros(PRIMARY_POLL_INTERVAL))),
        }
        // A confirmation counts for what was observed before it.
        if confirmed < limit || (!enough && confirmed <= observed) {
            self.request_replica_status(inst, observed.max(limit));
        }
    }

    /// Waits until a replica confirms that the primary of `term` had not been replaced at `since`.
    pub async fn wait_confirmed(&self, inst: &Instance, term: Term, since: Micros, end: Instant) -> bool {
        let mut patience = STATUS_HEDGE_DELAY;
        self.request_replica_status(inst, since);
        loop {
            let changed = self.changed.notified();
            if self.term.get() != term {
                return false;
            }
            if self.is_claim_valid() && self.freshness.borrow().confirmed_at().is_some_and(|at| at >= since) {
                return true;
            }
            if Instant::now() >= end {
                return false;
            }
            if timeout(patience, changed).await.is_err() {
                self.request_statuses(inst.now().saturating_sub(micros(patience)).max(since));
                patience = (patience * 2).min(ORDER_TIMEOUT);
            }
        }
    }

    /// Waits until a replica has received a commit of `term`. False when the term is over, or at the end.
    pub async fn wait_replicated(&self, inst: &Instance, term: Term, at: Lsn, end: Instant) -> bool {
        let began = Instant::now();
        let mut pause = MIN_REPLICATION_POLL;
        let mut sent = inst.now();
        loop {
            match began.elapsed() < STATUS_HEDGE_DELAY {
                true => self.request_replica_status(inst, sent),
                false => self.request_statuses(sent),
            }
            let answered = timeout(STATUS_HEDGE_DELAY, self.changed.notified()).await.is_ok();
            let (known, durable) = {
                let it = self.gate.borrow();
                (it.term(), it.commit_lsn())
            };
            match known == term && durable >= at {
                true if self.is_claim_valid() => return true,
                _ if known > term || Instant::now() >= end => return false,
                _ if answered => sleep(pause).await,
                _ => {}
            }
            sent = inst.now().saturating_sub(micros(pause));
            pause = (pause * 2).min(MAX_REPLICATION_POLL);
        }
    }

    /// Waits for a primary that answers.
    pub async fn wait_primary(&self, inst: &Instance, end: Instant) -> Option<Rc<Upstream>> {
        if self.primary().is_none() {
            self.request_statuses(inst.now().saturating_sub(micros(PRIMARY_POLL_INTERVAL)));
        }
        loop {
            let changed = self.changed.notified();
            let usable = |it: &Rc<Upstream>| it.unanswered_since().is_none() && it.accepts_work(inst);
            if let Some(it) = self.primary().filter(usable) {
                return Some(it);
            }
            if Instant::now() >= end {
                return None;
            }
            if timeout_at(end.min(Instant::now() + PRIMARY_POLL_INTERVAL), changed).await.is_err() {
                self.request_statuses(inst.now().saturating_sub(micros(PRIMARY_POLL_INTERVAL)));
            }
        }
    }
}

//! A group of servers and the evidence about their state.
//!
//! This module holds the conditions that callers wait for: a server that has reached a log position, a confirmed term, a
//! commit that a replica has received. `group/discovery.rs` maintains the list of servers, `group/evidence.rs` evaluates
//! their status responses, and `group/status_reports.rs` exchanges statuses with other instances.
//!
//! Evidence is the content of a server's status response, valid as of the time at which the request was sent. A replica that
//! replicates in a term confirms that the term's primary had not been replaced at that time, because a failover first stops
//! replication on all other replicas (see [`crate::failover`]). After the failover they are resumed, and one that doesn't reach
//! the new primary confirms the old term; [`pondtrack_core::former_primary`] shows why its word does no harm.

use {
    self::status_reports::StatusQueries,
    crate::{
        instance::{Instance, Micros, micros},
        settings::{
            EVIDENCE_REFRESH_PERCENT, LAG_FACTOR, MAX_REPLAY_POLL, MAX_REPLICATION_POLL, MIN_REPLAY_POLL,
            MIN_REPLICATION_POLL, ORDER_TIMEOUT, PRIMARY_POLL_INTERVAL, SERVER_EXPIRY, STATUS_HEDGE_DELAY,
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

/// Number of replicas that have to confirm a term or to have received a commit.
const REPLICAS: usize = 1;

/// A group of servers.
pub struct Group {
    /// Name of the group.
    pub name: Name,
    /// Time at which this instance learned of the group.
    known_since: Micros,
    /// Notified when the evidence or the list of servers has changed.
    pub changed: Notify,
    servers: RefCell<Vec<Rc<Upstream>>>,
    term: Cell<Term>,
    primary: Cell<Option<usize>>,
    /// Term and index of the last known leader. Its own status doesn't count as a replica's confirmation of its commits.
    leader: Cell<Option<(Term, usize)>>,
    /// Term and index of the last known leader of an earlier term.
    former_leader: Cell<Option<(Term, usize)>>,
    primary_lost_at: Cell<Option<Micros>>,
    /// Comparison of the primary's log with the logs of its replicas.
    claim: Cell<PrimaryClaim>,
    /// Number of restarts and log losses of servers.
    evidence_resets: Cell<u64>,
    freshness: RefCell<Freshness>,
    gate: RefCell<CommitGate>,
    /// Status queries about this group to other instances.
    queries: StatusQueries,
}

impl Group {
    /// Creates a group without servers.
    pub fn new(name: Name, now: Micros) -> Group {
        Group {
            name,
            known_since: now,
            changed: Notify::new(),
            servers: RefCell::default(),
            term: Cell::default(),
            primary: Cell::default(),
            leader: Cell::default(),
            former_leader: Cell::default(),
            primary_lost_at: Cell::default(),
            claim: Cell::default(),
            evidence_resets: Cell::default(),
            freshness: RefCell::new(Freshness::new(0, REPLICAS)),
            gate: RefCell::new(CommitGate::new(0, REPLICAS)),
            queries: StatusQueries::default(),
        }
    }

    /// Servers that have not been removed.
    pub fn servers(&self) -> Vec<Rc<Upstream>> {
        self.servers.borrow().iter().filter(|s| !s.is_removed()).cloned().collect()
    }

    /// Returns true if this instance has known the group for at least [`SERVER_EXPIRY`].
    ///
    /// A live server whose directory entry had expired before that is listed again by then, and a server whose entry expires
    /// later stays listed for the same time.
    pub fn is_settled(&self, now: Micros) -> bool {
        now.saturating_sub(self.known_since) >= micros(SERVER_EXPIRY)
    }

    /// The highest term in the status of any server.
    pub fn term(&self) -> Term {
        self.term.get()
    }

    /// The primary of the current term, or `None` if it is not known.
    pub fn primary(&self) -> Option<Rc<Upstream>> {
        let index = self.primary.get()?;
        self.servers.borrow().get(index).filter(|s| !s.is_removed()).cloned()
    }

    /// The last known leader and its term.
    pub fn leader(&self) -> Option<LeaderRecord> {
        let (term, index) = self.leader.get()?;
        let server = self.servers.borrow()[index].entry().id.clone();
        Some(LeaderRecord { term, server: Some(server) })
    }

    /// Time since which no primary has been known.
    pub fn primary_lost_at(&self) -> Option<Micros> {
        self.primary_lost_at.get()
    }

    /// Returns true if this instance has ever requested the status of any of the group's servers.
    pub fn is_used(&self) -> bool {
        self.servers.borrow().iter().any(|s| s.in_use.get())
    }

    /// Returns true if the group is in use and has no primary that answers this instance.
    pub fn lacks_primary(&self) -> bool {
        self.is_used() && self.primary().is_none_or(|p| p.unanswered_since().is_some())
    }

    /// Requests the status of every server to which no request was sent at `since` or later.
    pub fn request_statuses(&self, since: Micros) {
        for server in self.servers() {
            server.request_status_since(since);
        }
    }

    /// Requests the status of the replica that is likely to answer first, unless a request was sent to it at `since` or later.
    fn request_replica_status(&self, inst: &Instance, since: Micros) {
        let now = inst.now();
        let servers = self.servers();
        let replicas = servers.iter().filter(|s| self.primary.get() != Some(s.index) || servers.len() == 1);
        let unusable = |s: &Upstream| {
            let paused = s.status.get().is_some_and(|known| known.1.paused.is_some());
            s.unanswered_since.get().is_some() || paused || !self.counts_for_quorum(s, self.term.get())
        };
        let best = replicas
            .min_by_key(|s| (unusable(s), s.avoid_until.get() > now, self.server_load(inst, s, now).cost()));
        if let Some(server) = best {
            server.request_status_since(since);
        }
    }

    fn server_load(&self, inst: &Instance, server: &Upstream, now: Micros) -> ServerLoad {
        ServerLoad {
            expected_latency: server.latency.get().get(now),
            in_flight: server.permits.in_flight(),
            is_remote: server.entry().zone != inst.settings.zone,
            is_primary: self.primary.get() == Some(server.index),
        }
    }

    /// Selects a server for a read whose position the primary reached at `since`.
    ///
    /// Replicas that are unlikely to have replayed the position are excluded. Draining servers come last, and among the
    /// others those in `tried`, ordered by the number of their attempts.
    pub fn select_server(&self, inst: &Instance, since: Micros, tried: &[usize]) -> Option<Rc<Upstream>> {
        let now = inst.now();
        let age = now.saturating_sub(since) as f64;
        let caught_up = |s: &Upstream| {
            self.primary.get() == Some(s.index) || age >= s.lag.get().get(now) as f64 * LAG_FACTOR
        };
        let servers = self.servers();
        let usable =
            |s: &&Rc<Upstream>| caught_up(s) && s.unanswered_since.get().is_none() && s.accepts_work(inst);
        servers
            .iter()
            .filter(usable)
            .min_by_key(|s| {
                let attempts = tried.iter().filter(|n| **n == s.index).count();
                let busy =
                    (s.avoid_until.get() > now, !s.pool.is_available() || !s.permits.has_free_permit());
                (s.entry().draining, attempts, busy, self.server_load(inst, s, now).cost())
            })
            .cloned()
    }

    /// Returns a log position that includes every commit acknowledged longer ago than `age`, and the time as of which that
    /// is known.
    ///
    /// Requests new evidence if the present evidence is getting old. Returns `None` if there is none at `deadline`.
    pub async fn required_position(
        &self,
        inst: &Instance,
        age: Duration,
        deadline: Instant,
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
            if Instant::now() >= deadline {
                return None;
            }
            // `refresh_evidence` repeats a request that has no answer.
            let _ = timeout_at(deadline.min(Instant::now() + STATUS_HEDGE_DELAY), changed).await;
        }
    }

    /// Requests new evidence if the present evidence is getting too old for `age` or is not `sufficient`.
    fn refresh_evidence(&self, inst: &Instance, now: Micros, age: Micros, sufficient: bool) {
        let limit = now.saturating_sub(age * EVIDENCE_REFRESH_PERCENT / 100);
        let (observed, confirmed) = {
            let freshness = self.freshness.borrow();
            (freshness.observed_at().unwrap_or_default(), freshness.confirmed_at().unwrap_or_default())
        };
        match self.primary() {
            Some(primary) if observed < limit || observed == 0 => primary.request_status_since(limit),
            Some(_) => {}
            None => self.request_statuses(now.saturating_sub(micros(PRIMARY_POLL_INTERVAL))),
        }
        // A confirmation only covers positions that were observed before it.
        if confirmed < limit || (!sufficient && confirmed <= observed) {
            self.request_replica_status(inst, observed.max(limit));
        }
    }

    /// Waits until a replica confirms that the primary of `term` had not been replaced at `since`.
    ///
    /// Returns false if the group's term is another one, or at `deadline`.
    pub async fn wait_confirmed(
        &self,
        inst: &Instance,
        term: Term,
        since: Micros,
        deadline: Instant,
    ) -> bool {
        let mut delay = STATUS_HEDGE_DELAY;
        self.request_replica_status(inst, since);
        loop {
            let changed = self.changed.notified();
            if self.term.get() != term {
                return false;
            }
            if self.is_claim_valid() && self.freshness.borrow().confirmed_at().is_some_and(|at| at >= since) {
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
            if timeout(delay, changed).await.is_err() {
                self.request_statuses(inst.now().saturating_sub(micros(delay)).max(since));
                delay = (delay * 2).min(ORDER_TIMEOUT);
            }
        }
    }

    /// Waits until a replica has received the commit at `lsn` of `term`.
    ///
    /// Returns false if a later term has begun, or at `deadline`.
    pub async fn wait_replicated(&self, inst: &Instance, term: Term, lsn: Lsn, deadline: Instant) -> bool {
        let started = Instant::now();
        let mut interval = MIN_REPLICATION_POLL;
        let mut since = inst.now();
        loop {
            match started.elapsed() < STATUS_HEDGE_DELAY {
                true => self.request_replica_status(inst, since),
                false => self.request_statuses(since),
            }
            let changed = timeout(STATUS_HEDGE_DELAY, self.changed.notified()).await.is_ok();
            let (current, committed) = {
                let gate = self.gate.borrow();
                (gate.term(), gate.commit_lsn())
            };
            match current == term && committed >= lsn {
                true if self.is_claim_valid() => return true,
                _ if current > term || Instant::now() >= deadline => return false,
                _ if changed => sleep(interval).await,
                _ => {}
            }
            since = inst.now().saturating_sub(micros(interval));
            interval = (interval * 2).min(MAX_REPLICATION_POLL);
        }
    }

    /// Waits until the commit at `position` is visible on every server that may be read from as a former primary.
    ///
    /// Returns false if a later term has begun, or at `deadline`.
    pub async fn wait_visible(&self, inst: &Instance, position: LogPosition, deadline: Instant) -> bool {
        let mut poll_at = None;
        loop {
            let changed = self.changed.notified();
            let missing = self.servers_to_replay(position);
            match () {
                () if self.term.get() != position.term => return false,
                () if missing.is_empty() => return true,
                () if Instant::now() >= deadline => return false,
                () => {}
            }
            self.request_earlier_term_statuses(inst);
            let poll_due =
                *poll_at.get_or_insert_with(|| Instant::now() + replay_delay(&missing, inst.now()));
            if Instant::now() >= poll_due {
                missing.iter().for_each(|server| server.request_replayed(inst.now()));
                poll_at = None;
            }
            let _ = timeout_at(deadline.min(poll_due.max(Instant::now() + MIN_REPLAY_POLL)), changed).await;
        }
    }

    /// Requests the statuses of the servers that may still be in an earlier term, at most once per [`PRIMARY_POLL_INTERVAL`].
    fn request_earlier_term_statuses(&self, inst: &Instance) {
        let since = inst.now().saturating_sub(micros(PRIMARY_POLL_INTERVAL));
        for server in self.servers().iter().filter(|s| self.may_be_behind(s)) {
            server.request_status_since(since);
        }
    }

    /// Waits for a primary that answers and accepts work. Returns `None` at `deadline`.
    pub async fn wait_primary(&self, inst: &Instance, deadline: Instant) -> Option<Rc<Upstream>> {
        if self.primary().is_none() {
            self.request_statuses(inst.now().saturating_sub(micros(PRIMARY_POLL_INTERVAL)));
        }
        loop {
            let changed = self.changed.notified();
            let usable = |s: &Rc<Upstream>| s.unanswered_since().is_none() && s.accepts_work(inst);
            if let Some(primary) = self.primary().filter(usable) {
                return Some(primary);
            }
            if Instant::now() >= deadline {
                return None;
            }
            if timeout_at(deadline.min(Instant::now() + PRIMARY_POLL_INTERVAL), changed).await.is_err() {
                self.request_statuses(inst.now().saturating_sub(micros(PRIMARY_POLL_INTERVAL)));
            }
        }
    }
}

/// Returns the time after which reads at all of these servers are likely to reflect what the servers have received.
fn replay_delay(servers: &[Rc<Upstream>], now: Micros) -> Duration {
    let lag = servers.iter().map(|server| server.lag.get().get(now)).max().unwrap_or_default();
    Duration::from_micros(lag).clamp(MIN_REPLAY_POLL, MAX_REPLAY_POLL)
}

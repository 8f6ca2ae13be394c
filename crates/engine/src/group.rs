//! A group's servers, and what is known about them.
//!
//! Evidence is what a server showed in the answer to a question, as of the question's sending. A replica
//! that receives in a term confirms that the term's primary had not been replaced at that time: whoever
//! replaces it first stops all other replicas from receiving (see [`crate::takeover`]).

use {
    crate::{
        ask::ask_forever,
        count::Count,
        instance::{Instance, Micros, micros},
        model::{Role, Server, Status},
        settings::{
            ASK_OTHERS, CHANGE_MOST, EVIDENCE_PERCENT, GATE_PAUSE, GATE_PAUSE_MOST, GONE_AFTER, LAG_FACTOR,
            ORDER_LIMIT, PRIMARY_PAUSE,
        },
        upstream::Upstream,
    },
    pondtrack_core::{
        balance::Offer,
        claim::{Claim, Verdict},
        fresh::Freshness,
        gate::Gate,
        leader::Leader,
        recovery::{Recovery, Witness},
    },
    pondtrack_proto::{Lsn, Mark, Name, Term},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{Instant, sleep, timeout},
    },
};

/// Replicas that have to confirm a term, or hold a commit.
const REPLICAS: usize = 1;

/// A group of servers.
pub struct Group {
    /// Its name.
    pub name: Name,
    /// Since when this instance knows it.
    known: Micros,
    /// Woken when something about the group has changed.
    pub changed: Notify,
    servers: RefCell<Vec<Rc<Upstream>>>,
    term: Cell<Term>,
    primary: Cell<Option<usize>>,
    /// Who was last seen to lead, and in which term: its word doesn't count beside its own commits.
    leader: Cell<Option<(Term, usize)>>,
    absent: Cell<Option<Micros>>,
    /// Whether the term's primary holds what its replicas have.
    claim: Cell<Claim>,
    /// How often a server started again or lost its log.
    losses: Cell<u64>,
    fresh: RefCell<Freshness>,
    gate: RefCell<Gate>,
}

impl Group {
    /// A group of which no server is known.
    pub fn new(name: Name, now: Micros) -> Group {
        Group {
            name,
            known: now,
            changed: Notify::new(),
            servers: RefCell::default(),
            term: Cell::default(),
            primary: Cell::default(),
            leader: Cell::default(),
            absent: Cell::default(),
            claim: Cell::default(),
            losses: Cell::default(),
            fresh: RefCell::new(Freshness::new(0, REPLICAS)),
            gate: RefCell::new(Gate::new(0, REPLICAS)),
        }
    }

    /// Its servers that have not left.
    pub fn servers(&self) -> Vec<Rc<Upstream>> {
        self.servers.borrow().iter().filter(|it| !it.is_gone()).cloned().collect()
    }

    /// Whether it has been known for so long that a server whose entry had lapsed before is listed again, if it lives. One
    /// whose entry lapses later stays listed for as long.
    pub fn is_settled(&self, now: Micros) -> bool {
        now.saturating_sub(self.known) >= micros(GONE_AFTER)
    }

    /// The newest term that any server showed.
    pub fn term(&self) -> Term {
        self.term.get()
    }

    /// Its primary, as far as it is known.
    pub fn primary(&self) -> Option<Rc<Upstream>> {
        let at = self.primary.get()?;
        self.servers.borrow().get(at).filter(|it| !it.is_gone()).cloned()
    }

    /// Who was last seen to lead, and in which term.
    pub fn leader(&self) -> Option<Leader> {
        let (term, at) = self.leader.get()?;
        let server = self.servers.borrow()[at].entry().id.clone();
        Some(Leader { term, server: Some(server) })
    }

    /// The server that was last seen to lead, if it did so in the newest term and is still listed.
    pub fn led_by(&self) -> Option<Rc<Upstream>> {
        let (term, at) = self.leader.get()?;
        let it = self.servers.borrow()[at].clone();
        (term == self.term.get() && !it.is_gone()).then_some(it)
    }

    /// How often a server started again or lost its log, as far as is known here.
    pub fn losses(&self) -> u64 {
        self.losses.get()
    }

    /// Whether a server calls itself the primary of the newest term and has lost its log.
    pub fn lacks(&self, it: &Upstream) -> bool {
        let claim = self.claim.get();
        claim.claimant() == Some(it.index) && claim.verdict() == Verdict::Lacks
    }

    /// Since when no primary is known.
    pub fn absent(&self) -> Option<Micros> {
        self.absent.get()
    }

    /// Takes a server's entry in; a new server, and a new run of a known one, gets a task that asks it.
    pub fn enter(self: &Rc<Self>, inst: &Rc<Instance>, server: Server) {
        let Some(it) = self.present(&server.id) else { return self.add(inst, server, None) };
        if it.entry().incarnation != server.incarnation {
            return self.succeed(inst, &it, server);
        }
        let hint = server.role == Some(Role::Primary) && it.entry().role != server.role;
        it.missing.set(None);
        if it.gone.replace(false) {
            // Its task has ended.
            tokio::task::spawn_local(ask_forever(inst.clone(), self.clone(), it.clone()));
        }
        it.draining.set(server.draining.then(|| it.draining.get().unwrap_or(inst.now())));
        *it.entry.borrow_mut() = Rc::new(server);
        if hint && self.is_used() {
            it.ask();
        }
        self.changed.notify_waiters();
    }

    /// The present run of a server, as far as it is known here.
    fn present(&self, id: &Name) -> Option<Rc<Upstream>> {
        let servers = self.servers.borrow();
        servers.iter().find(|it| !it.succeeded.get() && it.entry().id == *id).cloned()
    }

    /// A server has started again. Nothing of what its earlier run showed counts, nor will it if an entry of that run
    /// comes once more.
    fn succeed(self: &Rc<Self>, inst: &Rc<Instance>, old: &Rc<Upstream>, server: Server) {
        let now = inst.now();
        let (id, run, before) = (server.id.as_str(), server.incarnation, old.entry().incarnation);
        log::info!(group = self.name.as_str(), server = id, run:% = run, before:% = before; "started again");
        inst.counters.one(Count::Restarts);
        old.succeeded.set(true);
        old.gone.set(true);
        old.pool.trim(Instant::now(), true);
        self.forget(old, now);
        // Its task ends.
        old.ask();
        self.add(inst, server, Some(Recovery::new(now, micros(CHANGE_MOST))));
        self.changed.notify_waiters();
    }

    /// What a server showed no longer counts.
    fn forget(&self, it: &Upstream, now: Micros) {
        self.losses.set(self.losses.get() + 1);
        self.fresh.borrow_mut().forget(it.index);
        self.gate.borrow_mut().forget_server(it.index);
        if self.primary.get() == Some(it.index) {
            self.fresh.borrow_mut().forget_primary();
            self.lose_primary(now);
        }
    }

    /// A server's entry was removed; it counts as gone if it stays away.
    pub fn leave(&self, id: &Name, now: Micros) {
        if let Some(it) = self.present(id) {
            it.missing.set(it.missing.get().or(Some(now)));
            // Whether it still answers shows whether it has left.
            if self.is_used() {
                it.ask();
            }
        }
    }

    /// Servers whose entries have been missing since before `limit` are gone, and those that had said that they
    /// leave and don't answer any longer. Hands their ids back.
    pub fn expire(&self, limit: Micros) -> Vec<Name> {
        let mut gone = Vec::new();
        for it in self.servers().iter().filter(|it| it.is_missed(limit)) {
            it.gone.set(true);
            it.pool.trim(Instant::now(), true);
            if self.primary.get() == Some(it.index) {
                self.lose_primary(limit);
            }
            // Its task ends.
            it.ask();
            gone.push(it.entry().id.clone());
        }
        gone
    }

    fn add(self: &Rc<Self>, inst: &Rc<Instance>, server: Server, recovery: Option<Recovery>) {
        let index = self.servers.borrow().len();
        let it = Rc::new(Upstream::new(index, server, inst.clock));
        it.recovery.set(recovery);
        self.servers.borrow_mut().push(it.clone());
        self.fresh.borrow_mut().grow(index + 1);
        self.gate.borrow_mut().grow(index + 1);
        self.greet(inst, &it);
        tokio::task::spawn_local(ask_forever(inst.clone(), self.clone(), it));
    }

    /// Asks a server that is new here, if this instance is one of its homes. Others ask once they have callers for
    /// it: each of hundreds of instances asking each of hundreds of servers would be too much at a start.
    fn greet(&self, inst: &Instance, it: &Upstream) {
        inst.place(it);
        let home = inst.peers().is_some() && inst.is_configured(&self.name) && it.is_reachable();
        if home || self.is_used() {
            it.ask();
        }
    }

    /// The same for all its servers, once it is known which other instances there are.
    pub fn greet_all(&self, inst: &Instance) {
        for it in self.servers() {
            self.greet(inst, &it);
        }
    }

    /// Whether the account of any of its servers was ever wanted here.
    pub fn is_used(&self) -> bool {
        self.servers.borrow().iter().any(|it| it.wanted.get())
    }

    /// Whether it is in use and has no primary that answers here.
    pub fn lacks_primary(&self) -> bool {
        self.is_used() && self.primary().is_none_or(|it| it.silent().is_some())
    }

    /// A server gave its account of itself in the answer to a question sent at `sent`.
    pub fn saw(&self, it: &Upstream, status: Status, sent: Micros, now: Micros) {
        it.answered(now);
        if it.has_forgotten(status, sent) {
            self.note_loss(it, status, now);
        }
        it.status.set(Some((sent, status)));
        it.stated.set(now);
        if status.role == Role::Replica {
            let mut lag = it.lag.get();
            lag.stated(status.lag * 1_000, now);
            it.lag.set(lag);
        }
        if status.term > self.term.get() {
            self.begin(status.term, now);
        }
        it.recover(|recovery| recovery.heard(self.term.get()));
        let leads = self.weigh(it, status, sent, now);
        match self.primary.get() {
            _ if leads => self.found_primary(it.index, now),
            Some(at) if at == it.index => self.lose_primary(now),
            _ => {}
        }
        if leads {
            self.fresh.borrow_mut().observe(status.term, status.received, sent);
        }
        let led = self.leader.get() == Some((status.term, it.index));
        let receives = status.role == Role::Replica && status.paused.is_none() && !led;
        if (receives && self.counts(it, status.term)) || self.is_alone() {
            self.fresh.borrow_mut().confirm(it.index, status.term, sent);
            self.gate.borrow_mut().observe(it.index, status.term, status.received);
        }
        self.changed.notify_waiters();
    }

    /// A server's log is shorter than it was in the same term, or than a replica's of its own: it holds nothing of before,
    /// whatever the directory says.
    fn note_loss(&self, it: &Upstream, status: Status, now: Micros) {
        let id = it.entry().id.clone();
        let (group, term) = (self.name.as_str(), status.term.0);
        log::warn!(group, server = id.as_str(), term, position = status.received.lsn.0; "has lost its log");
        self.forget(it, now);
        it.recovery.set(Some(Recovery::new(now, micros(CHANGE_MOST))));
    }

    /// Whether a server is the primary of the newest term: by its own word, unless its log lacks what a replica has.
    fn weigh(&self, it: &Upstream, status: Status, sent: Micros, now: Micros) -> bool {
        if status.term != self.term.get() {
            return false;
        }
        let (leads, at) = (status.role == Role::Primary, status.received);
        let mut claim = self.claim.get();
        let before = claim.verdict();
        match status.role {
            Role::Primary => claim.shows(it.index, at.lsn, sent),
            // What it received in earlier terms may have to be dropped.
            Role::Replica if at.term == status.term => claim.received(at.lsn, now),
            Role::Replica => {}
        }
        self.claim.set(claim);
        for known in self.servers.borrow().iter() {
            known.recover(|recovery| match status.role {
                Role::Primary => recovery.led(at, sent),
                Role::Replica => recovery.received(at),
            });
        }
        match claim.verdict() {
            Verdict::Holds => return leads,
            Verdict::Open => self.ask_again(now),
            Verdict::Lacks if before != Verdict::Lacks => self.note_loss(it, status, now),
            Verdict::Lacks => {}
        }
        leads && claim.verdict() == Verdict::Open
    }

    /// Asks the primary again, as a replica has more than it showed.
    fn ask_again(&self, now: Micros) {
        if let Some(it) = self.primary() {
            it.ask_after(now);
        }
    }

    /// Whether nothing speaks against the primary.
    fn is_clear(&self) -> bool {
        self.claim.get().verdict() == Verdict::Holds
    }

    /// Whether a replica's word counts in a term.
    pub fn counts(&self, it: &Upstream, term: Term) -> bool {
        let Some(recovery) = it.recovery.get() else { return true };
        let leads = |index| self.leader.get() == Some((term, index)) || self.primary.get() == Some(index);
        let servers = self.servers();
        let others = servers.iter().filter(|other| other.index != it.index && !leads(other.index));
        let witness = |other: &Rc<Upstream>| {
            let (asked, status) = other.status()?;
            let receives = status.role == Role::Replica && status.paused.is_none();
            Some(Witness { asked, term: status.term, receives })
        };
        recovery.counts(term, others.map(witness))
    }

    /// A replica that came back with nothing, where what was acknowledged with its word may be held by the primary alone.
    pub fn hollow(&self) -> Option<Name> {
        let servers = self.servers.borrow();
        let led = self.leader.get().map(|it| servers[it.1].entry().id.clone());
        let hollow = |it: &Upstream| !it.is_gone() && it.recovery.get().is_some_and(|it| !it.is_whole());
        let it = servers.iter().find(|it| hollow(it) && Some(&it.entry().id) != led.as_ref())?;
        Some(it.entry().id.clone())
    }

    /// The primary showed a position after a statement sent at `sent`.
    pub fn moved(&self, it: &Upstream, at: Mark, sent: Micros) {
        if self.primary.get() == Some(it.index) {
            self.fresh.borrow_mut().observe(self.term.get(), at, sent);
        }
    }

    /// A server says that it isn't the primary.
    pub fn denied(&self, it: &Upstream, now: Micros) {
        if self.primary.get() == Some(it.index) {
            self.lose_primary(now);
            self.ask_all(now);
        }
    }

    fn begin(&self, term: Term, now: Micros) {
        self.term.set(term);
        self.fresh.borrow_mut().begin(term);
        self.gate.borrow_mut().begin(term);
        self.claim.take();
        self.lose_primary(now);
    }

    fn found_primary(&self, index: usize, now: Micros) {
        self.leader.set(Some((self.term.get(), index)));
        if self.primary.replace(Some(index)) == Some(index) {
            return;
        }
        let gap = self.absent.take().map_or(0, |at| now.saturating_sub(at));
        let id = self.servers.borrow()[index].entry().id.clone();
        log::info!(group = self.name.as_str(), server = id.as_str(), term = self.term.get().0, absent_ms = gap / 1_000; "primary found");
    }

    fn lose_primary(&self, now: Micros) {
        self.primary.set(None);
        self.absent.set(self.absent.get().or(Some(now)));
    }

    fn is_alone(&self) -> bool {
        self.servers.borrow().iter().filter(|it| !it.is_gone()).count() == 1
    }

    /// Asks every server for its account of itself that wasn't asked at `since` or later.
    pub fn ask_all(&self, since: Micros) {
        for it in self.servers() {
            it.ask_after(since);
        }
    }

    /// Asks the replica that is likely to answer first, unless it owes an answer to a question since then.
    fn ask_replica(&self, inst: &Instance, since: Micros) {
        let now = inst.now();
        let servers = self.servers();
        let replicas = servers.iter().filter(|it| self.primary.get() != Some(it.index) || servers.len() == 1);
        let quiet = |it: &Upstream| {
            let paused = it.status.get().is_some_and(|it| it.1.paused.is_some());
            it.silent.get().is_some() || paused || !self.counts(it, self.term.get())
        };
        let best =
            replicas.min_by_key(|it| (quiet(it), it.avoid.get() > now, self.offer(inst, it, now).cost()));
        if let Some(it) = best {
            it.ask_after(since);
        }
    }

    fn offer(&self, inst: &Instance, it: &Upstream, now: Micros) -> Offer {
        Offer {
            expected: it.pace.get().expected(now),
            load: it.turns.load(),
            far: it.entry().zone != inst.settings.zone,
            primary: self.primary.get() == Some(it.index),
        }
    }

    /// Chooses a server for a read whose position was reached by the primary at `since`.
    ///
    /// Replicas that are unlikely to hold the position are left out, and servers in `tried` come last.
    pub fn choose(&self, inst: &Instance, since: Micros, tried: &[usize]) -> Option<Rc<Upstream>> {
        let now = inst.now();
        let age = now.saturating_sub(since) as f64;
        let caught_up = |it: &Upstream| {
            self.primary.get() == Some(it.index) || age >= it.lag.get().get(now) as f64 * LAG_FACTOR
        };
        let servers = self.servers();
        let usable = |it: &&Rc<Upstream>| caught_up(it) && it.silent.get().is_none() && it.takes_work(inst);
        servers
            .iter()
            .filter(usable)
            .min_by_key(|it| {
                let again = tried.iter().filter(|n| **n == it.index).count();
                let rest = (it.avoid.get() > now, !it.pool.is_free() || !it.turns.is_free());
                (it.entry().draining, again, rest, self.offer(inst, it, now).cost())
            })
            .cloned()
    }

    /// The position that holds everything acknowledged longer ago than `age`, and since when it is known
    /// to. Evidence is renewed if it is getting old; none if that fails before the end.
    pub async fn needed(&self, inst: &Instance, age: Duration, end: Instant) -> Option<(Micros, Mark)> {
        let age = micros(age);
        loop {
            let changed = self.changed.notified();
            let now = inst.now();
            let needed = self.fresh.borrow().needed(now.saturating_sub(age)).filter(|_| self.is_clear());
            self.renew(inst, now, age, needed.is_some());
            if needed.is_some() {
                return needed;
            }
            if Instant::now() >= end {
                return None;
            }
            // What is not answered is asked again by `renew`.
            let _ = timeout(ASK_OTHERS, changed).await;
        }
    }

    /// Has evidence that is getting too old for `age`, or is not `enough`, renewed.
    fn renew(&self, inst: &Instance, now: Micros, age: Micros, enough: bool) {
        let limit = now.saturating_sub(age * EVIDENCE_PERCENT / 100);
        let (observed, confirmed) = {
            let it = self.fresh.borrow();
            (it.observed_at().unwrap_or_default(), it.confirmed_at().unwrap_or_default())
        };
        match self.primary() {
            Some(it) if observed < limit || observed == 0 => it.ask_after(limit),
            Some(_) => {}
            None => self.ask_all(now.saturating_sub(micros(PRIMARY_PAUSE))),
        }
        // A confirmation counts for what was observed before it.
        if confirmed < limit || (!enough && confirmed <= observed) {
            self.ask_replica(inst, observed.max(limit));
        }
    }

    /// Waits until a replica confirms that the primary of `term` had not been replaced at `since`.
    pub async fn confirm(&self, inst: &Instance, term: Term, since: Micros, end: Instant) -> bool {
        let mut patience = ASK_OTHERS;
        self.ask_replica(inst, since);
        loop {
            let changed = self.changed.notified();
            if self.term.get() != term {
                return false;
            }
            if self.is_clear() && self.fresh.borrow().confirmed_at().is_some_and(|at| at >= since) {
                return true;
            }
            if Instant::now() >= end {
                return false;
            }
            if timeout(patience, changed).await.is_err() {
                self.ask_all(inst.now().saturating_sub(micros(patience)).max(since));
                patience = (patience * 2).min(ORDER_LIMIT);
            }
        }
    }

    /// Waits until a replica has received a commit of `term`. False when the term is over, or at the end.
    pub async fn replicated(&self, inst: &Instance, term: Term, at: Lsn, end: Instant) -> bool {
        let began = Instant::now();
        let mut pause = GATE_PAUSE;
        let mut sent = inst.now();
        loop {
            match began.elapsed() < ASK_OTHERS {
                true => self.ask_replica(inst, sent),
                false => self.ask_all(sent),
            }
            let answered = timeout(ASK_OTHERS, self.changed.notified()).await.is_ok();
            let (known, durable) = {
                let it = self.gate.borrow();
                (it.term(), it.durable())
            };
            match known == term && durable >= at {
                true if self.is_clear() => return true,
                _ if known > term || Instant::now() >= end => return false,
                _ if answered => sleep(pause).await,
                _ => {}
            }
            sent = inst.now().saturating_sub(micros(pause));
            pause = (pause * 2).min(GATE_PAUSE_MOST);
        }
    }

    /// Waits for a primary that answers.
    pub async fn wait_primary(&self, inst: &Instance, end: Instant) -> Option<Rc<Upstream>> {
        if self.primary().is_none() {
            self.ask_all(inst.now().saturating_sub(micros(PRIMARY_PAUSE)));
        }
        loop {
            let changed = self.changed.notified();
            let usable = |it: &Rc<Upstream>| it.silent().is_none() && it.takes_work(inst);
            if let Some(it) = self.primary().filter(usable) {
                return Some(it);
            }
            if Instant::now() >= end {
                return None;
            }
            if timeout(PRIMARY_PAUSE, changed).await.is_err() {
                self.ask_all(inst.now().saturating_sub(micros(PRIMARY_PAUSE)));
            }
        }
    }
}

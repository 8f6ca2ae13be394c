//! A group's servers, and what is known about them.
//!
//! Evidence is what a server showed in the answer to a question, as of the question's sending. A replica
//! that receives in a term confirms that the term's primary had not been replaced at that time: whoever
//! replaces it first stops all other replicas from receiving (see [`crate::takeover`]).

use {
    crate::{
        channel::{Relayed, RunError},
        count::Count,
        instance::{Instance, Micros, micros},
        model::{Order, Role, Server, Status},
        peer::{Ask, Peer, Told},
        pool::{Denied, Pool, Want},
        settings::{
            ASK_OTHERS, ASK_WAIT, DRAIN_USE, EVIDENCE_PERCENT, GATE_PAUSE, GATE_PAUSE_MOST, LAG_FACTOR,
            ORDER_LIMIT, PRIMARY_PAUSE, PROBE_PAUSE, RELAY_AFTER, RELAYS, UNFIT_PAUSE, UNREACHABLE_PAUSE,
        },
        turnstile::Turnstile,
    },
    pondtrack_core::{
        balance::{Lag, Offer, Pace},
        fresh::Freshness,
        gate::Gate,
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

/// A server of a group.
pub struct Upstream {
    /// Its place in the group's evidence.
    pub index: usize,
    /// Connections to it.
    pub pool: Rc<Pool>,
    /// Turns at it.
    pub turns: Rc<Turnstile>,
    entry: RefCell<Rc<Server>>,
    status: Cell<Option<(Micros, Status)>>,
    pace: Cell<Pace>,
    lag: Cell<Lag>,
    heard: Cell<Micros>,
    silent: Cell<Option<Micros>>,
    refused: Cell<Option<Micros>>,
    avoid: Cell<Micros>,
    /// Whether this instance has a share of its connections.
    home: Cell<bool>,
    /// Other instances to go through, the first one first.
    ranked: RefCell<Vec<Name>>,
    /// Whether it is reached over connections of this instance.
    direct: Cell<bool>,
    /// When that was last tried.
    probed: Cell<Micros>,
    /// Instances that couldn't reach it, and until when they are passed over.
    unfit: RefCell<Vec<(Name, Micros)>>,
    /// Since when it says that it leaves.
    draining: Cell<Option<Micros>>,
    missing: Cell<Option<Micros>>,
    gone: Cell<bool>,
    /// When it was last asked.
    asked: Cell<Micros>,
    /// When a question was sent over a connection of this instance that has no answer yet.
    sent: Cell<Option<Micros>>,
    nudge: Notify,
}

impl Upstream {
    /// Its entry in the directory.
    pub fn entry(&self) -> Rc<Server> {
        self.entry.borrow().clone()
    }

    /// What it last said about itself, and when it was asked.
    pub fn status(&self) -> Option<(Micros, Status)> {
        self.status.get()
    }

    /// When it last answered anything.
    pub fn heard(&self) -> Micros {
        self.heard.get()
    }

    /// Since when it owes an answer.
    pub fn silent(&self) -> Option<Micros> {
        self.silent.get()
    }

    /// Since when its address refuses connections.
    pub fn refused(&self) -> Option<Micros> {
        self.refused.get()
    }

    /// What is known of it, for a log line.
    pub fn account(&self, now: Micros) -> String {
        let role = self.status.get().map_or("unknown", |it| it.1.role.into());
        let took_ms = self.pace.get().expected(now) as u64 / 1_000;
        let lag_ms = self.lag.get().get() / 1_000;
        let reach = match (self.home.get(), self.direct.get()) {
            (true, true) => "direct",
            (true, false) => "lost",
            (false, _) => "relayed",
        };
        let id = self.entry().id.clone();
        format!("{id} {role} {reach} took_ms={took_ms} lag_ms={lag_ms} {}", self.turns.account())
    }

    /// Whether new work may go to it: not for long after it said that it leaves.
    pub fn takes_work(&self, now: Micros) -> bool {
        let limit = micros(DRAIN_USE);
        !self.is_gone() && self.draining.get().is_none_or(|at| now.saturating_sub(at) < limit)
    }

    /// Whether it has left the directory for good.
    pub fn is_gone(&self) -> bool {
        self.gone.get()
    }

    /// It answered.
    pub fn answered(&self, now: Micros) {
        self.heard.set(now);
        self.silent.set(None);
        self.refused.set(None);
    }

    /// It took this long for a statement.
    pub fn took(&self, took: Micros, now: Micros) {
        let mut it = self.pace.get();
        it.observe(took, now);
        self.pace.set(it);
    }

    /// A question sent at this time has no answer.
    pub fn unanswered(&self, sent: Micros) {
        if self.silent.get().is_none() && self.heard.get() <= sent {
            self.silent.set(Some(sent));
        }
    }

    /// It can't be reached over a connection of this instance.
    pub fn failed(&self, now: Micros, refused: bool) {
        if refused {
            self.refuse(now);
        } else if self.direct.replace(false) {
            log::info!(server = self.entry().id.as_str(); "not reached");
            self.pool.trim(Instant::now(), true);
        }
        self.unanswered(now);
        self.ask();
    }

    /// Nobody listens at its address, for other instances neither.
    fn refuse(&self, now: Micros) {
        self.refused.set(self.refused.get().or(Some(now)));
        self.avoid.set(now + micros(UNREACHABLE_PAUSE));
        self.unanswered(now);
    }

    /// A statement sent at `sent` has no answer.
    pub fn missed(&self, e: &RunError, via: Option<&Name>, sent: Micros, now: Micros) {
        match (e, via) {
            (RunError::Busy, _) => self.busy(now, UNREACHABLE_PAUSE / 10),
            (RunError::Gone, _) => self.failed(now, true),
            (RunError::NotSent { .. } | RunError::Broken { .. }, Some(peer)) => self.unfit(peer, now),
            (RunError::NotSent { .. }, None) => self.ask(),
            (RunError::Broken { .. } | RunError::Late, _) => {
                self.unanswered(sent);
                self.ask();
            }
        }
    }

    /// Whether this instance has a share of its connections, and reaches it.
    pub fn is_reachable(&self) -> bool {
        self.home.get() && self.direct.get()
    }

    /// Sets who has a share of its connections, in the order in which they are asked.
    pub fn place(&self, home: bool, ranked: Vec<Name>) {
        self.home.set(home);
        *self.ranked.borrow_mut() = ranked;
    }

    /// Another instance to go through.
    fn fit_peer(&self, inst: &Instance) -> Option<Rc<Peer>> {
        let now = inst.now();
        let unfit = self.unfit.borrow();
        let is_unfit = |name: &Name| unfit.iter().any(|it| it.0 == *name && it.1 > now);
        let ranked = self.ranked.borrow();
        let peers = ranked.iter().filter(|it| !is_unfit(it)).filter_map(|it| inst.peer(it));
        peers.filter(|it| it.is_usable(now)).next()
    }

    /// Another instance couldn't reach it.
    pub fn unfit(&self, peer: &Name, now: Micros) {
        let mut unfit = self.unfit.borrow_mut();
        unfit.retain(|it| it.1 > now && it.0 != *peer);
        unfit.push((peer.clone(), now + micros(UNFIT_PAUSE)));
    }

    /// A way through another instance.
    pub async fn relay(&self, inst: &Rc<Instance>, until: Instant) -> Option<Relayed> {
        for _ in 0..RELAYS {
            let peer = self.fit_peer(inst)?;
            if let Some(link) = peer.link(inst).await {
                let server = self.entry().id.clone();
                return Some(Relayed::new(peer.name.clone(), link, server, until));
            }
        }
        None
    }

    /// Tries, now and then, whether a server that others reach can be reached again.
    fn probe(&self, inst: &Rc<Instance>, group: &Group) {
        let now = inst.now();
        if !self.home.get() || now < self.probed.get() + micros(PROBE_PAUSE) {
            return;
        }
        self.probed.set(now);
        let (inst, index, group) = (inst.clone(), self.index, group.name.clone());
        tokio::task::spawn_local(async move {
            let Some(group) = inst.group(&group) else { return };
            let known = group.servers().into_iter().find(|it| it.index == index);
            if let Some(it) = known
                && give_direct(&inst, &group, &it, &Order::Status).await.is_some()
            {
                log::info!(server = it.entry().id.as_str(); "reached again");
            }
        });
    }

    /// It has too much to do: others are preferred for a moment.
    pub fn busy(&self, now: Micros, pause: Duration) {
        self.avoid.set(now + micros(pause));
    }

    /// A read showed that its log holds, or lacks, a position of this age.
    pub fn holds(&self, age: Micros, holds: bool) {
        let mut it = self.lag.get();
        if holds {
            it.reached(age)
        } else {
            it.lacked(age)
        }
        self.lag.set(it);
    }

    /// Asks it for its account of itself, soon.
    pub fn ask(&self) {
        self.nudge.notify_one();
    }

    /// The same, unless it was asked at `since` or later.
    pub fn ask_after(&self, since: Micros) {
        if self.asked.get() < since {
            self.ask();
        }
    }
}

/// A group of servers.
pub struct Group {
    /// Its name.
    pub name: Name,
    /// Woken when something about the group has changed.
    pub changed: Notify,
    servers: RefCell<Vec<Rc<Upstream>>>,
    term: Cell<Term>,
    primary: Cell<Option<usize>>,
    absent: Cell<Option<Micros>>,
    fresh: RefCell<Freshness>,
    gate: RefCell<Gate>,
    /// Since when commits wait without progress.
    stalled: Cell<Option<Micros>>,
    waiting: Cell<usize>,
}

impl Group {
    /// A group of which no server is known.
    pub fn new(name: Name) -> Group {
        Group {
            name,
            changed: Notify::new(),
            servers: RefCell::default(),
            term: Cell::default(),
            primary: Cell::default(),
            absent: Cell::default(),
            fresh: RefCell::new(Freshness::new(0, REPLICAS)),
            gate: RefCell::new(Gate::new(0, REPLICAS)),
            stalled: Cell::default(),
            waiting: Cell::default(),
        }
    }

    /// Its servers that have not left.
    pub fn servers(&self) -> Vec<Rc<Upstream>> {
        self.servers.borrow().iter().filter(|it| !it.is_gone()).cloned().collect()
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

    /// Since when no primary is known.
    pub fn absent(&self) -> Option<Micros> {
        self.absent.get()
    }

    /// Since when commits wait for a replica without progress.
    pub fn stalled(&self) -> Option<Micros> {
        self.stalled.get()
    }

    /// Takes a server's entry in; a new server gets a task that asks it.
    pub fn enter(self: &Rc<Self>, inst: &Rc<Instance>, server: Server) {
        let known = self.servers.borrow().iter().find(|it| it.entry().id == server.id).cloned();
        let Some(it) = known else { return self.add(inst, server) };
        let hint = server.role == Some(Role::Primary) && it.entry().role != server.role;
        it.missing.set(None);
        if it.gone.replace(false) {
            // Its task has ended.
            tokio::task::spawn_local(ask_forever(inst.clone(), self.clone(), it.clone()));
        }
        it.draining.set(server.draining.then(|| it.draining.get().unwrap_or(inst.now())));
        *it.entry.borrow_mut() = Rc::new(server);
        if hint {
            it.ask();
        }
        self.changed.notify_waiters();
    }

    /// A server's entry was removed; it counts as gone if it stays away.
    pub fn leave(&self, id: &Name, now: Micros) {
        let servers = self.servers.borrow();
        if let Some(it) = servers.iter().find(|it| it.entry().id == *id) {
            it.missing.set(it.missing.get().or(Some(now)));
        }
    }

    /// Servers whose entries have been missing since before `limit` are gone. Hands their ids back.
    pub fn expire(&self, limit: Micros) -> Vec<Name> {
        let mut gone = Vec::new();
        for it in self.servers().iter().filter(|it| it.missing.get().is_some_and(|at| at < limit)) {
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

    fn add(self: &Rc<Self>, inst: &Rc<Instance>, server: Server) {
        let index = self.servers.borrow().len();
        let draining = server.draining.then(|| inst.now());
        let it = Rc::new(Upstream {
            index,
            pool: Rc::default(),
            turns: Turnstile::new(inst.clock),
            entry: RefCell::new(Rc::new(server)),
            status: Cell::default(),
            pace: Cell::default(),
            lag: Cell::default(),
            heard: Cell::new(inst.now()),
            silent: Cell::default(),
            refused: Cell::default(),
            avoid: Cell::default(),
            home: Cell::new(true),
            ranked: RefCell::default(),
            direct: Cell::new(true),
            probed: Cell::default(),
            unfit: RefCell::default(),
            draining: Cell::new(draining),
            missing: Cell::default(),
            gone: Cell::default(),
            asked: Cell::default(),
            sent: Cell::default(),
            nudge: Notify::new(),
        });
        self.servers.borrow_mut().push(it.clone());
        self.fresh.borrow_mut().grow(index + 1);
        self.gate.borrow_mut().grow(index + 1);
        it.ask();
        tokio::task::spawn_local(ask_forever(inst.clone(), self.clone(), it));
    }

    /// A server gave its account of itself in the answer to a question sent at `sent`.
    pub fn saw(&self, it: &Upstream, status: Status, sent: Micros, now: Micros) {
        it.answered(now);
        it.status.set(Some((sent, status)));
        if status.role == Role::Replica {
            let mut lag = it.lag.get();
            lag.stated(status.lag * 1_000);
            it.lag.set(lag);
        }
        if status.term > self.term.get() {
            self.begin(status.term, now);
        }
        let leads = status.role == Role::Primary && status.term == self.term.get();
        match self.primary.get() {
            _ if leads => self.found_primary(it.index, now),
            Some(at) if at == it.index => self.lose_primary(now),
            _ => {}
        }
        if leads {
            self.fresh.borrow_mut().observe(status.term, status.received, sent);
        }
        let receives = status.role == Role::Replica && status.paused.is_none();
        if receives || self.is_alone() {
            self.fresh.borrow_mut().confirm(it.index, status.term, sent);
            let before = self.gate.borrow().durable();
            self.gate.borrow_mut().observe(it.index, status.term, status.received);
            if self.gate.borrow().durable() > before {
                self.stalled.set((self.waiting.get() > 0).then_some(now));
            }
        }
        self.changed.notify_waiters();
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
        self.stalled.set(None);
        self.lose_primary(now);
    }

    fn found_primary(&self, index: usize, now: Micros) {
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
            it.silent.get().is_some() || it.status.get().is_some_and(|it| it.1.paused.is_some())
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
            self.primary.get() == Some(it.index) || age >= it.lag.get().get() as f64 * LAG_FACTOR
        };
        let servers = self.servers();
        let usable = |it: &&Rc<Upstream>| caught_up(it) && it.silent.get().is_none() && it.takes_work(now);
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
            let needed = self.fresh.borrow().needed(now.saturating_sub(age));
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
            if self.fresh.borrow().confirmed_at().is_some_and(|at| at >= since) {
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
        if self.waiting.replace(self.waiting.get() + 1) == 0 {
            self.stalled.set(Some(inst.now()));
        }
        let done = self.wait_replicated(inst, term, at, end).await;
        self.waiting.set(self.waiting.get() - 1);
        if self.waiting.get() == 0 {
            self.stalled.set(None);
        }
        done
    }

    async fn wait_replicated(&self, inst: &Instance, term: Term, at: Lsn, end: Instant) -> bool {
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
                true => return true,
                false if known > term || Instant::now() >= end => return false,
                false if answered => sleep(pause).await,
                false => {}
            }
            sent = inst.now().saturating_sub(micros(pause));
            pause = (pause * 2).min(GATE_PAUSE_MOST);
        }
    }

    /// Waits for a primary that answers.
    pub async fn wait_primary(&self, inst: &Instance, end: Instant) -> Option<Rc<Upstream>> {
        loop {
            let changed = self.changed.notified();
            let usable = |it: &Rc<Upstream>| it.silent().is_none() && it.takes_work(inst.now());
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

/// Asks a server whenever it is wanted; questions that come while one is out share the next.
async fn ask_forever(inst: Rc<Instance>, group: Rc<Group>, it: Rc<Upstream>) {
    loop {
        it.nudge.notified().await;
        if it.is_gone() {
            it.pool.trim(Instant::now(), true);
            return;
        }
        let asked = give(&inst, &group, &it, &Order::Status).await;
        if asked.is_none() {
            // So that a server that can't be reached isn't asked without end.
            sleep(PRIMARY_PAUSE).await;
        }
    }
}

/// Gives a server an order that it answers with its account of itself: over a connection of this instance,
/// through another instance, or both.
pub async fn give(inst: &Rc<Instance>, group: &Group, it: &Upstream, order: &Order) -> Option<Status> {
    if !it.is_reachable() {
        it.probe(inst, group);
        return give_through(inst, group, it, order).await;
    }
    // Whoever gave up on an earlier question didn't take this away.
    it.sent.set(None);
    let direct = give_direct(inst, group, it, order);
    tokio::pin!(direct);
    if let Ok(answer) = timeout(RELAY_AFTER, &mut direct).await {
        return match answer {
            Some(it) => Some(it),
            None if it.refused().is_some() => None,
            None => give_through(inst, group, it, order).await,
        };
    }
    tokio::select! {
        biased;
        Some(status) = &mut direct => Some(status),
        Some(status) = give_through(inst, group, it, order) => {
            // A question that still waits here for a connection shows nothing.
            if it.sent.get().is_some_and(|at| inst.now() - at >= micros(RELAY_AFTER)) {
                log::info!(server = it.entry().id.as_str(); "reached through other instances only");
                it.direct.set(false);
            }
            Some(status)
        }
        else => None,
    }
}

/// The same through another instance.
async fn give_through(inst: &Rc<Instance>, group: &Group, it: &Upstream, order: &Order) -> Option<Status> {
    let began = inst.now();
    for _ in 0..RELAYS {
        let Some(peer) = it.fit_peer(inst) else { break };
        let sent = inst.now();
        it.asked.set(sent);
        let ask = Ask::Order { server: it.entry().id.clone(), order: order.clone() };
        match timeout(ORDER_LIMIT, peer.ask(inst, ask)).await {
            Ok(Told::Status(Some(status))) => {
                group.saw(it, status, sent, inst.now());
                return Some(status);
            }
            Ok(Told::Gone) => {
                it.refuse(inst.now());
                return None;
            }
            _ => it.unfit(&peer.name, inst.now()),
        }
    }
    it.unanswered(began);
    None
}

/// The same over a connection of this instance.
pub async fn give_direct(inst: &Instance, group: &Group, it: &Upstream, order: &Order) -> Option<Status> {
    let want = Want { priority: 0, until: Instant::now() + ASK_WAIT, values: None };
    let server = it.entry();
    let mut lease = match it.pool.lend(inst, &server, want).await {
        Ok(lease) => lease,
        Err(Denied::Busy | Denied::Full) => return None,
        Err(Denied::Unreachable(e)) => {
            log::debug!(server = server.id.as_str(); "{e}");
            it.failed(inst.now(), e.is_refusal());
            return None;
        }
    };
    let sent = inst.now();
    inst.counters.one(Count::Orders);
    let dialect = inst.edge.dialect.as_ref();
    it.asked.set(sent);
    it.sent.set(Some(sent));
    let answer = timeout(ORDER_LIMIT, lease.conn()?.order(dialect, order)).await;
    it.sent.set(None);
    let answer = match answer {
        Ok(Ok(it)) => it,
        Ok(Err(e)) => {
            log::debug!(server = server.id.as_str(); "{e}");
            it.unanswered(sent);
            return None;
        }
        Err(_) => {
            it.failed(sent, false);
            return None;
        }
    };
    lease.give_back();
    it.direct.set(true);
    it.answered(inst.now());
    let status = dialect.status(&answer)?;
    group.saw(it, status, sent, inst.now());
    Some(status)
}

//! A server of a group, as this instance sees it.

use {
    crate::{
        channel::{Relayed, RunError},
        group::Group,
        instance::{Clock, Instance, Micros, micros},
        model::{Answer, ErrorCode, Order, Server, Status},
        order::send_direct,
        organisation::Owner,
        peer::Peer,
        pool::Pool,
        settings::{
            BUSY_PEER_BACKOFF, DRAIN_MARGIN, FALLBACK_INSTANCES, MAX_RELAYS, RECONNECT_INTERVAL,
            RELAY_FAILED_BACKOFF, STALL_FACTOR, STALL_TIMEOUT, UNREACHABLE_BACKOFF,
        },
        turnstile::Turnstile,
    },
    pondtrack_core::{
        balance::{Average, LagEstimate, LatencyEstimate},
        recovery::Recovery,
    },
    pondtrack_proto::Name,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{sync::Notify, time::Instant},
};

/// After a server said that it is busy, others are preferred for this long.
const BUSY_PAUSE: Duration = Duration::from_millis(15);

/// An instance that couldn't run something at a server.
pub(crate) struct Unfit {
    name: Name,
    until: Micros,
    /// Whether it has only too much to do.
    full: bool,
}

/// A statement that was answered.
#[derive(Clone, Copy, Debug)]
pub struct Exchange {
    /// When it was sent.
    pub sent: Micros,
    /// It was slow if it took longer than this.
    pub slow: Micros,
    /// Whether it went over a connection of this instance.
    pub direct: bool,
}

/// A server of a group.
pub struct Upstream {
    /// Its place in the group's evidence.
    pub index: usize,
    /// Connections to it.
    pub pool: Rc<Pool>,
    /// Turns at it of this instance's statements.
    pub turns: Rc<Turnstile>,
    /// Turns of all instances' statements, where this one hands them out.
    pub shared: Rc<Turnstile>,
    /// Since when it has more to do than this instance can hold back alone.
    pub(crate) crowded: Cell<Option<Micros>>,
    /// The instance that then hands out turns; none if it is this one.
    pub(crate) dispatcher: RefCell<Option<Name>>,
    /// Until when this instance orders its statements alone, as that one can't be asked.
    pub(crate) alone: Cell<Micros>,
    /// How long statements take there without a queue.
    pub(crate) base: Cell<Average>,
    pub(crate) entry: RefCell<Rc<Server>>,
    pub(crate) status: Cell<Option<(Micros, Status)>>,
    /// When that came.
    pub(crate) stated: Cell<Micros>,
    /// When it was known to have come back with nothing: what others were told before doesn't count.
    pub(crate) returned: Cell<Micros>,
    /// What it counts for after it came back with nothing.
    pub(crate) recovery: Cell<Option<Recovery>>,
    pub(crate) pace: Cell<LatencyEstimate>,
    pub(crate) lag: Cell<LagEstimate>,
    pub(crate) heard: Cell<Micros>,
    pub(crate) silent: Cell<Option<Micros>>,
    pub(crate) refused: Cell<Option<Micros>>,
    pub(crate) avoid: Cell<Micros>,
    /// As of which change of placement the next three are known.
    pub(crate) placement: Cell<u64>,
    /// Whether this instance has a share of its connections.
    pub(crate) home: Cell<bool>,
    /// Other instances to go through, the first one first: its homes, and then those that stand in for them.
    pub(crate) ranked: RefCell<Vec<Name>>,
    /// How many of these are homes.
    pub(crate) homes: Cell<usize>,
    /// Whether it is reached over connections of this instance.
    pub(crate) direct: Cell<bool>,
    /// When that was last tried.
    pub(crate) probed: Cell<Micros>,
    /// Instances that are passed over for a while.
    pub(crate) unfit: RefCell<Vec<Unfit>>,
    /// Since when it says that it leaves.
    pub(crate) draining: Cell<Option<Micros>>,
    pub(crate) missing: Cell<Option<Micros>>,
    pub(crate) gone: Cell<bool>,
    /// Whether a later run of its process is known: this one never comes back.
    pub(crate) superseded: Cell<bool>,
    /// Whether its account of itself was ever wanted.
    pub(crate) wanted: Cell<bool>,
    /// An account of itself is wanted that was asked for at this time or later.
    pub(crate) since: Cell<Micros>,
    /// When it was last asked.
    pub(crate) asked: Cell<Micros>,
    /// When a question was sent over a connection of this instance that has no answer yet.
    pub(crate) sent: Cell<Option<Micros>>,
    pub(crate) nudge: Notify,
}

impl Upstream {
    /// A server of which only its entry is known.
    pub fn new(index: usize, server: Server, clock: Clock) -> Upstream {
        let now = clock.now();
        let draining = server.draining.then_some(now);
        Upstream {
            index,
            pool: Rc::default(),
            turns: Turnstile::new(clock),
            shared: Turnstile::new(clock),
            crowded: Cell::default(),
            dispatcher: RefCell::default(),
            alone: Cell::default(),
            base: Cell::default(),
            entry: RefCell::new(Rc::new(server)),
            status: Cell::default(),
            stated: Cell::default(),
            returned: Cell::default(),
            recovery: Cell::default(),
            pace: Cell::default(),
            lag: Cell::default(),
            heard: Cell::new(now),
            silent: Cell::default(),
            refused: Cell::default(),
            avoid: Cell::default(),
            placement: Cell::default(),
            home: Cell::new(true),
            ranked: RefCell::default(),
            homes: Cell::default(),
            direct: Cell::new(true),
            probed: Cell::default(),
            unfit: RefCell::default(),
            draining: Cell::new(draining),
            missing: Cell::default(),
            gone: Cell::default(),
            superseded: Cell::default(),
            wanted: Cell::default(),
            since: Cell::default(),
            asked: Cell::default(),
            sent: Cell::default(),
            nudge: Notify::new(),
        }
    }

    /// Its entry in the directory.
    pub fn entry(&self) -> Rc<Server> {
        self.entry.borrow().clone()
    }

    /// What it last said about itself, and when it was asked.
    pub fn status(&self) -> Option<(Micros, Status)> {
        self.status.get()
    }

    /// Whether an answer to a question sent at `sent` shows a shorter log than one that had come before, in the same term.
    pub(crate) fn has_forgotten(&self, status: Status, sent: Micros) -> bool {
        let Some((_, old)) = self.status.get() else { return false };
        let later = sent >= self.stated.get();
        later && status.term == old.term && status.received.lsn < old.received.lsn
    }

    /// Whether an account that was asked for at `sent` or later, and went through other instances, adds to what is known. One
    /// that shows less than was known may have been asked for before that, unless it is certain to be later.
    pub(crate) fn is_news(&self, status: Status, sent: Micros) -> bool {
        let later = self.status.get().is_none_or(|it| sent > it.0);
        later && !self.is_overtaken(status, sent)
    }

    /// Whether an answer to a question sent at `sent` shows less than what came meanwhile: it may be from before that, or show
    /// a loss.
    pub(crate) fn is_overtaken(&self, status: Status, sent: Micros) -> bool {
        let shown = |it: Status| (it.term, it.received.lsn);
        let less = self.status.get().is_some_and(|it| shown(status) < shown(it.1));
        sent < self.returned.get() || less && sent < self.stated.get()
    }

    /// Notes something about its recovery, if it came back with nothing.
    pub(crate) fn recover(&self, note: impl FnOnce(&mut Recovery)) {
        if let Some(mut it) = self.recovery.get() {
            note(&mut it);
            self.recovery.set(Some(it));
        }
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
        let took_ms = self.pace.get().get(now) as u64 / 1_000;
        let lag_ms = self.lag.get().get(now) / 1_000;
        let reach = match (self.home.get(), self.direct.get()) {
            (true, true) => "direct",
            (true, false) => "lost",
            (false, _) => "relayed",
        };
        let id = self.entry().id.clone();
        let (pool, turns) = (self.pool.account(), self.turns.account());
        let crowded = self.crowded.get().is_some();
        format!("{id} {role} {reach} took_ms={took_ms} lag_ms={lag_ms} {pool} {turns} crowded={crowded}")
    }

    /// Whether new work may go to it: not for long after it said that it leaves.
    pub fn takes_work(&self, inst: &Instance) -> bool {
        let limit = micros(inst.bounds.get().drain.saturating_sub(DRAIN_MARGIN));
        !self.is_gone() && self.draining.get().is_none_or(|at| inst.now().saturating_sub(at) < limit)
    }

    /// Whether its entry has been missing for so long, or it has left as it had said, that it counts as gone.
    pub(crate) fn is_missed(&self, limit: Micros) -> bool {
        let left =
            self.draining.get().is_some() && (self.silent.get().is_some() || self.refused.get().is_some());
        self.missing.get().is_some_and(|at| at < limit || left)
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

    /// Draws conclusions from the answer to a statement.
    pub fn judge(&self, inst: &Instance, group: &Group, answer: &Answer, run: Exchange) {
        let now = inst.now();
        let took = now.saturating_sub(run.sent);
        self.answered(now);
        match answer.error_code() {
            None => {
                self.took(took, now);
                self.note_base(run, took);
                self.learn(run, took <= run.slow);
                if let Some(at) = answer.mark {
                    group.moved(self, at, run.sent);
                }
            }
            Some(ErrorCode::Busy) => {
                self.busy(now, BUSY_PAUSE);
                self.learn(run, false);
            }
            Some(ErrorCode::Lagging) => self.busy(now, BUSY_PAUSE),
            Some(ErrorCode::ReadOnly) => group.denied(self, now),
            Some(_) => {}
        }
    }

    /// Turns are those of statements over connections of this instance.
    fn learn(&self, run: Exchange, quick: bool) {
        // Those of a crowded server are learned from where they are handed out.
        if run.direct && !self.is_crowded(run.sent) {
            self.turns.learn(quick);
        }
    }

    /// It has more to do than single instances can hold back. False if that was known.
    pub fn crowd(&self, now: Micros) -> bool {
        let new = self.crowded.get().is_none();
        if new {
            self.crowded.set(Some(now));
            log::info!(server = self.entry().id.as_str(); "crowded: turns come from one instance");
        }
        new
    }

    /// The instance that hands out turns for all can't be asked: this one orders its statements alone for a while.
    pub(crate) fn order_alone(&self, now: Micros) {
        self.alone.set(now + micros(RELAY_FAILED_BACKOFF));
    }

    /// Whether turns at it come from one instance for all.
    fn is_crowded(&self, now: Micros) -> bool {
        self.crowded.get().is_some() && self.alone.get() <= now
    }

    /// Whether it has a queue, as far as this instance knows.
    pub fn is_queued(&self) -> bool {
        self.crowded.get().is_some() || self.turns.is_shrunk()
    }

    /// Learns how long statements take without a queue.
    fn note_base(&self, run: Exchange, took: Micros) {
        if run.direct && (!self.is_queued() || !self.base.get().is_settled()) {
            let mut it = self.base.get();
            it.observe(took);
            self.base.set(it);
        }
    }

    /// It took this long for a statement.
    pub fn took(&self, took: Micros, now: Micros) {
        let mut it = self.pace.get();
        it.observe(took, now);
        self.pace.set(it);
    }

    /// How long a statement may take until its connection is doubted.
    pub fn overdue(&self, now: Micros) -> Duration {
        let expected = Duration::from_micros(self.pace.get().get(now) as Micros);
        STALL_TIMEOUT.max(expected * STALL_FACTOR)
    }

    /// A question sent at this time has no answer.
    pub fn unanswered(&self, sent: Micros) {
        if self.silent.get().is_none() && self.heard.get() <= sent {
            self.silent.set(Some(sent));
        }
    }

    /// It can't be reached over a connection of this instance.
    pub fn failed(&self, now: Micros, refused: bool) {
        match refused {
            true => self.refuse(now),
            false => self.lose("not reached"),
        }
        self.unanswered(now);
        self.ask();
    }

    /// Connections of this instance don't reach it: those that are idle are as useless.
    pub(crate) fn lose(&self, what: &str) {
        self.pool.trim(Instant::now(), true);
        if self.direct.replace(false) {
            log::info!(server = self.entry().id.as_str(); "{what}");
        }
    }

    /// Nobody listens at its address, for other instances neither.
    pub(crate) fn refuse(&self, now: Micros) {
        self.refused.set(self.refused.get().or(Some(now)));
        self.avoid.set(now + micros(UNREACHABLE_BACKOFF));
        self.unanswered(now);
    }

    /// A statement sent at `sent` has no answer.
    pub fn missed(&self, e: &RunError, via: Option<&Name>, sent: Micros, now: Micros) {
        match (e, via) {
            (RunError::Refused, _) => {}
            (RunError::Busy, Some(peer)) => self.unfit(peer, now, true),
            (RunError::Busy, None) => self.busy(now, UNREACHABLE_BACKOFF / 10),
            (RunError::Gone, _) => self.failed(now, true),
            (RunError::NotSent { .. } | RunError::Broken { .. }, Some(peer)) => self.unfit(peer, now, false),
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

    /// Whether this instance has a share of its connections, and doesn't reach it.
    pub fn is_lost(&self) -> bool {
        self.home.get() && !self.direct.get()
    }

    /// Sets whether this instance has a share of its connections, and the others in the order in which they are
    /// asked: those that have one, and then the rest.
    pub fn place(&self, home: bool, ranked: Vec<Name>, homes: usize) {
        self.home.set(home);
        self.homes.set(homes);
        *self.ranked.borrow_mut() = ranked;
    }

    /// The other instance that hands out turns where it has too much to do; none if it is this one.
    pub fn dispatcher(&self) -> Option<Name> {
        self.dispatcher.borrow().clone()
    }

    /// Sets which other instance hands out turns where it has too much to do.
    pub fn set_dispatcher(&self, name: Option<Name>) {
        *self.dispatcher.borrow_mut() = name;
    }

    /// Another instance to go through: one that has a share of its connections, or a substitute where none of
    /// these can be reached. One that has only too much to do isn't replaced. All instances go to the same one for
    /// an organisation, so that its connections are used again instead of being replaced by another's.
    pub(crate) fn fit_peer(&self, inst: &Instance, owner: &Owner) -> Option<Rc<Peer>> {
        self.fit_peer_but(inst, owner, &[])
    }

    /// The same, but none of some that were asked already.
    pub(crate) fn fit_peer_but(&self, inst: &Instance, owner: &Owner, asked: &[Name]) -> Option<Rc<Peer>> {
        inst.update_placement(self);
        let now = inst.now();
        let (unfit, homes) = (self.unfit.borrow(), self.homes.get());
        let mut ranked: Vec<Name> =
            self.ranked.borrow().iter().take(homes + FALLBACK_INSTANCES).cloned().collect();
        if let Owner::Organisation(owner) = owner {
            let n = homes.min(ranked.len());
            inst.sort_by_placement(owner, &mut ranked[..n]);
        }
        let mut full = false;
        for (at, name) in ranked.iter().enumerate() {
            match unfit.iter().find(|it| it.name == *name && it.until > now) {
                Some(it) => full |= it.full,
                None if at >= homes && full => return None,
                None if asked.contains(name) => {}
                None => {
                    let found = inst.peer(name).filter(|it| it.is_available(now));
                    if found.is_some() {
                        return found;
                    }
                }
            }
        }
        None
    }

    /// Whether another instance is a home of it.
    pub(crate) fn is_home(&self, peer: &Name) -> bool {
        self.ranked.borrow().iter().take(self.homes.get()).any(|it| it == peer)
    }

    /// Another instance couldn't do it, or has too much to do, and is passed over for a while.
    pub fn unfit(&self, peer: &Name, now: Micros, full: bool) {
        let pause = if full { BUSY_PEER_BACKOFF } else { RELAY_FAILED_BACKOFF };
        let mut unfit = self.unfit.borrow_mut();
        unfit.retain(|it| it.until > now && it.name != *peer);
        unfit.push(Unfit { name: peer.clone(), until: now + micros(pause), full });
    }

    /// A way through another instance, for an owner's statements.
    pub async fn relay(&self, inst: &Rc<Instance>, owner: &Owner, until: Instant) -> Option<Relayed> {
        for _ in 0..MAX_RELAYS {
            let peer = self.fit_peer(inst, owner)?;
            if let Some(link) = peer.link(inst).await {
                let server = self.entry().as_ref().into();
                return Some(Relayed::new(peer.name.clone(), link, server, owner.clone(), until));
            }
        }
        None
    }

    /// Tries, now and then, whether a server that others reach can be reached again.
    pub(crate) fn probe(&self, inst: &Rc<Instance>, group: &Group) {
        let now = inst.now();
        if !self.home.get() || now < self.probed.get() + micros(RECONNECT_INTERVAL) {
            return;
        }
        self.probed.set(now);
        let (inst, index, group) = (inst.clone(), self.index, group.name.clone());
        tokio::task::spawn_local(async move {
            let Some(group) = inst.group(&group) else { return };
            let known = group.servers().into_iter().find(|it| it.index == index);
            if let Some(it) = known
                && send_direct(&inst, &group, &it, &Order::Status).await.is_some()
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
    pub fn holds(&self, age: Micros, holds: bool, now: Micros) {
        let mut it = self.lag.get();
        match holds {
            true => it.observe_reached(age, now),
            false => it.observe_missing(age, now),
        }
        self.lag.set(it);
    }

    /// Asks it for its account of itself, soon.
    pub fn ask(&self) {
        self.ask_since(Micros::MAX);
    }

    fn ask_since(&self, since: Micros) {
        self.wanted.set(true);
        self.since.set(self.since.get().max(since));
        self.nudge.notify_one();
    }

    /// The same, unless it was asked at `since` or later.
    pub fn ask_after(&self, since: Micros) {
        if self.asked.get() < since {
            self.ask_since(since);
        }
    }
}

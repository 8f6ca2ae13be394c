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
        permit_queue::PermitQueue,
        pool::Pool,
        settings::{
            BUSY_PEER_BACKOFF, DRAIN_MARGIN, FALLBACK_INSTANCES, MAX_RELAYS, RECONNECT_INTERVAL,
            RELAY_FAILED_BACKOFF, STALL_FACTOR, STALL_TIMEOUT, UNREACHABLE_BACKOFF,
        },
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
pub(crate) struct PeerBackoff {
    name: Name,
    until: Micros,
    /// Whether it has only too much to do.
    overloaded: bool,
}

/// A statement that was answered.
#[derive(Clone, Copy, Debug)]
pub struct Exchange {
    /// When it was sent.
    pub sent_at: Micros,
    /// It was slow if it took longer than this.
    pub slow_after: Micros,
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
    pub permits: Rc<PermitQueue>,
    /// Turns of all instances' statements, where this one hands them out.
    pub shared_permits: Rc<PermitQueue>,
    /// Since when it has more to do than this instance can hold back alone.
    pub(crate) overloaded_since: Cell<Option<Micros>>,
    /// The instance that then hands out turns; none if it is this one.
    pub(crate) dispatcher: RefCell<Option<Name>>,
    /// Until when this instance orders its statements alone, as that one can't be asked.
    pub(crate) dispatcher_retry_at: Cell<Micros>,
    /// How long statements take there without a queue.
    pub(crate) base_latency: Cell<Average>,
    pub(crate) entry: RefCell<Rc<Server>>,
    pub(crate) status: Cell<Option<(Micros, Status)>>,
    /// When that came.
    pub(crate) status_at: Cell<Micros>,
    /// When it was known to have come back with nothing: what others were told before doesn't count.
    pub(crate) log_lost_at: Cell<Micros>,
    /// What it counts for after it came back with nothing.
    pub(crate) recovery: Cell<Option<Recovery>>,
    pub(crate) latency: Cell<LatencyEstimate>,
    pub(crate) lag: Cell<LagEstimate>,
    pub(crate) last_contact: Cell<Micros>,
    pub(crate) unanswered_since: Cell<Option<Micros>>,
    pub(crate) refused_since: Cell<Option<Micros>>,
    pub(crate) avoid_until: Cell<Micros>,
    /// As of which change of placement the next three are known.
    pub(crate) placement_version: Cell<u64>,
    /// Whether this instance has a share of its connections.
    pub(crate) home: Cell<bool>,
    /// Other instances to go through, the first one first: its homes, and then those that stand in for them.
    pub(crate) ranked_peers: RefCell<Vec<Name>>,
    /// How many of these are homes.
    pub(crate) home_count: Cell<usize>,
    /// Whether it is reached over connections of this instance.
    pub(crate) reachable: Cell<bool>,
    /// When that was last tried.
    pub(crate) probed_at: Cell<Micros>,
    /// Instances that are passed over for a while.
    pub(crate) backoffs: RefCell<Vec<PeerBackoff>>,
    /// Since when it says that it leaves.
    pub(crate) draining_since: Cell<Option<Micros>>,
    pub(crate) missing_since: Cell<Option<Micros>>,
    pub(crate) removed: Cell<bool>,
    /// Whether a later run of its process is known: this one never comes back.
    pub(crate) superseded: Cell<bool>,
    /// Whether its account of itself was ever wanted.
    pub(crate) in_use: Cell<bool>,
    /// An account of itself is wanted that was asked for at this time or later.
    pub(crate) requested_since: Cell<Micros>,
    /// When it was last asked.
    pub(crate) asked_at: Cell<Micros>,
    /// When a question was sent over a connection of this instance that has no answer yet.
    pub(crate) pending_since: Cell<Option<Micros>>,
    pub(crate) poll_request: Notify,
}

impl Upstream {
    /// A server of which only its entry is known.
    pub fn new(index: usize, server: Server, clock: Clock) -> Upstream {
        let now = clock.now();
        let draining = server.draining.then_some(now);
        Upstream {
            index,
            pool: Rc::default(),
            permits: PermitQueue::new(clock),
            shared_permits: PermitQueue::new(clock),
            overloaded_since: Cell::default(),
            dispatcher: RefCell::default(),
            dispatcher_retry_at: Cell::default(),
            base_latency: Cell::default(),
            entry: RefCell::new(Rc::new(server)),
            status: Cell::default(),
            status_at: Cell::default(),
            log_lost_at: Cell::default(),
            recovery: Cell::default(),
            latency: Cell::default(),
            lag: Cell::default(),
            last_contact: Cell::new(now),
            unanswered_since: Cell::default(),
            refused_since: Cell::default(),
            avoid_until: Cell::default(),
            placement_version: Cell::default(),
            home: Cell::new(true),
            ranked_peers: RefCell::default(),
            home_count: Cell::default(),
            reachable: Cell::new(true),
            probed_at: Cell::default(),
            backoffs: RefCell::default(),
            draining_since: Cell::new(draining),
            missing_since: Cell::default(),
            removed: Cell::default(),
            superseded: Cell::default(),
            in_use: Cell::default(),
            requested_since: Cell::default(),
            asked_at: Cell::default(),
            pending_since: Cell::default(),
            poll_request: Notify::new(),
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
    pub(crate) fn shows_log_loss(&self, status: Status, sent: Micros) -> bool {
        let Some((_, old)) = self.status.get() else { return false };
        let later = sent >= self.status_at.get();
        later && status.term == old.term && status.received.lsn < old.received.lsn
    }

    /// Whether an account that was asked for at `sent` or later, and went through other instances, adds to what is known. One
    /// that shows less than was known may have been asked for before that, unless it is certain to be later.
    pub(crate) fn is_update(&self, status: Status, sent: Micros) -> bool {
        let later = self.status.get().is_none_or(|it| sent > it.0);
        later && !self.is_outdated(status, sent)
    }

    /// Whether an answer to a question sent at `sent` shows less than what came meanwhile: it may be from before that, or show
    /// a loss.
    pub(crate) fn is_outdated(&self, status: Status, sent: Micros) -> bool {
        let shown = |it: Status| (it.term, it.received.lsn);
        let less = self.status.get().is_some_and(|it| shown(status) < shown(it.1));
        sent < self.log_lost_at.get() || less && sent < self.status_at.get()
    }

    /// Notes something about its recovery, if it came back with nothing.
    pub(crate) fn update_recovery(&self, note: impl FnOnce(&mut Recovery)) {
        if let Some(mut it) = self.recovery.get() {
            note(&mut it);
            self.recovery.set(Some(it));
        }
    }

    /// When it last answered anything.
    pub fn last_contact(&self) -> Micros {
        self.last_contact.get()
    }

    /// Since when it owes an answer.
    pub fn unanswered_since(&self) -> Option<Micros> {
        self.unanswered_since.get()
    }

    /// Since when its address refuses connections.
    pub fn refused_since(&self) -> Option<Micros> {
        self.refused_since.get()
    }

    /// What is known of it, for a log line.
    pub fn summary(&self, now: Micros) -> String {
        let role = self.status.get().map_or("unknown", |it| it.1.role.into());
        let took_ms = self.latency.get().get(now) as u64 / 1_000;
        let lag_ms = self.lag.get().get(now) / 1_000;
        let reach = match (self.home.get(), self.reachable.get()) {
            (true, true) => "direct",
            (true, false) => "lost",
            (false, _) => "relayed",
        };
        let id = self.entry().id.clone();
        let (pool, turns) = (self.pool.summary(), self.permits.summary());
        let crowded = self.overloaded_since.get().is_some();
        format!("{id} {role} {reach} took_ms={took_ms} lag_ms={lag_ms} {pool} {turns} crowded={crowded}")
    }

    /// Whether new work may go to it: not for long after it said that it leaves.
    pub fn accepts_work(&self, inst: &Instance) -> bool {
        let limit = micros(inst.bounds.get().drain.saturating_sub(DRAIN_MARGIN));
        !self.is_removed() && self.draining_since.get().is_none_or(|at| inst.now().saturating_sub(at) < limit)
    }

    /// Whether its entry has been missing for so long, or it has left as it had said, that it counts as gone.
    pub(crate) fn is_expired(&self, limit: Micros) -> bool {
        let left = self.draining_since.get().is_some()
            && (self.unanswered_since.get().is_some() || self.refused_since.get().is_some());
        self.missing_since.get().is_some_and(|at| at < limit || left)
    }

    /// Whether it has left the directory for good.
    pub fn is_removed(&self) -> bool {
        self.removed.get()
    }

    /// It answered.
    pub fn record_contact(&self, now: Micros) {
        self.last_contact.set(now);
        self.unanswered_since.set(None);
        self.refused_since.set(None);
    }

    /// Draws conclusions from the answer to a statement.
    pub fn record_answer(&self, inst: &Instance, group: &Group, answer: &Answer, run: Exchange) {
        let now = inst.now();
        let took = now.saturating_sub(run.sent_at);
        self.record_contact(now);
        match answer.error_code() {
            None => {
                self.record_latency(took, now);
                self.record_base_latency(run, took);
                self.adjust_limit(run, took <= run.slow_after);
                if let Some(at) = answer.mark {
                    group.observe_position(self, at, run.sent_at);
                }
            }
            Some(ErrorCode::Busy) => {
                self.avoid_for(now, BUSY_PAUSE);
                self.adjust_limit(run, false);
            }
            Some(ErrorCode::Lagging) => self.avoid_for(now, BUSY_PAUSE),
            Some(ErrorCode::ReadOnly) => group.handle_not_primary(self, now),
            Some(_) => {}
        }
    }

    /// Turns are those of statements over connections of this instance.
    fn adjust_limit(&self, run: Exchange, quick: bool) {
        // Those of a crowded server are learned from where they are handed out.
        if run.direct && !self.uses_dispatcher(run.sent_at) {
            self.permits.adjust_limit(quick);
        }
    }

    /// It has more to do than single instances can hold back. False if that was known.
    pub fn mark_overloaded(&self, now: Micros) -> bool {
        let new = self.overloaded_since.get().is_none();
        if new {
            self.overloaded_since.set(Some(now));
            log::info!(server = self.entry().id.as_str(); "crowded: turns come from one instance");
        }
        new
    }

    /// The instance that hands out turns for all can't be asked: this one orders its statements alone for a while.
    pub(crate) fn back_off_dispatcher(&self, now: Micros) {
        self.dispatcher_retry_at.set(now + micros(RELAY_FAILED_BACKOFF));
    }

    /// Whether turns at it come from one instance for all.
    fn uses_dispatcher(&self, now: Micros) -> bool {
        self.overloaded_since.get().is_some() && self.dispatcher_retry_at.get() <= now
    }

    /// Whether it has a queue, as far as this instance knows.
    pub fn has_queue(&self) -> bool {
        self.overloaded_since.get().is_some() || self.permits.is_limit_reduced()
    }

    /// Learns how long statements take without a queue.
    fn record_base_latency(&self, run: Exchange, took: Micros) {
        if run.direct && (!self.has_queue() || !self.base_latency.get().is_settled()) {
            let mut it = self.base_latency.get();
            it.observe(took);
            self.base_latency.set(it);
        }
    }

    /// It took this long for a statement.
    pub fn record_latency(&self, took: Micros, now: Micros) {
        let mut it = self.latency.get();
        it.observe(took, now);
        self.latency.set(it);
    }

    /// How long a statement may take until its connection is doubted.
    pub fn stall_timeout(&self, now: Micros) -> Duration {
        let expected = Duration::from_micros(self.latency.get().get(now) as Micros);
        STALL_TIMEOUT.max(expected * STALL_FACTOR)
    }

    /// A question sent at this time has no answer.
    pub fn record_unanswered(&self, sent: Micros) {
        if self.unanswered_since.get().is_none() && self.last_contact.get() <= sent {
            self.unanswered_since.set(Some(sent));
        }
    }

    /// It can't be reached over a connection of this instance.
    pub fn record_connect_failure(&self, now: Micros, refused: bool) {
        match refused {
            true => self.record_refused(now),
            false => self.mark_unreachable("not reached"),
        }
        self.record_unanswered(now);
        self.request_status();
    }

    /// Connections of this instance don't reach it: those that are idle are as useless.
    pub(crate) fn mark_unreachable(&self, what: &str) {
        self.pool.trim(Instant::now(), true);
        if self.reachable.replace(false) {
            log::info!(server = self.entry().id.as_str(); "{what}");
        }
    }

    /// Nobody listens at its address, for other instances neither.
    pub(crate) fn record_refused(&self, now: Micros) {
        self.refused_since.set(self.refused_since.get().or(Some(now)));
        self.avoid_until.set(now + micros(UNREACHABLE_BACKOFF));
        self.record_unanswered(now);
    }

    /// A statement sent at `sent` has no answer.
    pub fn record_run_error(&self, e: &RunError, via: Option<&Name>, sent: Micros, now: Micros) {
        match (e, via) {
            (RunError::Refused, _) => {}
            (RunError::Busy, Some(peer)) => self.back_off_peer(peer, now, true),
            (RunError::Busy, None) => self.avoid_for(now, UNREACHABLE_BACKOFF / 10),
            (RunError::Gone, _) => self.record_connect_failure(now, true),
            (RunError::NotSent { .. } | RunError::Broken { .. }, Some(peer)) => {
                self.back_off_peer(peer, now, false)
            }
            (RunError::NotSent { .. }, None) => self.request_status(),
            (RunError::Broken { .. } | RunError::Late, _) => {
                self.record_unanswered(sent);
                self.request_status();
            }
        }
    }

    /// Whether this instance has a share of its connections, and reaches it.
    pub fn is_reachable(&self) -> bool {
        self.home.get() && self.reachable.get()
    }

    /// Whether this instance has a share of its connections, and doesn't reach it.
    pub fn is_home_unreachable(&self) -> bool {
        self.home.get() && !self.reachable.get()
    }

    /// Sets whether this instance has a share of its connections, and the others in the order in which they are
    /// asked: those that have one, and then the rest.
    pub fn set_placement(&self, home: bool, ranked: Vec<Name>, homes: usize) {
        self.home.set(home);
        self.home_count.set(homes);
        *self.ranked_peers.borrow_mut() = ranked;
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
    pub(crate) fn pick_peer(&self, inst: &Instance, owner: &Owner) -> Option<Rc<Peer>> {
        self.pick_peer_except(inst, owner, &[])
    }

    /// The same, but none of some that were asked already.
    pub(crate) fn pick_peer_except(
        &self,
        inst: &Instance,
        owner: &Owner,
        asked: &[Name],
    ) -> Option<Rc<Peer>> {
        inst.update_placement(self);
        let now = inst.now();
        let (unfit, homes) = (self.backoffs.borrow(), self.home_count.get());
        let mut ranked: Vec<Name> =
            self.ranked_peers.borrow().iter().take(homes + FALLBACK_INSTANCES).cloned().collect();
        if let Owner::Organisation(owner) = owner {
            let n = homes.min(ranked.len());
            inst.sort_by_placement(owner, &mut ranked[..n]);
        }
        let mut full = false;
        for (at, name) in ranked.iter().enumerate() {
            match unfit.iter().find(|it| it.name == *name && it.until > now) {
                Some(it) => full |= it.overloaded,
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
    pub(crate) fn has_home(&self, peer: &Name) -> bool {
        self.ranked_peers.borrow().iter().take(self.home_count.get()).any(|it| it == peer)
    }

    /// Another instance couldn't do it, or has too much to do, and is passed over for a while.
    pub fn back_off_peer(&self, peer: &Name, now: Micros, full: bool) {
        let pause = if full { BUSY_PEER_BACKOFF } else { RELAY_FAILED_BACKOFF };
        let mut unfit = self.backoffs.borrow_mut();
        unfit.retain(|it| it.until > now && it.name != *peer);
        unfit.push(PeerBackoff { name: peer.clone(), until: now + micros(pause), overloaded: full });
    }

    /// A way through another instance, for an owner's statements.
    pub async fn open_relayed(&self, inst: &Rc<Instance>, owner: &Owner, until: Instant) -> Option<Relayed> {
        for _ in 0..MAX_RELAYS {
            let peer = self.pick_peer(inst, owner)?;
            if let Some(link) = peer.link(inst).await {
                let server = self.entry().as_ref().into();
                return Some(Relayed::new(peer.name.clone(), link, server, owner.clone(), until));
            }
        }
        None
    }

    /// Tries, now and then, whether a server that others reach can be reached again.
    pub(crate) fn try_reconnect(&self, inst: &Rc<Instance>, group: &Group) {
        let now = inst.now();
        if !self.home.get() || now < self.probed_at.get() + micros(RECONNECT_INTERVAL) {
            return;
        }
        self.probed_at.set(now);
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
    pub fn avoid_for(&self, now: Micros, pause: Duration) {
        self.avoid_until.set(now + micros(pause));
    }

    /// A read showed that its log holds, or lacks, a position of this age.
    pub fn record_lag(&self, age: Micros, holds: bool, now: Micros) {
        let mut it = self.lag.get();
        match holds {
            true => it.observe_reached(age, now),
            false => it.observe_missing(age, now),
        }
        self.lag.set(it);
    }

    /// Asks it for its account of itself, soon.
    pub fn request_status(&self) {
        self.request_status_after(Micros::MAX);
    }

    fn request_status_after(&self, since: Micros) {
        self.in_use.set(true);
        self.requested_since.set(self.requested_since.get().max(since));
        self.poll_request.notify_one();
    }

    /// The same, unless it was asked at `since` or later.
    pub fn request_status_since(&self, since: Micros) {
        if self.asked_at.get() < since {
            self.request_status_after(since);
        }
    }
}

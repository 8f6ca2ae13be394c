//! State of a server as seen by this instance.

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
    pondtrack_proto::{LogPosition, Name},
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{sync::Notify, time::Instant},
};

/// Time for which other servers are preferred after a server has answered that it is busy.
const BUSY_BACKOFF: Duration = Duration::from_millis(15);

/// An instance that is not used to reach a server for a while.
pub(crate) struct PeerBackoff {
    name: Name,
    until: Micros,
    /// True if the instance is only overloaded.
    overloaded: bool,
}

/// An answered statement.
#[derive(Clone, Copy, Debug)]
pub struct Exchange {
    /// Time at which the statement was sent.
    pub sent_at: Micros,
    /// Latency above which the statement counts as slow, in microseconds.
    pub slow_after: Micros,
    /// True if a connection of this instance was used.
    pub direct: bool,
}

/// A server of a group.
pub struct Upstream {
    /// Index of the server in the group's evidence.
    pub index: usize,
    /// Connections to the server.
    pub pool: Rc<Pool>,
    /// Permits for this instance's statements.
    pub permits: Rc<PermitQueue>,
    /// Permits for the statements of all instances, used while this instance is the dispatcher.
    pub shared_permits: Rc<PermitQueue>,
    /// Time since which the server has been overloaded: a lower limit on this instance alone doesn't relieve it.
    pub(crate) overloaded_since: Cell<Option<Micros>>,
    /// The instance that grants permits while the server is overloaded, or `None` if it is this one.
    pub(crate) dispatcher: RefCell<Option<Name>>,
    /// Time until which this instance schedules its statements itself because the dispatcher can't be reached.
    pub(crate) dispatcher_retry_at: Cell<Micros>,
    /// Average latency of statements while the server has no queue.
    pub(crate) base_latency: Cell<Average>,
    /// Directory entry.
    pub(crate) entry: RefCell<Rc<Server>>,
    /// Last status, and the time at which it was requested.
    pub(crate) status: Cell<Option<(Micros, Status)>>,
    /// Log position that reads at the server are known to reflect.
    pub(crate) replayed: Cell<LogPosition>,
    /// True if the next status is requested for the position that reads reflect, which status reports don't contain.
    pub(crate) replay_wanted: Cell<bool>,
    /// Time at which the last status arrived.
    pub(crate) status_at: Cell<Micros>,
    /// Time at which a restart or the loss of the log became known. Statuses requested before it don't count.
    pub(crate) log_lost_at: Cell<Micros>,
    /// Progress of the recovery from a restart or from the loss of the log.
    pub(crate) recovery: Cell<Option<Recovery>>,
    /// Expected latency of statements.
    pub(crate) latency: Cell<LatencyEstimate>,
    /// Estimated replica lag.
    pub(crate) lag: Cell<LagEstimate>,
    /// Time of the last answer.
    pub(crate) last_contact: Cell<Micros>,
    /// Time since which an answer has been outstanding.
    pub(crate) unanswered_since: Cell<Option<Micros>>,
    /// Time since which the server's address has refused connections.
    pub(crate) refused_since: Cell<Option<Micros>>,
    /// Time until which other servers are preferred.
    pub(crate) avoid_until: Cell<Micros>,
    /// Version of the placement that the next three fields are derived from.
    pub(crate) placement_version: Cell<u64>,
    /// True if this instance is a home of the server: it has a share of the server's connections.
    pub(crate) home: Cell<bool>,
    /// Other instances through which the server can be reached, in order of preference: first its homes, then their
    /// substitutes.
    pub(crate) ranked_peers: RefCell<Vec<Name>>,
    /// Number of homes among the ranked peers.
    pub(crate) home_count: Cell<usize>,
    /// True if connections of this instance reach the server.
    pub(crate) reachable: Cell<bool>,
    /// Time of the last attempt to reconnect to an unreachable server.
    pub(crate) probed_at: Cell<Micros>,
    /// Instances that are not used for a while.
    pub(crate) backoffs: RefCell<Vec<PeerBackoff>>,
    /// Time since which the server has been draining.
    pub(crate) draining_since: Cell<Option<Micros>>,
    /// Time since which the directory entry has been missing.
    pub(crate) missing_since: Cell<Option<Micros>>,
    /// True if the server was removed from the group.
    pub(crate) removed: Cell<bool>,
    /// True if a later process of the server is known, so that this one never returns.
    pub(crate) superseded: Cell<bool>,
    /// True if this instance has ever requested the server's status.
    pub(crate) in_use: Cell<bool>,
    /// Earliest time at which the status that the polling task has to obtain may have been requested.
    pub(crate) requested_since: Cell<Micros>,
    /// Time of the last status request.
    pub(crate) asked_at: Cell<Micros>,
    /// Time at which a status request without an answer so far was sent over a connection of this instance.
    pub(crate) pending_since: Cell<Option<Micros>>,
    /// Notifies the polling task.
    pub(crate) poll_request: Notify,
}

impl Upstream {
    /// Creates a server from its directory entry.
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
            replayed: Cell::default(),
            replay_wanted: Cell::default(),
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

    /// The server's directory entry.
    pub fn entry(&self) -> Rc<Server> {
        self.entry.borrow().clone()
    }

    /// The last status, and the time at which it was requested.
    pub fn status(&self) -> Option<(Micros, Status)> {
        self.status.get()
    }

    /// Records the log position that the server returned with an answer, which its reads reflect.
    pub(crate) fn record_replayed(&self, position: LogPosition) {
        self.replayed.set(self.replayed.get().max(position));
    }

    /// Returns true if the response to a request sent at `sent` shows a shorter log than a response that had arrived before
    /// `sent`, in the same term.
    pub(crate) fn shows_log_loss(&self, status: Status, sent: Micros) -> bool {
        let Some((_, old)) = self.status.get() else { return false };
        let later = sent >= self.status_at.get();
        later && status.term == old.term && status.received.lsn < old.received.lsn
    }

    /// Returns true if a status that another instance requested at `sent` or later adds to the known status.
    ///
    /// A status with an earlier position than the known one may be older, unless it was certainly requested later.
    pub(crate) fn is_update(&self, status: Status, sent: Micros) -> bool {
        let later = self.status.get().is_none_or(|known| sent > known.0);
        later && !self.is_outdated(status, sent)
    }

    /// Returns true if the response to a request sent at `sent` shows an earlier position than a status that arrived after
    /// `sent`, or if the loss of the log became known after `sent`.
    ///
    /// In the first case the response either is older or shows the loss of the log.
    pub(crate) fn is_outdated(&self, status: Status, sent: Micros) -> bool {
        let position = |s: Status| (s.term, s.received.lsn);
        let earlier = self.status.get().is_some_and(|known| position(status) < position(known.1));
        sent < self.log_lost_at.get() || earlier && sent < self.status_at.get()
    }

    /// Updates the recovery state, if the server has restarted or lost its log.
    pub(crate) fn update_recovery(&self, update: impl FnOnce(&mut Recovery)) {
        if let Some(mut recovery) = self.recovery.get() {
            update(&mut recovery);
            self.recovery.set(Some(recovery));
        }
    }

    /// Time of the last answer of any kind.
    pub fn last_contact(&self) -> Micros {
        self.last_contact.get()
    }

    /// Time since which an answer has been outstanding.
    pub fn unanswered_since(&self) -> Option<Micros> {
        self.unanswered_since.get()
    }

    /// Time since which the server's address has refused connections.
    pub fn refused_since(&self) -> Option<Micros> {
        self.refused_since.get()
    }

    /// State of the server as text for a log line.
    pub fn summary(&self, now: Micros) -> String {
        let role = self.status.get().map_or("unknown", |known| known.1.role.into());
        let latency_ms = self.latency.get().get(now) as u64 / 1_000;
        let lag_ms = self.lag.get().get(now) / 1_000;
        let reach = match (self.home.get(), self.reachable.get()) {
            (true, true) => "direct",
            (true, false) => "lost",
            (false, _) => "relayed",
        };
        let id = self.entry().id.clone();
        let (pool, permits) = (self.pool.summary(), self.permits.summary());
        let overloaded = self.overloaded_since.get().is_some();
        format!(
            "{id} {role} {reach} took_ms={latency_ms} lag_ms={lag_ms} {pool} {permits} crowded={overloaded}"
        )
    }

    /// Returns true if the server may get new work. A draining server accepts work only until [`DRAIN_MARGIN`] before the
    /// end of its drain period.
    pub fn accepts_work(&self, inst: &Instance) -> bool {
        let limit = micros(inst.bounds.get().drain.saturating_sub(DRAIN_MARGIN));
        !self.is_removed() && self.draining_since.get().is_none_or(|at| inst.now().saturating_sub(at) < limit)
    }

    /// Returns true if the directory entry has been missing since before `limit`, or is missing and the server was draining
    /// and no longer answers.
    pub(crate) fn is_expired(&self, limit: Micros) -> bool {
        let left = self.draining_since.get().is_some()
            && (self.unanswered_since.get().is_some() || self.refused_since.get().is_some());
        self.missing_since.get().is_some_and(|at| at < limit || left)
    }

    /// Returns true if the server was removed from the group.
    pub fn is_removed(&self) -> bool {
        self.removed.get()
    }

    /// Records an answer of the server.
    pub fn record_contact(&self, now: Micros) {
        self.last_contact.set(now);
        self.unanswered_since.set(None);
        self.refused_since.set(None);
    }

    /// Updates estimates, limits and evidence from the answer to a statement.
    pub fn record_answer(&self, inst: &Instance, group: &Group, answer: &Answer, run: Exchange) {
        let now = inst.now();
        let elapsed = now.saturating_sub(run.sent_at);
        self.record_contact(now);
        match answer.error_code() {
            None => {
                self.record_latency(elapsed, now);
                self.record_base_latency(run, elapsed);
                self.adjust_limit(run, elapsed <= run.slow_after);
                if let Some(position) = answer.mark {
                    self.record_replayed(position);
                    group.observe_position(self, position, run.sent_at);
                }
            }
            Some(ErrorCode::Busy) => {
                self.avoid_for(now, BUSY_BACKOFF);
                self.adjust_limit(run, false);
            }
            Some(ErrorCode::Lagging) => self.avoid_for(now, BUSY_BACKOFF),
            Some(ErrorCode::ReadOnly) => group.handle_not_primary(self, now),
            Some(_) => {}
        }
    }

    /// Adjusts the limit of the local permits, which only cover statements over connections of this instance.
    fn adjust_limit(&self, run: Exchange, fast: bool) {
        // The permits of an overloaded server are adjusted by the instance that grants them.
        if run.direct && !self.uses_dispatcher(run.sent_at) {
            self.permits.adjust_limit(fast);
        }
    }

    /// Marks the server as overloaded: limits on single instances don't relieve it. Returns false if it was marked already.
    pub fn mark_overloaded(&self, now: Micros) -> bool {
        let new = self.overloaded_since.get().is_none();
        if new {
            self.overloaded_since.set(Some(now));
            log::info!(server = self.entry().id.as_str(); "crowded: turns come from one instance");
        }
        new
    }

    /// Schedules this instance's statements locally for a while, because the dispatcher can't be reached.
    pub(crate) fn back_off_dispatcher(&self, now: Micros) {
        self.dispatcher_retry_at.set(now + micros(RELAY_FAILED_BACKOFF));
    }

    /// Returns true if permits come from the dispatcher.
    fn uses_dispatcher(&self, now: Micros) -> bool {
        self.overloaded_since.get().is_some() && self.dispatcher_retry_at.get() <= now
    }

    /// Returns true if the server has a queue, as far as this instance knows.
    pub fn has_queue(&self) -> bool {
        self.overloaded_since.get().is_some() || self.permits.is_limit_reduced()
    }

    /// Records the latency of a statement that found no queue, in microseconds.
    fn record_base_latency(&self, run: Exchange, elapsed: Micros) {
        if run.direct && (!self.has_queue() || !self.base_latency.get().is_settled()) {
            let mut average = self.base_latency.get();
            average.observe(elapsed);
            self.base_latency.set(average);
        }
    }

    /// Records the latency of a statement, in microseconds.
    pub fn record_latency(&self, elapsed: Micros, now: Micros) {
        let mut latency = self.latency.get();
        latency.observe(elapsed, now);
        self.latency.set(latency);
    }

    /// Duration after which a statement without an answer may be waiting on a stalled connection.
    pub fn stall_timeout(&self, now: Micros) -> Duration {
        let expected = Duration::from_micros(self.latency.get().get(now) as Micros);
        STALL_TIMEOUT.max(expected * STALL_FACTOR)
    }

    /// Records that a request sent at `sent` has no answer.
    pub fn record_unanswered(&self, sent: Micros) {
        if self.unanswered_since.get().is_none() && self.last_contact.get() <= sent {
            self.unanswered_since.set(Some(sent));
        }
    }

    /// Records that this instance couldn't connect to the server.
    pub fn record_connect_failure(&self, now: Micros, refused: bool) {
        match refused {
            true => self.record_refused(now),
            false => self.mark_unreachable("not reached"),
        }
        self.record_unanswered(now);
        self.request_status();
    }

    /// Marks the server as unreachable over connections of this instance, logs `message` if that is new, and closes the idle
    /// connections, which are as useless.
    pub(crate) fn mark_unreachable(&self, message: &str) {
        self.pool.trim(Instant::now(), true);
        if self.reachable.replace(false) {
            log::info!(server = self.entry().id.as_str(); "{message}");
        }
    }

    /// Records that the server's address refuses connections, which holds for other instances as well.
    pub(crate) fn record_refused(&self, now: Micros) {
        self.refused_since.set(self.refused_since.get().or(Some(now)));
        self.avoid_until.set(now + micros(UNREACHABLE_BACKOFF));
        self.record_unanswered(now);
    }

    /// Handles the failure of a statement sent at `sent`, through the instance `via` if there is one.
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

    /// Returns true if this instance is a home of the server and reaches it itself.
    pub fn is_directly_reachable(&self) -> bool {
        self.home.get() && self.reachable.get()
    }

    /// Returns true if this instance is a home of the server and doesn't reach it.
    pub fn is_home_unreachable(&self) -> bool {
        self.home.get() && !self.reachable.get()
    }

    /// Sets whether this instance is a home of the server, and the other instances in order of preference, of which the
    /// first `home_count` are homes.
    pub fn set_placement(&self, home: bool, ranked_peers: Vec<Name>, home_count: usize) {
        self.home.set(home);
        self.home_count.set(home_count);
        *self.ranked_peers.borrow_mut() = ranked_peers;
    }

    /// The other instance that grants permits while the server is overloaded, or `None` if it is this one.
    pub fn dispatcher(&self) -> Option<Name> {
        self.dispatcher.borrow().clone()
    }

    /// Sets the other instance that grants permits while the server is overloaded, or `None` for this one.
    pub fn set_dispatcher(&self, name: Option<Name>) {
        *self.dispatcher.borrow_mut() = name;
    }

    /// Selects another instance through which to reach the server: one of its homes, or a substitute if no home can be
    /// reached.
    ///
    /// A home that is only overloaded isn't replaced by a substitute. All instances select the same home for an organisation,
    /// so that its connections are reused instead of being closed to make room for another organisation's.
    pub(crate) fn pick_peer(&self, inst: &Instance, owner: &Owner) -> Option<Rc<Peer>> {
        self.pick_peer_except(inst, owner, &[])
    }

    /// Like [`Upstream::pick_peer`], but excludes the instances in `asked`.
    pub(crate) fn pick_peer_except(
        &self,
        inst: &Instance,
        owner: &Owner,
        asked: &[Name],
    ) -> Option<Rc<Peer>> {
        inst.update_placement(self);
        let now = inst.now();
        let (backoffs, homes) = (self.backoffs.borrow(), self.home_count.get());
        let mut ranked: Vec<Name> =
            self.ranked_peers.borrow().iter().take(homes + FALLBACK_INSTANCES).cloned().collect();
        if let Owner::Organisation(owner) = owner {
            let n = homes.min(ranked.len());
            inst.sort_by_placement(owner, &mut ranked[..n]);
        }
        let mut overloaded = false;
        for (index, name) in ranked.iter().enumerate() {
            match backoffs.iter().find(|b| b.name == *name && b.until > now) {
                Some(backoff) => overloaded |= backoff.overloaded,
                None if index >= homes && overloaded => return None,
                None if asked.contains(name) => {}
                None => {
                    let found = inst.peer(name).filter(|p| p.is_available(now));
                    if found.is_some() {
                        return found;
                    }
                }
            }
        }
        None
    }

    /// Returns true if the other instance is a home of the server.
    pub(crate) fn has_home(&self, peer: &Name) -> bool {
        self.ranked_peers.borrow().iter().take(self.home_count.get()).any(|name| name == peer)
    }

    /// Excludes an instance that failed, or is overloaded, from selection for a while.
    pub fn back_off_peer(&self, peer: &Name, now: Micros, overloaded: bool) {
        let pause = if overloaded { BUSY_PEER_BACKOFF } else { RELAY_FAILED_BACKOFF };
        let mut backoffs = self.backoffs.borrow_mut();
        backoffs.retain(|b| b.until > now && b.name != *peer);
        backoffs.push(PeerBackoff { name: peer.clone(), until: now + micros(pause), overloaded });
    }

    /// Opens a stream through another instance for an owner's statements, which may wait there for a connection until
    /// `deadline`.
    pub async fn open_relayed(
        &self,
        inst: &Rc<Instance>,
        owner: &Owner,
        deadline: Instant,
    ) -> Option<Relayed> {
        for _ in 0..MAX_RELAYS {
            let peer = self.pick_peer(inst, owner)?;
            if let Some(link) = peer.link(inst).await {
                let server = self.entry().as_ref().into();
                return Some(Relayed::new(peer.name.clone(), link, server, owner.clone(), deadline));
            }
        }
        None
    }

    /// Tries to reconnect to a server that other instances reach, at most once per [`RECONNECT_INTERVAL`].
    pub(crate) fn try_reconnect(&self, inst: &Rc<Instance>, group: &Group) {
        let now = inst.now();
        if !self.home.get() || now < self.probed_at.get() + micros(RECONNECT_INTERVAL) {
            return;
        }
        self.probed_at.set(now);
        let (inst, index, group) = (inst.clone(), self.index, group.name.clone());
        tokio::task::spawn_local(async move {
            let Some(group) = inst.group(&group) else { return };
            let known = group.servers().into_iter().find(|s| s.index == index);
            if let Some(up) = known
                && send_direct(&inst, &group, &up, &Order::Status).await.is_some()
            {
                log::info!(server = up.entry().id.as_str(); "reached again");
            }
        });
    }

    /// Prefers other servers for the duration of `pause`.
    pub fn avoid_for(&self, now: Micros, pause: Duration) {
        self.avoid_until.set(now + micros(pause));
    }

    /// Updates the lag from a read that showed whether the server had reached a position that is `age` microseconds old.
    pub fn record_lag(&self, age: Micros, reached: bool, now: Micros) {
        let mut lag = self.lag.get();
        match reached {
            true => lag.observe_reached(age, now),
            false => lag.observe_missing(age, now),
        }
        self.lag.set(lag);
    }

    /// Requests the server's status from the polling task.
    pub fn request_status(&self) {
        self.request_status_after(Micros::MAX);
    }

    /// Requests a status that was requested from the server at `since` or later.
    fn request_status_after(&self, since: Micros) {
        self.in_use.set(true);
        self.requested_since.set(self.requested_since.get().max(since));
        self.poll_request.notify_one();
    }

    /// Requests a status together with the position that reads reflect, both as of `since` or later.
    pub fn request_replayed(&self, since: Micros) {
        self.replay_wanted.set(true);
        self.request_status_since(since);
    }

    /// Requests the server's status unless a request was sent at `since` or later.
    pub fn request_status_since(&self, since: Micros) {
        if self.asked_at.get() < since {
            self.request_status_after(since);
        }
    }
}

//! A group at one of its home instances: its servers, connections, gate and failover.
//!
//! | module | holds |
//! | --- | --- |
//! | [`exec`] | a request from its arrival to its answer |
//! | [`keyed`] | requests that run once at most |
//! | [`pool`] | connections to one server |
//! | [`monitor`] | watching one server |
//! | [`barrier`] | rounds that ask a majority |
//! | [`failover`] | detecting, fencing, promoting, rejoining |

pub mod barrier;
pub mod exec;
pub mod failover;
pub mod keyed;
pub mod monitor;
pub mod pool;

use {
    crate::node::Node,
    barrier::Barrier,
    exec::Pinned,
    pondtrack_core::{
        Time,
        commit_gate::{AckStatus, CommitGate, Ticket},
        failure_detector::{FailureDetector, LastContact},
        freshness::Freshness,
        placement,
        retry::RetryBudget,
        route::Candidate,
        term_pool::TermPool,
    },
    pondtrack_edge::{
        EdgeError, Upstream,
        contract::{Order, Position, Role},
    },
    pondtrack_proto::{GroupSpec, GroupStatus, LogPosition, Lsn, Name, ServerSpec, ServerStatus, Term},
    pool::Pool,
    std::{
        cell::{Cell, RefCell},
        collections::VecDeque,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::{Mutex, Notify, oneshot},
        time::timeout,
    },
};

/// Time for an order to a server.
pub const ORDER_LIMIT: Duration = Duration::from_millis(400);
/// Times of arrival remembered, to tell how far a replica is behind.
const ARRIVALS: usize = 512;

/// What a home last saw of a server.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Its position.
    pub position: Option<Position>,
    /// When it was heard and since when it refuses.
    pub heard: LastContact,
    /// When which end of its log was seen, oldest first.
    arrivals: VecDeque<(Time, Lsn)>,
}

impl View {
    /// How far the server is behind what it has received, in milliseconds.
    pub fn lag(&self, now: Time) -> u64 {
        let Some(it) = &self.position else { return u64::MAX };
        let waits = self.arrivals.iter().find(|at| at.1 > it.applied);
        waits.map_or(0, |at| now.saturating_sub(at.0))
    }

    /// Whether the server was heard within a time, in milliseconds, and doesn't refuse connections.
    pub fn is_near(&self, now: Time, limit: u64) -> bool {
        let last = self.heard.answered_at.is_some_and(|at| now.saturating_sub(at) < limit);
        last && self.heard.refused_since.is_none()
    }

    fn arrived(&mut self, now: Time, position: &Position) {
        let end = position.received.lsn;
        while self.arrivals.front().is_some_and(|it| it.1 <= position.applied) {
            self.arrivals.pop_front();
        }
        if self.arrivals.back().is_none_or(|it| it.1 < end) && self.arrivals.len() < ARRIVALS {
            self.arrivals.push_back((now, end));
        }
    }
}

/// One server of a group at a home.
pub struct Server {
    /// Its configuration; only the draining mark changes.
    pub spec: RefCell<ServerSpec>,
    /// What was last seen of it.
    pub view: RefCell<View>,
    /// Connections for callers' work.
    pub pool: Rc<Pool>,
    /// The connection for orders.
    pub control: Mutex<Option<Upstream>>,
}

impl Server {
    /// Its position as last seen, and when it last answered.
    fn seen(&self) -> (Option<Position>, Option<Time>) {
        let view = self.view.borrow();
        (view.position, view.heard.answered_at)
    }
}

/// A group at one of its homes.
pub struct Home {
    /// The group.
    pub group: Name,
    /// Its configuration.
    pub spec: RefCell<Rc<GroupSpec>>,
    /// The version of its configuration.
    pub version: Cell<u64>,
    /// The place of this instance among the homes.
    pub rank: Cell<usize>,
    /// How many homes there are.
    pub count: Cell<usize>,
    /// The servers, in the order of the configuration.
    pub servers: Vec<Server>,
    /// Holds acknowledgements back.
    pub gate: RefCell<CommitGate>,
    /// Since when commits wait without any progress.
    pub stalled: Cell<Option<Time>>,
    /// Tells how old replicas are.
    pub fresh: RefCell<Freshness>,
    /// Gives up primaries.
    pub detector: RefCell<FailureDetector>,
    /// Terms taken ahead.
    pub grants: RefCell<TermPool>,
    /// Set while a block of terms is being asked for.
    pub asking: Cell<bool>,
    /// Retries allowed.
    pub budget: RefCell<RetryBudget>,
    /// Until when work for the primary is held for a planned switch.
    pub held: Cell<Option<Time>>,
    /// Set while a change of primary is under way here.
    pub switching: Cell<bool>,
    /// Since when there is no usable primary.
    pub lost: Cell<Option<Time>>,
    /// Rounds that ask a majority.
    pub barrier: Barrier,
    /// Set when this instance is no longer a home: nothing new begins.
    pub closing: Cell<bool>,
    /// Woken whenever anything above has changed.
    pub changed: Notify,
    /// Woken when an acknowledgement begins to wait, so that replicas are watched closely.
    pub wanted: Notify,
    tickets: RefCell<Vec<(Ticket, oneshot::Sender<bool>)>>,
    streams: RefCell<Vec<(StreamId, Slot)>>,
}

/// A session's stream: the instance it comes from and its number there.
pub type StreamId = (Name, u64);

/// What a stream does at the home.
enum Slot {
    /// A transaction between two batches.
    Pinned(Box<Pinned>),
    /// A batch runs; the notification cancels it.
    Running(Rc<Notify>),
}

/// How an acknowledgement fared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gated {
    /// A majority holds it.
    Open,
    /// Its term is over.
    Broken,
    /// Time is up.
    Late,
}

impl Home {
    /// Sets a home up; nothing runs yet.
    pub fn new(node: &Node, spec: Rc<GroupSpec>, version: u64) -> Rc<Home> {
        let n = spec.servers.len();
        let server = |it: &ServerSpec| Server {
            spec: RefCell::new(it.clone()),
            view: RefCell::default(),
            pool: Pool::new(),
            control: Mutex::new(None),
        };
        let quorum = if node.settings.gate.is_on() { spec.majority() } else { 1 };
        Rc::new(Home {
            group: spec.name.clone(),
            servers: spec.servers.iter().map(server).collect(),
            version: Cell::new(version),
            rank: Cell::new(0),
            count: Cell::new(1),
            gate: RefCell::new(CommitGate::new(n, quorum)),
            stalled: Cell::default(),
            fresh: RefCell::new(Freshness::new(n, spec.majority())),
            detector: RefCell::new(FailureDetector::new(node.settings.detect(), node.now())),
            grants: RefCell::default(),
            asking: Cell::default(),
            budget: RefCell::default(),
            held: Cell::default(),
            switching: Cell::default(),
            lost: Cell::default(),
            barrier: Barrier::default(),
            closing: Cell::default(),
            changed: Notify::new(),
            wanted: Notify::new(),
            tickets: RefCell::default(),
            streams: RefCell::default(),
            spec: RefCell::new(spec),
        })
    }

    /// Takes a new configuration, a new rank, or both.
    pub fn configure(&self, node: &Node, spec: Rc<GroupSpec>, version: u64, rank: usize, count: usize) {
        for (it, new) in self.servers.iter().zip(&spec.servers) {
            *it.spec.borrow_mut() = new.clone();
            let share = placement::connection_share(spec.limit, count, rank);
            it.pool.resize(node, share, new.draining);
        }
        *self.spec.borrow_mut() = spec;
        self.version.set(version);
        self.rank.set(rank);
        self.count.set(count);
        self.closing.set(false);
        self.changed.notify_waiters();
    }

    /// Ends new work; what runs is finished.
    pub fn close(&self, node: &Node) {
        self.closing.set(true);
        for it in &self.servers {
            it.pool.resize(node, it.pool.share(), true);
        }
        self.changed.notify_waiters();
    }

    /// Whether nothing is left of it.
    pub fn is_over(&self) -> bool {
        self.closing.get() && self.streams.borrow().is_empty()
    }

    /// The highest term any server has shown.
    pub fn term(&self) -> Term {
        let terms = self.servers.iter().filter_map(|it| it.view.borrow().position.map(|p| p.term));
        terms.max().unwrap_or_default()
    }

    /// The server that is the primary, unless a majority is known to have a higher term.
    pub fn primary(&self) -> Option<usize> {
        let position = |n: usize| self.servers[n].view.borrow().position;
        let all = 0..self.servers.len();
        let leads = |n: &usize| position(*n).is_some_and(|p| p.role == Role::Primary);
        let it = all.clone().filter(leads).max_by_key(|n| position(*n).map(|p| p.term))?;
        let term = position(it)?.term;
        let above = all.filter(|n| position(*n).is_some_and(|p| p.term > term)).count();
        (above < self.spec.borrow().majority()).then_some(it)
    }

    /// Whether the primary has been heard lately.
    pub fn primary_is_near(&self, node: &Node) -> bool {
        let limit = monitor::unheard(node, self, true);
        self.primary().is_some_and(|n| self.servers[n].view.borrow().is_near(node.now(), limit))
    }

    /// Waits for a primary that takes work, until a time.
    pub async fn wait_primary(&self, node: &Node, deadline: Time) -> Option<usize> {
        loop {
            let changed = self.changed.notified();
            let now = node.now();
            let held = self.held.get().is_some_and(|it| it > now);
            if let Some(it) = self.primary().filter(|_| !held && !self.switching.get())
                && self.primary_is_near(node)
            {
                return Some(it);
            }
            let mut left = deadline.saturating_sub(now);
            if left == 0 {
                return None;
            }
            if let Some(it) = self.held.get().filter(|_| held) {
                left = left.min(it - now);
            }
            // Nearness changes with time alone, so look again now and then.
            let _ = timeout(Duration::from_millis(left.min(50)), changed).await;
        }
    }

    /// Takes what a server showed in the answer to a question sent at `sent`.
    pub fn saw(&self, node: &Node, server: usize, position: Position, sent: Time) {
        let now = node.now();
        let mut view = self.servers[server].view.borrow_mut();
        // An answer that was overtaken by a later one says nothing new.
        let old = view.position.map_or(Term(0), |it| it.term);
        if position.term < old {
            return;
        }
        let differs = view.position != Some(position);
        view.arrived(now, &position);
        view.position = Some(position);
        view.heard = LastContact { answered_at: Some(now), refused_since: None };
        drop(view);
        self.fresh.borrow_mut().confirm(server, position.term, sent);
        if position.role == Role::Primary {
            self.fresh.borrow_mut().observe(position.term, position.received, sent);
            self.begin_term(node, position.term);
        }
        let waited = self.gate.borrow().pending();
        let open = self.gate.borrow_mut().observe(server, position.term, position.received);
        if !open.is_empty() {
            self.stalled.set((waited > open.len()).then_some(now));
        }
        self.settle(open, true);
        if differs {
            self.changed.notify_waiters();
        }
    }

    fn begin_term(&self, node: &Node, term: Term) {
        let broken = self.gate.borrow_mut().begin_term(term);
        if self.gate.borrow().term() == term && self.lost.get().is_some() {
            self.found(node);
        }
        self.settle(broken, false);
    }

    /// A usable primary is there again.
    fn found(&self, node: &Node) {
        if let Some(since) = self.lost.take() {
            let gap = Duration::from_millis(node.now().saturating_sub(since));
            crate::telemetry::failover_gap(gap);
        }
    }

    /// Waits until a majority holds what the primary of a term wrote up to a position.
    pub async fn gated(&self, node: &Node, mark: LogPosition, deadline: Time) -> Gated {
        let verdict = self.gate.borrow_mut().request_ack(mark.term, mark.lsn);
        let ticket = match verdict {
            AckStatus::Ready => return Gated::Open,
            AckStatus::Superseded => return Gated::Broken,
            AckStatus::Pending(it) => it,
        };
        let now = node.now();
        if self.stalled.get().is_none() {
            self.stalled.set(Some(now));
        }
        let (send, receive) = oneshot::channel();
        self.tickets.borrow_mut().push((ticket, send));
        self.wanted.notify_waiters();
        node.count(crate::telemetry::Count::Gated);
        let left = Duration::from_millis(deadline.saturating_sub(now));
        let out = match timeout(left, receive).await {
            Ok(Ok(true)) => Gated::Open,
            Ok(_) => Gated::Broken,
            Err(_) => {
                self.gate.borrow_mut().cancel(ticket);
                self.tickets.borrow_mut().retain(|it| it.0 != ticket);
                Gated::Late
            }
        };
        crate::telemetry::gate_wait(Duration::from_millis(node.now().saturating_sub(now)));
        if self.gate.borrow().pending() == 0 {
            self.stalled.set(None);
        }
        out
    }

    fn settle(&self, tickets: Vec<Ticket>, open: bool) {
        if tickets.is_empty() {
            return;
        }
        let mut all = self.tickets.borrow_mut();
        let (done, rest): (Vec<_>, Vec<_>) = all.drain(..).partition(|it| tickets.contains(&it.0));
        *all = rest;
        drop(all);
        for (_, send) in done {
            let _ = send.send(open);
        }
    }

    /// What routing has to know of the servers.
    pub fn candidates(&self, node: &Node) -> Vec<Candidate> {
        let now = node.now();
        let primary = self.primary();
        let one = |(n, it): (usize, &Server)| {
            let view = it.view.borrow();
            let spec = it.spec.borrow();
            let position = view.position?;
            Some(Candidate {
                server: n,
                zone: spec.zone.clone(),
                is_primary: primary == Some(n),
                accepts_work: !spec.draining && view.heard.refused_since.is_none(),
                last_contact: view.heard.answered_at,
                term: position.term,
                received: position.received,
                applied: position.applied,
                lag: view.lag(now),
                queued: it.pool.load(),
            })
        };
        self.servers.iter().enumerate().filter_map(one).collect()
    }

    /// Gives an order to a server over its control connection.
    pub async fn order(
        &self,
        node: &Rc<Node>,
        server: usize,
        order: Order,
        limit: Duration,
    ) -> Result<Position, EdgeError> {
        node.count(crate::telemetry::Count::ServerOrders);
        let mut control = self.servers[server].control.lock().await;
        // Taken out while in use: an exchange that is cut off must not leave its answer to the next one.
        let mut conn = match control.take() {
            Some(it) if !it.is_stale() => it,
            _ => self.connect(node, server, limit).await?,
        };
        let sent = node.now();
        let before = conn.traffic;
        let answer = conn.send_order(order, limit).await;
        node.counters.add(crate::telemetry::Count::ServerOrderBytes, conn.traffic - before);
        if answer.as_ref().is_ok() || answer.as_ref().is_err_and(EdgeError::is_refusal) {
            *control = Some(conn);
        }
        drop(control);
        let position = answer?;
        if !matches!(order, Order::Entry(_)) {
            self.saw(node, server, position, sent);
        }
        Ok(position)
    }

    /// Opens a connection to a server.
    pub async fn connect(&self, node: &Node, server: usize, limit: Duration) -> Result<Upstream, EdgeError> {
        let (addr, peer) = {
            let spec = self.servers[server].spec.borrow();
            (spec.addr, spec.name.clone())
        };
        let startup = [
            ("user", "pondtrack"),
            ("database", self.group.as_str()),
            ("application_name", node.name.as_str()),
        ];
        node.count(crate::telemetry::Count::UpstreamsOpened);
        let it = Upstream::connect(node.settings.bind, addr, peer, &startup, limit).await;
        let full = matches!(&it, Err(EdgeError::Refused { code, .. }) if code == "53300");
        if full {
            node.count(crate::telemetry::Count::UpstreamsRefused);
        }
        it
    }

    /// What an operator sees of it.
    pub fn status(&self, node: &Node, homes: Vec<Name>) -> GroupStatus {
        let now = node.now();
        let server = |it: &Server| {
            let view = it.view.borrow();
            let spec = it.spec.borrow();
            let heard_ms = view.heard.answered_at.map(|at| now.saturating_sub(at));
            let near = heard_ms.is_some_and(|ms| ms < 3_000) && view.heard.refused_since.is_none();
            let role = match view.position {
                Some(p) if near => p.role.to_string(),
                _ => "unreachable".to_owned(),
            };
            ServerStatus {
                name: spec.name.clone(),
                zone: spec.zone.clone(),
                role,
                term: view.position.map(|p| p.term).unwrap_or_default(),
                received: view.position.map(|p| p.received).unwrap_or_default(),
                applied: view.position.map(|p| p.applied).unwrap_or_default(),
                last_contact_ms: heard_ms,
                connections: it.pool.open(),
                share: it.pool.share(),
                draining: spec.draining,
            }
        };
        GroupStatus {
            name: self.group.clone(),
            version: self.version.get(),
            homes,
            servers: self.servers.iter().map(server).collect(),
            queued: self.servers.iter().map(|it| it.pool.queued() as u32).sum(),
            grants: self.grants.borrow().remaining() as u32,
        }
    }

    /// Transactions open on the primary, or requests running there.
    pub fn busy(&self) -> u32 {
        self.primary().map_or(0, |n| self.servers[n].pool.running() as u32)
    }

    /// Takes a stream's transaction, if it has one, and marks the stream as running.
    pub fn enter(&self, id: &StreamId) -> (Option<Box<Pinned>>, Rc<Notify>) {
        let cancel = Rc::new(Notify::new());
        let mut streams = self.streams.borrow_mut();
        let at = streams.iter().position(|it| it.0 == *id);
        let before = at.map(|at| streams.swap_remove(at).1);
        streams.push((id.clone(), Slot::Running(cancel.clone())));
        match before {
            Some(Slot::Pinned(it)) => (Some(it), cancel),
            _ => (None, cancel),
        }
    }

    /// A stream's batch has ended; its transaction, if it goes on, is kept.
    ///
    /// Hands the transaction back when the stream was closed meanwhile.
    pub fn leave(&self, id: &StreamId, pinned: Option<Box<Pinned>>) -> Option<Box<Pinned>> {
        let mut streams = self.streams.borrow_mut();
        let Some(at) = streams.iter().position(|it| it.0 == *id) else { return pinned };
        streams.swap_remove(at);
        if let Some(it) = pinned {
            streams.push((id.clone(), Slot::Pinned(it)));
        }
        drop(streams);
        self.changed.notify_waiters();
        None
    }

    /// Closes a stream: its transaction is rolled back, what runs is cancelled.
    pub fn close_stream(&self, id: &StreamId) {
        let mut streams = self.streams.borrow_mut();
        let Some(at) = streams.iter().position(|it| it.0 == *id) else { return };
        let (_, slot) = streams.swap_remove(at);
        drop(streams);
        match slot {
            // The connection is dropped with its transaction, which the server rolls back.
            Slot::Pinned(it) => drop(it),
            Slot::Running(cancel) => cancel.notify_one(),
        }
        self.changed.notify_waiters();
    }

    /// Cancels what a stream runs.
    pub fn cancel(&self, id: &StreamId) {
        let streams = self.streams.borrow();
        if let Some((_, Slot::Running(cancel))) = streams.iter().find(|it| it.0 == *id) {
            cancel.notify_one();
        }
    }

    /// Closes all streams of an instance that is gone.
    pub fn close_origin(&self, origin: &Name) {
        let ids: Vec<StreamId> =
            self.streams.borrow().iter().filter(|it| it.0.0 == *origin).map(|it| it.0.clone()).collect();
        for it in ids {
            self.close_stream(&it);
        }
    }
}

//! A group at one of its home instances: its servers, connections, commit gate and failover.
//!
//! | module | contents |
//! | --- | --- |
//! | [`exec`] | execution of a request, from arrival to answer |
//! | [`request_ledger`] | ledger of request keys, for requests that run at most once |
//! | [`pool`] | connection pool of one server |
//! | [`monitor`] | monitoring of one server |
//! | [`barrier`] | queries to a majority for the current log position |
//! | [`failover`] | failure detection, fencing, promotion and rejoining |

pub mod barrier;
pub mod exec;
pub mod failover;
pub mod monitor;
pub mod pool;
pub mod request_ledger;

use {
    crate::node::Node,
    barrier::Barrier,
    exec::PinnedTxn,
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

/// Time limit of an order to a server.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of arrival times kept per server, from which the replica lag is calculated.
const MAX_ARRIVALS: usize = 512;

/// Last known state of a server at a home.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Last reported position.
    pub position: Option<Position>,
    /// Times of the last answer and of the first refused connection since then.
    pub last_contact: LastContact,
    /// Ends of the log and the times at which they were first seen, oldest first.
    arrivals: VecDeque<(Time, Lsn)>,
}

impl View {
    /// Returns the time by which the applied position lags behind the received log, in milliseconds; `u64::MAX` if no
    /// position is known.
    pub fn lag(&self, now: Time) -> u64 {
        let Some(position) = &self.position else { return u64::MAX };
        let pending = self.arrivals.iter().find(|a| a.1 > position.applied);
        pending.map_or(0, |a| now.saturating_sub(a.0))
    }

    /// Returns true if the server has answered within the last `limit` milliseconds and doesn't refuse connections.
    pub fn is_reachable(&self, now: Time, limit: u64) -> bool {
        let recent = self.last_contact.answered_at.is_some_and(|at| now.saturating_sub(at) < limit);
        recent && self.last_contact.refused_since.is_none()
    }

    /// Records the arrival of the end of a log, and drops the entries that the server has applied.
    fn record_arrival(&mut self, now: Time, position: &Position) {
        let end = position.received.lsn;
        while self.arrivals.front().is_some_and(|a| a.1 <= position.applied) {
            self.arrivals.pop_front();
        }
        if self.arrivals.back().is_none_or(|a| a.1 < end) && self.arrivals.len() < MAX_ARRIVALS {
            self.arrivals.push_back((now, end));
        }
    }
}

/// One server of a group at a home.
pub struct Server {
    /// Configuration of the server; only the draining flag changes.
    pub spec: RefCell<ServerSpec>,
    /// Last known state.
    pub view: RefCell<View>,
    /// Connections for the requests of callers.
    pub pool: Rc<Pool>,
    /// Control connection, which carries the orders.
    pub control: Mutex<Option<Upstream>>,
}

impl Server {
    /// Returns the last known position and the time of the last answer.
    fn last_report(&self) -> (Option<Position>, Option<Time>) {
        let view = self.view.borrow();
        (view.position, view.last_contact.answered_at)
    }
}

/// A group at one of its homes.
pub struct Home {
    /// Name of the group.
    pub group: Name,
    /// Configuration of the group.
    pub spec: RefCell<Rc<GroupSpec>>,
    /// Version of the configuration.
    pub version: Cell<u64>,
    /// Rank of this instance among the homes, from 0.
    pub rank: Cell<usize>,
    /// Number of homes.
    pub count: Cell<usize>,
    /// Servers, in the order of the configuration.
    pub servers: Vec<Server>,
    /// Commit gate, which delays acknowledgements until a majority holds the commit.
    pub gate: RefCell<CommitGate>,
    /// Time since which commits have waited at the gate without progress.
    pub stalled_since: Cell<Option<Time>>,
    /// Staleness of the replicas.
    pub freshness: RefCell<Freshness>,
    /// Failure detector of the primary.
    pub detector: RefCell<FailureDetector>,
    /// Terms reserved in advance.
    pub term_pool: RefCell<TermPool>,
    /// True while a block of terms is being requested.
    pub refilling: Cell<bool>,
    /// Budget of retries.
    pub retry_budget: RefCell<RetryBudget>,
    /// Deadline until which work for the primary is paused for a planned failover.
    pub paused_until: Cell<Option<Time>>,
    /// True while this home runs a failover.
    pub in_failover: Cell<bool>,
    /// Time since which there has been no usable primary.
    pub primary_lost_at: Cell<Option<Time>>,
    /// Barrier of the sessions that need the current log position.
    pub barrier: Barrier,
    /// True if this instance is no longer a home of the group; no new work is accepted.
    pub closing: Cell<bool>,
    /// Notified when the state above has changed.
    pub changed: Notify,
    /// Notified when an acknowledgement begins to wait, so that the monitors poll the servers without delay.
    pub ack_requested: Notify,
    tickets: RefCell<Vec<(Ticket, oneshot::Sender<bool>)>>,
    streams: RefCell<Vec<(StreamId, StreamState)>>,
}

/// Identity of a session's stream: its origin (this instance, or a connection from another one) and its number there.
pub type StreamId = (Name, u64);

/// State of a stream at the home.
enum StreamState {
    /// A transaction between two batches.
    Pinned(Box<PinnedTxn>),
    /// A batch is running; the notification cancels the batch.
    Running(Rc<Notify>),
}

/// Outcome of waiting for a majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AckOutcome {
    /// A majority holds the entry.
    Committed,
    /// The term of the entry has ended.
    Superseded,
    /// The deadline has passed.
    TimedOut,
}

impl Home {
    /// Creates a home without starting its tasks.
    pub fn new(node: &Node, spec: Rc<GroupSpec>, version: u64) -> Rc<Home> {
        let n = spec.servers.len();
        let server = |s: &ServerSpec| Server {
            spec: RefCell::new(s.clone()),
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
            stalled_since: Cell::default(),
            freshness: RefCell::new(Freshness::new(n, spec.majority())),
            detector: RefCell::new(FailureDetector::new(node.settings.detect(), node.now())),
            term_pool: RefCell::default(),
            refilling: Cell::default(),
            retry_budget: RefCell::default(),
            paused_until: Cell::default(),
            in_failover: Cell::default(),
            primary_lost_at: Cell::default(),
            barrier: Barrier::default(),
            closing: Cell::default(),
            changed: Notify::new(),
            ack_requested: Notify::new(),
            tickets: RefCell::default(),
            streams: RefCell::default(),
            spec: RefCell::new(spec),
        })
    }

    /// Applies a new configuration and rank.
    pub fn configure(&self, node: &Node, spec: Rc<GroupSpec>, version: u64, rank: usize, count: usize) {
        for (server, new) in self.servers.iter().zip(&spec.servers) {
            *server.spec.borrow_mut() = new.clone();
            let share = placement::connection_share(spec.limit, count, rank);
            server.pool.resize(node, share, new.draining);
        }
        *self.spec.borrow_mut() = spec;
        self.version.set(version);
        self.rank.set(rank);
        self.count.set(count);
        self.closing.set(false);
        self.changed.notify_waiters();
    }

    /// Stops accepting work; running requests finish.
    pub fn close(&self, node: &Node) {
        self.closing.set(true);
        for s in &self.servers {
            s.pool.resize(node, s.pool.share(), true);
        }
        self.changed.notify_waiters();
    }

    /// Returns true if the home is closing and no streams are left.
    pub fn is_drained(&self) -> bool {
        self.closing.get() && self.streams.borrow().is_empty()
    }

    /// Returns the highest term reported by any server.
    pub fn term(&self) -> Term {
        let terms = self.servers.iter().filter_map(|s| s.view.borrow().position.map(|p| p.term));
        terms.max().unwrap_or_default()
    }

    /// Returns the index of the primary; none if a majority is known to have a higher term.
    pub fn primary(&self) -> Option<usize> {
        let position = |n: usize| self.servers[n].view.borrow().position;
        let all = 0..self.servers.len();
        let is_primary = |n: &usize| position(*n).is_some_and(|p| p.role == Role::Primary);
        let primary = all.clone().filter(is_primary).max_by_key(|n| position(*n).map(|p| p.term))?;
        let term = position(primary)?.term;
        let higher = all.filter(|n| position(*n).is_some_and(|p| p.term > term)).count();
        (higher < self.spec.borrow().majority()).then_some(primary)
    }

    /// Returns true if the primary has answered recently.
    pub fn is_primary_reachable(&self, node: &Node) -> bool {
        let limit = monitor::max_silence_ms(node, self, true);
        self.primary().is_some_and(|n| self.servers[n].view.borrow().is_reachable(node.now(), limit))
    }

    /// Waits for a primary that accepts work; returns none after the deadline.
    pub async fn wait_primary(&self, node: &Node, deadline: Time) -> Option<usize> {
        loop {
            let changed = self.changed.notified();
            let now = node.now();
            let paused = self.paused_until.get().is_some_and(|until| until > now);
            if let Some(primary) = self.primary().filter(|_| !paused && !self.in_failover.get())
                && self.is_primary_reachable(node)
            {
                return Some(primary);
            }
            let mut left = deadline.saturating_sub(now);
            if left == 0 {
                return None;
            }
            if let Some(until) = self.paused_until.get().filter(|_| paused) {
                left = left.min(until - now);
            }
            // A primary stops being reachable by the passing of time alone, without a notification, so poll as well.
            let _ = timeout(Duration::from_millis(left.min(50)), changed).await;
        }
    }

    /// Records the position that a server reported in its answer to an order sent at `sent`.
    pub fn observe(&self, node: &Node, server: usize, position: Position, sent: Time) {
        let now = node.now();
        let mut view = self.servers[server].view.borrow_mut();
        // An answer of an older term was overtaken by a later one and is out of date.
        let known_term = view.position.map_or(Term(0), |p| p.term);
        if position.term < known_term {
            return;
        }
        let is_changed = view.position != Some(position);
        view.record_arrival(now, &position);
        view.position = Some(position);
        view.last_contact = LastContact { answered_at: Some(now), refused_since: None };
        drop(view);
        self.freshness.borrow_mut().confirm(server, position.term, sent);
        if position.role == Role::Primary {
            self.freshness.borrow_mut().observe(position.term, position.received, sent);
            self.begin_term(node, position.term);
        }
        let pending = self.gate.borrow().pending();
        let acknowledged = self.gate.borrow_mut().observe(server, position.term, position.received);
        if !acknowledged.is_empty() {
            self.stalled_since.set((pending > acknowledged.len()).then_some(now));
        }
        self.resolve_tickets(acknowledged, true);
        if is_changed {
            self.changed.notify_waiters();
        }
    }

    /// Begins a term at the gate, and fails the acknowledgements of earlier terms.
    fn begin_term(&self, node: &Node, term: Term) {
        let superseded = self.gate.borrow_mut().begin_term(term);
        if self.gate.borrow().term() == term && self.primary_lost_at.get().is_some() {
            self.record_recovery(node);
        }
        self.resolve_tickets(superseded, false);
    }

    /// Records that the group has a usable primary again, and the duration of the gap.
    fn record_recovery(&self, node: &Node) {
        if let Some(since) = self.primary_lost_at.take() {
            let gap = Duration::from_millis(node.now().saturating_sub(since));
            crate::telemetry::failover_gap(gap);
        }
    }

    /// Waits until a majority holds the log of the primary of a term up to `mark`.
    pub async fn wait_for_quorum(&self, node: &Node, mark: LogPosition, deadline: Time) -> AckOutcome {
        let status = self.gate.borrow_mut().request_ack(mark.term, mark.lsn);
        let ticket = match status {
            AckStatus::Ready => return AckOutcome::Committed,
            AckStatus::Superseded => return AckOutcome::Superseded,
            AckStatus::Pending(ticket) => ticket,
        };
        let now = node.now();
        if self.stalled_since.get().is_none() {
            self.stalled_since.set(Some(now));
        }
        let (send, receive) = oneshot::channel();
        self.tickets.borrow_mut().push((ticket, send));
        self.ack_requested.notify_waiters();
        node.count(crate::telemetry::Count::Gated);
        let left = Duration::from_millis(deadline.saturating_sub(now));
        let outcome = match timeout(left, receive).await {
            Ok(Ok(true)) => AckOutcome::Committed,
            Ok(_) => AckOutcome::Superseded,
            Err(_) => {
                self.gate.borrow_mut().cancel(ticket);
                self.tickets.borrow_mut().retain(|t| t.0 != ticket);
                AckOutcome::TimedOut
            }
        };
        crate::telemetry::gate_wait(Duration::from_millis(node.now().saturating_sub(now)));
        if self.gate.borrow().pending() == 0 {
            self.stalled_since.set(None);
        }
        outcome
    }

    /// Ends the waits of tickets, with the information whether a majority holds their entries.
    fn resolve_tickets(&self, tickets: Vec<Ticket>, committed: bool) {
        if tickets.is_empty() {
            return;
        }
        let mut all = self.tickets.borrow_mut();
        let (done, rest): (Vec<_>, Vec<_>) = all.drain(..).partition(|t| tickets.contains(&t.0));
        *all = rest;
        drop(all);
        for (_, send) in done {
            let _ = send.send(committed);
        }
    }

    /// Returns the candidates for routing; servers without a known position are left out.
    pub fn candidates(&self, node: &Node) -> Vec<Candidate> {
        let now = node.now();
        let primary = self.primary();
        let candidate = |(n, server): (usize, &Server)| {
            let view = server.view.borrow();
            let spec = server.spec.borrow();
            let position = view.position?;
            Some(Candidate {
                server: n,
                zone: spec.zone.clone(),
                is_primary: primary == Some(n),
                accepts_work: !spec.draining && view.last_contact.refused_since.is_none(),
                last_contact: view.last_contact.answered_at,
                term: position.term,
                received: position.received,
                applied: position.applied,
                lag: view.lag(now),
                queued: server.pool.load(),
            })
        };
        self.servers.iter().enumerate().filter_map(candidate).collect()
    }

    /// Sends an order to a server over its control connection, and returns the position that the server reports.
    pub async fn order(
        &self,
        node: &Rc<Node>,
        server: usize,
        order: Order,
        limit: Duration,
    ) -> Result<Position, EdgeError> {
        node.count(crate::telemetry::Count::ServerOrders);
        let mut control = self.servers[server].control.lock().await;
        // Taken out of its place while in use: the answer of a cancelled exchange must not be read by the next one.
        let mut conn = match control.take() {
            Some(conn) if !conn.is_stale() => conn,
            _ => self.connect(node, server, limit).await?,
        };
        let sent = node.now();
        let traffic_before = conn.traffic;
        let answer = conn.send_order(order, limit).await;
        node.counters.add(crate::telemetry::Count::ServerOrderBytes, conn.traffic - traffic_before);
        if answer.as_ref().is_ok() || answer.as_ref().is_err_and(EdgeError::is_refusal) {
            *control = Some(conn);
        }
        drop(control);
        let position = answer?;
        if !matches!(order, Order::Entry(_)) {
            self.observe(node, server, position, sent);
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
        let result = Upstream::connect(node.settings.bind, addr, peer, &startup, limit).await;
        let is_full = matches!(&result, Err(EdgeError::Refused { code, .. }) if code == "53300");
        if is_full {
            node.count(crate::telemetry::Count::UpstreamsRefused);
        }
        result
    }

    /// Returns the status of the group for operators.
    pub fn status(&self, node: &Node, homes: Vec<Name>) -> GroupStatus {
        let now = node.now();
        let server = |s: &Server| {
            let view = s.view.borrow();
            let spec = s.spec.borrow();
            let last_contact_ms = view.last_contact.answered_at.map(|at| now.saturating_sub(at));
            let reachable =
                last_contact_ms.is_some_and(|ms| ms < 3_000) && view.last_contact.refused_since.is_none();
            let role = match view.position {
                Some(p) if reachable => p.role.to_string(),
                _ => "unreachable".to_owned(),
            };
            ServerStatus {
                name: spec.name.clone(),
                zone: spec.zone.clone(),
                role,
                term: view.position.map(|p| p.term).unwrap_or_default(),
                received: view.position.map(|p| p.received).unwrap_or_default(),
                applied: view.position.map(|p| p.applied).unwrap_or_default(),
                last_contact_ms,
                connections: s.pool.open(),
                share: s.pool.share(),
                draining: spec.draining,
            }
        };
        GroupStatus {
            name: self.group.clone(),
            version: self.version.get(),
            homes,
            servers: self.servers.iter().map(server).collect(),
            queued: self.servers.iter().map(|s| s.pool.queued() as u32).sum(),
            grants: self.term_pool.borrow().remaining() as u32,
        }
    }

    /// Returns the number of requests and open transactions at the primary.
    pub fn running(&self) -> u32 {
        self.primary().map_or(0, |n| self.servers[n].pool.running() as u32)
    }

    /// Marks a stream as running. Returns its open transaction, if any, and the notification that cancels the batch.
    pub fn begin_batch(&self, id: &StreamId) -> (Option<Box<PinnedTxn>>, Rc<Notify>) {
        let cancel = Rc::new(Notify::new());
        let mut streams = self.streams.borrow_mut();
        let at = streams.iter().position(|s| s.0 == *id);
        let before = at.map(|at| streams.swap_remove(at).1);
        streams.push((id.clone(), StreamState::Running(cancel.clone())));
        match before {
            Some(StreamState::Pinned(txn)) => (Some(txn), cancel),
            _ => (None, cancel),
        }
    }

    /// Ends a stream's batch and keeps its transaction, if one is still open.
    ///
    /// Returns the transaction if the stream has been closed in the meantime.
    pub fn end_batch(&self, id: &StreamId, pinned: Option<Box<PinnedTxn>>) -> Option<Box<PinnedTxn>> {
        let mut streams = self.streams.borrow_mut();
        let Some(at) = streams.iter().position(|s| s.0 == *id) else { return pinned };
        streams.swap_remove(at);
        if let Some(txn) = pinned {
            streams.push((id.clone(), StreamState::Pinned(txn)));
        }
        drop(streams);
        self.changed.notify_waiters();
        None
    }

    /// Closes a stream: rolls back its transaction, or cancels its running batch.
    pub fn close_stream(&self, id: &StreamId) {
        let mut streams = self.streams.borrow_mut();
        let Some(at) = streams.iter().position(|s| s.0 == *id) else { return };
        let (_, state) = streams.swap_remove(at);
        drop(streams);
        match state {
            // The server rolls the transaction back when its connection is closed.
            StreamState::Pinned(txn) => drop(txn),
            StreamState::Running(cancel) => cancel.notify_one(),
        }
        self.changed.notify_waiters();
    }

    /// Cancels the running batch of a stream.
    pub fn cancel(&self, id: &StreamId) {
        let streams = self.streams.borrow();
        if let Some((_, StreamState::Running(cancel))) = streams.iter().find(|s| s.0 == *id) {
            cancel.notify_one();
        }
    }

    /// Closes all streams of an origin whose connection was lost.
    pub fn close_streams_of(&self, origin: &Name) {
        let ids: Vec<StreamId> =
            self.streams.borrow().iter().filter(|s| s.0.0 == *origin).map(|s| s.0.clone()).collect();
        for id in ids {
            self.close_stream(&id);
        }
    }
}

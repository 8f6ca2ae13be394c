//! Connections to one server, shared by all callers of a home.
//!
//! A connection belongs to one request, or to one transaction, at a time. It goes back only when the
//! server said that no transaction is open; in every other case it is closed.

use {
    super::{Home, monitor},
    crate::{node::Node, telemetry::Count},
    pondtrack_core::{
        Time,
        admission::{Admission, AdmissionConfig, AdmissionQueue, Dequeued},
        lifecycle::{self, ConnEvent, ConnState},
        retry::Backoff,
    },
    pondtrack_edge::{EdgeError, Upstream, contract::Position},
    pondtrack_proto::Name,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::oneshot,
        time::{sleep, timeout},
    },
};

/// When to come back after a wait that was too long, in milliseconds.
const LATE_RETRY_MS: u32 = 50;
/// Time to open a connection.
const OPEN_LIMIT: Duration = Duration::from_millis(500);

/// The connections to one server.
pub struct Pool {
    admission: RefCell<AdmissionQueue>,
    waiting: RefCell<Vec<(u64, oneshot::Sender<bool>)>>,
    idle: RefCell<Vec<Upstream>>,
    lent: Cell<u32>,
    share: Cell<u32>,
    closing: Cell<bool>,
}

/// Why no connection can be had.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolError {
    /// Why.
    pub reason: Name,
    /// When to come back, in milliseconds.
    pub retry_ms: u32,
    /// Whether admission refused, rather than the server.
    pub overload: bool,
}

/// A slot of the pool; given back when dropped.
struct Slot {
    pool: Rc<Pool>,
    node: Rc<Node>,
    since: Time,
    begins: bool,
    sampled: bool,
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.node.now();
        let took = self.sampled.then(|| now.saturating_sub(self.since));
        let next = self.pool.admission.borrow_mut().complete(now, took, self.begins);
        self.pool.wake(next);
    }
}

/// A connection lent to a request or a transaction.
pub struct PooledConn {
    /// The server, by its place in the group.
    pub server: usize,
    /// The server's position after the last batch of the transaction, as its primary.
    pub known: Option<Position>,
    conn: Option<Upstream>,
    state: ConnState,
    slot: Slot,
}

impl PooledConn {
    /// The connection.
    pub fn conn(&mut self) -> &mut Upstream {
        self.conn.as_mut().expect("a lease holds its connection until it ends")
    }

    /// The batch ended inside a transaction.
    pub fn pin(&mut self) {
        self.slot.sampled = false;
        self.apply(ConnEvent::Pin);
    }

    /// The next batch of the transaction begins.
    pub fn resume(&mut self) {
        self.apply(ConnEvent::Lend);
    }

    /// The batch ended outside a transaction: the connection goes back.
    pub fn release(mut self) {
        self.apply(ConnEvent::Clean);
        let pool = self.slot.pool.clone();
        let fits = pool.idle.borrow().len() as u32 + pool.lent.get() <= pool.share.get();
        if self.state == ConnState::Free && !pool.closing.get() && fits {
            pool.idle.borrow_mut().extend(self.conn.take());
        }
    }

    fn apply(&mut self, event: ConnEvent) {
        match lifecycle::connection_chart().next(self.state, event) {
            Ok(next) => self.state = next,
            Err(e) => log::error!(step = "connection"; "{e}"),
        }
    }
}

impl Drop for PooledConn {
    fn drop(&mut self) {
        let pool = &self.slot.pool;
        pool.lent.set(pool.lent.get().saturating_sub(1));
    }
}

impl Pool {
    /// An empty pool without a share.
    pub fn new() -> Rc<Pool> {
        Rc::new(Pool {
            admission: RefCell::new(AdmissionQueue::new(AdmissionConfig::default(), 1)),
            waiting: RefCell::default(),
            idle: RefCell::default(),
            lent: Cell::default(),
            share: Cell::new(1),
            closing: Cell::default(),
        })
    }

    /// Changes the share; a pool that closes keeps no connections.
    pub fn resize(&self, node: &Node, share: u32, closing: bool) {
        self.share.set(share);
        self.closing.set(closing);
        let keep = if closing { 0 } else { share.saturating_sub(self.lent.get()) };
        self.idle.borrow_mut().truncate(keep as usize);
        self.admission.borrow_mut().resize(share as usize);
        let next = self.admission.borrow_mut().dispatch(node.now());
        self.wake(next);
    }

    /// Connections open.
    pub fn open(&self) -> u32 {
        self.lent.get() + self.idle.borrow().len() as u32
    }

    /// Connections allowed.
    pub fn share(&self) -> u32 {
        self.share.get()
    }

    /// Requests and transactions that hold a slot.
    pub fn running(&self) -> usize {
        self.admission.borrow().running()
    }

    /// Requests waiting.
    pub fn queued(&self) -> usize {
        self.admission.borrow().queued()
    }

    /// Requests running or waiting.
    pub fn load(&self) -> usize {
        let it = self.admission.borrow();
        it.running() + it.queued()
    }

    /// Closes idle connections, as after the server was lost.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Lends a connection to a caller's request.
    pub async fn acquire(
        self: &Rc<Pool>,
        node: &Rc<Node>,
        home: &Home,
        server: usize,
        caller: &Name,
        deadline: Time,
        begins: bool,
    ) -> Result<PooledConn, PoolError> {
        let slot = self.admit(node, caller, deadline, begins).await?;
        let conn = self.open_conn(node, home, server, deadline).await?;
        self.lent.set(self.lent.get() + 1);
        let mut lease = PooledConn { server, known: None, conn: Some(conn), state: ConnState::Free, slot };
        lease.apply(ConnEvent::Lend);
        Ok(lease)
    }

    async fn admit(
        self: &Rc<Pool>,
        node: &Rc<Node>,
        caller: &Name,
        deadline: Time,
        begins: bool,
    ) -> Result<Slot, PoolError> {
        let now = node.now();
        let overload = |retry_ms| {
            node.count(Count::Refused);
            let reason = "all connections to the database are taken".into();
            PoolError { reason, retry_ms, overload: true }
        };
        let slot = |since| Slot { pool: self.clone(), node: node.clone(), since, begins, sampled: true };
        let ticket = match self.admission.borrow_mut().submit(now, caller, deadline, begins) {
            Admission::Admitted => return Ok(slot(now)),
            Admission::Rejected { retry_ms } => return Err(overload(retry_ms)),
            Admission::Queued(it) => it,
        };
        let (send, receive) = oneshot::channel();
        self.waiting.borrow_mut().push((ticket, send));
        let mut guard = Waiting { pool: self, ticket: Some(ticket) };
        let left = Duration::from_millis(deadline.saturating_sub(now));
        let woken = timeout(left, receive).await;
        match woken {
            Ok(Ok(true)) => {
                guard.ticket = None;
                Ok(slot(node.now()))
            }
            _ => Err(overload(LATE_RETRY_MS)),
        }
    }

    async fn open_conn(
        &self,
        node: &Rc<Node>,
        home: &Home,
        server: usize,
        deadline: Time,
    ) -> Result<Upstream, PoolError> {
        loop {
            let Some(it) = self.idle.borrow_mut().pop() else { break };
            if !it.is_stale() {
                return Ok(it);
            }
        }
        let mut backoff = Backoff::new(10, 80);
        loop {
            match home.connect(node, server, OPEN_LIMIT).await {
                Ok(it) => return Ok(it),
                Err(EdgeError::Refused { code, .. }) if code == "53300" && node.now() < deadline => {
                    // Another home has not let go of its connections yet; they come free shortly.
                    let wait = node.with_rng(|rng| backoff.next_delay(rng));
                    sleep(Duration::from_millis(wait)).await;
                }
                Err(e) => {
                    monitor::record_connect_error(node, home, server, &e);
                    let overload = false;
                    return Err(PoolError { reason: e.to_string().into(), retry_ms: 100, overload });
                }
            }
        }
    }

    fn wake(&self, turns: Vec<Dequeued>) {
        for it in turns {
            let mut waiting = self.waiting.borrow_mut();
            let found = waiting.iter().position(|w| w.0 == it.ticket);
            if let Some(at) = found {
                let (_, send) = waiting.swap_remove(at);
                let _ = send.send(it.admitted);
            }
        }
    }
}

/// Leaves the queue when its request is given up.
struct Waiting<'a> {
    pool: &'a Pool,
    ticket: Option<u64>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(it) = self.ticket {
            self.pool.waiting.borrow_mut().retain(|w| w.0 != it);
            self.pool.admission.borrow_mut().cancel(it);
        }
    }
}

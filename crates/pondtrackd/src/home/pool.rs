//! Connection pool of one server, shared by all callers of a home.
//!
//! A connection serves one request or one transaction at a time. A connection returns to the pool only if the server
//! reports that no transaction is open; otherwise the connection is closed.

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

/// Delay before a retry by the caller after the wait for a connection timed out, in milliseconds.
const TIMEOUT_RETRY_MS: u32 = 50;
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Connection pool of one server.
pub struct Pool {
    admission: RefCell<AdmissionQueue>,
    waiters: RefCell<Vec<(u64, oneshot::Sender<bool>)>>,
    idle: RefCell<Vec<Upstream>>,
    /// Number of connections in use.
    active: Cell<u32>,
    share: Cell<u32>,
    closing: Cell<bool>,
}

/// Reason for which no connection was acquired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolError {
    /// Reason, as reported to the caller.
    pub reason: Name,
    /// Delay before a retry by the caller, in milliseconds.
    pub retry_ms: u32,
    /// True if admission rejected the request, false if the connection to the server failed.
    pub overload: bool,
}

/// Permit to use a connection of the pool; released when dropped.
struct Permit {
    pool: Rc<Pool>,
    node: Rc<Node>,
    /// Time of admission.
    since: Time,
    /// True if the request begins a transaction.
    begins: bool,
    /// True if the service time is reported to admission; it isn't for transactions, which wait for their callers.
    sampled: bool,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.node.now();
        let service_time = self.sampled.then(|| now.saturating_sub(self.since));
        let next = self.pool.admission.borrow_mut().complete(now, service_time, self.begins);
        self.pool.notify(next);
    }
}

/// Connection of the pool in use by a request or a transaction.
pub struct PooledConn {
    /// Index of the server in the group.
    pub server: usize,
    /// Position of the server after the last batch, if the server was the primary.
    pub last_position: Option<Position>,
    conn: Option<Upstream>,
    state: ConnState,
    permit: Permit,
}

impl PooledConn {
    /// Returns the connection to the server.
    pub fn upstream(&mut self) -> &mut Upstream {
        self.conn.as_mut().expect("a pooled connection is open until its release")
    }

    /// Pins the connection to the transaction that the batch left open.
    pub fn pin(&mut self) {
        self.permit.sampled = false;
        self.apply(ConnEvent::Pin);
    }

    /// Begins the next batch of the transaction.
    pub fn resume(&mut self) {
        self.apply(ConnEvent::Lend);
    }

    /// Returns the connection to the pool after a batch that left no transaction open, or closes the connection if the
    /// pool has no room for it.
    pub fn release(mut self) {
        self.apply(ConnEvent::Clean);
        let pool = self.permit.pool.clone();
        let has_room = pool.idle.borrow().len() as u32 + pool.active.get() <= pool.share.get();
        if self.state == ConnState::Free && !pool.closing.get() && has_room {
            pool.idle.borrow_mut().extend(self.conn.take());
        }
    }

    /// Applies an event to the state of the connection.
    fn apply(&mut self, event: ConnEvent) {
        match lifecycle::connection_chart().next(self.state, event) {
            Ok(next) => self.state = next,
            Err(e) => log::error!(step = "connection"; "{e}"),
        }
    }
}

impl Drop for PooledConn {
    fn drop(&mut self) {
        let pool = &self.permit.pool;
        pool.active.set(pool.active.get().saturating_sub(1));
    }
}

impl Pool {
    /// Creates an empty pool with a share of one connection.
    pub fn new() -> Rc<Pool> {
        Rc::new(Pool {
            admission: RefCell::new(AdmissionQueue::new(AdmissionConfig::default(), 1)),
            waiters: RefCell::default(),
            idle: RefCell::default(),
            active: Cell::default(),
            share: Cell::new(1),
            closing: Cell::default(),
        })
    }

    /// Changes the share; a closing pool closes its idle connections.
    pub fn resize(&self, node: &Node, share: u32, closing: bool) {
        self.share.set(share);
        self.closing.set(closing);
        let keep = if closing { 0 } else { share.saturating_sub(self.active.get()) };
        self.idle.borrow_mut().truncate(keep as usize);
        self.admission.borrow_mut().resize(share as usize);
        let next = self.admission.borrow_mut().dispatch(node.now());
        self.notify(next);
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> u32 {
        self.active.get() + self.idle.borrow().len() as u32
    }

    /// Returns the maximum number of connections.
    pub fn share(&self) -> u32 {
        self.share.get()
    }

    /// Returns the number of requests and transactions that hold a permit.
    pub fn running(&self) -> usize {
        self.admission.borrow().running()
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.admission.borrow().queued()
    }

    /// Returns the number of running and queued requests.
    pub fn load(&self) -> usize {
        let admission = self.admission.borrow();
        admission.running() + admission.queued()
    }

    /// Closes the idle connections, as after the loss of the server.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Acquires a connection for a caller's request; `begins` is true if the request begins a transaction.
    ///
    /// # Errors
    ///
    /// [`PoolError`] if admission rejects the request, the deadline passes in the queue, or no connection can be
    /// opened.
    pub async fn acquire(
        self: &Rc<Pool>,
        node: &Rc<Node>,
        home: &Home,
        server: usize,
        caller: &Name,
        deadline: Time,
        begins: bool,
    ) -> Result<PooledConn, PoolError> {
        let permit = self.admit(node, caller, deadline, begins).await?;
        let upstream = self.open_conn(node, home, server, deadline).await?;
        self.active.set(self.active.get() + 1);
        let mut conn =
            PooledConn { server, last_position: None, conn: Some(upstream), state: ConnState::Free, permit };
        conn.apply(ConnEvent::Lend);
        Ok(conn)
    }

    /// Waits for admission.
    async fn admit(
        self: &Rc<Pool>,
        node: &Rc<Node>,
        caller: &Name,
        deadline: Time,
        begins: bool,
    ) -> Result<Permit, PoolError> {
        let now = node.now();
        let overload = |retry_ms| {
            node.count(Count::Refused);
            let reason = "all connections to the database are taken".into();
            PoolError { reason, retry_ms, overload: true }
        };
        let permit = |since| Permit { pool: self.clone(), node: node.clone(), since, begins, sampled: true };
        let ticket = match self.admission.borrow_mut().submit(now, caller, deadline, begins) {
            Admission::Admitted => return Ok(permit(now)),
            Admission::Rejected { retry_ms } => return Err(overload(retry_ms)),
            Admission::Queued(ticket) => ticket,
        };
        let (send, receive) = oneshot::channel();
        self.waiters.borrow_mut().push((ticket, send));
        let mut guard = QueueGuard { pool: self, ticket: Some(ticket) };
        let left = Duration::from_millis(deadline.saturating_sub(now));
        let admitted = timeout(left, receive).await;
        match admitted {
            Ok(Ok(true)) => {
                guard.ticket = None;
                Ok(permit(node.now()))
            }
            _ => Err(overload(TIMEOUT_RETRY_MS)),
        }
    }

    /// Returns an idle connection, or opens one.
    async fn open_conn(
        &self,
        node: &Rc<Node>,
        home: &Home,
        server: usize,
        deadline: Time,
    ) -> Result<Upstream, PoolError> {
        loop {
            let Some(conn) = self.idle.borrow_mut().pop() else { break };
            if !conn.is_stale() {
                return Ok(conn);
            }
        }
        let mut backoff = Backoff::new(10, 80);
        loop {
            match home.connect(node, server, CONNECT_TIMEOUT).await {
                Ok(conn) => return Ok(conn),
                Err(EdgeError::Refused { code, .. }) if code == "53300" && node.now() < deadline => {
                    // The server has no free slot until another home has closed its excess connections, which it does
                    // shortly.
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

    /// Notifies the waiters of dequeued requests.
    fn notify(&self, dequeued: Vec<Dequeued>) {
        for d in dequeued {
            let mut waiters = self.waiters.borrow_mut();
            let index = waiters.iter().position(|w| w.0 == d.ticket);
            if let Some(at) = index {
                let (_, send) = waiters.swap_remove(at);
                let _ = send.send(d.admitted);
            }
        }
    }
}

/// Removes a request from the queue if it is cancelled while waiting.
struct QueueGuard<'a> {
    pool: &'a Pool,
    ticket: Option<u64>,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.pool.waiters.borrow_mut().retain(|w| w.0 != ticket);
            self.pool.admission.borrow_mut().cancel(ticket);
        }
    }
}

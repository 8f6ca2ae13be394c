//! Pool of an instance's connections to a server.
//!
//! Connections are scarce: the instances divide the server's connection limit among them. A connection is used by one
//! statement or transaction at a time, and belongs to one [`Owner`] for its whole life. Waiters are served by priority, then
//! in order of arrival. If all idle connections belong to other owners, the one that has been idle for the longest is closed
//! to make room for a new one.

use {
    crate::{
        conn::{Conn, ConnError, SessionValues},
        count::Count,
        instance::Instance,
        model::{ErrorCode, Server},
        organisation::Owner,
        settings::{CONN_LIMIT_BACKOFF, EXTRA_CONN_IDLE},
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
    tokio::{
        sync::oneshot,
        time::{Instant, timeout_at},
    },
};

/// Maximum number of times that a waiter at the head of the queue is bypassed by a later one whose organisation owns the
/// released connection. Reuse saves the server the cost of opening a connection; the bound prevents starvation of the first
/// waiter.
const MAX_BYPASSES: u32 = 3;

/// Errors of acquiring a connection.
#[derive(Debug)]
pub enum PoolError {
    /// All connections remained in use until the deadline.
    Busy,
    /// The server's connection limit is reached, and this instance has no connection to the server.
    Full,
    /// The server can't be reached.
    Unreachable(ConnError),
}

/// A request for a connection.
#[derive(Clone, Debug)]
pub struct ConnRequest {
    /// Priority of the request; lower values go first.
    pub priority: u8,
    /// Time at which the request stops waiting.
    pub deadline: Instant,
    /// Session values that will be set; a connection that has them already is preferred.
    pub values: Option<SessionValues>,
    /// Required owner of the connection, or `None` if any will do.
    pub owner: Option<Owner>,
}

struct Waiter {
    priority: u8,
    /// Required owner of the connection, or `None` if any will do.
    owner: Option<Owner>,
    /// Number of later waiters that were served first.
    bypassed: u32,
    /// Receives a connection, or `None` as the permission to try opening one.
    sender: oneshot::Sender<Option<PooledConn>>,
}

struct Idle {
    conn: Conn,
    since: Instant,
}

/// Connections to a server.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<Vec<Idle>>,
    waiting: RefCell<Vec<Waiter>>,
    /// Number of open connections, those that are being opened included.
    open: Cell<usize>,
    /// Number of connections that are kept open.
    share: Cell<usize>,
    /// Maximum number of open connections.
    max: Cell<usize>,
    /// Time until which no connection is opened, because the server's limit was reached.
    full_until: Cell<Option<Instant>>,
    /// Number of connections held by transactions.
    pinned: Cell<usize>,
}

impl Pool {
    /// Sets the number of connections that this instance keeps, and the maximum that it opens while callers wait.
    pub fn set_share(&self, share: usize, max: usize) {
        self.share.set(share);
        self.max.set(max);
    }

    /// Numbers of connections and waiters as text for a log line.
    pub fn summary(&self) -> String {
        let (open, idle, waiting) = (self.open.get(), self.idle.borrow().len(), self.waiting.borrow().len());
        let (share, max, pinned) = (self.share.get(), self.max.get(), self.pinned.get());
        format!("conns={open} idle={idle} pinned={pinned} share={share} most={max} wanted={waiting}")
    }

    /// Returns true if a connection can be acquired without waiting for another caller.
    pub fn is_available(&self) -> bool {
        !self.idle.borrow().is_empty() || self.may_open()
    }

    /// Returns true if any connection is open.
    pub fn has_open(&self) -> bool {
        self.open.get() > 0
    }

    /// Returns true if transactions hold the maximum number of connections.
    pub fn is_all_pinned(&self) -> bool {
        self.pinned.get() >= self.max.get().max(1)
    }

    /// Acquires a connection: an idle one, a new one, or one that another caller releases before the deadline.
    pub async fn acquire(
        self: &Rc<Self>,
        inst: &Instance,
        server: &Server,
        request: ConnRequest,
    ) -> Result<PooledConn, PoolError> {
        loop {
            if let Some(conn) = self.take_idle(&request) {
                return Ok(PooledConn {
                    pool: self.clone(),
                    conn: Some(conn),
                    returned: false,
                    new: false,
                    pinned: false,
                });
            }
            if self.may_open() || self.evict_idle() {
                let owner = request.owner.clone().unwrap_or_default();
                match self.open(inst, server, owner).await {
                    Ok(conn) => return Ok(conn),
                    Err(ConnError::Refused { code: ErrorCode::TooMany, .. }) => {}
                    Err(e) => return Err(PoolError::Unreachable(e)),
                }
            }
            if Instant::now() >= request.deadline {
                return Err(PoolError::Busy);
            }
            if self.open.get() == 0 && self.is_full() {
                return Err(PoolError::Full);
            }
            if let Some(conn) = self.wait_in_queue(&request).await? {
                return Ok(conn);
            }
        }
    }

    /// Closes idle connections: dead ones, those above the share that have been idle for [`EXTRA_CONN_IDLE`], or all.
    pub fn trim(&self, now: Instant, all: bool) {
        let share = self.share.get();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|i| {
            let extra = self.open.get() > share && now.duration_since(i.since) >= EXTRA_CONN_IDLE;
            let keep = !all && !extra && i.conn.is_alive();
            if !keep {
                self.open.set(self.open.get() - 1);
            }
            keep
        });
    }

    /// Closes connections that have been idle since `since` or longer. They may be as dead as a connection that has been in
    /// use since then without an answer.
    pub fn close_idle_before(&self, since: Instant) {
        let mut idle = self.idle.borrow_mut();
        let before = idle.len();
        idle.retain(|i| i.since > since);
        self.open.set(self.open.get() - (before - idle.len()));
    }

    fn may_open(&self) -> bool {
        !self.is_full() && self.open.get() < self.max.get().max(1)
    }

    /// Returns true if the server recently refused a connection because its limit was reached.
    fn is_full(&self) -> bool {
        self.full_until.get().is_some_and(|until| until > Instant::now())
    }

    /// Closes the connection that has been idle for the longest, of any owner, so that another one can be opened. Returns
    /// false if no connection is idle.
    fn evict_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = (0..idle.len()).min_by_key(|i| idle[*i].since);
        if let Some(index) = oldest {
            idle.remove(index);
            self.open.set(self.open.get() - 1);
        }
        oldest.is_some()
    }

    fn take_idle(&self, request: &ConnRequest) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let matches = |i: &Idle| request.owner.as_ref().is_none_or(|owner| i.conn.owner == *owner);
        loop {
            let same_values = request.values.as_ref().and_then(|values| {
                idle.iter().rposition(|i| matches(i) && i.conn.values.as_ref() == Some(values))
            });
            let index = same_values.or_else(|| idle.iter().rposition(matches))?;
            let taken = idle.remove(index);
            if taken.conn.is_alive() {
                return Some(taken.conn);
            }
            self.open.set(self.open.get() - 1);
        }
    }

    async fn open(
        self: &Rc<Self>,
        inst: &Instance,
        server: &Server,
        owner: Owner,
    ) -> Result<PooledConn, ConnError> {
        // Counted before the connection is open, so that concurrent callers don't open too many.
        self.open.set(self.open.get() + 1);
        let mut pooled =
            PooledConn { pool: self.clone(), conn: None, returned: false, new: true, pinned: false };
        inst.counters.increment(Count::Opened);
        match Conn::open(inst.adapters.protocol.as_ref(), server, owner).await {
            Ok(conn) => {
                pooled.conn = Some(conn);
                Ok(pooled)
            }
            Err(e) => {
                if let ConnError::Refused { code: ErrorCode::TooMany, .. } = e {
                    inst.counters.increment(Count::Refused);
                    self.full_until.set(Some(Instant::now() + CONN_LIMIT_BACKOFF));
                }
                Err(e)
            }
        }
    }

    /// Waits in the queue for a connection, or for the permission to try opening one, which is returned as `None`.
    async fn wait_in_queue(&self, request: &ConnRequest) -> Result<Option<PooledConn>, PoolError> {
        let (sender, receiver) = oneshot::channel();
        let mut guard = WaitGuard { pool: self, receiver };
        {
            let mut waiting = self.waiting.borrow_mut();
            let index = waiting.partition_point(|w| w.priority <= request.priority);
            let (priority, owner) = (request.priority, request.owner.clone());
            waiting.insert(index, Waiter { priority, owner, bypassed: 0, sender });
        }
        match timeout_at(request.deadline, &mut guard.receiver).await {
            Ok(Ok(conn)) => Ok(conn),
            Ok(Err(_)) | Err(_) => Err(PoolError::Busy),
        }
    }

    /// Lets the next waiter try to open a connection.
    fn wake_next(&self) {
        while let Some(waiter) = self.next_waiter() {
            if waiter.sender.send(None).is_ok() {
                return;
            }
        }
    }

    /// Returns true if any caller waits for a connection.
    fn has_waiters(&self) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|w| !w.sender.is_closed());
        !waiting.is_empty()
    }

    fn next_waiter(&self) -> Option<Waiter> {
        let mut waiting = self.waiting.borrow_mut();
        (!waiting.is_empty()).then(|| waiting.remove(0))
    }

    /// Removes and returns the waiter that gets a connection of `owner`: the first one that can use the connection among
    /// those with the priority of the queue's head.
    ///
    /// Once the head was bypassed [`MAX_BYPASSES`] times, returns `None` unless the head itself can use the connection.
    fn next_waiter_for(&self, owner: &Owner) -> Option<Waiter> {
        let mut waiting = self.waiting.borrow_mut();
        let first = waiting.first()?;
        let matches = |w: &Waiter| w.owner.as_ref().is_none_or(|required| required == owner);
        let candidates = if first.bypassed < MAX_BYPASSES { waiting.len() } else { 1 };
        let index = waiting[..candidates].iter().position(|w| w.priority == first.priority && matches(w))?;
        if index > 0 {
            waiting[0].bypassed += 1;
        }
        Some(waiting.remove(index))
    }
}

/// Guard of a waiter's place in the queue.
///
/// Removes a waiter that stops waiting or is dropped from the queue. Passes what was sent to that waiter on to the next one.
struct WaitGuard<'a> {
    pool: &'a Pool,
    receiver: oneshot::Receiver<Option<PooledConn>>,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.receiver.close();
        self.pool.waiting.borrow_mut().retain(|w| !w.sender.is_closed());
        match self.receiver.try_recv() {
            Ok(Some(conn)) => conn.release(),
            Ok(None) => self.pool.wake_next(),
            // Nothing was sent, or the waiter has received it.
            Err(_) => {}
        }
    }
}

/// An acquired connection, which is closed on drop unless it was released.
pub struct PooledConn {
    pool: Rc<Pool>,
    conn: Option<Conn>,
    /// True if the connection was returned to the pool and remains counted as open.
    returned: bool,
    /// True if the connection was opened for this use.
    new: bool,
    /// True if a transaction holds the connection.
    pinned: bool,
}

impl PooledConn {
    /// The connection, or `None` while it is being opened or released.
    pub fn get_mut(&mut self) -> Option<&mut Conn> {
        self.conn.as_mut()
    }

    /// The pool that the connection belongs to.
    pub fn pool(&self) -> Rc<Pool> {
        self.pool.clone()
    }

    /// Returns true if the connection was opened for this use, so that it can't have failed while it was idle.
    pub fn is_new(&self) -> bool {
        self.new
    }

    /// Counts the connection as held by a transaction until it is released or closed.
    pub fn pin(&mut self) {
        if !std::mem::replace(&mut self.pinned, true) {
            self.pool.pinned.set(self.pool.pinned.get() + 1);
        }
    }

    fn unpin(&mut self) {
        if std::mem::replace(&mut self.pinned, false) {
            self.pool.pinned.set(self.pool.pinned.get() - 1);
        }
    }

    /// Passes the connection to the next waiter that can use it, or returns it to the pool.
    pub fn release(self) {
        let mut pooled = self;
        pooled.new = false;
        pooled.unpin();
        let Some(owner) = pooled.conn.as_ref().map(|conn| conn.owner.clone()) else { return };
        while let Some(waiter) = pooled.pool.next_waiter_for(&owner) {
            match waiter.sender.send(Some(pooled)) {
                Ok(()) => return,
                // The waiter has stopped waiting.
                Err(Some(unsent)) => pooled = unsent,
                Err(None) => return,
            }
        }
        if pooled.pool.has_waiters() {
            // Dropping the connection closes it, which lets the first waiter open one of its own organisation.
            return;
        }
        if let Some(conn) = pooled.conn.take() {
            pooled.returned = true;
            pooled.pool.idle.borrow_mut().push(Idle { conn, since: Instant::now() });
        }
    }
}

impl Drop for PooledConn {
    fn drop(&mut self) {
        self.unpin();
        if self.returned {
            return;
        }
        self.pool.open.set(self.pool.open.get().saturating_sub(1));
        self.pool.wake_next();
    }
}

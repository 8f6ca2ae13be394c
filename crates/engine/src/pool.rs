//! The connections of one instance to one server.
//!
//! Connections are scarce: the instances share out the server's limit. A connection belongs to one
//! statement or one transaction at a time, and all its life to one [`Owner`]; who waits gets the next one by priority,
//! then by arrival. Where all belong to others, the one that has been idle for the longest makes room.

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

/// How often a connection may go to others than the first who waits, as it is of their organisation: opening another one
/// costs the server a turn, and the first one must not wait for as long as others come.
const MAX_BYPASSES: u32 = 3;

/// Why there is no connection.
#[derive(Debug)]
pub enum PoolError {
    /// All are in use for longer than the caller can wait.
    Busy,
    /// The server has no connection to spare, and this instance has none.
    Full,
    /// The server can't be reached.
    Unreachable(ConnError),
}

/// Who asks for a connection.
#[derive(Clone, Debug)]
pub struct ConnRequest {
    /// Rank; 0 goes first.
    pub priority: u8,
    /// The end of the wait.
    pub deadline: Instant,
    /// Session values that it would set; a connection that has them is preferred.
    pub values: Option<SessionValues>,
    /// Whose connection it has to be; none where any will do.
    pub owner: Option<Owner>,
}

struct Waiter {
    priority: u8,
    /// Whose connection it wants; none if any will do.
    owner: Option<Owner>,
    /// How often others behind it went first.
    bypassed: u32,
    /// Gets a connection, or nothing when it may try to open one.
    sender: oneshot::Sender<Option<PooledConn>>,
}

struct Idle {
    conn: Conn,
    since: Instant,
}

/// The connections to one server.
#[derive(Default)]
pub struct Pool {
    idle: RefCell<Vec<Idle>>,
    waiting: RefCell<Vec<Waiter>>,
    open: Cell<usize>,
    share: Cell<usize>,
    max: Cell<usize>,
    full_until: Cell<Option<Instant>>,
    /// Connections on which transactions rest.
    pinned: Cell<usize>,
}

impl Pool {
    /// Sets how many connections this instance keeps, and how many it opens at most when callers wait.
    pub fn set_share(&self, share: usize, most: usize) {
        self.share.set(share);
        self.max.set(most);
    }

    /// Its connections, for a log line.
    pub fn summary(&self) -> String {
        let (open, idle, waiting) = (self.open.get(), self.idle.borrow().len(), self.waiting.borrow().len());
        let (share, most, pinned) = (self.share.get(), self.max.get(), self.pinned.get());
        format!("conns={open} idle={idle} pinned={pinned} share={share} most={most} wanted={waiting}")
    }

    /// Whether a connection can be had without a wait.
    pub fn is_available(&self) -> bool {
        !self.idle.borrow().is_empty() || self.may_open()
    }

    /// Whether there is any connection.
    pub fn has_open(&self) -> bool {
        self.open.get() > 0
    }

    /// Whether transactions rest on all the connections that this instance may have.
    pub fn is_all_pinned(&self) -> bool {
        self.pinned.get() >= self.max.get().max(1)
    }

    /// Lends a connection.
    pub async fn acquire(
        self: &Rc<Self>,
        inst: &Instance,
        server: &Server,
        want: ConnRequest,
    ) -> Result<PooledConn, PoolError> {
        loop {
            if let Some(conn) = self.take_idle(&want) {
                return Ok(PooledConn {
                    pool: self.clone(),
                    conn: Some(conn),
                    returned: false,
                    new: false,
                    pinned: false,
                });
            }
            if self.may_open() || self.evict_idle() {
                let owner = want.owner.clone().unwrap_or_default();
                match self.open(inst, server, owner).await {
                    Ok(it) => return Ok(it),
                    Err(ConnError::Refused { code: ErrorCode::TooMany, .. }) => {}
                    Err(e) => return Err(PoolError::Unreachable(e)),
                }
            }
            if Instant::now() >= want.deadline {
                return Err(PoolError::Busy);
            }
            if self.open.get() == 0 && self.is_full() {
                return Err(PoolError::Full);
            }
            if let Some(it) = self.wait_turn(&want).await? {
                return Ok(it);
            }
        }
    }

    /// Closes connections above the share that nobody uses, and all if the server is to be left alone.
    pub fn trim(&self, now: Instant, all: bool) {
        let share = self.share.get();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|it| {
            let extra = self.open.get() > share && now.duration_since(it.since) >= EXTRA_CONN_IDLE;
            let keep = !all && !extra && it.conn.is_alive();
            if !keep {
                self.open.set(self.open.get() - 1);
            }
            keep
        });
    }

    /// Closes connections that have been idle since before a time: one that was in use since then gives no
    /// answer, and they may be as dead.
    pub fn close_idle_before(&self, since: Instant) {
        let mut idle = self.idle.borrow_mut();
        let before = idle.len();
        idle.retain(|it| it.since > since);
        self.open.set(self.open.get() - (before - idle.len()));
    }

    fn may_open(&self) -> bool {
        !self.is_full() && self.open.get() < self.max.get().max(1)
    }

    /// Whether the server has refused a connection just now.
    fn is_full(&self) -> bool {
        self.full_until.get().is_some_and(|it| it > Instant::now())
    }

    /// Closes the connection that has been idle for the longest, of whichever owner, so that another can be opened;
    /// false if none is idle.
    fn evict_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = (0..idle.len()).min_by_key(|at| idle[*at].since);
        if let Some(at) = oldest {
            idle.remove(at);
            self.open.set(self.open.get() - 1);
        }
        oldest.is_some()
    }

    fn take_idle(&self, want: &ConnRequest) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let fits = |it: &Idle| want.owner.as_ref().is_none_or(|owner| it.conn.owner == *owner);
        loop {
            let alike = want.values.as_ref().and_then(|values| {
                idle.iter().rposition(|it| fits(it) && it.conn.values.as_ref() == Some(values))
            });
            let at = alike.or_else(|| idle.iter().rposition(fits))?;
            let it = idle.remove(at);
            if it.conn.is_alive() {
                return Some(it.conn);
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
        // Counted before it is there, so that callers at the same time don't open too many.
        self.open.set(self.open.get() + 1);
        let mut place =
            PooledConn { pool: self.clone(), conn: None, returned: false, new: true, pinned: false };
        inst.counters.increment(Count::Opened);
        match Conn::open(inst.adapters.protocol.as_ref(), server, owner).await {
            Ok(conn) => {
                place.conn = Some(conn);
                Ok(place)
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

    /// Waits for a turn: a connection, or leave to try and open one.
    async fn wait_turn(&self, want: &ConnRequest) -> Result<Option<PooledConn>, PoolError> {
        let (turn, got) = oneshot::channel();
        let mut place = WaitGuard { pool: self, got };
        {
            let mut waiting = self.waiting.borrow_mut();
            let at = waiting.partition_point(|it| it.priority <= want.priority);
            let (priority, owner) = (want.priority, want.owner.clone());
            waiting.insert(at, Waiter { priority, owner, bypassed: 0, sender: turn });
        }
        match timeout_at(want.deadline, &mut place.got).await {
            Ok(Ok(it)) => Ok(it),
            Ok(Err(_)) | Err(_) => Err(PoolError::Busy),
        }
    }

    /// Lets the next one try to open a connection.
    fn wake_next(&self) {
        while let Some(it) = self.next_waiter() {
            if it.sender.send(None).is_ok() {
                return;
            }
        }
    }

    /// Whether anybody waits for a connection.
    fn has_waiters(&self) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|it| !it.sender.is_closed());
        !waiting.is_empty()
    }

    fn next_waiter(&self) -> Option<Waiter> {
        let mut waiting = self.waiting.borrow_mut();
        (!waiting.is_empty()).then(|| waiting.remove(0))
    }

    /// Who gets a connection of an owner: of those of the first one's priority the first that can use it, unless others
    /// went before the first one too often. None if the first one can't use it.
    fn next_waiter_for(&self, owner: &Owner) -> Option<Waiter> {
        let mut waiting = self.waiting.borrow_mut();
        let first = waiting.first()?;
        let fits = |it: &Waiter| it.owner.as_ref().is_none_or(|it| it == owner);
        let rivals = if first.bypassed < MAX_BYPASSES { waiting.len() } else { 1 };
        let at = waiting[..rivals].iter().position(|it| it.priority == first.priority && fits(it))?;
        if at > 0 {
            waiting[0].bypassed += 1;
        }
        Some(waiting.remove(at))
    }
}

/// A place among those that wait. It is given back by those that have stopped waiting, also where they are dropped; what
/// came for them goes to the next.
struct WaitGuard<'a> {
    pool: &'a Pool,
    got: oneshot::Receiver<Option<PooledConn>>,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.got.close();
        self.pool.waiting.borrow_mut().retain(|it| !it.sender.is_closed());
        match self.got.try_recv() {
            Ok(Some(it)) => it.release(),
            Ok(None) => self.pool.wake_next(),
            // Nothing came, or it was taken.
            Err(_) => {}
        }
    }
}

/// A connection on loan. Dropped, it is closed.
pub struct PooledConn {
    pool: Rc<Pool>,
    conn: Option<Conn>,
    /// Whether the connection went back and stays counted.
    returned: bool,
    /// Whether it was opened for this loan.
    new: bool,
    /// Whether a transaction rests on it.
    pinned: bool,
}

impl PooledConn {
    /// The connection; none only while it is being opened or handed back.
    pub fn get_mut(&mut self) -> Option<&mut Conn> {
        self.conn.as_mut()
    }

    /// The pool that lends it.
    pub fn pool(&self) -> Rc<Pool> {
        self.pool.clone()
    }

    /// Whether the connection was opened for this loan, so that nothing of the past can be wrong with it.
    pub fn is_new(&self) -> bool {
        self.new
    }

    /// A transaction rests on it until it is given back or closed.
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

    /// Gives the connection back for others.
    pub fn release(self) {
        let mut lease = self;
        lease.new = false;
        lease.unpin();
        let Some(owner) = lease.conn.as_ref().map(|it| it.owner.clone()) else { return };
        while let Some(waiter) = lease.pool.next_waiter_for(&owner) {
            match waiter.sender.send(Some(lease)) {
                Ok(()) => return,
                // Whoever has stopped waiting hands it back.
                Err(Some(it)) => lease = it,
                Err(None) => return,
            }
        }
        if lease.pool.has_waiters() {
            // Closed, it makes room for the first one's.
            return;
        }
        if let Some(conn) = lease.conn.take() {
            lease.returned = true;
            lease.pool.idle.borrow_mut().push(Idle { conn, since: Instant::now() });
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

//! A way to a server for one statement or one transaction: a connection of this instance, or another
//! instance that runs it.

use {
    crate::{
        conn::{ConnError, SessionValues},
        dispatch::acquire_permit,
        instance::{Instance, Micros},
        link::Link,
        message::{Command, Request, Response, RunRequest, ServerProcess},
        model::{Answer, Order, TxnState},
        organisation::Owner,
        permit_queue::{Permit, PermitOutcome},
        pool::{ConnRequest, PoolError, PooledConn},
        ports::{Forward, Text},
        progress::Progress,
        session::Prepared,
        settings::{MAX_PREPARED, RELAY_DEADLINE_MARGIN},
        upstream::Upstream,
    },
    bytes::BytesMut,
    pondtrack_core::{budget::Wait, scheduler::Rank},
    pondtrack_proto::{LogPosition, Name},
    snafu::Snafu,
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, timeout, timeout_at},
};

/// What is sent, and the state of the session it is for.
#[derive(Clone, Copy)]
pub struct ChannelRequest<'a> {
    /// The session's values; none where they don't matter.
    pub values: Option<&'a SessionValues>,
    /// The named statement that it runs.
    pub named: Option<&'a Prepared>,
    /// What is sent.
    pub command: CommandRef<'a>,
    /// Its rank among those that wait for a turn; none for orders that don't wait.
    pub rank: Option<Rank>,
    /// A statement that takes longer is slow, in microseconds.
    pub slow_after: Micros,
    /// A statement that takes longer may wait on a connection that fell silent.
    pub stall_timeout: Duration,
    /// When nobody waits any longer.
    pub deadline: Instant,
    /// Learns how far it comes; none where nobody may leave.
    pub progress: Option<&'a Progress>,
}

/// What is sent to a server.
#[derive(Clone, Copy)]
pub enum CommandRef<'a> {
    /// A caller's statement.
    Statement(Forward<'a>),
    /// An order, and the position that the server's log has to hold.
    Order(&'a Order, Option<LogPosition>),
}

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum RunError {
    /// Nothing was sent.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// Why.
        reason: String,
    },
    /// Nothing was sent: no connection was free.
    #[snafu(display("no connection is free"))]
    Busy,
    /// Nothing was sent: the server has too much to do to answer in time.
    #[snafu(display("the server has too much to do to answer in time"))]
    Refused,
    /// Nothing was sent: nobody listens at the server's address.
    #[snafu(display("nobody listens at the server's address"))]
    Gone,
    /// There is no answer in time; it may have run.
    #[snafu(display("no answer in time"))]
    Late,
    /// It may have run.
    #[snafu(display("sent, and not answered: {reason}"))]
    Broken {
        /// Why.
        reason: String,
    },
}

impl From<RunError> for Response {
    fn from(it: RunError) -> Response {
        match it {
            RunError::NotSent { reason } => Response::NotSent(reason),
            RunError::Busy => Response::Busy,
            RunError::Refused => Response::Refused,
            RunError::Gone => Response::Gone,
            RunError::Late => Response::Late,
            RunError::Broken { reason } => Response::Broken(reason),
        }
    }
}

/// A way to a server. Dropped, an open transaction on it is rolled back.
pub enum Channel {
    /// A connection of this instance, and a turn for the first statement on it.
    Direct(Direct),
    /// Another instance's.
    Relayed(Relayed),
}

/// A connection of this instance.
pub struct Direct {
    /// The connection.
    pub conn: PooledConn,
    /// Its server.
    pub server: Rc<Upstream>,
    /// A turn that was taken before there was a connection.
    pub permit: Option<Permit>,
    /// Whether the last statement was sent.
    sent: bool,
}

/// Why there is no way over a connection of this instance.
pub enum DirectError {
    /// The server has too much to do to answer in time.
    Refused,
    /// There is no turn, or no connection, in time.
    TimedOut(Wait),
    /// The server has no connection to spare, and this instance has none.
    Full,
    /// The server can't be reached.
    Unreachable(ConnError),
}

impl From<PoolError> for DirectError {
    fn from(it: PoolError) -> DirectError {
        match it {
            PoolError::Busy => DirectError::TimedOut(Wait::Connection),
            PoolError::Full => DirectError::Full,
            PoolError::Unreachable(e) => DirectError::Unreachable(e),
        }
    }
}

/// Waits for a turn where there is a rank.
async fn acquire_ranked_permit(
    inst: &Rc<Instance>,
    up: &Upstream,
    rank: Option<Rank>,
    slow: Micros,
    until: Instant,
) -> Result<Option<Permit>, DirectError> {
    let Some(rank) = rank else { return Ok(None) };
    match acquire_permit(inst, up, rank, slow, until).await {
        PermitOutcome::Granted(it) => Ok(Some(it)),
        PermitOutcome::Refused => Err(DirectError::Refused),
        PermitOutcome::TimedOut => Err(DirectError::TimedOut(Wait::Permit)),
    }
}

/// A stream at another instance.
pub struct Relayed {
    peer: Name,
    link: Rc<Link>,
    stream: u64,
    server: ServerProcess,
    owner: Owner,
    /// When a statement that waits there for a connection is to be given up.
    until: Instant,
    pinned: bool,
    /// Whether the server had a queue at the last answer.
    queued: bool,
    /// Whether an answer is owed, after which a transaction may rest on it.
    asked: bool,
}

impl Relayed {
    /// A stream over a link; nothing is sent yet.
    pub fn new(peer: Name, link: Rc<Link>, server: ServerProcess, owner: Owner, until: Instant) -> Relayed {
        let stream = link.next_id();
        Relayed { peer, link, stream, server, owner, until, pinned: false, queued: false, asked: false }
    }

    fn set_pinned(&mut self, pinned: bool) {
        match (self.pinned, pinned) {
            (false, true) => self.link.pin(),
            (true, false) => self.link.unpin(),
            (false, false) | (true, true) => {}
        }
        self.pinned = pinned;
    }

    /// Asks the other instance. Where the caller leaves meanwhile, that one is told, and answers all the same: what it has
    /// sent is left to end.
    async fn ask(&self, ask: Request, progress: Option<&Progress>) -> Response {
        let question = self.link.send_request(ask);
        let Some(progress) = progress else { return question.response().await };
        progress.relay_started();
        let id = question.id();
        let answer = question.response();
        tokio::pin!(answer);
        let told = tokio::select! {
            biased;
            it = &mut answer => it,
            () = progress.disconnected() => {
                self.link.cancel(id);
                answer.await
            }
        };
        progress.relay_finished(told.may_have_run());
        told
    }

    async fn run(&mut self, inst: &Instance, it: ChannelRequest<'_>) -> Result<Answer, RunError> {
        let left = |until: Instant| until.saturating_duration_since(Instant::now()).as_millis() as u32;
        let what = match it.command {
            CommandRef::Statement(Forward { id, text, after }) => {
                let text = match text {
                    Text::Plain(text) | Text::Execute { args: text, .. } => text.clone(),
                };
                Command::Statement { id: id.clone(), text, after }
            }
            CommandRef::Order(order, after) => Command::Order { order: order.clone(), after },
        };
        let run = RunRequest {
            stream: self.stream,
            pinned: self.pinned,
            server: self.server.clone(),
            rank: it.rank.map(|it| Rank { soft_deadline: it.soft_deadline.saturating_sub(inst.now()), ..it }),
            wait_ms: left(self.until),
            left_ms: left(it.deadline - RELAY_DEADLINE_MARGIN),
            slow: it.slow_after,
            owner: self.owner.clone(),
            values: it.values.map(|it| it.to_vec()).unwrap_or_default(),
            named: it.named.cloned(),
            command: what,
        };
        self.asked = true;
        let told = self.ask(Request::Run(Box::new(run)), it.progress).await;
        self.asked = false;
        match told {
            Response::Answer { answer, queued } => {
                self.queued = queued;
                self.set_pinned(answer.txn != TxnState::Idle);
                Ok(answer)
            }
            Response::NotSent(reason) => Err(RunError::NotSent { reason }),
            Response::Busy => Err(RunError::Busy),
            Response::Refused => Err(RunError::Refused),
            Response::Gone => Err(RunError::Gone),
            Response::Late => Err(RunError::Late),
            Response::Broken(reason) => Err(RunError::Broken { reason }),
            Response::Status(_)
            | Response::State(_)
            | Response::Permit { .. }
            | Response::Chunk(_)
            | Response::Elsewhere(_)
            | Response::Lent { .. }
            | Response::Granted(_) => {
                Err(RunError::Broken { reason: "another answer than asked for".to_owned() })
            }
        }
    }
}

impl Drop for Relayed {
    fn drop(&mut self) {
        if self.pinned || self.asked {
            self.link.drop_stream(self.stream);
        }
        self.set_pinned(false);
    }
}

impl Channel {
    /// Sends and waits for the answer.
    pub async fn run(&mut self, inst: &Rc<Instance>, it: ChannelRequest<'_>) -> Result<Answer, RunError> {
        let end = it.deadline;
        match self {
            Channel::Direct(direct) => match timeout_at(end, direct.run(inst, it)).await {
                Ok(it) => it,
                Err(_) if direct.sent => Err(RunError::Late),
                Err(_) => Err(RunError::Busy),
            },
            Channel::Relayed(relayed) => {
                timeout_at(end, relayed.run(inst, it)).await.unwrap_or(Err(RunError::Late))
            }
        }
    }

    /// A transaction rests on it from now on.
    pub fn pin(&mut self) {
        match self {
            Channel::Direct(direct) => direct.conn.pin(),
            // The other instance knows.
            Channel::Relayed(_) => {}
        }
    }

    /// The instance that it goes through, if it does.
    pub fn peer(&self) -> Option<&Name> {
        match self {
            Channel::Direct(_) => None,
            Channel::Relayed(it) => Some(&it.peer),
        }
    }

    /// Whether its server has a queue.
    pub fn has_queue(&self) -> bool {
        match self {
            Channel::Direct(it) => it.server.has_queue(),
            Channel::Relayed(it) => it.queued,
        }
    }

    /// Gives the connection back for others; nothing may be open on it.
    pub fn release(self) {
        match self {
            Channel::Direct(direct) => direct.conn.release(),
            Channel::Relayed(_) => {}
        }
    }

    /// Forgets what was prepared: the server doesn't know it any longer.
    pub fn clear_prepared(&mut self) {
        if let Channel::Direct(direct) = self
            && let Some(conn) = direct.conn.get_mut()
        {
            conn.prepared.clear();
        }
    }
}

impl Direct {
    /// A turn where there is a rank, and then a connection: those that wait for turns are in order, those that wait
    /// for connections in the order of arrival.
    pub async fn open(
        inst: &Rc<Instance>,
        up: &Rc<Upstream>,
        rank: Option<Rank>,
        slow: Micros,
        want: ConnRequest,
    ) -> Result<Direct, DirectError> {
        let permit = acquire_ranked_permit(inst, up, rank, slow, want.deadline).await?;
        let lease = up.pool.acquire(inst, &up.entry(), want).await?;
        Ok(Direct { conn: lease, server: up.clone(), permit, sent: false })
    }

    async fn run(&mut self, inst: &Rc<Instance>, it: ChannelRequest<'_>) -> Result<Answer, RunError> {
        self.sent = false;
        let mut permit = match (self.permit.take(), it.rank) {
            (Some(it), _) => Some(it),
            (None, Some(rank)) => {
                match acquire_permit(inst, &self.server, rank, it.slow_after, it.deadline).await {
                    PermitOutcome::Granted(it) => Some(it),
                    PermitOutcome::Refused => return Err(RunError::Refused),
                    PermitOutcome::TimedOut => return Err(RunError::Busy),
                }
            }
            (None, None) => None,
        };
        if let Some(it) = &mut permit {
            it.mark_sent();
        }
        let (sent, pool) = (Instant::now(), self.conn.pool());
        let work = run_on(inst, &mut self.conn, it, &mut self.sent);
        tokio::pin!(work);
        if let Ok(it) = timeout(it.stall_timeout, &mut work).await {
            return it;
        }
        drop(permit);
        pool.close_idle_before(sent);
        work.await
    }
}

/// Runs a statement on a connection; says in `sent` when the server may have it.
async fn run_on(
    inst: &Instance,
    lease: &mut PooledConn,
    it: ChannelRequest<'_>,
    sent: &mut bool,
) -> Result<Answer, RunError> {
    // A connection that is being prepared is of use only when that has ended.
    if let Some(progress) = it.progress {
        progress.set_sent();
    }
    if let Some(values) = it.values
        && !apply_session_state(inst, lease, values, it.named).await
    {
        return Err(RunError::NotSent { reason: "the connection is of no use".to_owned() });
    }
    let dialect = inst.adapters.protocol.as_ref();
    let mut out = BytesMut::new();
    match it.command {
        CommandRef::Statement(forward) => dialect.encode_statement(forward, &mut out),
        CommandRef::Order(order, after) => dialect.encode_order(order, after, &mut out),
    }
    let broken = |reason: &dyn ToString| RunError::Broken { reason: reason.to_string() };
    let conn = lease.get_mut().ok_or_else(|| broken(&"the connection was given back"))?;
    *sent = true;
    conn.send(&out).await.map_err(|e| broken(&e))?;
    conn.next_answer(dialect).await.map_err(|e| broken(&e))
}

/// Brings a connection into a session's state. False when that failed and the connection is of no use.
async fn apply_session_state(
    inst: &Instance,
    lease: &mut PooledConn,
    values: &SessionValues,
    named: Option<&Prepared>,
) -> bool {
    let Some(conn) = lease.get_mut() else { return false };
    let known = conn.values.as_ref();
    // Values can only be taken away all at once.
    let extra =
        |old: &SessionValues| old.iter().any(|it| values.binary_search_by(|new| new.0.cmp(&it.0)).is_err());
    let full = conn.prepared.len() >= MAX_PREPARED && conn.txn == TxnState::Idle;
    let reset = full || known.is_none_or(extra);
    let has = |it: &(Name, Name)| !reset && known.is_some_and(|old| old.binary_search(it).is_ok());
    let mut orders = Vec::new();
    if reset {
        orders.push(Order::Reset);
    }
    for it in values.iter().filter(|it| !has(it)) {
        orders.push(Order::Set { name: it.0.clone(), value: it.1.clone() });
    }
    let prepare = named.filter(|it| reset || conn.prepared.binary_search(&it.alias).is_err());
    if let Some(it) = prepare {
        let name = it.alias.clone();
        orders.push(Order::Prepare { name, access: it.access, shape: it.shape.clone() });
    }
    if orders.is_empty() {
        return true;
    }
    let mut out = BytesMut::new();
    for it in &orders {
        inst.adapters.protocol.encode_order(it, None, &mut out);
    }
    // Until all are answered its state isn't known.
    conn.values = None;
    if reset {
        conn.prepared.clear();
    }
    if conn.send(&out).await.is_err() {
        return false;
    }
    for _ in &orders {
        match conn.next_answer(inst.adapters.protocol.as_ref()).await {
            Ok(it) if it.is_done() => {}
            Ok(_) | Err(_) => return false,
        }
    }
    conn.values = Some(values.clone());
    if let Some(it) = prepare {
        let at = conn.prepared.binary_search(&it.alias).unwrap_or_else(|at| at);
        conn.prepared.insert(at, it.alias.clone());
    }
    true
}

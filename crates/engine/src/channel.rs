//! Channel to a server for a statement or a transaction: a connection of this instance, or a stream through another instance
//! that runs the statements.

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

/// A command and the session state that it needs.
#[derive(Clone, Copy)]
pub struct ChannelRequest<'a> {
    /// The session's values, or `None` if they don't matter.
    pub values: Option<&'a SessionValues>,
    /// The prepared statement that the command executes.
    pub named: Option<&'a Prepared>,
    /// The command to send.
    pub command: CommandRef<'a>,
    /// Rank in the queue for a permit, or `None` for orders, which need no permit.
    pub rank: Option<Rank>,
    /// Latency above which a statement counts as slow, in microseconds.
    pub slow_after: Micros,
    /// Duration after which a statement may be waiting on a stalled connection.
    pub stall_timeout: Duration,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Tracks the progress of the command, or `None` if the caller can't disconnect.
    pub progress: Option<&'a Progress>,
}

/// Borrowed form of a [`Command`].
#[derive(Clone, Copy)]
pub enum CommandRef<'a> {
    /// A caller's statement.
    Statement(Forward<'a>),
    /// An order, and the position that the server's log has to have reached.
    Order(&'a Order, Option<LogPosition>),
}

/// Errors of running a command. The texts of some variants are sent to callers.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum RunError {
    /// The command was not sent.
    #[snafu(display("not sent: {reason}"))]
    NotSent {
        /// The cause.
        reason: String,
    },
    /// The command was not sent because no connection was available in time.
    #[snafu(display("no connection is free"))]
    Busy,
    /// The command was not sent because the server is too busy to answer in time.
    #[snafu(display("the server has too much to do to answer in time"))]
    Refused,
    /// The command was not sent because the server's address refuses connections.
    #[snafu(display("the server's address refuses connections"))]
    Gone,
    /// No answer arrived in time; the command may have run.
    #[snafu(display("no answer in time"))]
    Late,
    /// The connection failed after the command was sent; the command may have run.
    #[snafu(display("sent, and not answered: {reason}"))]
    Broken {
        /// The cause.
        reason: String,
    },
}

impl From<RunError> for Response {
    fn from(e: RunError) -> Response {
        match e {
            RunError::NotSent { reason } => Response::NotSent(reason),
            RunError::Busy => Response::Busy,
            RunError::Refused => Response::Refused,
            RunError::Gone => Response::Gone,
            RunError::Late => Response::Late,
            RunError::Broken { reason } => Response::Broken(reason),
        }
    }
}

/// A channel to a server. Dropping it rolls back its open transaction.
pub enum Channel {
    /// A connection of this instance, and a permit for the first statement.
    Direct(Direct),
    /// A stream through another instance.
    Relayed(Relayed),
}

/// A channel over a connection of this instance.
pub struct Direct {
    /// Pooled connection that carries the commands.
    pub conn: PooledConn,
    /// State of the server at the other end of the connection.
    pub server: Rc<Upstream>,
    /// The permit that was acquired before the connection.
    pub permit: Option<Permit>,
    /// True if the last command was sent.
    sent: bool,
}

/// Errors of opening a channel over a connection of this instance.
pub enum DirectError {
    /// The server is too busy to answer in time.
    Refused,
    /// No permit, or no connection, was available before the deadline.
    TimedOut(Wait),
    /// The server's connection limit is reached, and this instance has no connection to the server.
    Full,
    /// The server can't be reached.
    Unreachable(ConnError),
}

impl From<PoolError> for DirectError {
    fn from(e: PoolError) -> DirectError {
        match e {
            PoolError::Busy => DirectError::TimedOut(Wait::Connection),
            PoolError::Full => DirectError::Full,
            PoolError::Unreachable(e) => DirectError::Unreachable(e),
        }
    }
}

/// Waits for a permit if there is a rank.
async fn acquire_ranked_permit(
    inst: &Rc<Instance>,
    up: &Upstream,
    rank: Option<Rank>,
    slow_after: Micros,
    deadline: Instant,
) -> Result<Option<Permit>, DirectError> {
    let Some(rank) = rank else { return Ok(None) };
    match acquire_permit(inst, up, rank, slow_after, deadline).await {
        PermitOutcome::Granted(permit) => Ok(Some(permit)),
        PermitOutcome::Refused => Err(DirectError::Refused),
        PermitOutcome::TimedOut => Err(DirectError::TimedOut(Wait::Permit)),
    }
}

/// A channel through another instance, as a stream of its link.
pub struct Relayed {
    peer: Name,
    link: Rc<Link>,
    stream: u64,
    server: ServerProcess,
    owner: Owner,
    /// Time until which a statement may wait for a connection at the other instance.
    deadline: Instant,
    /// True if a transaction is open on the stream.
    pinned: bool,
    /// True if the server had a queue at the last answer.
    queued: bool,
    /// True if a request is in flight, which may open a transaction.
    in_flight: bool,
}

impl Relayed {
    /// Creates a stream over a link without sending anything.
    pub fn new(
        peer: Name,
        link: Rc<Link>,
        server: ServerProcess,
        owner: Owner,
        deadline: Instant,
    ) -> Relayed {
        let stream = link.next_id();
        Relayed {
            peer,
            link,
            stream,
            server,
            owner,
            deadline,
            pinned: false,
            queued: false,
            in_flight: false,
        }
    }

    fn set_pinned(&mut self, pinned: bool) {
        match (self.pinned, pinned) {
            (false, true) => self.link.pin(),
            (true, false) => self.link.unpin(),
            (false, false) | (true, true) => {}
        }
        self.pinned = pinned;
    }

    /// Sends a request to the other instance and waits for the response.
    ///
    /// If the caller disconnects meanwhile, cancels the request and still waits for the response: the other instance doesn't
    /// interrupt a command that it has sent to the server.
    async fn request(&self, request: Request, progress: Option<&Progress>) -> Response {
        let pending = self.link.send_request(request);
        let Some(progress) = progress else { return pending.response().await };
        progress.relay_started();
        let id = pending.id();
        let answer = pending.response();
        tokio::pin!(answer);
        let response = tokio::select! {
            biased;
            response = &mut answer => response,
            () = progress.disconnected() => {
                self.link.cancel(id);
                answer.await
            }
        };
        progress.relay_finished(response.may_have_run());
        response
    }

    async fn run(&mut self, inst: &Instance, request: ChannelRequest<'_>) -> Result<Answer, RunError> {
        let left_ms = |end: Instant| end.saturating_duration_since(Instant::now()).as_millis() as u32;
        let what = match request.command {
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
            rank: request
                .rank
                .map(|rank| Rank { soft_deadline: rank.soft_deadline.saturating_sub(inst.now()), ..rank }),
            wait_ms: left_ms(self.deadline),
            left_ms: left_ms(request.deadline - RELAY_DEADLINE_MARGIN),
            slow: request.slow_after,
            owner: self.owner.clone(),
            values: request.values.map(|values| values.to_vec()).unwrap_or_default(),
            named: request.named.cloned(),
            command: what,
        };
        self.in_flight = true;
        let response = self.request(Request::Run(Box::new(run)), request.progress).await;
        self.in_flight = false;
        match response {
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
        if self.pinned || self.in_flight {
            self.link.drop_stream(self.stream);
        }
        self.set_pinned(false);
    }
}

impl Channel {
    /// Sends a command and waits for the answer until the request's deadline.
    pub async fn run(
        &mut self,
        inst: &Rc<Instance>,
        request: ChannelRequest<'_>,
    ) -> Result<Answer, RunError> {
        let deadline = request.deadline;
        match self {
            Channel::Direct(direct) => match timeout_at(deadline, direct.run(inst, request)).await {
                Ok(result) => result,
                Err(_) if direct.sent => Err(RunError::Late),
                Err(_) => Err(RunError::Busy),
            },
            Channel::Relayed(relayed) => {
                timeout_at(deadline, relayed.run(inst, request)).await.unwrap_or(Err(RunError::Late))
            }
        }
    }

    /// Counts the connection as held by a transaction from now on.
    pub fn pin(&mut self) {
        match self {
            Channel::Direct(direct) => direct.conn.pin(),
            // The other instance pins its connection by the state of the transaction.
            Channel::Relayed(_) => {}
        }
    }

    /// The instance that the channel goes through, or `None` for a direct channel.
    pub fn peer(&self) -> Option<&Name> {
        match self {
            Channel::Direct(_) => None,
            Channel::Relayed(relayed) => Some(&relayed.peer),
        }
    }

    /// Returns true if the server has a queue.
    pub fn has_queue(&self) -> bool {
        match self {
            Channel::Direct(direct) => direct.server.has_queue(),
            Channel::Relayed(relayed) => relayed.queued,
        }
    }

    /// Releases the connection. No transaction may be open on the channel.
    pub fn release(self) {
        match self {
            Channel::Direct(direct) => direct.conn.release(),
            Channel::Relayed(_) => {}
        }
    }

    /// Clears the list of prepared statements, which the server no longer has.
    pub fn clear_prepared(&mut self) {
        if let Channel::Direct(direct) = self
            && let Some(conn) = direct.conn.get_mut()
        {
            conn.prepared.clear();
        }
    }
}

impl Direct {
    /// Acquires a permit, if there is a rank, and then a connection. The permit comes first because waiters for permits are
    /// ordered by rank, but waiters for connections only by priority and arrival.
    pub async fn open(
        inst: &Rc<Instance>,
        up: &Rc<Upstream>,
        rank: Option<Rank>,
        slow_after: Micros,
        request: ConnRequest,
    ) -> Result<Direct, DirectError> {
        let permit = acquire_ranked_permit(inst, up, rank, slow_after, request.deadline).await?;
        let conn = up.pool.acquire(inst, &up.entry(), request).await?;
        Ok(Direct { conn, server: up.clone(), permit, sent: false })
    }

    async fn run(&mut self, inst: &Rc<Instance>, request: ChannelRequest<'_>) -> Result<Answer, RunError> {
        self.sent = false;
        let mut permit = match (self.permit.take(), request.rank) {
            (Some(permit), _) => Some(permit),
            (None, Some(rank)) => {
                match acquire_permit(inst, &self.server, rank, request.slow_after, request.deadline).await {
                    PermitOutcome::Granted(permit) => Some(permit),
                    PermitOutcome::Refused => return Err(RunError::Refused),
                    PermitOutcome::TimedOut => return Err(RunError::Busy),
                }
            }
            (None, None) => None,
        };
        if let Some(permit) = &mut permit {
            permit.mark_sent();
        }
        let (started, pool) = (Instant::now(), self.conn.pool());
        let work = run_on(inst, &mut self.conn, request, &mut self.sent);
        tokio::pin!(work);
        if let Ok(result) = timeout(request.stall_timeout, &mut work).await {
            return result;
        }
        // The connection may be stalled: frees the permit and closes connections that may be as dead.
        drop(permit);
        pool.close_idle_before(started);
        work.await
    }
}

/// Runs a command on a connection. Sets `sent` before the server may receive the command.
async fn run_on(
    inst: &Instance,
    pooled: &mut PooledConn,
    request: ChannelRequest<'_>,
    sent: &mut bool,
) -> Result<Answer, RunError> {
    // Set before the session state is applied, because a connection is unusable until that has finished.
    if let Some(progress) = request.progress {
        progress.set_sent();
    }
    if let Some(values) = request.values
        && !apply_session_state(inst, pooled, values, request.named).await
    {
        return Err(RunError::NotSent { reason: "the connection is of no use".to_owned() });
    }
    let protocol = inst.adapters.protocol.as_ref();
    let mut out = BytesMut::new();
    match request.command {
        CommandRef::Statement(forward) => protocol.encode_statement(forward, &mut out),
        CommandRef::Order(order, after) => protocol.encode_order(order, after, &mut out),
    }
    let broken = |reason: &dyn ToString| RunError::Broken { reason: reason.to_string() };
    let conn = pooled.get_mut().ok_or_else(|| broken(&"the connection was given back"))?;
    *sent = true;
    conn.send(&out).await.map_err(|e| broken(&e))?;
    conn.next_answer(protocol).await.map_err(|e| broken(&e))
}

/// Applies a session's state to a connection: its values, and the named statement if it isn't prepared yet. Returns false if
/// that failed, which makes the connection unusable.
async fn apply_session_state(
    inst: &Instance,
    pooled: &mut PooledConn,
    values: &SessionValues,
    named: Option<&Prepared>,
) -> bool {
    let Some(conn) = pooled.get_mut() else { return false };
    let known = conn.values.as_ref();
    // Single values can't be unset; a reset removes all of them.
    let has_extra =
        |old: &SessionValues| old.iter().any(|v| values.binary_search_by(|new| new.0.cmp(&v.0)).is_err());
    let full = conn.prepared.len() >= MAX_PREPARED && conn.txn == TxnState::Idle;
    let reset = full || known.is_none_or(has_extra);
    let is_set = |v: &(Name, Name)| !reset && known.is_some_and(|old| old.binary_search(v).is_ok());
    let mut orders = Vec::new();
    if reset {
        orders.push(Order::Reset);
    }
    for value in values.iter().filter(|v| !is_set(v)) {
        orders.push(Order::Set { name: value.0.clone(), value: value.1.clone() });
    }
    let prepare = named.filter(|p| reset || conn.prepared.binary_search(&p.alias).is_err());
    if let Some(prepared) = prepare {
        let name = prepared.alias.clone();
        orders.push(Order::Prepare { name, access: prepared.access, shape: prepared.shape.clone() });
    }
    if orders.is_empty() {
        return true;
    }
    let mut out = BytesMut::new();
    for order in &orders {
        inst.adapters.protocol.encode_order(order, None, &mut out);
    }
    // The session state is unknown until all orders are answered.
    conn.values = None;
    if reset {
        conn.prepared.clear();
    }
    if conn.send(&out).await.is_err() {
        return false;
    }
    for _ in &orders {
        match conn.next_answer(inst.adapters.protocol.as_ref()).await {
            Ok(answer) if answer.is_done() => {}
            Ok(_) | Err(_) => return false,
        }
    }
    conn.values = Some(values.clone());
    if let Some(prepared) = prepare {
        let index = conn.prepared.binary_search(&prepared.alias).unwrap_or_else(|i| i);
        conn.prepared.insert(index, prepared.alias.clone());
    }
    true
}

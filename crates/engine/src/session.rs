//! A caller's session: its connection, session values, named statements and transaction.

use {
    crate::{
        conn::SessionValues,
        count::Count,
        instance::{Instance, Micros, accept_all},
        model::{Access, Answer, CallerMessage, ErrorCode, Route, Statement, StatementKind, TxnState},
        organisation::{CallerKey, KeyHash, Owner},
        progress::Progress,
        settings::{MAX_SESSION_NAMES, UNREADY_DELAY},
        statement::{self, Execution},
        txn::Txn,
    },
    bytes::{Bytes, BytesMut},
    pondtrack_core::retry_after::RetryAfter,
    pondtrack_proto::{LogPosition, Name},
    serde::{Deserialize, Serialize},
    socket2::{SockRef, TcpKeepalive},
    std::{future, io, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::{Instant, sleep, sleep_until, timeout},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// The timeout for the message that opens a session on a database.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
/// The timeout for writing an answer. A caller that doesn't read is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// The idle time before the first TCP keepalive probe. Sessions are mostly idle, and without probes a session would
/// stay open forever after its connection silently stopped delivering packets.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(20);
/// The interval between keepalive probes, and the number of unanswered probes that ends the session.
const KEEPALIVE_PROBES: (Duration, u32) = (Duration::from_secs(5), 3);
/// The initial size of a session's buffer, in bytes. Most statements are smaller.
const BUFFER_SIZE: usize = 512;
/// The maximum number of bytes that are buffered while a statement runs. The statements of a caller that pipelines fit,
/// and a caller that sends without reading can't use more memory. Beyond this limit the caller's disconnection isn't
/// noticed until the statement has been answered.
const MAX_READ_AHEAD: usize = 16 << 10;

/// A named statement of a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prepared {
    /// The caller's name for the statement.
    pub name: Name,
    /// Read or write access.
    pub access: Access,
    /// The statement's text.
    pub shape: Name,
    /// The statement's name on servers. The same statement has the same alias for all callers.
    pub alias: Name,
}

/// A caller's session.
pub struct Session {
    /// The instance that serves the session.
    pub inst: Rc<Instance>,
    /// The database that the session was opened on.
    pub database: Name,
    /// The hash of the key that the session was opened with. Its owner may change with each configuration.
    pub key: KeyHash,
    /// The session values.
    pub values: SessionValues,
    /// The named statements, sorted by name.
    pub prepared: Vec<Prepared>,
    /// The log position of the latest acknowledged commit, and the time of the acknowledgement.
    pub mark: Option<(LogPosition, Micros)>,
    /// The current transaction.
    pub txn: Txn,
    /// The progress of the current statement.
    progress: Rc<Progress>,
}

/// Accepts connections of callers until this instance stops.
pub async fn accept(inst: Rc<Instance>, listener: TcpListener) {
    accept_all(&listener, "accept", |stream| serve(inst.clone(), stream)).await;
}

async fn serve(inst: Rc<Instance>, stream: TcpStream) {
    inst.sessions.set(inst.sessions.get() + 1);
    inst.counters.increment(Count::Sessions);
    // Callers disconnect all the time, so this is logged at debug level only.
    if let Err(e) = Connection::new(inst.clone(), stream).run().await {
        log::debug!(step = "session"; "{e}");
    }
    inst.sessions.set(inst.sessions.get() - 1);
}

/// A caller's connection, with its buffers.
struct Connection {
    inst: Rc<Instance>,
    stream: TcpStream,
    buf: BytesMut,
    out: BytesMut,
}

/// An event that a session handles between two statements.
enum Event {
    Message(CallerMessage),
    /// The transaction has reached its idle timeout.
    TxnIdle,
    /// This instance is shutting down.
    Shutdown,
    /// The caller has closed the connection, or sent a message that exceeds the size limit.
    Closed,
}

impl Connection {
    fn new(inst: Rc<Instance>, stream: TcpStream) -> Connection {
        Connection { inst, stream, buf: BytesMut::with_capacity(BUFFER_SIZE), out: BytesMut::new() }
    }

    async fn run(&mut self) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        let (interval, retries) = KEEPALIVE_PROBES;
        let keepalive =
            TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(interval).with_retries(retries);
        SockRef::from(&self.stream).set_tcp_keepalive(&keepalive)?;
        let Some(mut session) = self.open().await? else { return Ok(()) };
        loop {
            let open = session.txn.is_open();
            let answer = match self.next_event(open).await? {
                Event::Message(CallerMessage::Statement(s)) => match self.execute(&mut session, s).await {
                    Some(answer) => answer,
                    None => break,
                },
                Event::Message(CallerMessage::Malformed(reason)) => {
                    Answer::error(ErrorCode::Malformed, reason, session.txn.state())
                }
                Event::Message(CallerMessage::Open { .. }) => {
                    Answer::error(ErrorCode::Malformed, "the session is open already", session.txn.state())
                }
                Event::TxnIdle => {
                    session.txn.abort("it was idle for too long");
                    continue;
                }
                Event::Message(CallerMessage::Close) | Event::Shutdown | Event::Closed => break,
            };
            self.reply(&answer).await?;
        }
        session.txn.discard().await;
        Ok(())
    }

    /// Opens the session that the caller's first message requests. Returns none if the caller disconnects, is refused
    /// or doesn't send the message in time.
    async fn open(&mut self) -> io::Result<Option<Session>> {
        let message = match timeout(OPEN_TIMEOUT, self.message()).await {
            Ok(message) => message?,
            Err(_) => return Ok(None),
        };
        let refusal = match message {
            Some(CallerMessage::Open { database, key }) => match self.authorise(&database, &key) {
                Ok(key) => {
                    self.out.clear();
                    self.inst.adapters.protocol.encode_welcome(&mut self.out);
                    self.flush().await?;
                    return Ok(Some(Session::new(self.inst.clone(), database, key)));
                }
                Err(refusal) => refusal,
            },
            Some(_) => {
                Answer::error(ErrorCode::Malformed, "a session begins with its database", TxnState::Idle)
            }
            None => return Ok(None),
        };
        self.out.clear();
        self.inst.adapters.protocol.encode_refusal(&refusal, &mut self.out);
        self.flush().await?;
        Ok(None)
    }

    /// Checks that a caller may open a session on a database. Returns the hash of its key, or the refusal.
    fn authorise(&self, database: &Name, key: &CallerKey) -> Result<KeyHash, Answer> {
        let Some(config) = self.inst.config() else {
            return Err(statement::busy("no configuration yet", TxnState::Idle));
        };
        let version = config.version;
        let Some(route) = config.route(database) else {
            if self.inst.may_log() {
                log::info!(database = database.as_str(), version; "no such database");
            }
            return Err(Answer::error(ErrorCode::NoDatabase, "no such database", TxnState::Idle));
        };
        if !self.inst.has_fresh_keys() {
            return Err(untrusted());
        }
        let key = key.hash();
        if config.owner_of(&key, route).is_none() {
            self.inst.counters.increment(Count::Denied);
            if self.inst.may_log() {
                log::info!(database = database.as_str(), version; "the caller's key is nobody's");
            }
            return Err(denied());
        }
        Ok(key)
    }

    /// Waits for the next event; `open` says that a transaction is open.
    async fn next_event(&mut self, open: bool) -> io::Result<Event> {
        let inst = self.inst.clone();
        let idle = inst.config().map(|config| config.txn_idle).filter(|_| open);
        tokio::select! {
            message = self.message() => Ok(message?.map_or(Event::Closed, Event::Message)),
            () = sleep_or_pending(idle) => Ok(Event::TxnIdle),
            () = may_close(&inst, open) => Ok(Event::Shutdown),
        }
    }

    /// Executes a statement. Returns none if the caller disconnects before a server has the statement.
    async fn execute(&mut self, session: &mut Session, statement: Statement) -> Option<Answer> {
        // A new value, as hedged reads of an earlier statement may still be in flight.
        let progress = Rc::new(Progress::default());
        session.progress = progress.clone();
        let answer = session.execute(statement);
        tokio::pin!(answer);
        tokio::select! {
            biased;
            answer = &mut answer => return Some(answer),
            () = self.disconnected() => progress.disconnect(),
        }
        let answer = tokio::select! {
            biased;
            answer = &mut answer => Some(answer),
            () = progress.cancelled() => None,
        };
        // Counted even if there is an answer: a relay that cancelled the statement answers with a refusal.
        if progress.is_unsent() {
            self.inst.counters.increment(Count::CallersLeft);
        }
        answer
    }

    /// Waits until the caller has disconnected, and buffers the bytes that it sends meanwhile.
    ///
    /// A reset connection has no caller. After an end of stream, the caller may still read, and gets the answer to a
    /// statement that a server already has. The protocol has no half-closed sessions, so a statement that is still
    /// queued is cancelled if organisations have quotas and so compete for capacity. Without quotas it stays queued, as
    /// its place in the queue costs no other caller anything.
    async fn disconnected(&mut self) {
        loop {
            if self.buf.len() >= MAX_READ_AHEAD {
                return future::pending().await;
            }
            match self.read().await {
                Err(_) => return,
                Ok(0) if self.inst.config().is_some_and(|config| config.is_limited()) => return,
                Ok(0) => return future::pending().await,
                Ok(_) => {}
            }
        }
    }

    /// Reads into the buffer; 0 at the end of the stream.
    async fn read(&mut self) -> io::Result<usize> {
        if self.buf.capacity() - self.buf.len() < BUFFER_SIZE / 2 {
            self.buf.reserve(BUFFER_SIZE);
        }
        self.stream.read_buf(&mut self.buf).await
    }

    /// Reads the caller's next message; none at the end of the stream. A message that exceeds the size limit is
    /// refused, and counts as the end.
    async fn message(&mut self) -> io::Result<Option<CallerMessage>> {
        loop {
            match self.inst.adapters.protocol.decode_caller(&mut self.buf) {
                Ok(Some(message)) => return Ok(Some(message)),
                Ok(None) => {}
                Err(e) => {
                    let answer = Answer::error(ErrorCode::TooLarge, e.reason, TxnState::Idle);
                    self.out.clear();
                    self.inst.adapters.protocol.encode_refusal(&answer, &mut self.out);
                    self.flush().await?;
                    return Ok(None);
                }
            }
            if self.read().await? == 0 {
                return Ok(None);
            }
        }
    }

    async fn reply(&mut self, answer: &Answer) -> io::Result<()> {
        self.out.clear();
        self.inst.adapters.protocol.encode_answer(answer, &mut self.out);
        self.flush().await
    }

    async fn flush(&mut self) -> io::Result<()> {
        match timeout(WRITE_TIMEOUT, self.stream.write_all(&self.out)).await {
            Ok(result) => result,
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }
}

async fn sleep_or_pending(duration: Option<Duration>) {
    match duration {
        Some(duration) => sleep(duration).await,
        None => future::pending().await,
    }
}

/// Waits until a session may be closed during shutdown: once the platform sends no new sessions, and if a transaction
/// is open not before half of the grace period is over.
async fn may_close(inst: &Instance, open: bool) {
    let since = loop {
        let notified = inst.drain_started.notified();
        match inst.draining_since() {
            Some(since) => break since,
            None => notified.await,
        }
    };
    sleep_until(since + if open { inst.bounds.get().grace / 2 } else { UNREADY_DELAY }).await;
}

impl Session {
    fn new(inst: Rc<Instance>, database: Name, key: KeyHash) -> Session {
        Session {
            inst,
            database,
            key,
            values: SessionValues::default(),
            prepared: Vec::new(),
            mark: None,
            txn: Txn::None,
            progress: Rc::default(),
        }
    }

    /// Executes a statement, and records its latency and a failure.
    pub async fn execute(&mut self, statement: Statement) -> Answer {
        let arrived = Instant::now();
        let answer = self.dispatch(&statement, arrived).await;
        self.inst.counters.record_statement(arrived.elapsed());
        if let Some(code) = answer.error_code() {
            self.record_failure(&statement, &answer, code, arrived);
        }
        answer
    }

    async fn dispatch(&mut self, statement: &Statement, arrived: Instant) -> Answer {
        if self.txn.state() == TxnState::Failed
            && !matches!(statement.kind, StatementKind::Rollback | StatementKind::Commit)
        {
            return Answer::error(ErrorCode::Malformed, "the transaction has failed", TxnState::Failed);
        }
        let is_owner = |owner: &Owner| self.owner().as_ref() == Some(owner) && self.inst.has_fresh_keys();
        if self.txn.owner().is_some_and(|owner| !is_owner(owner)) {
            self.txn.abort("its caller's key is another's or nobody's, or may be by now");
        }
        if self.inst.config().is_some_and(|config| statement.text.len() > config.message_bytes) {
            return Answer::error(
                ErrorCode::TooLarge,
                "larger than the configuration allows",
                self.txn.state(),
            );
        }
        match &statement.kind {
            StatementKind::Set { name, value } => self.set(name, value),
            StatementKind::Prepare { name, access, shape } => self.prepare(name, *access, shape),
            StatementKind::Deallocate { name } => self.deallocate(name),
            StatementKind::Malformed => {
                Answer::error(ErrorCode::Malformed, "not a statement", self.txn.state())
            }
            StatementKind::Execute { name, .. } => match self.find(name).cloned() {
                Some(named) => self.run(statement, named.access, Some(named), arrived).await,
                None => Answer::error(ErrorCode::NoStatement, "no such named statement", self.txn.state()),
            },
            StatementKind::Run(access) => self.run(statement, *access, None, arrived).await,
            StatementKind::Begin(_) | StatementKind::Commit | StatementKind::Rollback => {
                self.control_txn(statement, arrived).await
            }
        }
    }

    /// Runs a read or a write, in the open transaction if there is one.
    async fn run(
        &mut self,
        statement: &Statement,
        access: Access,
        named: Option<Prepared>,
        arrived: Instant,
    ) -> Answer {
        if self.txn.is_aborted() {
            return self.txn.report_abort();
        }
        let execution = match self.execution(statement, named, arrived) {
            Ok(execution) => execution,
            Err(answer) => return answer,
        };
        if self.txn.is_open() {
            return execution.run_in_txn(self, access).await;
        }
        if let Err(retry_after) = self.inst.quotas.admit(&execution).await {
            return over_quota(retry_after);
        }
        match access {
            Access::Read => execution.read(self).await,
            Access::Write => execution.write(self).await,
        }
    }

    /// Begins, commits or rolls back a transaction.
    async fn control_txn(&mut self, statement: &Statement, arrived: Instant) -> Answer {
        match (&statement.kind, self.txn.is_open()) {
            (StatementKind::Begin(access), false) => {
                self.txn = Txn::None;
                let execution = match self.execution(statement, None, arrived) {
                    Ok(execution) => execution,
                    Err(answer) => return answer,
                };
                if let Err(retry_after) = self.inst.quotas.admit(&execution).await {
                    return over_quota(retry_after);
                }
                execution.begin(self, *access).await
            }
            (StatementKind::Begin(_), true) => {
                Answer::error(ErrorCode::Malformed, "a transaction is open already", self.txn.state())
            }
            (StatementKind::Rollback, true) => self.roll_back().await,
            (StatementKind::Rollback, false) => {
                self.txn = Txn::None;
                Answer::done(TxnState::Idle)
            }
            (_, true) => match self.execution(statement, None, arrived) {
                Ok(execution) => execution.commit(self).await,
                Err(answer) => {
                    self.roll_back().await;
                    answer
                }
            },
            (_, false) if self.txn.is_aborted() => self.txn.report_abort(),
            (_, false) => Answer::error(ErrorCode::Malformed, "no transaction is open", TxnState::Idle),
        }
    }

    /// Rolls the transaction back on the caller's request. Marks the statement as sent, as the server may have received
    /// the rollback: a caller that has closed only its sending side still gets the answer.
    pub async fn roll_back(&mut self) -> Answer {
        self.progress.set_sent();
        self.txn.rollback().await
    }

    /// Prepares the execution of a statement. Returns the refusal if the database has no route, or the key has no owner
    /// or can't be checked.
    fn execution<'a>(
        &self,
        statement: &'a Statement,
        named: Option<Prepared>,
        arrived: Instant,
    ) -> Result<Execution<'a>, Answer> {
        let route = self.route().ok_or_else(|| {
            Answer::error(ErrorCode::NoDatabase, "the database was removed", TxnState::Idle)
        })?;
        if !self.inst.has_fresh_keys() {
            return Err(untrusted());
        }
        let Some(owner) = self.owner() else {
            self.inst.counters.increment(Count::Denied);
            return Err(denied());
        };
        Ok(Execution::new(self.inst.clone(), route, owner, statement, named, arrived, self.progress.clone()))
    }

    /// The database's route. An open transaction keeps the route that it began with, so a changed route applies from
    /// the next transaction on.
    fn route(&self) -> Option<Rc<Route>> {
        match self.txn.route() {
            Some(route) => Some(route),
            None => Some(Rc::new(self.inst.config()?.route(&self.database)?.clone())),
        }
    }

    /// The present owner of the session's statements; none if the key allows no access to the database.
    fn owner(&self) -> Option<Owner> {
        self.inst.config()?.owner_of(&self.key, &*self.route()?)
    }

    /// Sets a session value.
    fn set(&mut self, name: &Name, value: &Name) -> Answer {
        if self.values.len() >= MAX_SESSION_NAMES {
            return Answer::error(ErrorCode::TooLarge, "too many session values", self.txn.state());
        }
        let mut values = self.values.to_vec();
        match values.binary_search_by(|entry| entry.0.cmp(name)) {
            Ok(i) => values[i].1 = value.clone(),
            Err(i) => values.insert(i, (name.clone(), value.clone())),
        }
        self.values = Rc::new(values);
        Answer::done(self.txn.state())
    }

    fn find(&self, name: &Name) -> Option<&Prepared> {
        let i = self.prepared.binary_search_by(|p| p.name.cmp(name)).ok()?;
        Some(&self.prepared[i])
    }

    /// Adds or replaces a named statement. Servers get it when it is first executed on a connection.
    fn prepare(&mut self, name: &Name, access: Access, shape: &Name) -> Answer {
        if self.prepared.len() >= MAX_SESSION_NAMES {
            return Answer::error(ErrorCode::TooLarge, "too many named statements", self.txn.state());
        }
        let prepared =
            Prepared { name: name.clone(), access, shape: shape.clone(), alias: alias(access, shape) };
        match self.prepared.binary_search_by(|p| p.name.cmp(name)) {
            Ok(i) => self.prepared[i] = prepared,
            Err(i) => self.prepared.insert(i, prepared),
        }
        Answer::done(self.txn.state())
    }

    fn deallocate(&mut self, name: &Name) -> Answer {
        match self.prepared.binary_search_by(|p| p.name.cmp(name)) {
            Ok(i) => drop(self.prepared.remove(i)),
            Err(_) => {
                return Answer::error(ErrorCode::NoStatement, "no such named statement", self.txn.state());
            }
        }
        Answer::done(self.txn.state())
    }

    /// Counts and logs a statement that failed. The log is rate-limited.
    fn record_failure(&self, statement: &Statement, answer: &Answer, code: ErrorCode, arrived: Instant) {
        let counter = match code {
            ErrorCode::Unknown | ErrorCode::Timeout => Count::Unknown,
            _ => Count::NotRun,
        };
        self.inst.counters.increment(counter);
        if !self.inst.may_log() {
            return;
        }
        let id = String::from_utf8_lossy(&statement.id);
        let why = match &answer.end {
            crate::model::Completion::Error { text, .. } => String::from_utf8_lossy(text).into_owned(),
            crate::model::Completion::Done(_) => String::new(),
        };
        let took_ms = arrived.elapsed().as_millis() as u64;
        let owner = self.owner().map_or_else(|| "nobody".to_owned(), |owner| owner.to_string());
        let (database, owner) = (self.database.as_str(), owner.as_str());
        log::info!(request = &*id, database, owner, code:% = code, took_ms; "no result: {why}");
    }
}

/// The answer for a key that no owner has.
fn denied() -> Answer {
    Answer::error(ErrorCode::NoAuth, "the key is nobody's", TxnState::Idle)
}

/// The answer while this instance can't exclude that the key was revoked.
fn untrusted() -> Answer {
    statement::busy("whether the key is still good isn't known", TxnState::Idle)
}

/// The answer for an operation above its organisation's quota.
fn over_quota(retry_after: RetryAfter) -> Answer {
    let ms = (retry_after.delay() / 1_000).max(1);
    let reason = match retry_after {
        RetryAfter::Room { .. } => format!("the organisation has used its quota; come back in {ms} ms"),
        RetryAfter::TooLate { .. } => {
            format!("the organisation has used its quota; no room in time, come back in {ms} ms")
        }
    };
    Answer::error(ErrorCode::Busy, error_text(reason), TxnState::Idle)
}

/// The name of a named statement on servers: a hash of its access and text.
fn alias(access: Access, shape: &Name) -> Name {
    let access: &'static str = access.into();
    let text = format!("{access} {shape}");
    Name::from(format!("p{:016x}", xxh3_64(text.as_bytes())))
}

/// The text of an error answer.
pub fn error_text(text: impl Into<String>) -> Bytes {
    Bytes::from(text.into())
}

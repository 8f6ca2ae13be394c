//! A caller's session: its values, its named statements, its transaction.

use {
    crate::{
        conn::SessionValues,
        count::Count,
        instance::{Instance, Micros, accept_all},
        model::{Access, Answer, CallerMessage, ErrorCode, Route, Statement, StatementKind, TxnState},
        organisation::{CallerKey, KeyHash, Owner},
        progress::Progress,
        settings::{MAX_SESSION_NAMES, UNREADY_DELAY},
        statement::{self, Work},
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

/// Time for a caller to say which database it wants.
const OPEN_LIMIT: Duration = Duration::from_secs(5);
/// Time for a caller to take an answer; one that doesn't read is cut off.
const WRITE_LIMIT: Duration = Duration::from_secs(10);
/// A caller that says nothing for this long is asked by the system whether it is there: sessions are mostly
/// idle, and one whose connection let nothing through any longer would stay for good.
const KEEPALIVE: Duration = Duration::from_secs(20);
/// Between two such questions, and how many go unanswered before the session ends.
const KEEPALIVE_AGAIN: (Duration, u32) = (Duration::from_secs(5), 3);
/// The first size of a session's buffer, in bytes: most statements are smaller.
const BUFFER: usize = 512;
/// Bytes of further statements that are taken while one is being answered: those of a caller that doesn't wait for answers
/// fit, and one that sends without reading has no more kept for it. Whether it leaves isn't noticed beyond.
const READ_AHEAD: usize = 16 << 10;

/// A named statement of a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prepared {
    /// The caller's name for it.
    pub name: Name,
    /// What it does.
    pub access: Access,
    /// The statement.
    pub shape: Name,
    /// Its name on servers: the same for the same statement of all callers.
    pub alias: Name,
}

/// A caller's session.
pub struct Session {
    /// The instance.
    pub inst: Rc<Instance>,
    /// The database it asked for.
    pub database: Name,
    /// The key that it was opened with: whose it is may change with each configuration.
    pub key: KeyHash,
    /// Its session values.
    pub values: SessionValues,
    /// Its named statements, sorted by name.
    pub prepared: Vec<Prepared>,
    /// Its latest acknowledged commit, and when that was.
    pub mark: Option<(LogPosition, Micros)>,
    /// Its transaction.
    pub txn: Txn,
    /// How far its statement has come.
    progress: Rc<Progress>,
}

/// Accepts callers until this instance ends.
pub async fn accept(inst: Rc<Instance>, listener: TcpListener) {
    accept_all(&listener, "accept", |stream| serve(inst.clone(), stream)).await;
}

async fn serve(inst: Rc<Instance>, stream: TcpStream) {
    inst.sessions.set(inst.sessions.get() + 1);
    inst.counters.increment(Count::Sessions);
    // A caller that goes away is no event worth a line.
    if let Err(e) = Link::new(inst.clone(), stream).run().await {
        log::debug!(step = "session"; "{e}");
    }
    inst.sessions.set(inst.sessions.get() - 1);
}

/// The bytes between a caller and its session.
struct Link {
    inst: Rc<Instance>,
    stream: TcpStream,
    buf: BytesMut,
    out: BytesMut,
}

/// What a session waits for between two statements.
enum Next {
    Message(CallerMessage),
    /// The transaction was idle for too long.
    Idle,
    /// This instance leaves.
    Leave,
    /// The caller has closed, or sent what can't be read.
    Closed,
}

impl Link {
    fn new(inst: Rc<Instance>, stream: TcpStream) -> Link {
        Link { inst, stream, buf: BytesMut::with_capacity(BUFFER), out: BytesMut::new() }
    }

    async fn run(&mut self) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        let (interval, retries) = KEEPALIVE_AGAIN;
        let keepalive =
            TcpKeepalive::new().with_time(KEEPALIVE).with_interval(interval).with_retries(retries);
        SockRef::from(&self.stream).set_tcp_keepalive(&keepalive)?;
        let Some(mut session) = self.open().await? else { return Ok(()) };
        loop {
            let open = session.txn.is_open();
            let answer = match self.next(open).await? {
                Next::Message(CallerMessage::Statement(it)) => match self.attend(&mut session, it).await {
                    Some(it) => it,
                    None => break,
                },
                Next::Message(CallerMessage::Malformed(why)) => {
                    Answer::error(ErrorCode::Malformed, why, session.txn.state())
                }
                Next::Message(CallerMessage::Open { .. }) => {
                    Answer::error(ErrorCode::Malformed, "the session is open already", session.txn.state())
                }
                Next::Idle => {
                    session.txn.lose("it was idle for too long");
                    continue;
                }
                Next::Message(CallerMessage::Close) | Next::Leave | Next::Closed => break,
            };
            self.reply(&answer).await?;
        }
        session.txn.abandon().await;
        Ok(())
    }

    async fn open(&mut self) -> io::Result<Option<Session>> {
        let message = match timeout(OPEN_LIMIT, self.message()).await {
            Ok(it) => it?,
            Err(_) => return Ok(None),
        };
        let refusal = match message {
            Some(CallerMessage::Open { database, key }) => match self.admit(&database, &key) {
                Ok(key) => {
                    self.out.clear();
                    self.inst.adapters.protocol.encode_welcome(&mut self.out);
                    self.flush().await?;
                    return Ok(Some(Session::new(self.inst.clone(), database, key)));
                }
                Err(it) => it,
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

    /// Whether a caller may open a session, and with which key; else what it is told.
    fn admit(&self, database: &Name, key: &CallerKey) -> Result<KeyHash, Answer> {
        let Some(desired) = self.inst.config() else {
            return Err(statement::busy("no configuration yet", TxnState::Idle));
        };
        let version = desired.version;
        let Some(route) = desired.route(database) else {
            if self.inst.may_log() {
                log::info!(database = database.as_str(), version; "no such database");
            }
            return Err(Answer::error(ErrorCode::NoDatabase, "no such database", TxnState::Idle));
        };
        if !self.inst.trusts_keys() {
            return Err(untrusted());
        }
        let key = key.hash();
        if desired.owner_of(&key, route).is_none() {
            self.inst.counters.increment(Count::Denied);
            if self.inst.may_log() {
                log::info!(database = database.as_str(), version; "the caller's key is nobody's");
            }
            return Err(denied());
        }
        Ok(key)
    }

    async fn next(&mut self, open: bool) -> io::Result<Next> {
        let inst = self.inst.clone();
        let idle = inst.config().map(|it| it.txn_idle).filter(|_| open);
        tokio::select! {
            it = self.message() => Ok(it?.map_or(Next::Closed, Next::Message)),
            () = or_never(idle) => Ok(Next::Idle),
            () = may_leave(&inst, open) => Ok(Next::Leave),
        }
    }

    /// Answers a statement; none where its caller has left before a server had it.
    async fn attend(&mut self, session: &mut Session, it: Statement) -> Option<Answer> {
        // Flights of an earlier one may still be out.
        let progress = Rc::new(Progress::default());
        session.progress = progress.clone();
        let answer = session.answer(it);
        tokio::pin!(answer);
        tokio::select! {
            biased;
            it = &mut answer => return Some(it),
            () = self.left() => progress.disconnect(),
        }
        let answer = tokio::select! {
            biased;
            it = &mut answer => Some(it),
            () = progress.cancelled() => None,
        };
        // Another instance that gave it up has it refused.
        if progress.is_unsent() {
            self.inst.counters.increment(Count::CallersLeft);
        }
        answer
    }

    /// Waits until the caller has left. What it sends meanwhile is kept.
    ///
    /// A connection that was reset has no caller. One whose stream has ended may have one that still reads: it gets the
    /// answer to what a server has. The protocol knows no half-closed sessions, so where callers compete for room, what
    /// still waits is given up; elsewhere its place costs nobody anything.
    async fn left(&mut self) {
        loop {
            if self.buf.len() >= READ_AHEAD {
                return future::pending().await;
            }
            match self.read().await {
                Err(_) => return,
                Ok(0) if self.inst.config().is_some_and(|it| it.is_limited()) => return,
                Ok(0) => return future::pending().await,
                Ok(_) => {}
            }
        }
    }

    async fn read(&mut self) -> io::Result<usize> {
        if self.buf.capacity() - self.buf.len() < BUFFER / 2 {
            self.buf.reserve(BUFFER);
        }
        self.stream.read_buf(&mut self.buf).await
    }

    /// The caller's next message; none when it has closed.
    async fn message(&mut self) -> io::Result<Option<CallerMessage>> {
        loop {
            match self.inst.adapters.protocol.decode_caller(&mut self.buf) {
                Ok(Some(it)) => return Ok(Some(it)),
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
        match timeout(WRITE_LIMIT, self.stream.write_all(&self.out)).await {
            Ok(it) => it,
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }
}

async fn or_never(limit: Option<Duration>) {
    match limit {
        Some(it) => sleep(it).await,
        None => future::pending().await,
    }
}

/// Waits until a session may be closed as this instance leaves: once the platform sends no new ones, and
/// with a transaction open not before half of the grace is over.
async fn may_leave(inst: &Instance, open: bool) {
    let since = loop {
        let left = inst.leave.notified();
        match inst.leaving() {
            Some(it) => break it,
            None => left.await,
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

    /// Answers a statement.
    pub async fn answer(&mut self, it: Statement) -> Answer {
        let arrived = Instant::now();
        let answer = self.perform(&it, arrived).await;
        self.inst.counters.record_statement(arrived.elapsed());
        if let Some(code) = answer.error_code() {
            self.tell(&it, &answer, code, arrived);
        }
        answer
    }

    async fn perform(&mut self, it: &Statement, arrived: Instant) -> Answer {
        if self.txn.state() == TxnState::Failed
            && !matches!(it.verb, StatementKind::Rollback | StatementKind::Commit)
        {
            return Answer::error(ErrorCode::Malformed, "the transaction has failed", TxnState::Failed);
        }
        let is_owner = |it: &Owner| self.owner().as_ref() == Some(it) && self.inst.trusts_keys();
        if self.txn.owner().is_some_and(|it| !is_owner(it)) {
            self.txn.lose("its caller's key is another's or nobody's, or may be by now");
        }
        if self.inst.config().is_some_and(|desired| it.text.len() > desired.message_bytes) {
            return Answer::error(
                ErrorCode::TooLarge,
                "larger than the configuration allows",
                self.txn.state(),
            );
        }
        match &it.verb {
            StatementKind::Set { name, value } => self.set(name, value),
            StatementKind::Prepare { name, access, shape } => self.prepare(name, *access, shape),
            StatementKind::Deallocate { name } => self.deallocate(name),
            StatementKind::Malformed => {
                Answer::error(ErrorCode::Malformed, "not a statement", self.txn.state())
            }
            StatementKind::Execute { name, .. } => match self.find(name).cloned() {
                Some(known) => self.run(it, known.access, Some(known), arrived).await,
                None => Answer::error(ErrorCode::NoStatement, "no such named statement", self.txn.state()),
            },
            StatementKind::Run(access) => self.run(it, *access, None, arrived).await,
            StatementKind::Begin(_) | StatementKind::Commit | StatementKind::Rollback => {
                self.bound(it, arrived).await
            }
        }
    }

    async fn run(
        &mut self,
        it: &Statement,
        access: Access,
        named: Option<Prepared>,
        arrived: Instant,
    ) -> Answer {
        if self.txn.is_lost() {
            return self.txn.report_lost();
        }
        let work = match self.work(it, named, arrived) {
            Ok(it) => it,
            Err(answer) => return answer,
        };
        if self.txn.is_open() {
            return work.in_transaction(self, access).await;
        }
        if let Err(it) = self.inst.quotas.admit(&work).await {
            return over_limit(it);
        }
        match access {
            Access::Read => work.read(self).await,
            Access::Write => work.write(self).await,
        }
    }

    /// Begins or ends a transaction.
    async fn bound(&mut self, it: &Statement, arrived: Instant) -> Answer {
        match (&it.verb, self.txn.is_open()) {
            (StatementKind::Begin(access), false) => {
                self.txn = Txn::None;
                let work = match self.work(it, None, arrived) {
                    Ok(it) => it,
                    Err(answer) => return answer,
                };
                if let Err(it) = self.inst.quotas.admit(&work).await {
                    return over_limit(it);
                }
                work.begin(self, *access).await
            }
            (StatementKind::Begin(_), true) => {
                Answer::error(ErrorCode::Malformed, "a transaction is open already", self.txn.state())
            }
            (StatementKind::Rollback, true) => self.roll_back().await,
            (StatementKind::Rollback, false) => {
                self.txn = Txn::None;
                Answer::done(TxnState::Idle)
            }
            (_, true) => match self.work(it, None, arrived) {
                Ok(work) => work.commit(self).await,
                Err(answer) => {
                    self.roll_back().await;
                    answer
                }
            },
            (_, false) if self.txn.is_lost() => self.txn.report_lost(),
            (_, false) => Answer::error(ErrorCode::Malformed, "no transaction is open", TxnState::Idle),
        }
    }

    /// Rolls its transaction back for the caller. One that only reads yet is answered, as the server may have the order.
    pub async fn roll_back(&mut self) -> Answer {
        self.progress.set_sent();
        self.txn.rollback().await
    }

    /// A statement on its way, or what its caller is told instead.
    fn work<'a>(
        &self,
        it: &'a Statement,
        named: Option<Prepared>,
        arrived: Instant,
    ) -> Result<Work<'a>, Answer> {
        let route = self.route().ok_or_else(|| {
            Answer::error(ErrorCode::NoDatabase, "the database was removed", TxnState::Idle)
        })?;
        if !self.inst.trusts_keys() {
            return Err(untrusted());
        }
        let Some(owner) = self.owner() else {
            self.inst.counters.increment(Count::Denied);
            return Err(denied());
        };
        Ok(Work::new(self.inst.clone(), route, owner, it, named, arrived, self.progress.clone()))
    }

    /// How its database is served; a changed route applies from the next transaction on.
    fn route(&self) -> Option<Rc<Route>> {
        match self.txn.route() {
            Some(it) => Some(it),
            None => Some(Rc::new(self.inst.config()?.route(&self.database)?.clone())),
        }
    }

    /// Whose its statements are now; none where its key allows none.
    fn owner(&self) -> Option<Owner> {
        self.inst.config()?.owner_of(&self.key, &*self.route()?)
    }

    fn set(&mut self, name: &Name, value: &Name) -> Answer {
        if self.values.len() >= MAX_SESSION_NAMES {
            return Answer::error(ErrorCode::TooLarge, "too many session values", self.txn.state());
        }
        let mut values = self.values.to_vec();
        match values.binary_search_by(|it| it.0.cmp(name)) {
            Ok(at) => values[at].1 = value.clone(),
            Err(at) => values.insert(at, (name.clone(), value.clone())),
        }
        self.values = Rc::new(values);
        Answer::done(self.txn.state())
    }

    fn find(&self, name: &Name) -> Option<&Prepared> {
        let at = self.prepared.binary_search_by(|it| it.name.cmp(name)).ok()?;
        Some(&self.prepared[at])
    }

    fn prepare(&mut self, name: &Name, access: Access, shape: &Name) -> Answer {
        if self.prepared.len() >= MAX_SESSION_NAMES {
            return Answer::error(ErrorCode::TooLarge, "too many named statements", self.txn.state());
        }
        let it = Prepared { name: name.clone(), access, shape: shape.clone(), alias: alias(access, shape) };
        match self.prepared.binary_search_by(|it| it.name.cmp(name)) {
            Ok(at) => self.prepared[at] = it,
            Err(at) => self.prepared.insert(at, it),
        }
        Answer::done(self.txn.state())
    }

    fn deallocate(&mut self, name: &Name) -> Answer {
        match self.prepared.binary_search_by(|it| it.name.cmp(name)) {
            Ok(at) => drop(self.prepared.remove(at)),
            Err(_) => {
                return Answer::error(ErrorCode::NoStatement, "no such named statement", self.txn.state());
            }
        }
        Answer::done(self.txn.state())
    }

    /// One line for a statement that has no result; bounded under load.
    fn tell(&self, it: &Statement, answer: &Answer, code: ErrorCode, arrived: Instant) {
        let counted = match code {
            ErrorCode::Unknown | ErrorCode::Timeout => Count::Unknown,
            _ => Count::NotRun,
        };
        self.inst.counters.increment(counted);
        if !self.inst.may_log() {
            return;
        }
        let id = String::from_utf8_lossy(&it.id);
        let why = match &answer.end {
            crate::model::Completion::Error { text, .. } => String::from_utf8_lossy(text).into_owned(),
            crate::model::Completion::Done(_) => String::new(),
        };
        let took_ms = arrived.elapsed().as_millis() as u64;
        let owner = self.owner().map_or_else(|| "nobody".to_owned(), |it| it.to_string());
        let (database, owner) = (self.database.as_str(), owner.as_str());
        log::info!(request = &*id, database, owner, code:% = code, took_ms; "no result: {why}");
    }
}

/// What a caller is told whose key is nobody's.
fn denied() -> Answer {
    Answer::error(ErrorCode::NoAuth, "the key is nobody's", TxnState::Idle)
}

/// What a caller is told where its key may have been taken away.
fn untrusted() -> Answer {
    statement::busy("whether the key is still good isn't known", TxnState::Idle)
}

/// What a caller is told whose organisation has used its quota.
fn over_limit(it: RetryAfter) -> Answer {
    let ms = (it.delay() / 1_000).max(1);
    let why = match it {
        RetryAfter::Room { .. } => format!("the organisation has used its quota; come back in {ms} ms"),
        RetryAfter::TooLate { .. } => {
            format!("the organisation has used its quota; no room in time, come back in {ms} ms")
        }
    };
    Answer::error(ErrorCode::Busy, text(why), TxnState::Idle)
}

fn alias(access: Access, shape: &Name) -> Name {
    let access: &'static str = access.into();
    let text = format!("{access} {shape}");
    Name::from(format!("p{:016x}", xxh3_64(text.as_bytes())))
}

/// A message for people as the bytes of an answer.
pub fn text(it: impl Into<String>) -> Bytes {
    Bytes::from(it.into())
}

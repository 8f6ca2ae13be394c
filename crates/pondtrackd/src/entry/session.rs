//! State of a session and execution of its batches.

use {
    super::{
        SessionHandle,
        parameter::{self, ParameterChange},
        startup::is_pondtrack_parameter,
    },
    crate::{
        forward::{self, ForwardedReply},
        node::Node,
        telemetry::Count,
    },
    bytes::BytesMut,
    pgwire::messages::response::EmptyQueryResponse,
    pondtrack_core::{
        classify::Stmt,
        lifecycle::{self, SessionEvent, SessionState},
        token::SessionToken,
    },
    pondtrack_edge::{
        EdgeError, FrameReader, Frames,
        answer::{self, SqlError},
        batch::{self, Batch, Progress, Statements},
    },
    pondtrack_proto::{Class, LogPosition, Name, Outcome, ReadPolicy, Request, TxnState},
    std::rc::Rc,
    tokio::{
        io::AsyncWriteExt,
        net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    tracing::Instrument,
};

/// Maximum size of a batch, as a multiple of the maximum size of a message.
const BATCH_MESSAGES: usize = 4;
/// Maximum number of settings a session may change.
const MAX_SETTINGS: usize = 100;

/// Changed settings of a session, sorted by name; a rollback restores them.
type Settings = Vec<(Name, Name)>;

/// A caller's session.
pub struct Session {
    node: Rc<Node>,
    handle: SessionHandle,
    caller: Name,
    group: Name,
    state: SessionState,
    /// Set when the transaction's connection is lost; statements then fail here until the caller ends the
    /// transaction.
    lost: bool,
    home: Option<Name>,
    statements: Statements,
    settings: Settings,
    /// Settings at the start of the transaction.
    saved: Option<Settings>,
    mark: LogPosition,
    /// Set when the mark covers all writes that were acknowledged before the session began. Until then
    /// requests ask for a barrier.
    covered: bool,
    max_age: Option<u32>,
    timeout: Option<u32>,
    key: Option<Name>,
}

/// Kind of work that a batch requires.
enum Work {
    /// Forwarded to the group's servers; `sets` are its statements that change settings.
    Run { class: Class, sets: Vec<Stmt> },
    /// Changes of pondtrack's configuration parameters, executed here.
    SetParams(Vec<ParameterChange>),
    /// Query of one of pondtrack's configuration parameters.
    ShowParam(Name),
    /// Empty query.
    Empty,
}

impl Session {
    /// Creates a session and registers it with its instance.
    pub fn new(node: &Rc<Node>, caller: Name, group: Name) -> Session {
        let handle = node.sessions.add(node, &caller);
        Session {
            node: node.clone(),
            handle,
            caller,
            group,
            state: lifecycle::session_chart().initial,
            lost: false,
            home: None,
            statements: Statements::default(),
            settings: Vec::new(),
            saved: None,
            mark: LogPosition::default(),
            covered: false,
            max_age: None,
            timeout: None,
            key: None,
        }
    }

    /// Returns the handle under which the instance registered the session.
    pub fn handle(&self) -> &SessionHandle {
        &self.handle
    }

    /// Applies a setting of the startup message.
    ///
    /// Errors are fatal; SQLSTATE 42704 for an invalid name, 22023 for an encoding other than UTF8.
    pub fn set_startup_param(&mut self, name: &str, value: &str) -> Result<(), SqlError> {
        let name = name.to_ascii_lowercase();
        let fatal = |e: SqlError| SqlError { severity: "FATAL", ..e };
        if is_pondtrack_parameter(&name) {
            let change = parameter::parse(&name, Some(value)).map_err(fatal)?;
            return self.change(change).map_err(fatal);
        }
        let is_valid = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '.';
        if name.is_empty() || !name.chars().all(is_valid) {
            return Err(SqlError::fatal("42704", format!("unrecognized configuration parameter {name:?}")));
        }
        match (name.as_str(), value.to_ascii_lowercase().replace('-', "").as_str()) {
            ("client_encoding", "utf8" | "'utf8'") => Ok(()),
            ("client_encoding", _) => {
                Err(SqlError::fatal("22023", format!("client_encoding {value:?} is not supported; UTF8 is")))
            }
            _ => self.set(name.into(), Some(value.into())).map_err(fatal),
        }
    }

    /// Serves the caller until the session ends.
    pub async fn run(mut self, mut reader: FrameReader<OwnedReadHalf>, mut write: OwnedWriteHalf) {
        let mut batch = Batch::default();
        let mut skipping = false;
        while self.state != SessionState::Ended {
            let frame = match self.next_frame(&mut reader, &batch).await {
                Ok(Some(frame)) => frame,
                Ok(None) => {
                    self.send_leaving(&mut write).await;
                    break;
                }
                Err(e) => {
                    self.send_error(&e, &mut write).await;
                    break;
                }
            };
            let tag = frame[0];
            if tag == b'X' {
                break;
            }
            if skipping && tag != b'S' {
                continue;
            }
            let out = match std::mem::take(&mut skipping) {
                // The Sync message at the end of a rejected batch.
                true => {
                    batch = Batch::default();
                    self.ready_only()
                }
                false => match self.push_frame(&mut batch, frame) {
                    Ok(Progress::More) => continue,
                    Ok(Progress::Complete) => {
                        let complete = std::mem::take(&mut batch);
                        // Boxed to keep the future of an idle session small.
                        Box::pin(self.execute(complete)).await
                    }
                    Err(e) => {
                        let fatal = e.severity == "FATAL";
                        let out = self.reject(&e, tag == b'Q' || fatal);
                        skipping = tag != b'Q';
                        batch = Batch::default();
                        if fatal {
                            self.apply(SessionEvent::End);
                        }
                        out
                    }
                },
            };
            if write.write_all(&out).await.is_err() {
                break;
            }
            reader.shrink();
        }
        self.close();
    }

    /// Reads the caller's next message; none when the instance leaves and the session is between batches.
    async fn next_frame(
        &mut self,
        reader: &mut FrameReader<OwnedReadHalf>,
        batch: &Batch,
    ) -> Result<Option<BytesMut>, EdgeError> {
        let node = self.node.clone();
        loop {
            let leave = node.drain_started.notified();
            let between_batches = batch.frames.is_empty() && !reader.has_buffered();
            if node.leaving.get() && between_batches && self.state == SessionState::Idle {
                self.apply(SessionEvent::Leave);
                return Ok(None);
            }
            tokio::select! {
                frame = reader.frame() => return frame.map(Some),
                () = leave => {}
            }
        }
    }

    /// Adds a message to the batch; SQLSTATE 54000 if the batch is too large.
    fn push_frame(&mut self, batch: &mut Batch, frame: BytesMut) -> Result<Progress, SqlError> {
        let max = self.node.settings.max_message_bytes * BATCH_MESSAGES;
        if batch.frames.len() + frame.len() > max {
            return Err(SqlError::fatal("54000", format!("a batch of more than {max} bytes")));
        }
        batch.push(frame, &self.statements)
    }

    /// Executes a batch and returns the complete response.
    async fn execute(&mut self, batch: Batch) -> BytesMut {
        self.node.count(Count::Statements);
        let work = match self.plan(&batch) {
            Ok(work) => work,
            Err(e) => return self.reject(&e, true),
        };
        if self.lost {
            return self.execute_lost(&batch, &work);
        }
        match work {
            Work::Run { class, sets } => self.forward(batch, class, sets).await,
            Work::SetParams(changes) => self.execute_set(&batch, changes),
            Work::ShowParam(name) => self.execute_show(&batch, &name),
            Work::Empty => {
                let mut out = BytesMut::new();
                answer::put(&EmptyQueryResponse::new(), &mut out);
                answer::put_ready(self.txn(), &mut out);
                out
            }
        }
    }

    /// Classifies a batch; SQLSTATE 0A000 if a statement is not supported.
    fn plan(&mut self, batch: &Batch) -> Result<Work, SqlError> {
        let mut stmts = Vec::new();
        for text in &batch.texts {
            stmts.push(self.node.classifier.borrow_mut().classify(text));
        }
        if let Some(reason) = stmts
            .iter()
            .find_map(|stmt| if let Stmt::Unsupported(reason) = stmt { Some(*reason) } else { None })
        {
            return Err(SqlError::error("0A000", reason));
        }
        match stmts.as_slice() {
            [] if batch.executes() => Ok(Work::Empty),
            [Stmt::Empty] if batch.is_simple() => Ok(Work::Empty),
            [Stmt::ShowSetting(name)] => Ok(Work::ShowParam(name.clone())),
            stmts if stmts.iter().any(uses_pondtrack_parameter) => self.parse_changes(stmts),
            stmts => Ok(Work::Run { class: class_of(stmts, batch.executes()), sets: sets_of(stmts) }),
        }
    }

    /// Parses the changes of pondtrack's parameters; SQLSTATE 0A000 if the batch holds other statements.
    fn parse_changes(&self, stmts: &[Stmt]) -> Result<Work, SqlError> {
        let parse = |stmt: &Stmt| match stmt {
            Stmt::Set { name, value, .. } if is_pondtrack_parameter(name) => {
                parameter::parse(name, value.as_deref())
            }
            _ => Err(SqlError::error("0A000", "pondtrack's own settings have to be sent on their own")),
        };
        stmts.iter().map(parse).collect::<Result<_, _>>().map(Work::SetParams)
    }

    /// Answers a batch in a lost transaction: statements fail until the caller ends the transaction.
    fn execute_lost(&mut self, batch: &Batch, work: &Work) -> BytesMut {
        let ends = matches!(work, Work::Run { class: Class::Rollback | Class::Commit, .. });
        if !ends {
            let text = "current transaction is aborted, commands ignored until end of transaction block";
            return self.reject(&SqlError::error("25P02", text), true);
        }
        self.lost = false;
        self.restore_settings();
        self.apply(SessionEvent::Settled);
        let mut out = BytesMut::new();
        batch::put_local_response(&batch.frames, "ROLLBACK", None, &mut out);
        answer::put_ready(TxnState::Idle, &mut out);
        self.strip_added(batch, &out)
    }

    /// Changes pondtrack's parameters.
    fn execute_set(&mut self, batch: &Batch, changes: Vec<ParameterChange>) -> BytesMut {
        for change in changes {
            if let Err(e) = self.change(change) {
                return self.reject(&e, true);
            }
        }
        let mut out = BytesMut::new();
        batch::put_local_response(&batch.frames, "SET", None, &mut out);
        answer::put_ready(self.txn(), &mut out);
        self.keep(batch, &out);
        self.strip_added(batch, &out)
    }

    /// Answers a query of one of pondtrack's parameters.
    fn execute_show(&mut self, batch: &Batch, name: &str) -> BytesMut {
        let value = match name {
            "token" => self.token().encode(),
            "mark" => self.mark.to_string(),
            "instance" => self.node.name.to_string(),
            "home" => self.home.as_ref().map_or(String::new(), Name::to_string),
            "max_age" => self.max_age.map_or("default".to_owned(), |ms| format!("{ms}ms")),
            "timeout" => format!("{}ms", self.timeout_ms()),
            "request_key" => self.key.as_ref().map_or(String::new(), Name::to_string),
            _ => {
                let text = format!("unrecognized configuration parameter \"{}{name}\"", parameter::PREFIX);
                let hint = format!("there are {}; and pondtrack.mark, pondtrack.instance", parameter::NAMES);
                return self.reject(&SqlError::error("42704", text).hint(hint), true);
            }
        };
        let mut out = BytesMut::new();
        batch::put_local_response(&batch.frames, "SHOW", Some((name, &value)), &mut out);
        answer::put_ready(self.txn(), &mut out);
        self.keep(batch, &out);
        self.strip_added(batch, &out)
    }

    /// Forwards a batch to a home and returns the response.
    async fn forward(&mut self, batch: Batch, class: Class, sets: Vec<Stmt>) -> BytesMut {
        if class == Class::Begin && self.txn() == TxnState::Idle {
            self.saved = Some(self.settings.clone());
        }
        let started_at = self.node.now();
        let trace = self.node.random();
        let req = self.request(&batch, class, !sets.is_empty(), trace);
        let may_be_stale = req.age_ms.is_some() && class == Class::Read;
        let current_home = self.handle.current_home.clone();
        let span = tracing::debug_span!("entry", trace, caller = self.caller.as_str(), %class);
        let ForwardedReply { reply, home } = match self.home.clone().filter(|_| self.txn() != TxnState::Idle)
        {
            Some(home) => {
                *current_home.borrow_mut() = Some(home.clone());
                forward::send_pinned(&self.node, req, &home).instrument(span).await
            }
            None => {
                let on_attempt = |home: &Name| *current_home.borrow_mut() = Some(home.clone());
                forward::send(&self.node, req, &on_attempt).instrument(span).await
            }
        };
        *current_home.borrow_mut() = None;
        let home_name = home.as_ref().map_or("", |name| name.as_str());
        tracing::debug!(trace, home = home_name, took_ms = self.node.now() - started_at, "entry answered");
        match reply.outcome {
            Outcome::Done => {
                self.mark.advance(reply.mark);
                self.covered |= !may_be_stale && reply.mark != LogPosition::default();
                self.home = home;
                self.complete(&batch, reply.frames, reply.txn, sets)
            }
            outcome => self.fail(class, &outcome),
        }
    }

    /// Builds the request for a batch. A write outside a transaction, or the start of a transaction, consumes the
    /// request key.
    fn request(&mut self, batch: &Batch, class: Class, sets: bool, trace: u64) -> Request {
        let in_txn = self.txn() != TxnState::Idle;
        let keyed = !in_txn && matches!(class, Class::Write | Class::Begin) && batch.executes() && !sets;
        Request {
            id: 0,
            stream: self.handle.stream,
            caller: self.caller.clone(),
            group: self.group.clone(),
            class,
            pinned: in_txn,
            mark: self.mark,
            barrier: !self.covered,
            age_ms: self.max_staleness(),
            key: if keyed { self.key.take() } else { None },
            settings: self.settings.clone(),
            sets,
            trace,
            left_ms: self.timeout_ms(),
            frames: batch.frames.to_vec(),
        }
    }

    /// Returns the maximum staleness of reads, in milliseconds; none if reads have to be current.
    fn max_staleness(&self) -> Option<u32> {
        let policy = self.node.group(&self.group).map(|spec| spec.policy);
        let ms = match (self.max_age, policy) {
            (Some(ms), _) => ms,
            (None, Some(ReadPolicy::MaxAge { ms })) => ms,
            (None, _) => 0,
        };
        (ms > 0).then_some(ms)
    }

    /// Returns the timeout of a request, in milliseconds.
    fn timeout_ms(&self) -> u32 {
        self.timeout.unwrap_or(self.node.settings.request_ms)
    }

    /// Processes a response of the upstream: updates the prepared statements, settings and transaction state.
    fn complete(&mut self, batch: &Batch, frames: Vec<u8>, txn: TxnState, sets: Vec<Stmt>) -> BytesMut {
        let failed = Frames::new(&frames).any(|frame| frame.0 == b'E');
        batch.apply_to(&frames, &mut self.statements);
        if !failed {
            for stmt in sets {
                self.record(stmt);
            }
        }
        let previous = self.txn();
        let rolled_back =
            previous != TxnState::Idle && txn == TxnState::Idle && ends_with_tag(&frames, b"ROLLBACK\0");
        if rolled_back {
            self.restore_settings();
        }
        if txn == TxnState::Idle {
            self.saved = None;
        }
        self.apply(match txn {
            TxnState::Idle => SessionEvent::Settled,
            TxnState::Open => SessionEvent::Opened,
            TxnState::Failed => SessionEvent::Failed,
        });
        BytesMut::from(batch.strip_added(frames).as_slice())
    }

    /// Records a change of a setting that the upstream has executed.
    fn record(&mut self, stmt: Stmt) {
        match stmt {
            Stmt::Set { name, value, local: false } => {
                // The upstream has accepted the setting. An error can only mean that the session has too many
                // settings, and the setting is then not recorded.
                let _ = self.set(name, value);
            }
            Stmt::ResetAll => self.settings.clear(),
            _ => {}
        }
    }

    /// Sets a setting, or removes it if `value` is none; SQLSTATE 53400 if the session has too many settings.
    fn set(&mut self, name: Name, value: Option<Name>) -> Result<(), SqlError> {
        let found = self.settings.binary_search_by(|setting| setting.0.cmp(&name));
        match (found, value) {
            (Ok(i), Some(value)) => self.settings[i].1 = value,
            (Ok(i), None) => drop(self.settings.remove(i)),
            (Err(_), Some(_)) if self.settings.len() >= MAX_SETTINGS => {
                return Err(SqlError::error(
                    "53400",
                    format!("a session may change {MAX_SETTINGS} settings"),
                ));
            }
            (Err(i), Some(value)) => self.settings.insert(i, (name, value)),
            (Err(_), None) => {}
        }
        Ok(())
    }

    /// Restores the settings at the start of the transaction.
    fn restore_settings(&mut self) {
        if let Some(settings) = self.saved.take() {
            self.settings = settings;
        }
    }

    /// Answers a request that has no response of the upstream.
    fn fail(&mut self, class: Class, outcome: &Outcome) -> BytesMut {
        let in_txn = self.txn() != TxnState::Idle;
        let ends_txn = matches!(class, Class::Commit | Class::Rollback);
        let error = match outcome {
            Outcome::NotRun { reason, retry_ms } => {
                self.node.count(Count::NotRun);
                let effect = if in_txn { "transaction rolled back" } else { "not run" };
                SqlError::error("PT001", format!("{effect}: {reason}"))
                    .hint(format!("nothing was changed; come back in {} ms", retry_ms.max(&10)))
            }
            Outcome::Unknown { reason } => {
                self.node.count(Count::Unknown);
                SqlError::error("08007", format!("it is not known whether this ran: {reason}"))
                    .hint("look before you repeat it; with SET pondtrack.request_key a repeat is safe")
            }
            Outcome::Key { reason } => {
                SqlError::error("PT002", format!("refused by its request key: {reason}"))
                    .hint("nothing was changed by this request; use a new key for new work")
            }
            Outcome::Done => SqlError::error("XX000", "an answer without messages"),
        };
        if in_txn && ends_txn {
            // The transaction has ended, whatever its outcome.
            self.restore_settings();
            self.apply(SessionEvent::Settled);
        } else if in_txn {
            self.lost = true;
            self.apply(SessionEvent::Failed);
        } else {
            self.saved = None;
        }
        self.reject(&error, true)
    }

    /// Applies a change of one of pondtrack's parameters.
    fn change(&mut self, change: ParameterChange) -> Result<(), SqlError> {
        match change {
            ParameterChange::MaxAge(ms) => self.max_age = ms,
            ParameterChange::Timeout(ms) => self.timeout = ms,
            ParameterChange::RequestKey(key) => {
                if self.txn() != TxnState::Idle {
                    let text = "a request key has to be set before the transaction begins";
                    return Err(SqlError::error("25001", text));
                }
                self.key = key;
            }
            ParameterChange::Token(token) if token.group == self.group => {
                self.mark.advance(token.mark);
                self.covered = true;
                for (name, value) in token.settings {
                    self.set(name, Some(value))?;
                }
            }
            ParameterChange::Token(token) => {
                let text = format!("the token is of database \"{}\", not \"{}\"", token.group, self.group);
                return Err(SqlError::error("22023", text));
            }
        }
        Ok(())
    }

    /// Returns the token with which a session on another instance can continue this session.
    fn token(&self) -> SessionToken {
        SessionToken { group: self.group.clone(), mark: self.mark, settings: self.settings.clone() }
    }

    /// Returns the state of the transaction as the caller sees it.
    fn txn(&self) -> TxnState {
        match (self.state, self.lost) {
            (_, true) | (SessionState::Failed, _) => TxnState::Failed,
            (SessionState::Open, _) => TxnState::Open,
            (SessionState::Idle | SessionState::Ended, _) => TxnState::Idle,
        }
    }

    /// Builds the response for an error of pondtrack itself, with ReadyForQuery if `ready` is set and the
    /// error is not fatal. An open transaction is abandoned, except after SQLSTATE 25001.
    fn reject(&mut self, e: &SqlError, ready: bool) -> BytesMut {
        let mut out = BytesMut::new();
        e.put(&mut out);
        if self.txn() == TxnState::Open && e.code != "25001" {
            // As after any error inside a transaction, the transaction can only be rolled back.
            self.abandon();
        }
        if ready && e.severity != "FATAL" {
            answer::put_ready(self.txn(), &mut out);
        }
        out
    }

    /// Rolls back the transaction at its home; for the caller it has failed and still has to be ended.
    fn abandon(&mut self) {
        if let Some(home) = self.home.take() {
            forward::close_stream(&self.node, self.handle.stream, &home);
        }
        self.lost = true;
        self.apply(SessionEvent::Failed);
    }

    /// Returns a response that consists of ReadyForQuery only.
    fn ready_only(&self) -> BytesMut {
        let mut out = BytesMut::new();
        answer::put_ready(self.txn(), &mut out);
        out
    }

    /// Updates the prepared statements from a response built here.
    fn keep(&mut self, batch: &Batch, out: &BytesMut) {
        batch.apply_to(out, &mut self.statements);
    }

    /// Removes the responses to messages that the caller has not sent.
    fn strip_added(&self, batch: &Batch, out: &BytesMut) -> BytesMut {
        BytesMut::from(batch.strip_added(out.to_vec()).as_slice())
    }

    /// Sends the error that ends the session while the instance leaves, with a token for the next session.
    async fn send_leaving(&mut self, write: &mut OwnedWriteHalf) {
        let token = self.token().encode();
        let hint = format!("connect again with options '-c pondtrack.token={token}' to go on where you were");
        let mut out = BytesMut::new();
        SqlError::fatal("57P01", "this instance is leaving").hint(hint).put(&mut out);
        let _ = write.write_all(&out).await;
    }

    /// Sends the error for a message that can't be read; none for a lost connection.
    async fn send_error(&mut self, e: &EdgeError, write: &mut OwnedWriteHalf) {
        let error = match e {
            EdgeError::TooLarge { len, max, .. } => {
                SqlError::fatal("54000", format!("a message of {len} bytes; at most {max} are accepted"))
            }
            EdgeError::Malformed { reason, .. } => SqlError::fatal("08P01", reason.clone()),
            _ => return,
        };
        let mut out = BytesMut::new();
        error.put(&mut out);
        let _ = write.write_all(&out).await;
    }

    /// Applies an event to the session's state machine.
    fn apply(&mut self, event: SessionEvent) {
        match lifecycle::session_chart().next(self.state, event) {
            Ok(next) => self.state = next,
            Err(e) => log::error!(step = "session"; "{e}"),
        }
    }

    /// Ends the session; an open transaction is rolled back at its home.
    fn close(&mut self) {
        if self.txn() != TxnState::Idle
            && let Some(home) = self.home.take()
        {
            forward::close_stream(&self.node, self.handle.stream, &home);
        }
        self.state = SessionState::Ended;
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.node.sessions.remove(self.handle.pid, &self.caller);
    }
}

/// Returns true if a statement sets or shows one of pondtrack's parameters.
fn uses_pondtrack_parameter(stmt: &Stmt) -> bool {
    matches!(stmt, Stmt::Set { name, .. } if is_pondtrack_parameter(name))
        || matches!(stmt, Stmt::ShowSetting(_))
}

/// Returns the statements that change settings.
fn sets_of(stmts: &[Stmt]) -> Vec<Stmt> {
    stmts.iter().filter(|stmt| matches!(stmt, Stmt::Set { .. } | Stmt::ResetAll)).cloned().collect()
}

/// Returns the class of a batch: the strictest class of its statements.
fn class_of(stmts: &[Stmt], executes: bool) -> Class {
    let mut strictest = Class::Read;
    for stmt in stmts {
        let class = match stmt {
            Stmt::Run(class) => *class,
            _ => Class::Read,
        };
        strictest = match (strictest, class) {
            (Class::Read, other) | (other, Class::Read) => other,
            (Class::Commit, _) | (_, Class::Commit) => Class::Commit,
            (Class::Begin, _) | (_, Class::Begin) => Class::Begin,
            _ => Class::Write,
        };
    }
    // Statements that are only prepared or described can be sent to any server.
    if executes { strictest } else { Class::Read }
}

/// Returns true if the last command tag of a response equals `tag`, which includes the terminating zero byte.
fn ends_with_tag(frames: &[u8], tag: &[u8]) -> bool {
    let last = Frames::new(frames).filter(|frame| frame.0 == b'C').last();
    last.is_some_and(|(_, range)| frames[range.start + 5..range.end] == *tag)
}

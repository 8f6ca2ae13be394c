//! A session's state and its batches.

use {
    super::{
        Handle,
        own::{self, Change},
        startup::is_own,
    },
    crate::{
        forward::{self, Forwarded},
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

/// Longest batch, as a multiple of the longest message.
const BATCH_MESSAGES: usize = 4;
/// Most settings a session may change.
const MAX_SETTINGS: usize = 100;

/// The part of a session's state that a rollback undoes.
type Settings = Vec<(Name, Name)>;

/// A caller's session.
pub struct Session {
    node: Rc<Node>,
    handle: Handle,
    caller: Name,
    group: Name,
    state: SessionState,
    /// Set when the transaction's connection is gone, so that its failure is answered here.
    lost: bool,
    home: Option<Name>,
    statements: Statements,
    settings: Settings,
    /// The settings before the transaction.
    saved: Option<Settings>,
    mark: LogPosition,
    /// Whether the mark covers what was acknowledged before the session began.
    covered: bool,
    max_age: Option<u32>,
    timeout: Option<u32>,
    key: Option<Name>,
}

/// What a batch of the caller amounts to.
enum Work {
    /// For the group's servers.
    Run { class: Class, sets: Vec<Stmt> },
    /// Changes of pondtrack's own settings.
    Own(Vec<Change>),
    /// A question about pondtrack's own settings.
    Show(Name),
    /// Nothing.
    Empty,
}

impl Session {
    /// A session that has just begun.
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

    /// How others reach the session.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// A setting given with the startup.
    pub fn preset(&mut self, name: &str, value: &str) -> Result<(), SqlError> {
        let name = name.to_ascii_lowercase();
        let fatal = |e: SqlError| SqlError { severity: "FATAL", ..e };
        if is_own(&name) {
            let change = own::parse(&name, Some(value)).map_err(fatal)?;
            return self.change(change).map_err(fatal);
        }
        let plain = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '.';
        if name.is_empty() || !name.chars().all(plain) {
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

    /// Serves the caller to the session's end.
    pub async fn run(mut self, mut reader: FrameReader<OwnedReadHalf>, mut write: OwnedWriteHalf) {
        let mut batch = Batch::default();
        let mut skipping = false;
        while self.state != SessionState::Ended {
            let frame = match self.next_frame(&mut reader, &batch).await {
                Ok(Some(it)) => it,
                Ok(None) => {
                    self.say_leaving(&mut write).await;
                    break;
                }
                Err(e) => {
                    self.say_error(&e, &mut write).await;
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
                // The sync that ends a batch which was refused.
                true => {
                    batch = Batch::default();
                    self.ready_only()
                }
                false => match self.gather(&mut batch, frame) {
                    Ok(Progress::More) => continue,
                    Ok(Progress::Complete) => {
                        let it = std::mem::take(&mut batch);
                        // Boxed, so that an idle session stays small.
                        Box::pin(self.serve(it)).await
                    }
                    Err(e) => {
                        let fatal = e.severity == "FATAL";
                        let out = self.refuse(&e, tag == b'Q' || fatal);
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

    /// The caller's next message; none when the instance leaves and the session is between batches.
    async fn next_frame(
        &mut self,
        reader: &mut FrameReader<OwnedReadHalf>,
        batch: &Batch,
    ) -> Result<Option<BytesMut>, EdgeError> {
        let node = self.node.clone();
        loop {
            let leave = node.drain_started.notified();
            let between = batch.frames.is_empty() && !reader.has_more();
            if node.leaving.get() && between && self.state == SessionState::Idle {
                self.apply(SessionEvent::Leave);
                return Ok(None);
            }
            tokio::select! {
                it = reader.frame() => return it.map(Some),
                () = leave => {}
            }
        }
    }

    fn gather(&mut self, batch: &mut Batch, frame: BytesMut) -> Result<Progress, SqlError> {
        let max = self.node.settings.max_message_bytes * BATCH_MESSAGES;
        if batch.frames.len() + frame.len() > max {
            return Err(SqlError::fatal("54000", format!("a batch of more than {max} bytes")));
        }
        batch.push(frame, &self.statements)
    }

    /// Runs a batch; hands back the whole answer.
    async fn serve(&mut self, batch: Batch) -> BytesMut {
        self.node.count(Count::Statements);
        let work = match self.work(&batch) {
            Ok(it) => it,
            Err(e) => return self.refuse(&e, true),
        };
        if self.lost {
            return self.serve_lost(&batch, &work);
        }
        match work {
            Work::Run { class, sets } => self.forward(batch, class, sets).await,
            Work::Own(changes) => self.serve_own(&batch, changes),
            Work::Show(name) => self.serve_show(&batch, &name),
            Work::Empty => {
                let mut out = BytesMut::new();
                answer::put(&EmptyQueryResponse::new(), &mut out);
                answer::put_ready(self.txn(), &mut out);
                out
            }
        }
    }

    /// Finds out what a batch amounts to.
    fn work(&mut self, batch: &Batch) -> Result<Work, SqlError> {
        let mut stmts = Vec::new();
        for it in &batch.texts {
            stmts.push(self.node.classifier.borrow_mut().classify(it));
        }
        if let Some(why) =
            stmts.iter().find_map(|it| if let Stmt::Unsupported(why) = it { Some(*why) } else { None })
        {
            return Err(SqlError::error("0A000", why));
        }
        match stmts.as_slice() {
            [] if batch.executes() => Ok(Work::Empty),
            [Stmt::Empty] if batch.is_simple() => Ok(Work::Empty),
            [Stmt::ShowSetting(name)] => Ok(Work::Show(name.clone())),
            list if list.iter().any(is_own_set) => self.own_changes(list),
            list => Ok(Work::Run { class: class_of(list, batch.executes()), sets: sets_of(list) }),
        }
    }

    fn own_changes(&self, list: &[Stmt]) -> Result<Work, SqlError> {
        let change = |it: &Stmt| match it {
            Stmt::Set { name, value, .. } if is_own(name) => own::parse(name, value.as_deref()),
            _ => Err(SqlError::error("0A000", "pondtrack's own settings have to be sent on their own")),
        };
        list.iter().map(change).collect::<Result<_, _>>().map(Work::Own)
    }

    /// The transaction is gone: everything fails until the caller ends it.
    fn serve_lost(&mut self, batch: &Batch, work: &Work) -> BytesMut {
        let ends = matches!(work, Work::Run { class: Class::Rollback | Class::Commit, .. });
        if !ends {
            let text = "current transaction is aborted, commands ignored until end of transaction block";
            return self.refuse(&SqlError::error("25P02", text), true);
        }
        self.lost = false;
        self.undo_settings();
        self.apply(SessionEvent::Settled);
        let mut out = BytesMut::new();
        batch::shape(&batch.frames, "ROLLBACK", None, &mut out);
        answer::put_ready(TxnState::Idle, &mut out);
        self.cleaned(batch, &out)
    }

    fn serve_own(&mut self, batch: &Batch, changes: Vec<Change>) -> BytesMut {
        for it in changes {
            if let Err(e) = self.change(it) {
                return self.refuse(&e, true);
            }
        }
        let mut out = BytesMut::new();
        batch::shape(&batch.frames, "SET", None, &mut out);
        answer::put_ready(self.txn(), &mut out);
        self.keep(batch, &out);
        self.cleaned(batch, &out)
    }

    fn serve_show(&mut self, batch: &Batch, name: &str) -> BytesMut {
        let value = match name {
            "token" => self.token().encode(),
            "mark" => self.mark.to_string(),
            "instance" => self.node.name.to_string(),
            "home" => self.home.as_ref().map_or(String::new(), Name::to_string),
            "max_age" => self.max_age.map_or("default".to_owned(), |it| format!("{it}ms")),
            "timeout" => format!("{}ms", self.limit()),
            "request_key" => self.key.as_ref().map_or(String::new(), Name::to_string),
            _ => {
                let text = format!("unrecognized configuration parameter \"{}{name}\"", own::PREFIX);
                let hint = format!("there are {}; and pondtrack.mark, pondtrack.instance", own::NAMES);
                return self.refuse(&SqlError::error("42704", text).hint(hint), true);
            }
        };
        let mut out = BytesMut::new();
        batch::shape(&batch.frames, "SHOW", Some((name, &value)), &mut out);
        answer::put_ready(self.txn(), &mut out);
        self.keep(batch, &out);
        self.cleaned(batch, &out)
    }

    async fn forward(&mut self, batch: Batch, class: Class, sets: Vec<Stmt>) -> BytesMut {
        if class == Class::Begin && self.txn() == TxnState::Idle {
            self.saved = Some(self.settings.clone());
        }
        let began = self.node.now();
        let trace = self.node.random();
        let req = self.request(&batch, class, !sets.is_empty(), trace);
        let aged = req.age_ms.is_some() && class == Class::Read;
        let at = self.handle.home.clone();
        let span = tracing::debug_span!("entry", trace, caller = self.caller.as_str(), %class);
        let Forwarded { reply, home } = match self.home.clone().filter(|_| self.txn() != TxnState::Idle) {
            Some(home) => {
                *at.borrow_mut() = Some(home.clone());
                forward::send_pinned(&self.node, req, &home).instrument(span).await
            }
            None => {
                let note = |it: &Name| *at.borrow_mut() = Some(it.clone());
                forward::send(&self.node, req, &note).instrument(span).await
            }
        };
        *at.borrow_mut() = None;
        let from = home.as_ref().map_or("", |it| it.as_str());
        tracing::debug!(trace, home = from, took_ms = self.node.now() - began, "entry answered");
        match reply.outcome {
            Outcome::Done => {
                self.mark.advance(reply.mark);
                self.covered |= !aged && reply.mark != LogPosition::default();
                self.home = home;
                self.done(&batch, reply.frames, reply.txn, sets)
            }
            other => self.failed(class, &other),
        }
    }

    fn request(&mut self, batch: &Batch, class: Class, sets: bool, trace: u64) -> Request {
        let inside = self.txn() != TxnState::Idle;
        let keyed = !inside && matches!(class, Class::Write | Class::Begin) && batch.executes() && !sets;
        Request {
            id: 0,
            stream: self.handle.stream,
            caller: self.caller.clone(),
            group: self.group.clone(),
            class,
            pinned: inside,
            mark: self.mark,
            barrier: !self.covered,
            age_ms: self.age(),
            key: if keyed { self.key.take() } else { None },
            settings: self.settings.clone(),
            sets,
            trace,
            left_ms: self.limit(),
            frames: batch.frames.to_vec(),
        }
    }

    /// The age that reads may have now; none when they have to be current.
    fn age(&self) -> Option<u32> {
        let policy = self.node.group(&self.group).map(|it| it.policy);
        let stated = match (self.max_age, policy) {
            (Some(it), _) => it,
            (None, Some(ReadPolicy::MaxAge { ms })) => ms,
            (None, _) => 0,
        };
        (stated > 0).then_some(stated)
    }

    fn limit(&self) -> u32 {
        self.timeout.unwrap_or(self.node.settings.request_ms)
    }

    /// An answer of the upstream came.
    fn done(&mut self, batch: &Batch, frames: Vec<u8>, txn: TxnState, sets: Vec<Stmt>) -> BytesMut {
        let failed = Frames::new(&frames).any(|it| it.0 == b'E');
        batch.keep(&frames, &mut self.statements);
        if !failed {
            for it in sets {
                self.record(it);
            }
        }
        let was = self.txn();
        let rolled_back = was != TxnState::Idle && txn == TxnState::Idle && tag_is(&frames, b"ROLLBACK\0");
        if rolled_back {
            self.undo_settings();
        }
        if txn == TxnState::Idle {
            self.saved = None;
        }
        self.apply(match txn {
            TxnState::Idle => SessionEvent::Settled,
            TxnState::Open => SessionEvent::Opened,
            TxnState::Failed => SessionEvent::Failed,
        });
        BytesMut::from(batch.clean(frames).as_slice())
    }

    fn record(&mut self, it: Stmt) {
        match it {
            Stmt::Set { name, value, local: false } => {
                // The upstream has accepted it; only the number of settings is limited here.
                let _ = self.set(name, value);
            }
            Stmt::ResetAll => self.settings.clear(),
            _ => {}
        }
    }

    fn set(&mut self, name: Name, value: Option<Name>) -> Result<(), SqlError> {
        let at = self.settings.binary_search_by(|it| it.0.cmp(&name));
        match (at, value) {
            (Ok(at), Some(value)) => self.settings[at].1 = value,
            (Ok(at), None) => drop(self.settings.remove(at)),
            (Err(_), Some(_)) if self.settings.len() >= MAX_SETTINGS => {
                return Err(SqlError::error(
                    "53400",
                    format!("a session may change {MAX_SETTINGS} settings"),
                ));
            }
            (Err(at), Some(value)) => self.settings.insert(at, (name, value)),
            (Err(_), None) => {}
        }
        Ok(())
    }

    fn undo_settings(&mut self) {
        if let Some(it) = self.saved.take() {
            self.settings = it;
        }
    }

    /// A request has no answer of the upstream.
    fn failed(&mut self, class: Class, outcome: &Outcome) -> BytesMut {
        let inside = self.txn() != TxnState::Idle;
        let ends = matches!(class, Class::Commit | Class::Rollback);
        let error = match outcome {
            Outcome::NotRun { reason, retry_ms } => {
                self.node.count(Count::NotRun);
                let what = if inside { "transaction rolled back" } else { "not run" };
                SqlError::error("PT001", format!("{what}: {reason}"))
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
        if inside && ends {
            // The transaction is over, one way or the other.
            self.undo_settings();
            self.apply(SessionEvent::Settled);
        } else if inside {
            self.lost = true;
            self.apply(SessionEvent::Failed);
        } else {
            self.saved = None;
        }
        self.refuse(&error, true)
    }

    fn change(&mut self, it: Change) -> Result<(), SqlError> {
        match it {
            Change::MaxAge(age) => self.max_age = age,
            Change::Timeout(ms) => self.timeout = ms,
            Change::RequestKey(key) => {
                if self.txn() != TxnState::Idle {
                    let text = "a request key has to be set before the transaction begins";
                    return Err(SqlError::error("25001", text));
                }
                self.key = key;
            }
            Change::Token(token) if token.group == self.group => {
                self.mark.advance(token.mark);
                self.covered = true;
                for (name, value) in token.settings {
                    self.set(name, Some(value))?;
                }
            }
            Change::Token(token) => {
                let text = format!("the token is of database \"{}\", not \"{}\"", token.group, self.group);
                return Err(SqlError::error("22023", text));
            }
        }
        Ok(())
    }

    /// What the session carries to another instance.
    fn token(&self) -> SessionToken {
        SessionToken { group: self.group.clone(), mark: self.mark, settings: self.settings.clone() }
    }

    fn txn(&self) -> TxnState {
        match (self.state, self.lost) {
            (_, true) | (SessionState::Failed, _) => TxnState::Failed,
            (SessionState::Open, _) => TxnState::Open,
            (SessionState::Idle | SessionState::Ended, _) => TxnState::Idle,
        }
    }

    /// An error of pondtrack's own, maybe with the ready-for-query that ends the batch.
    fn refuse(&mut self, e: &SqlError, ready: bool) -> BytesMut {
        let mut out = BytesMut::new();
        e.put(&mut out);
        if self.txn() == TxnState::Open && e.code != "25001" {
            // As with any error inside a transaction, it can only be rolled back now.
            self.abandon();
        }
        if ready && e.severity != "FATAL" {
            answer::put_ready(self.txn(), &mut out);
        }
        out
    }

    /// Gives up the transaction at its home; the caller has yet to end it.
    fn abandon(&mut self) {
        if let Some(home) = self.home.take() {
            forward::close(&self.node, self.handle.stream, &home);
        }
        self.lost = true;
        self.apply(SessionEvent::Failed);
    }

    fn ready_only(&self) -> BytesMut {
        let mut out = BytesMut::new();
        answer::put_ready(self.txn(), &mut out);
        out
    }

    fn keep(&mut self, batch: &Batch, out: &BytesMut) {
        batch.keep(out, &mut self.statements);
    }

    fn cleaned(&self, batch: &Batch, out: &BytesMut) -> BytesMut {
        BytesMut::from(batch.clean(out.to_vec()).as_slice())
    }

    async fn say_leaving(&mut self, write: &mut OwnedWriteHalf) {
        let token = self.token().encode();
        let hint = format!("connect again with options '-c pondtrack.token={token}' to go on where you were");
        let mut out = BytesMut::new();
        SqlError::fatal("57P01", "this instance is leaving").hint(hint).put(&mut out);
        let _ = write.write_all(&out).await;
    }

    async fn say_error(&mut self, e: &EdgeError, write: &mut OwnedWriteHalf) {
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

    fn apply(&mut self, event: SessionEvent) {
        match lifecycle::session_chart().next(self.state, event) {
            Ok(next) => self.state = next,
            Err(e) => log::error!(step = "session"; "{e}"),
        }
    }

    fn close(&mut self) {
        if self.txn() != TxnState::Idle
            && let Some(home) = self.home.take()
        {
            forward::close(&self.node, self.handle.stream, &home);
        }
        self.state = SessionState::Ended;
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.node.sessions.remove(self.handle.pid, &self.caller);
    }
}

fn is_own_set(it: &Stmt) -> bool {
    matches!(it, Stmt::Set { name, .. } if is_own(name)) || matches!(it, Stmt::ShowSetting(_))
}

fn sets_of(list: &[Stmt]) -> Vec<Stmt> {
    list.iter().filter(|it| matches!(it, Stmt::Set { .. } | Stmt::ResetAll)).cloned().collect()
}

/// The class of a batch: the most demanding of its statements'.
fn class_of(list: &[Stmt], executes: bool) -> Class {
    let mut out = Class::Read;
    for it in list {
        let class = match it {
            Stmt::Run(it) => *it,
            _ => Class::Read,
        };
        out = match (out, class) {
            (Class::Read, it) | (it, Class::Read) => it,
            (Class::Commit, _) | (_, Class::Commit) => Class::Commit,
            (Class::Begin, _) | (_, Class::Begin) => Class::Begin,
            _ => Class::Write,
        };
    }
    // What is only prepared or described can be so anywhere.
    if executes { out } else { Class::Read }
}

/// Whether the last command tag of an answer is this one, its end included.
fn tag_is(frames: &[u8], tag: &[u8]) -> bool {
    let last = Frames::new(frames).filter(|it| it.0 == b'C').last();
    last.is_some_and(|(_, range)| frames[range.start + 5..range.end] == *tag)
}

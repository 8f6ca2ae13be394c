//! Batches of a caller's messages, each up to a query or sync, with emulated prepared statements.
//!
//! Upstream connections are shared between sessions, so a statement prepared on one connection does not exist on
//! another. A batch therefore uses only the unnamed statement: where the caller refers to a statement prepared
//! earlier, the batch includes a Parse with its text, and the additional ParseComplete is removed from the answer.

use {
    crate::{
        answer::{self, SqlError},
        frame::{Frames, HEADER},
    },
    bytes::BytesMut,
    pgwire::messages::{
        DecodeContext, Message,
        data::{NoData, ParameterDescription},
        extendedquery::{Bind, BindComplete, Close, CloseComplete, Describe, Parse, ParseComplete, Sync},
        simplequery::Query,
    },
    pondtrack_proto::Name,
};

/// Maximum number of prepared statements of a session.
pub const MAX_STATEMENTS: usize = 1_000;

/// A prepared statement of a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// The name of the statement; empty for the unnamed statement.
    pub name: Name,
    /// The SQL text.
    pub text: Name,
    /// The type OIDs of the parameters that the caller specified.
    pub types: Vec<u32>,
}

/// The prepared statements of a session, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Statements {
    list: Vec<Statement>,
}

impl Statements {
    /// Returns the statement with a name.
    pub fn get(&self, name: &str) -> Option<&Statement> {
        let at = self.find(name).ok()?;
        Some(&self.list[at])
    }

    /// Inserts a statement, or replaces the one with its name.
    pub fn insert(&mut self, statement: Statement) {
        match self.find(&statement.name) {
            Ok(at) => self.list[at] = statement,
            Err(at) => self.list.insert(at, statement),
        }
    }

    /// Removes the statement with a name, if any.
    pub fn remove(&mut self, name: &str) {
        if let Ok(at) = self.find(name) {
            self.list.remove(at);
        }
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.list.binary_search_by(|s| s.name.as_str().cmp(name))
    }
}

/// The state of a batch after a message was added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// More messages are needed.
    More,
    /// The batch is complete and can be sent.
    Complete,
}

/// A batch of messages, collected until a query, sync or flush.
#[derive(Debug, Default)]
pub struct Batch {
    /// The encoded messages to send.
    pub frames: BytesMut,
    /// The SQL texts of executed statements, in order.
    pub texts: Vec<Name>,
    /// Statements to store in the session, each with the index of the Parse that must succeed first.
    pub prepared: Vec<(usize, Statement)>,
    /// Names of statements to remove from the session.
    pub closed: Vec<Name>,
    /// Indexes of the ParseComplete messages to remove from the answer.
    added_parses: Vec<usize>,
    /// Number of Parse messages in the batch.
    parses: usize,
    /// The unnamed statement of the upstream connection at this point of the batch.
    current: Option<Statement>,
    executes: bool,
    /// True if the batch ended with a flush, which is sent as a sync.
    flushed: bool,
    simple: bool,
}

impl Batch {
    /// Returns true if the batch executes a statement, rather than only preparing or describing statements.
    pub fn executes(&self) -> bool {
        self.executes
    }

    /// Returns true if the batch is a simple query.
    pub fn is_simple(&self) -> bool {
        self.simple
    }

    /// Adds a message of the caller.
    ///
    /// After an error, the caller's remaining messages up to the next sync must be skipped.
    pub fn push(&mut self, frame: BytesMut, known: &Statements) -> Result<Progress, SqlError> {
        match frame[0] {
            b'Q' => self.query(frame),
            b'P' => self.parse(frame, known),
            b'B' => self.bind(frame, known),
            b'D' => self.describe(frame, known),
            b'C' => self.close(frame),
            b'E' => {
                self.executes = true;
                self.frames.extend_from_slice(&frame);
                Ok(Progress::More)
            }
            b'S' => {
                self.frames.extend_from_slice(&frame);
                Ok(Progress::Complete)
            }
            b'H' => self.flush(),
            b'd' | b'c' | b'f' => Err(SqlError::error("0A000", "COPY is not supported")
                .hint("use INSERT, or connect to the primary itself")),
            tag => {
                Err(SqlError::fatal("08P01", format!("a message of the unknown kind {:?}", char::from(tag))))
            }
        }
    }

    fn query(&mut self, frame: BytesMut) -> Result<Progress, SqlError> {
        let query: Query = decode(frame.clone())?;
        self.texts.push(query.query.into());
        self.frames.extend_from_slice(&frame);
        self.executes = true;
        self.simple = true;
        Ok(Progress::Complete)
    }

    fn parse(&mut self, frame: BytesMut, known: &Statements) -> Result<Progress, SqlError> {
        let parse: Parse = decode(frame)?;
        let name = Name::from(parse.name.unwrap_or_default());
        let exists = !name.is_empty() && known.get(&name).is_some() && !self.closed.contains(&name);
        if exists {
            return Err(SqlError::error("42P05", format!("prepared statement \"{name}\" already exists")));
        }
        if known.list.len() + self.prepared.len() >= MAX_STATEMENTS {
            let text = format!("a session may have {MAX_STATEMENTS} prepared statements");
            return Err(SqlError::error("53400", text).hint("close statements that are no longer used"));
        }
        let statement = Statement { name, text: parse.query.into(), types: parse.type_oids };
        let index = self.parses;
        self.put_parse(&statement);
        self.prepared.retain(|old| old.1.name != statement.name);
        self.prepared.push((index, statement.clone()));
        self.current = Some(statement);
        Ok(Progress::More)
    }

    fn bind(&mut self, frame: BytesMut, known: &Statements) -> Result<Progress, SqlError> {
        let mut bind: Bind = decode(frame)?;
        let text = self.select(bind.statement_name.as_deref().unwrap_or(""), known)?;
        self.texts.push(text);
        bind.statement_name = None;
        answer::put(&bind, &mut self.frames);
        Ok(Progress::More)
    }

    fn describe(&mut self, frame: BytesMut, known: &Statements) -> Result<Progress, SqlError> {
        let mut describe: Describe = decode(frame)?;
        if describe.target_type == b'S' {
            self.select(describe.name.as_deref().unwrap_or(""), known)?;
            describe.name = None;
        }
        answer::put(&describe, &mut self.frames);
        Ok(Progress::More)
    }

    fn close(&mut self, frame: BytesMut) -> Result<Progress, SqlError> {
        let mut close: Close = decode(frame)?;
        if close.target_type == b'S' {
            let name = Name::from(close.name.take().unwrap_or_default());
            self.prepared.retain(|s| s.1.name != name);
            self.closed.push(name);
            self.current = None;
        }
        answer::put(&close, &mut self.frames);
        Ok(Progress::More)
    }

    /// Ends the batch with a sync in place of the caller's flush.
    ///
    /// Some clients flush after a Parse and wait for the answer. A sync is equivalent as long as the batch has
    /// executed nothing.
    fn flush(&mut self) -> Result<Progress, SqlError> {
        if self.executes {
            let text = "a flush after an execute is not supported";
            return Err(SqlError::error("0A000", text).hint("end each run of messages with a sync"));
        }
        answer::put(&Sync::new(), &mut self.frames);
        self.flushed = true;
        Ok(Progress::Complete)
    }

    /// Makes the named statement the unnamed statement of the upstream connection and returns its text.
    ///
    /// Adds a Parse unless the statement is already the unnamed one.
    fn select(&mut self, name: &str, known: &Statements) -> Result<Name, SqlError> {
        if let Some(s) = self.current.as_ref().filter(|s| s.name == name) {
            return Ok(s.text.clone());
        }
        let in_batch = self.prepared.iter().map(|s| &s.1).find(|s| s.name == name);
        let in_session = || known.get(name).filter(|_| !self.closed.iter().any(|closed| closed == name));
        let statement = in_batch.or_else(in_session).cloned().ok_or_else(|| {
            SqlError::error("26000", format!("prepared statement \"{name}\" does not exist"))
        })?;
        self.added_parses.push(self.parses);
        self.put_parse(&statement);
        let text = statement.text.clone();
        self.current = Some(statement);
        Ok(text)
    }

    fn put_parse(&mut self, statement: &Statement) {
        let parse = Parse::new(None, statement.text.to_string(), statement.types.clone());
        answer::put(&parse, &mut self.frames);
        self.parses += 1;
    }

    /// Updates the session's statements from the answer to the batch.
    ///
    /// Inserts the statements whose Parse succeeded and removes those that were closed.
    pub fn apply_to(&self, answer: &[u8], known: &mut Statements) {
        let parsed = Frames::new(answer).filter(|frame| frame.0 == b'1').count();
        for name in &self.closed {
            known.remove(name);
        }
        for (index, statement) in &self.prepared {
            if *index < parsed {
                known.insert(statement.clone());
            }
        }
    }

    /// Removes the responses to messages that the batch added from an answer.
    pub fn strip_added(&self, frames: Vec<u8>) -> Vec<u8> {
        if self.added_parses.is_empty() && !self.flushed {
            return frames;
        }
        let mut out = Vec::with_capacity(frames.len());
        let mut parses = 0;
        for (tag, range) in Frames::new(&frames) {
            let drop = match tag {
                b'1' => {
                    parses += 1;
                    self.added_parses.contains(&(parses - 1))
                }
                b'Z' => self.flushed,
                _ => false,
            };
            if !drop {
                out.extend_from_slice(&frames[range]);
            }
        }
        out
    }
}

/// Appends the answer to a caller's messages, without an upstream.
///
/// Each statement completes with `tag`. `cell` is the name and the value of the only column of a statement that
/// returns one row. ReadyForQuery is not included.
pub fn put_local_response(frames: &[u8], tag: &str, cell: Option<(&str, &str)>, out: &mut BytesMut) {
    for (kind, range) in Frames::new(frames) {
        match kind {
            b'Q' => {
                describe(cell, out);
                complete(cell, tag, out);
            }
            b'P' => answer::put(&ParseComplete::new(), out),
            b'B' => answer::put(&BindComplete::new(), out),
            b'D' => {
                if frames.get(range.start + HEADER) == Some(&b'S') {
                    answer::put(&ParameterDescription::new(Vec::new()), out);
                }
                match cell {
                    Some(_) => describe(cell, out),
                    None => answer::put(&NoData::new(), out),
                }
            }
            b'E' => complete(cell, tag, out),
            b'C' => answer::put(&CloseComplete::new(), out),
            _ => {}
        }
    }
}

fn describe(cell: Option<(&str, &str)>, out: &mut BytesMut) {
    if let Some((name, _)) = cell {
        answer::put_columns(&[name], out);
    }
}

fn complete(cell: Option<(&str, &str)>, tag: &str, out: &mut BytesMut) {
    if let Some((_, value)) = cell {
        answer::put_row(&[value], out);
    }
    answer::put_complete(tag, out);
}

/// Decodes a complete message. Returns an error that closes the session if the message is malformed.
pub fn decode<M: Message>(mut frame: BytesMut) -> Result<M, SqlError> {
    let malformed = |reason: &str| SqlError::fatal("08P01", format!("a malformed message: {reason}"));
    let len = frame.len();
    let complete = len >= HEADER && is_complete(&frame);
    if !complete {
        return Err(malformed("a text without its end"));
    }
    match M::decode(&mut frame, &DecodeContext::default()) {
        Ok(Some(message)) => Ok(message),
        Ok(None) => Err(malformed("it is cut short")),
        Err(e) => Err(malformed(&e.to_string())),
    }
}

/// Returns true if the strings and counted lists of a message are complete.
///
/// `pgwire` panics on a message that is truncated inside its fixed part, so the length is checked before decoding.
fn is_complete(frame: &[u8]) -> bool {
    let body = &frame[HEADER..];
    match frame[0] {
        b'Q' => body.last() == Some(&0),
        b'P' => is_complete_parse(body),
        b'B' => is_complete_bind(body),
        b'D' | b'C' => body.len() >= 2 && body.last() == Some(&0),
        _ => true,
    }
}

fn is_complete_parse(body: &[u8]) -> bool {
    let Some(body) = skip_string(body).and_then(skip_string) else { return false };
    let Some((n, rest)) = read_count(body) else { return false };
    rest.len() == n * 4
}

fn is_complete_bind(body: &[u8]) -> bool {
    let Some(body) = skip_string(body).and_then(skip_string) else { return false };
    let Some((n, body)) = read_count(body) else { return false };
    let Some(body) = body.get(n * 2..) else { return false };
    let Some((n, mut body)) = read_count(body) else { return false };
    for _ in 0..n {
        let Some((len, rest)) = body.split_first_chunk::<4>() else { return false };
        let len = usize::try_from(i32::from_be_bytes(*len)).unwrap_or(0);
        let Some(rest) = rest.get(len..) else { return false };
        body = rest;
    }
    let Some((n, body)) = read_count(body) else { return false };
    body.len() == n * 2
}

fn skip_string(body: &[u8]) -> Option<&[u8]> {
    let end = body.iter().position(|b| *b == 0)?;
    std::str::from_utf8(&body[..end]).ok()?;
    Some(&body[end + 1..])
}

fn read_count(body: &[u8]) -> Option<(usize, &[u8])> {
    let (n, rest) = body.split_first_chunk::<2>()?;
    let n = usize::try_from(i16::from_be_bytes(*n)).ok()?;
    Some((n, rest))
}

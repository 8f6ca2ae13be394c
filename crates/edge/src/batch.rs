//! A caller's messages up to a query or sync, with prepared statements carried along.
//!
//! Upstream connections are shared, so a statement prepared on one is not there on the next. A batch
//! therefore uses the unnamed statement only: where the caller names a statement prepared earlier, its
//! text goes along and the extra parse-complete is taken out of the answer.

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

/// Most statements a session may have prepared.
pub const MAX_STATEMENTS: usize = 1_000;

/// A prepared statement of a session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// Its name; empty for the unnamed one.
    pub name: Name,
    /// Its text.
    pub text: Name,
    /// Type ids of its parameters, as far as the caller gave them.
    pub types: Vec<u32>,
}

/// The prepared statements of a session, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Statements {
    list: Vec<Statement>,
}

impl Statements {
    /// Finds a statement.
    pub fn get(&self, name: &str) -> Option<&Statement> {
        let at = self.find(name).ok()?;
        Some(&self.list[at])
    }

    /// Adds or replaces a statement.
    pub fn insert(&mut self, it: Statement) {
        match self.find(&it.name) {
            Ok(at) => self.list[at] = it,
            Err(at) => self.list.insert(at, it),
        }
    }

    /// Forgets a statement.
    pub fn remove(&mut self, name: &str) {
        if let Ok(at) = self.find(name) {
            self.list.remove(at);
        }
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.list.binary_search_by(|it| it.name.as_str().cmp(name))
    }
}

/// Whether a batch is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// More messages follow.
    More,
    /// The batch is complete.
    Complete,
}

/// A batch being gathered.
#[derive(Debug, Default)]
pub struct Batch {
    /// The messages to send.
    pub frames: BytesMut,
    /// The texts that are run, in order.
    pub texts: Vec<Name>,
    /// Statements to keep, each with the number of the parse that has to succeed for it.
    pub prepared: Vec<(usize, Statement)>,
    /// Names to forget.
    pub closed: Vec<Name>,
    /// Which parse-completes to take out of the answer, by their number.
    strip: Vec<usize>,
    parses: usize,
    current: Option<Statement>,
    executes: bool,
    flushed: bool,
    simple: bool,
}

impl Batch {
    /// Whether anything is run, rather than only prepared or described.
    pub fn executes(&self) -> bool {
        self.executes
    }

    /// Whether it is one simple query.
    pub fn is_simple(&self) -> bool {
        self.simple
    }

    /// Adds a message of the caller. After an error the rest up to the sync has to be skipped.
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
        let it: Query = decode(frame.clone())?;
        self.texts.push(it.query.into());
        self.frames.extend_from_slice(&frame);
        self.executes = true;
        self.simple = true;
        Ok(Progress::Complete)
    }

    fn parse(&mut self, frame: BytesMut, known: &Statements) -> Result<Progress, SqlError> {
        let it: Parse = decode(frame)?;
        let name = Name::from(it.name.unwrap_or_default());
        let taken = !name.is_empty() && known.get(&name).is_some() && !self.closed.contains(&name);
        if taken {
            return Err(SqlError::error("42P05", format!("prepared statement \"{name}\" already exists")));
        }
        if known.list.len() + self.prepared.len() >= MAX_STATEMENTS {
            let text = format!("a session may have {MAX_STATEMENTS} prepared statements");
            return Err(SqlError::error("53400", text).hint("close statements that are no longer used"));
        }
        let it = Statement { name, text: it.query.into(), types: it.type_oids };
        let number = self.parses;
        self.put_parse(&it);
        self.prepared.retain(|old| old.1.name != it.name);
        self.prepared.push((number, it.clone()));
        self.current = Some(it);
        Ok(Progress::More)
    }

    fn bind(&mut self, frame: BytesMut, known: &Statements) -> Result<Progress, SqlError> {
        let mut it: Bind = decode(frame)?;
        let text = self.select(it.statement_name.as_deref().unwrap_or(""), known)?;
        self.texts.push(text);
        it.statement_name = None;
        answer::put(&it, &mut self.frames);
        Ok(Progress::More)
    }

    fn describe(&mut self, frame: BytesMut, known: &Statements) -> Result<Progress, SqlError> {
        let mut it: Describe = decode(frame)?;
        if it.target_type == b'S' {
            self.select(it.name.as_deref().unwrap_or(""), known)?;
            it.name = None;
        }
        answer::put(&it, &mut self.frames);
        Ok(Progress::More)
    }

    fn close(&mut self, frame: BytesMut) -> Result<Progress, SqlError> {
        let mut it: Close = decode(frame)?;
        if it.target_type == b'S' {
            let name = Name::from(it.name.take().unwrap_or_default());
            self.prepared.retain(|it| it.1.name != name);
            self.closed.push(name);
            self.current = None;
        }
        answer::put(&it, &mut self.frames);
        Ok(Progress::More)
    }

    /// Some clients flush after preparing and wait; a sync does the same as long as nothing was run.
    fn flush(&mut self) -> Result<Progress, SqlError> {
        if self.executes {
            let text = "a flush after an execute is not supported";
            return Err(SqlError::error("0A000", text).hint("end each run of messages with a sync"));
        }
        answer::put(&Sync::new(), &mut self.frames);
        self.flushed = true;
        Ok(Progress::Complete)
    }

    /// Makes the named statement the unnamed one of the upstream connection.
    fn select(&mut self, name: &str, known: &Statements) -> Result<Name, SqlError> {
        if let Some(it) = self.current.as_ref().filter(|it| it.name == name) {
            return Ok(it.text.clone());
        }
        let here = self.prepared.iter().map(|it| &it.1).find(|it| it.name == name);
        let there = || known.get(name).filter(|_| !self.closed.iter().any(|it| it == name));
        let it = here.or_else(there).cloned().ok_or_else(|| {
            SqlError::error("26000", format!("prepared statement \"{name}\" does not exist"))
        })?;
        self.strip.push(self.parses);
        self.put_parse(&it);
        let text = it.text.clone();
        self.current = Some(it);
        Ok(text)
    }

    fn put_parse(&mut self, it: &Statement) {
        let parse = Parse::new(None, it.text.to_string(), it.types.clone());
        answer::put(&parse, &mut self.frames);
        self.parses += 1;
    }

    /// Keeps the statements whose parse the answer confirms, and forgets those that were closed.
    pub fn apply_to(&self, answer: &[u8], known: &mut Statements) {
        let parsed = Frames::new(answer).filter(|it| it.0 == b'1').count();
        for it in &self.closed {
            known.remove(it);
        }
        for (number, it) in &self.prepared {
            if *number < parsed {
                known.insert(it.clone());
            }
        }
    }

    /// Takes the answers to added messages out of an answer.
    pub fn strip_added(&self, frames: Vec<u8>) -> Vec<u8> {
        if self.strip.is_empty() && !self.flushed {
            return frames;
        }
        let mut out = Vec::with_capacity(frames.len());
        let mut parses = 0;
        for (tag, range) in Frames::new(&frames) {
            let drop = match tag {
                b'1' => {
                    parses += 1;
                    self.strip.contains(&(parses - 1))
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

/// Answers a caller's messages without an upstream: each statement ends with `tag`, and shows `cell`,
/// a column's name and its value, if there is one. Ready-for-query is left to the caller.
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

/// Decodes a whole message; a malformed one is an error that ends the session.
pub fn decode<M: Message>(mut frame: BytesMut) -> Result<M, SqlError> {
    let bad = |reason: &str| SqlError::fatal("08P01", format!("a malformed message: {reason}"));
    let len = frame.len();
    let whole = len >= HEADER && has_texts(&frame);
    if !whole {
        return Err(bad("a text without its end"));
    }
    match M::decode(&mut frame, &DecodeContext::default()) {
        Ok(Some(it)) => Ok(it),
        Ok(None) => Err(bad("it is cut short")),
        Err(e) => Err(bad(&e.to_string())),
    }
}

/// Whether the texts that a message has to hold have their ends.
///
/// The wire library panics on a message cut inside its fixed part, so that is checked first.
fn has_texts(frame: &[u8]) -> bool {
    let body = &frame[HEADER..];
    match frame[0] {
        b'Q' => body.last() == Some(&0),
        b'P' => parse_is_whole(body),
        b'B' => bind_is_whole(body),
        b'D' | b'C' => body.len() >= 2 && body.last() == Some(&0),
        _ => true,
    }
}

fn parse_is_whole(body: &[u8]) -> bool {
    let Some(body) = skip_text(body).and_then(skip_text) else { return false };
    let Some((n, rest)) = count(body) else { return false };
    rest.len() == n * 4
}

fn bind_is_whole(body: &[u8]) -> bool {
    let Some(body) = skip_text(body).and_then(skip_text) else { return false };
    let Some((n, body)) = count(body) else { return false };
    let Some(body) = body.get(n * 2..) else { return false };
    let Some((n, mut body)) = count(body) else { return false };
    for _ in 0..n {
        let Some((len, rest)) = body.split_first_chunk::<4>() else { return false };
        let len = usize::try_from(i32::from_be_bytes(*len)).unwrap_or(0);
        let Some(rest) = rest.get(len..) else { return false };
        body = rest;
    }
    let Some((n, body)) = count(body) else { return false };
    body.len() == n * 2
}

fn skip_text(body: &[u8]) -> Option<&[u8]> {
    let end = body.iter().position(|b| *b == 0)?;
    std::str::from_utf8(&body[..end]).ok()?;
    Some(&body[end + 1..])
}

fn count(body: &[u8]) -> Option<(usize, &[u8])> {
    let (n, rest) = body.split_first_chunk::<2>()?;
    let n = usize::try_from(i16::from_be_bytes(*n)).ok()?;
    Some((n, rest))
}

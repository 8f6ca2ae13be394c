//! Statements, answers and configuration, whatever wire they travel on.

use {
    crate::organisation::{CallerKey, KeyHash, Organisations, Owner},
    bytes::Bytes,
    pondtrack_proto::{Incarnation, LogPosition, Name, Term},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddrV4, time::Duration},
    strum::{Display, IntoStaticStr},
};

/// Whether a statement may change data.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum Access {
    /// It reads only.
    Read,
    /// It may write.
    Write,
}

/// What a statement asks for. Names and values are the caller's own bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// Begins a transaction.
    Begin(Access),
    /// Ends a transaction and keeps its writes.
    Commit,
    /// Ends a transaction and drops its writes.
    Rollback,
    /// A statement that reads or writes; the text goes to a server unchanged.
    Run(Access),
    /// Sets a session value.
    Set {
        /// The value's name.
        name: Name,
        /// The value.
        value: Name,
    },
    /// Names a statement for later.
    Prepare {
        /// The caller's name for it.
        name: Name,
        /// What it will do.
        access: Access,
        /// The statement itself.
        shape: Name,
    },
    /// Runs a named statement.
    Execute {
        /// The caller's name for it.
        name: Name,
        /// Its arguments.
        args: Bytes,
    },
    /// Forgets a named statement.
    Deallocate {
        /// The caller's name for it.
        name: Name,
    },
    /// Not a statement that is understood.
    Malformed,
}

/// A caller's statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// The caller's id for it; unique over all callers and attempts.
    pub id: Bytes,
    /// The text, as the caller sent it.
    pub text: Bytes,
    /// What it asks for.
    pub verb: StatementKind,
}

/// What a caller sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens a session.
    Open {
        /// The database it asks for.
        database: Name,
        /// Shows whose caller it is, where callers are told apart.
        key: CallerKey,
    },
    /// A statement.
    Statement(Statement),
    /// Ends the session.
    Close,
    /// A message that is not understood, with the reason.
    Malformed(&'static str),
}

/// Whether a session or connection is inside a transaction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum TxnState {
    /// In none.
    #[default]
    Idle,
    /// In one.
    Open,
    /// In one that has failed and can only be rolled back.
    Failed,
}

/// Why a statement has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum ErrorCode {
    /// Too much to do: not run.
    Busy,
    /// The transaction was rolled back: nothing of it is kept.
    Aborted,
    /// The server's log doesn't reach the position asked for: not run.
    Lagging,
    /// The server isn't the primary: not run, or rolled back.
    ReadOnly,
    /// Another server than the one asked for: not run.
    WrongServer,
    /// The server has no connection to spare: not run.
    TooMany,
    /// No such named statement: not run.
    NoStatement,
    /// It ran and failed.
    Failed,
    /// It ran and was ended for its time; what it did is not known.
    Timeout,
    /// It may or may not have taken effect.
    Unknown,
    /// No such database.
    NoDatabase,
    /// The message is larger than allowed.
    TooLarge,
    /// The message isn't understood, or not at this point.
    Malformed,
    /// The caller is not allowed in.
    NoAuth,
}

impl ErrorCode {
    /// Whether it states that the statement didn't run, and left the transaction state as it was.
    pub fn is_not_run(self) -> bool {
        matches!(
            self,
            ErrorCode::Busy
                | ErrorCode::Lagging
                | ErrorCode::ReadOnly
                | ErrorCode::WrongServer
                | ErrorCode::TooMany
                | ErrorCode::NoStatement
        )
    }
}

/// How a statement ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Completion {
    /// With success; the server's proof of it, or nothing for statements answered here.
    Done(Option<Bytes>),
    /// With an error.
    Error {
        /// What kind.
        code: ErrorCode,
        /// For people, and when to come back.
        text: Bytes,
    },
}

/// A whole answer to one statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The rows, each as the server sent it.
    pub rows: Vec<Bytes>,
    /// How it ended.
    pub end: Completion,
    /// The transaction state after it.
    pub txn: TxnState,
    /// The position that the server's reads show after it, or that a commit has in the log.
    pub mark: Option<LogPosition>,
}

impl Answer {
    /// A success that needed no server.
    pub fn done(txn: TxnState) -> Answer {
        Answer { rows: Vec::new(), end: Completion::Done(None), txn, mark: None }
    }

    /// An error.
    pub fn error(code: ErrorCode, text: impl Into<Bytes>, txn: TxnState) -> Answer {
        Answer { rows: Vec::new(), end: Completion::Error { code, text: text.into() }, txn, mark: None }
    }

    /// The error's kind, if it is one.
    pub fn error_code(&self) -> Option<ErrorCode> {
        match &self.end {
            Completion::Done(_) => None,
            Completion::Error { code, .. } => Some(*code),
        }
    }

    /// Whether it is a success.
    pub fn is_done(&self) -> bool {
        matches!(self.end, Completion::Done(_))
    }
}

/// How a server sees itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// It takes writes.
    Primary,
    /// It follows a primary.
    Replica,
}

/// A server's account of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Its role.
    pub role: Role,
    /// The newest term it knows.
    pub term: Term,
    /// The end of its log.
    pub received: LogPosition,
    /// The term at which it was told to stop receiving; none while it receives.
    pub paused: Option<Term>,
    /// How far its reads are behind its log, in milliseconds.
    pub lag: u64,
    /// Statements it works on.
    pub busy: u64,
    /// Connections from all callers together.
    pub conns: u64,
}

/// What is asked of a server on pondtrack's own account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// For its account of itself.
    Status,
    /// To stop receiving from primaries below a term.
    Pause(Term),
    /// To receive again.
    Resume,
    /// To become a replica if its term is lower.
    StepDown(Term),
    /// To forget session values and named statements.
    Reset,
    /// To set a session value.
    Set {
        /// The value's name.
        name: Name,
        /// The value.
        value: Name,
    },
    /// To name a statement.
    Prepare {
        /// The name on this connection.
        name: Name,
        /// What it will do.
        access: Access,
        /// The statement.
        shape: Name,
    },
    /// To roll a transaction back.
    Rollback,
}

/// What reads of a route have to show.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadPolicy {
    /// Everything acknowledged before the read.
    Latest,
    /// Everything acknowledged longer ago than this.
    Bounded(Duration),
    /// The same, and everything that the session has written.
    OwnWrites(Duration),
}

impl ReadPolicy {
    /// How old the answer may be; none when it has to be the latest.
    pub fn max_age(self) -> Option<Duration> {
        match self {
            ReadPolicy::Latest => None,
            ReadPolicy::Bounded(age) | ReadPolicy::OwnWrites(age) => Some(age),
        }
    }
}

/// How callers of a database are served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The database that callers ask for.
    pub database: Name,
    /// The group that serves it.
    pub group: Name,
    /// What its reads have to show.
    pub policy: ReadPolicy,
    /// The longest time for one statement.
    pub timeout: Duration,
    /// The response time that callers hope for, over the whole operation.
    pub objective: Duration,
    /// Rank among routes that compete; 0 goes first.
    pub priority: u8,
    /// Whether callers need no key.
    pub public: bool,
}

/// Limits of a group's servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupSpec {
    /// The group.
    pub name: Name,
    /// The most connections to one server, of all instances together.
    pub conns: usize,
}

/// A configuration in full.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Its version; a higher one replaces it.
    pub version: u64,
    /// Routes, sorted by database.
    pub routes: Vec<Route>,
    /// Groups, sorted by name.
    pub groups: Vec<GroupSpec>,
    /// Organisations; none where callers are not told apart.
    pub organisations: Option<Organisations>,
    /// A transaction that is idle for longer may be ended.
    pub txn_idle: Duration,
    /// The longest statement of a caller, in bytes.
    pub message_bytes: usize,
}

impl Config {
    /// The route of a database.
    pub fn route(&self, database: &str) -> Option<&Route> {
        let at = self.routes.binary_search_by(|it| it.database.as_str().cmp(database)).ok()?;
        Some(&self.routes[at])
    }

    /// Whether organisations have quotas, so that their callers compete for room.
    pub fn is_limited(&self) -> bool {
        self.organisations.as_ref().is_some_and(Organisations::is_limited)
    }

    /// Whose a caller with a key is on a route; none where it isn't allowed there.
    pub fn owner_of(&self, key: &KeyHash, route: &Route) -> Option<Owner> {
        let Some(organisations) = &self.organisations else { return Some(Owner::Shared) };
        match organisations.find_by_key(key) {
            Some(it) => Some(Owner::Organisation(it.name.clone())),
            None => route.public.then_some(Owner::Shared),
        }
    }
}

/// A database server, as its entry in the directory describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Its id; another server at the same address has another one.
    pub id: Name,
    /// The run of its process that wrote the entry.
    pub incarnation: Incarnation,
    /// The group it belongs to.
    pub group: Name,
    /// Its address.
    pub addr: SocketAddrV4,
    /// Its availability zone.
    pub zone: Name,
    /// Statements it works on at once.
    pub slots: usize,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How it sees itself, if it says so.
    pub role: Option<Role>,
}

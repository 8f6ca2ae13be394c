//! Statements, answers and configuration, independent of the wire protocol.

use {
    crate::organisation::{CallerKey, KeyHash, Organisations, Owner},
    bytes::Bytes,
    pondtrack_proto::{Incarnation, LogPosition, Name, Term},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddrV4, time::Duration},
    strum::{Display, IntoStaticStr},
};

/// Access mode of a statement or transaction.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum Access {
    /// Read-only.
    Read,
    /// Read-write.
    Write,
}

/// Kind of a statement. Names and values are the caller's own bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// Begins a transaction.
    Begin(Access),
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads or writes; the text is forwarded to a server unchanged.
    Run(Access),
    /// Sets a session value.
    Set {
        /// Name that the caller gave to the session value.
        name: Name,
        /// New value, which replaces any earlier one of this name.
        value: Name,
    },
    /// Prepares a named statement.
    Prepare {
        /// Caller's name for the statement.
        name: Name,
        /// Access mode of the statement.
        access: Access,
        /// Text of the statement.
        shape: Name,
    },
    /// Executes a named statement.
    Execute {
        /// Caller's name for the statement.
        name: Name,
        /// Arguments of the statement.
        args: Bytes,
    },
    /// Deallocates a named statement.
    Deallocate {
        /// Caller's name for the statement.
        name: Name,
    },
    /// Not a valid statement.
    Malformed,
}

/// Statement of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// Caller's id for the statement, unique over all callers and attempts.
    pub id: Bytes,
    /// Text as sent by the caller.
    pub text: Bytes,
    /// Kind of the statement.
    pub kind: StatementKind,
}

/// Message from a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerMessage {
    /// Opens a session.
    Open {
        /// Requested database.
        database: Name,
        /// Key that identifies the caller's organisation, where organisations are configured.
        key: CallerKey,
    },
    /// Statement to run.
    Statement(Statement),
    /// Closes the session.
    Close,
    /// Malformed message, with the reason.
    Malformed(&'static str),
}

/// Transaction state of a session or connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum TxnState {
    /// Outside a transaction.
    #[default]
    Idle,
    /// Inside a transaction.
    Open,
    /// Inside a failed transaction, which can only be rolled back.
    Failed,
}

/// Reasons why a statement has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum ErrorCode {
    /// Overload; the statement was not run.
    Busy,
    /// The transaction was rolled back; none of its writes are kept.
    Aborted,
    /// The server's log has not reached the requested position; the statement was not run.
    Lagging,
    /// The server is not the primary; the statement was not run, or was rolled back.
    ReadOnly,
    /// The connection reached a different server than requested; the statement was not run.
    WrongServer,
    /// The server has reached its connection limit; the statement was not run.
    TooMany,
    /// The named statement does not exist; the statement was not run.
    NoStatement,
    /// The statement ran and failed.
    Failed,
    /// The statement ran and was aborted by a timeout; its effects are unknown.
    Timeout,
    /// The statement may or may not have taken effect.
    Unknown,
    /// The database does not exist.
    NoDatabase,
    /// The message exceeds the size limit.
    TooLarge,
    /// The message is malformed, or not valid in the current state.
    Malformed,
    /// The caller is not authorised.
    NoAuth,
}

impl ErrorCode {
    /// Returns true if the code guarantees that the statement did not run and that the transaction state is
    /// unchanged.
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

/// Completion status of a statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Completion {
    /// Success, with the server's completion token; none for statements answered without a server.
    Done(Option<Bytes>),
    /// Error.
    Error {
        /// Error code.
        code: ErrorCode,
        /// Message for people, which may state when to retry.
        text: Bytes,
    },
}

/// Complete answer to one statement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Rows, as sent by the server.
    pub rows: Vec<Bytes>,
    /// Completion status.
    pub end: Completion,
    /// Transaction state after the statement.
    pub txn: TxnState,
    /// Log position that reads on the server reflect after the statement; for a commit, the position of the
    /// commit.
    pub mark: Option<LogPosition>,
}

impl Answer {
    /// Creates a success that needed no server.
    pub fn done(txn: TxnState) -> Answer {
        Answer { rows: Vec::new(), end: Completion::Done(None), txn, mark: None }
    }

    /// Creates an error.
    pub fn error(code: ErrorCode, text: impl Into<Bytes>, txn: TxnState) -> Answer {
        Answer { rows: Vec::new(), end: Completion::Error { code, text: text.into() }, txn, mark: None }
    }

    /// Returns the error code; none for a success.
    pub fn error_code(&self) -> Option<ErrorCode> {
        match &self.end {
            Completion::Done(_) => None,
            Completion::Error { code, .. } => Some(*code),
        }
    }

    /// Returns true for a success.
    pub fn is_done(&self) -> bool {
        matches!(self.end, Completion::Done(_))
    }
}

/// Replication role that a server reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Accepts writes.
    Primary,
    /// Replicates from a primary.
    Replica,
}

/// Status that a server reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Replication role.
    pub role: Role,
    /// Highest term known to the server.
    pub term: Term,
    /// End of the server's log.
    pub received: LogPosition,
    /// Term at which replication was paused; none while the server receives.
    pub paused: Option<Term>,
    /// Replay lag of reads behind the end of the log, in milliseconds.
    pub lag: u64,
    /// Number of statements in progress.
    pub busy: u64,
    /// Number of connections from all clients.
    pub conns: u64,
}

/// Command that pondtrack itself sends to a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Reports the [`Status`].
    Status,
    /// Stops receiving from primaries below a term (fencing).
    Pause(Term),
    /// Resumes receiving.
    Resume,
    /// Demotes the server to a replica if its term is lower.
    StepDown(Term),
    /// Discards session values and named statements.
    Reset,
    /// Sets a session value.
    Set {
        /// Name that the caller gave to the session value.
        name: Name,
        /// New value, which replaces any earlier one of this name.
        value: Name,
    },
    /// Prepares a named statement.
    Prepare {
        /// Name of the statement on this connection.
        name: Name,
        /// Access mode of the statement.
        access: Access,
        /// Text of the statement.
        shape: Name,
    },
    /// Rolls the transaction back.
    Rollback,
}

/// Staleness policy for the reads of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReadPolicy {
    /// Reads reflect everything acknowledged before the read.
    Latest,
    /// Reads reflect everything acknowledged longer ago than this duration.
    Bounded(Duration),
    /// Like [`ReadPolicy::Bounded`], and reads also reflect the session's own writes.
    OwnWrites(Duration),
}

impl ReadPolicy {
    /// Returns the maximum staleness; none if reads have to reflect the latest acknowledged write.
    pub fn max_age(self) -> Option<Duration> {
        match self {
            ReadPolicy::Latest => None,
            ReadPolicy::Bounded(age) | ReadPolicy::OwnWrites(age) => Some(age),
        }
    }
}

/// Service parameters for the callers of a database.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Database name requested by callers.
    pub database: Name,
    /// Group that serves the database.
    pub group: Name,
    /// Staleness policy for reads.
    pub policy: ReadPolicy,
    /// Maximum duration of one statement.
    pub timeout: Duration,
    /// Latency objective for the whole operation.
    pub objective: Duration,
    /// Priority among competing routes; 0 is the highest.
    pub priority: u8,
    /// Set if callers need no key.
    pub public: bool,
}

/// Limits for the servers of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupSpec {
    /// Name of the group.
    pub name: Name,
    /// Maximum number of connections to one server, summed over all instances.
    pub conns: usize,
}

/// Complete configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Version number; a higher version replaces the configuration.
    pub version: u64,
    /// Routes, sorted by database.
    pub routes: Vec<Route>,
    /// Groups, sorted by name.
    pub groups: Vec<GroupSpec>,
    /// Organisations; none if callers are not assigned to organisations.
    pub organisations: Option<Organisations>,
    /// Idle time after which a transaction may be aborted.
    pub txn_idle: Duration,
    /// Maximum length of a caller's statement, in bytes.
    pub message_bytes: usize,
}

impl Config {
    /// Returns the route of a database.
    pub fn route(&self, database: &str) -> Option<&Route> {
        let at = self.routes.binary_search_by(|r| r.database.as_str().cmp(database)).ok()?;
        Some(&self.routes[at])
    }

    /// Returns true if any organisation has a quota, so that callers compete for capacity.
    pub fn is_limited(&self) -> bool {
        self.organisations.as_ref().is_some_and(Organisations::is_limited)
    }

    /// Returns the owner of a caller with this key on a route; none if the caller is not allowed on the route.
    pub fn owner_of(&self, key: &KeyHash, route: &Route) -> Option<Owner> {
        let Some(organisations) = &self.organisations else { return Some(Owner::Shared) };
        match organisations.find_by_key(key) {
            Some(o) => Some(Owner::Organisation(o.name.clone())),
            None => route.public.then_some(Owner::Shared),
        }
    }
}

/// Database server, as described by its entry in the directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Id of the server; a different server at the same address has a different id.
    pub id: Name,
    /// Incarnation of the server process that wrote the entry.
    pub incarnation: Incarnation,
    /// Group of the server.
    pub group: Name,
    /// Address of the server.
    pub addr: SocketAddrV4,
    /// Availability zone of the server.
    pub zone: Name,
    /// Number of statements that the server runs concurrently.
    pub slots: usize,
    /// Set while the server is draining.
    pub draining: bool,
    /// Replication role, if the entry states one.
    pub role: Option<Role>,
}

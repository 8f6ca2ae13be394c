//! Statements and control requests on the link between two instances.

use {
    crate::ids::{LogPosition, Name, Term},
    serde::{Deserialize, Serialize},
    strum::{Display, IntoStaticStr},
};

/// Class of a batch of statements, which decides the servers that may run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Class {
    /// The batch only reads, so a replica may run it.
    Read,
    /// The batch may write, so the primary has to run it.
    Write,
    /// Begins a transaction.
    Begin,
    /// Commits a transaction.
    Commit,
    /// Rolls a transaction back.
    Rollback,
}

/// Transaction status after a batch, as in PostgreSQL's `ReadyForQuery`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TxnState {
    /// Outside a transaction.
    #[default]
    Idle,
    /// Inside a transaction.
    Open,
    /// Inside a failed transaction.
    Failed,
}

/// Batch of statements sent to a home instance of its group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Request id, repeated in the reply; unique on the sending instance.
    pub id: u64,
    /// Id of the caller's session, unique on the sending instance.
    pub stream: u64,
    /// Caller on whose behalf the batch runs, for fair queueing.
    pub caller: Name,
    /// Group that runs the batch.
    pub group: Name,
    /// Class of the batch.
    pub class: Class,
    /// Set if the session has an open transaction at the receiver.
    pub pinned: bool,
    /// Minimum log position that a read has to reflect.
    pub mark: LogPosition,
    /// Set if the session first needs every commit acknowledged up to now.
    pub barrier: bool,
    /// Maximum staleness of a read, in milliseconds.
    pub age_ms: Option<u32>,
    /// Idempotency key of a statement that runs at most once.
    pub key: Option<Name>,
    /// Session settings that have to be in effect.
    pub settings: Vec<(Name, Name)>,
    /// Set if the batch itself changes settings of the connection.
    pub sets: bool,
    /// Trace id, the same from the caller to the upstream.
    pub trace: u64,
    /// Time left until the deadline of the request, in milliseconds.
    pub left_ms: u32,
    /// Protocol messages of the caller, up to and including a Query or Sync.
    pub frames: Vec<u8>,
}

/// Result of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// Completed: the frames contain the upstream's whole answer.
    Done,
    /// Not run, provably without effect.
    NotRun {
        /// Reason for the refusal.
        reason: Name,
        /// Time after which to retry, in milliseconds.
        retry_ms: u32,
    },
    /// Indeterminate: the batch may have run.
    Unknown {
        /// Reason why the result is unknown.
        reason: Name,
    },
    /// Refused because of its idempotency key.
    Key {
        /// Reason for the refusal.
        reason: Name,
    },
}

/// Role of the server that answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ServedBy {
    /// No server answered.
    #[default]
    None,
    /// Answered by the primary.
    Primary,
    /// Answered by a replica.
    Replica,
}

/// Reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// Id of the request.
    pub id: u64,
    /// Result of the request.
    pub outcome: Outcome,
    /// Log position that the session has observed.
    pub mark: LogPosition,
    /// Transaction status after the request.
    pub txn: TxnState,
    /// Role of the server that answered.
    pub served: ServedBy,
    /// Protocol messages for the caller, up to and including ReadyForQuery.
    pub frames: Vec<u8>,
}

/// Message on the link between two instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMsg {
    /// First message of a link, which identifies the sender.
    Hello {
        /// Name of the sender.
        from: Name,
    },
    /// A batch to run.
    Request(Request),
    /// Reply to a batch.
    Reply(Reply),
    /// The session was closed. Its transaction, if any, is rolled back.
    Close {
        /// Id of the session.
        stream: u64,
    },
    /// Keepalive for a sender whose requests are still running: the link and the receiver are healthy.
    #[serde(rename = "Beat")]
    KeepAlive,
    /// Cancels the running batch of a session.
    Cancel {
        /// Id of the session.
        stream: u64,
    },
    /// A caller's cancel request, forwarded to the instance of its session.
    CancelFor {
        /// Process id that was issued to the caller.
        pid: i32,
        /// Secret that was issued to the caller.
        secret: i32,
    },
    /// Asks if the receiver reaches a primary of a group. The receiver probes the primary again before it replies.
    #[serde(rename = "Heard")]
    ProbePrimary {
        /// Query id, repeated in the reply.
        id: u64,
        /// Name of the group.
        group: Name,
    },
    /// Reply to [`PeerMsg::ProbePrimary`].
    #[serde(rename = "HeardReply")]
    ProbePrimaryReply {
        /// Id of the query.
        id: u64,
        /// Term of the primary that answered the probe; none if no primary answered.
        term: Option<Term>,
        /// Set if commits at the receiver wait for replicas that make no progress.
        stalled: bool,
    },
    /// Asks a home instance to queue new work for the primary.
    #[serde(rename = "Hold")]
    PauseWrites {
        /// Query id, repeated in the reply.
        id: u64,
        /// Name of the group.
        group: Name,
        /// Maximum duration of the pause, in milliseconds.
        ms: u32,
    },
    /// Reply to [`PeerMsg::PauseWrites`], sent once no request or transaction of the receiver is in progress at the
    /// primary, at the latest after a fifth of the pause.
    #[serde(rename = "Held")]
    WritesPaused {
        /// Id of the query.
        id: u64,
        /// Number of requests and transactions still in progress.
        open: u32,
    },
    /// Ends a pause.
    #[serde(rename = "Release")]
    ResumeWrites {
        /// Name of the group.
        group: Name,
    },
    /// Forwarded query of an operator.
    #[serde(rename = "Ask")]
    Query {
        /// Query id, repeated in the reply.
        id: u64,
        /// Forwarded query.
        question: OperatorQuery,
    },
    /// Reply to [`PeerMsg::Query`], encoded as JSON.
    #[serde(rename = "Told")]
    QueryReply {
        /// Id of the query.
        id: u64,
        /// Result as JSON.
        json: String,
    },
    /// Asks a home instance for some of the terms that it has reserved in advance.
    #[serde(rename = "Terms")]
    ReserveTerms {
        /// Query id, repeated in the reply.
        id: u64,
        /// Name of the group.
        group: Name,
        /// Highest term known to the sender. Only higher terms are useful.
        known: Term,
    },
    /// Reply to [`PeerMsg::ReserveTerms`].
    #[serde(rename = "TermsReply")]
    ReserveTermsReply {
        /// Id of the query.
        id: u64,
        /// Half-open range of terms, now owned by the asking instance alone; none if the receiver has none to spare.
        block: Option<(Term, Term)>,
    },
}

/// Query of an operator that one instance forwards to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperatorQuery {
    /// Requests the [`crate::status::InstanceStatus`] of the receiver.
    Status,
    /// Requests the recorded decisions of the receiver.
    Explain {
        /// Subject of the decisions; none for all decisions.
        subject: Option<Name>,
    },
}

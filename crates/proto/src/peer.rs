//! Statements and control requests over a peer link.

use {
    crate::ids::{Mark, Name, Term},
    serde::{Deserialize, Serialize},
    strum::{Display, IntoStaticStr},
};

/// What a batch of statements needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Class {
    /// Reads only; a replica may answer.
    Read,
    /// May write; needs the primary.
    Write,
    /// Begins a transaction.
    Begin,
    /// Ends a transaction and makes it last.
    Commit,
    /// Ends a transaction and drops it.
    Rollback,
}

/// The transaction state after a batch, as on the wire of PostgreSQL.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum TxnState {
    /// Outside a transaction.
    #[default]
    Idle,
    /// Inside a transaction.
    Open,
    /// Inside a transaction that has failed.
    Failed,
}

/// A batch of statements on its way to a home.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Matches the reply; unique on the sending instance.
    pub id: u64,
    /// The caller's session, unique on the sending instance.
    pub stream: u64,
    /// The caller, for taking turns.
    pub caller: Name,
    /// The group.
    pub group: Name,
    /// What it needs.
    pub class: Class,
    /// Whether the session has a transaction open at the receiver.
    pub pinned: bool,
    /// The least position a read has to show.
    pub mark: Mark,
    /// Set when the session first needs all that was acknowledged before now.
    pub barrier: bool,
    /// The age a read may have, in milliseconds.
    pub age_ms: Option<u32>,
    /// The request key of a statement that runs once at most.
    pub key: Option<Name>,
    /// Session settings to be in force.
    pub settings: Vec<(Name, Name)>,
    /// Whether the batch itself changes settings of the connection.
    pub sets: bool,
    /// One id from the caller to the upstream.
    pub trace: u64,
    /// Milliseconds left until the request is given up.
    pub left_ms: u32,
    /// The messages of the caller, ended by a query or a sync.
    pub frames: Vec<u8>,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The frames are the upstream's whole answer.
    Done,
    /// Provably without effect.
    NotRun {
        /// Why.
        reason: Name,
        /// When to come back, in milliseconds.
        retry_ms: u32,
    },
    /// May have run.
    Unknown {
        /// Why it can't be told.
        reason: Name,
    },
    /// Refused by its key.
    Key {
        /// Why.
        reason: Name,
    },
}

/// Who answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Served {
    /// Nobody.
    #[default]
    None,
    /// The primary.
    Primary,
    /// A replica.
    Replica,
}

/// The answer to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The request's id.
    pub id: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// What the session has seen.
    pub mark: Mark,
    /// The transaction state after it.
    pub txn: TxnState,
    /// Who answered.
    pub served: Served,
    /// The messages for the caller, up to and with ready-for-query.
    pub frames: Vec<u8>,
}

/// A message on a peer link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMsg {
    /// The first message: who connects.
    Hello {
        /// The sender.
        from: Name,
    },
    /// A batch to run.
    Request(Request),
    /// Its answer.
    Reply(Reply),
    /// The session is gone; its transaction, if any, is rolled back.
    Close {
        /// The session.
        stream: u64,
    },
    /// Tells a sender whose requests still run that the link and the receiver are well.
    Beat,
    /// Stop what the session runs now.
    Cancel {
        /// The session.
        stream: u64,
    },
    /// A caller's cancel request that belongs to another instance.
    CancelFor {
        /// The process id given to the caller.
        pid: i32,
        /// The secret given to the caller.
        secret: i32,
    },
    /// Asks whether the receiver hears a primary of a group; it asks the primary anew.
    Heard {
        /// Matches the answer.
        id: u64,
        /// The group.
        group: Name,
    },
    /// Answers [`PeerMsg::Heard`].
    HeardReply {
        /// The id of the question.
        id: u64,
        /// The term of the primary that answered just now; none when none did.
        term: Option<Term>,
        /// Whether commits wait at the receiver for replicas that don't advance.
        stalled: bool,
    },
    /// Asks a home to queue new work for the primary.
    Hold {
        /// Matches the answer.
        id: u64,
        /// The group.
        group: Name,
        /// How long at most, in milliseconds.
        ms: u32,
    },
    /// Answers [`PeerMsg::Hold`] when no transaction is open, or the time is up.
    Held {
        /// The id of the question.
        id: u64,
        /// Transactions still open.
        open: u32,
    },
    /// Ends a hold.
    Release {
        /// The group.
        group: Name,
    },
    /// An operator's question, passed on.
    Ask {
        /// Matches the answer.
        id: u64,
        /// The question.
        question: Question,
    },
    /// Answers [`PeerMsg::Ask`] with JSON.
    Told {
        /// The id of the question.
        id: u64,
        /// The answer.
        json: String,
    },
    /// Asks a home for a part of the terms that it has taken ahead.
    Terms {
        /// Matches the answer.
        id: u64,
        /// The group.
        group: Name,
        /// The highest term known to the sender: only higher ones are of use.
        known: Term,
    },
    /// Answers [`PeerMsg::Terms`].
    TermsReply {
        /// The id of the question.
        id: u64,
        /// The first term and the one after the last, now the sender's alone; none when there is none to spare.
        block: Option<(Term, Term)>,
    },
}

/// What an instance asks another for an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Question {
    /// Its [`crate::status::InstanceStatus`].
    Status,
    /// Its recorded decisions about a subject, or all.
    Explain {
        /// The subject.
        subject: Option<Name>,
    },
}

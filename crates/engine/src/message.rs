//! Messages between instances.
//!
//! An instance that can't reach a server, or has no share of its connections, forwards statements to another
//! instance that runs them. A message on a link is a length prefix and the `postcard` encoding of a [`Message`].
//! Responses are matched to requests by id.

use {
    crate::{
        instance::Micros,
        model::{Answer, Order, Server, Status},
        organisation::Owner,
        ports::Collection,
        session::Prepared,
    },
    bytes::{Bytes, BytesMut},
    pondtrack_core::{
        capacity::Capacity,
        quota::{Demand, Grant, OfferReply, SlotSet, Timestamp},
        scheduler::Rank,
    },
    pondtrack_proto::{Incarnation, LogPosition, Name, Revision},
    serde::{Deserialize, Serialize},
    std::net::SocketAddrV4,
};

/// Message between two instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Request.
    #[serde(rename = "Ask")]
    Request {
        /// Request id, repeated in the response.
        id: u64,
        /// Content of the request.
        #[serde(rename = "ask")]
        request: Request,
    },
    /// Response to a request.
    #[serde(rename = "Told")]
    Response {
        /// Id of the request.
        id: u64,
        /// Content of the response.
        #[serde(rename = "told")]
        response: Response,
    },
    /// The owner abandoned a transaction; it is rolled back.
    Drop {
        /// Stream of the transaction.
        stream: u64,
    },
    /// A permit is no longer needed.
    #[serde(rename = "EndTurn")]
    ReleasePermit {
        /// Id of the permit.
        #[serde(rename = "turn")]
        permit: u64,
    },
    /// A server is overloaded, and the sender issues the permits of the server for all instances.
    #[serde(rename = "Crowded")]
    Overloaded {
        /// Id of the server.
        server: Name,
    },
    /// Versions known to an instance that watches the store.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Cancels a request whose caller no longer waits: the request need not be started.
    Cancel {
        /// Id of the request.
        id: u64,
    },
    /// Liveness probe of a link.
    Ping,
    /// Answer to a liveness probe.
    Pong,
}

/// Periodic announcement of the versions known to an instance that watches the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the sender.
    pub from: Name,
    /// Version of the configuration.
    pub version: u64,
    /// Store revision of the configuration.
    #[serde(rename = "desired")]
    pub config: Revision,
    /// Store revision of the server directory.
    pub directory: Revision,
    /// Digest of the set of live instances, as known to the sender.
    pub members: u64,
    /// Set if the sender's last calls of the store succeeded.
    pub watching: bool,
}

/// Instance, as described to other instances.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub name: Name,
    /// Availability zone of the instance.
    pub zone: Name,
    /// Address on which the instance accepts links.
    pub addr: SocketAddrV4,
    /// Capacity of the instance, if stated.
    pub capacity: Option<Capacity>,
}

/// Request to another instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Runs a statement on a server.
    Run(Box<RunRequest>),
    /// Requests a permit for a server that the sender reaches itself.
    #[serde(rename = "Turn")]
    Permit(PermitRequest),
    /// Requests the next chunk of an update of a collection.
    Fetch(FetchRequest),
    /// Lends the sender's shares of quotas, or takes them back.
    Lend(QuotaLoan),
    /// Requests operations within the quotas of organisations.
    Claim(Vec<Claim>),
    /// Requests the status of a group.
    State {
        /// Name of the group.
        group: Name,
        /// Servers to query first if their last status is too old and the receiver reaches them.
        wanted: Vec<StatusQuery>,
    },
    /// Sends an order that a server answers with its status.
    Order {
        /// Target server.
        server: ServerProcess,
        /// Order for the server.
        order: Order,
    },
}

/// Shares of quotas that an instance lends to exactly one other instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaLoan {
    /// Name of the lender.
    pub from: Name,
    /// Sequence number, which increases with each message.
    pub seq: u64,
    /// Slots whose shares are lent.
    pub slots: SlotSet,
    /// Share of each quota.
    pub share: f64,
    /// Last timestamp received from the borrower, from which the duration of the loan counts.
    pub since: Option<Timestamp>,
    /// Duration of the loan, in microseconds.
    #[serde(rename = "term")]
    pub duration: u64,
}

/// Waiting operations of an organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Name of the organisation.
    pub organisation: Name,
    /// Number and urgency of the operations.
    pub demand: Demand,
}

/// Query for the status of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusQuery {
    /// Server to query.
    pub server: ServerProcess,
    /// Maximum age of the status at the time of this message, in microseconds.
    #[serde(rename = "age")]
    pub max_age: Micros,
}

/// Status of a server, as last reported to an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// Server that reported the status.
    pub server: ServerProcess,
    /// Reported status.
    pub status: Status,
    /// Time from the query to the server until the arrival of the request for this report, in microseconds; 0 if
    /// the server was queried after that.
    pub age: Micros,
}

/// Server process, identified by the server's id and the incarnation known to the sender. Without the incarnation,
/// the status of a restarted process would be attributed to the wrong one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerProcess {
    /// Id of the server.
    pub id: Name,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

impl From<&Server> for ServerProcess {
    fn from(server: &Server) -> ServerProcess {
        ServerProcess { id: server.id.clone(), incarnation: server.incarnation }
    }
}

/// Request for a permit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Id of the server.
    pub server: Name,
    /// Scheduling rank of the statement. Its deadline is relative to the arrival of the message, as clocks of
    /// instances are not comparable.
    pub rank: Rank,
    /// Duration above which the statement counts as slow, in microseconds.
    pub slow: Micros,
    /// Maximum waiting time, in milliseconds.
    pub wait_ms: u32,
}

/// Request for an update of a collection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// Collection to fetch.
    #[serde(rename = "what")]
    pub collection: Collection,
    /// Name of the requesting instance.
    pub from: Name,
    /// Version known to the requesting instance; 0 requests the whole collection.
    pub since: u64,
    /// Version of the update in transfer and number of bytes received; none for the first chunk.
    pub next: Option<(u64, u32)>,
}

/// Chunk of an encoded [`Update`](crate::update::Update).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Target version of the update.
    #[serde(rename = "at")]
    pub version: u64,
    /// Total size of the update, in bytes.
    pub total: u32,
    /// Offset of the chunk, in bytes.
    pub offset: u32,
    /// Content of the chunk.
    pub bytes: Bytes,
}

/// Statement to run on behalf of another instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunRequest {
    /// Id that distinguishes the transactions on a link.
    pub stream: u64,
    /// Set if the transaction of the stream is already open.
    pub pinned: bool,
    /// Server that runs the statement.
    pub server: ServerProcess,
    /// Scheduling rank of the statement. Its deadline is relative to the arrival of the message, as clocks of
    /// instances are not comparable.
    pub rank: Option<Rank>,
    /// Duration above which the statement counts as slow, in microseconds.
    pub slow: Micros,
    /// Maximum time to wait for a connection, in milliseconds.
    pub wait_ms: u32,
    /// Time left until the deadline of the statement, in milliseconds.
    pub left_ms: u32,
    /// Owner of the statement.
    pub owner: Owner,
    /// Session values that the statement requires.
    pub values: Vec<(Name, Name)>,
    /// Named statement to execute.
    pub named: Option<Prepared>,
    /// Command to send.
    #[serde(rename = "what")]
    pub command: Command,
}

/// Command for a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Statement of a caller.
    Statement {
        /// Id of the statement.
        id: Bytes,
        /// Text of the statement; only the arguments if it executes a named statement.
        text: Bytes,
        /// Log position that the server must have reached.
        after: Option<LogPosition>,
    },
    /// Order of pondtrack itself.
    Order {
        /// Order for the server.
        order: Order,
        /// Log position that the server must have reached.
        after: Option<LogPosition>,
    },
}

/// Response to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// Answer of the server.
    Answer {
        /// Answer to the statement.
        answer: Answer,
        /// Set if statements are queued at the server.
        queued: bool,
    },
    /// Permit to run the statement.
    #[serde(rename = "Turn")]
    Permit {
        /// Id of the permit.
        #[serde(rename = "turn")]
        permit: u64,
        /// Set while other statements have to wait.
        #[serde(rename = "crowded")]
        overloaded: bool,
    },
    /// Nothing was sent: the server is too overloaded to answer before the deadline.
    Refused,
    /// Nothing was sent to the server, for the given reason.
    NotSent(String),
    /// Nothing was sent: no connection was free.
    Busy,
    /// The command was sent and its outcome is unknown, for the given reason.
    Broken(String),
    /// Status of the server, if the server answered.
    Status(Option<Status>),
    /// Last known status of each server of a group.
    State(Vec<StatusReport>),
    /// Nothing was sent: nothing listens on the server's address.
    Gone,
    /// The command was sent, and not answered in time.
    Late,
    /// Chunk of an update.
    #[serde(rename = "Part")]
    Chunk(Chunk),
    /// The loan is in use at the receiver.
    Lent {
        /// Borrowed slots, or a notice that the message was ignored.
        answer: OfferReply,
        /// Current time of the borrower.
        stamp: Timestamp,
        /// Set if the borrower is leaving, so that other instances should be asked.
        leaving: bool,
        /// Number of instances that share the quotas, as counted by the borrower.
        count: u32,
        /// Version of the borrower's configuration, and the time since it was confirmed as the newest, in
        /// milliseconds.
        confirmed: Option<(u64, u32)>,
    },
    /// Result of each claim.
    Granted(Vec<Grant>),
    /// All upload slots are taken. The named instance has the update; none if no such instance is known.
    Elsewhere(Option<Name>),
}

impl Request {
    /// Returns true if the request may wait for a permit or a connection, and may be cancelled while it waits.
    pub fn is_cancellable(&self) -> bool {
        match self {
            Request::Run(_) | Request::Permit(_) => true,
            Request::Fetch(_)
            | Request::Lend(_)
            | Request::Claim(_)
            | Request::State { .. }
            | Request::Order { .. } => false,
        }
    }
}

impl Response {
    /// Returns true if a server may have received the command.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Response::NotSent(_) | Response::Busy | Response::Refused | Response::Gone)
    }
}

impl Message {
    /// Appends the message with its length prefix.
    pub fn encode(&self, out: &mut BytesMut) {
        let bytes = postcard::to_stdvec(self).expect("messages are plain data, which always encodes");
        out.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
        out.extend_from_slice(&bytes);
    }

    /// Decodes a message without its length prefix. Returns none for invalid bytes, which closes the link.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        match postcard::from_bytes(bytes) {
            Ok(message) => Some(message),
            Err(e) => {
                log::warn!(step = "link"; "not a message: {e}");
                None
            }
        }
    }
}

//! Messages between instances.
//!
//! An instance that can't reach a server itself, or has no share of its connections, has another one run
//! its statements there. A link carries a length and the message in `postcard`; answers are matched to
//! questions by an id.

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

/// A message between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Something is wanted.
    #[serde(rename = "Ask")]
    Request {
        /// Matches the answer to it.
        id: u64,
        /// What is wanted.
        #[serde(rename = "ask")]
        request: Request,
    },
    /// The answer.
    #[serde(rename = "Told")]
    Response {
        /// The question's id.
        id: u64,
        /// The answer.
        #[serde(rename = "told")]
        response: Response,
    },
    /// A transaction was given up by its owner.
    Drop {
        /// The stream that it ran on.
        stream: u64,
    },
    /// A turn at a server isn't needed any longer.
    #[serde(rename = "EndTurn")]
    ReleasePermit {
        /// The turn.
        #[serde(rename = "turn")]
        permit: u64,
    },
    /// Turns at a server come from the instance that says so, for all.
    #[serde(rename = "Crowded")]
    Overloaded {
        /// The server.
        server: Name,
    },
    /// What an instance that watches the store knows.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Nobody waits for the answer to a question any longer: what it asked for needn't begin.
    Cancel {
        /// The question's id.
        id: u64,
    },
    /// Is anybody there?
    Ping,
    /// The answer to a ping.
    Pong,
}

/// What an instance that watches the store knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The instance.
    pub from: Name,
    /// The configuration's version.
    pub version: u64,
    /// The store's revision of the configuration.
    pub desired: Revision,
    /// The store's revision of the directory of servers.
    pub directory: Revision,
    /// Tells apart which instances are up, as it knows them.
    pub members: u64,
    /// Whether its calls of the store have results.
    pub watching: bool,
}

/// An instance, as others are told of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where it answers.
    pub addr: SocketAddrV4,
    /// What it can carry, where it states that.
    pub capacity: Option<Capacity>,
}

/// What an instance wants of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// To run a statement at a server.
    Run(Box<RunRequest>),
    /// A turn at a server that this instance reaches itself.
    #[serde(rename = "Turn")]
    Permit(PermitRequest),
    /// To hand out what it knows of a collection.
    Fetch(FetchRequest),
    /// To use the asking one's shares of limits, or to give them back.
    Lend(QuotaLoan),
    /// Operations within the limits of organisations.
    Claim(Vec<Claim>),
    /// To tell what it knows of a group.
    State {
        /// The group.
        group: Name,
        /// Servers whose accounts are to be renewed first where they are older, if the other one reaches them.
        wanted: Vec<StatusQuery>,
    },
    /// To give a server an order that it answers with its account of itself.
    Order {
        /// The server.
        server: ServerProcess,
        /// The order.
        order: Order,
    },
}

/// Shares of limits that an instance lends to another, and to no one else.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaLoan {
    /// Who lends them.
    pub from: Name,
    /// Rises with each message.
    pub seq: u64,
    /// The slots whose shares are lent.
    pub slots: SlotSet,
    /// The share of each limit.
    pub share: f64,
    /// The moment that the other one told last, from which the term counts.
    pub since: Option<Timestamp>,
    /// The term, in microseconds.
    pub term: u64,
}

/// Operations of an organisation that wait to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The organisation.
    pub organisation: Name,
    /// How many there are, and how urgent they are.
    pub demand: Demand,
}

/// A server whose account of itself is wanted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusQuery {
    /// The server.
    pub server: ServerProcess,
    /// How long before this message it may have been asked for it at most, in microseconds.
    pub age: Micros,
}

/// What an instance knows of a server's account of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The server.
    pub server: ServerProcess,
    /// Its account.
    pub status: Status,
    /// How long before the question for this came the server was asked, in microseconds; 0 if it was later.
    pub age: Micros,
}

/// A server in the run of its process that the sender knows: what another run shows would be counted for the wrong one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerProcess {
    /// The server's id.
    pub id: Name,
    /// The run.
    pub incarnation: Incarnation,
}

impl From<&Server> for ServerProcess {
    fn from(it: &Server) -> ServerProcess {
        ServerProcess { id: it.id.clone(), incarnation: it.incarnation }
    }
}

/// A wish for a turn at a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The server.
    pub server: Name,
    /// The statement's rank; its aim counts from now, as clocks are not compared.
    pub rank: Rank,
    /// A statement that takes longer is slow, in microseconds.
    pub slow: Micros,
    /// How long it may wait, in milliseconds.
    pub wait_ms: u32,
}

/// A wish for what another instance knows of a collection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchRequest {
    /// The collection.
    pub what: Collection,
    /// Who wants it.
    pub from: Name,
    /// The version that is known there; 0 if none is, or the whole is wanted.
    pub since: u64,
    /// The version that is being handed out and the bytes that are there of it; none at the beginning.
    pub next: Option<(u64, u32)>,
}

/// A part of an encoded [`Update`](crate::update::Update).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The version that the document leads to.
    pub at: u64,
    /// Bytes of the whole document.
    pub total: u32,
    /// Bytes before this part.
    pub offset: u32,
    /// The part.
    pub bytes: Bytes,
}

/// A statement that another instance runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunRequest {
    /// Tells the transactions of a link apart.
    pub stream: u64,
    /// Whether the stream's transaction is open already.
    pub pinned: bool,
    /// The server.
    pub server: ServerProcess,
    /// Its rank among those that wait; its aim counts from now, as clocks are not compared.
    pub rank: Option<Rank>,
    /// A statement that takes longer is slow, in microseconds.
    pub slow: Micros,
    /// How long it may wait for a connection, in milliseconds.
    pub wait_ms: u32,
    /// How long it may take in all, in milliseconds.
    pub left_ms: u32,
    /// Whose statement it is.
    pub owner: Owner,
    /// The session values that it needs.
    pub values: Vec<(Name, Name)>,
    /// The named statement that it runs.
    pub named: Option<Prepared>,
    /// What is sent.
    pub what: Command,
}

/// What is sent to a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A caller's statement.
    Statement {
        /// Its id.
        id: Bytes,
        /// Its text; the arguments alone if it runs a named statement.
        text: Bytes,
        /// The position that the server's log has to hold.
        after: Option<LogPosition>,
    },
    /// An order of pondtrack's own.
    Order {
        /// The order.
        order: Order,
        /// The position that the server's log has to hold.
        after: Option<LogPosition>,
    },
}

/// What an instance answers another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// The server's answer.
    Answer {
        /// The answer.
        answer: Answer,
        /// Whether the server has a queue.
        queued: bool,
    },
    /// The statement may run.
    #[serde(rename = "Turn")]
    Permit {
        /// Tells turns apart.
        #[serde(rename = "turn")]
        permit: u64,
        /// Whether others have to wait.
        #[serde(rename = "crowded")]
        overloaded: bool,
    },
    /// Nothing was sent: the server has too much to do to answer in time.
    Refused,
    /// Nothing was sent to the server.
    NotSent(String),
    /// Nothing was sent: no connection was free.
    Busy,
    /// It was sent, and what became of it is not known.
    Broken(String),
    /// The server's account of itself, if it gave one.
    Status(Option<Status>),
    /// What is known of a group: the latest account of each of its servers.
    State(Vec<StatusReport>),
    /// Nothing was sent: nobody listens at the server's address.
    Gone,
    /// It was sent, and not answered in time.
    Late,
    /// A part of a document.
    #[serde(rename = "Part")]
    Chunk(Chunk),
    /// The other one's shares are used here, and the present moment.
    Lent {
        /// The slots, and whether the message was ignored.
        answer: OfferReply,
        /// The moment.
        stamp: Timestamp,
        /// Whether the instance leaves, so that others should be asked.
        leaving: bool,
        /// How many instances share the limits, as that one has counted them.
        count: u32,
        /// The version of the configuration there, and how long ago that is known to have been the newest, in
        /// milliseconds.
        confirmed: Option<(u64, u32)>,
    },
    /// What becomes of each claim.
    Granted(Vec<Grant>),
    /// Others are handed a document at present. The instance that is named has it, or none is known that has.
    Elsewhere(Option<Name>),
}

impl Request {
    /// Whether it may wait for a turn or a connection, and be cancelled meanwhile.
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
    /// Whether a server may have what was asked to be run.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Response::NotSent(_) | Response::Busy | Response::Refused | Response::Gone)
    }
}

impl Message {
    /// Appends it with its length.
    pub fn encode(&self, out: &mut BytesMut) {
        let bytes = postcard::to_stdvec(self).expect("messages are plain data, which always encodes");
        out.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
        out.extend_from_slice(&bytes);
    }

    /// Decodes a message without its length; none for bytes that are none, which ends the link.
    pub fn decode(bytes: &[u8]) -> Option<Message> {
        match postcard::from_bytes(bytes) {
            Ok(it) => Some(it),
            Err(e) => {
                log::warn!(step = "link"; "not a message: {e}");
                None
            }
        }
    }
}

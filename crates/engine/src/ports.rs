//! Ports of the engine: the wire protocol towards callers and servers, the store, and the promotion of servers.
//!
//! These are the only traits of the engine. An implementation only translates: it contains no timers, retries or
//! decisions.

use {
    crate::{
        model::{Answer, CallerMessage, Config, Order, Server, Status},
        organisation::Owner,
    },
    bytes::{Bytes, BytesMut},
    futures::future::LocalBoxFuture,
    pondtrack_proto::{LogPosition, Name, Revision},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{net::SocketAddrV4, time::Duration},
    strum::{Display, IntoStaticStr},
};

pub use pondtrack_core::{capacity::Capacity, leader::LeaderRecord, lease::LeaseRecord};

/// Error for bytes that are not a message of the wire protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("not a message of this protocol: {reason}"))]
pub struct WireError {
    /// Description of the error.
    pub reason: &'static str,
}

/// Statement to forward to a server.
#[derive(Clone, Copy, Debug)]
pub struct Forward<'a> {
    /// Caller's id for the statement.
    pub id: &'a Bytes,
    /// Text to run.
    pub text: Text<'a>,
    /// Log position that the server must have reached; otherwise the statement does not run.
    pub after: Option<LogPosition>,
}

/// Text of a statement to forward.
#[derive(Clone, Copy, Debug)]
pub enum Text<'a> {
    /// Text as sent by the caller.
    Plain(&'a Bytes),
    /// Execution of a named statement.
    Execute {
        /// Name of the statement on the server's connection.
        name: &'a str,
        /// Arguments of the caller.
        args: &'a Bytes,
    },
}

/// Wire protocol between callers, pondtrack and servers.
pub trait WireProtocol {
    /// Removes the next complete message of a caller from `buf`; an error ends the session.
    fn decode_caller(&self, buf: &mut BytesMut) -> Result<Option<CallerMessage>, WireError>;

    /// Appends an answer to a caller.
    fn encode_answer(&self, answer: &Answer, out: &mut BytesMut);

    /// Appends the answer to a caller's [`CallerMessage::Open`] when the session is accepted.
    fn encode_welcome(&self, out: &mut BytesMut);

    /// Appends the refusal of a session.
    fn encode_refusal(&self, answer: &Answer, out: &mut BytesMut);

    /// Appends the open message for a connection that carries the statements of an owner. The server must have the
    /// given id.
    fn encode_open(&self, group: &str, id: &str, owner: &Owner, out: &mut BytesMut);

    /// Appends a caller's statement for a server.
    fn encode_statement(&self, statement: Forward<'_>, out: &mut BytesMut);

    /// Appends an order of pondtrack itself for a server.
    fn encode_order(&self, order: &Order, after: Option<LogPosition>, out: &mut BytesMut);

    /// Removes the complete answer to an open message from `buf`.
    fn decode_open(&self, buf: &mut BytesMut) -> Result<Option<Answer>, WireError>;

    /// Removes the next complete answer to a statement or an order from `buf`.
    fn decode_answer(&self, buf: &mut BytesMut) -> Result<Option<Answer>, WireError>;

    /// Decodes the answer to [`Order::Status`], and to the orders that are answered with a status.
    fn decode_status(&self, answer: &Answer) -> Option<Status>;
}

/// Collections in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Collection {
    /// Configuration.
    #[serde(rename = "Desired")]
    #[strum(serialize = "desired")]
    Config,
    /// Directory of servers.
    Servers,
    /// Live instances of pondtrack.
    Instances,
    /// Lease for giving orders.
    Leases,
    /// Last known leader of each group, by the group's name.
    Leaders,
}

/// Entry of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Heartbeat counter.
    pub beat: u64,
    /// Availability zone of the instance.
    pub zone: Name,
    /// Address on which the instance accepts links.
    pub addr: SocketAddrV4,
    /// Capacity of the instance, if stated.
    #[serde(default)]
    pub capacity: Option<Capacity>,
}

/// Content of an object in the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// Configuration.
    Config(Config),
    /// Server.
    Server(Server),
    /// Instance.
    Instance(InstanceRecord),
    /// Lease.
    Lease(LeaseRecord),
    /// Last known leader of a group.
    Leader(LeaderRecord),
    /// Undecodable object, with the reason.
    Unreadable(String),
}

/// Object in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Name of the object.
    pub name: Name,
    /// Store revision of the last change of the object.
    pub revision: Revision,
    /// Content of the object; none if the object was deleted.
    pub record: Option<Record>,
}

/// All objects of a collection, or its changed objects, as of a revision of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Objects {
    /// Objects.
    pub items: Vec<Object>,
    /// Revision of the store.
    pub as_of: Revision,
}

/// Reasons why a call of the store has no result.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(module)]
pub enum StoreError {
    /// The call was refused, provably without effect.
    #[snafu(display("the store refused the call: {reason}"))]
    Refused {
        /// Reason for the refusal.
        reason: String,
    },
    /// The object is not at the expected revision.
    #[snafu(display("the object has another revision"))]
    Conflict {
        /// Current state of the object, if the store reported it.
        current: Option<Box<Object>>,
    },
    /// The object does not exist.
    #[snafu(display("no such object"))]
    Missing,
    /// The changes since the revision have been compacted.
    #[snafu(display("the history is compacted"))]
    Compacted,
    /// No answer: the call may have taken effect, or may still do so.
    #[snafu(display("no answer of the store at {step}: {reason}"))]
    Unanswered {
        /// Failed step of the call.
        step: &'static str,
        /// Description of the failure.
        reason: String,
    },
}

/// Future of a call's result.
pub type CallFuture<T, E> = LocalBoxFuture<'static, Result<T, E>>;

/// Store of the platform. Each call is one request; nothing is retried.
pub trait Store {
    /// Returns the highest era in any answer of the store so far, including refusals; none before the first
    /// answer.
    fn era(&self) -> Option<u64>;

    /// Lists a collection. With `stale`, the answer may be seconds old, at a lower cost.
    fn list(&self, collection: Collection, stale: bool) -> CallFuture<Objects, StoreError>;

    /// Waits for changes since a revision, for `wait` at most.
    fn watch(
        &self,
        collection: Collection,
        since: Revision,
        wait: Duration,
    ) -> CallFuture<Objects, StoreError>;

    /// Writes an object and returns its new revision. The object is replaced if it is at `revision`, and created
    /// if `revision` is none.
    fn put(
        &self,
        collection: Collection,
        name: Name,
        record: Record,
        revision: Option<Revision>,
    ) -> CallFuture<Revision, StoreError>;

    /// Deletes an object.
    fn remove(&self, collection: Collection, name: Name) -> CallFuture<(), StoreError>;
}

/// Reasons why a promotion has no success.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum PromoteError {
    /// The server is not running.
    #[snafu(display("the server to promote isn't running"))]
    NotRunning,
    /// The order was refused, provably without effect.
    #[snafu(display("the order was refused: {reason}"))]
    Refused {
        /// Reason for the refusal.
        reason: String,
    },
    /// No answer: the order may have been carried out.
    #[snafu(display("no answer to the order: {reason}"))]
    Unanswered {
        /// Description of the failure.
        reason: String,
    },
}

/// Promotion of servers by the platform.
pub trait Promoter {
    /// Orders a promotion in the name of a lease holder with its fencing token.
    fn promote(&self, group: Name, server: Name, holder: Name, token: u64) -> CallFuture<(), PromoteError>;
}

/// Adapters that implement the ports of the engine.
pub struct Adapters {
    /// Wire protocol.
    pub protocol: Box<dyn WireProtocol>,
    /// Store of the platform.
    pub store: Box<dyn Store>,
    /// Promotion of servers.
    pub promoter: Box<dyn Promoter>,
}

//! What an edge brings: the wire to callers and servers, the store, the order to promote.
//!
//! These are the only traits of the engine. An implementation translates; it holds no timer, retry or
//! choice.

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

/// Bytes that are not a message of the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("not a message of this protocol: {reason}"))]
pub struct WireError {
    /// What is wrong with them.
    pub reason: &'static str,
}

/// A statement towards a server.
#[derive(Clone, Copy, Debug)]
pub struct Forward<'a> {
    /// The caller's id for it.
    pub id: &'a Bytes,
    /// What is run.
    pub text: Text<'a>,
    /// The position that the server's log has to hold, or the statement doesn't run.
    pub after: Option<LogPosition>,
}

/// The text of a statement towards a server.
#[derive(Clone, Copy, Debug)]
pub enum Text<'a> {
    /// As the caller sent it.
    Plain(&'a Bytes),
    /// A named statement, under its name on the server's connection.
    Execute {
        /// The name.
        name: &'a str,
        /// The caller's arguments.
        args: &'a Bytes,
    },
}

/// The wire that callers and servers speak.
pub trait WireProtocol {
    /// Takes the next whole message of a caller out of `buf`; an error ends the session.
    fn decode_caller(&self, buf: &mut BytesMut) -> Result<Option<CallerMessage>, WireError>;

    /// Appends an answer to a caller.
    fn encode_answer(&self, answer: &Answer, out: &mut BytesMut);

    /// Appends the answer to a session that was opened.
    fn encode_welcome(&self, out: &mut BytesMut);

    /// Appends the refusal of a session.
    fn encode_refusal(&self, answer: &Answer, out: &mut BytesMut);

    /// Appends the opening of a connection, for an owner's statements, to a server that must have this id.
    fn encode_open(&self, group: &str, id: &str, owner: &Owner, out: &mut BytesMut);

    /// Appends a caller's statement towards a server.
    fn encode_statement(&self, it: Forward<'_>, out: &mut BytesMut);

    /// Appends an order of pondtrack's own towards a server.
    fn encode_order(&self, order: &Order, after: Option<LogPosition>, out: &mut BytesMut);

    /// Takes the whole answer to an opening out of `buf`.
    fn decode_open(&self, buf: &mut BytesMut) -> Result<Option<Answer>, WireError>;

    /// Takes the next whole answer to a statement or an order out of `buf`.
    fn decode_answer(&self, buf: &mut BytesMut) -> Result<Option<Answer>, WireError>;

    /// Reads the answer to [`Order::Status`], and to the orders that are answered like it.
    fn decode_status(&self, answer: &Answer) -> Option<Status>;
}

/// Collections in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Collection {
    /// The configuration.
    #[serde(rename = "Desired")]
    #[strum(serialize = "desired")]
    Config,
    /// The directory of servers.
    Servers,
    /// Instances of pondtrack that are up.
    Instances,
    /// The right to give orders.
    Leases,
    /// Who led each group, by the group's name.
    Leaders,
}

/// An instance's own entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Counts up at each heartbeat.
    pub beat: u64,
    /// Its availability zone.
    pub zone: Name,
    /// Where it answers other instances.
    pub addr: SocketAddrV4,
    /// What it can carry, where it states that.
    #[serde(default)]
    pub capacity: Option<Capacity>,
}

/// What an object in the store holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The configuration.
    Config(Config),
    /// A server.
    Server(Server),
    /// An instance.
    Instance(InstanceRecord),
    /// A lease.
    Lease(LeaseRecord),
    /// Who led a group.
    Leader(LeaderRecord),
    /// An object that can't be read, with the reason.
    Unreadable(String),
}

/// An object in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
    /// Its name.
    pub name: Name,
    /// The store's revision of its last change.
    pub revision: Revision,
    /// What it holds; none when it was deleted.
    pub record: Option<Record>,
}

/// Objects, complete or changed, as of a revision of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Objects {
    /// The objects.
    pub items: Vec<Object>,
    /// The store's revision.
    pub as_of: Revision,
}

/// Why a call of the store has no result.
#[derive(Clone, Debug, PartialEq, Snafu)]
#[snafu(module)]
pub enum StoreError {
    /// It provably did nothing.
    #[snafu(display("the store refused the call: {reason}"))]
    Refused {
        /// Why.
        reason: String,
    },
    /// The object isn't at the revision that the call named.
    #[snafu(display("the object has another revision"))]
    Conflict {
        /// The object as it is, if the answer told.
        current: Option<Box<Object>>,
    },
    /// There is no such object.
    #[snafu(display("no such object"))]
    Missing,
    /// The changes since the revision are no longer kept.
    #[snafu(display("the history is gone"))]
    Compacted,
    /// There is no answer; the call may have been carried out, or may be yet.
    #[snafu(display("no answer of the store at {step}: {reason}"))]
    Unanswered {
        /// What was being done.
        step: &'static str,
        /// Why.
        reason: String,
    },
}

/// The outcome of a call.
pub type CallFuture<T, E> = LocalBoxFuture<'static, Result<T, E>>;

/// The platform's store. Each call is one request; nothing is repeated.
pub trait Store {
    /// The latest era of the store that any answer has told so far, also one that refused a call; none before the first.
    fn era(&self) -> Option<u64>;

    /// Reads a collection; `stale` allows an answer that is seconds old, at a lower price.
    fn list(&self, what: Collection, stale: bool) -> CallFuture<Objects, StoreError>;

    /// Waits for changes since a revision.
    fn watch(&self, what: Collection, since: Revision, wait: Duration) -> CallFuture<Objects, StoreError>;

    /// Writes an object: replaces it at this revision, or creates it with none. Hands back its revision.
    fn put(
        &self,
        what: Collection,
        name: Name,
        record: Record,
        revision: Option<Revision>,
    ) -> CallFuture<Revision, StoreError>;

    /// Removes an object.
    fn remove(&self, what: Collection, name: Name) -> CallFuture<(), StoreError>;
}

/// Why an order to promote has no success.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(module)]
pub enum PromoteError {
    /// The server isn't running.
    #[snafu(display("the server to promote isn't running"))]
    NotRunning,
    /// It provably did nothing.
    #[snafu(display("the order was refused: {reason}"))]
    Refused {
        /// Why.
        reason: String,
    },
    /// There is no answer; it may have been carried out.
    #[snafu(display("no answer to the order: {reason}"))]
    Unanswered {
        /// Why.
        reason: String,
    },
}

/// The platform's order that makes a server the primary.
pub trait Promoter {
    /// Gives the order, in the name of a holder with its fencing token.
    fn promote(&self, group: Name, server: Name, holder: Name, token: u64) -> CallFuture<(), PromoteError>;
}

/// Everything that an edge brings.
pub struct Adapters {
    /// The wire.
    pub protocol: Box<dyn WireProtocol>,
    /// The store.
    pub store: Box<dyn Store>,
    /// The order to promote.
    pub promoter: Box<dyn Promoter>,
}

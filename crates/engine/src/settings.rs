//! Timeouts, limits and weights of the engine, each with where its figure comes from.

use {
    pondtrack_core::capacity::Capacity,
    pondtrack_proto::Name,
    std::{net::SocketAddrV4, time::Duration},
};

/// What an instance is told about itself.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name; a new process on the same machine has the same one.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where other instances connect.
    pub peer_addr: SocketAddrV4,
    /// Whether there was no instance before this one and those that start with it.
    pub first_start: bool,
    /// What it can carry, where that is stated.
    pub capacity: Option<Capacity>,
}

/// Times that the platform promises and expects; they may change while an instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// From the signal to end until the process is killed.
    pub grace: Duration,
    /// How long a leaving server serves after it said so.
    pub drain: Duration,
    /// In which a changed configuration has to be in force.
    pub apply: Duration,
    /// An instance that doesn't know that its configuration is, or was this long ago, the newest one refuses whoever
    /// shows a key: it may have been taken away. None where the configuration in force goes on being good.
    pub revoke: Option<Duration>,
    /// Operations that an organisation may run above its quota, in the span over which that is judged.
    pub quota_margin: u32,
}

/// Time for a connection to a server to open. A server takes 12 ms, a crossing of zones under 3 ms; the
/// rest is for a server whose slots are all taken.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time for a question or an order to a server. Long statements take up to 300 ms and go before it.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Time that a question waits for a connection; statements end sooner than that.
pub const STATUS_CONN_TIMEOUT: Duration = Duration::from_millis(300);
/// After a server refused a connection for its limit, no further one is opened for this long.
pub const CONN_LIMIT_BACKOFF: Duration = Duration::from_millis(1_000);
/// After a server couldn't be reached, it gets no statements for this long.
pub const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(300);
/// The part of a server's connections that the instances count on, in tenths. A server keeps connections
/// of instances that lost power for three seconds; the rest lets these come back at once.
pub const SHARED_CONN_TENTHS: usize = 5;
/// The part that the instances open at most when callers wait, in tenths: each the same number, so that
/// none has all of them while others have none.
pub const MAX_CONN_TENTHS: usize = 9;
/// Connections above the share are closed when they are idle for this long.
pub const EXTRA_CONN_IDLE: Duration = Duration::from_millis(1_500);
/// Evidence of a group's state is renewed at the next read when it is older than this part of the age
/// that the route allows, in percent. A renewal takes a few milliseconds; the rest is for its repetition.
pub const EVIDENCE_REFRESH_PERCENT: u64 = 65;
/// Taken off the age that a route allows, for what happens between the choice and the read.
pub const STALENESS_MARGIN: Duration = Duration::from_millis(100);
/// Between two questions to a replica that has not received a commit yet; a crossing of zones.
pub const MIN_REPLICATION_POLL: Duration = Duration::from_millis(2);
/// The longest pause of this kind, for a replica that falls behind.
pub const MAX_REPLICATION_POLL: Duration = Duration::from_millis(32);
/// After this long without an answer from one replica, all are asked.
pub const STATUS_HEDGE_DELAY: Duration = Duration::from_millis(25);
/// After a statement has had no answer for this long, its server is asked whether it is there. Most
/// statements take under 100 ms.
pub const LIVENESS_CHECK_DELAY: Duration = Duration::from_millis(120);
/// A statement without an answer for this long, and for this many times the server's usual time, may wait on a
/// connection that fell silent: it no longer keeps others from their turns, and connections that were idle
/// when it was sent are closed. Ordinary statements are over long before.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// See [`STALL_TIMEOUT`].
pub const STALL_FACTOR: u32 = 10;
/// After a question has had no answer for this long, another instance is asked to put it too.
pub const RELAY_DELAY: Duration = Duration::from_millis(120);
/// Between two tries to reach a server again that others reach.
pub const RECONNECT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Another instance that couldn't reach a server isn't asked for it again for this long.
pub const RELAY_FAILED_BACKOFF: Duration = Duration::from_millis(1_000);
/// How much sooner than its own caller's time ends an instance wants the answer of another: a crossing of zones
/// both ways, and a look at the answer.
pub const RELAY_DEADLINE_MARGIN: Duration = Duration::from_millis(25);
/// Another instance that had too much to do isn't asked for a server again for this long.
pub const BUSY_PEER_BACKOFF: Duration = Duration::from_millis(60);
/// Instances without a share of a server's connections that stand in where none of its homes can be reached:
/// homes are all in the server's availability zone, and a cut may part that from the others.
pub const FALLBACK_INSTANCES: usize = 3;
/// Connections of each of these: with those that homes may keep open behind a cut, within the tenth that is
/// left over.
pub const FALLBACK_CONNS: usize = 2;
/// Most instances that are asked to put a question.
pub const MAX_RELAYS: usize = 4;
/// Between two rounds of questions for the primary while there is none.
pub const PRIMARY_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Pause before a statement that didn't run is tried again, first and longest.
pub const RETRY_BACKOFF_MS: (u64, u64) = (4, 60);
/// Most tries of one statement.
pub const MAX_ATTEMPTS: usize = 12;
/// The share of the objective after which a read without an answer is also sent to another server.
pub const HEDGE_FRACTION: f64 = 0.5;
/// A statement that takes longer at a server than this share of its route's objective is slow: the server
/// has a queue. Work alone takes about a tenth of an objective.
pub const SLOW_FRACTION: f64 = 0.25;
/// What a transaction counts among those that wait to begin, in statements: callers' have up to twelve.
pub const TXN_STATEMENTS: u64 = 4;
/// When to come back after a refusal, in milliseconds.
pub const RETRY_AFTER_MS: u64 = 100;
/// Time until the platform sends no new sessions: two misses of a question each second.
pub const UNREADY_DELAY: Duration = Duration::from_millis(2_300);
/// A read goes to a replica when it has had this many times its usual lag to catch up.
pub const LAG_FACTOR: f64 = 2.0;
/// A leaving server gets new work, where no other can do it, until this long before its time is over: the
/// store's word may have reached this instance late, and statements take a while.
pub const DRAIN_MARGIN: Duration = Duration::from_millis(2_500);
/// A server whose entry has been missing for this long is taken as gone. After an outage of the store, servers that
/// live are listed again within two seconds.
pub const SERVER_EXPIRY: Duration = Duration::from_millis(2_500);
/// How long a change of primary takes at most from its first order to stop a replica to its end: 400 ms for that order, 500 ms
/// for the record of who led, and three orders to promote with 500 ms for the answer and 1,500 ms until the server leads.
pub const MAX_FAILOVER_TIME: Duration = Duration::from_millis(6_900);
/// Named statements that a connection keeps before it is reset.
pub const MAX_PREPARED: usize = 256;
/// Named statements and values that a session may have.
pub const MAX_SESSION_NAMES: usize = 1_000;

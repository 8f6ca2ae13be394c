//! Timeouts, limits and weights of the engine, with the reasons for their values.

use {
    pondtrack_core::capacity::Capacity,
    pondtrack_proto::Name,
    std::{net::SocketAddrV4, time::Duration},
};

/// Settings of one instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance; a new process on the same machine has the same name.
    pub name: Name,
    /// Availability zone of the instance.
    pub zone: Name,
    /// Address on which the instance accepts links.
    pub peer_addr: SocketAddrV4,
    /// Set if no instances existed before this one and those that start together with it.
    pub first_start: bool,
    /// Capacity of the instance, if stated.
    pub capacity: Option<Capacity>,
}

/// Time limits that the platform guarantees or expects. They may change while an instance runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Time from the termination signal until the process is killed.
    pub grace: Duration,
    /// Time for which a leaving server keeps serving after it announced its departure.
    pub drain: Duration,
    /// Time within which a changed configuration has to be in effect.
    pub apply: Duration,
    /// Maximum age of the last confirmation that the configuration in effect is the newest. An instance beyond
    /// this age refuses every caller that presents a key, since the key may have been revoked. None if the
    /// configuration in effect stays valid.
    pub revoke: Option<Duration>,
    /// Number of operations that an organisation may run above its quota within the interval over which the quota
    /// is measured.
    pub quota_margin: u32,
}

/// Timeout for opening a connection to a server. The server takes 12 ms and the network between zones less than 3
/// ms; the rest covers a server whose slots are all in use.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Timeout for a status query or an order to a server, which may be queued behind long statements of up to 300 ms.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum time that a status query waits for a connection. Running statements finish earlier and free theirs.
pub const STATUS_CONN_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without new connections to a server after the server refused one because of its connection limit.
pub const CONN_LIMIT_BACKOFF: Duration = Duration::from_millis(1_000);
/// Time without statements for a server after a failed connection attempt.
pub const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(300);
/// Tenths of a server's connection limit that are divided among the instances. A server keeps the connections of
/// instances that lost power for three seconds; the rest lets these instances reconnect immediately.
pub const SHARED_CONN_TENTHS: usize = 5;
/// Maximum tenths of a server's connection limit that the instances open while callers wait. Each instance may
/// open the same number, so that no instance takes all connections while others have none.
pub const MAX_CONN_TENTHS: usize = 9;
/// Idle time after which connections above the share are closed.
pub const EXTRA_CONN_IDLE: Duration = Duration::from_millis(1_500);
/// Age above which the next read refreshes the evidence of a group's state, in percent of the staleness that the
/// route allows. A refresh takes a few milliseconds; the rest is for its retry.
pub const EVIDENCE_REFRESH_PERCENT: u64 = 65;
/// Safety margin subtracted from the staleness that a route allows, for the time between the choice of a server
/// and the read.
pub const STALENESS_MARGIN: Duration = Duration::from_millis(100);
/// Minimum interval for polling a replica that has not received a commit yet: the network latency between zones.
pub const MIN_REPLICATION_POLL: Duration = Duration::from_millis(2);
/// Maximum interval for polling such a replica if it falls behind.
pub const MAX_REPLICATION_POLL: Duration = Duration::from_millis(32);
/// Minimum interval for polling a server whose reads don't reflect a commit yet. The expected lag of the server's reads is
/// used if it is longer, as the server is likely to need that time.
pub const MIN_REPLAY_POLL: Duration = Duration::from_millis(8);
/// Maximum interval for polling such a server, whatever its lag was before.
pub const MAX_REPLAY_POLL: Duration = Duration::from_millis(100);
/// Time without an answer from one replica after which all replicas are queried.
pub const STATUS_HEDGE_DELAY: Duration = Duration::from_millis(25);
/// Time without an answer to a statement after which the liveness of the server is checked. Most statements take
/// less than 100 ms.
pub const LIVENESS_CHECK_DELAY: Duration = Duration::from_millis(120);
/// Minimum time without an answer after which a statement counts as stalled. Its connection may be dead, so it no
/// longer keeps other statements from their permits, and connections that were idle when it was sent are closed.
/// The time must also exceed [`STALL_FACTOR`] times the usual latency of the server. Ordinary statements finish
/// long before.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Multiple of the server's usual latency, see [`STALL_TIMEOUT`].
pub const STALL_FACTOR: u32 = 10;
/// Time without an answer to a status query after which another instance is asked to send it too.
pub const RELAY_DELAY: Duration = Duration::from_millis(120);
/// Interval between attempts to reach a server that other instances reach.
pub const RECONNECT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time during which an instance that failed to reach a server is not asked for this server again.
pub const RELAY_FAILED_BACKOFF: Duration = Duration::from_millis(1_000);
/// Time by which the deadline of a relayed request is earlier than the caller's deadline: the network
/// latency between zones in both directions, and the handling of the response.
pub const RELAY_DEADLINE_MARGIN: Duration = Duration::from_millis(25);
/// Time during which an overloaded instance is not asked for a server again.
pub const BUSY_PEER_BACKOFF: Duration = Duration::from_millis(60);
/// Number of instances without a share of a server's connections that relay statements if no home instance of the
/// server is reachable. All home instances are in the server's availability zone, which a partition may isolate
/// from the others.
pub const FALLBACK_INSTANCES: usize = 3;
/// Connections of each fallback instance. Together with the connections that home instances may keep open behind a
/// partition, they fit into the tenth above [`MAX_CONN_TENTHS`].
pub const FALLBACK_CONNS: usize = 2;
/// Maximum number of instances that are asked to relay a status query.
pub const MAX_RELAYS: usize = 4;
/// Interval between polling rounds for the primary while none is known.
pub const PRIMARY_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Minimum and maximum backoff before the retry of a statement that was not run, in milliseconds.
pub const RETRY_BACKOFF_MS: (u64, u64) = (4, 60);
/// Maximum number of attempts of one statement.
pub const MAX_ATTEMPTS: usize = 12;
/// Fraction of the latency objective after which an unanswered read is hedged: it is also sent to another server.
pub const HEDGE_FRACTION: f64 = 0.5;
/// Fraction of the latency objective above which a statement counts as slow, a sign of queueing at the server.
/// Execution alone takes about a tenth of an objective.
pub const SLOW_FRACTION: f64 = 0.25;
/// Cost of a transaction among those that wait to begin, in statements. Transactions of callers have up to twelve
/// statements.
pub const TXN_STATEMENTS: u64 = 4;
/// Retry delay that a refusal states, in milliseconds.
pub const RETRY_AFTER_MS: u64 = 100;
/// Time until the platform stops sending new sessions to an unready instance: two failed readiness probes, one per
/// second.
pub const UNREADY_DELAY: Duration = Duration::from_millis(2_300);
/// Multiple of its usual lag that a replica gets to catch up before it is chosen for a read.
pub const LAG_FACTOR: f64 = 2.0;
/// Time before the end of a server's drain period from which the server gets no new work, even if no other server
/// can do it. The notification from the store may arrive late, and statements take time.
pub const DRAIN_MARGIN: Duration = Duration::from_millis(2_500);
/// Time after which a server whose entry is missing is considered removed. After an outage of the store, live
/// servers are listed again within two seconds.
pub const SERVER_EXPIRY: Duration = Duration::from_millis(2_500);
/// Maximum duration of a failover, from the first order that stops a replica to the end: 400 ms for that order,
/// 500 ms for the record of the leader, and three promotion orders with 500 ms for the answer and 1,500 ms until
/// the server leads.
pub const MAX_FAILOVER_TIME: Duration = Duration::from_millis(6_900);
/// Maximum number of named statements on a connection before the connection is reset.
pub const MAX_PREPARED: usize = 256;
/// Maximum number of named statements and values of a session.
pub const MAX_SESSION_NAMES: usize = 1_000;

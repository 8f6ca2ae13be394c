//! Counters and histograms.

use {
    metrics::Histogram,
    std::{
        cell::{OnceCell, RefCell},
        time::Duration,
    },
    strum::{Display, EnumIter, IntoStaticStr},
};

/// Counters of the engine. The metric of a counter is named `pondtrack_engine_{name}_total`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Count {
    /// Sessions opened.
    Sessions,
    /// Statements run by servers for callers.
    Statements,
    /// Reads answered by a replica.
    ReplicaReads,
    /// Reads answered by the primary.
    PrimaryReads,
    /// Retries of statements.
    Retries,
    /// Hedged reads: reads sent to a second server because the first was slow.
    Hedges,
    /// Statements rejected by a server because of overload.
    ServerBusy,
    /// Statements rejected by a server whose log had not reached the required position.
    ServerLagging,
    /// Statements answered as not run.
    NotRun,
    /// Statements answered with an unknown outcome.
    Unknown,
    /// Operations rejected because their organisation exceeded its quota.
    OverLimit,
    /// Operations among [`Count::OverLimit`] for which tokens existed, reserved for other operations.
    Reserved,
    /// Operations among [`Count::OverLimit`] that no quota refill could serve before their deadline.
    TooLate,
    /// Operations rejected without a request to the limiter, until the retry time of its previous refusal.
    #[strum(serialize = "told_before")]
    RefusedByHint,
    /// Tokens reassigned because their claimant was gone.
    PassedOn,
    /// Loans of quota shares received from other instances.
    Lent,
    /// Limiters that were unreachable, left, or did not answer a loan in time.
    LimiterLost,
    /// Permits refused because the server was too overloaded to answer before the deadline.
    #[strum(serialize = "turns_refused")]
    PermitsRefused,
    /// Permits issued by the guaranteed minimum to kinds of work that the scheduling order passes over.
    #[strum(serialize = "turns_lifted")]
    PermitsLifted,
    /// Callers rejected because of their key.
    Denied,
    /// Connections to servers opened.
    Opened,
    /// Connections rejected by servers because of their connection limit.
    Refused,
    /// Status queries and orders to servers.
    Orders,
    /// Queries to other instances about a group's state.
    Inquiries,
    /// Calls of the store.
    StoreCalls,
    /// Calls of the store without a result.
    StoreFailures,
    /// Restores of the store from an older copy.
    StoreReturns,
    /// Promotions ordered.
    Promotions,
    /// Fetches of the configuration, the directory or the members from other instances.
    Fetches,
    /// Fetches without a result.
    FetchesFailed,
    /// Bytes of the configuration, the directory and the members sent to other instances.
    SpreadBytes,
    /// Heartbeats of watchers that aren't in the list of live instances.
    UnknownHeartbeats,
    /// Servers restarted under the same id.
    Restarts,
    /// Undecodable objects in the store.
    Unreadable,
    /// Failovers after which acknowledged writes may be lost: a replica came back with an empty log, and the
    /// primary was lost before another replica had every entry.
    Losses,
    /// Statements rejected because the group's state was unknown at the deadline.
    #[strum(serialize = "held_evidence")]
    NoEvidence,
    /// Statements rejected because no primary was known at the deadline.
    #[strum(serialize = "held_primary")]
    NoPrimary,
    /// Statements rejected because no permit for a server was issued by the deadline.
    #[strum(serialize = "held_turn")]
    NoPermit,
    /// Statements rejected because no connection was free by the deadline.
    #[strum(serialize = "held_connection")]
    NoConnection,
    /// Callers that disconnected while their statement waited; the statement was not run.
    #[strum(serialize = "left_waiting")]
    CallersLeft,
    /// Requests of other instances that were cancelled before anything was sent to a server.
    Cancelled,
    /// Log lines dropped.
    LogsDropped,
}

/// Counters and histograms of an instance. Counters are sorted and hold their metric, which is looked up only once
/// because every statement updates counters.
#[derive(Default)]
pub struct Counters {
    counts: RefCell<Vec<(Count, u64, metrics::Counter)>>,
    statements: OnceCell<Histogram>,
    replication_waits: OnceCell<Histogram>,
}

impl Counters {
    /// Increments a counter by one; see [`Counters::add`].
    pub fn increment(&self, counter: Count) {
        self.add(counter, 1);
    }

    /// Adds `n` to a counter.
    pub fn add(&self, counter: Count, n: u64) {
        let mut counts = self.counts.borrow_mut();
        let at = counts.binary_search_by_key(&counter, |entry| entry.0).unwrap_or_else(|at| {
            counts.insert(at, (counter, 0, metrics::counter!(format!("pondtrack_engine_{counter}_total"))));
            at
        });
        counts[at].1 += n;
        counts[at].2.increment(n);
    }

    /// Returns the value of a counter.
    pub fn get(&self, counter: Count) -> u64 {
        let counts = self.counts.borrow();
        counts.binary_search_by_key(&counter, |entry| entry.0).map_or(0, |at| counts[at].1)
    }

    /// Records the latency of a statement, in seconds.
    pub fn record_statement(&self, elapsed: Duration) {
        let histogram = || metrics::histogram!("pondtrack_engine_statement_seconds");
        self.statements.get_or_init(histogram).record(elapsed);
    }

    /// Records the time that a commit waited for replication, in seconds.
    pub fn record_replication_wait(&self, elapsed: Duration) {
        self.replication_waits
            .get_or_init(|| metrics::histogram!("pondtrack_engine_gate_wait_seconds"))
            .record(elapsed);
    }
}

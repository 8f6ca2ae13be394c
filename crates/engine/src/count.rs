//! Counters and histograms.

use {
    metrics::Histogram,
    std::{
        cell::{OnceCell, RefCell},
        time::Duration,
    },
    strum::{Display, EnumIter, IntoStaticStr},
};

/// What is counted; the metric's name is `pondtrack_engine_` with the name below and `_total`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Count {
    /// Sessions opened.
    Sessions,
    /// Statements that servers ran for callers.
    Statements,
    /// Reads answered by a replica.
    ReplicaReads,
    /// Reads answered by the primary.
    PrimaryReads,
    /// Statements tried again.
    Retries,
    /// Reads sent to a second server as the first was slow.
    Hedges,
    /// Statements that a server refused for its load.
    ServerBusy,
    /// Statements that a server refused as its log lacked their position.
    ServerLagging,
    /// Statements answered as not run.
    NotRun,
    /// Statements answered as unknown.
    Unknown,
    /// Operations refused as their organisation had used its quota.
    OverLimit,
    /// Those of them for which there were tokens, kept for others.
    Reserved,
    /// Those of them that were told that there is no room in their time.
    TooLate,
    /// Operations refused until a moment that a limiter told before, without asking it again.
    #[strum(serialize = "told_before")]
    RefusedByHint,
    /// Tokens passed on, as whoever had claimed them was gone.
    PassedOn,
    /// Messages of other instances that lend their shares of limits.
    Lent,
    /// Limiters that couldn't be reached, left, or did not answer a loan in time.
    LimiterLost,
    /// Turns refused, as a server has too much to do to answer in time.
    #[strum(serialize = "turns_refused")]
    PermitsRefused,
    /// Turns handed out to kinds of work that the order leaves out.
    #[strum(serialize = "turns_lifted")]
    PermitsLifted,
    /// Callers refused for their key.
    Denied,
    /// Connections to servers opened.
    Opened,
    /// Connections that servers refused for their limit.
    Refused,
    /// Questions and orders to servers.
    Orders,
    /// Questions to other instances about a group's state.
    Inquiries,
    /// Calls of the store.
    StoreCalls,
    /// Calls of the store without a result.
    StoreFailures,
    /// Returns of the store from an older copy.
    StoreReturns,
    /// Promotions ordered.
    Promotions,
    /// Fetches of the configuration, the directory or the members from other instances.
    Fetches,
    /// Those of them without a result.
    FetchesFailed,
    /// Bytes of these collections sent to other instances.
    SpreadBytes,
    /// Servers that started again under their id.
    Restarts,
    /// Objects of the store that couldn't be read.
    Unreadable,
    /// Changes of primary after which acknowledged writes may be lost: a replica came back with nothing and the primary
    /// was lost before another replica had all.
    Losses,
    /// Statements refused as their group's state was not known by the end of their budget.
    #[strum(serialize = "held_evidence")]
    NoEvidence,
    /// The same for a primary.
    #[strum(serialize = "held_primary")]
    NoPrimary,
    /// The same for a turn at a server.
    #[strum(serialize = "held_turn")]
    NoPermit,
    /// The same for a connection.
    #[strum(serialize = "held_connection")]
    NoConnection,
    /// Callers that left while their statement waited; it did not run.
    #[strum(serialize = "left_waiting")]
    CallersLeft,
    /// Questions of other instances that were cancelled before a server had anything of them.
    Cancelled,
    /// Log lines that were left out.
    LogsDropped,
}

/// The counters of an instance, sorted, each with its metric, and its histograms. Metrics are looked up once, as
/// they are on the path of every statement.
#[derive(Default)]
pub struct Counters {
    list: RefCell<Vec<(Count, u64, metrics::Counter)>>,
    statements: OnceCell<Histogram>,
    gate: OnceCell<Histogram>,
}

impl Counters {
    /// Adds one to a counter.
    pub fn increment(&self, what: Count) {
        self.add(what, 1);
    }

    /// Adds to a counter.
    pub fn add(&self, what: Count, n: u64) {
        let mut list = self.list.borrow_mut();
        let at = list.binary_search_by_key(&what, |it| it.0).unwrap_or_else(|at| {
            list.insert(at, (what, 0, metrics::counter!(format!("pondtrack_engine_{what}_total"))));
            at
        });
        list[at].1 += n;
        list[at].2.increment(n);
    }

    /// A counter's value.
    pub fn get(&self, what: Count) -> u64 {
        let list = self.list.borrow();
        list.binary_search_by_key(&what, |it| it.0).map_or(0, |at| list[at].1)
    }

    /// Records how long a statement took, in seconds.
    pub fn record_statement(&self, took: Duration) {
        let histogram = || metrics::histogram!("pondtrack_engine_statement_seconds");
        self.statements.get_or_init(histogram).record(took);
    }

    /// Records how long a commit waited for a replica, in seconds.
    pub fn record_replication_wait(&self, took: Duration) {
        self.gate.get_or_init(|| metrics::histogram!("pondtrack_engine_gate_wait_seconds")).record(took);
    }
}

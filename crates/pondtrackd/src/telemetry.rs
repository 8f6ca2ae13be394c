//! Counters, metrics and logs.
//!
//! Every counter is kept twice: for `/metrics`, and for `pondtrack status`. `docs/REFERENCE.md` lists
//! them all, which a test checks.

use {
    metrics_prometheus::Recorder,
    prometheus::TextEncoder,
    std::{cell::RefCell, net::SocketAddr, sync::OnceLock, time::Duration},
    strum::{Display, EnumIter, IntoStaticStr},
};

/// What is counted; the name of the metric is `pondtrack_` with the name below and `_total`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Count {
    /// Batches of statements taken from callers.
    Statements,
    /// Reads answered by a replica.
    ReplicaReads,
    /// Reads answered by the primary.
    PrimaryReads,
    /// Reads that a replica could not answer and that went elsewhere.
    RetriedReads,
    /// Requests answered as not run.
    NotRun,
    /// Requests answered as unknown.
    Unknown,
    /// Requests refused by admission.
    Refused,
    /// Requests with a key whose recorded outcome was answered.
    Repeated,
    /// Acknowledgements that waited for a majority.
    Gated,
    /// Rounds that asked a majority for the term.
    Barriers,
    /// Changes of primary begun here.
    Switches,
    /// Changes of primary finished here.
    Promotions,
    /// Suspicions that another home spoke against.
    Vetoes,
    /// Replies on a peer link that nobody waited for.
    Unmatched,
    /// Datagrams sent to other instances.
    DatagramsSent,
    /// Bytes of datagrams sent to other instances.
    DatagramBytesSent,
    /// Datagrams taken from other instances.
    DatagramsTaken,
    /// Malformed datagrams dropped.
    DatagramsBad,
    /// Facts accepted.
    FactsAccepted,
    /// Connections to servers opened.
    UpstreamsOpened,
    /// Connections to servers that were refused for their limit.
    UpstreamsRefused,
    /// Questions and orders to servers, watches among them.
    ServerOrders,
    /// Bytes of these questions, orders and their answers.
    ServerOrderBytes,
    /// Times this instance noticed that it had been paused.
    Pauses,
    /// Calls of the platform to read an object.
    PlatformGet,
    /// Calls of the platform to read a kind.
    PlatformList,
    /// Calls of the platform to write.
    PlatformPut,
    /// Calls of the platform to wait for changes.
    PlatformWatch,
    /// Calls of the platform for its list of instances.
    PlatformInstances,
}

/// The counters of one instance, sorted, each with its metric.
#[derive(Default)]
pub struct Counters {
    list: RefCell<Vec<(Count, u64, metrics::Counter)>>,
}

impl Counters {
    /// Adds to a counter.
    pub fn add(&self, what: Count, n: u64) {
        let mut list = self.list.borrow_mut();
        let at = list.binary_search_by_key(&what, |it| it.0).unwrap_or_else(|at| {
            // Looked up once: most counters are on the path of every statement.
            let name: &'static str = what.into();
            list.insert(at, (what, 0, metrics::counter!(metric(name))));
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

    /// Adds one to a counter.
    pub fn one(&self, what: Count) {
        self.add(what, 1);
    }

    /// All counters by name.
    pub fn all(&self) -> Vec<(String, u64)> {
        self.list.borrow().iter().map(|it| (it.0.to_string(), it.1)).collect()
    }
}

/// The name of a counter's metric.
pub fn metric(name: &str) -> String {
    format!("pondtrack_{name}_total")
}

static RECORDER: OnceLock<Option<Recorder>> = OnceLock::new();

/// Installs the recorder of the process, once.
pub fn install() -> Option<&'static Recorder> {
    let install = || {
        let it = Recorder::builder().try_build_and_install();
        it.inspect_err(|e| log::warn!(step = "metrics"; "not installed: {e}")).ok()
    };
    RECORDER.get_or_init(install).as_ref()
}

/// Serves `/metrics`; hands back the address.
pub async fn serve(listen: SocketAddr) -> std::io::Result<SocketAddr> {
    let listener = tokio::net::TcpListener::bind(listen).await?;
    let addr = listener.local_addr()?;
    let app = axum::Router::new().route("/metrics", axum::routing::get(async || render()));
    tokio::task::spawn_local(async move {
        if let Err(e) = axum::serve(listener, app).await {
            log::error!(step = "metrics"; "{e}");
        }
    });
    Ok(addr)
}

/// Records how long a write waited for its majority, in seconds.
pub fn gate_wait(took: Duration) {
    metrics::histogram!("pondtrack_gate_wait_seconds").record(took);
}

/// Records how long a group had no usable primary, in seconds.
pub fn failover_gap(took: Duration) {
    metrics::histogram!("pondtrack_failover_gap_seconds").record(took);
}

/// Records the share of reads that replicas answered so far.
pub fn replica_share(share: f64) {
    metrics::gauge!("pondtrack_replica_read_ratio").set(share);
}

/// Begins logging to standard error; a second call changes nothing.
pub fn log(spec: &str) -> Result<Option<flexi_logger::LoggerHandle>, String> {
    let logger = flexi_logger::Logger::try_with_str(spec).map_err(|e| e.to_string())?;
    Ok(logger.format(line).start().ok())
}

/// The metrics as text.
pub fn render() -> String {
    let text = install().map(|it| TextEncoder::new().encode_to_string(&it.registry().gather()));
    match text {
        Some(Ok(it)) => it,
        Some(Err(e)) => {
            log::warn!(step = "metrics"; "not shown: {e}");
            String::new()
        }
        None => String::new(),
    }
}

/// Begins logging to standard output; a second call changes nothing.
pub fn log_to_stdout(spec: &str) -> Result<Option<flexi_logger::LoggerHandle>, String> {
    let logger = flexi_logger::Logger::try_with_str(spec).map_err(|e| e.to_string())?;
    Ok(logger.log_to_stdout().format(line).start().ok())
}

/// One line a record: time, level, place, text, then the structured values.
fn line(
    out: &mut dyn std::io::Write,
    now: &mut flexi_logger::DeferredNow,
    record: &log::Record<'_>,
) -> std::io::Result<()> {
    let time = now.format("%Y-%m-%dT%H:%M:%S%.3fZ");
    write!(out, "{time} {} {} {}", record.level(), record.target(), record.args())?;
    let mut pairs = Pairs(Vec::new());
    let _ = record.key_values().visit(&mut pairs);
    for (key, value) in pairs.0 {
        write!(out, " {key}={value}")?;
    }
    Ok(())
}

struct Pairs(Vec<(String, String)>);

impl<'kvs> log::kv::VisitSource<'kvs> for Pairs {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        self.0.push((key.to_string(), value.to_string()));
        Ok(())
    }
}

//! Counters, metrics and logging.
//!
//! Every counter is kept twice: for `/metrics`, and for `pondtrack status`. A test checks that
//! `docs/REFERENCE.md` lists every counter.

use {
    metrics_prometheus::Recorder,
    prometheus::TextEncoder,
    std::{cell::RefCell, net::SocketAddr, sync::OnceLock, time::Duration},
    strum::{Display, EnumIter, IntoStaticStr},
};

/// Identifier of a counter; its metric is named `pondtrack_<variant in snake case>_total`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Count {
    /// Statement batches received from callers.
    Statements,
    /// Reads answered by a replica.
    ReplicaReads,
    /// Reads answered by the primary.
    PrimaryReads,
    /// Reads that a replica could not answer and that were retried on another server.
    RetriedReads,
    /// Requests reported to the caller as not run.
    NotRun,
    /// Requests reported to the caller with an unknown outcome.
    Unknown,
    /// Requests refused by admission control.
    Refused,
    /// Requests with an idempotency key that were answered with the recorded outcome.
    Repeated,
    /// Acknowledgements delayed until a majority had the write.
    Gated,
    /// Barrier rounds, each of which confirms the term with a majority.
    Barriers,
    /// Failovers started by this instance.
    Switches,
    /// Failovers completed by this instance.
    Promotions,
    /// Suspicions of a primary vetoed by another home.
    Vetoes,
    /// Replies on a peer link that match no pending request.
    Unmatched,
    /// Datagrams sent to other instances.
    DatagramsSent,
    /// Bytes of datagrams sent to other instances.
    DatagramBytesSent,
    /// Datagrams received from other instances.
    DatagramsTaken,
    /// Malformed datagrams dropped.
    DatagramsBad,
    /// Gossiped facts accepted.
    FactsAccepted,
    /// Connections opened to servers.
    UpstreamsOpened,
    /// Connections refused by servers at their connection limit.
    UpstreamsRefused,
    /// Control requests to servers (queries, commands and watches).
    ServerOrders,
    /// Bytes of control requests to servers and of their responses.
    ServerOrderBytes,
    /// Detected pauses of this process.
    Pauses,
    /// Platform calls that read an object.
    PlatformGet,
    /// Platform calls that list the objects of a kind.
    PlatformList,
    /// Platform calls that write an object.
    PlatformPut,
    /// Platform calls that wait for changes.
    PlatformWatch,
    /// Platform calls that read the list of instances.
    PlatformInstances,
}

/// Counters of one instance, each with its metric, sorted by identifier.
#[derive(Default)]
pub struct Counters {
    entries: RefCell<Vec<(Count, u64, metrics::Counter)>>,
}

impl Counters {
    /// Adds `n` to a counter.
    pub fn add(&self, count: Count, n: u64) {
        let mut entries = self.entries.borrow_mut();
        let i = entries.binary_search_by_key(&count, |e| e.0).unwrap_or_else(|i| {
            // The metric handle is cached because most counters are on the path of every statement.
            let name: &'static str = count.into();
            entries.insert(i, (count, 0, metrics::counter!(metric(name))));
            i
        });
        entries[i].1 += n;
        entries[i].2.increment(n);
    }

    /// Returns the value of a counter, 0 if it was never incremented.
    pub fn get(&self, count: Count) -> u64 {
        let entries = self.entries.borrow();
        entries.binary_search_by_key(&count, |e| e.0).map_or(0, |i| entries[i].1)
    }

    /// Increments a counter by one.
    pub fn one(&self, count: Count) {
        self.add(count, 1);
    }

    /// Returns the names and values of all counters incremented so far.
    pub fn all(&self) -> Vec<(String, u64)> {
        self.entries.borrow().iter().map(|e| (e.0.to_string(), e.1)).collect()
    }
}

/// Returns the metric name of a counter.
pub fn metric(name: &str) -> String {
    format!("pondtrack_{name}_total")
}

static RECORDER: OnceLock<Option<Recorder>> = OnceLock::new();

/// Installs the metrics recorder of the process on the first call and returns it.
///
/// Returns `None` if the installation failed; the error is logged once.
pub fn install() -> Option<&'static Recorder> {
    let install = || {
        let result = Recorder::builder().try_build_and_install();
        result.inspect_err(|e| log::warn!(step = "metrics"; "installing the recorder failed: {e}")).ok()
    };
    RECORDER.get_or_init(install).as_ref()
}

/// Serves `/metrics` in a background task; returns the bound address.
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

/// Records the time for which a write waited for its majority, in seconds.
pub fn gate_wait(elapsed: Duration) {
    metrics::histogram!("pondtrack_gate_wait_seconds").record(elapsed);
}

/// Records the time for which a group had no usable primary, in seconds.
pub fn failover_gap(elapsed: Duration) {
    metrics::histogram!("pondtrack_failover_gap_seconds").record(elapsed);
}

/// Sets the ratio of reads answered by replicas so far, from 0 to 1.
pub fn replica_share(ratio: f64) {
    metrics::gauge!("pondtrack_replica_read_ratio").set(ratio);
}

/// Starts logging to standard error; a second call has no effect.
///
/// Fails if `spec` is not a valid flexi_logger specification.
pub fn log(spec: &str) -> Result<Option<flexi_logger::LoggerHandle>, String> {
    let logger = flexi_logger::Logger::try_with_str(spec).map_err(|e| e.to_string())?;
    Ok(logger.format(format_record).start().ok())
}

/// Returns the metrics in the Prometheus text format, or an empty string if they are unavailable.
pub fn render() -> String {
    let text = install().map(|recorder| TextEncoder::new().encode_to_string(&recorder.registry().gather()));
    match text {
        Some(Ok(text)) => text,
        Some(Err(e)) => {
            log::warn!(step = "metrics"; "encoding the metrics failed: {e}");
            String::new()
        }
        None => String::new(),
    }
}

/// Starts logging to standard output; a second call has no effect.
///
/// Fails if `spec` is not a valid flexi_logger specification.
pub fn log_to_stdout(spec: &str) -> Result<Option<flexi_logger::LoggerHandle>, String> {
    let logger = flexi_logger::Logger::try_with_str(spec).map_err(|e| e.to_string())?;
    Ok(logger.log_to_stdout().format(format_record).start().ok())
}

/// Formats a log record as one line: time, level, target, message, then the key-value pairs.
fn format_record(
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

/// Collects the key-value pairs of a log record.
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

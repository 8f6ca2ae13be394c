//! More callers than a group's connections can serve: goodput, and latency of what is admitted.

use {
    crate::{
        caller,
        cluster::{Cluster, Deployment},
    },
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{
        io,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Connections of the server; 5 of them are left to callers by one home.
const LIMIT: u32 = 7;
/// Connections that callers' work gets.
const SLOTS: usize = 5;
/// Time of each statement at the server.
const WORK_MS: u64 = 10;
/// Time that callers give each statement.
const TIMEOUT: &str = "250ms";
/// How long each step lasts.
const WINDOW: Duration = Duration::from_secs(4);

/// One step.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Offered load as a multiple of what the connections can serve.
    pub load: usize,
    /// Statements that were answered in a second.
    pub goodput_s: f64,
    /// Statements refused as not run in a second.
    pub refused_s: f64,
    /// Other errors, by SQLSTATE.
    pub other: Vec<(String, u64)>,
    /// Latency of the answered, in ms: median and 99th percentile.
    pub admitted_ms: [f64; 2],
    /// Latency of the refusals, in ms: median and 99th percentile.
    pub refused_ms: [f64; 2],
}

/// Runs 1, 2, 10 and 50 times the load.
pub async fn run() -> io::Result<Vec<Figures>> {
    let mut deployment = Deployment::small(1);
    deployment.limit = LIMIT;
    let cluster = Cluster::start(deployment).await?;
    let addr = cluster.instances[0].callers.addr;
    let mut out = Vec::new();
    for load in [1, 2, 10, 50] {
        out.push(step(addr, load).await?);
        sleep(Duration::from_millis(500)).await;
    }
    Ok(out)
}

async fn step(addr: SocketAddr, load: usize) -> io::Result<Figures> {
    let from = Instant::now();
    let mut tasks = Vec::new();
    for n in 0..SLOTS * load {
        tasks.push(tokio::spawn(offer(addr, n, from)));
    }
    let new = || Histogram::<u64>::new(3).map_err(io::Error::other);
    let (mut done, mut refused) = (new()?, new()?);
    let mut other: Vec<(String, u64)> = Vec::new();
    for it in tasks {
        for (code, us) in it.await.unwrap_or_default() {
            match code.as_str() {
                "" => done.record(us).map_err(io::Error::other)?,
                "PT001" => refused.record(us).map_err(io::Error::other)?,
                _ => match other.iter_mut().find(|it| it.0 == code) {
                    Some(it) => it.1 += 1,
                    None => other.push((code, 1)),
                },
            }
        }
    }
    let seconds = from.elapsed().as_secs_f64();
    let ms = |it: &Histogram<u64>, q| it.value_at_quantile(q) as f64 / 1_000.0;
    Ok(Figures {
        load,
        goodput_s: done.len() as f64 / seconds,
        refused_s: refused.len() as f64 / seconds,
        other,
        admitted_ms: [ms(&done, 0.5), ms(&done, 0.99)],
        refused_ms: [ms(&refused, 0.5), ms(&refused, 0.99)],
    })
}

/// One caller that asks again at once, whatever it is told: SQLSTATE (empty when answered) and microseconds.
async fn offer(addr: SocketAddr, n: usize, from: Instant) -> Vec<(String, u64)> {
    let mut out = Vec::new();
    let Ok(client) = caller::connect(addr, &format!("caller-{n}"), "parts", "").await else { return out };
    let _ = client.simple_query(&format!("SET pondtrack.timeout = '{TIMEOUT}'")).await;
    while from.elapsed() < WINDOW {
        let at = Instant::now();
        let code = match client.simple_query(&format!("SELECT sleep_ms({WORK_MS})")).await {
            Ok(_) => String::new(),
            Err(e) => {
                // Even a caller that ignores the hint takes a moment.
                sleep(Duration::from_millis(5)).await;
                caller::code(&e).to_owned()
            }
        };
        out.push((code, at.elapsed().as_micros() as u64));
    }
    out
}

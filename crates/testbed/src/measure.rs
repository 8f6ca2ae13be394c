//! A deployment at the users' sizes under a seeded load, with failures at chosen times; every invariant
//! is checked and the measures are printed as one JSON object.

use {
    crate::{
        caller,
        cluster::{Cluster, Deployment},
        history::{self, Answer, Asked, Held, Record, Violations},
        load::{Load, Mix},
        platform::Trouble,
        relay::Part,
    },
    hdrhistogram::Histogram,
    pondtrack_proto::{GroupSpec, Intent, ReadPolicy},
    serde::Serialize,
    snafu::Snafu,
    std::{
        io,
        str::FromStr,
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// The schedule when none is given; times are milliseconds after the warm-up.
pub const SCHEDULE: &str = "lag@3500 unlag@6500 \
    kill:0@8000 freeze:1@8000 cut:2@8000 restore@10500 \
    freeze:0@12500 cut:1@12500 kill:2@12500 restore@15000 \
    down@16500 kill:0@17000 freeze:1@17000 cut:2@17000 restore@19500 up@20500 \
    switch:0@22000 switch:1@22600 switch:2@23200 configure@23800 stop:7@24500 \
    die:8@27000 end@29500";
/// How long after a failure its gap is looked for, in microseconds.
const GAP_WINDOW: u64 = 2_400_000;
/// Time to warm up.
const WARM: Duration = Duration::from_millis(1_500);
/// Requests of each kind by which latency is compared.
const LATENCY_REQUESTS: usize = 400;
/// How far a lagging replica is behind.
const LAG_MS: u64 = 3_000;

/// One thing that is done to the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// One replica of each group lags.
    Lag,
    /// None lags.
    Unlag,
    /// The primary of a group is killed.
    Kill(usize),
    /// The primary of a group is frozen.
    Freeze(usize),
    /// The primary of a group is cut from its replicas.
    Cut(usize),
    /// All servers are brought back, all cuts healed.
    Restore,
    /// The platform is down.
    Down,
    /// The platform is slow.
    Slow,
    /// The platform is well.
    Up,
    /// The primary of a group is switched as planned.
    Switch(usize),
    /// A group's read policy is changed as planned.
    Configure,
    /// An instance is stopped as planned.
    Stop(usize),
    /// An instance is killed.
    Die(usize),
    /// The run ends.
    End,
}

/// An act that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is no act: write name:number@milliseconds, such as kill:0@5000"))]
pub struct BadAct {
    text: String,
}

/// An act at its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timed {
    /// Milliseconds after the warm-up.
    pub at: u64,
    /// What is done.
    pub act: Act,
}

impl FromStr for Timed {
    type Err = BadAct;

    fn from_str(text: &str) -> Result<Timed, BadAct> {
        let bad = || BadAct { text: text.to_owned() };
        let (what, at) = text.split_once('@').ok_or_else(bad)?;
        let at = at.parse().map_err(|_| bad())?;
        let (name, number) = what.split_once(':').unwrap_or((what, "0"));
        let n = number.parse().map_err(|_| bad())?;
        let act = match name {
            "lag" => Act::Lag,
            "unlag" => Act::Unlag,
            "kill" => Act::Kill(n),
            "freeze" => Act::Freeze(n),
            "cut" => Act::Cut(n),
            "restore" => Act::Restore,
            "down" => Act::Down,
            "slow" => Act::Slow,
            "up" => Act::Up,
            "switch" => Act::Switch(n),
            "configure" => Act::Configure,
            "stop" => Act::Stop(n),
            "die" => Act::Die(n),
            "end" => Act::End,
            _ => return Err(bad()),
        };
        Ok(Timed { at, act })
    }
}

/// Reads a schedule.
pub fn schedule(text: &str) -> Result<Vec<Timed>, BadAct> {
    let mut out = text.split_whitespace().map(str::parse).collect::<Result<Vec<Timed>, _>>()?;
    out.sort_by_key(|it| it.at);
    Ok(out)
}

/// A distribution in milliseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Gaps {
    /// The median.
    pub p50: f64,
    /// The highest.
    pub max: f64,
    /// How many there were.
    pub runs: usize,
}

/// Latencies in milliseconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Added {
    /// At the median.
    pub p50: f64,
    /// At the 99th percentile.
    pub p99: f64,
    /// The same through the relay to the database directly, at the median.
    pub direct_p50: f64,
}

/// What a measurement prints.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// The deployment.
    pub deployment: String,
    /// The seed.
    pub seed: u64,
    /// Requests recorded.
    pub statements: usize,
    /// Reads answered by replicas, of the reads outside transactions.
    pub replica_read_share: f64,
    /// The same while one replica of each group lags.
    pub replica_read_share_one_lagging: f64,
    /// Longest times between two acknowledged writes around failures.
    pub failover_gap_ms: Gaps,
    /// The same while the platform is down.
    pub failover_gap_platform_down_ms: Gaps,
    /// The same around planned switches.
    pub planned_gap_ms: Gaps,
    /// Latency added to that of a direct connection.
    pub added_latency_ms: Added,
    /// Milliseconds until a configuration was in force everywhere.
    pub config_in_force_ms: Option<u64>,
    /// Requests answered as unknown.
    pub unknown: usize,
    /// Requests answered as not run.
    pub not_run: usize,
    /// Requests answered with another error.
    pub refused: usize,
    /// Violations.
    #[serde(flatten)]
    pub violations: Violations,
}

/// A gap found around an act.
#[derive(Clone, Copy, Debug)]
struct Gap {
    at: u64,
    ms: f64,
    act: Act,
    platform_down: bool,
}

/// What a run is told to do.
#[derive(Clone, Debug)]
pub struct Options {
    /// The deployment.
    pub deployment: Deployment,
    /// The seed.
    pub seed: u64,
    /// The schedule.
    pub schedule: Vec<Timed>,
    /// A file for the drawing of gaps and shares over time.
    pub plot: Option<std::path::PathBuf>,
    /// A file for the recorded history.
    pub history: Option<std::path::PathBuf>,
}

/// Counters of reads over all instances: by replicas, by primaries.
async fn reads(cluster: &Cluster) -> (u64, u64) {
    let mut out = (0, 0);
    for n in 0..cluster.instances.len() {
        let Ok(it) = cluster.report(n).await else { continue };
        let get = |name: &str| it.counters.iter().find(|c| c.0 == name).map_or(0, |c| c.1);
        out.0 += get("replica_reads");
        out.1 += get("primary_reads");
    }
    out
}

fn share(from: (u64, u64), to: (u64, u64)) -> f64 {
    let replica = to.0.saturating_sub(from.0) as f64;
    let primary = to.1.saturating_sub(from.1) as f64;
    replica / (replica + primary).max(1.0)
}

struct Run {
    cluster: Cluster,
    load: Arc<Load>,
    down: bool,
    downed: Vec<usize>,
    frozen: Vec<usize>,
    gaps: Vec<(u64, Act, bool)>,
    planned: Vec<(u64, u64)>,
    shares: Vec<(u64, f64)>,
    steady: f64,
    lagging: f64,
    lag_from: (u64, u64),
    in_force: Option<u64>,
}

/// Runs once.
pub async fn run(options: &Options) -> io::Result<Figures> {
    let mix = if options.deployment.name == "porting" { Mix::porting() } else { Mix::waterworks() };
    let cluster = Cluster::start(options.deployment.clone()).await?;
    let addrs = cluster.instances.iter().map(|it| it.callers.addr).collect();
    let load = Load::new(addrs, options.deployment.groups.clone());
    load.prepare().await.map_err(io::Error::other)?;
    let added = latency(&cluster).await?;
    let callers = load.start(mix, options.seed);
    sleep(WARM).await;
    let mut it = Run {
        cluster,
        load,
        down: false,
        downed: Vec::new(),
        frozen: Vec::new(),
        gaps: Vec::new(),
        planned: Vec::new(),
        shares: Vec::new(),
        steady: 0.0,
        lagging: 0.0,
        lag_from: (0, 0),
        in_force: None,
    };
    it.play(&options.schedule).await?;
    it.load.ended.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.await;
    }
    it.restore().await?;
    it.cluster.trouble(Trouble::default()).await?;
    let held = it.held().await?;
    let records = it.load.records.lock().expect("no panic while held").clone();
    if let Some(path) = &options.history {
        let text: Vec<String> = records.iter().filter_map(|it| serde_json::to_string(it).ok()).collect();
        std::fs::write(path, text.join("\n"))?;
    }
    let gaps = it.found_gaps(&records);
    if let Some(path) = &options.plot {
        std::fs::write(path, plot(&it.shares, &gaps))?;
    }
    let violations = history::check(&records, &held, &it.planned);
    let count = |wanted: fn(&Answer) -> bool| records.iter().filter(|r| wanted(&r.answer)).count();
    Ok(Figures {
        deployment: options.deployment.name.to_owned(),
        seed: options.seed,
        statements: records.len(),
        replica_read_share: it.steady,
        replica_read_share_one_lagging: it.lagging,
        failover_gap_ms: distribution(&gaps, |g| !g.platform_down && !matches!(g.act, Act::Switch(_))),
        failover_gap_platform_down_ms: distribution(&gaps, |g| g.platform_down),
        planned_gap_ms: distribution(&gaps, |g| matches!(g.act, Act::Switch(_))),
        added_latency_ms: added,
        config_in_force_ms: it.in_force,
        unknown: count(|it| *it == Answer::Unknown),
        not_run: count(|it| *it == Answer::NotRun),
        refused: count(|it| matches!(it, Answer::Refused { .. })),
        violations,
    })
}

fn distribution(gaps: &[Gap], wanted: impl Fn(&Gap) -> bool) -> Gaps {
    let mut all: Vec<f64> = gaps.iter().filter(|it| wanted(it)).map(|it| it.ms).collect();
    all.sort_by(f64::total_cmp);
    let p50 = all.get(all.len() / 2).copied().unwrap_or(0.0);
    Gaps { p50, max: all.last().copied().unwrap_or(0.0), runs: all.len() }
}

/// Latency of a lookup through an instance, against the same to the server itself.
async fn latency(cluster: &Cluster) -> io::Result<Added> {
    let group = &cluster.deployment.groups[0];
    let through = caller::connect(cluster.instances[0].callers.addr, "timer", group, "").await;
    let direct = caller::connect(cluster.dbs[0].front.addr, "timer", group, "").await;
    let (through, direct) = (through.map_err(io::Error::other)?, direct.map_err(io::Error::other)?);
    let new = || Histogram::<u64>::new(3).map_err(io::Error::other);
    let (mut a, mut b) = (new()?, new()?);
    let text = "SELECT qty FROM stock WHERE part = 'part-7'";
    for n in 0..LATENCY_REQUESTS {
        // In turn, so that both meet the same machine.
        for (client, times) in [(&through, &mut a), (&direct, &mut b)] {
            let from = Instant::now();
            client.simple_query(text).await.map_err(io::Error::other)?;
            if n > LATENCY_REQUESTS / 10 {
                times.record(from.elapsed().as_micros() as u64).map_err(io::Error::other)?;
            }
        }
    }
    let ms = |it: u64| it as f64 / 1_000.0;
    let at = |q: f64| ms(a.value_at_quantile(q)) - ms(b.value_at_quantile(q));
    Ok(Added { p50: at(0.5), p99: at(0.99), direct_p50: ms(b.value_at_quantile(0.5)) })
}

impl Run {
    async fn play(&mut self, schedule: &[Timed]) -> io::Result<()> {
        let began = Instant::now();
        let first = reads(&self.cluster).await;
        let mut last = first;
        for it in schedule {
            loop {
                let left = Duration::from_millis(it.at).saturating_sub(began.elapsed());
                if left.is_zero() {
                    break;
                }
                sleep(left.min(Duration::from_millis(250))).await;
                self.look(&mut last).await;
            }
            if it.act == Act::Lag || (it.act == Act::End && self.steady == 0.0) {
                self.steady = share(first, reads(&self.cluster).await);
            }
            self.act(it.act).await?;
        }
        Ok(())
    }

    /// Notes every instance's versions and the share of replica reads since the last look.
    async fn look(&mut self, last: &mut (u64, u64)) {
        for n in 0..self.cluster.instances.len() {
            if self.cluster.instances[n].process.is_none() {
                continue;
            }
            let from = self.load.now();
            let Ok(it) = self.cluster.report(n).await else { continue };
            for g in &it.groups {
                self.load.record_version(format!("{} {}", it.name, g.name), from, g.version);
            }
        }
        let now = reads(&self.cluster).await;
        self.shares.push((self.load.now(), share(*last, now)));
        *last = now;
    }

    async fn act(&mut self, act: Act) -> io::Result<()> {
        match act {
            Act::Lag => {
                self.lag(LAG_MS).await?;
                self.lag_from = reads(&self.cluster).await;
            }
            Act::Unlag => {
                self.lagging = share(self.lag_from, reads(&self.cluster).await);
                self.lag(0).await?;
            }
            Act::Kill(group) => {
                let at = self.cluster.primary(group).await?;
                self.gaps.push((self.load.now(), act, self.down));
                self.cluster.kill_db(at).await;
                self.downed.push(at);
            }
            Act::Freeze(group) => {
                let at = self.cluster.primary(group).await?;
                self.gaps.push((self.load.now(), act, self.down));
                if let Some(it) = &self.cluster.dbs[at].process {
                    it.signal(libc::SIGSTOP);
                }
                self.frozen.push(at);
            }
            Act::Cut(group) => {
                let at = self.cluster.primary(group).await?;
                self.gaps.push((self.load.now(), act, self.down));
                let own = self.cluster.dbs[at].part;
                let others: Vec<Part> =
                    self.cluster.servers(group).iter().map(|n| self.cluster.dbs[*n].part).collect();
                for it in others.into_iter().filter(|it| *it != own) {
                    self.cluster.relay.cut(own, it);
                }
            }
            Act::Restore => self.restore().await?,
            Act::Down => {
                self.down = true;
                self.cluster.trouble(Trouble { down: true, ..Trouble::default() }).await?;
            }
            Act::Slow => self.cluster.trouble(Trouble { slow_ms: 1_500, ..Trouble::default() }).await?,
            Act::Up => {
                self.down = false;
                self.cluster.trouble(Trouble::default()).await?;
            }
            Act::Switch(group) => {
                let at = self.cluster.primary(group).await?;
                let next = self.cluster.servers(group).into_iter().find(|it| *it != at).unwrap_or(at);
                let intent = Intent::Switch {
                    group: self.cluster.deployment.groups[group].as_str().into(),
                    server: self.cluster.dbs[next].name.clone(),
                };
                let from = self.load.now();
                self.gaps.push((from, act, self.down));
                self.planned(from, intent, 1).await?;
            }
            Act::Configure => self.configure().await?,
            Act::Stop(n) => {
                let from = self.load.now();
                let intent = Intent::Stop { instance: self.cluster.instances[n].name.clone() };
                self.planned(from, intent, usize::from(n == 0)).await?;
                if let Some(mut it) = self.cluster.instances[n].process.take() {
                    it.wait(Duration::from_secs(5)).await;
                }
                self.planned.push((from, self.load.now()));
            }
            Act::Die(n) => {
                self.cluster.kill_instance(n).await;
            }
            Act::End => {}
        }
        Ok(())
    }

    async fn lag(&self, ms: u64) -> io::Result<()> {
        for group in 0..self.cluster.deployment.groups.len() {
            let primary = self.cluster.primary(group).await?;
            let servers = self.cluster.servers(group);
            let replica = servers.into_iter().find(|it| *it != primary).unwrap_or(primary);
            let Some(process) = &self.cluster.dbs[replica].process else { continue };
            let name = &self.cluster.deployment.groups[group];
            let client =
                caller::connect(process.addr("addr")?, "bed", name, "").await.map_err(io::Error::other)?;
            client.simple_query(&format!("STANDIN lag {ms}")).await.map_err(io::Error::other)?;
        }
        Ok(())
    }

    async fn restore(&mut self) -> io::Result<()> {
        self.cluster.relay.heal();
        for at in std::mem::take(&mut self.frozen) {
            if let Some(it) = &self.cluster.dbs[at].process {
                it.signal(libc::SIGCONT);
            }
        }
        for at in std::mem::take(&mut self.downed) {
            self.cluster.start_db(at).await?;
        }
        Ok(())
    }

    async fn planned(&mut self, from: u64, intent: Intent, at: usize) -> io::Result<()> {
        let it = self.cluster.plan(at, intent, Duration::from_secs(8)).await?;
        if it.state != pondtrack_proto::PlanState::Done {
            return Err(io::Error::other(format!("a plan ended as {}: {}", it.state, it.log.join("; "))));
        }
        // Some requests that were asked during the plan are answered a little later.
        sleep(Duration::from_millis(200)).await;
        self.planned.push((from, self.load.now()));
        Ok(())
    }

    /// Changes a policy and waits until it is in force everywhere.
    async fn configure(&mut self) -> io::Result<()> {
        let listing = self.cluster.deployment.groups[0].clone();
        let url = format!("{}/objects/group/{listing}", self.cluster.platform_url()?);
        let http = reqwest::Client::builder().no_proxy().build().map_err(io::Error::other)?;
        let it: pondtrack_edge::Object =
            http.get(url).send().await.map_err(io::Error::other)?.json().await.map_err(io::Error::other)?;
        let mut spec: GroupSpec = it.read().map_err(io::Error::other)?;
        spec.policy = ReadPolicy::MaxAge { ms: 5_000 };
        let from = self.load.now();
        self.planned(from, Intent::Configure { spec }, 0).await?;
        let until = Instant::now() + Duration::from_secs(9);
        while Instant::now() < until {
            let mut behind = 0;
            for n in 0..self.cluster.instances.len() {
                if self.cluster.instances[n].process.is_none() {
                    continue;
                }
                let Ok(now) = self.cluster.report(n).await else { continue };
                behind += now.groups.iter().filter(|g| g.name == listing && g.version <= it.version).count();
            }
            if behind == 0 {
                self.in_force = Some((self.load.now() - from) / 1_000);
                return Ok(());
            }
            sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// What the primaries hold in the end.
    async fn held(&self) -> io::Result<Vec<Held>> {
        let mut out = Vec::new();
        sleep(Duration::from_millis(1_500)).await;
        for group in 0..self.cluster.deployment.groups.len() {
            let at = self.cluster.primary(group).await?;
            let process =
                self.cluster.dbs[at].process.as_ref().ok_or_else(|| io::Error::other("no primary"))?;
            let name = &self.cluster.deployment.groups[group];
            let client =
                caller::connect(process.addr("addr")?, "bed", name, "").await.map_err(io::Error::other)?;
            let text = "SELECT op, count(*) FROM movement GROUP BY op";
            for it in client.simple_query(text).await.map_err(io::Error::other)? {
                if let tokio_postgres::SimpleQueryMessage::Row(row) = it {
                    let number = |n: usize| row.get(n).and_then(|it| it.parse().ok()).unwrap_or(0);
                    out.push((group, number(0), number(1)));
                }
            }
        }
        Ok(out)
    }

    /// The longest time between two acknowledged writes around each failure.
    fn found_gaps(&self, records: &[Record]) -> Vec<Gap> {
        let mut out = Vec::new();
        for (at, act, platform_down) in &self.gaps {
            let group = match act {
                Act::Kill(n) | Act::Freeze(n) | Act::Cut(n) | Act::Switch(n) => *n,
                _ => continue,
            };
            let acked = records.iter().filter(|r| {
                let write = matches!(r.asked, Asked::Insert { .. } | Asked::Tick { .. });
                r.group == group && write && matches!(r.answer, Answer::Done { .. })
            });
            let mut times: Vec<u64> = acked.map(|r| r.to).collect();
            times.sort_unstable();
            let end = at + GAP_WINDOW;
            let near = times.windows(2).filter(|w| w[1] >= *at && w[0] <= end);
            let longest =
                near.map(|w| w[1] - w[0].max(at.saturating_sub(50_000))).max().unwrap_or(GAP_WINDOW);
            out.push(Gap { at: *at, ms: longest as f64 / 1_000.0, act: *act, platform_down: *platform_down });
        }
        out
    }
}

/// Draws the share of replica reads and the gaps over time, as SVG.
fn plot(shares: &[(u64, f64)], gaps: &[Gap]) -> String {
    let (width, height) = (900.0, 300.0);
    let end = shares.last().map_or(1, |it| it.0).max(1) as f64;
    let x = |at: u64| 50.0 + at as f64 / end * (width - 70.0);
    let y = |share: f64| height - 40.0 - share * (height - 80.0);
    let points: Vec<String> = shares.iter().map(|it| format!("{:.1},{:.1}", x(it.0), y(it.1))).collect();
    let mut out = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n<text x=\"50\" y=\"16\">share of reads on replicas (line), \
         failover gaps in ms (bars)</text>\n<polyline fill=\"none\" stroke=\"#1565c0\" points=\"{}\"/>\n",
        points.join(" ")
    );
    for it in gaps {
        let tall = it.ms / 2_000.0 * (height - 80.0);
        out.push_str(&format!(
            "<rect x=\"{:.1}\" y=\"{:.1}\" width=\"4\" height=\"{tall:.1}\" fill=\"#c62828\"/>\
             <text x=\"{:.1}\" y=\"{}\">{:?} {:.0}</text>\n",
            x(it.at),
            height - 40.0 - tall,
            x(it.at),
            height - 10.0 - (it.at / 1_000 % 3) as f64 * 11.0,
            it.act,
            it.ms
        ));
    }
    out.push_str("</svg>\n");
    out
}

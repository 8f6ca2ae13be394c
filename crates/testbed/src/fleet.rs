//! Many real instances with small stand-ins: what control costs each of them, and how soon things spread.

use {
    crate::{
        caller,
        db::DbConfig,
        launch::{self, Process, Thread},
        platform::Calls,
    },
    pondtrack_edge::{Object, operator::OperatorClient, platform::InstanceEntry},
    pondtrack_proto::{GroupSpec, InstanceStatus, MemberState, Name, ReadPolicy, ServerSpec},
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    serde::Serialize,
    std::{
        io,
        net::{Ipv4Addr, SocketAddr},
        path::PathBuf,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Zones of the fleet.
const ZONES: usize = 3;
/// Configuration changes measured for each size.
const CHANGES: usize = 5;
/// Time for anything to settle.
const LIMIT: Duration = Duration::from_secs(60);

/// What a fleet run is told to do.
#[derive(Clone, Debug)]
pub struct Options {
    /// Instances.
    pub instances: usize,
    /// Groups; none for a quarter of the instances.
    pub databases: Option<usize>,
    /// Instances killed and restarted every ten seconds while control is measured.
    pub churn: usize,
    /// Whether a zone's instances are killed at once in the end.
    pub kill_zone: bool,
    /// How peers for a push are chosen.
    pub spread: String,
    /// How long control is measured.
    pub window: Duration,
    /// How long an unchanged primary may keep a question, in milliseconds; see `pondtrackd --watch-ms`.
    pub watch: u64,
}

/// What one size gives.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Instances.
    pub instances: usize,
    /// Groups.
    pub databases: usize,
    /// How peers for a push are chosen.
    pub spread: String,
    /// Share of a core, in percent, of each instance.
    pub cpu_percent: f64,
    /// Resident memory of each instance in MB.
    pub rss_mb: f64,
    /// Datagrams sent by each instance in a second.
    pub datagrams_s: f64,
    /// Bytes of these in a second.
    pub datagram_bytes_s: f64,
    /// Questions and orders to servers by each instance in a second.
    pub server_orders_s: f64,
    /// Bytes of these and their answers in a second.
    pub server_bytes_s: f64,
    /// Calls of the platform by the whole fleet in a second: get, list, put, watch, instances.
    pub platform_calls_s: [f64; 5],
    /// Time until a configuration change is in force everywhere, in ms: median, highest.
    pub config_ms: [f64; 2],
    /// Time until a killed instance is known to be gone everywhere, in ms.
    pub death_known_ms: Option<u64>,
    /// Time until its groups answer through an instance of its zone again, in ms.
    pub served_again_ms: Option<u64>,
    /// Share of placements that one join moved.
    pub join_moved: f64,
    /// Time until a lost zone is known and all groups answer again, in ms.
    pub zone_ms: Option<u64>,
}

struct Member {
    name: Name,
    zone: usize,
    process: Option<Process>,
}

struct Fleet {
    platform: Process,
    _dbs: Vec<Thread>,
    members: Vec<Member>,
    groups: Vec<Name>,
    folder: PathBuf,
    http: reqwest::Client,
    spread: String,
    watch: u64,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn zone_name(zone: usize) -> &'static str {
    ["a", "b", "c"][zone % ZONES]
}

/// Runs one size.
pub async fn run(options: &Options) -> io::Result<Figures> {
    let databases = options.databases.unwrap_or((options.instances / 4).max(2));
    let mut fleet = Fleet::start(options, databases).await?;
    let mut out = Figures {
        instances: options.instances,
        databases,
        spread: options.spread.clone(),
        ..Figures::default()
    };
    fleet.control(options, &mut out).await?;
    out.config_ms = fleet.changes().await?;
    out.join_moved = fleet.join().await?;
    fleet.death(&mut out).await?;
    if options.kill_zone {
        out.zone_ms = fleet.lose_zone().await?;
    }
    Ok(out)
}

impl Fleet {
    async fn start(options: &Options, databases: usize) -> io::Result<Fleet> {
        let folder = std::env::temp_dir().join(format!("testbed-{}", uuid::Uuid::new_v4().simple()));
        std::fs::create_dir_all(&folder)?;
        let args = ["platform", "--listen", "127.0.0.1:0"].map(str::to_owned);
        let platform = Process::spawn(&args, None).await?;
        let http = reqwest::Client::builder().no_proxy().build().map_err(io::Error::other)?;
        let mut it = Fleet {
            platform,
            _dbs: Vec::new(),
            members: Vec::new(),
            groups: Vec::new(),
            folder,
            http,
            spread: options.spread.clone(),
            watch: options.watch,
        };
        for n in 0..databases {
            it.add_group(n).await?;
        }
        for n in 0..options.instances {
            it.add_member(n).await?;
            if n % 16 == 15 {
                it.tell_platform().await?;
            }
        }
        it.tell_platform().await?;
        it.settled().await?;
        Ok(it)
    }

    fn url(&self) -> io::Result<String> {
        Ok(format!("http://{}", self.platform.addr("addr")?))
    }

    async fn add_group(&mut self, n: usize) -> io::Result<()> {
        let name = Name::from(format!("db{n:03}"));
        let mut servers: Vec<ServerSpec> = Vec::new();
        for zone in 0..ZONES {
            let config = DbConfig {
                listen: SocketAddr::from(([127, 0, 0, 1], 0)),
                bind: Ipv4Addr::UNSPECIFIED.into(),
                data: self.folder.join(format!("{name}-{zone}")),
                limit: 40,
                opening: Duration::from_millis(1),
                primary: zone == 0,
                follow: servers.first().map(|it| it.addr),
            };
            let (thread, addr) = launch::db_thread(config)?;
            self._dbs.push(thread);
            let server = format!("{name}-{zone}");
            servers.push(ServerSpec {
                name: server.into(),
                addr,
                zone: zone_name(zone).into(),
                draining: false,
            });
        }
        let spec = GroupSpec { name: name.clone(), servers, limit: 40, policy: ReadPolicy::Current };
        let url = format!("{}/objects/group/{name}?expected=0", self.url()?);
        self.http.put(url).json(&spec).send().await.map_err(io::Error::other)?;
        self.groups.push(name);
        Ok(())
    }

    async fn add_member(&mut self, n: usize) -> io::Result<()> {
        let zone = n % ZONES;
        let any = "127.0.0.1:0".to_owned();
        let name = Name::from(format!("p{n:03}"));
        let mut args: Vec<String> = vec!["instance".to_owned(), "--plaintext".to_owned()];
        let mut flag = |name: &str, value: String| args.extend([format!("--{name}"), value]);
        flag("name", name.to_string());
        flag("zone", zone_name(zone).to_owned());
        flag("listen", any.clone());
        flag("peer-listen", any.clone());
        flag("control-listen", any);
        flag("platform", self.url()?);
        flag("spread", self.spread.clone());
        flag("watch-ms", self.watch.to_string());
        flag("silence-ms", (self.watch * 3).to_string());
        flag("log", "error".to_owned());
        for it in self.members.iter().filter_map(|it| it.process.as_ref()).take(2) {
            flag("seed", it.addr("peers")?.to_string());
        }
        let process = Some(Process::spawn(&args, None).await?);
        match self.members.get_mut(n) {
            Some(it) => it.process = process,
            None => self.members.push(Member { name, zone, process }),
        }
        Ok(())
    }

    async fn tell_platform(&self) -> io::Result<()> {
        let mut list = Vec::new();
        for it in &self.members {
            let Some(process) = &it.process else { continue };
            let zone = zone_name(it.zone).into();
            let addr = process.addr("peers")?;
            list.push(InstanceEntry { name: it.name.clone(), addr, zone, state: MemberState::Alive });
        }
        let url = format!("{}/instances", self.url()?);
        self.http.put(url).json(&list).send().await.map(drop).map_err(io::Error::other)
    }

    async fn report(&self, n: usize) -> io::Result<InstanceStatus> {
        let process = self.members[n].process.as_ref().ok_or_else(|| io::Error::other("it is down"))?;
        let url = format!("http://{}", process.addr("control")?);
        let client =
            jsonrpsee::http_client::HttpClientBuilder::default().build(url).map_err(io::Error::other)?;
        client.report().await.map_err(io::Error::other)
    }

    fn up(&self) -> Vec<usize> {
        (0..self.members.len()).filter(|n| self.members[*n].process.is_some()).collect()
    }

    async fn reports(&self) -> Vec<InstanceStatus> {
        let all = self.up().into_iter().map(|n| self.report(n));
        futures::future::join_all(all).await.into_iter().flatten().collect()
    }

    async fn until(&self, so: impl Fn(&[InstanceStatus]) -> bool) -> io::Result<Duration> {
        let from = Instant::now();
        while from.elapsed() < LIMIT {
            if so(&self.reports().await) {
                return Ok(from.elapsed());
            }
            sleep(Duration::from_millis(20)).await;
        }
        Err(io::Error::other("the fleet did not settle in time"))
    }

    async fn settled(&self) -> io::Result<Duration> {
        let (n, groups) = (self.up().len(), self.groups.len());
        self.until(|all| {
            let one = |it: &InstanceStatus| {
                let alive = it.members.iter().filter(|m| m.state == MemberState::Alive).count();
                let led = |g: &pondtrack_proto::GroupStatus| g.servers.iter().any(|s| s.role == "primary");
                alive == n
                    && it.groups.len() == groups
                    && it.groups.iter().all(|g| g.servers.is_empty() || led(g))
            };
            all.len() == n && all.iter().all(one)
        })
        .await
    }

    fn cpu(&self) -> f64 {
        let ticks = |it: &Member| it.process.as_ref().and_then(|p| cpu_seconds(p.id()?)).unwrap_or(0.0);
        self.members.iter().map(ticks).sum()
    }

    async fn calls(&self) -> io::Result<Calls> {
        let it = self.http.get(format!("{}/calls", self.url()?)).send().await.map_err(io::Error::other)?;
        it.json().await.map_err(io::Error::other)
    }

    /// What control costs while no caller is there.
    async fn control(&mut self, options: &Options, out: &mut Figures) -> io::Result<()> {
        sleep(Duration::from_secs(5)).await;
        let counters = |all: &[InstanceStatus], name: &str| -> f64 {
            let of = |it: &InstanceStatus| it.counters.iter().find(|c| c.0 == name).map_or(0, |c| c.1);
            all.iter().map(of).sum::<u64>() as f64
        };
        let names = ["datagrams_sent", "datagram_bytes_sent", "server_orders", "server_order_bytes"];
        let before = self.reports().await;
        let calls = self.calls().await?;
        let (cpu, from) = (self.cpu(), Instant::now());
        let mut rng = Pcg64Mcg::seed_from_u64(7);
        while from.elapsed() < options.window {
            sleep(Duration::from_secs(10).min(options.window - from.elapsed().min(options.window))).await;
            for _ in 0..options.churn {
                let n = rng.random_range(1..self.members.len());
                if let Some(mut it) = self.members[n].process.take() {
                    it.kill().await;
                }
                self.add_member(n).await?;
            }
        }
        let seconds = from.elapsed().as_secs_f64();
        let n = self.up().len() as f64;
        out.cpu_percent = (self.cpu() - cpu) / seconds / n * 100.0;
        let after = self.reports().await;
        let later = self.calls().await?;
        let rate = |name| (counters(&after, name) - counters(&before, name)) / seconds / n;
        out.datagrams_s = rate(names[0]);
        out.datagram_bytes_s = rate(names[1]);
        out.server_orders_s = rate(names[2]);
        out.server_bytes_s = rate(names[3]);
        let per = |a: u64, b: u64| (b - a) as f64 / seconds;
        out.platform_calls_s = [
            per(calls.get, later.get),
            per(calls.list, later.list),
            per(calls.put, later.put),
            per(calls.watch, later.watch),
            per(calls.instances, later.instances),
        ];
        let rss = |it: &Member| it.process.as_ref().and_then(|p| rss_mb(p.id()?)).unwrap_or(0.0);
        out.rss_mb = self.members.iter().map(rss).sum::<f64>() / n;
        if options.churn > 0 {
            self.tell_platform().await?;
            self.settled().await?;
        }
        Ok(())
    }

    /// Changes a group's policy a few times; hands back the median and the highest time until in force.
    async fn changes(&self) -> io::Result<[f64; 2]> {
        let mut times = Vec::new();
        for n in 0..CHANGES {
            let name = &self.groups[n % self.groups.len()];
            let url = format!("{}/objects/group/{name}", self.url()?);
            let it = object(self.http.get(&url)).await?;
            let mut spec: GroupSpec = it.read().map_err(io::Error::other)?;
            spec.policy = ReadPolicy::MaxAge { ms: 1_000 + n as u32 };
            let put = format!("{url}?expected={}", it.version);
            let now = object(self.http.put(put).json(&spec)).await?;
            let up = self.up().len();
            let took = self
                .until(|all| {
                    let has = |s: &InstanceStatus| {
                        s.groups.iter().any(|g| g.name == *name && g.version >= now.version)
                    };
                    all.len() == up && all.iter().all(has)
                })
                .await?;
            times.push(took.as_secs_f64() * 1_000.0);
        }
        times.sort_by(f64::total_cmp);
        Ok([times[times.len() / 2], times[times.len() - 1]])
    }

    /// Adds an instance; hands back the share of placements that moved.
    async fn join(&mut self) -> io::Result<f64> {
        let homes = |it: &InstanceStatus| -> Vec<(Name, Name)> {
            it.groups.iter().flat_map(|g| g.homes.iter().map(|h| (g.name.clone(), h.clone()))).collect()
        };
        let before = homes(&self.report(0).await?);
        let n = self.members.len();
        self.add_member(n).await?;
        self.tell_platform().await?;
        self.settled().await?;
        let after = homes(&self.report(0).await?);
        let moved = after.iter().filter(|it| !before.contains(it)).count();
        Ok(moved as f64 / before.len().max(1) as f64)
    }

    /// Kills a home; looks when everyone knows and when its groups answer again.
    async fn death(&mut self, out: &mut Figures) -> io::Result<()> {
        let report = self.report(0).await?;
        let Some(group) = report.groups.iter().find(|g| g.homes.iter().any(|h| *h != "p000")) else {
            return Ok(());
        };
        let Some(victim) = group.homes.iter().find(|h| **h != "p000").cloned() else { return Ok(()) };
        let group = group.name.clone();
        let at = self.members.iter().position(|it| it.name == victim).unwrap_or(1);
        let zone = self.members[at].zone;
        if let Some(mut it) = self.members[at].process.take() {
            it.kill().await;
        }
        let from = Instant::now();
        let neighbour = self.up().into_iter().find(|n| self.members[*n].zone == zone);
        if let Some(n) = neighbour {
            out.served_again_ms = self.answers(n, &group, from).await;
        }
        self.until(|all| {
            let gone = |m: &pondtrack_proto::MemberStatus| m.name != victim || m.state == MemberState::Dead;
            all.iter().all(|it| it.members.iter().all(gone))
        })
        .await?;
        out.death_known_ms = Some(from.elapsed().as_millis() as u64);
        Ok(())
    }

    /// Milliseconds since `from` until a group answers through an instance.
    async fn answers(&self, n: usize, group: &Name, from: Instant) -> Option<u64> {
        let addr = self.members[n].process.as_ref()?.addr("callers").ok()?;
        while from.elapsed() < LIMIT {
            if let Ok(client) = caller::connect(addr, "fleet", group, "").await
                && client.simple_query("SELECT 1").await.is_ok()
            {
                return Some(from.elapsed().as_millis() as u64);
            }
        }
        None
    }

    /// Kills a zone's instances at once; the time until everyone knows and every group answers.
    async fn lose_zone(&mut self) -> io::Result<Option<u64>> {
        let lost: Vec<usize> = self.up().into_iter().filter(|n| self.members[*n].zone == 1).collect();
        for n in &lost {
            if let Some(it) = &self.members[*n].process {
                it.signal(libc::SIGKILL);
            }
        }
        for n in lost {
            self.members[n].process.take();
        }
        let from = Instant::now();
        let n = self.up().len();
        self.until(|all| {
            let alive =
                |it: &InstanceStatus| it.members.iter().filter(|m| m.state == MemberState::Alive).count();
            all.iter().all(|it| alive(it) == n)
        })
        .await?;
        for group in &self.groups {
            if self.answers(0, group, Instant::now()).await.is_none() {
                return Ok(None);
            }
        }
        Ok(Some(from.elapsed().as_millis() as u64))
    }
}

/// Sends a request to the platform and reads the object it answers with.
async fn object(request: reqwest::RequestBuilder) -> io::Result<Object> {
    let answer = request.send().await.map_err(io::Error::other)?;
    answer.json().await.map_err(io::Error::other)
}

/// Processor time of a process so far, in seconds.
pub fn cpu_seconds(pid: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let rest = text.rsplit_once(')')?.1;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    // Linux counts in hundredths of a second for user programs.
    Some(ticks / 100.0)
}

/// Resident memory of a process in MB.
pub fn rss_mb(pid: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find(|it| it.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse::<f64>().ok().map(|it| it / 1_024.0)
}

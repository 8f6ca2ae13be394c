//! One instance's ceiling: statements a second of one core's time, and memory of an idle session, against
//! a plain relay of bytes in the same run.

use {
    crate::{
        caller,
        db::DbConfig,
        fleet::{cpu_seconds, rss_mb},
        launch::{self, Process, Thread},
    },
    pondtrack_edge::{operator::OperatorClient, platform::InstanceEntry},
    pondtrack_proto::{GroupSpec, MemberState, Name, ReadPolicy, ServerSpec},
    serde::Serialize,
    std::{
        io,
        net::{Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Sessions that send statements at the same time.
const BUSY: usize = 24;
/// Idle sessions opened to weigh one.
const IDLE: usize = 2_000;
/// How long statements are sent.
const WINDOW: Duration = Duration::from_secs(5);

/// What is printed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Statements a second that the run reached, through one instance that is entry and home.
    pub statements_s: f64,
    /// Statements per second of processor time of that instance.
    pub statements_core: f64,
    /// The same of an instance that is entry only.
    pub entry_core: f64,
    /// The same of an instance that is home only.
    pub home_core: f64,
    /// The same of the plain relay.
    pub relay_core: f64,
    /// Processor time of a statement against the plain relay's.
    pub ratio: f64,
    /// Memory of an idle session in KB.
    pub idle_session_kb: f64,
    /// The same at the plain relay.
    pub relay_idle_kb: f64,
}

/// Relays bytes between callers and a server, for comparison.
pub async fn pipe(listen: SocketAddr, target: SocketAddr, ready: impl FnOnce(SocketAddr)) -> io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    ready(listener.local_addr()?);
    loop {
        let (mut near, _) = listener.accept().await?;
        near.set_nodelay(true)?;
        tokio::spawn(async move {
            if let Ok(mut far) = TcpStream::connect(target).await {
                let _ = far.set_nodelay(true);
                let _ = tokio::io::copy_bidirectional(&mut near, &mut far).await;
            }
        });
    }
}

struct Bed {
    platform: Process,
    _dbs: Vec<Thread>,
    servers: Vec<ServerSpec>,
    folder: PathBuf,
    http: reqwest::Client,
}

impl Drop for Bed {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Bed {
    async fn start() -> io::Result<Bed> {
        let folder = std::env::temp_dir().join(format!("testbed-{}", uuid::Uuid::new_v4().simple()));
        let args = ["platform", "--listen", "127.0.0.1:0"].map(str::to_owned);
        let platform = Process::spawn(&args, None).await?;
        let http = reqwest::Client::builder().no_proxy().build().map_err(io::Error::other)?;
        let mut it = Bed { platform, _dbs: Vec::new(), servers: Vec::new(), folder, http };
        for n in 0..3 {
            let config = db_config(&it.folder, n, it.servers.first().map(|s| s.addr));
            let (thread, addr) = launch::db_thread(config)?;
            it._dbs.push(thread);
            let name = Name::from(format!("parts-{n}"));
            it.servers.push(ServerSpec { name, addr, zone: "b".into(), draining: false });
        }
        let spec = GroupSpec {
            name: "parts".into(),
            servers: it.servers.clone(),
            limit: 200,
            policy: ReadPolicy::Current,
        };
        let url = format!("http://{}/objects/group/parts?expected=0", it.platform.addr("addr")?);
        it.http.put(url).json(&spec).send().await.map_err(io::Error::other)?;
        Ok(it)
    }

    async fn instance(&self, name: &str, zone: &str) -> io::Result<Process> {
        let any = "127.0.0.1:0";
        let url = format!("http://{}", self.platform.addr("addr")?);
        let args = [
            "instance",
            "--plaintext",
            "--name",
            name,
            "--zone",
            zone,
            "--listen",
            any,
            "--peer-listen",
            any,
            "--control-listen",
            any,
            "--platform",
            &url,
            "--log",
            "error",
            "--max-caller-sessions",
            "10000",
        ];
        Process::spawn(&args.map(str::to_owned), None).await
    }

    async fn tell(&self, list: &[(&str, &str, &Process)]) -> io::Result<()> {
        let mut all = Vec::new();
        for (name, zone, process) in list {
            let addr = process.addr("peers")?;
            all.push(InstanceEntry {
                name: (*name).into(),
                addr,
                zone: (*zone).into(),
                state: MemberState::Alive,
            });
        }
        let url = format!("http://{}/instances", self.platform.addr("addr")?);
        self.http.put(url).json(&all).send().await.map(drop).map_err(io::Error::other)
    }
}

fn db_config(folder: &Path, n: usize, follow: Option<SocketAddr>) -> DbConfig {
    DbConfig {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        bind: Ipv4Addr::UNSPECIFIED.into(),
        data: folder.join(format!("parts-{n}")),
        limit: 2_300,
        opening: Duration::from_millis(1),
        primary: n == 0,
        follow,
    }
}

/// Waits until an instance answers.
async fn answering(addr: SocketAddr) -> io::Result<()> {
    for _ in 0..200 {
        if let Ok(client) = caller::connect(addr, "setup", "parts", "").await
            && client.simple_query("SELECT 1").await.is_ok()
        {
            return Ok(());
        }
        sleep(Duration::from_millis(50)).await;
    }
    Err(io::Error::other("the instance doesn't answer"))
}

/// Sends statements for a while; hands back how many were answered.
async fn send(addr: SocketAddr) -> io::Result<(f64, f64)> {
    let mut tasks = Vec::new();
    let from = Instant::now();
    for n in 0..BUSY {
        tasks.push(tokio::spawn(async move {
            let Ok(client) = caller::connect(addr, &format!("caller-{n}"), "parts", "").await else {
                return 0;
            };
            let mut done = 0u64;
            while from.elapsed() < WINDOW {
                done += u64::from(
                    client.simple_query("SELECT qty FROM stock WHERE part = 'valve'").await.is_ok(),
                );
            }
            done
        }));
    }
    let mut sum = 0;
    for it in tasks {
        sum += it.await.unwrap_or(0);
    }
    Ok((sum as f64, from.elapsed().as_secs_f64()))
}

fn cpu(process: &Process) -> f64 {
    process.id().and_then(cpu_seconds).unwrap_or(0.0)
}

/// Memory of each of many idle sessions, in KB.
async fn idle(addr: SocketAddr, process: &Process) -> io::Result<f64> {
    let rss = || process.id().and_then(rss_mb).unwrap_or(0.0) * 1_024.0;
    let before = rss();
    let mut sessions = Vec::with_capacity(IDLE);
    for n in 0..IDLE {
        let it = caller::connect(addr, &format!("idle-{}", n % 7), "parts", "").await;
        sessions.push(it.map_err(io::Error::other)?);
    }
    sleep(Duration::from_millis(500)).await;
    let out = (rss() - before) / IDLE as f64;
    drop(sessions);
    Ok(out)
}

/// Runs everything once.
pub async fn run() -> io::Result<Figures> {
    let bed = Bed::start().await?;
    let mut out = Figures::default();
    let whole = bed.instance("whole", "b").await?;
    bed.tell(&[("whole", "b", &whole)]).await?;
    let addr = whole.addr("callers")?;
    answering(addr).await?;
    let setup = caller::connect(addr, "setup", "parts", "").await.map_err(io::Error::other)?;
    for text in
        ["CREATE TABLE stock (part TEXT PRIMARY KEY, qty BIGINT)", "INSERT INTO stock VALUES ('valve', 1)"]
    {
        setup.simple_query(text).await.map_err(io::Error::other)?;
    }
    out.idle_session_kb = idle(addr, &whole).await?;
    let from = cpu(&whole);
    let (sent, seconds) = send(addr).await?;
    out.statements_s = sent / seconds;
    out.statements_core = sent / (cpu(&whole) - from);
    relay(&bed, &mut out).await?;
    out.ratio = out.relay_core / out.statements_core;
    drop(whole);
    apart(&bed, &mut out).await?;
    Ok(out)
}

async fn relay(bed: &Bed, out: &mut Figures) -> io::Result<()> {
    let target = bed.servers[0].addr.to_string();
    let args = ["pipe", "--listen", "127.0.0.1:0", "--target", &target].map(str::to_owned);
    let process = Process::spawn(&args, None).await?;
    let addr = process.addr("addr")?;
    out.relay_idle_kb = idle(addr, &process).await?;
    let from = cpu(&process);
    let (sent, _) = send(addr).await?;
    out.relay_core = sent / (cpu(&process) - from);
    Ok(())
}

/// Entry and home as two instances: the servers' zone has the home, the other zone the entry.
async fn apart(bed: &Bed, out: &mut Figures) -> io::Result<()> {
    let entry = bed.instance("entry", "a").await?;
    let home = bed.instance("home", "b").await?;
    bed.tell(&[("entry", "a", &entry), ("home", "b", &home)]).await?;
    let addr = entry.addr("callers")?;
    let url = format!("http://{}", entry.addr("control")?);
    let client = jsonrpsee::http_client::HttpClientBuilder::default().build(url).map_err(io::Error::other)?;
    for _ in 0..200 {
        let it = client.report().await.map_err(io::Error::other)?;
        if it.groups.iter().any(|g| g.homes.len() == 1 && g.homes[0] == "home") {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    answering(addr).await?;
    let from = (cpu(&entry), cpu(&home));
    let (sent, _) = send(addr).await?;
    out.entry_core = sent / (cpu(&entry) - from.0);
    out.home_core = sent / (cpu(&home) - from.1);
    Ok(())
}

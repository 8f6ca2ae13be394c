//! A first look, in one process: three servers, three instances, storekeepers, a lost primary.

use {
    crate::{
        caller,
        db::DbConfig,
        launch::{self, Thread},
    },
    pondtrack_edge::{operator::OperatorClient, platform::InstanceEntry},
    pondtrack_proto::{GroupSpec, Intent, MemberState, Name, PlanState, ReadPolicy, ServerSpec},
    pondtrackd::Settings,
    std::{
        io,
        net::{Ipv4Addr, SocketAddr},
        path::Path,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
    tokio_postgres::Client,
};

/// The group of the demonstration.
const GROUP: &str = "parts";
/// Valves on the shelf at the start.
const VALVES: u32 = 500;
/// Movements posted before the primary is killed, and after.
const MOVEMENTS: u32 = 40;

/// Checks, said as they are made.
#[derive(Debug, Default)]
pub struct Checks {
    passed: u32,
    failed: u32,
}

impl Checks {
    /// Says and counts a check.
    pub fn check(&mut self, ok: bool, text: &str) {
        let word = if ok { "ok  " } else { "FAIL" };
        println!("  {word} {text}");
        match ok {
            true => self.passed += 1,
            false => self.failed += 1,
        }
    }

    /// Prints the closing line; hands back whether all checks passed.
    pub fn close(&self, name: &str) -> bool {
        println!("{name}: {} passed, {} failed", self.passed, self.failed);
        self.failed == 0
    }
}

struct Stage {
    platform: String,
    _platform: Thread,
    dbs: Vec<Option<Thread>>,
    names: Vec<Name>,
    configs: Vec<DbConfig>,
    addrs: Vec<SocketAddr>,
    instances: Vec<(Thread, pondtrackd::Ready, tokio::sync::oneshot::Sender<()>)>,
}

/// Runs the demonstration; `stay` keeps it up afterwards. Hands back whether all checks passed.
pub async fn run(stay: bool) -> io::Result<bool> {
    let folder = std::env::temp_dir().join(format!("pondtrack-demo-{}", uuid::Uuid::new_v4().simple()));
    let mut checks = Checks::default();
    let mut stage = begin(&folder).await?;
    if let Err(e) = story(&mut stage, &mut checks).await {
        checks.check(false, &format!("the work goes on: {e}"));
        for it in operator(&stage, 0)?.explain(None).await.unwrap_or_default() {
            println!("    {} {} {}: {} ({})", it.at_ms, it.instance, it.subject, it.what, it.evidence);
        }
    }
    let ok = checks.close("demo");
    if stay {
        let it = &stage.instances[0].1;
        println!(
            "it stays up; callers connect to: postgresql://storekeeper@{}/{GROUP}?sslmode=disable",
            it.callers
        );
        println!("operators: pondtrack --at {} status", it.control);
        println!("end it with control-c");
        tokio::signal::ctrl_c().await?;
    }
    drop(stage);
    let _ = std::fs::remove_dir_all(&folder);
    Ok(ok)
}

async fn begin(folder: &Path) -> io::Result<Stage> {
    println!("starting a platform, three servers and three instances, all in this process");
    let (platform_thread, platform_addr) = launch::platform_thread()?;
    let platform = format!("http://{platform_addr}");
    let mut stage = Stage {
        platform: platform.clone(),
        _platform: platform_thread,
        dbs: Vec::new(),
        names: Vec::new(),
        configs: Vec::new(),
        addrs: Vec::new(),
        instances: Vec::new(),
    };
    let mut servers = Vec::new();
    for (n, zone) in ["cm-hq", "lp-depot", "cr-depot"].into_iter().enumerate() {
        let config = DbConfig {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            bind: Ipv4Addr::UNSPECIFIED.into(),
            data: folder.join(format!("db{n}")),
            limit: 25,
            opening: Duration::from_millis(10),
            primary: n == 0,
            follow: stage.addrs.first().copied(),
        };
        let (thread, addr) = launch::db_thread(config.clone())?;
        let name = Name::from(format!("db{n}"));
        servers.push(ServerSpec { name: name.clone(), addr, zone: zone.into(), draining: false });
        stage.dbs.push(Some(thread));
        stage.names.push(name);
        stage.configs.push(DbConfig { listen: addr, ..config });
        stage.addrs.push(addr);
    }
    let spec = GroupSpec { name: GROUP.into(), servers, limit: 25, policy: ReadPolicy::Current };
    let http = reqwest::Client::builder().no_proxy().build().map_err(io::Error::other)?;
    let url = format!("{platform}/objects/group/{GROUP}?expected=0");
    http.put(url).json(&spec).send().await.map_err(io::Error::other)?;
    let mut listed = Vec::new();
    for (n, zone) in ["cm-hq", "lp-depot", "cr-depot"].into_iter().enumerate() {
        let any = "127.0.0.1:0";
        let name = format!("p{n}");
        let args = [
            "--name",
            &name,
            "--zone",
            zone,
            "--listen",
            any,
            "--peer-listen",
            any,
            "--control-listen",
            any,
            "--platform",
            &platform,
            "--plaintext",
            "--log",
            "warn",
        ];
        let mut settings = Settings::from_args(&args).map_err(io::Error::other)?;
        settings.seed = listed.iter().map(|it: &InstanceEntry| it.addr).collect();
        settings.probe_ms = 300;
        let (thread, ready, stop) = launch::instance_thread(settings)?;
        listed.push(InstanceEntry {
            name: name.into(),
            addr: ready.peers,
            zone: zone.into(),
            state: MemberState::Alive,
        });
        stage.instances.push((thread, ready, stop));
    }
    let url = format!("{platform}/instances");
    http.put(url).json(&listed).send().await.map_err(io::Error::other)?;
    wait_ready(&stage).await?;
    println!("platform at {}; instances for callers at:", stage.platform);
    for (n, it) in stage.instances.iter().enumerate() {
        println!("  p{n}  {}", it.1.callers);
    }
    Ok(stage)
}

fn operator(stage: &Stage, n: usize) -> io::Result<jsonrpsee::http_client::HttpClient> {
    let url = format!("http://{}", stage.instances[n].1.control);
    jsonrpsee::http_client::HttpClientBuilder::default().build(url).map_err(io::Error::other)
}

/// Waits until every instance knows the group, all members and a primary.
async fn wait_ready(stage: &Stage) -> io::Result<()> {
    for _ in 0..200 {
        let mut ready = 0;
        for n in 0..stage.instances.len() {
            let Ok(all) = operator(stage, n)?.status().await else { continue };
            let own = all.iter().find(|it| it.name == format!("p{n}"));
            let good = own.is_some_and(|it| {
                let members = it.members.iter().filter(|m| m.state == MemberState::Alive).count();
                let primary =
                    |g: &pondtrack_proto::GroupStatus| g.servers.iter().any(|s| s.role == "primary");
                members == stage.instances.len() && it.groups.iter().any(|g| primary(g) && g.grants > 0)
            });
            ready += usize::from(good);
        }
        if ready == stage.instances.len() {
            return Ok(());
        }
        sleep(Duration::from_millis(50)).await;
    }
    Err(io::Error::other("the instances did not find each other in time"))
}

async fn session(stage: &Stage, n: usize) -> io::Result<Client> {
    let addr = stage.instances[n].1.callers;
    caller::connect(addr, "storekeeper", GROUP, "").await.map_err(io::Error::other)
}

async fn ask(client: &Client, text: &str) -> io::Result<String> {
    let it = caller::one(client, text).await.map_err(|e| io::Error::other(caller::describe(&e)))?;
    Ok(it.unwrap_or_default())
}

async fn story(stage: &mut Stage, checks: &mut Checks) -> io::Result<()> {
    let hq = session(stage, 0).await?;
    let depot = session(stage, 1).await?;
    println!("storekeepers post movements through p0 and look them up through p1");
    ask(&hq, "CREATE TABLE stock (part TEXT PRIMARY KEY, qty BIGINT NOT NULL)").await?;
    ask(&hq, "CREATE TABLE movement (id BIGINT PRIMARY KEY, part TEXT NOT NULL, qty BIGINT NOT NULL)")
        .await?;
    ask(&hq, &format!("INSERT INTO stock VALUES ('valve-dn50', {VALVES})")).await?;
    for id in 0..MOVEMENTS {
        post(&hq, id).await?;
    }
    let seen = ask(&depot, "SELECT qty FROM stock WHERE part = 'valve-dn50'").await?;
    checks.check(seen == (VALVES - MOVEMENTS).to_string(), "the other instance reads what was just written");
    let own = depot
        .query_one("SELECT qty FROM stock WHERE part = $1", &[&"valve-dn50"])
        .await
        .map(|row| row.get::<_, i64>(0))
        .map_err(|e| io::Error::other(caller::describe(&e)))?;
    checks.check(own == i64::from(VALVES - MOVEMENTS), "prepared statements give the same answer");
    lost_primary(stage, checks, &hq).await?;
    repeated_request(checks, &hq).await?;
    drained(stage, checks, &hq).await?;
    let error = caller::connect(stage.instances[0].1.callers, "storekeeper", "pumps", "").await.err();
    checks.check(
        error.is_some_and(|it| it.starts_with("3D000")),
        "an unknown group is refused with a clear error",
    );
    Ok(())
}

async fn post(client: &Client, id: u32) -> io::Result<()> {
    ask(client, "BEGIN").await?;
    ask(client, &format!("INSERT INTO movement VALUES ({id}, 'valve-dn50', -1)")).await?;
    ask(client, "UPDATE stock SET qty = qty - 1 WHERE part = 'valve-dn50'").await?;
    ask(client, "COMMIT").await.map(drop)
}

async fn lost_primary(stage: &mut Stage, checks: &mut Checks, hq: &Client) -> io::Result<()> {
    println!("the primary db0 is killed");
    if let Some(it) = stage.dbs[0].take() {
        it.kill();
    }
    let began = Instant::now();
    let written = ask(hq, "UPDATE stock SET qty = qty + 0 WHERE part = 'valve-dn50'").await;
    let gap = began.elapsed();
    println!("the next write was acknowledged {} ms after the kill", gap.as_millis());
    checks.check(written.is_ok(), "the same session writes again, without an error");
    for id in MOVEMENTS..MOVEMENTS * 2 {
        post(hq, id).await?;
    }
    let (late, text) = (session(stage, 2).await?, "SELECT qty FROM stock WHERE part = 'valve-dn50'");
    let seen = ask(&late, text).await?;
    checks.check(seen == (VALVES - 2 * MOVEMENTS).to_string(), "no movement was lost or doubled");
    let found = ask(&late, "SELECT count(*) FROM movement").await?;
    checks.check(found == (2 * MOVEMENTS).to_string(), "every acknowledged movement is there");
    println!("db0 comes back and rejoins as a replica");
    let (thread, _) = launch::db_thread(stage.configs[0].clone())?;
    stage.dbs[0] = Some(thread);
    let back = until(stage, |it| it.iter().any(|s| s.0 == "db0" && s.1 == "replica")).await?;
    checks.check(back, "the old primary follows the new one");
    let why = operator(stage, 0)?.explain(Some(GROUP.into())).await.map_err(io::Error::other)?;
    let told = why.iter().find(|it| it.what.contains("given up"));
    if let Some(it) = told {
        println!("explained: {} ({})", it.what, it.evidence);
    }
    checks.check(told.is_some(), "the change of primary is explained with its evidence");
    Ok(())
}

async fn repeated_request(checks: &mut Checks, hq: &Client) -> io::Result<()> {
    println!("a desk submits the same keyed order twice");
    let key = uuid::Uuid::now_v7();
    for _ in 0..2 {
        ask(hq, &format!("SET pondtrack.request_key = '{key}'")).await?;
        ask(hq, "INSERT INTO movement VALUES (900, 'valve-dn50', -1)").await?;
    }
    let found = ask(hq, "SELECT count(*) FROM movement WHERE id = 900").await?;
    checks.check(found == "1", "it ran once, and both were answered");
    Ok(())
}

async fn drained(stage: &Stage, checks: &mut Checks, hq: &Client) -> io::Result<()> {
    let operator = operator(stage, 1)?;
    let from =
        roles(stage).await?.into_iter().find(|it| it.1 == "primary").map(|it| it.0).unwrap_or_default();
    println!("an operator drains the primary {from}; the plan says:");
    let intent = Intent::Drain { group: GROUP.into(), server: from.as_str().into() };
    let plan = operator.propose("demo".into(), intent).await.map_err(io::Error::other)?;
    for it in &plan.effects {
        println!("    {it}");
    }
    let mut plan = operator.confirm("demo".into(), plan.name).await.map_err(io::Error::other)?;
    let mut wrote = 0;
    for id in 1_000..1_200 {
        if plan.state != PlanState::Running {
            break;
        }
        wrote += u32::from(post(hq, id).await.is_ok());
        let all = operator.plans(Some(plan.name.clone())).await.map_err(io::Error::other)?;
        plan = all.into_iter().next().unwrap_or(plan);
        sleep(Duration::from_millis(10)).await;
    }
    for it in &plan.log {
        println!("    {it}");
    }
    checks.check(plan.state == PlanState::Done, "the plan is done");
    let moved = until(stage, |it| it.iter().any(|s| s.0 != from && s.1 == "primary")).await?;
    checks.check(moved, "another server is the primary");
    if !moved {
        println!("{:?}", operator.status().await);
    }
    let found = ask(hq, "SELECT count(*) FROM movement WHERE id >= 1000").await?;
    checks.check(found == wrote.to_string() && wrote > 0, "all movements posted meanwhile are there");
    Ok(())
}

/// The servers with their roles, as their homes see them.
async fn roles(stage: &Stage) -> io::Result<Vec<(String, String)>> {
    let all = operator(stage, 1)?.status().await.map_err(io::Error::other)?;
    let groups = all.iter().flat_map(|it| &it.groups).find(|g| !g.servers.is_empty());
    let servers = groups.map(|g| g.servers.iter().map(|s| (s.name.to_string(), s.role.clone())).collect());
    Ok(servers.unwrap_or_default())
}

async fn until(stage: &Stage, so: impl Fn(&[(String, String)]) -> bool) -> io::Result<bool> {
    for _ in 0..100 {
        if so(&roles(stage).await?) {
            return Ok(true);
        }
        sleep(Duration::from_millis(50)).await;
    }
    Ok(false)
}

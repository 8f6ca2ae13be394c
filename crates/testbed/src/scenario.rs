//! The small test language: scripts that start separate processes, let them fail, and look at the answers.
//!
//! The scripts are read by `goldenscript`. `docs/SCENARIOS.md` lists the commands.

use {
    crate::{
        caller,
        cluster::{Cluster, Deployment},
        platform::Trouble,
        relay::Part,
    },
    goldenscript::{ArgumentConsumer, Command, Context, Runner},
    pondtrack_proto::{Intent, MemberState, PlanState, ReadPolicy},
    std::{
        error::Error,
        time::{Duration, Instant},
    },
    tokio::{runtime::Runtime, time::sleep},
    tokio_postgres::{Client, SimpleQueryMessage},
};

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Time for anything that a script waits for.
const LIMIT: Duration = Duration::from_secs(20);
/// Between two looks.
const LOOK: Duration = Duration::from_millis(30);

/// Time for a decision to be explained; what isn't by then counts as not explained.
const EXPLAINED: Duration = Duration::from_secs(4);

/// Runs a script's commands.
pub struct Scenario {
    runtime: Runtime,
    cluster: Option<Cluster>,
    sessions: Vec<(String, Client)>,
    texts: Vec<(String, String)>,
    running: Vec<(String, tokio::task::JoinHandle<std::result::Result<String, String>>)>,
}

impl Scenario {
    /// A scenario in which nothing runs yet.
    pub fn new() -> std::io::Result<Scenario> {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        Ok(Scenario { runtime, cluster: None, sessions: Vec::new(), texts: Vec::new(), running: Vec::new() })
    }

    fn cluster(&mut self) -> Result<&mut Cluster> {
        self.cluster.as_mut().ok_or_else(|| "start a cluster first".into())
    }

    fn session(&self, name: &str) -> Result<&Client> {
        let it = self.sessions.iter().find(|it| it.0 == name);
        it.map(|it| &it.1).ok_or_else(|| format!("no session {name}").into())
    }

    fn text(&self, name: &str) -> Result<String> {
        let it = self.texts.iter().find(|it| it.0 == name);
        it.map(|it| it.1.clone()).ok_or_else(|| format!("no text {name}").into())
    }

    fn keep(&mut self, name: &str, text: String) {
        self.texts.retain(|it| it.0 != name);
        self.texts.push((name.to_owned(), text));
    }

    fn start(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let instances = number(args, "instances", 3)? as usize;
        let mut it = Deployment::small(instances);
        it.opening = Duration::from_millis(number(args, "opening", 1)?);
        it.limit = number(args, "limit", 25)? as u32;
        if let Some(ms) = args.take_key("max_age") {
            it.policy = ReadPolicy::MaxAge { ms: ms.parse()? };
        }
        if let Some(flags) = args.take_key("flags") {
            it.flags = flags.split_whitespace().map(str::to_owned).collect();
        }
        it.flags.extend(["--probe-ms".to_owned(), "200".to_owned()]);
        let cluster = self.runtime.block_on(Cluster::start(it))?;
        self.cluster = Some(cluster);
        Ok(String::new())
    }

    fn connect(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let name = positional(args)?.to_owned();
        let at = args.take_key("at").unwrap_or("p000");
        let user = args.take_key("user").unwrap_or("clerk");
        let group = args.take_key("group").unwrap_or("parts").to_owned();
        let options = match args.take_key("token") {
            Some(it) => format!("-c pondtrack.token={}", self.text(it)?),
            None => args.take_key("options").unwrap_or("").to_owned(),
        };
        let cluster = self.cluster()?;
        let n = instance(cluster, at)?;
        let addr = cluster.instances[n].callers.addr;
        self.sessions.retain(|it| it.0 != name);
        match self.runtime.block_on(caller::connect(addr, user, &group, &options)) {
            Ok(it) => self.sessions.push((name, it)),
            Err(e) => return Ok(format!("refused {e}\n")),
        }
        Ok(String::new())
    }

    fn sql(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let name = positional(args)?;
        let text = positional(args)?;
        let times = number(args, "times", 1)?;
        let client = self.session(name)?;
        let mut out = String::new();
        for n in 0..times {
            let text = text.replace('%', &n.to_string());
            let it = self.runtime.block_on(client.simple_query(&text));
            out = match it {
                Ok(rows) => render(&rows),
                Err(e) => format!("{}\n", failure(&e)),
            };
        }
        Ok(out)
    }

    /// Runs a statement in the background.
    fn spawn(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let (name, text) = (positional(args)?.to_owned(), positional(args)?.to_owned());
        let at = self.sessions.iter().position(|it| it.0 == name).ok_or("no such session")?;
        let client = self.sessions.swap_remove(at).1;
        let cancel = client.cancel_token();
        let handle = self.runtime.spawn(async move {
            match client.simple_query(&text).await {
                Ok(rows) => Ok(render(&rows)),
                Err(e) => Err(failure(&e)),
            }
        });
        self.running.push((name.clone(), handle));
        if args.take_key("cancel").is_some() {
            self.runtime.block_on(async {
                sleep(Duration::from_millis(100)).await;
                let _ = cancel.cancel_query(tokio_postgres::NoTls).await;
            });
        }
        Ok(String::new())
    }

    fn join(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let name = positional(args)?;
        let at = self.running.iter().position(|it| it.0 == name).ok_or("nothing runs there")?;
        let (_, handle) = self.running.swap_remove(at);
        match self.runtime.block_on(handle)? {
            Ok(it) => Ok(it),
            Err(e) => Ok(format!("{e}\n")),
        }
    }

    /// A prepared statement with one text parameter.
    fn prepared(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let (name, text, value) = (positional(args)?, positional(args)?, positional(args)?);
        let client = self.session(name)?;
        let out = self.runtime.block_on(async {
            let statement = client.prepare(text).await?;
            let mut out = Vec::new();
            for _ in 0..2 {
                for row in client.query(&statement, &[&value]).await? {
                    out.push(row.get::<_, i64>(0).to_string());
                }
            }
            Ok::<_, tokio_postgres::Error>(out.join(" "))
        });
        match out {
            Ok(it) => Ok(format!("{it}\n")),
            Err(e) => Ok(format!("{}\n", failure(&e))),
        }
    }

    fn key(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let (session, name) = (positional(args)?, positional(args)?);
        if self.text(name).is_err() {
            self.keep(name, uuid::Uuid::now_v7().to_string());
        }
        let text = format!("SET pondtrack.request_key = '{}'", self.text(name)?);
        let client = self.session(session)?;
        let out = self.runtime.block_on(client.simple_query(&text));
        Ok(out.err().map(|e| format!("{}\n", failure(&e))).unwrap_or_default())
    }

    fn token(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let (session, name) = (positional(args)?, positional(args)?);
        let client = self.session(session)?;
        let it = self.runtime.block_on(caller::one(client, "SHOW pondtrack.token"))?;
        self.keep(name, it.unwrap_or_default());
        Ok(String::new())
    }

    fn close(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let name = positional(args)?;
        self.sessions.retain(|it| it.0 != name);
        Ok(String::new())
    }

    /// A server by name, or by its role now.
    fn server(&mut self, name: &str) -> Result<usize> {
        let Scenario { runtime, cluster, texts, .. } = self;
        let cluster = cluster.as_ref().ok_or("start a cluster first")?;
        if let Some(it) = texts.iter().find(|it| it.0 == name) {
            return cluster
                .dbs
                .iter()
                .position(|db| db.name == it.1.as_str())
                .ok_or_else(|| "no such server".into());
        }
        let primary = || runtime.block_on(cluster.primary(0));
        match name {
            "primary" => Ok(primary()?),
            "replica1" | "replica2" => {
                let first = primary()?;
                let mut rest = (0..cluster.dbs.len()).filter(|it| *it != first);
                let skip = usize::from(name == "replica2");
                rest.nth(skip).ok_or_else(|| "no such replica".into())
            }
            _ => cluster
                .dbs
                .iter()
                .position(|it| it.name == name)
                .ok_or_else(|| format!("no server {name}").into()),
        }
    }

    /// Remembers which server has a role now.
    fn remember(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let (name, role) = (positional(args)?.to_owned(), positional(args)?.to_owned());
        let at = self.server(&role)?;
        let server = self.cluster()?.dbs[at].name.to_string();
        self.keep(&name, server);
        Ok(String::new())
    }

    /// An instance or a server, as part of the network.
    fn part(&mut self, name: &str) -> Result<Part> {
        if let Ok(n) = instance(self.cluster()?, name) {
            return Ok(self.cluster()?.instances[n].part);
        }
        let at = self.server(name)?;
        Ok(self.cluster()?.dbs[at].part)
    }

    fn signal(&mut self, args: &mut ArgumentConsumer<'_>, signal: i32) -> Result<String> {
        let name = positional(args)?.to_owned();
        if let Ok(n) = instance(self.cluster()?, &name) {
            let cluster = self.cluster()?;
            if let Some(it) = &cluster.instances[n].process {
                it.signal(signal);
            }
            return Ok(String::new());
        }
        let at = self.server(&name)?;
        if let Some(it) = &self.cluster()?.dbs[at].process {
            it.signal(signal);
        }
        Ok(String::new())
    }

    fn kill(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let name = positional(args)?.to_owned();
        let server = if instance(self.cluster()?, &name).is_ok() { None } else { Some(self.server(&name)?) };
        let Scenario { runtime, cluster, .. } = self;
        let cluster = cluster.as_mut().ok_or("start a cluster first")?;
        match server {
            Some(at) => runtime.block_on(cluster.kill_db(at)),
            None => {
                let n = instance(cluster, &name)?;
                runtime.block_on(cluster.kill_instance(n));
            }
        }
        Ok(String::new())
    }

    fn restart(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let name = positional(args)?.to_owned();
        let server = if instance(self.cluster()?, &name).is_ok() { None } else { Some(self.server(&name)?) };
        let Scenario { runtime, cluster, .. } = self;
        let cluster = cluster.as_mut().ok_or("start a cluster first")?;
        match server {
            Some(at) => runtime.block_on(cluster.start_db(at))?,
            None => {
                let n = instance(cluster, &name)?;
                runtime.block_on(cluster.start_instance(n))?;
            }
        }
        Ok(String::new())
    }

    fn cut(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let (a, b) = (positional(args)?.to_owned(), positional(args)?.to_owned());
        let a = self.part(&a)?;
        match b.as_str() {
            "servers" => {
                let parts: Vec<Part> = self.cluster()?.dbs.iter().map(|it| it.part).collect();
                for it in parts.into_iter().filter(|it| *it != a) {
                    self.cluster()?.relay.cut(a, it);
                }
            }
            "instances" => {
                let parts: Vec<Part> = self.cluster()?.instances.iter().map(|it| it.part).collect();
                for it in parts.into_iter().filter(|it| *it != a) {
                    self.cluster()?.relay.cut(a, it);
                }
            }
            _ => {
                let b = self.part(&b)?;
                self.cluster()?.relay.cut(a, b);
            }
        }
        Ok(String::new())
    }

    fn platform(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let it = Trouble {
            down: args.take_key("down").is_some_and(|it| it == "true"),
            slow_ms: number(args, "slow", 0)?,
            lose: number(args, "lose", 0)? as u32,
            lag_ms: number(args, "lag", 0)?,
        };
        let Scenario { runtime, cluster, .. } = self;
        runtime.block_on(cluster.as_ref().ok_or("start a cluster first")?.trouble(it))?;
        Ok(String::new())
    }

    /// An order to a server's stand-in, past the relay and the instances.
    fn standin(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let name = positional(args)?.to_owned();
        let mut order = "STANDIN".to_owned();
        while let Some(it) = args.next_pos() {
            order.push(' ');
            order.push_str(it);
        }
        let at = self.server(&name)?;
        let Scenario { runtime, cluster, .. } = self;
        let db = &cluster.as_ref().ok_or("start a cluster first")?.dbs[at];
        let addr = db.process.as_ref().ok_or("the server is down")?.addr("addr")?;
        let out = runtime.block_on(async {
            let client = caller::connect(addr, "bed", "parts", "").await?;
            let rows = client.simple_query(&order).await.map_err(|e| caller::describe(&e))?;
            Ok::<_, String>(render(&rows))
        })?;
        Ok(out)
    }

    /// Waits until a server has a role, or an instance a state.
    fn wait_for(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let (name, wanted) = (positional(args)?.to_owned(), positional(args)?.to_owned());
        let known = self.texts.iter().find(|it| it.0 == name).map(|it| it.1.clone());
        let name = known.unwrap_or(name);
        let Scenario { runtime, cluster, .. } = self;
        let cluster = cluster.as_ref().ok_or("start a cluster first")?;
        let done = runtime.block_on(async {
            let until = Instant::now() + LIMIT;
            while Instant::now() < until {
                if is_so(cluster, &name, &wanted).await {
                    return true;
                }
                sleep(LOOK).await;
            }
            false
        });
        if done { Ok(String::new()) } else { Err(format!("{name} is not {wanted} in time").into()) }
    }

    fn settled(&mut self) -> Result<String> {
        let Scenario { runtime, cluster, .. } = self;
        runtime.block_on(cluster.as_ref().ok_or("start a cluster first")?.settled(LIMIT))?;
        Ok(String::new())
    }

    fn plan(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let (word, name) = (positional(args)?.to_owned(), positional(args)?.to_owned());
        let at = args.take_key("at").unwrap_or("p000").to_owned();
        let intent = match word.as_str() {
            "stop" => Intent::Stop { instance: name.into() },
            _ => {
                let at = self.server(&name)?;
                let server = self.cluster()?.dbs[at].name.clone();
                let group = "parts".into();
                match word.as_str() {
                    "drain" => Intent::Drain { group, server },
                    "return" => Intent::Return { group, server },
                    "switch" => Intent::Switch { group, server },
                    _ => return Err("plan takes drain, return, switch or stop".into()),
                }
            }
        };
        let Scenario { runtime, cluster, .. } = self;
        let cluster = cluster.as_ref().ok_or("start a cluster first")?;
        let n = instance(cluster, &at)?;
        match runtime.block_on(cluster.plan(n, intent, LIMIT)) {
            Ok(it) if it.state == PlanState::Done => Ok("done\n".to_owned()),
            Ok(it) => Ok(format!("{}: {}\n", it.state, it.log.join("; "))),
            Err(e) => Ok(format!("refused: {}\n", without_numbers(&e.to_string()))),
        }
    }

    /// Two operators change the same thing: both plans are made first, then both are confirmed.
    fn race(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        use pondtrack_edge::operator::OperatorClient;
        let (a, b) = (positional(args)?.to_owned(), positional(args)?.to_owned());
        let (a, b) = (self.server(&a)?, self.server(&b)?);
        let Scenario { runtime, cluster, .. } = self;
        let cluster = cluster.as_ref().ok_or("start a cluster first")?;
        runtime.block_on(async {
            let (first, second) = (cluster.client(0)?, cluster.client(1)?);
            let intent =
                |n: usize| Intent::Drain { group: "parts".into(), server: cluster.dbs[n].name.clone() };
            let x = first.propose("ann".into(), intent(a)).await?;
            let y = second.propose("ben".into(), intent(b)).await?;
            let x = first.confirm("ann".into(), x.name).await?;
            let until = Instant::now() + LIMIT;
            loop {
                let now = first.plans(Some(x.name.clone())).await?;
                if now.iter().all(|it| it.state != PlanState::Running) || Instant::now() > until {
                    break;
                }
                sleep(LOOK).await;
            }
            let out = match second.confirm("ben".into(), y.name).await {
                Ok(_) => "the second plan was confirmed\n".to_owned(),
                Err(e) => format!("refused: {}\n", without_numbers(&e.to_string())),
            };
            Ok(out)
        })
    }

    /// Checks that every instance's counter is zero, or not.
    fn counter(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let name = positional(args)?.to_owned();
        let Scenario { runtime, cluster, .. } = self;
        let cluster = cluster.as_ref().ok_or("start a cluster first")?;
        let mut sum = 0;
        for n in 0..cluster.instances.len() {
            if let Ok(it) = runtime.block_on(cluster.report(n)) {
                sum += it.counters.iter().filter(|c| c.0 == name).map(|c| c.1).sum::<u64>();
            }
        }
        Ok(if sum == 0 { "none\n".to_owned() } else { "some\n".to_owned() })
    }

    /// Whether a decision is explained, at once or soon: what became of an order is known after a while.
    fn explain(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        use pondtrack_edge::operator::OperatorClient;
        let (subject, words) = (positional(args)?.to_owned(), positional(args)?.to_owned());
        let Scenario { runtime, cluster, .. } = self;
        let cluster = cluster.as_ref().ok_or("start a cluster first")?;
        let found = runtime.block_on(async {
            let until = Instant::now() + EXPLAINED;
            loop {
                let list = cluster.client(0)?.explain(Some(subject.as_str().into())).await;
                let list = list.map_err(std::io::Error::other)?;
                let found = list.iter().any(|it| it.what.contains(&words) && !it.evidence.is_empty());
                if found || Instant::now() >= until {
                    return Ok::<bool, Box<dyn Error>>(found);
                }
                sleep(LOOK).await;
            }
        })?;
        Ok(if found { "explained\n".to_owned() } else { "not explained\n".to_owned() })
    }

    /// The operator's command line; `$plan` stands for the plan that was made last.
    fn cli(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let (at, line) = (positional(args)?.to_owned(), positional(args)?.to_owned());
        let cluster = self.cluster()?;
        let n = instance(cluster, &at)?;
        let addr = cluster.instances[n].control.ok_or("the instance is down")?.to_string();
        let plan = self.text("$plan").unwrap_or_default();
        let line = line.replace("$plan", &plan);
        let mut words = vec!["--at", addr.as_str(), "--operator", "ann", "--colour", "never"];
        words.extend(line.split_whitespace());
        let options =
            pondtrack::command::options().run_inner(words.as_slice()).map_err(|e| format!("{e:?}"))?;
        let out = match self.runtime.block_on(pondtrack::run::run(&options)) {
            Ok(it) => it,
            Err(e) => e.render(),
        };
        if let Some(name) = out.strip_prefix("plan ").and_then(|it| it.split(' ').next()) {
            self.keep("$plan", name.to_owned());
        }
        let plan = self.text("$plan").unwrap_or_default();
        let shown = if plan.is_empty() { out } else { out.replace(&plan, "$plan") };
        Ok(without_numbers(&shown))
    }

    fn pause(&mut self, args: &mut ArgumentConsumer<'_>) -> Result<String> {
        let ms: u64 = positional(args)?.parse()?;
        self.runtime.block_on(async { sleep(Duration::from_millis(ms)).await });
        Ok(String::new())
    }
}

impl Runner for Scenario {
    type Command = Command;

    fn run(&mut self, command: &Command, _context: &Context) -> Result<String> {
        let mut args = command.consume_args();
        let out = match command.name.as_str() {
            "cluster" => self.start(&mut args),
            "connect" => self.connect(&mut args),
            "sql" => self.sql(&mut args),
            "spawn" => self.spawn(&mut args),
            "join" => self.join(&mut args),
            "prepared" => self.prepared(&mut args),
            "key" => self.key(&mut args),
            "token" => self.token(&mut args),
            "close" => self.close(&mut args),
            "remember" => self.remember(&mut args),
            "kill" => self.kill(&mut args),
            "restart" => self.restart(&mut args),
            "freeze" => self.signal(&mut args, libc::SIGSTOP),
            "thaw" => self.signal(&mut args, libc::SIGCONT),
            "terminate" => self.signal(&mut args, libc::SIGTERM),
            "cut" => self.cut(&mut args),
            "heal" => {
                self.cluster()?.relay.heal();
                Ok(String::new())
            }
            "platform" => self.platform(&mut args),
            "standin" => self.standin(&mut args),
            "await" => self.wait_for(&mut args),
            "settled" => self.settled(),
            "plan" => self.plan(&mut args),
            "race" => self.race(&mut args),
            "counter" => self.counter(&mut args),
            "explain" => self.explain(&mut args),
            "cli" => self.cli(&mut args),
            "pause" => self.pause(&mut args),
            other => Err(format!("there is no command {other}").into()),
        }?;
        args.reject_next()?;
        Ok(out)
    }
}

async fn is_so(cluster: &Cluster, name: &str, wanted: &str) -> bool {
    let mut seen = 0;
    for n in 0..cluster.instances.len() {
        if cluster.instances[n].process.is_none() || cluster.instances[n].name == name {
            continue;
        }
        let Ok(it) = cluster.report(n).await else { continue };
        let roles = it.groups.iter().flat_map(|g| &g.servers).filter(|s| s.name == name);
        let roles: Vec<&str> = roles.map(|s| s.role.as_str()).collect();
        let states: Vec<MemberState> =
            it.members.iter().filter(|m| m.name == name).map(|m| m.state).collect();
        if roles.iter().any(|r| *r != wanted) || states.iter().any(|s| s.to_string() != wanted) {
            return false;
        }
        seen += roles.len() + states.len();
    }
    seen > 0
}

fn instance(cluster: &Cluster, name: &str) -> Result<usize> {
    cluster
        .instances
        .iter()
        .position(|it| it.name == name)
        .ok_or_else(|| format!("no instance {name}").into())
}

fn positional<'a>(args: &mut ArgumentConsumer<'a>) -> Result<&'a str> {
    args.next_pos().ok_or_else(|| "a value is missing".into())
}

fn number(args: &mut ArgumentConsumer<'_>, key: &str, default: u64) -> Result<u64> {
    Ok(args.take_key(key).map(str::parse).transpose()?.unwrap_or(default))
}

fn render(rows: &[SimpleQueryMessage]) -> String {
    let mut out = String::new();
    for it in rows {
        if let SimpleQueryMessage::Row(row) = it {
            let cells: Vec<&str> = (0..row.len()).map(|n| row.get(n).unwrap_or("NULL")).collect();
            out.push_str(&cells.join("|"));
            out.push('\n');
        }
    }
    out
}

/// An error without what differs between runs.
fn failure(e: &tokio_postgres::Error) -> String {
    match e.as_db_error() {
        Some(it) => {
            let message = it.message().split(':').next().unwrap_or("");
            format!("error {} {message}", it.code().code())
        }
        None => "error: the connection is closed".to_owned(),
    }
}

fn without_numbers(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for c in text.chars() {
        match c.is_ascii_digit() {
            true if out.ends_with('#') => {}
            true => out.push('#'),
            false => out.push(c),
        }
    }
    out
}

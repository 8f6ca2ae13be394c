//! A seeded load at a deployment's sizes, recorded as a history.

use {
    crate::{
        caller,
        history::{Answer, Asked, Record},
    },
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{task::JoinHandle, time::sleep},
    tokio_postgres::Client,
};

/// Age that some lookups may have.
const AGE: Duration = Duration::from_millis(500);
/// Repeats of a keyed request.
const REPEATS: usize = 6;

/// What the callers share.
pub struct Load {
    /// Where instances take callers.
    pub addrs: Vec<SocketAddr>,
    /// Groups.
    pub groups: Vec<String>,
    /// The history.
    pub records: Mutex<Vec<Record>>,
    /// When it began.
    pub began: Instant,
    /// Set when callers should end.
    pub ended: AtomicBool,
    ops: AtomicU64,
}

/// The kinds of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Posts movements and looks at its own.
    Clerk,
    /// Looks parts up.
    Lookup,
    /// Looks parts up, content with some age.
    Aged,
    /// Steps the clock that aged lookups read.
    Clock,
    /// Writes one after another, to see how long writes are unavailable.
    Probe,
}

/// How many callers of each kind a group has.
#[derive(Clone, Copy, Debug)]
pub struct Mix {
    /// Clerks.
    pub clerks: usize,
    /// Lookups.
    pub lookups: usize,
    /// Aged lookups.
    pub aged: usize,
    /// Pause of a clerk between two movements.
    pub clerk_pause: Duration,
    /// Pause between two lookups.
    pub lookup_pause: Duration,
}

impl Mix {
    /// Far more lookups than writes, as at the waterworks.
    pub fn waterworks() -> Mix {
        Mix {
            clerks: 3,
            lookups: 14,
            aged: 2,
            clerk_pause: Duration::from_millis(120),
            lookup_pause: Duration::from_millis(60),
        }
    }

    /// More orders, as at the registry.
    pub fn porting() -> Mix {
        Mix { clerks: 6, lookups: 8, ..Mix::waterworks() }
    }
}

impl Load {
    /// A load that hasn't begun.
    pub fn new(addrs: Vec<SocketAddr>, groups: Vec<String>) -> Arc<Load> {
        Arc::new(Load {
            addrs,
            groups,
            records: Mutex::default(),
            began: Instant::now(),
            ended: AtomicBool::new(false),
            ops: AtomicU64::new(1),
        })
    }

    /// Microseconds since the beginning.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }

    fn record(&self, group: usize, asked: Asked, from: u64, answer: Answer) {
        let it = Record { group, asked, from, to: self.now(), answer };
        self.records.lock().expect("no panic while held").push(it);
    }

    fn is_over(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }

    /// Makes the tables of every group.
    pub async fn prepare(&self) -> Result<(), String> {
        for group in &self.groups {
            let client = caller::connect(self.addrs[0], "setup", group, "").await?;
            for text in [
                "CREATE TABLE stock (part TEXT PRIMARY KEY, qty BIGINT NOT NULL)",
                "CREATE TABLE movement (op BIGINT NOT NULL, session BIGINT NOT NULL)",
                "CREATE TABLE clock (id BIGINT PRIMARY KEY, value BIGINT NOT NULL)",
                "INSERT INTO clock VALUES (1, 0)",
                "CREATE INDEX movement_session ON movement (session)",
            ] {
                client.simple_query(text).await.map_err(|e| caller::describe(&e))?;
            }
            for n in 0..20 {
                let text = format!("INSERT INTO stock VALUES ('part-{n}', {n})");
                client.simple_query(&text).await.map_err(|e| caller::describe(&e))?;
            }
        }
        Ok(())
    }

    /// Starts the callers of every group.
    pub fn start(self: &Arc<Load>, mix: Mix, seed: u64) -> Vec<JoinHandle<()>> {
        let mut out = Vec::new();
        let mut number = 0;
        for group in 0..self.groups.len() {
            let kinds = [
                (Kind::Clerk, mix.clerks),
                (Kind::Lookup, mix.lookups),
                (Kind::Aged, mix.aged),
                (Kind::Clock, 1),
                (Kind::Probe, 1),
            ];
            for (kind, n) in kinds {
                for _ in 0..n {
                    number += 1;
                    let rng = Pcg64Mcg::seed_from_u64(seed ^ (number << 8));
                    let it = Caller { load: self.clone(), group, number, kind, mix, rng, client: None };
                    out.push(tokio::spawn(it.run()));
                }
            }
        }
        out
    }
}

struct Caller {
    load: Arc<Load>,
    group: usize,
    number: u64,
    kind: Kind,
    mix: Mix,
    rng: Pcg64Mcg,
    client: Option<Client>,
}

impl Caller {
    async fn run(mut self) {
        let mut n = 0;
        let mut acked = 0;
        while !self.load.is_over() {
            n += 1;
            match self.kind {
                Kind::Clerk => self.clerk(n, &mut acked).await,
                Kind::Lookup => self.lookup(n).await,
                Kind::Aged => self.aged().await,
                Kind::Clock => self.clock(n).await,
                Kind::Probe => self.probe().await,
            }
        }
    }

    /// The session; a new one, at any instance, when the last is gone.
    async fn client(&mut self) -> Option<&Client> {
        if self.client.as_ref().is_none_or(Client::is_closed) {
            let at = self.rng.random_range(0..self.load.addrs.len());
            let user = format!("caller-{}", self.number);
            let made = caller::connect(self.load.addrs[at], &user, &self.load.groups[self.group], "").await;
            match made {
                Ok(it) => {
                    if self.kind == Kind::Aged {
                        let text = format!("SET pondtrack.max_age = '{}ms'", AGE.as_millis());
                        it.simple_query(&text).await.ok()?;
                    }
                    self.client = Some(it);
                }
                Err(_) => {
                    sleep(Duration::from_millis(20)).await;
                    return None;
                }
            }
        }
        self.client.as_ref()
    }

    async fn ask(&mut self, asked: Asked, text: &str, with_term: bool) -> Option<Answer> {
        let load = self.load.clone();
        let group = self.group;
        let client = self.client().await?;
        let from = load.now();
        let out = caller::one(client, text).await;
        let to = load.now();
        let answer = match out {
            Ok(value) => {
                let term = if with_term { seen_term(client).await } else { 0 };
                Answer::Done { value: value.unwrap_or_default(), term }
            }
            Err(e) => match caller::code(&e) {
                "PT001" => Answer::NotRun,
                "08007" => Answer::Unknown,
                // Told that the instance leaves, before it took the request.
                "57P01" => Answer::NotRun,
                "" if e.is_closed() && client.is_closed() => Answer::Cut,
                code => Answer::Refused { code: code.to_owned() },
            },
        };
        if matches!(answer, Answer::Cut) {
            self.client = None;
        }
        let it = Record { group, asked, from, to, answer: answer.clone() };
        load.records.lock().expect("no panic while held").push(it);
        Some(answer)
    }

    async fn insert(&mut self, op: u64) -> Option<Answer> {
        let text = format!("INSERT INTO movement VALUES ({op}, {})", self.number);
        self.ask(Asked::Insert { op }, &text, true).await
    }

    async fn clerk(&mut self, n: u64, acked: &mut u64) {
        let op = self.load.ops.fetch_add(1, Ordering::Relaxed);
        let done = match n % 3 {
            0 => self.keyed(op).await,
            _ => matches!(self.insert(op).await, Some(Answer::Done { .. })),
        };
        *acked += u64::from(done);
        if n.is_multiple_of(8) {
            // Roams: what was written is read through another instance, without a token.
            self.client = None;
        }
        let text = format!("SELECT count(*) FROM movement WHERE session = {}", self.number);
        self.ask(Asked::Own { least: *acked }, &text, false).await;
        let jitter = self.rng.random_range(0.5..1.5);
        sleep(self.mix.clerk_pause.mul_f64(jitter)).await;
    }

    /// A request with a key is repeated until it has an answer; through other instances too.
    async fn keyed(&mut self, op: u64) -> bool {
        let key = uuid::Uuid::now_v7();
        for _ in 0..REPEATS {
            let Some(client) = self.client().await else { continue };
            let set = client.simple_query(&format!("SET pondtrack.request_key = '{key}'")).await;
            if set.is_err() {
                self.client = None;
                continue;
            }
            match self.insert(op).await {
                Some(Answer::Done { .. }) => return true,
                _ => self.client = None,
            }
            sleep(Duration::from_millis(50)).await;
        }
        false
    }

    async fn lookup(&mut self, n: u64) {
        let token = format!("{}-{n}", self.number);
        let part = self.rng.random_range(0..20);
        let text = format!("SELECT '{token}', qty FROM stock WHERE part = 'part-{part}'");
        self.ask(Asked::Echo { token }, &text, false).await;
        let jitter = self.rng.random_range(0.5..1.5);
        sleep(self.mix.lookup_pause.mul_f64(jitter)).await;
    }

    async fn aged(&mut self) {
        let age = AGE.as_micros() as u64;
        self.ask(Asked::Aged { age }, "SELECT value FROM clock WHERE id = 1", false).await;
        sleep(self.mix.lookup_pause).await;
    }

    async fn clock(&mut self, n: u64) {
        let text = format!("UPDATE clock SET value = {n} WHERE id = 1");
        self.ask(Asked::Tick { value: n }, &text, false).await;
        sleep(Duration::from_millis(50)).await;
    }

    async fn probe(&mut self) {
        let op = self.load.ops.fetch_add(1, Ordering::Relaxed);
        self.insert(op).await;
        sleep(Duration::from_millis(4)).await;
    }
}

/// The term that a session has seen.
async fn seen_term(client: &Client) -> u64 {
    let mark = caller::one(client, "SHOW pondtrack.mark").await.ok().flatten();
    mark.and_then(|it| it.split('/').next().and_then(|it| it.parse().ok())).unwrap_or(0)
}

impl Load {
    /// Records an instance's version of a group's configuration.
    pub fn record_version(&self, of: String, from: u64, version: u64) {
        let answer = Answer::Done { value: version.to_string(), term: 0 };
        self.record(0, Asked::Version { of }, from, answer);
    }
}

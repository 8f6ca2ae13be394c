//! Soak test of the real program: each instance is a separate process in front of stand-in servers and a
//! stand-in store, under seeded fault injection. The responses that callers received are checked against the
//! statements that servers committed.
//!
//! Two seeds run with the other tests. To run more: `SOAK_SEEDS=1..51 cargo test -p pondtrackd --test soak`.
//! `SOAK_WATCHER_SEEDS=1..51` does the same for the test in which all watchers of the store end together.
//! `SOAK_INSTANCES=100` starts 100 processes, and `SOAK_CALLERS=200` is more than the stand-ins can serve.
//! Seeds that failed in the past are listed in `REGRESSIONS`, with the cause.

#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

#[path = "soak/config_changes.rs"]
mod config_changes;

#[path = "soak/data_loss.rs"]
mod data_loss;

#[path = "soak/organisations.rs"]
mod organisations;

#[path = "soak/planned_changes.rs"]
mod planned_changes;

#[path = "soak/watcher_losses.rs"]
mod watcher_losses;

use {
    config_changes::ConfigChanges,
    organisations::KeySchedule,
    pondtrack_engine::ports::{Collection, Record},
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    stand_in::{
        Caller, FakeStore, Fault, Group, Outage, Told, desired, group,
        http::{self, Front},
        ports::free_ports,
        proxy::{Harm, Proxy},
    },
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        fs,
        net::{Ipv4Addr, SocketAddr, SocketAddrV4},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        task::LocalSet,
        time::{Instant, sleep, timeout},
    },
};

/// Seeds that run with the other tests.
const SEEDS: std::ops::Range<u64> = 1..3;
/// Seeds of [`watcher_losses`] that run with the other tests.
const WATCHER_SEEDS: &[u64] = &[2];
/// Seeds that failed in the past; each runs with the other tests.
///
/// 5 and 37: a replica that had received nothing was promoted while another replica, which couldn't be
/// fenced, had acknowledged commits that only that replica and the old primary held. 3040: the store had been
/// restored from a backup without the entries of the other instances, and a process that started just
/// afterwards took the whole of each quota as its share.
const REGRESSIONS: &[u64] = &[5, 37, 3040];
/// The store is restored from older backups in seeds that are a multiple of this number.
const RESTORE_EVERY: u64 = 5;
/// Salt that separates the random numbers of store restores from those of other faults.
const RESTORE_SALT: u64 = 0x2545_f491_4f6c_dd1d;
/// Duration of the fault injection for each seed.
const FAULT_PERIOD: Duration = Duration::from_secs(9);
/// Timeout for each condition that must hold again after the faults.
const RECOVERY: Duration = Duration::from_secs(30);
/// Timeout for a response; instances respond within the route's 1.5 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);
/// The staleness limit of the routes in the stand-in's configuration.
const MAX_STALENESS: Duration = Duration::from_millis(1_500);
/// Time after which servers drop connections to an unreachable peer.
const SERVER_LINGER: Duration = Duration::from_secs(3);
/// Default number of instances, one for each availability zone; `SOAK_INSTANCES` overrides it.
const DEFAULT_INSTANCES: usize = 3;
/// Number of latest acknowledged writes from which a read picks one at random.
const READ_CANDIDATES: usize = 4;
/// Number of callers that use organisation keys. One third uses the key that moves between organisations, one
/// third belongs to the organisation with a quota, and one third has an invalid key.
const ORGANISATION_CALLERS: usize = 6;
/// Default number of callers; `SOAK_CALLERS` overrides it.
const DEFAULT_CALLERS: usize = 6;

/// An instance that runs as a separate process.
struct Instance {
    name: String,
    zone: &'static str,
    ports: [u16; 3],
    front: Rc<Front>,
    /// The proxies between the instance and each server.
    links: Vec<Rc<Proxy>>,
    file: PathBuf,
    child: RefCell<Option<Child>>,
}

/// A write that a caller attempted.
struct Attempt {
    /// The id of the statement that commits the write.
    id: String,
    item: String,
    /// The response that the caller received.
    response: Told,
    /// The time of the response.
    responded_at: Instant,
    database: &'static str,
}

/// State of the soak run for one seed.
struct World {
    seed: u64,
    rng: RefCell<Pcg64Mcg>,
    /// Random numbers of `extra_faults`. A separate generator leaves the sequence of `rng` for a seed
    /// unchanged.
    extra_rng: RefCell<Pcg64Mcg>,
    /// The state of the configuration changes.
    changes: ConfigChanges,
    /// The assignments of keys to organisations.
    keys: KeySchedule,
    store: FakeStore,
    group: Rc<Group>,
    instances: Vec<Rc<Instance>>,
    attempts: RefCell<Vec<Attempt>>,
    stop: Cell<bool>,
    reads: Cell<usize>,
    dir: PathBuf,
}

#[test]
fn promises_hold_under_seeded_faults() {
    let default = SEEDS.chain(REGRESSIONS.iter().copied()).collect();
    run_seeds("SOAK_SEEDS", default, soak);
}

/// Guards against instances that no longer apply changes after all watchers of the store ended together.
#[test]
fn changes_are_applied_while_watchers_end_together() {
    run_seeds("SOAK_WATCHER_SEEDS", WATCHER_SEEDS.to_vec(), watcher_losses::run);
}

/// Runs a soak for each seed in an environment variable, or for the default seeds if the variable is unset.
fn run_seeds<F: Future<Output = ()>>(variable: &str, default: Vec<u64>, soak: impl Fn(u64) -> F) {
    let seeds: Vec<u64> = match std::env::var(variable) {
        Ok(range) => {
            let (from, to) = range.split_once("..").expect("FROM..TO");
            (from.parse().expect("a number")..to.parse().expect("a number")).collect()
        }
        Err(_) => default,
    };
    for seed in seeds {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(LocalSet::new().run_until(soak(seed)));
    }
}

/// Returns the number in an environment variable, or the default if the variable is unset.
fn env_or(name: &str, default: usize) -> usize {
    std::env::var(name).map_or(default, |v| v.parse().expect("a number"))
}

/// Runs the instances and callers under the faults of a seed, then checks the results.
async fn soak(seed: u64) {
    let world = Rc::new(World::start(seed).await);
    world.recovered("the start").await;
    let callers = 0..env_or("SOAK_CALLERS", DEFAULT_CALLERS);
    let callers: Vec<_> = callers.map(|n| tokio::task::spawn_local(call(world.clone(), n))).collect();
    let org_callers = 0..ORGANISATION_CALLERS;
    let org_callers: Vec<_> =
        org_callers.map(|n| tokio::task::spawn_local(organisations::call(world.clone(), n))).collect();
    let entries = tokio::task::spawn_local(publish_entries(world.clone()));
    let end = Instant::now() + FAULT_PERIOD;
    let extra = tokio::task::spawn_local(extra_faults(world.clone(), end));
    let losses = tokio::task::spawn_local(data_loss::inject(world.clone(), end));
    let planned = tokio::task::spawn_local(planned_changes::inject(world.clone(), end));
    let changer = world.clone();
    let changes = tokio::task::spawn_local(async move { config_changes::run(&changer, end).await });
    let restores = tokio::task::spawn_local(store_restores(world.clone(), end));
    let watcher = world.clone();
    let watches = tokio::task::spawn_local(async move { config_changes::watch(&watcher, end).await });
    while Instant::now() < end {
        sleep(Duration::from_millis(world.below(900))).await;
        tokio::task::spawn_local(fault(world.clone()));
    }
    extra.await.expect("faults don't fail");
    losses.await.expect("faults don't fail");
    planned.await.expect("planned changes don't fail");
    changes.await.expect("changes don't fail");
    restores.await.expect("restores don't fail");
    watches.await.expect("no configuration reverts");
    // Waits for the last faults, which end after their own duration.
    sleep(Duration::from_secs(4)).await;
    world.heal();
    world.recovered("the end").await;
    config_changes::wait_applied(&world).await;
    organisations::revoke_key(&world).await;
    organisations::wait_served(&world).await;
    world.stop.set(true);
    for caller in callers.into_iter().chain(org_callers) {
        caller.await.expect("a caller's checks hold");
    }
    entries.abort();
    world.check();
    organisations::check(&world);
    world.end().await;
}

impl World {
    /// Starts the stand-ins and all instances.
    async fn start(seed: u64) -> World {
        let count = env_or("SOAK_INSTANCES", DEFAULT_INSTANCES);
        let world = World::prepare("soak", seed, count).await;
        (0..count).for_each(|at| world.launch(at));
        world
    }

    /// Starts the stand-ins and prepares the instances, whose files are in a directory named after the test.
    async fn prepare(test: &str, seed: u64, count: usize) -> World {
        let store = FakeStore::default();
        let group = group(&store, 20).await;
        group.heals.set(true);
        let keys = KeySchedule::new(seed);
        let mut config = desired(1, 20);
        config.organisations = Some(keys.next());
        store.set(Collection::Config, "main", Record::Config(config));
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}-{seed}"));
        fs::create_dir_all(&dir).unwrap();
        let mut instances = Vec::new();
        for n in 0..count {
            let mut links = Vec::new();
            for server in &group.servers {
                let link = Proxy::start(server.addr).await;
                link.linger.set(Some(SERVER_LINGER));
                links.push(link);
            }
            let addrs = group.servers.iter().zip(&links).map(|(server, link)| (server.addr, link.addr));
            let front = http::front(&store, addrs.collect::<BTreeMap<_, _>>()).await;
            let ports = free_ports();
            let name = format!("a{n}");
            let zone = ["z1", "z2", "z3"][n % 3];
            let file = dir.join(format!("{name}.toml"));
            instances.push(Rc::new(Instance {
                name,
                zone,
                ports,
                front,
                links,
                file,
                child: RefCell::default(),
            }));
        }
        let seeds: Vec<SocketAddrV4> =
            instances.iter().map(|i| SocketAddrV4::new(Ipv4Addr::LOCALHOST, i.ports[2])).collect();
        for i in &instances {
            fs::write(&i.file, http::settings(&i.name, i.zone, i.ports, &i.front, &seeds)).unwrap();
        }
        let rng = RefCell::new(Pcg64Mcg::seed_from_u64(seed));
        let extra_rng = RefCell::new(Pcg64Mcg::seed_from_u64(!seed));
        let (attempts, stop, reads) = (RefCell::default(), Cell::default(), Cell::default());
        let changes = ConfigChanges::new(seed);
        World { seed, rng, extra_rng, changes, keys, store, group, instances, attempts, stop, reads, dir }
    }

    fn below(&self, limit: u64) -> u64 {
        self.rng.borrow_mut().random_range(0..limit)
    }

    fn extra_below(&self, limit: u64) -> u64 {
        self.extra_rng.borrow_mut().random_range(0..limit)
    }

    fn any_instance(&self) -> usize {
        self.below(self.instances.len() as u64) as usize
    }

    fn launch(&self, at: usize) {
        let instance = &self.instances[at];
        let path = self.dir.join(format!("{}.log", instance.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(path).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_pondtrackd"))
            .arg("hosted")
            .env(http::SETTINGS, &instance.file)
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn()
            .unwrap();
        *instance.child.borrow_mut() = Some(child);
    }

    /// Returns the process id of an instance, or none if the instance isn't running.
    fn pid(&self, at: usize) -> Option<u32> {
        self.instances[at].child.borrow().as_ref().map(Child::id)
    }

    /// Sends a signal to the process of an instance, if the process is running.
    fn signal(&self, at: usize, signal: &str) {
        if let Some(child) = self.instances[at].child.borrow().as_ref() {
            let sent = Command::new("kill").args([signal, &child.id().to_string()]).status();
            assert!(sent.is_ok());
        }
    }

    /// Signals an instance to stop and waits until its process has exited.
    async fn stop_instance(&self, at: usize, signal: &str) {
        self.signal(at, signal);
        self.wait_exit(at).await;
    }

    /// Waits until the process of an instance has exited, and panics if the instance exceeds its grace
    /// period.
    async fn wait_exit(&self, at: usize) {
        let child = self.instances[at].child.borrow_mut().take();
        let Some(mut child) = child else { return };
        let exited = timeout(Duration::from_secs(8), async {
            while child.try_wait().unwrap().is_none() {
                sleep(Duration::from_millis(10)).await;
            }
        });
        if exited.await.is_err() {
            child.kill().unwrap();
            child.wait().unwrap();
            panic!("seed {}: an instance didn't end within its grace", self.seed);
        }
    }

    /// Ends all faults of the instances, proxies and servers.
    fn heal(&self) {
        for instance in &self.instances {
            instance.front.store.outage.set(Outage::None);
            instance.front.way.set(Harm::None);
            instance.links.iter().for_each(|link| link.set(Harm::None));
        }
        for server in &self.group.servers {
            server.fault.set(Fault::None);
            server.deaf.set(false);
            server.lags.set(false);
        }
        self.group.catch_up();
    }

    /// Waits until every instance has acknowledged a write, and panics after `RECOVERY`.
    async fn recovered(&self, phase: &str) {
        for instance in &self.instances {
            let done = timeout(RECOVERY, async {
                loop {
                    let addr = SocketAddr::from(([127, 0, 0, 1], instance.ports[0]));
                    if let Some(mut caller) = Caller::try_open(addr, "own").await {
                        let id = format!("probe-{}", self.below(u64::MAX));
                        let response = timeout(RESPONSE_TIMEOUT, caller.told(&id, "WRITE probe 1")).await;
                        if matches!(response, Ok((Told::Done(_), _))) {
                            return;
                        }
                    }
                    sleep(Duration::from_millis(50)).await;
                }
            });
            assert!(
                done.await.is_ok(),
                "seed {}: {} acknowledges no write after {phase}",
                self.seed,
                instance.name
            );
        }
    }

    /// Checks the committed statements against the responses that callers received: no write took effect
    /// twice, no acknowledged write was lost, and no write that was reported as not run took effect. Also
    /// checks that the promotion orders in the store are in sequence.
    fn check(&self) {
        let seed = self.seed;
        let committed = self.group.committed.borrow();
        let times = |id: &String| committed.iter().filter(|c| *c == id).count();
        let primary = self.group.lead();
        let log = primary.log.borrow();
        let mut done = 0;
        for attempt in self.attempts.borrow().iter() {
            assert!(times(&attempt.id) <= 1, "seed {seed}: {} took effect twice", attempt.id);
            match attempt.response {
                Told::Done(_) => {
                    done += 1;
                    let present = log.iter().any(|entry| entry.id == attempt.id);
                    assert!(present, "seed {seed}: {} was acknowledged and is lost", attempt.id);
                }
                Told::NotRun => assert_eq!(times(&attempt.id), 0, "seed {seed}: {} ran", attempt.id),
                Told::Unknown => {}
            }
        }
        let orders = self.store.orders();
        for pair in orders.windows(2) {
            let same = pair[0].1 == pair[1].1 && pair[0].0 == pair[1].0;
            assert!(same || pair[0].1 < pair[1].1, "seed {seed}: orders {orders:?}");
        }
        println!(
            "seed {seed}: {done} writes acknowledged, {} reads checked, {} promotions",
            self.reads.get(),
            orders.len()
        );
        assert!(done > 0 && self.reads.get() > 0, "seed {seed}: nothing was served");
    }

    /// Stops all instances and waits until their processes have exited.
    async fn end(&self) {
        for at in 0..self.instances.len() {
            self.signal(at, "-TERM");
        }
        for at in 0..self.instances.len() {
            self.wait_exit(at).await;
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        // Kills the remaining processes after a failed check, too.
        for instance in &self.instances {
            if let Some(mut child) = instance.child.borrow_mut().take() {
                child.kill().ok();
                child.wait().ok();
            }
        }
    }
}

/// Writes the entry of each server to the store whenever the entry has changed.
async fn publish_entries(world: Rc<World>) {
    loop {
        for server in &world.group.servers {
            let entry = Record::Server(server.entry());
            let stored = world.store.get(Collection::Servers, &server.id).and_then(|e| e.record);
            if stored != Some(entry.clone()) {
                world.store.set(Collection::Servers, &server.id, entry);
            }
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// Injects one random fault and ends the fault after a random duration.
async fn fault(world: Rc<World>) {
    let at = world.any_instance();
    let server = world.group.servers[world.below(3) as usize].clone();
    let link = world.instances[at].links[world.below(3) as usize].clone();
    let duration = Duration::from_millis(200 + world.below(2_800));
    match world.below(12) {
        0 => restart(&world, at, "-KILL", duration / 4).await,
        1 => restart(&world, at, "-TERM", duration / 4).await,
        2 => {
            world.signal(at, "-STOP");
            sleep(duration).await;
            world.signal(at, "-CONT");
        }
        3 => break_server(&server, Fault::Silent, duration).await,
        4 => {
            server.fault.set(Fault::Closed);
            server.cut();
            sleep(duration).await;
            server.fault.set(Fault::None);
            world.group.catch_up();
        }
        5 => break_server(&server, Fault::LosesAnswers, duration).await,
        6 => {
            server.deaf.set(true);
            sleep(duration).await;
            server.deaf.set(false);
            world.group.catch_up();
        }
        7 => {
            server.lags.set(true);
            sleep(duration).await;
            server.lags.set(false);
        }
        8 => harm_link(&link, [Harm::Silent, Harm::OneWay][world.below(2) as usize], duration).await,
        9 => harm_link(&link, Harm::Delay(Duration::from_millis(world.below(300))), duration).await,
        10 => link.reset(),
        _ => {
            let outage = [Outage::Refuses, Outage::LosesAnswers][world.below(2) as usize];
            let all = world.below(2) == 0;
            let hit: Vec<_> = world.instances.iter().enumerate().filter(|(n, _)| all || *n == at).collect();
            hit.iter().for_each(|(_, i)| i.front.store.outage.set(outage));
            sleep(duration).await;
            hit.iter().for_each(|(_, i)| i.front.store.outage.set(Outage::None));
        }
    }
}

/// Injects further faults until `end`: connections that go silent permanently while new connections work,
/// faults of the link to the store, and settings files that are rewritten with or without SIGHUP.
async fn extra_faults(world: Rc<World>, end: Instant) {
    while Instant::now() < end {
        sleep(Duration::from_millis(world.extra_below(1_500))).await;
        let at = world.extra_below(world.instances.len() as u64) as usize;
        let instance = world.instances[at].clone();
        let duration = Duration::from_millis(200 + world.extra_below(2_000));
        match world.extra_below(6) {
            0 => instance.links[world.extra_below(3) as usize].mute(),
            1 => world.instances.iter().flat_map(|i| &i.links).for_each(|link| link.mute()),
            2 => instance.front.way.mute(),
            3 => instance.front.way.reset(),
            4 => {
                let harm = [Harm::Silent, Harm::OneWay, Harm::Delay(Duration::from_millis(300))];
                let harm = harm[world.extra_below(3) as usize];
                tokio::task::spawn_local(async move { harm_link(&instance.front.way, harm, duration).await });
            }
            _ => {
                let settings = fs::read_to_string(&instance.file).unwrap();
                fs::write(&instance.file, settings + "\n").unwrap();
                if world.extra_below(2) == 0 {
                    world.signal(at, "-HUP");
                }
            }
        }
    }
}

/// In a fifth of the seeds, makes the store unavailable several times and restores its state from up to 5 s
/// before.
async fn store_restores(world: Rc<World>, end: Instant) {
    if !world.seed.is_multiple_of(RESTORE_EVERY) {
        return;
    }
    let mut rng = Pcg64Mcg::seed_from_u64(world.seed ^ RESTORE_SALT);
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(500..3_000))).await;
        world.instances.iter().for_each(|i| i.front.store.outage.set(Outage::Refuses));
        sleep(Duration::from_millis(rng.random_range(0..800))).await;
        world.store.restore(Duration::from_millis(rng.random_range(0..5_000)));
        world.instances.iter().for_each(|i| i.front.store.outage.set(Outage::None));
    }
}

/// Applies a fault to a server for the given duration.
async fn break_server(server: &stand_in::FakeServer, fault: Fault, duration: Duration) {
    server.fault.set(fault);
    sleep(duration).await;
    server.fault.set(Fault::None);
}

/// Applies a fault to a proxy for the given duration.
async fn harm_link(link: &Proxy, harm: Harm, duration: Duration) {
    link.set(harm);
    sleep(duration).await;
    link.set(Harm::None);
}

/// Stops an instance by the given signal and starts it again after a pause.
async fn restart(world: &World, at: usize, signal: &str, pause: Duration) {
    if world.instances[at].child.borrow().is_some() {
        world.signal(at, "-CONT");
        world.stop_instance(at, signal).await;
        sleep(pause).await;
        world.launch(at);
    }
}

/// Runs a caller, which opens sessions at random instances, writes its own items and reads the items of all
/// callers.
async fn call(world: Rc<World>, caller: usize) {
    let mut n = 0;
    while !world.stop.get() {
        let at = world.any_instance();
        let addr = SocketAddr::from(([127, 0, 0, 1], world.instances[at].ports[0]));
        let database = ["own", "latest", "bounded"][world.below(3) as usize];
        let opened = timeout(RESPONSE_TIMEOUT, Caller::try_open(addr, database)).await;
        let Ok(Some(mut conn)) = opened else {
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        let session = world.attempts.borrow().len();
        for _ in 0..world.below(20) {
            n += 1;
            let item = format!("c{caller}-{n}");
            let is_idle = match world.below(4) {
                0 => write(&world, &mut conn, &item, database).await,
                1 => transaction(&world, &mut conn, &item, database).await,
                _ => read(&world, &mut conn, caller, session, database).await,
            };
            if !is_idle {
                break;
            }
        }
    }
}

/// Sends a statement. Returns the response, and true if the session is still open and outside a transaction.
async fn request(conn: &mut Caller, id: &str, text: &str) -> (Told, bool) {
    timeout(RESPONSE_TIMEOUT, conn.told(id, text)).await.unwrap_or((Told::Unknown, false))
}

/// Writes an item in a single statement. Returns true if the session is idle afterwards.
async fn write(world: &World, conn: &mut Caller, item: &str, database: &'static str) -> bool {
    let id = format!("w-{item}");
    let (response, is_idle) = request(conn, &id, &format!("WRITE {item} {item}")).await;
    let item = item.to_owned();
    world.attempts.borrow_mut().push(Attempt { id, item, response, responded_at: Instant::now(), database });
    is_idle
}

/// Writes an item in an explicit transaction. Returns true if the session is idle afterwards.
async fn transaction(world: &World, conn: &mut Caller, item: &str, database: &'static str) -> bool {
    if !matches!(request(conn, &format!("b-{item}"), "BEGIN").await.0, Told::Done(_)) {
        return false;
    }
    if !matches!(request(conn, &format!("t-{item}"), &format!("WRITE {item} {item}")).await.0, Told::Done(_))
    {
        return false;
    }
    let id = format!("e-{item}");
    let (response, is_idle) = request(conn, &id, "COMMIT").await;
    let item = item.to_owned();
    world.attempts.borrow_mut().push(Attempt { id, item, response, responded_at: Instant::now(), database });
    is_idle
}

/// Reads an item that must be visible: any acknowledged write in `latest`, a write older than the staleness
/// limit in any database, or a write of the same session in `own`. Returns true if the session is idle
/// afterwards.
async fn read(world: &World, conn: &mut Caller, caller: usize, session: usize, database: &str) -> bool {
    let started_at = Instant::now();
    let prefix = format!("c{caller}-");
    let must_see = |n: usize, a: &Attempt| {
        let own = database == "own" && n >= session && a.item.starts_with(&prefix) && a.database == database;
        let old = database == "latest" || started_at.duration_since(a.responded_at) > MAX_STALENESS;
        matches!(a.response, Told::Done(_)) && (own || old)
    };
    // The latest writes are the most likely to be missing.
    let items: Vec<String> = {
        let attempts = world.attempts.borrow();
        let latest = attempts.iter().enumerate().rev();
        latest.filter(|(n, a)| must_see(*n, a)).map(|(_, a)| a.item.clone()).take(READ_CANDIDATES).collect()
    };
    if items.is_empty() {
        return true;
    }
    let item = items[world.below(items.len() as u64) as usize].clone();
    let id = format!("r-{}", world.below(u64::MAX));
    let (response, is_idle) = request(conn, &id, &format!("READ {item}")).await;
    if let Told::Done(Some(row)) = response {
        world.reads.set(world.reads.get() + 1);
        let data = row.split(' ').next().unwrap_or_default();
        assert_eq!(data, item, "seed {}: a read of {database} lacks an acknowledged write", world.seed);
    }
    is_idle
}

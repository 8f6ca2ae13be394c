//! What the cases have in common: a service of three servers, a store, an order to promote, and machines in three
//! zones.

use {
    crate::{
        http::{self, Response},
        machine::{Client, Machine},
        proxy::Proxy,
        record::Record,
        server::Group,
        store::Store,
    },
    serde_json::{Value, json},
    std::{
        fs,
        path::{Path, PathBuf},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

/// How long a statement of a client takes at a server, where a case doesn't need another time.
pub const WORK: Duration = Duration::from_millis(8);
pub const ZONES: [&str; 3] = ["ulemiste", "lasnamae", "kopli"];
pub const SERVICE: &str = "dele69a";
/// A database of the kind `primary`.
pub const DATABASE: &str = "sede270";

/// A run ends after this time, whatever happens.
const TIME_LIMIT: Duration = Duration::from_secs(100);

/// An accepted call of the order to promote.
pub struct Order {
    pub at: f64,
    pub holder: String,
    pub token: u64,
}

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub group: Arc<Group>,
    pub machines: Vec<Arc<Machine>>,
    /// Between each machine and the store, and the order to promote.
    pub paths: Vec<[Arc<Proxy>; 2]>,
    pub orders: Arc<Mutex<Vec<Order>>>,
    stop: Arc<AtomicBool>,
    clients: Mutex<Vec<JoinHandle<()>>>,
    dir: PathBuf,
}

impl World {
    pub fn start(folder: &Path, work: Duration) -> Result<World, String> {
        let record = Record::create(&folder.join("record.txt")).map_err(|e| format!("record.txt: {e}"))?;
        let record = Arc::new(record);
        let dir = std::env::temp_dir().join(format!("review-standin-2-{}", std::process::id()));
        fs::create_dir_all(&dir).map_err(|e| format!("the temporary folder: {e}"))?;
        let (store, store_addr) = Store::start();
        let group = Group::start(SERVICE, &ZONES, record.clone(), work);
        let orders: Arc<Mutex<Vec<Order>>> = Arc::default();
        let orders_addr = serve_orders(&record, &group, &orders);
        let mut machines = Vec::new();
        let mut paths = Vec::new();
        for (n, zone) in ZONES.iter().enumerate() {
            let path = [Proxy::start(store_addr), Proxy::start(orders_addr)];
            let platform = (path[0].addr, path[1].addr);
            let name = format!("frontend-{zone}-{}", n + 1);
            machines.push(Machine::new(&name, zone, platform, dir.clone(), record.clone()));
            paths.push(path);
        }
        let world = World {
            record,
            store,
            group,
            machines,
            paths,
            orders,
            stop: Arc::default(),
            clients: Mutex::default(),
            dir,
        };
        watch_time(world.machines.clone(), world.dir.clone());
        world.store.set("config", "main", config());
        world.publish();
        let seeds: Vec<String> = world.machines.iter().map(|m| m.peer_addr()).collect();
        for machine in &world.machines {
            machine.set_seeds(&seeds);
            machine.start(true);
        }
        if !world.wait(10.0, || world.machines.iter().all(|m| m.is_ready())) {
            return Err("the machines are not ready".to_owned());
        }
        // As on the platform, traffic starts 10 s after the machines do.
        world.sleep_until(10.0);
        Ok(world)
    }

    /// The servers write their entries into the store; this is the acknowledgement of a change there.
    pub fn publish(&self) {
        for server in self.group.servers().iter() {
            if !server.up {
                continue;
            }
            let role = if server.primary { "primary" } else { "replica" };
            let entry = json!({
                "Service": SERVICE, "Addr": server.addr.to_string(), "Zone": server.zone, "Version": "v1",
                "Slots": 3, "State": "ready", "ColdLeftMs": 0, "DbRole": role, "Seq": 1,
            });
            self.store.set("servers", &server.id, entry);
        }
    }

    /// Publishes the servers' entries while something else goes on; `until` is in seconds since the start.
    pub fn sleep_until(&self, until: f64) {
        while self.record.now() < until {
            self.publish();
            let left = (until - self.record.now()).clamp(0.0, 0.05);
            thread::sleep(Duration::from_secs_f64(left));
        }
    }

    pub fn sleep(&self, seconds: f64) {
        self.sleep_until(self.record.now() + seconds);
    }

    /// Waits for a condition; returns false if it doesn't hold in time.
    pub fn wait(&self, seconds: f64, holds: impl Fn() -> bool) -> bool {
        let end = self.record.now() + seconds;
        while !holds() {
            if self.record.now() > end {
                return false;
            }
            self.publish();
            thread::sleep(Duration::from_millis(5));
        }
        true
    }

    /// Starts clients on each machine.
    pub fn start_clients(&self, each: usize, pause: Duration) {
        let mut clients = self.clients.lock().unwrap();
        for (machine, addr) in self.machines.iter().enumerate() {
            for n in 0..each {
                let client = Client {
                    addr: addr.clone(),
                    database: DATABASE,
                    name: format!("u{machine}{n}"),
                    pause,
                    record: self.record.clone(),
                    stop: self.stop.clone(),
                };
                clients.push(thread::spawn(move || client.run()));
            }
        }
    }

    /// The machine that holds the lease: the only one named in its record.
    pub fn holder(&self) -> Option<usize> {
        let record = self.store.find("pondtrack-leases", "failover")?;
        let holder = record["holder"].as_str()?.to_owned();
        self.machines.iter().position(|m| m.name == holder)
    }

    /// Ends clients and processes.
    pub fn end(&self) {
        self.stop.store(true, Ordering::SeqCst);
        for client in self.clients.lock().unwrap().drain(..) {
            let _ = client.join();
        }
        for machine in &self.machines {
            machine.kill();
        }
        self.record.flush();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Ends the processes and the run after [`TIME_LIMIT`], or when the file that `STOP_FILE` names is there.
fn watch_time(machines: Vec<Arc<Machine>>, dir: PathBuf) {
    let end = Instant::now() + TIME_LIMIT;
    let stop_file = std::env::var_os("STOP_FILE").map(PathBuf::from);
    thread::spawn(move || {
        let is_stopped = || stop_file.as_ref().is_some_and(|file| file.exists());
        while Instant::now() < end && !is_stopped() {
            thread::sleep(Duration::from_millis(50));
        }
        println!("the case couldn't run: it was stopped, or takes too long");
        for machine in machines {
            machine.kill();
        }
        let _ = fs::remove_dir_all(dir);
        std::process::exit(2);
    });
}

fn serve_orders(
    record: &Arc<Record>,
    group: &Arc<Group>,
    orders: &Arc<Mutex<Vec<Order>>>,
) -> std::net::SocketAddr {
    let (record, group) = (record.clone(), group.clone());
    let orders = orders.clone();
    http::serve(move |request| {
        let holder = request.header("Lease-Holder").unwrap_or_default().to_owned();
        let token = request.header("Fencing-Token").and_then(|t| t.parse().ok()).unwrap_or_default();
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let id = body["Id"].as_str().unwrap_or_default();
        let at = record.line(format!("promote {id} by {holder}, token {token}"));
        orders.lock().unwrap().push(Order { at, holder, token });
        let taken = group.promote(id);
        Response::new(if taken { 200 } else { 409 }, "{}")
    })
}

fn config() -> Value {
    let route = |host: &str, kind: &str, timeout: u64, slo: u64, priority: u64| {
        json!({
            "Name": format!("r-{host}"), "Host": host, "PathPrefix": "/", "Kind": kind, "TimeoutMs": timeout,
            "SloMs": slo, "Priority": priority, "Service": SERVICE, "MaxAttempts": 2, "MaxStalenessMs": 1500,
        })
    };
    json!({
        "Version": 7,
        "Routes": [
            route("hide442", "bounded_staleness", 2000, 600, 2),
            route("loje422", "read_own_writes", 1000, 400, 2),
            route(DATABASE, "primary", 1000, 200, 1),
        ],
        "Services": [{
            "Name": SERVICE, "HealthPath": "/healthz", "MaxConns": 38, "Protocol": "h1", "Tls": false,
            "SyncReplicas": 0,
        }],
        "Limits": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
            "TxIdleMs": 3000,
        },
    })
}

impl Drop for World {
    fn drop(&mut self) {
        self.end();
    }
}

//! A small deployment: one group of three servers, the store, the call to promote, and instances in three zones.

use crate::{
    gate::{self, Gate},
    group::Group,
    http,
    instance::Instance,
    json::{Json, number, object, string},
    record,
    store::{self, Shown, Store},
};
use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    thread::sleep,
    time::{Duration, Instant},
};

/// The zones; server `i` is in zone `i`.
pub const ZONES: [&str; 3] = ["cm-hq", "lp-depot", "cr-depot"];
const SERVICE: &str = "parts";
/// How far replicas are behind, and how long a promotion takes.
const LAG: Duration = Duration::from_millis(60);
const PROMOTE_TIME: Duration = Duration::from_millis(300);

/// The deployment.
pub struct Site {
    root: PathBuf,
    dir: PathBuf,
    pub store: Arc<Store>,
    pub group: Arc<Group>,
    /// The paths from the machines to the servers, for all machines but those with paths of their own.
    pub gates: Vec<Gate>,
    shown: Shown,
}

impl Site {
    /// Starts the store and the servers.
    pub fn start(root: &Path, dir: &Path) -> Site {
        let store = Arc::new(Store::default());
        store.set("config", "main", config());
        let gates = vec![Gate::default(), Gate::default(), Gate::default()];
        let group = Group::start(SERVICE, &ZONES, LAG, PROMOTE_TIME, &gates, &store);
        Site { root: root.to_owned(), dir: dir.to_owned(), store, group, gates, shown: Shown::default() }
    }

    /// Prepares an instance with the common paths.
    pub fn instance(&self, name: &str, zone: &str, cloud: SocketAddr) -> Instance {
        let store = store::front(&self.store, name, &Gate::default(), &self.shown);
        Instance::new(&self.root, &self.dir, name, zone, store, cloud)
    }

    /// Prepares an instance with paths of its own to the servers, to the store and to the other instances.
    pub fn apart(&self, name: &str, zone: &str, paths: &Paths, others: &[Instance]) -> Instance {
        let servers = paths.servers.iter().enumerate();
        let servers = servers.map(|(at, gate)| (self.group.addr(at), self.group.listen(at, gate)));
        let others = others.iter().map(|other| (other.peers, gate::proxy(other.peers, &paths.others)));
        let shown: Shown = Arc::new(Mutex::new(servers.chain(others).collect()));
        let store = store::front(&self.store, name, &paths.store, &shown);
        let instance = Instance::new(&self.root, &self.dir, name, zone, store, self.cloud());
        let way_back = gate::proxy(instance.peers, &paths.others);
        self.shown.lock().unwrap().push((instance.peers, way_back));
        instance
    }

    /// Starts a front of the call to promote that carries out each order at once.
    pub fn cloud(&self) -> SocketAddr {
        let group = self.group.clone();
        http::serve(
            Gate::default(),
            Arc::new(move |request, _| {
                let response = group.promote(request);
                record!("platform: {} -> {}", order_text(request), response.0);
                Some(response)
            }),
        )
    }

    /// The holder of the right to promote, and the number of the last write of that record.
    pub fn holder(&self) -> Option<(String, u64)> {
        let record = self.store.get("pondtrack-leases", "failover")?;
        let holder = record.get("holder").as_str().filter(|name| !name.is_empty())?;
        Some((holder.to_owned(), record.get("nonce").as_u64()?))
    }
}

/// Paths of one machine.
#[derive(Clone, Default)]
pub struct Paths {
    pub servers: [Gate; 3],
    pub store: Gate,
    pub others: Gate,
}

/// An order to promote as text.
pub fn order_text(request: &http::Request) -> String {
    let header = |name| request.header(name).unwrap_or("-").to_owned();
    format!(
        "POST /promote {} by {} with token {}",
        request.body,
        header("lease-holder"),
        header("fencing-token")
    )
}

fn config() -> Json {
    let route = |name: &str, kind: &str, more: Option<u64>| {
        let mut fields = vec![
            ("Name", string(format!("r-{name}"))),
            ("Host", string(name)),
            ("PathPrefix", string("/")),
            ("Kind", string(kind)),
            ("TimeoutMs", number(800)),
            ("SloMs", number(150)),
            ("Priority", number(1)),
            ("Service", string(SERVICE)),
            ("MaxAttempts", number(2)),
        ];
        fields.extend(more.map(|ms| ("MaxStalenessMs", number(ms))));
        Json::Object(fields.into_iter().map(|(key, value)| (key.to_owned(), value)).collect())
    };
    let service = object([
        ("Name", string(SERVICE)),
        ("HealthPath", string("/healthz")),
        ("MaxConns", number(23)),
        ("Protocol", string("h1")),
        ("Tls", Json::Bool(false)),
        ("SyncReplicas", number(0)),
    ]);
    let routes = vec![
        route("stock-post", "primary", None),
        route("part-lookup", "bounded_staleness", Some(1_500)),
        route("reorder", "read_own_writes", Some(2_500)),
    ];
    object([
        ("Version", number(7)),
        ("Routes", Json::Array(routes)),
        ("Services", Json::Array(vec![service])),
        (
            "Limits",
            object([
                ("MaxHeaderBytes", number(16_384)),
                ("MaxBodyBytes", number(262_144)),
                ("HeaderTimeoutMs", number(3_000)),
                ("IdleTimeoutMs", number(15_000)),
                ("TxIdleMs", number(3_000)),
            ]),
        ),
    ])
}

/// Waits until something is so.
pub fn wait(what: &str, limit: Duration, is: impl Fn() -> bool) -> Result<(), String> {
    let end = Instant::now() + limit;
    while !is() {
        if Instant::now() >= end {
            return Err(format!("never: {what}"));
        }
        sleep(Duration::from_millis(1));
    }
    record!("now: {what}");
    Ok(())
}

//! Organisations whose keys are reassigned and revoked under the other faults, and an organisation whose
//! callers exceed its quota.
//!
//! The id of each statement contains the name of the key that opened its session. The stand-in servers record
//! the organisation that owns the connection on which the statement arrived.

use {
    super::{RECOVERY, RESPONSE_TIMEOUT, World, config_changes, request},
    crate::stand_in::{Caller, Told, http::KEYS},
    pondtrack_engine::organisation::{KeyHash, Organisation, Organisations, Quota},
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::time::{Instant, sleep, timeout},
};

/// Salt that separates the random numbers of this module from those of the others.
const SALT: u64 = 0x51_7cc1_b727_220a;
/// The quota of one organisation. Without the limit, its callers would exceed the quota many times over.
const QUOTA: Quota = Quota { rate: 8.0, burst: 8.0 };
/// The sliding window over which the quota is checked.
const WINDOW: Duration = Duration::from_secs(5);
/// Number of operations tolerated in a window above 110 % of the quota.
const MARGIN: f64 = 20.0;

/// The organisation that holds the roaming key, which moves between organisations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Holder {
    Acme,
    Beta,
    Nobody,
}

/// The assignments of the roaming key so far.
pub struct KeySchedule {
    rng: RefCell<Pcg64Mcg>,
    /// Every holder of the roaming key, with the time of the assignment.
    holders: RefCell<Vec<(Instant, Holder)>>,
    /// Number of statements sent, for unique ids.
    count: Cell<usize>,
}

impl KeySchedule {
    /// Creates the schedule for a seed.
    pub fn new(seed: u64) -> KeySchedule {
        let rng = RefCell::new(Pcg64Mcg::seed_from_u64(seed ^ SALT));
        KeySchedule { rng, holders: RefCell::default(), count: Cell::default() }
    }

    fn below(&self, limit: u64) -> u64 {
        self.rng.borrow_mut().random_range(0..limit)
    }

    /// Returns the organisations of the next configuration, with the roaming key at a random holder.
    pub fn next(&self) -> Organisations {
        self.assign([Holder::Acme, Holder::Beta, Holder::Nobody][self.below(3) as usize])
    }

    /// Records the holder of the roaming key and returns the organisations with that assignment.
    fn assign(&self, holder: Holder) -> Organisations {
        self.holders.borrow_mut().push((Instant::now(), holder));
        let roaming = |h| if holder == h { &KEYS[1..2] } else { &[] };
        Organisations::new(vec![
            organisation("users", &KEYS[..1], None),
            organisation("acme", roaming(Holder::Acme), None),
            organisation("beta", roaming(Holder::Beta), None),
            organisation("gamma", &KEYS[2..3], Some(QUOTA)),
        ])
    }
}

/// Returns an organisation with the hashes of the given keys.
fn organisation(name: &str, keys: &[&str], quota: Option<Quota>) -> Organisation {
    let keys = keys.iter().map(|k| KeyHash::of(k)).collect();
    Organisation { name: name.into(), keys, quota }
}

/// Runs a caller, which uses the roaming key, the key of the organisation with a quota, or a key that no
/// organisation ever held, depending on its number.
pub async fn call(world: Rc<World>, caller: usize) {
    let (name, key) = [("roam", KEYS[1]), ("gamma", KEYS[2]), ("nobody", "k-nobody")][caller % 3];
    while !world.stop.get() {
        sleep(Duration::from_millis(10)).await;
        let at = world.keys.below(world.instances.len() as u64) as usize;
        let addr = SocketAddr::from(([127, 0, 0, 1], world.instances[at].ports[0]));
        let opened = timeout(RESPONSE_TIMEOUT, Caller::try_open_as(addr, "bounded", key)).await;
        let Ok(Some(mut conn)) = opened else { continue };
        assert_ne!(name, "nobody", "seed {}: a session with a key that nobody ever held", world.seed);
        // Uses the connection until the session fails, for at most 200 statements.
        for _ in 0..200 {
            let n = world.keys.count.replace(world.keys.count.get() + 1);
            let (response, is_idle) = request(&mut conn, &format!("o-{name}-{n}"), "READ probe").await;
            if !is_idle || world.stop.get() {
                break;
            }
            let pause = if matches!(response, Told::Done(_)) { 2 } else { 20 };
            sleep(Duration::from_millis(pause)).await;
        }
    }
}

/// Revokes the roaming key permanently and checks that no statement with the key runs once every instance has
/// applied the change.
pub async fn revoke_key(world: &World) {
    config_changes::change_once(world, world.keys.assign(Holder::Nobody));
    config_changes::wait_applied(world).await;
    let since = Instant::now() + Duration::from_millis(200);
    sleep(Duration::from_millis(1_200)).await;
    let late = world.group.servers.iter().flat_map(|s| s.arrivals.borrow().clone());
    let late: Vec<_> = late.filter(|a| a.at > since && a.id.starts_with("o-roam")).collect();
    assert!(late.is_empty(), "seed {}: ran with a revoked key: {late:?}", world.seed);
}

/// Waits until a statement of the organisation with a quota has run, and panics after `RECOVERY`.
pub async fn wait_served(world: &World) {
    let ran = || world.group.servers.iter().any(|s| s.arrivals.borrow().iter().any(|a| a.owner == "gamma"));
    let poll = async {
        while !ran() {
            sleep(Duration::from_millis(50)).await;
        }
    };
    assert!(
        timeout(RECOVERY, poll).await.is_ok(),
        "seed {}: no statement ran for the organisation with a quota",
        world.seed
    );
}

/// Checks the statements that servers ran: each ran for an organisation that had held the key of its session
/// by then, and the organisation with a quota stayed within the quota and its tolerance in every window.
pub fn check(world: &World) {
    let seed = world.seed;
    let mut arrivals: Vec<_> = world.group.servers.iter().flat_map(|s| s.arrivals.borrow().clone()).collect();
    arrivals.sort_by_key(|a| a.at);
    let history = world.keys.holders.borrow();
    let mut gamma = Vec::new();
    for arrival in &arrivals {
        let holders: Vec<&str> = match arrival.id.split('-').collect::<Vec<_>>()[..] {
            ["o", "roam", _] => history
                .iter()
                .filter(|(since, _)| *since <= arrival.at)
                .filter_map(|(_, holder)| match holder {
                    Holder::Acme => Some("acme"),
                    Holder::Beta => Some("beta"),
                    Holder::Nobody => None,
                })
                .collect(),
            ["o", "gamma", _] => {
                gamma.push(arrival.at);
                vec!["gamma"]
            }
            ["o", ..] => Vec::new(),
            _ => vec!["users"],
        };
        assert!(
            holders.contains(&arrival.owner.as_str()),
            "seed {seed}: {arrival:?}, whose key was held by {holders:?}"
        );
    }
    let max = (QUOTA.rate * WINDOW.as_secs_f64() + QUOTA.burst) * 1.1 + MARGIN;
    let mut highest = 0;
    for (n, at) in gamma.iter().enumerate() {
        let first = gamma.partition_point(|t| *t + WINDOW < *at);
        highest = highest.max(n + 1 - first);
    }
    println!("seed {seed}: {} ran under a quota, at most {highest} of {max} in a window", gamma.len());
    assert!(highest as f64 <= max, "seed {seed}: {highest} ran in a window, at most {max}");
}

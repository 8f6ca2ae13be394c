//! Organisations whose keys are passed on and taken away while faults go on, and one that wants more than its quota.
//!
//! The ids of statements tell with which key their session was opened; servers note whose connection they came over.

use {
    super::{ANSWER, RECOVERY, World, ask, growth},
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

/// Parts the random numbers of this part from the others'.
const SALT: u64 = 0x51_7cc1_b727_220a;
/// The quota of one organisation, which its callers would exceed many times.
const QUOTA: Quota = Quota { rate: 8.0, burst: 8.0 };
/// The span over which quotas are judged, and what is tolerated above them: a tenth, and so many operations.
const WINDOW: Duration = Duration::from_secs(5);
const MARGIN: f64 = 20.0;

/// Who holds the key that is passed around.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Holder {
    Acme,
    Beta,
    Nobody,
}

/// What was made of organisations so far.
pub struct Keys {
    rng: RefCell<Pcg64Mcg>,
    /// Who ever held the key that is passed around, and since when.
    held: RefCell<Vec<(Instant, Holder)>>,
    count: Cell<usize>,
}

impl Keys {
    /// Changes of a seed.
    pub fn new(seed: u64) -> Keys {
        let rng = RefCell::new(Pcg64Mcg::seed_from_u64(seed ^ SALT));
        Keys { rng, held: RefCell::default(), count: Cell::default() }
    }

    fn below(&self, limit: u64) -> u64 {
        self.rng.borrow_mut().random_range(0..limit)
    }

    /// The organisations of the next configuration.
    pub fn next(&self) -> Organisations {
        self.give([Holder::Acme, Holder::Beta, Holder::Nobody][self.below(3) as usize])
    }

    fn give(&self, holder: Holder) -> Organisations {
        self.held.borrow_mut().push((Instant::now(), holder));
        let held = |it| if holder == it { &KEYS[1..2] } else { &[] };
        Organisations::new(vec![
            organisation("users", &KEYS[..1], None),
            organisation("acme", held(Holder::Acme), None),
            organisation("beta", held(Holder::Beta), None),
            organisation("gamma", &KEYS[2..3], Some(QUOTA)),
        ])
    }
}

fn organisation(name: &str, keys: &[&str], quota: Option<Quota>) -> Organisation {
    let keys = keys.iter().map(|it| KeyHash::of(it)).collect();
    Organisation { name: name.into(), keys, quota }
}

/// Callers with the key that is passed around, of the organisation with a quota, and with a key that nobody ever held.
pub async fn call(world: Rc<World>, caller: usize) {
    let (name, key) = [("roam", KEYS[1]), ("gamma", KEYS[2]), ("nobody", "k-nobody")][caller % 3];
    while !world.stop.get() {
        sleep(Duration::from_millis(10)).await;
        let at = world.keys.below(world.instances.len() as u64) as usize;
        let addr = SocketAddr::from(([127, 0, 0, 1], world.instances[at].ports[0]));
        let opened = timeout(ANSWER, Caller::try_open_as(addr, "bounded", key)).await;
        let Ok(Some(mut it)) = opened else { continue };
        assert_ne!(name, "nobody", "seed {}: a session with a key that nobody ever held", world.seed);
        // The connection is used until it ends.
        for _ in 0..200 {
            let n = world.keys.count.replace(world.keys.count.get() + 1);
            let (told, goes_on) = ask(&mut it, &format!("o-{name}-{n}"), "READ probe").await;
            if !goes_on || world.stop.get() {
                break;
            }
            let pause = if matches!(told, Told::Done(_)) { 2 } else { 20 };
            sleep(Duration::from_millis(pause)).await;
        }
    }
}

/// The key is taken away for good; once that is in force at every instance, nothing runs for it.
pub async fn take_away(world: &World) {
    growth::change_once(world, world.keys.give(Holder::Nobody));
    growth::in_force(world).await;
    let since = Instant::now() + Duration::from_millis(200);
    sleep(Duration::from_millis(1_200)).await;
    let late = world.group.servers.iter().flat_map(|it| it.arrivals.borrow().clone());
    let late: Vec<_> = late.filter(|it| it.at > since && it.id.starts_with("o-roam")).collect();
    assert!(late.is_empty(), "seed {}: ran with a key that was taken away: {late:?}", world.seed);
}

/// Waits until the organisation with a quota is served at some instance.
pub async fn served(world: &World) {
    let ran =
        || world.group.servers.iter().any(|it| it.arrivals.borrow().iter().any(|it| it.owner == "gamma"));
    let all = async {
        while !ran() {
            sleep(Duration::from_millis(50)).await;
        }
    };
    assert!(timeout(RECOVERY, all).await.is_ok(), "seed {}: nothing ran for who has a quota", world.seed);
}

/// What servers ran, against who held which key and what quotas allow.
pub fn check(world: &World) {
    let seed = world.seed;
    let mut arrivals: Vec<_> =
        world.group.servers.iter().flat_map(|it| it.arrivals.borrow().clone()).collect();
    arrivals.sort_by_key(|it| it.at);
    let held = world.keys.held.borrow();
    let mut gamma = Vec::new();
    for it in &arrivals {
        let holders: Vec<&str> = match it.id.split('-').collect::<Vec<_>>()[..] {
            ["o", "roam", _] => held
                .iter()
                .filter(|old| old.0 <= it.at)
                .filter_map(|old| match old.1 {
                    Holder::Acme => Some("acme"),
                    Holder::Beta => Some("beta"),
                    Holder::Nobody => None,
                })
                .collect(),
            ["o", "gamma", _] => {
                gamma.push(it.at);
                vec!["gamma"]
            }
            ["o", ..] => Vec::new(),
            _ => vec!["users"],
        };
        assert!(
            holders.contains(&it.owner.as_str()),
            "seed {seed}: {it:?}, whose key was held by {holders:?}"
        );
    }
    let most = (QUOTA.rate * WINDOW.as_secs_f64() + QUOTA.burst) * 1.1 + MARGIN;
    let mut highest = 0;
    for (n, at) in gamma.iter().enumerate() {
        let first = gamma.partition_point(|it| *it + WINDOW < *at);
        highest = highest.max(n + 1 - first);
    }
    println!("seed {seed}: {} ran under a quota, at most {highest} of {most} in a window", gamma.len());
    assert!(highest as f64 <= most, "seed {seed}: {highest} ran in a window, at most {most}");
}

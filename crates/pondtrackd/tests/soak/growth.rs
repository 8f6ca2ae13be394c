//! Configurations that grow and shrink by many routes in series, while faults go on.
//!
//! Each version has a route of its own, which tells which version an instance has in force.

use {
    super::{ANSWER, RECOVERY, World},
    crate::stand_in::{Caller, desired_with},
    pondtrack_engine::{
        organisation::Organisations,
        ports::{Collection, Record},
    },
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        time::Duration,
    },
    tokio::time::{Instant, sleep, timeout},
};

/// Routes that come or go at once: three changes fill half of what the store holds in one object.
const ROUTES: usize = 1_400;
/// Parts the random numbers of the changes from those of the faults, which stay what they were for a seed.
const SALT: u64 = 0x9e37_79b9_7f4a_7c15;
/// Connections to a server, as everywhere in the soak.
const CONNS: usize = 20;

/// What the store holds, and what instances showed of it.
pub struct Growth {
    rng: RefCell<Pcg64Mcg>,
    version: Cell<u64>,
    /// Process ids, and the version that each was last seen to have in force.
    served: RefCell<Vec<(u32, u64)>>,
}

impl Growth {
    /// Changes of a seed.
    pub fn new(seed: u64) -> Growth {
        let rng = RefCell::new(Pcg64Mcg::seed_from_u64(seed ^ SALT));
        Growth { rng, version: Cell::new(1), served: RefCell::default() }
    }

    fn below(&self, limit: u64) -> u64 {
        self.rng.borrow_mut().random_range(0..limit)
    }
}

fn marker(version: u64) -> String {
    format!("version{version}")
}

/// Changes the configuration until `end`, at times twice in quick succession.
pub async fn change(world: &World, end: Instant) {
    let growth = &world.growth;
    while Instant::now() < end {
        sleep(Duration::from_millis([40, 1_200][growth.below(2) as usize])).await;
        change_once(world, world.keys.next());
    }
}

/// Changes the configuration.
pub fn change_once(world: &World, organisations: Organisations) {
    let growth = &world.growth;
    let version = growth.version.get() + 1 + growth.below(3);
    let mut desired = desired_with(version, CONNS, ROUTES * growth.below(4) as usize);
    let mut route = desired.routes[0].clone();
    route.database = marker(version).into();
    desired.routes.push(route);
    desired.routes.sort_by(|a, b| a.database.cmp(&b.database));
    desired.organisations = Some(organisations);
    growth.version.set(version);
    world.store.set(Collection::Config, "main", Record::Config(desired));
}

/// Asks instances for the newest version until `end`: none that had it may have an older one later.
pub async fn watch(world: &World, end: Instant) {
    let growth = &world.growth;
    while Instant::now() < end {
        sleep(Duration::from_millis(20 + growth.below(80))).await;
        let at = growth.below(world.instances.len() as u64) as usize;
        let version = growth.version.get();
        let process = world.process(at);
        let opens = has(world, at, version).await;
        // Another process, or a newer version, says nothing of this one.
        if process != world.process(at) || version != growth.version.get() {
            continue;
        }
        let (Some(process), Some(opens)) = (process, opens) else { continue };
        let mut served = growth.served.borrow_mut();
        match opens {
            true => {
                served.retain(|it| it.0 != process);
                served.push((process, version));
            }
            false => assert!(
                !served.contains(&(process, version)),
                "seed {}: version {version} was in force and is no longer",
                world.seed
            ),
        }
    }
}

/// The last version is in force at every instance.
pub async fn in_force(world: &World) {
    let version = world.growth.version.get();
    for at in 0..world.instances.len() {
        let all = async {
            while has(world, at, version).await != Some(true) {
                sleep(Duration::from_millis(50)).await;
            }
        };
        let done = timeout(RECOVERY, all).await;
        assert!(done.is_ok(), "seed {}: version {version} is not in force at instance {at}", world.seed);
    }
}

/// Whether an instance has a version in force; none without an answer.
async fn has(world: &World, at: usize, version: u64) -> Option<bool> {
    let addr = SocketAddr::from(([127, 0, 0, 1], world.instances[at].ports[0]));
    timeout(ANSWER, Caller::opens(addr, &marker(version))).await.ok()?
}

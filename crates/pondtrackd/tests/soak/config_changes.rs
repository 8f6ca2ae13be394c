//! A series of configuration changes that each add or remove many routes, under the other faults.
//!
//! Each version has a marker route, which shows the version that an instance has applied.

use {
    super::{RECOVERY, RESPONSE_TIMEOUT, World},
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

/// Step in the number of routes between configurations. Three steps fill half of the maximum size of an
/// object in the store.
const ROUTE_STEP: usize = 1_400;
/// Salt that separates the random numbers of the changes, so that the faults of a seed stay the same.
const SALT: u64 = 0x9e37_79b9_7f4a_7c15;
/// Maximum number of connections to a server, as in the rest of the soak test.
const MAX_CONNS: usize = 20;

/// The latest version in the store and the versions that instances have applied.
pub struct ConfigChanges {
    rng: RefCell<Pcg64Mcg>,
    version: Cell<u64>,
    /// The id of each process and the latest version that the process was seen to have applied.
    applied: RefCell<Vec<(u32, u64)>>,
}

impl ConfigChanges {
    /// Creates the state for a seed.
    pub fn new(seed: u64) -> ConfigChanges {
        let rng = RefCell::new(Pcg64Mcg::seed_from_u64(seed ^ SALT));
        ConfigChanges { rng, version: Cell::new(1), applied: RefCell::default() }
    }

    fn below(&self, limit: u64) -> u64 {
        self.rng.borrow_mut().random_range(0..limit)
    }
}

/// Returns the database name of the marker route of a version.
fn marker(version: u64) -> String {
    format!("version{version}")
}

/// Changes the configuration until `end`, at intervals of either 40 ms or 1.2 s.
pub async fn run(world: &World, end: Instant) {
    let changes = &world.changes;
    while Instant::now() < end {
        sleep(Duration::from_millis([40, 1_200][changes.below(2) as usize])).await;
        change_once(world, world.keys.next());
    }
}

/// Stores a new version of the configuration, with a random number of routes and the given organisations. Returns the
/// version.
pub fn change_once(world: &World, organisations: Organisations) -> u64 {
    let changes = &world.changes;
    let version = changes.version.get() + 1 + changes.below(3);
    let mut config = desired_with(version, MAX_CONNS, ROUTE_STEP * changes.below(4) as usize);
    let mut route = config.routes[0].clone();
    route.database = marker(version).into();
    config.routes.push(route);
    config.routes.sort_by(|a, b| a.database.cmp(&b.database));
    config.organisations = Some(organisations);
    changes.version.set(version);
    world.store.set(Collection::Config, "main", Record::Config(config));
    version
}

/// Polls random instances for the latest version until `end`. Panics if a process that had applied the
/// version no longer serves its marker route, as happens when the process reverts to an older version.
pub async fn watch(world: &World, end: Instant) {
    let changes = &world.changes;
    while Instant::now() < end {
        sleep(Duration::from_millis(20 + changes.below(80))).await;
        let at = changes.below(world.instances.len() as u64) as usize;
        let version = changes.version.get();
        let pid = world.pid(at);
        let applied = has_applied(world, at, version).await;
        // The result is inconclusive if the process or the version has changed in the meantime.
        if pid != world.pid(at) || version != changes.version.get() {
            continue;
        }
        let (Some(pid), Some(is_applied)) = (pid, applied) else { continue };
        let mut applied = changes.applied.borrow_mut();
        match is_applied {
            true => {
                applied.retain(|(p, _)| *p != pid);
                applied.push((pid, version));
            }
            false => assert!(
                !applied.contains(&(pid, version)),
                "seed {}: version {version} was in force and is no longer",
                world.seed
            ),
        }
    }
}

/// Waits until every instance has applied the latest version, and panics after `RECOVERY` for an instance.
pub async fn wait_applied(world: &World) {
    let version = world.changes.version.get();
    for at in 0..world.instances.len() {
        let done = timeout(RECOVERY, wait_version(world, at, version)).await;
        assert!(done.is_ok(), "seed {}: version {version} is not in force at instance {at}", world.seed);
    }
}

/// Waits until an instance has applied a version.
pub async fn wait_version(world: &World, at: usize, version: u64) {
    while has_applied(world, at, version).await != Some(true) {
        sleep(Duration::from_millis(50)).await;
    }
}

/// Returns true if an instance has applied a version, and none if the instance gave no response.
async fn has_applied(world: &World, at: usize, version: u64) -> Option<bool> {
    let addr = SocketAddr::from(([127, 0, 0, 1], world.instances[at].ports[0]));
    timeout(RESPONSE_TIMEOUT, Caller::opens(addr, &marker(version))).await.ok()?
}

//! Rounds in which all instances that watch the store end together, and changes of the configuration.
//!
//! Guards against instances that rely on watchers which they don't know, and never apply a change again.

use {
    super::{RECOVERY, World, config_changes, env_or},
    pondtrack_core::placement::rendezvous_hash,
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::time::Duration,
    tokio::time::{sleep, timeout},
};

/// Number of instances that run at the same time, in three availability zones; `SOAK_WATCHED` overrides it.
const INSTANCES: usize = 9;
/// Number of availability zones.
const ZONES: usize = 3;
/// Number of rounds for each seed; `SOAK_ROUNDS` overrides it.
const ROUNDS: usize = 4;
/// Salt that separates the random numbers of the rounds from those of the changes.
const SALT: u64 = 0xd1b5_4a32_d192_ed03;
/// Maximum time from the end of the watchers until others start, in milliseconds. The remaining instances notice the end within two
/// seconds, and read the instance entries each three seconds.
const MAX_PAUSE: u64 = 6_000;
/// Maximum time from the start of the others until the configuration changes, in milliseconds.
const MAX_DELAY: u64 = 4_000;

/// Runs the rounds of a seed.
pub async fn run(seed: u64) {
    let rounds = env_or("SOAK_ROUNDS", ROUNDS);
    let running = env_or("SOAK_WATCHED", INSTANCES);
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ SALT);
    let world = World::prepare("watchers", seed, running + rounds * ZONES).await;
    (0..running).for_each(|at| world.launch(at));
    let mut spare: Vec<usize> = (running..world.instances.len()).rev().collect();
    change(&world, "the start").await;
    for round in 0..rounds {
        let watchers: Vec<usize> = (0..ZONES).filter_map(|zone| watcher(&world, zone)).collect();
        let signal = if rng.random_bool(0.3) { "-KILL" } else { "-TERM" };
        futures::future::join_all(watchers.iter().map(|at| world.stop_instance(*at, signal))).await;
        sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE))).await;
        let replace = rng.random_bool(0.5);
        for at in watchers {
            // Spare instances are taken even if they aren't started, which keeps them in the order of the zones.
            let next = spare.pop().filter(|_| replace).unwrap_or(at);
            world.launch(next);
        }
        sleep(Duration::from_millis(rng.random_range(0..MAX_DELAY))).await;
        change(&world, &format!("round {round}, {signal}, replaced: {replace}")).await;
    }
    world.end().await;
}

/// Returns the preferred watcher among the running instances of an availability zone.
fn watcher(world: &World, zone: usize) -> Option<usize> {
    let running = (zone..world.instances.len()).step_by(ZONES).filter(|at| world.pid(*at).is_some());
    running.max_by_key(|at| rendezvous_hash("watch", &world.instances[*at].name))
}

/// Changes the configuration, and panics if a running instance doesn't apply the change.
async fn change(world: &World, after: &str) {
    let version = config_changes::change_once(world, world.keys.next());
    for at in (0..world.instances.len()).filter(|at| world.pid(*at).is_some()) {
        let applied = timeout(RECOVERY, config_changes::wait_version(world, at, version)).await;
        let name = &world.instances[at].name;
        assert!(applied.is_ok(), "seed {}: {name} doesn't apply version {version} after {after}", world.seed);
    }
}

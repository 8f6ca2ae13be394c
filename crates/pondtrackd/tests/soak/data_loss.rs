//! Servers that restart under the same id, and unreadable server entries in the store, under the other
//! faults.
//!
//! A replica loses its log only while the other servers hold the whole log. If each of the three servers
//! could lose its log at any time, two could do so simultaneously.

use {
    super::World,
    crate::stand_in::{FakeServer, Fault},
    pondtrack_engine::{
        model::Role,
        ports::{Collection, Record},
    },
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Salt that separates the random numbers of these faults, so that the other faults of a seed stay the same.
const SALT: u64 = 0x5851_f42d_4c95_7f2d;
/// Maximum number of unreadable entries in addition to the entries of the servers.
const MAX_BAD_ENTRIES: u64 = 40;

/// Restarts servers, with or without their logs, and corrupts server entries until `end`.
pub async fn inject(world: Rc<World>, end: Instant) {
    let mut rng = Pcg64Mcg::seed_from_u64(world.seed ^ SALT);
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(0..2_500))).await;
        let server = world.group.servers[rng.random_range(0..3)].clone();
        let duration = Duration::from_millis(rng.random_range(50..900));
        match rng.random_range(0..4) {
            0 | 1 => restart(&world, &server, duration).await,
            2 => corrupt_entry(&world, &server).await,
            _ => {
                let n = rng.random_range(0..MAX_BAD_ENTRIES);
                let bad = Record::Unreadable("another writer's".to_owned());
                world.store.set(Collection::Servers, &format!("bad-{n}"), bad);
            }
        }
    }
}

/// Stops a server for the given duration and restarts it. A replica restarts with an empty log if all servers
/// have received the same log; otherwise the server keeps its log.
async fn restart(world: &World, server: &FakeServer, duration: Duration) {
    server.fault.set(Fault::Closed);
    server.cut();
    sleep(duration).await;
    let in_sync = world.group.servers.iter().all(|s| s.received.get() == server.received.get());
    match server.role.get() {
        Role::Replica if in_sync => server.restart_empty(),
        Role::Replica | Role::Primary => server.restart(),
    }
    world.store.set(Collection::Servers, &server.id, Record::Server(server.entry()));
    server.fault.set(Fault::None);
    sleep(duration).await;
    world.group.catch_up();
}

/// Makes the entry of a server unreadable until the entry is written again.
async fn corrupt_entry(world: &World, server: &FakeServer) {
    let bad = Record::Unreadable("another writer's".to_owned());
    world.store.set(Collection::Servers, &server.id, bad);
}

//! Servers that start again under their ids, and entries that can't be read, while other faults go on.
//!
//! A server loses its log only where the others hold all of it: of three that may forget at any time, two could at once.

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

/// Parts the random numbers of these faults from those of the others, which stay what they were for a seed.
const SALT: u64 = 0x5851_f42d_4c95_7f2d;
/// Entries beside those of the servers that can't be read, at most.
const BAD_ENTRIES: u64 = 40;

/// Has servers forget, and damages entries, until `end`.
pub async fn faults(world: Rc<World>, end: Instant) {
    let mut rng = Pcg64Mcg::seed_from_u64(world.seed ^ SALT);
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(0..2_500))).await;
        let server = world.group.servers[rng.random_range(0..3)].clone();
        let span = Duration::from_millis(rng.random_range(50..900));
        match rng.random_range(0..4) {
            0 | 1 => start_again(&world, &server, span).await,
            2 => damage(&world, &server).await,
            _ => {
                let n = rng.random_range(0..BAD_ENTRIES);
                let bad = Record::Unreadable("another writer's".to_owned());
                world.store.set(Collection::Servers, &format!("bad-{n}"), bad);
            }
        }
    }
}

/// A server is down for a while and starts again: a replica with nothing where the others hold all, otherwise with its log.
async fn start_again(world: &World, server: &FakeServer, span: Duration) {
    server.fault.set(Fault::Closed);
    server.cut();
    sleep(span).await;
    let all = world.group.servers.iter().all(|it| it.received.get() == server.received.get());
    match server.role.get() {
        Role::Replica if all => server.restart_empty(),
        Role::Replica | Role::Primary => server.restart(),
    }
    world.store.set(Collection::Servers, &server.id, Record::Server(server.entry()));
    server.fault.set(Fault::None);
    sleep(span).await;
    world.group.catch_up();
}

/// A server's entry can't be read until the server writes it again.
async fn damage(world: &World, server: &FakeServer) {
    let bad = Record::Unreadable("another writer's".to_owned());
    world.store.set(Collection::Servers, &server.id, bad);
}

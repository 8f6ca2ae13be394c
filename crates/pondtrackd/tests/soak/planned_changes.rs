//! Planned changes of primary while a replica receives nothing and the instance that orders the change is stopped.
//!
//! Guards against reads at a former primary that lack acknowledged writes, and against orders that arrive in another
//! sequence than their tokens.

use {
    super::{World, restart},
    pondtrack_engine::{
        model::Role,
        ports::{Collection, Record},
    },
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// The changes take place in seeds that are a multiple of this number.
const EVERY: u64 = 2;
/// Salt that separates the random numbers of the changes from those of other faults.
const SALT: u64 = 0x9e37_79b9_7f4a_7c15;
/// Time that servers take to replay what they have received.
const REPLAY_TIME: Duration = Duration::from_millis(60);

/// Drains one primary after the other until `end`.
pub async fn inject(world: Rc<World>, end: Instant) {
    if !world.seed.is_multiple_of(EVERY) {
        return;
    }
    let mut rng = Pcg64Mcg::seed_from_u64(world.seed ^ SALT);
    world.group.servers.iter().for_each(|server| server.replay_time.set(Some(REPLAY_TIME)));
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(300..1_200))).await;
        let lead = world.group.lead();
        if lead.role.get() != Role::Primary {
            continue;
        }
        let replicas: Vec<_> = world.group.servers.iter().filter(|server| server.id != lead.id).collect();
        let deaf = replicas[rng.random_range(0..replicas.len())].clone();
        deaf.deaf.set(true);
        lead.draining.set(true);
        if rng.random_bool(0.5) {
            let (world, delay) = (world.clone(), Duration::from_millis(rng.random_range(50..500)));
            tokio::task::spawn_local(async move {
                sleep(delay).await;
                stop_holder(&world).await;
            });
        }
        sleep(Duration::from_millis(rng.random_range(500..1_500))).await;
        lead.draining.set(false);
        deaf.deaf.set(false);
        world.group.catch_up();
    }
}

/// Stops the instance that holds the failover lease as planned, and starts it again.
async fn stop_holder(world: &World) {
    let stored = world.store.get(Collection::Leases, "failover").and_then(|object| object.record);
    let Some(Record::Lease(record)) = stored else { return };
    if let Some(at) = world.instances.iter().position(|instance| *instance.name == *record.holder) {
        restart(world, at, "-TERM", Duration::from_millis(100)).await;
    }
}

//! Planned changes of primary while a replica receives nothing and the instance that orders the change is stopped.
//!
//! Guards against reads at a former primary that lack acknowledged writes, and against orders that arrive in another
//! sequence than their tokens.

use {
    super::{Attempt, Caller, RESPONSE_TIMEOUT, Told, World, request, restart},
    pondtrack_engine::{
        model::Role,
        ports::{Collection, Record},
    },
    pondtrack_proto::Name,
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::time::{Instant, sleep, timeout},
};

/// The changes take place in seeds that are a multiple of this number.
const EVERY: u64 = 2;
/// Salt that separates the random numbers of the changes from those of other faults.
const SALT: u64 = 0x9e37_79b9_7f4a_7c15;
/// Time that servers take to replay what they have received.
const REPLAY_TIME: Duration = Duration::from_millis(60);

/// Time within which a drained primary is replaced, if nothing else fails.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of writes that are read at all other instances after a change.
const PROBES: usize = 12;

/// Drains one primary after the other until `end`.
pub async fn inject(world: Rc<World>, end: Instant) {
    if !world.seed.is_multiple_of(EVERY) {
        return;
    }
    let mut rng = Pcg64Mcg::seed_from_u64(world.seed ^ SALT);
    world.group.servers.iter().for_each(|server| server.replay_time.set(Some(REPLAY_TIME)));
    let mut probes = Vec::new();
    while Instant::now() < end {
        sleep(Duration::from_millis(rng.random_range(300..1_200))).await;
        let lead = world.group.lead();
        if lead.role.get() != Role::Primary {
            continue;
        }
        let replicas: Vec<_> = world.group.servers.iter().filter(|server| server.id != lead.id).collect();
        let deaf = replicas[rng.random_range(0..replicas.len())].clone();
        let sessions = open_sessions(&world).await;
        deaf.deaf.set(true);
        lead.draining.set(true);
        let probe = probe(world.clone(), sessions, lead.id.clone(), rng.random());
        probes.push(tokio::task::spawn_local(probe));
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
    for probe in probes {
        probe.await.expect("reads show what was acknowledged");
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

/// Opens a session at each instance that accepts one.
async fn open_sessions(world: &World) -> Vec<Caller> {
    let mut sessions = Vec::new();
    for instance in &world.instances {
        let addr = SocketAddr::from(([127, 0, 0, 1], instance.ports[0]));
        let opened = timeout(RESPONSE_TIMEOUT, Caller::try_open(addr, "latest")).await;
        sessions.extend(opened.ok().flatten());
    }
    sessions
}

/// Waits until another server than `old` leads. Then writes through one instance after the other, and reads each
/// acknowledged write through all others, which may not know of the change yet.
async fn probe(world: Rc<World>, mut sessions: Vec<Caller>, old: Name, salt: u32) {
    let changed = async {
        while world.group.lead().id == old || world.group.lead().role.get() != Role::Primary {
            sleep(Duration::from_millis(2)).await;
        }
    };
    if timeout(CHANGE_TIMEOUT, changed).await.is_err() {
        return;
    }
    for n in 0..PROBES {
        let (item, writer) = (format!("p{salt}-{n}"), n % sessions.len().max(1));
        let Some(session) = sessions.get_mut(writer) else { return };
        let id = format!("w-{item}");
        let (response, is_idle) = request(session, &id, &format!("WRITE {item} {item}")).await;
        let done = matches!(response, Told::Done(_));
        world.attempts.borrow_mut().push(Attempt {
            id,
            item: item.clone(),
            response,
            responded_at: Instant::now(),
            database: "latest",
        });
        let mut idle = vec![true; sessions.len()];
        idle[writer] = is_idle;
        for (at, session) in sessions.iter_mut().enumerate().filter(|s| done && s.0 != writer) {
            let (response, is_idle) =
                request(session, &format!("r-{item}-{at}"), &format!("READ {item}")).await;
            idle[at] = is_idle;
            if let Told::Done(Some(row)) = response {
                world.reads.set(world.reads.get() + 1);
                let data = row.split(' ').next().unwrap_or_default();
                assert_eq!(
                    data, item,
                    "seed {}: a read after a planned change lacks an acknowledged write",
                    world.seed
                );
            }
        }
        let mut open = idle.into_iter();
        sessions.retain(|_| open.next().unwrap_or(false));
    }
}

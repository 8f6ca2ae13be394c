//! A primary drains while the order to promote turns the lease's holder away, and another machine restarts.

use {
    crate::{
        Verdict,
        world::{WORK, World},
    },
    std::{collections::BTreeMap, path::Path, time::Duration},
};

/// `DrainMs`, in seconds.
const DRAIN: f64 = 7.0;
/// `StabilityWindowMs`, in seconds: a machine is in touch only so long after its start.
const STABILITY: f64 = 4.0;
/// `GraceS`.
const GRACE: Duration = Duration::from_secs(6);
/// How long the order to promote turns one of the three machines away.
const REFUSED: f64 = 9.0;
/// From the acknowledgement of `draining` to the restart's SIGTERM. The process needs 2.3 s to end and 0.3 s to start.
const RESTART: f64 = 0.9;
/// From the acknowledgement of `draining` to the server's end.
const END: f64 = 8.15;

pub fn run(folder: &Path, trouble: bool) -> Verdict {
    let world = match World::start(folder, WORK) {
        Ok(world) => world,
        Err(why) => return Verdict::NotRun(why),
    };
    world.start_clients(6, Duration::from_millis(20));
    world.sleep(2.0);
    let Some(holder) = world.holder() else { return Verdict::NotRun("nobody holds the lease".to_owned()) };
    let restarted = (0..world.machines.len()).find(|n| *n != holder).unwrap_or_default();
    if trouble {
        let name = world.machines[holder].name.clone();
        world.record.line(format!("the order to promote turns {name} away for {REFUSED} s"));
        world.refused.lock().unwrap().insert(name);
    }
    let refused_until = world.record.now() + REFUSED;
    world.sleep(0.2);
    let old = world.group.leader();
    world.draining.lock().unwrap().insert(old);
    world.publish();
    let acked = world.record.line("the store has acknowledged that the primary is draining");
    world.sleep_until(acked + RESTART);
    let machine = world.machines[restarted].clone();
    let restart = std::thread::spawn(move || machine.restart(GRACE));
    world.sleep_until(acked + END);
    let _ = restart.join();
    world.store.remove("servers", &world.group.servers()[old].id.clone());
    world.group.crash(old);
    world.sleep_until(refused_until);
    world.refused.lock().unwrap().clear();
    world.record.line("the order to promote takes all calls");
    world.sleep(4.0);
    let running = world.machines.iter().all(|m| m.is_running());
    world.end();
    if !running {
        return Verdict::NotRun("a process has ended by itself".to_owned());
    }
    judge(&world, old, acked)
}

/// DRAIN: a request reaches the server later than `DrainMs` after the acknowledgement, taken from its client and sent
/// on by a machine in touch.
fn judge(world: &World, old: usize, acked: f64) -> Verdict {
    let sent = world.sent.lock().unwrap();
    let by_id: BTreeMap<&str, usize> = sent.iter().enumerate().map(|(n, s)| (s.id.as_str(), n)).collect();
    let (mut late, mut lost) = (0, 0);
    for arrival in world.group.arrivals.lock().unwrap().iter() {
        if arrival.server != old || arrival.at <= acked + DRAIN {
            continue;
        }
        let Some(statement) = by_id.get(arrival.id.as_str()).map(|n| &sent[*n]) else { continue };
        let up = statement.at - *world.machines[statement.machine].started.lock().unwrap();
        if up < STABILITY {
            continue;
        }
        late += 1;
        let answer = statement.answer.as_ref().map_or("none", |a| a.1.as_str());
        lost += usize::from(!answer.starts_with("COMPLETE"));
        world.record.line(format!(
            "DRAIN: {} came {:.3} s after the acknowledgement, over {}, {up:.3} s after its start; answer: {answer}",
            arrival.id,
            arrival.at - acked,
            world.machines[statement.machine].name,
        ));
    }
    world.record.line(format!("late requests: {late}, {lost} of them without a result"));
    world.record.flush();
    println!("late requests: {late}, {lost} of them without a result");
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}

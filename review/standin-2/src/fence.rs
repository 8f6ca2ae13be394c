//! The lease's holder loses its path to the platform and freezes, with an order to promote under way.

use {
    crate::{
        Verdict,
        world::{WORK, World},
    },
    std::{path::Path, time::Duration},
};

/// From the order's departure to the freeze. The holder would reset the order's connection after 0.5 s.
const BEFORE_FREEZE: f64 = 0.3;
/// How long the holder is frozen.
const FREEZE: f64 = 4.0;
/// How long before the end of the freeze the path to the platform is back.
const PATH_FIRST: f64 = 0.1;
/// The longest wait for a new primary after the first crash, whose server is back 3 s after that.
const NEW_PRIMARY: f64 = 3.5;
/// The longest wait for the order, so that the path is away for less than 5.5 s.
const ORDER: f64 = 1.2;
/// How long a crashed primary is away.
const AWAY: f64 = 6.5;

pub fn run(folder: &Path, trouble: bool) -> Verdict {
    let world = match World::start(folder, WORK) {
        Ok(world) => world,
        Err(why) => return Verdict::NotRun(why),
    };
    world.start_clients(1, Duration::from_millis(50));
    world.sleep(2.0);
    let Some(holder) = world.holder() else { return Verdict::NotRun("nobody holds the lease".to_owned()) };
    // An ordinary change of primary, after which the holder keeps the connection over which it gave the order.
    let first = world.group.leader();
    world.group.crash(first);
    let is_new = || {
        let leader = world.group.leader();
        leader != first && world.group.servers()[leader].up
    };
    if !world.wait(NEW_PRIMARY, is_new) {
        return Verdict::NotRun("no primary after the first crash".to_owned());
    }
    world.sleep(3.0);
    world.group.restart(first);
    world.sleep(6.0);
    let second = world.group.leader();
    world.group.crash(second);
    let crashed = world.record.now();
    if trouble {
        if world.holder() != Some(holder) {
            return Verdict::NotRun("the lease has another holder".to_owned());
        }
        world.sleep(0.05);
        let name = &world.machines[holder].name;
        world.record.line(format!("{name} loses its path to the platform"));
        world.paths[holder].iter().for_each(|path| path.hold(true));
        if !world.wait(ORDER, || world.paths[holder][1].held_bytes() > 0) {
            world.end();
            return Verdict::NotRun("no order was under way".to_owned());
        }
        world.record.line(format!("an order of {name} is under way"));
        world.sleep(BEFORE_FREEZE);
        world.machines[holder].signal("STOP");
        world.sleep(FREEZE - PATH_FIRST);
        world.record.line(format!("{name} has its path to the platform again"));
        world.paths[holder].iter().for_each(|path| path.hold(false));
        world.sleep(PATH_FIRST);
        world.machines[holder].signal("CONT");
    }
    world.sleep_until(crashed + AWAY);
    world.group.restart(second);
    world.sleep(4.0);
    let running = world.machines.iter().all(|m| m.is_running());
    world.end();
    if !running {
        return Verdict::NotRun("a process has ended by itself".to_owned());
    }
    judge(&world)
}

/// ONE: two holders promote with the same fence number, or one sends a lower number than the platform has seen.
fn judge(world: &World) -> Verdict {
    let orders = world.orders.lock().unwrap();
    let mut broken = 0;
    for (n, order) in orders.iter().enumerate() {
        let before = &orders[..n];
        let lower = before.iter().find(|o| o.token > order.token);
        let same = before.iter().find(|o| o.token == order.token && o.holder != order.holder);
        if let Some(other) = lower.or(same) {
            broken += 1;
            world.record.line(format!(
                "ONE: {} promotes with {} at {:.3} s, after {} did with {} at {:.3} s",
                order.holder, order.token, order.at, other.holder, other.token, other.at
            ));
        }
    }
    world.record.line(format!("orders: {}, against the rule: {broken}", orders.len()));
    world.record.flush();
    println!("orders: {}, against the rule: {broken}", orders.len());
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}

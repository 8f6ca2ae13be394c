//! A planned change of primary while a replica receives nothing and a machine is cut off from the store.

use crate::{
    Outcome,
    client::Client,
    judge::Judge,
    record,
    site::{Paths, Site, ZONES, wait},
};
use std::{path::Path, thread::sleep, time::Duration};

/// How long the change of primary may take: shorter than the time for which a draining server serves.
const CHANGE: Duration = Duration::from_secs(6);
const ROUNDS: usize = 15;

pub fn run(root: &Path, dir: &Path, trouble: bool) -> Outcome {
    match play(root, dir, trouble) {
        Ok(0) => Outcome::Held,
        Ok(_) => Outcome::Broken,
        Err(why) => Outcome::NotRun(why),
    }
}

fn play(root: &Path, dir: &Path, trouble: bool) -> Result<usize, String> {
    let site = Site::start(root, dir);
    let (group, patience) = (site.group.clone(), Duration::from_secs(15));
    let mut near: Vec<_> =
        (0..2).map(|n| site.instance(&format!("frontend-{}-1", ZONES[n]), ZONES[n], site.cloud())).collect();
    near.iter_mut().for_each(|instance| instance.start());
    wait("two instances are ready", patience, || near.iter().all(|i| i.is_ready()))?;
    wait("one has the right to promote", patience, || site.holder().is_some())?;

    let paths = Paths::default();
    let mut far = site.apart("frontend-cr-depot-1", "cr-depot", &paths, &near);
    far.start();
    wait("the third instance is ready", patience, || far.is_ready())?;
    // All have been running for a while, and know each other.
    sleep(Duration::from_secs(5));

    let mut judge = Judge::default();
    let open = |name, addr| Client::open(name, addr, "stock-post").ok_or("a session can't be opened");
    let mut here = open("here", near[0].callers)?;
    let mut there = open("there", far.callers)?;
    for _ in 0..3 {
        judge.write(&mut here, "1a4");
        judge.read(&mut there, "1a4");
    }
    if trouble {
        record!("cut: {} from the store and the other machines", far.name);
        paths.store.set_cut(true);
        paths.others.set_cut(true);
        record!("lag: i-2 receives nothing");
        group.set_reach(2, 0, false);
        group.set_reach(2, 1, false);
    }
    group.drain(0);
    wait("another server leads", CHANGE, || group.newest_primary().is_some_and(|p| p.1 > 1))?;
    wait("nothing is left of the change", CHANGE, || group.primaries() == (1, 0))?;
    for _ in 0..ROUNDS {
        judge.write(&mut here, "1a4");
        judge.read(&mut there, "1a4");
    }
    record!("{} says that it is ready: {}", far.name, far.is_ready());
    let stale = judge.stale_reads(&group);
    near.iter().chain([&far]).for_each(|instance| instance.copy_log());
    Ok(stale)
}
